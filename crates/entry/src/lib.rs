//! The entry program: the HTTP server for callers, pipeline runs, claims and draining.
//!
//! A request is read and checked on one of the HTTP server's threads, runs on the main runtime, and
//! is answered with exactly one outcome. [`outcome`] holds the types that keep that outcome
//! correct.

pub mod answer;
mod auth;
mod call;
mod claim;
mod claim_table;
mod connections;
mod core;
mod drain;
mod entry;
mod generate;
mod handlers;
mod metrics;
mod ops;
pub mod outcome;
mod race;
mod reply;
mod request;
mod run;
mod serve;
mod session;
mod shared_run;
mod sink;
mod stage;
mod status;
mod step;
mod stream;
mod tasks;
mod usage;

pub use entry::{Entry, EntryConfig, spawn};
pub use session::Session;
