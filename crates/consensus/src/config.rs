//! The parameters and restored data of a node, and the results of its calls.

use std::fmt;

use types::{LogIndex, NodeId, Term};

use crate::message::{Entry, HardState, Snapshot};

/// The fixed parameters of a node.
#[derive(Clone, Debug)]
pub struct Config {
    /// The id of this incarnation of the data folder. An empty folder needs a new id; with its old
    /// id the node could vote twice in one term.
    pub id: NodeId,
    /// The shortest election timeout, in ticks. Each timeout is drawn at random between this value
    /// and twice this value.
    pub election_ticks: u32,
    /// The shortest timeout of the first election after a start, in ticks; capped at
    /// `election_ticks`. It may be shorter: a node that has just started knows no leader and sends
    /// a pre-vote first, which the others refuse while they have a leader. After a power failure of
    /// all nodes, a leader is elected sooner.
    pub first_ticks: u32,
    /// The interval between two heartbeats, in ticks; well below `election_ticks`.
    pub heartbeat_ticks: u32,
    /// The time, in ticks, after which a leader transfers its leadership because its own disk still
    /// lacks entries that were committed.
    pub lag_ticks: u32,
    /// The time, in ticks, after which a write in flight counts as stalled. The node then stops
    /// answering heartbeats, so the leader treats it like a node that is silent.
    pub stall_ticks: u32,
    /// The timeout of a leadership transfer whose target answers, in ticks. A target that is silent
    /// gets one election timeout.
    pub transfer_ticks: u32,
    /// The maximum number of entries in one `Append`.
    pub max_entries: usize,
    /// The maximum size of the entries in one `Append`, in bytes. A single larger entry is still
    /// sent, alone.
    pub max_bytes: usize,
    /// The size of one part of a snapshot, in bytes.
    pub part_bytes: usize,
    /// The seed of the election timeouts. It is mixed with the id, so nodes may share a seed.
    pub seed: u64,
}

/// The contents of the data folder. The default is an empty folder.
///
/// A new cluster starts from one node whose snapshot has index 1, term 1 and a membership with that
/// node as the only voter. The index must not be 0: other nodes are sent the snapshot only if they
/// lack entries before it.
#[derive(Clone, Debug, Default)]
pub struct Restored {
    /// The hard state that was written last.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries, without gaps. Entries that the snapshot covers may still be among them.
    pub entries: Vec<Entry>,
}

/// The error of a call on a node that does not lead, or that is transferring its leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotLeader {
    /// The leader, if known.
    pub leader: Option<NodeId>,
}

impl fmt::Display for NotLeader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.leader {
            Some(leader) => write!(f, "not the leader; ask node {leader}"),
            None => f.write_str("not the leader, and none is known"),
        }
    }
}

impl std::error::Error for NotLeader {}

/// The reasons to refuse a change of the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeError {
    /// The node does not lead.
    NotLeader(NotLeader),
    /// The previous change is not committed yet.
    InProgress,
    /// The leader has not committed an entry of its own term yet, or the new voter does not hold
    /// the committed log yet. The caller may retry.
    NotReady,
    /// The membership must not follow the current one.
    Invalid(&'static str),
}

impl fmt::Display for ChangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader(error) => error.fmt(f),
            Self::InProgress => f.write_str("the previous change of members is not committed yet"),
            Self::NotReady => f.write_str("the leader or the new voter is not ready; retry"),
            Self::Invalid(reason) => f.write_str(reason),
        }
    }
}

impl std::error::Error for ChangeError {}

/// The position of a proposal in the log. The proposal is committed if the entry committed at
/// `index` has this `term`; if that entry has another term, the proposal is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The term in which the entry was proposed.
    pub term: Term,
    /// The index of the entry.
    pub index: LogIndex,
}
