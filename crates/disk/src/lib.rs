//! Durable storage of a log and its snapshots in a data folder. It survives crashes and knows
//! nothing of consensus.
//!
//! A folder holds the files `lock` and `identity`, one live log `log-GENERATION`, the latest
//! snapshot `snapshot-INDEX`, and `synced`, which records how much of the log was acknowledged. All
//! contents are stored in checksummed frames (see [`frame`]).

mod batch;
mod delay;
mod error;
mod files;
pub mod frame;
mod recover;
mod store;
mod writer;

pub use batch::Record;
pub use error::DiskError;
pub use files::{Files, OsFiles};
pub use recover::{Recovered, TornTail};
pub use store::Store;
pub use writer::{Write, WriteResult, Writer, WriterStopped};
