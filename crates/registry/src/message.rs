//! The messages between members, and between members and entries.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::net::SocketAddr;

use consensus::Message;
use serde::{Deserialize, Serialize};
use types::{LogIndex, NodeId, SoftwareVersion, Version};

use crate::capacity::{Capacity, EntryWithCapacity};
use crate::cold::ColdList;
use crate::content::{Held, Offer, Patch};
use crate::difference::Difference;
use crate::evacuation::EvacuatedDomains;
use crate::outcomes::{OutcomeReport, OutcomeTotals};
use crate::package::{PackageId, Part};
use crate::quarantine::{Evidence, QuarantineList};

/// A message from one member to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A message of the replicated log, and the address of its sender: a node that joins does not know
    /// the membership yet and could not answer otherwise.
    Log(Message, SocketAddr),
    /// A node without a leader asks to join.
    Join {
        /// The node.
        node: NodeId,
        /// The address at which members reach it.
        address: SocketAddr,
        /// Whether a member forwarded the request; it is forwarded only once.
        relayed: bool,
    },
    /// Asks the leader for a commit index that a quorum confirms after this question.
    Confirm {
        /// The number of the question; the answer repeats it.
        ticket: u64,
        /// The address of the asking member.
        from: SocketAddr,
    },
    /// Answers `Confirm`.
    Confirmed {
        /// The number of the question.
        ticket: u64,
        /// The confirmed commit index.
        index: LogIndex,
    },
}

/// A message from an entry to a member.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToMember {
    /// The entry's first message.
    Hello(EntryInfo),
    /// The entry is shutting down and must be removed from the list of entries.
    Leave,
    /// The load that the entry has in flight at each upstream.
    Loads(LoadReport),
    /// Asks for the plan with this version, or a newer one, in one message. Entries of the previous
    /// release send it: a rolling upgrade starts with the members.
    FetchPlan(Version),
    /// Asks for the next part of a plan.
    FetchPart(PartRequest),
    /// Reports requests that may terminate upstreams to the leader.
    Evidence(Evidence),
    /// Answers the offer of a list of upstreams with this number.
    UpstreamsHeld(Stamp, Held),
    /// Answers the offer of a list of entries with this number.
    EntriesHeld(Stamp, Held),
    /// The capacity of the entry's VM.
    Capacity(Capacity),
    /// The outcomes of requests that the entry has seen since its last report.
    Outcomes(OutcomeReport),
}

/// A request for the next part of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRequest {
    /// The lowest version that the entry wants.
    pub version: Version,
    /// The version that the entry has, to which a difference may be sent.
    pub held: Option<Version>,
    /// The package of which some parts have arrived.
    pub progress: Option<PackageProgress>,
}

/// The progress of receiving a package.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackageProgress {
    /// The id of the package.
    pub id: PackageId,
    /// The number of bytes that have arrived.
    pub offset: u32,
}

/// A message from a member to an entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToEntry {
    /// The version of the plan that the member has applied.
    PlanVersion {
        /// The version; zero if there is no plan.
        version: Version,
        /// Whether a quorum confirmed, after the entry connected, that no newer plan had been
        /// acknowledged.
        current: bool,
    },
    /// A whole plan, as the operator sent it, for an entry of the previous release.
    Plan {
        /// The version of the plan.
        version: Version,
        /// The text of the plan.
        text: Vec<u8>,
    },
    /// The upstreams, from the leader.
    Upstreams(UpstreamList),
    /// The connected entries, from the leader.
    Entries(Stamp, Vec<EntryInfo>),
    /// The sum of the loads that all entries have in flight at upstreams, from the leader.
    Loads(LoadReport),
    /// The members that an entry may connect to.
    Members(Vec<SocketAddr>),
    /// A part of a plan.
    Part(Part),
    /// The difference between the connected entries and the list that the leader sent last.
    EntriesChanged(Difference<EntryInfo, SocketAddr>),
    /// The difference between the upstreams and the list that the leader sent last.
    UpstreamsChanged(Difference<Upstream, String>),
    /// The requests that entries must not send, from the leader.
    Quarantine(QuarantineList),
    /// The evacuated failure domains that the member has applied.
    Evacuated(EvacuatedDomains),
    /// The cold upstreams, from the leader.
    Cold(ColdList),
    /// The digest of the leader's list of upstreams, for an entry that may hold it.
    UpstreamsOffered(Offer),
    /// The digest of the leader's list of entries, for an entry that may hold it.
    EntriesOffered(Offer),
    /// The difference between the leader's upstreams and those that the entry named.
    UpstreamsPatched(Patch<Upstream>),
    /// The difference between the leader's entries and those that the entry named.
    EntriesPatched(Patch<EntryInfo>),
    /// The versions of the upstreams in the next message about upstreams.
    Versions(VersionList),
    /// The connected entries with their capacities, from the leader. An entry that can read these
    /// gets no other messages about entries.
    EntriesWithCapacities(Stamp, Vec<EntryWithCapacity>),
    /// The difference between the connected entries and the list that the leader sent last.
    EntriesWithCapacitiesChanged(Difference<EntryWithCapacity, SocketAddr>),
    /// The digest of the leader's list of entries and their capacities, for an entry that may hold
    /// it.
    EntriesWithCapacitiesOffered(Offer),
    /// The difference between the leader's entries and those that the entry named.
    EntriesWithCapacitiesPatched(Patch<EntryWithCapacity>),
    /// The outcomes of requests that all entries have seen, from the leader.
    Outcomes(OutcomeTotals),
}

