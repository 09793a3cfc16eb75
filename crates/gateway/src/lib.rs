//! The entry that passes requests through to upstreams, with their stages.
//!
//! Callers' requests go to the upstream of a service as they came, and its answer back as it
//! comes. Before an engine runs a request, the stages of its route are done, their pieces batched
//! with those of all other entries. What the platform calls things is met by [`dialect::Dialect`].

pub mod admission;
mod backlog;
mod batch;
pub mod budget;
pub mod dialect;
mod directory;
mod drain;
pub mod events;
mod exchange;
mod front;
mod gateway;
pub mod guard;
mod head_time;
pub mod life;
mod metrics;
mod offers;
pub mod pace;
mod phases;
pub mod place;
mod plain;
pub mod plan;
mod reply;
mod request;
pub mod room;
pub mod section;
mod shared;
mod stages;
mod stream;
mod suspects;
mod unwritten;
pub mod upstream;

pub use batch::queue;
pub use gateway::{Gateway, GatewayConfig};
pub use upstream::Upstream;
