//! The gateway: an entry that forwards callers' requests to upstreams and runs their stages first.
//!
//! The entry forwards a request to an upstream of its service unchanged and streams the answer
//! back. Before an engine runs a request, the stages of its route are run; their pieces are batched
//! with those of all other entries. [`dialect::Dialect`] translates between the names of the
//! platform and those of this crate.

pub mod admission;
mod backlog;
mod batch;
pub mod body_memory;
pub mod brittle;
pub mod budget;
mod caller_limits;
pub mod cold;
pub mod crowd;
pub mod dialect;
mod directory;
mod drain;
pub mod echo;
pub mod events;
mod exchange;
mod front;
mod gateway;
pub mod guard;
mod head_timeout;
pub mod health;
pub mod incarnation;
pub mod limit;
pub mod line;
mod metrics;
mod offers;
pub mod origin;
pub mod overrun;
pub mod owners;
mod panics;
pub mod partition;
pub mod path;
pub mod pause;
mod phases;
pub mod place;
mod plain;
pub mod plan;
pub mod prefill;
mod quarantine;
pub mod quota;
pub mod raw_limit;
mod reply;
mod request;
pub mod response_limit;
mod room;
pub mod section;
mod shared;
pub mod spread;
mod stages;
mod stream;
pub mod turns;
mod unanswered;
mod unread;
pub mod upstream;
mod write_tracker;

pub use batch::queue;
pub use gateway::{Gateway, GatewayConfig};
pub use upstream::Upstream;
