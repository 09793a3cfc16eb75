//! Selects the next change towards the membership that the settings and the operators ask for.
//!
//! One learner joins at a time. Once it has stored the log, the previous incarnation of its VM (or
//! a voter that is lost for good) is removed, and then the learner becomes a voter. The reasons for
//! this order are in `docs/notes/members.md`.

use std::collections::{BTreeMap, BTreeSet};

use consensus::Membership;
use serde::{Deserialize, Serialize};
use types::{LogIndex, NodeId, VmName};

use crate::address::Address;

/// The operators' changes to the set of members in the settings; part of the replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberOverrides {
    /// The VMs that an operator added.
    pub added: BTreeSet<VmName>,
    /// The VMs that an operator removed.
    pub removed: BTreeSet<VmName>,
}

/// A node that announced that it belongs to the cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The node's VM.
    pub vm: VmName,
    /// The node id, which identifies the incarnation of the data folder.
    pub node: NodeId,
}

/// The information from which the leader selects the next change.
#[derive(Clone, Debug, Default)]
pub struct PlanInput {
    /// The membership in force.
    pub membership: Membership,
    /// The highest committed index.
    pub commit: LogIndex,
    /// The index up to which each node is known to have stored the log.
    pub progress: BTreeMap<NodeId, LogIndex>,
    /// The nodes from which the leader has heard recently, including itself.
    pub active: BTreeSet<NodeId>,
    /// The learners that have been silent for so long that another node may join instead.
    pub stalled: BTreeSet<NodeId>,
    /// The nodes that have been silent for so long that they count as lost for good.
    pub lost: BTreeSet<NodeId>,
    /// The nodes that announced themselves recently.
    pub candidates: Vec<Candidate>,
    /// The VMs that should be voters.
    pub wanted: BTreeSet<VmName>,
    /// The VMs that may replace a lost voter.
    pub spares: BTreeSet<VmName>,
    /// The VMs that an operator removed.
    pub removed: BTreeSet<VmName>,
    /// Whether voters have been missing for so long that a spare may join.
    pub lacks_voters: bool,
}

/// A change of the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Adds a learner.
    AddLearner(Candidate),
    /// Removes a learner.
    RemoveLearner(NodeId),
    /// Removes a voter.
    RemoveVoter(NodeId),
    /// Makes a learner a voter.
    Promote(NodeId),
}

impl Step {
    /// Returns the membership after this change.
    pub fn apply(&self, membership: &Membership) -> Membership {
        let mut next = membership.clone();
        match self {
            Step::AddLearner(it) => {
                next.learners.insert(it.node, Address::encode(&it.vm));
            }
            Step::RemoveLearner(node) => {
                next.learners.remove(node);
            }
            Step::RemoveVoter(node) => {
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

/// Returns the next change, if one is due.
pub fn plan(input: &PlanInput) -> Option<Step> {
    let learner = input.membership.learners.iter().next();
    if let Some((node, address)) = learner {
        return input.plan_for_learner(*node, &Address::decode(address)?);
    }
    input.plan_operator_removal().or_else(|| input.plan_join())
}

impl PlanInput {
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

    fn plan_for_learner(&self, node: NodeId, vm: &VmName) -> Option<Step> {
        let is_superseded = self.candidates.iter().any(|it| it.vm == *vm && it.node != node);
        if is_superseded || self.removed.contains(vm) || self.stalled.contains(&node) {
            return Some(Step::RemoveLearner(node));
        }
        let is_caught_up = self.progress.get(&node).is_some_and(|at| *at >= self.commit);
        if !is_caught_up || !self.active.contains(&node) {
            return None;
        }
        if let Some(old) = self.voter_on(vm) {
            return self.remove_if_quorum_remains(old);
        }
        if !self.is_full() {
            return Some(Step::Promote(node));
        }
        match self.lost_voter() {
            Some(lost) => self.remove_if_quorum_remains(lost),
            None => Some(Step::RemoveLearner(node)),
        }
    }

    /// Removes a voter if the remaining voters contain an active quorum. Without this check,
    /// removing an active voter could leave a membership that can never commit the removal.
    fn remove_if_quorum_remains(&self, node: NodeId) -> Option<Step> {
        let remaining = self.membership.voters.keys().filter(|it| **it != node);
        let active = remaining.clone().filter(|it| self.active.contains(it)).count();
        let quorum = remaining.count() / 2 + 1;
        (active >= quorum).then_some(Step::RemoveVoter(node))
    }

    /// Removes a voter that an operator removed. A voter that is merely missing from this leader's
    /// settings stays, because the settings files of two members may differ for a while.
    fn plan_operator_removal(&self) -> Option<Step> {
        let removed = |it: &VmName| self.removed.contains(it);
        let mut voters = self.membership.voters.keys().copied();
        let node = voters.find(|it| self.vm_of(*it).as_ref().is_some_and(removed))?;
        self.remove_if_quorum_remains(node)
    }

    fn plan_join(&self) -> Option<Step> {
        let is_new =
            |it: &&Candidate| !self.membership.contains(it.node) && !self.removed.contains(&it.vm);
        let wanted = |it: &&Candidate| self.wanted.contains(&it.vm);
        let spare = |it: &&Candidate| self.spares.contains(&it.vm);
        let joinable = || self.candidates.iter().filter(is_new);
        // If the previous incarnation is still active, two processes run on one VM, and the new one
        // does not join.
        let is_inactive = |old: NodeId| !self.active.contains(&old);
        let is_replacement = |it: &&Candidate| self.voter_on(&it.vm).is_some_and(is_inactive);
        if let Some(it) = joinable().find(is_replacement) {
            return Some(Step::AddLearner(it.clone()));
        }
        if !self.is_full()
            && let Some(it) = joinable().find(wanted)
        {
            return Some(Step::AddLearner(it.clone()));
        }
        if self.lost_voter().is_none() && (self.is_full() || !self.lacks_voters) {
            return None;
        }
        let next = joinable().find(wanted).or_else(|| joinable().find(spare))?;
        Some(Step::AddLearner(next.clone()))
    }
}