/// The protocol level from which an entry accepts differences of lists.
pub const DIFFERENCES_LEVEL: u8 = 1;

/// The protocol level from which entries and members support the quarantine of requests.
pub const QUARANTINE_LEVEL: u8 = 2;

/// The protocol level from which entries obey evacuations and spare cold upstreams.
pub const DOMAINS_LEVEL: u8 = 4;

/// The protocol level from which entries answer offers of lists.
pub const OFFERS_LEVEL: u8 = 5;

/// The protocol level from which messages about upstreams come with the versions of their software.
pub const VERSIONS_LEVEL: u8 = 7;

/// The protocol level from which entries announce their capacities and lists of entries have them.
pub const CAPACITIES_LEVEL: u8 = 9;
/// The protocol level from which entries and members exchange the outcomes of requests.
pub const OUTCOMES_LEVEL: u8 = 9;

/// The number of a list that a leader publishes. It orders the lists of successive leaders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// The term of the leader.
    pub term: u64,
    /// The number within the term.
    pub count: u64,
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.count)
    }
}

/// An entry, as it describes itself when it connects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryInfo {
    /// The name of its VM.
    pub name: String,
    /// The address at which other entries reach it.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// The capacity of its VM. Peers of earlier releases read entries without it, so it travels in
    /// an [`EntryWithCapacity`].
    #[serde(skip)]
    pub capacity: Capacity,
}

/// A list of all upstreams at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamList {
    /// The number of the list.
    pub stamp: Stamp,
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
}

/// The numbers of the lists that an entry holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListStamps {
    /// The number of the list of entries.
    pub entries: Stamp,
    /// The number of the list of upstreams.
    pub upstreams: Stamp,
}

/// The lists that an entry forwards to one that has no connection to the registry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relay {
    /// The number of the list of entries.
    pub entries_stamp: Stamp,
    /// The connected entries.
    pub entries: Vec<EntryInfo>,
    /// The upstreams.
    pub upstreams: UpstreamList,
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Health {
    /// It takes new work.
    Ready,
    /// It is about to terminate and must get no new work.
    Draining,
}

/// One incarnation of an upstream, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// The id of this incarnation.
    pub id: String,
    /// The service it belongs to.
    pub service: String,
    /// The address at which it listens. Another upstream may use the address later.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// The number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it takes new work.
    pub health: Health,
    /// The version of its software, which never changes. Peers of earlier releases read lists without
    /// it, so it travels in a [`VersionList`].
    #[serde(skip)]
    pub version: SoftwareVersion,
}

/// The ids of upstreams, by the version of their software.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionList(BTreeMap<SoftwareVersion, Vec<String>>);

impl VersionList {
    /// Returns the versions of these upstreams, without those that are not known.
    pub fn of(upstreams: &[Upstream]) -> Self {
        let mut versions: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for it in upstreams.iter().filter(|it| it.version.is_known()) {
            versions.entry(it.version.clone()).or_default().push(it.id.clone());
        }
        Self(versions)
    }

    /// Returns whether no version is known.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Sets the versions of the upstreams that are listed here.
    pub fn fill(&self, upstreams: &mut [Upstream]) {
        let known =
            self.0.iter().flat_map(|(version, ids)| ids.iter().map(move |id| (id, version)));
        let known: HashMap<_, _> = known.collect();
        for upstream in upstreams {
            if let Some(version) = known.get(&upstream.id) {
                upstream.version = SoftwareVersion::clone(version);
            }
        }
    }
}

/// The loads in flight at upstreams; upstreams without any are left out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The number of the list of upstreams that the positions refer to.
    pub upstreams_stamp: Stamp,
    /// The loads.
    pub loads: Vec<UpstreamLoad>,
}

/// The load in flight at one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// Its position in the list of upstreams.
    pub position: u32,
    /// The number of requests in flight.
    pub running: u32,
    /// The prompt tokens of requests whose first event has not arrived yet.
    pub tokens: u64,
}
