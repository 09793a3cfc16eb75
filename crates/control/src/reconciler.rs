//! Executes the membership changes that [`crate::plan`] selects, on the leader.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use state::Command;
use types::{NodeId, OperatorName, Term, UnixMillis, VmName};

use crate::member::Member;
use crate::plan::{Candidate, PlanInput, Step, plan};
use crate::request::LeaderRequest;
use crate::state_machine::{ADDED, REMOVED};
use crate::view::View;

/// How often the leader looks for a change to make.
pub(crate) const RECONCILE_INTERVAL: Duration = Duration::from_millis(100);

/// How long a learner may be silent before it is removed, so that another node can join.
const STALLED_LEARNER_TIMEOUT: Duration = Duration::from_secs(5);

/// The timeout of one membership change.
const STEP_TIMEOUT: Duration = Duration::from_secs(3);

/// Executes membership changes and tracks how long nodes have been silent.
pub(crate) struct MembershipReconciler {
    member: Arc<Member>,
    lost_after: Duration,
    term: Term,
    silent_since: BTreeMap<NodeId, Instant>,
    missing_since: Option<Instant>,
}

impl MembershipReconciler {
    /// Creates a reconciler that considers a voter lost for good after `lost_after` of silence.
    pub(crate) fn new(member: Arc<Member>, lost_after: Duration) -> Self {
        Self {
            member,
            lost_after,
            term: Term(0),
            silent_since: BTreeMap::new(),
            missing_since: None,
        }
    }

    /// Executes one membership change, if one is due and this member leads.
    pub(crate) async fn reconcile(&mut self) {
        let view = self.member.core.view();
        if !view.leads() || !view.term_committed {
            self.silent_since.clear();
            self.missing_since = None;
            return;
        }
        if view.term != self.term {
            self.term = view.term;
            self.silent_since.clear();
            self.missing_since = None;
        }
        let plan_input = self.plan_input(&view);
        if let Some(step) = plan(&plan_input) {
            self.execute(&view, step).await;
        }
    }

    fn plan_input(&mut self, view: &View) -> PlanInput {
        let member = Arc::clone(&self.member);
        let cluster = member.identity.load().as_ref().map(|it| it.cluster);
        let announcements = member.announcements.all();
        let current =
            announcements.iter().filter(|it| it.is_fresh() && it.announce.cluster == cluster);
        let candidates = current
            .map(|it| Candidate { vm: it.announce.vm.clone(), node: it.announce.node })
            .collect();
        let mut active = view.active.clone();
        active.insert(member.node);
        self.update_silent(view, &active);
        let (wanted, spares) = self.wanted_and_spares(view);
        let lacks_voters = self.lacks_voters(view, &wanted);
        PlanInput {
            membership: view.membership.clone(),
            commit: view.commit,
            progress: view.progress.clone(),
            lost: self.silent_for(self.lost_after),
            stalled: self.silent_for(STALLED_LEARNER_TIMEOUT.min(self.lost_after)),
            active,
            candidates,
            wanted,
            spares,
            removed: view.overrides.removed.clone(),
            lacks_voters,
        }
    }

    /// Returns the VMs that should be voters, and the spares that may replace one.
    fn wanted_and_spares(&self, view: &View) -> (BTreeSet<VmName>, BTreeSet<VmName>) {
        let mut wanted = view.overrides.added.clone();
        let mut spares = BTreeSet::new();
        for it in &self.member.settings.members {
            if view.overrides.removed.contains(&it.vm) {
                continue;
            }
            if it.spare && !wanted.contains(&it.vm) {
                spares.insert(it.vm.clone());
            } else {
                wanted.insert(it.vm.clone());
            }
        }
        (wanted, spares)
    }

    fn silent_for(&self, duration: Duration) -> BTreeSet<NodeId> {
        let silent = self.silent_since.iter().filter(|(_, since)| since.elapsed() >= duration);
        silent.map(|(node, _)| *node).collect()
    }

    fn update_silent(&mut self, view: &View, active: &BTreeSet<NodeId>) {
        let members = &view.membership;
        self.silent_since.retain(|it, _| members.contains(*it) && !active.contains(it));
        for node in members.nodes().filter(|it| !active.contains(it)) {
            self.silent_since.entry(node).or_insert_with(Instant::now);
        }
    }

    fn lacks_voters(&mut self, view: &View, wanted: &BTreeSet<VmName>) -> bool {
        if view.membership.voters.len() >= wanted.len() {
            self.missing_since = None;
        } else if self.missing_since.is_none() {
            self.missing_since = Some(Instant::now());
        }
        self.missing_since.is_some_and(|since| since.elapsed() >= self.lost_after)
    }

    async fn execute(&self, view: &View, step: Step) {
        let from = view.membership.clone();
        let to = step.apply(&from);
        let request = LeaderRequest::Members { from, to };
        let (what, node) = match &step {
            Step::AddLearner(it) => ("joins as learner", it.node),
            Step::RemoveLearner(node) => ("learner dropped", *node),
            Step::RemoveVoter(node) => ("voter removed", *node),
            Step::Promote(node) => ("learner becomes voter", *node),
        };
        let vm = match &step {
            Step::AddLearner(it) => Some(it.vm.clone()),
            _ => view.vm(node),
        };
        let Some(vm) = vm else {
            return;
        };
        // Only the leader itself may change the membership: a forwarded request would be based on
        // outdated information.
        let answer = tokio::time::timeout(STEP_TIMEOUT, self.member.core.request(request)).await;
        match answer {
            Ok(Ok(_)) => {
                log::info!(vm:% = vm, node:% = node; "changed the membership: {what}");
                self.member.step_failure.store(None);
                let command = record(what, vm, node, None);
                let deadline = tokio::time::Instant::now() + STEP_TIMEOUT;
                if let Err(e) = self.member.leader_client.command(command, deadline).await {
                    log::warn!("a membership change could not be recorded in the audit trail: {e}");
                }
            }
            Ok(Err(e)) => self.report_failure(format!("{vm}, {what}: {e}")),
            Err(_) => self.report_failure(format!("{vm}, {what}: no quorum answers")),
        }
    }

    fn report_failure(&self, reason: String) {
        log::debug!("a membership change failed and will be retried: {reason}");
        self.member.step_failure.store(Some(Arc::new(reason)));
    }
}

fn record(what: &str, vm: VmName, node: NodeId, operator: Option<OperatorName>) -> Command {
    Command::Member { what: what.to_owned(), vm, node, operator, at: UnixMillis::now() }
}

/// Creates the command with which an operator adds a VM.
pub(crate) fn add(vm: VmName, node: NodeId, operator: OperatorName) -> Command {
    record(ADDED, vm, node, Some(operator))
}

/// Creates the command with which an operator removes a VM.
pub(crate) fn remove(vm: VmName, node: NodeId, operator: OperatorName) -> Command {
    record(REMOVED, vm, node, Some(operator))
}
