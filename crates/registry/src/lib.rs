//! The replicated registry of a deployment: the plan in force, the upstreams, and the entries.
//!
//! Members hold one plan, a versioned text, in a replicated log; the highest version wins. They
//! find each other by a few seed addresses, form a cluster without an operator, and replace
//! voters that are gone. The leader reads the platform's list of upstreams and hands it out.
//! Entries follow every member they can reach and use the newest of what they are told.

pub mod difference;
pub mod fetch;
pub mod message;
pub mod parcel;
pub mod plan;
pub mod quarantine;

mod current;
mod digest;
mod driver;
mod folder;
mod follow;
mod handout;
mod hub;
mod member;
mod peers;
mod reader;
mod repair;
mod texts;

pub use current::CurrentView;
pub use digest::RequestDigest;
pub use follow::{Follower, FollowerConfig, News};
pub use hub::loads_period;
pub use member::{Codec, Member, MemberConfig, PutOutcome, QuarantineOutcome, ReadOutcome};
pub use message::{
    EntrySeen, Health, LoadReport, Relay, Stamp, Upstream, UpstreamList, UpstreamLoad,
};
pub use reader::{ListSource, Listing};
pub use repair::{DEAD_AFTER, LEARNER_GONE, PeerView, RepairView, next_membership};

use wire::Secret;

/// What the processes of one deployment prove to each other at the start of a connection. The
/// platform hands out no secret; the proof keeps other programs' bytes from being taken for ours.
const DEPLOYMENT: &[u8] = b"mothplank deployment v1";

/// Returns the secret of the connections between the system's processes.
///
/// # Panics
/// Never: the constant is long enough.
pub fn deployment_secret() -> Secret {
    Secret::new(DEPLOYMENT).expect("the constant is long enough")
}
