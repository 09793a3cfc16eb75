//! An entry's session with the control members: the service in force, its freshness, claims and
//! load digests.
//!
//! One task holds one connection to one control member at a time. The handle sends it commands over
//! a channel; the service in force and its freshness are read without the task.

mod confirm_requests;
mod confirm_timer;
mod digest_filter;
mod follower;
mod freshness;
mod member_selector;
mod outbox;
mod report;
mod requests;
mod session;
mod shared;
mod versions;

pub use confirm_timer::{CONFIRM_TIMEOUT, ConfirmTimer, MIN_PROGRESS_BYTES};
pub use digest_filter::DigestFilter;
pub use follower::{ClaimError, Event, Follower, FollowerConfig, ServiceSnapshot};
pub use member_selector::MemberSelector;
pub use report::{LoadReporter, merge_usage};
pub use requests::Claimed;
pub use shared::SessionView;
pub use versions::{OfferDecision, Versions};
