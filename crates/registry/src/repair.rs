//! Decides how the membership mends itself: one change of one node at a time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use consensus::Membership;
use types::NodeId;

/// How long a voter may be silent before a caught-up learner takes its place. Above the longest
/// election timeout, so that a leader's change is not taken for a loss.
pub const DEAD_AFTER: Duration = Duration::from_millis(2_500);

/// How long a learner may be silent before it is dropped.
pub const LEARNER_GONE: Duration = Duration::from_secs(20);

/// What a leader knows of another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerView {
    /// For how long nothing came from it.
    pub silent: Duration,
    /// Whether it holds all that is committed.
    pub caught_up: bool,
}

/// What a leader decides by.
#[derive(Clone, Debug)]
pub struct RepairView<'a> {
    /// The leader.
    pub me: NodeId,
    /// The membership in force.
    pub membership: &'a Membership,
    /// The other nodes of the membership.
    pub peers: &'a BTreeMap<NodeId, PeerView>,
    /// The nodes that asked to take part lately; of one address, the latest.
    pub joins: &'a BTreeMap<SocketAddr, NodeId>,
    /// How many voters there should be.
    pub voters: usize,
}

/// Returns the next membership, or `None` where it is as it should be.
pub fn next_membership(view: &RepairView<'_>) -> Option<Membership> {
    replaced(view)
        .or_else(|| joined(view))
        .or_else(|| promoted(view))
        .or_else(|| dead(view))
        .or_else(|| gone_learner(view))
}

/// Encodes a node's address for the membership.
pub(crate) fn address_bytes(address: SocketAddr) -> Vec<u8> {
    address.to_string().into_bytes()
}

/// Decodes a node's address from the membership.
pub(crate) fn address_of(bytes: &[u8]) -> Option<SocketAddr> {
    std::str::from_utf8(bytes).ok()?.parse().ok()
}

/// Drops a node whose address another one uses now: the VM came back with an empty disk, so the
/// old vote is gone for good. It goes before its successor is added, which keeps the quorum
/// within reach of those that are left.
fn replaced(view: &RepairView<'_>) -> Option<Membership> {
    let successor = |bytes: &[u8]| view.joins.get(&address_of(bytes)?).copied();
    let taken =
        |id: &NodeId, bytes: &[u8]| *id != view.me && successor(bytes).is_some_and(|it| it != *id);
    without(view, taken)
}

fn joined(view: &RepairView<'_>) -> Option<Membership> {
    let (address, id) = view.joins.iter().find(|(_, id)| !view.membership.contains(**id))?;
    let mut next = view.membership.clone();
    next.learners.insert(*id, address_bytes(*address));
    Some(next)
}

fn promoted(view: &RepairView<'_>) -> Option<Membership> {
    if view.membership.voters.len() >= view.voters {
        return None;
    }
    let id = ready_learner(view)?;
    let mut next = view.membership.clone();
    let address = next.learners.remove(&id)?;
    next.voters.insert(id, address);
    Some(next)
}

/// Drops a silent voter once a learner stands by to take its place.
fn dead(view: &RepairView<'_>) -> Option<Membership> {
    ready_learner(view)?;
    let silent = |id: &NodeId| view.peers.get(id).is_some_and(|it| it.silent >= DEAD_AFTER);
    let dead = view.membership.voters.keys().find(|id| **id != view.me && silent(id)).copied()?;
    let mut next = view.membership.clone();
    next.voters.remove(&dead);
    Some(next)
}

fn gone_learner(view: &RepairView<'_>) -> Option<Membership> {
    let silent = |id: &NodeId| view.peers.get(id).is_some_and(|it| it.silent >= LEARNER_GONE);
    let id = view.membership.learners.keys().find(|id| silent(id)).copied()?;
    let mut next = view.membership.clone();
    next.learners.remove(&id);
    Some(next)
}

fn ready_learner(view: &RepairView<'_>) -> Option<NodeId> {
    let ready = |id: &&NodeId| {
        let peer = view.peers.get(*id);
        peer.is_some_and(|it| it.caught_up && it.silent < Duration::from_secs(1))
    };
    view.membership.learners.keys().find(ready).copied()
}

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
