//! The replicated state: service versions, changes, audit trail, claims, members and fencing
//! numbers.
//!
//! The state is a function of the commands in their order. The crate reads no clock, uses no
//! randomness and does no I/O.

mod answers;
mod audit;
mod change;
mod claim;
mod command;
mod diff;
mod incarnations;
mod key;
mod limits;
mod state;

pub use audit::{AuditBreak, AuditHash, AuditKind, AuditOutcome, AuditRecord, verify};
pub use command::{ChangeReply, Command, Reply};
pub use limits::Limits;
pub use state::{Counts, Mark, State};
