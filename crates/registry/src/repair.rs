//! Decides how the membership is repaired, by one change of one node at a time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use consensus::Membership;
use types::NodeId;

/// How long a voter may be silent before a caught-up learner replaces it. It is longer than the
/// longest election timeout, so that a change of the leader is not taken for the loss of a voter.
pub const VOTER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// How long a learner may be silent before it is removed.
pub const LEARNER_TIMEOUT: Duration = Duration::from_secs(20);

/// The state of another node, as the leader knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerView {
    /// The time since its last message.
    pub silent: Duration,
    /// Whether it holds all that is committed.
    pub caught_up: bool,
}

/// The input of the leader's decision.
#[derive(Clone, Debug)]
pub struct RepairView<'a> {
    /// The id of the leader.
    pub me: NodeId,
    /// The current membership.
    pub membership: &'a Membership,
    /// The other nodes of the membership.
    pub peers: &'a BTreeMap<NodeId, PeerView>,
    /// The nodes that asked to join lately; for each address the last one.
    pub joins: &'a BTreeMap<SocketAddr, NodeId>,
    /// The wanted number of voters.
    pub target_voters: usize,
}

/// Returns the next membership, or `None` if no change is needed.
pub fn next_membership(view: &RepairView<'_>) -> Option<Membership> {
    remove_replaced(view)
        .or_else(|| add_learner(view))
        .or_else(|| promote_learner(view))
        .or_else(|| remove_dead_voter(view))
        .or_else(|| remove_gone_learner(view))
}

/// Encodes a node's address for the membership.
pub(crate) fn address_bytes(address: SocketAddr) -> Vec<u8> {
    address.to_string().into_bytes()
}

/// Decodes a node's address from the membership.
pub(crate) fn address_of(bytes: &[u8]) -> Option<SocketAddr> {
    std::str::from_utf8(bytes).ok()?.parse().ok()
}

/// Removes a node whose address another node uses now: the VM restarted with an empty disk, so the
/// old node will never vote again. It is removed before its successor is added, so that the remaining
/// nodes can still form a quorum.
fn remove_replaced(view: &RepairView<'_>) -> Option<Membership> {
    let successor = |bytes: &[u8]| view.joins.get(&address_of(bytes)?).copied();
    let taken =
        |id: &NodeId, bytes: &[u8]| *id != view.me && successor(bytes).is_some_and(|it| it != *id);
    without(view, taken)
}

/// Adds a node that asked to join, as a learner.
fn add_learner(view: &RepairView<'_>) -> Option<Membership> {
    let (address, id) = view.joins.iter().find(|(_, id)| !view.membership.contains(**id))?;
    let mut next = view.membership.clone();
    next.learners.insert(*id, address_bytes(*address));
    Some(next)
}

/// Makes a caught-up learner a voter if there are too few.
fn promote_learner(view: &RepairView<'_>) -> Option<Membership> {
    if view.membership.voters.len() >= view.target_voters {
        return None;
    }
    let id = ready_learner(view)?;
    let mut next = view.membership.clone();
    let address = next.learners.remove(&id)?;
    next.voters.insert(id, address);
    Some(next)
}

/// Removes a silent voter once a caught-up learner can replace it.
fn remove_dead_voter(view: &RepairView<'_>) -> Option<Membership> {
    ready_learner(view)?;
    let silent = |id: &NodeId| view.peers.get(id).is_some_and(|it| it.silent >= VOTER_TIMEOUT);
    let dead = view.membership.voters.keys().find(|id| **id != view.me && silent(id)).copied()?;
    let mut next = view.membership.clone();
    next.voters.remove(&dead);
    Some(next)
}

/// Removes a learner that was silent for too long.
fn remove_gone_learner(view: &RepairView<'_>) -> Option<Membership> {
    let silent = |id: &NodeId| view.peers.get(id).is_some_and(|it| it.silent >= LEARNER_TIMEOUT);
    let id = view.membership.learners.keys().find(|id| silent(id)).copied()?;
    let mut next = view.membership.clone();
    next.learners.remove(&id);
    Some(next)
}

/// Returns a learner that is caught up and not silent.
fn ready_learner(view: &RepairView<'_>) -> Option<NodeId> {
    let ready = |id: &&NodeId| {
        let peer = view.peers.get(*id);
        peer.is_some_and(|it| it.caught_up && it.silent < Duration::from_secs(1))
    };
    view.membership.learners.keys().find(ready).copied()
}

/// Removes the first learner, or else the first voter, for which `drop` returns true.
fn without(view: &RepairView<'_>, drop: impl Fn(&NodeId, &[u8]) -> bool) -> Option<Membership> {
    let mut next = view.membership.clone();
    if let Some(id) = next.learners.iter().find(|(id, it)| drop(id, it)).map(|(id, _)| *id) {
        next.learners.remove(&id);
        return Some(next);
    }
    let id = next.voters.iter().find(|(id, it)| drop(id, it)).map(|(id, _)| *id)?;
    next.voters.remove(&id);
    Some(next).filter(|it| !it.voters.is_empty())
}
