//! Stage pieces of all entries meet in full calls.
//!
//! Each service has one owner among the live entries, the same from every entry's view. Entries
//! hand it their pieces; it fills each call to an upstream by urgency, one call at a time at each
//! upstream. An owner that is silent is passed over for the next in rank.

mod client;
mod link;
mod message;
mod owner;
pub mod queue;

pub(crate) use client::{Batches, JobSpec, StageTimes};
pub(crate) use link::accept;
pub(crate) use owner::{Owner, OwnerConfig};
