//! Logs as JSON lines and Prometheus metrics, shared by all processes.

mod log_line;
mod metrics;
mod output;

pub use log_line::{format_line, init_stderr_log};
pub use metrics::{ByteCounters, CONTENT_TYPE, open_registry, render};
pub use output::init_stdout_log;
