//! An entry's session with control: the service in force, freshness, claims, load digest.
//!
//! One task holds one connection to one control member at a time. The handle talks to it over a
//! channel; the service in force and its freshness are read without it.

mod choice;
mod follower;
mod freshness;
mod gate;
mod install;
mod link;
mod outbox;
mod patience;
mod questions;
mod report;
mod requests;
mod session;

pub use choice::Choice;
pub use follower::{ClaimError, Event, Follower, FollowerConfig, Snapshot};
pub use gate::DigestGate;
pub use install::{Offer, Versions};
pub use link::SessionView;
pub use patience::{CONFIRM_PATIENCE, Patience, UNDER_WAY};
pub use report::{LoadDelta, merge_usage};
pub use requests::Claimed;
