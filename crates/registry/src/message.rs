//! The messages between members, and between members and entries.

use std::fmt;
use std::net::SocketAddr;

use consensus::Message;
use serde::{Deserialize, Serialize};
use types::{LogIndex, NodeId, Version};

use crate::difference::Difference;
use crate::parcel::{Label, Part};
use crate::quarantine::{Evidence, QuarantineList};

/// What one member sends another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A message of the replicated log, and where its sender is reached: one that joins knows no
    /// membership yet, and could not answer.
    Log(Message, SocketAddr),
    /// A node without a leader asks to take part.
    Join {
        /// The node.
        node: NodeId,
        /// Where members reach it.
        address: SocketAddr,
        /// Whether the request was passed on by a member; it is passed on only once.
        relayed: bool,
    },
    /// Asks the leader how far the log is committed, as a quorum confirms it after this question.
    Confirm {
        /// Repeated by the answer.
        ticket: u64,
        /// Where the asking member is reached.
        from: SocketAddr,
    },
    /// Answers `Confirm`.
    Confirmed {
        /// The ticket of the question.
        ticket: u64,
        /// How far the log was committed.
        index: LogIndex,
    },
}

/// What an entry sends a member.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToMember {
    /// The entry's first message.
    Hello(EntrySeen),
    /// The entry ends and should not be named to others any more.
    Leave,
    /// What the entry has under way at upstreams.
    Loads(LoadReport),
    /// Asks for the plan with this version, or a newer one, in one piece: what entries of the release
    /// before ask. Members go first in a rolling upgrade.
    Fetch(Version),
    /// Asks for the next part of a plan.
    Ask(Question),
    /// Tells the leader of requests under which upstreams end.
    Evidence(Evidence),
}

/// A question for the next part of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// The version that is wanted, or a newer one.
    pub version: Version,
    /// The version that the entry has and can take a difference from.
    pub held: Option<Version>,
    /// The parcel that has begun to arrive.
    pub begun: Option<Begun>,
}

/// How much of a parcel has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Begun {
    /// The parcel.
    pub label: Label,
    /// The bytes of it that are there.
    pub offset: u32,
}

/// What a member sends an entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToEntry {
    /// The plan that the member has applied.
    Held {
        /// Its version; zero where there is none.
        version: Version,
        /// Whether a quorum confirmed, after the entry connected, that nothing newer had been
        /// acknowledged.
        current: bool,
    },
    /// A plan, as the operator sent it, for an entry of the release before.
    Plan {
        /// Its version.
        version: Version,
        /// Its text.
        text: Vec<u8>,
    },
    /// The upstreams, from the leader.
    Upstreams(UpstreamList),
    /// The entries that are there, from the leader.
    Entries(Stamp, Vec<EntrySeen>),
    /// What all entries together have under way at upstreams, from the leader.
    Loads(LoadReport),
    /// The members that an entry may connect to.
    Members(Vec<SocketAddr>),
    /// A part of a plan.
    Part(Part),
    /// How the entries that are there differ from those that the leader told last.
    EntriesChanged(Difference<EntrySeen, SocketAddr>),
    /// How the upstreams differ from those that the leader told last.
    UpstreamsChanged(Difference<Upstream, String>),
    /// The requests that are not sent, from the leader.
    Quarantine(QuarantineList),
}

/// The level of an entry that takes differences of lists.
pub const DIFFERENCES: u8 = 1;

/// The level of an entry, or a member, that knows of requests that are not sent.
pub const QUARANTINE: u8 = 2;

/// Orders what successive leaders hand out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// The leader's term.
    pub term: u64,
    /// The count within the term.
    pub count: u64,
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.count)
    }
}

/// An entry, as it introduced itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntrySeen {
    /// Its VM's name.
    pub name: String,
    /// Where other entries reach it.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
}

/// The upstreams at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamList {
    /// Orders the lists.
    pub stamp: Stamp,
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
}

/// What an entry in touch with the registry passes on to one that is not.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relay {
    /// Orders the lists of entries.
    pub seated: Stamp,
    /// The entries that are there.
    pub entries: Vec<EntrySeen>,
    /// The upstreams.
    pub upstreams: UpstreamList,
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Health {
    /// It takes new work.
    Ready,
    /// It is leaving and must get no new work.
    Draining,
}

/// One life of an upstream, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// The id of this life.
    pub id: String,
    /// The service it belongs to.
    pub service: String,
    /// Where it listens. The address may be used by another upstream later.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// How many requests it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub health: Health,
}

/// What is under way at upstreams; those without anything are left out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The list of upstreams that the positions refer to.
    pub listed: Stamp,
    /// The loads.
    pub loads: Vec<UpstreamLoad>,
}

/// What is under way at one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// Its position in the list of upstreams.
    pub position: u32,
    /// Requests at work.
    pub running: u32,
    /// Prompt tokens of requests that have no first event yet.
    pub tokens: u64,
}
