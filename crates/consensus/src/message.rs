//! The types of the state machine's input and output.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use types::{LogIndex, NodeId, Term};

/// The part of a node's state, besides log and snapshot, that must survive a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The highest term seen.
    pub term: Term,
    /// The candidate that this node voted for in that term.
    pub vote: Option<NodeId>,
    /// An index known to be committed. It may lag behind, and is never ahead of the log on disk.
    pub commit: LogIndex,
}

/// The members of the cluster. A change adds or removes at most one voter. Replacing a voter takes
/// two changes, since {A, B, C} and {A, B, D} have quorums that do not intersect.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// The voters, each with an opaque address for the driver.
    pub voters: BTreeMap<NodeId, Vec<u8>>,
    /// The learners, each with an opaque address for the driver. They replicate the log without a
    /// vote.
    pub learners: BTreeMap<NodeId, Vec<u8>>,
}

/// The payload of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No payload. A new leader commits such an entry in its own term first.
    Empty,
    /// A command for the replicated state.
    Command(Vec<u8>),
    /// A new membership; it is in force as soon as the entry is in the log.
    Membership(Membership),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term in which it was proposed.
    pub term: Term,
    /// The index of the entry.
    pub index: LogIndex,
    /// The payload.
    pub payload: Payload,
}

/// A snapshot of the replicated state after the entry at `index`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last index that the snapshot covers.
    pub index: LogIndex,
    /// The term of that index.
    pub term: Term,
    /// The membership at that index.
    pub membership: Membership,
    /// The encoded state.
    pub data: Vec<u8>,
}

/// A message between two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: NodeId,
    /// The receiver.
    pub to: NodeId,
    /// The sender's term. For a pre-vote, the term that the sender would campaign in.
    pub term: Term,
    /// The content.
    pub body: Body,
}

/// The kinds of messages and their contents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver would grant a vote. Raises no term.
    PreVote {
        /// The last index of the candidate's log.
        index: LogIndex,
        /// The term of that index.
        term: Term,
    },
    /// Answers a pre-vote.
    PreVoteReply {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// The last index of the candidate's log.
        index: LogIndex,
        /// The term of that index.
        term: Term,
        /// Whether the leader transferred its leadership to the candidate. The receiver may then
        /// grant the vote although it recently heard from a leader.
        transfer: bool,
    },
    /// Answers a vote request.
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Replicates entries. Without entries, it is a heartbeat.
    Append {
        /// The index before the first entry.
        prior: LogIndex,
        /// The term of that index.
        prior_term: Term,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: LogIndex,
        /// The number of the latest read round, which the reply repeats.
        round: u64,
    },
    /// Answers `Append`.
    AppendReply {
        /// Whether the entries match the log and are on the follower's disk up to `index`.
        accepted: bool,
        /// The last index that matches; for a rejection, a hint at the last index that may match.
        index: LogIndex,
        /// The read round of the `Append`.
        round: u64,
    },
    /// Carries a part of a snapshot.
    SnapshotPart {
        /// The snapshot without its data.
        head: Snapshot,
        /// The offset of the part in the data, in bytes.
        offset: u64,
        /// The part.
        part: Vec<u8>,
        /// The length of the data, in bytes.
        total: u64,
    },
    /// Answers a part of a snapshot.
    SnapshotReply {
        /// The snapshot's index.
        index: LogIndex,
        /// The offset of the next part, in bytes; the total length once the snapshot is installed.
        offset: u64,
    },
    /// Tells a voter to start an election at once.
    TransferNow,
}

/// The role of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Replicates the log without a vote.
    Learner,
    /// Replicates the log and votes.
    #[default]
    Follower,
    /// Asks the other voters in a pre-vote whether it could win an election.
    PreCandidate,
    /// Campaigns to become the leader.
    Candidate,
    /// Leads the cluster.
    Leader,
}

/// The work for the driver. Only `messages` must wait for the writes; the rest may be done at once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ready {
    /// The hard state to write, if it changed.
    pub hard_state: Option<HardState>,
    /// A snapshot from the leader, to write. It replaces the log and the state before `committed`
    /// is applied.
    pub snapshot: Option<Snapshot>,
    /// Entries to write. They replace the log from the first of their indexes on.
    pub entries: Vec<Entry>,
    /// Messages that depend on no pending write; they may be sent at once.
    pub immediate: Vec<Message>,
    /// Messages that may be sent once the writes are synced.
    pub messages: Vec<Message>,
    /// Committed entries to apply, in order. A quorum has them on disk; this node may not have them
    /// on its own disk yet.
    pub committed: Vec<Entry>,
    /// Confirmed reads, as id and index. Each may be answered once its index is applied.
    pub reads: Vec<(u64, LogIndex)>,
    /// The ids of reads that failed because leadership was lost.
    pub failed_reads: Vec<u64>,
}

impl Ready {
    /// Returns whether there is anything to write.
    pub fn has_writes(&self) -> bool {
        self.hard_state.is_some() || self.snapshot.is_some() || !self.entries.is_empty()
    }
}
