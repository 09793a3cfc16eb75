//! The status of a node.

use std::collections::BTreeMap;

use types::{LogIndex, NodeId, Term};

use crate::message::Role;
use crate::node::Node;

/// A node's status and, if it leads, that of its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The id of the node.
    pub id: NodeId,
    /// The highest term seen.
    pub term: Term,
    /// The role of the node.
    pub role: Role,
    /// The leader, if known.
    pub leader: Option<NodeId>,
    /// The highest committed index.
    pub commit: LogIndex,
    /// The highest index handed to the driver to apply.
    pub applied: LogIndex,
    /// The index of the first entry in the log.
    pub first: LogIndex,
    /// The index of the last entry in the log.
    pub last: LogIndex,
    /// Whether the node leads and an entry of its own term is committed; only then may it change
    /// the membership. Until then it confirms reads only if its whole log was known to be
    /// committed.
    pub term_committed: bool,
    /// Whether a transfer of leadership is in progress.
    pub transferring: bool,
    /// The peers, by id; empty unless the node leads.
    pub peers: BTreeMap<NodeId, PeerStatus>,
}

/// The leader's view of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// The highest index known to be on the peer's disk.
    pub matched: LogIndex,
    /// Whether the peer replied within the current or the previous election timeout.
    pub active: bool,
    /// Whether the peer is being sent a snapshot.
    pub snapshot: bool,
}

impl Node {
    /// Returns the status of the node.
    pub fn status(&self) -> Status {
        let peers = self.peers.iter().map(|(&id, peer)| (id, peer.status()));
        Status {
            id: self.config.id,
            term: self.term,
            role: self.role,
            leader: self.leader,
            commit: self.commit,
            applied: self.applied,
            first: self.log.first(),
            last: self.log.last(),
            term_committed: self.has_committed_in_term(),
            transferring: self.transfer.is_some(),
            peers: peers.collect(),
        }
    }
}
