//! Decides the next step towards the membership that the settings and the operators ask for.
//!
//! One learner at a time joins; once it holds the log, the old life of its VM (or a voter that is
//! lost for good) is removed, and then the learner becomes a voter. Why in this order is said in
//! `docs/notes/members.md`.

use std::collections::{BTreeMap, BTreeSet};

use consensus::Membership;
use serde::{Deserialize, Serialize};
use types::{LogIndex, NodeId, VmName};

use crate::address::Address;

/// What operators asked for beyond the settings; part of the replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roll {
    /// VMs that an operator added.
    pub added: BTreeSet<VmName>,
    /// VMs that an operator removed.
    pub removed: BTreeSet<VmName>,
}

/// A node that says it belongs to the cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its VM.
    pub vm: VmName,
    /// The life of its data folder.
    pub node: NodeId,
}

/// What the leader knows.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    /// The membership in force.
    pub membership: Membership,
    /// The highest committed index.
    pub commit: LogIndex,
    /// The index up to which each node is known to hold the log.
    pub progress: BTreeMap<NodeId, LogIndex>,
    /// Nodes heard of lately, the leader among them.
    pub active: BTreeSet<NodeId>,
    /// Learners not heard of for so long that another node may join in their place.
    pub stalled: BTreeSet<NodeId>,
    /// Nodes not heard of for so long that they count as lost for good.
    pub lost: BTreeSet<NodeId>,
    /// Nodes that announced themselves lately.
    pub candidates: Vec<Candidate>,
    /// The VMs that should be voters.
    pub wanted: BTreeSet<VmName>,
    /// The VMs that may replace a lost one.
    pub spares: BTreeSet<VmName>,
    /// The VMs that an operator removed.
    pub removed: BTreeSet<VmName>,
    /// Whether voters have been missing for so long that a spare may fill in.
    pub is_short: bool,
}

/// One change of members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Adds a learner.
    Learn(Candidate),
    /// Drops a learner.
    Drop(NodeId),
    /// Removes a voter.
    Remove(NodeId),
    /// Makes a learner a voter.
    Promote(NodeId),
}

impl Step {
    /// Returns the membership after this step.
    pub fn apply(&self, membership: &Membership) -> Membership {
        let mut next = membership.clone();
        match self {
            Step::Learn(it) => {
                next.learners.insert(it.node, Address::encode(&it.vm));
            }
            Step::Drop(node) => {
                next.learners.remove(node);
            }
            Step::Remove(node) => {
                next.voters.remove(node);
            }
            Step::Promote(node) => {
                if let Some(address) = next.learners.remove(node) {
                    next.voters.insert(*node, address);
                }
            }
        }
        next
    }
}

/// Decides the next step, if any is due.
pub fn plan(facts: &Facts) -> Option<Step> {
    let learner = facts.membership.learners.iter().next();
    if let Some((node, address)) = learner {
        return facts.plan_learner(*node, &Address::decode(address)?);
    }
    facts.plan_removal().or_else(|| facts.plan_learn())
}

impl Facts {
    fn vm_of(&self, node: NodeId) -> Option<VmName> {
        self.membership.voters.get(&node).and_then(|it| Address::decode(it))
    }

    fn voter_on(&self, vm: &VmName) -> Option<NodeId> {
        self.membership.voters.keys().copied().find(|node| self.vm_of(*node).as_ref() == Some(vm))
    }

    fn lost_voter(&self) -> Option<NodeId> {
        self.membership.voters.keys().copied().find(|node| self.lost.contains(node))
    }

    fn is_full(&self) -> bool {
        self.membership.voters.len() >= self.wanted.len()
    }

    fn plan_learner(&self, node: NodeId, vm: &VmName) -> Option<Step> {
        let replaced = self.candidates.iter().any(|it| it.vm == *vm && it.node != node);
        if replaced || self.removed.contains(vm) || self.stalled.contains(&node) {
            return Some(Step::Drop(node));
        }
        let holds = self.progress.get(&node).is_some_and(|at| *at >= self.commit);
        if !holds || !self.active.contains(&node) {
            return None;
        }
        if let Some(old) = self.voter_on(vm) {
            return self.removal(old);
        }
        if !self.is_full() {
            return Some(Step::Promote(node));
        }
        match self.lost_voter() {
            Some(lost) => self.removal(lost),
            None => Some(Step::Drop(node)),
        }
    }

    /// Removes a voter if those that are left have a quorum that is heard. Removing an active one
    /// first could leave a membership that can never commit the removal.
    fn removal(&self, node: NodeId) -> Option<Step> {
        let left = self.membership.voters.keys().filter(|it| **it != node);
        let active = left.clone().filter(|it| self.active.contains(it)).count();
        let quorum = left.count() / 2 + 1;
        (active >= quorum).then_some(Step::Remove(node))
    }

    /// Removes a voter that an operator removed. A voter that merely is not in this leader's
    /// settings stays: the settings files of two members may differ for a while.
    fn plan_removal(&self) -> Option<Step> {
        let removed = |it: &VmName| self.removed.contains(it);
        let mut voters = self.membership.voters.keys().copied();
        let node = voters.find(|it| self.vm_of(*it).as_ref().is_some_and(removed))?;
        self.removal(node)
    }

    fn plan_learn(&self) -> Option<Step> {
        let is_new =
            |it: &&Candidate| !self.membership.contains(it.node) && !self.removed.contains(&it.vm);
        let wanted = |it: &&Candidate| self.wanted.contains(&it.vm);
        let spare = |it: &&Candidate| self.spares.contains(&it.vm);
        let outside = || self.candidates.iter().filter(is_new);
        // An old life that is still heard means that two processes run for one VM.
        let is_silent = |old: NodeId| !self.active.contains(&old);
        let came_back = |it: &&Candidate| self.voter_on(&it.vm).is_some_and(is_silent);
        if let Some(it) = outside().find(came_back) {
            return Some(Step::Learn(it.clone()));
        }
        if !self.is_full()
            && let Some(it) = outside().find(wanted)
        {
            return Some(Step::Learn(it.clone()));
        }
        if self.lost_voter().is_none() && (self.is_full() || !self.is_short) {
            return None;
        }
        let next = outside().find(wanted).or_else(|| outside().find(spare))?;
        Some(Step::Learn(next.clone()))
    }
}
