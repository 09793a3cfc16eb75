//! Clients to engines, stage pools and plain services.
//!
//! Every call has its own id and, while it lasts, its own connection. A response that does not repeat
//! the id or is truncated is never returned as complete, and its connection is closed. An error says
//! whether any byte of the call may have left this VM.

mod body;
mod calls;
mod cancel;
mod connection;
mod engine;
mod exchange;
mod fault;
mod limits;
mod pool;
mod sse;
mod stage;
mod watch;
mod write_counter;

pub use calls::{Calls, Target};
pub use engine::{EngineEvent, EngineStream, EngineUsage, Generation};
pub use fault::{CallError, Declined, Fault, Sent, Unsent};
pub use limits::Limits;
pub use stage::{StageCall, StageReply};
pub use watch::{Silence, Watch};
pub use write_counter::{CountedStream, WriteCounter};
