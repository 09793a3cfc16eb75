//! Tracks the upstreams and sends them orders: the platform's list, load reports, drain signals,
//! operators' marks, and orders with fencing numbers.
//!
//! Only the leader polls and sends orders. This crate contains no consensus: what needs a quorum
//! goes through [`Authority`], which control implements.

mod authority;
pub mod availability;
pub mod bucket;
mod client;
pub mod digest;
mod fleet;
mod leader;
pub mod load;
mod order;
pub mod plan;
pub mod platform;
mod poll;
mod state;
mod target;
mod view;

pub use authority::Authority;
pub use fleet::{Fleet, FleetConfig};
pub use target::Target;
pub use view::{FleetView, UpstreamStatus};
