//! JSON line logs, metrics and the operational HTTP pages shared by both programs.

mod log_line;
mod metrics;
mod output;

pub use log_line::{format_line, open_log};
pub use metrics::{ByteCounters, CONTENT_TYPE, open_registry, render};
pub use output::open_output_log;
