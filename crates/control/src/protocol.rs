//! The messages between two members. Each member opens a connection to every other member; it sends
//! its requests on that connection and receives the replies on it.

use std::fmt;

use serde::{Deserialize, Serialize};
use types::{
    CustomerName, Incarnation, Micros, NodeId, PoolName, SiteName, StageName, Term, Tokens,
    UnixMillis, Version, VmName,
};
use uuid::Uuid;
use wire::loads::NumberedDigest;
use wire::session::{CustomerShare, LoadReport, Ticket, UsageReport};

use crate::request::{LeaderRequest, LeaderResult};

/// Identifies a cluster, from its `init` on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClusterId(pub Uuid);

impl fmt::Display for ClusterId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The status of an entry that has a session with a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The VM.
    pub vm: VmName,
    /// The site.
    pub site: SiteName,
    /// The incarnation of the entry's process.
    pub owner: Incarnation,
    /// The service version that the entry last reported to have in force.
    pub version: Version,
    /// Milliseconds since the entry last requested a confirmation, at the time this was sent;
    /// `None` if it never did.
    pub age_ms: Option<u64>,
    /// Whether the entry has reported that it drains.
    pub draining: bool,
    /// A version that the entry did not install, and the reason.
    pub rejected: Option<(Version, String)>,
}

/// A member's announcement of itself, sent at the start of a connection and then twice a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Announce {
    /// The VM.
    pub(crate) vm: VmName,
    /// The node id, which identifies the incarnation of the data folder.
    pub(crate) node: NodeId,
    /// The cluster; `None` if the member belongs to none yet.
    pub(crate) cluster: Option<ClusterId>,
    /// The member's term.
    pub(crate) term: Term,
    /// The leader that the member knows in that term.
    pub(crate) leader: Option<VmName>,
    /// The entries that have a session with the member; `None` if they are unchanged since the last
    /// list on this connection.
    pub(crate) entries: Option<Vec<EntryStatus>>,
}

/// A message from the member that opened the connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum MemberMessage {
    /// The sender's announcement.
    Announce(Announce),
    /// A message between the consensus nodes.
    Consensus(consensus::Message),
    /// A request to the leader.
    LeaderRequest {
        /// The number of the request.
        ticket: Ticket,
        /// The request.
        request: LeaderRequest,
    },
    /// Asks the receiver not to start a cluster for a while, because the sender is about to start
    /// one.
    Reserve {
        /// The number of the request.
        ticket: Ticket,
    },
    /// Asks for the stage usage that entries reported to this member.
    Report {
        /// The number of the request.
        ticket: Ticket,
        /// The time span.
        span: TimeSpan,
    },
    /// From the leader: the loads of upstreams that changed.
    Loads(NumberedDigest),
    /// From the leader: the changed shares of the customers' limits, by entry.
    Shares {
        /// The leader's term.
        term: Term,
        /// Whether these are all shares rather than only the changed ones.
        is_full: bool,
        /// The shares.
        shares: Vec<(VmName, Vec<CustomerShare>)>,
    },
    /// To the leader: an entry's calls in flight.
    Load(LoadReport),
    /// To the leader: the usage that an entry reported.
    Usage {
        /// The entry's VM.
        vm: VmName,
        /// The usage report.
        report: UsageReport,
    },
}

/// A reply on the same connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct MemberReply {
    /// The number of the request.
    pub(crate) ticket: Ticket,
    /// The reply.
    pub(crate) reply: Reply,
}

/// The content of a reply.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Reply {
    /// The reply to `LeaderRequest`.
    LeaderResult(LeaderResult),
    /// The reply to `Reserve`; an error contains the reason for the refusal.
    Reserve(Result<(), String>),
    /// The reply to `Report`.
    Report(Vec<UsageRow>),
}

/// A span of wall clock time, including its start and excluding its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TimeSpan {
    /// The start.
    pub from: UnixMillis,
    /// The end.
    pub to: UnixMillis,
}

/// The usage of one customer's stage in one pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct UsageRow {
    /// The customer.
    pub customer: CustomerName,
    /// The stage.
    pub stage: StageName,
    /// The pool.
    pub pool: PoolName,
    /// The number of calls whose result was used.
    pub calls: u64,
    /// The busy time of those calls.
    pub busy: Micros,
    /// The tokens of those calls.
    pub tokens: Tokens,
    /// The busy time of calls whose result was not used.
    pub wasted: Micros,
}
