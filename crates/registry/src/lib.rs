//! The replicated registry of a deployment: the plan in force, the evacuated failure domains, the
//! upstreams, and the entries.
//!
//! Members store one plan, a versioned text, in a replicated log; the highest version wins. Beside it
//! they store which failure domains operators have evacuated. They
//! discover each other through a few seed addresses, form a cluster without an operator, and replace
//! lost voters. The leader reads the platform's list of upstreams and sends it to the entries. Entries
//! connect to every member that they can reach and use the newest data that they receive.

pub mod capacity;
pub mod cold;
pub mod content;
pub mod difference;
pub mod evacuation;
pub mod fetch;
pub mod message;
pub mod outcomes;
pub mod package;
pub mod plan;
pub mod quarantine;

mod current;
mod digest;
mod driver;
mod folder;
mod follow;
mod hub;
mod lists;
mod member;
mod package_cache;
mod peers;
mod reader;
mod repair;
mod replicated;

pub use capacity::{Capacity, CapacityList};
pub use current::CurrentView;
pub use digest::RequestDigest;
pub use follow::{Follower, FollowerConfig, RegistryState};
pub use hub::loads_interval;
pub use member::{
    EvacuationOutcome, Member, MemberConfig, PlanValidator, PutOutcome, QuarantineOutcome,
    ReadOutcome,
};
pub use message::{
    EntryInfo, Health, ListStamps, LoadReport, Relay, Stamp, Upstream, UpstreamList, UpstreamLoad,
    VersionList,
};
pub use reader::{ListSource, Listing, read_interval};
pub use repair::{LEARNER_TIMEOUT, PeerView, RepairView, VOTER_TIMEOUT, next_membership};

use wire::Secret;

/// The secret with which the processes of a deployment authenticate their connections. It is public,
/// since the platform provides no secrets; it only keeps other programs from being taken for ours.
const DEPLOYMENT_SECRET: &[u8] = b"mothplank deployment v1";

/// Returns the secret of the connections between the system's processes.
///
/// # Panics
/// Never panics: the constant is long enough.
pub fn deployment_secret() -> Secret {
    Secret::new(DEPLOYMENT_SECRET).expect("the constant is long enough")
}
