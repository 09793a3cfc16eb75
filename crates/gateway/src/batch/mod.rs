//! Combines the stage pieces of all entries into full calls.
//!
//! Each service, or each section of a split service, has one owner among the live entries. All
//! entries compute the same owner. They submit their pieces to it; the owner fills each call to an
//! upstream in order of urgency and sends one call at a time to each upstream. If an owner does not
//! answer, the entry with the next highest score takes its place.

mod client;
mod link;
pub(crate) mod message;
mod owner;
pub mod queue;

pub(crate) use client::{BatchClient, JobSpec, StageTimes};
pub(crate) use link::accept;
pub(crate) use owner::{Owner, OwnerConfig};
