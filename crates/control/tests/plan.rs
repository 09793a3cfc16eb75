//! The selection of membership changes.

use std::collections::BTreeSet;

use consensus::Membership;
use control::Address;
use control::plan::{Candidate, PlanInput, Step, plan};
use types::{LogIndex, NodeId, VmName};

const COMMIT: LogIndex = LogIndex(100);

fn vm(name: &str) -> VmName {
    name.parse().expect("a name")
}

fn node(number: u64) -> NodeId {
    NodeId(number)
}

fn nodes(numbers: &[u64]) -> BTreeSet<NodeId> {
    numbers.iter().copied().map(NodeId).collect()
}

fn vms(names: &[&str]) -> BTreeSet<VmName> {
    names.iter().map(|it| vm(it)).collect()
}

fn candidate(name: &str, number: u64) -> Candidate {
    Candidate { vm: vm(name), node: node(number) }
}

/// Returns an input with voters `a` to `c` on nodes 1 to 3, all active and wanted, and the spare
/// `s`.
fn healthy() -> PlanInput {
    let voters = [("a", 1), ("b", 2), ("c", 3)];
    let membership = Membership {
        voters: voters.iter().map(|it| (node(it.1), Address::encode(&vm(it.0)))).collect(),
        ..Membership::default()
    };
    PlanInput {
        membership,
        commit: COMMIT,
        active: nodes(&[1, 2, 3]),
        candidates: voters.iter().map(|it| candidate(it.0, it.1)).collect(),
        wanted: vms(&["a", "b", "c"]),
        spares: vms(&["s"]),
        ..PlanInput::default()
    }
}

fn with_learner(mut input: PlanInput, name: &str, number: u64, holds: LogIndex) -> PlanInput {
    input.membership.learners.insert(node(number), Address::encode(&vm(name)));
    input.candidates.retain(|it| it.vm != vm(name));
    input.candidates.push(candidate(name, number));
    input.progress.insert(node(number), holds);
    input.active.insert(node(number));
    input
}

fn inactive(mut input: PlanInput, number: u64) -> PlanInput {
    input.active.remove(&node(number));
    input.candidates.retain(|it| it.node != node(number));
    input
}

fn lost(input: PlanInput, number: u64) -> PlanInput {
    let mut input = inactive(input, number);
    input.lost.insert(node(number));
    input
}

fn with_candidate(mut input: PlanInput, name: &str, number: u64) -> PlanInput {
    input.candidates.push(candidate(name, number));
    input
}

fn removed(mut input: PlanInput, name: &str) -> PlanInput {
    input.removed.insert(vm(name));
    input.wanted.remove(&vm(name));
    input
}

fn two_voters() -> PlanInput {
    let mut input = inactive(healthy(), 3);
    input.membership.voters.remove(&node(3));
    input
}

#[test]
fn takes_one_safe_step_at_a_time() {
    struct Case {
        name: &'static str,
        input: PlanInput,
        step: Option<Step>,
    }
    let behind = LogIndex(COMMIT.0 - 1);
    let lacking_voters = |mut input: PlanInput| {
        input.lacks_voters = true;
        input
    };
    let stalled = |mut input: PlanInput, number| {
        input.stalled.insert(node(number));
        input
    };
    let new_incarnation = || with_candidate(inactive(healthy(), 3), "c", 33);
    let cases = [
        Case { name: "all is well", input: healthy(), step: None },
        Case { name: "an idle spare waits", input: with_candidate(healthy(), "s", 9), step: None },
        Case {
            name: "a silent voter is waited for",
            input: with_candidate(inactive(healthy(), 3), "s", 9),
            step: None,
        },
        Case {
            name: "a new incarnation of a silent voter first becomes a learner",
            input: new_incarnation(),
            step: Some(Step::AddLearner(candidate("c", 33))),
        },
        Case {
            name: "a new incarnation of an active voter is a second process",
            input: with_candidate(healthy(), "c", 33),
            step: None,
        },
        Case {
            name: "the old incarnation stays until the new one has stored the log",
            input: with_learner(inactive(healthy(), 3), "c", 33, behind),
            step: None,
        },
        Case {
            name: "then the old incarnation is removed",
            input: with_learner(inactive(healthy(), 3), "c", 33, COMMIT),
            step: Some(Step::RemoveVoter(node(3))),
        },
        Case {
            name: "and the new one becomes a voter",
            input: with_learner(two_voters(), "c", 33, COMMIT),
            step: Some(Step::Promote(node(33))),
        },
        Case {
            name: "no removal that leaves no quorum",
            input: with_learner(inactive(inactive(healthy(), 3), 2), "c", 33, COMMIT),
            step: None,
        },
        Case {
            name: "a learner replaced by a third incarnation is removed",
            input: with_candidate(with_learner(inactive(healthy(), 3), "c", 33, behind), "c", 34),
            step: Some(Step::RemoveLearner(node(33))),
        },
        Case {
            name: "a stalled learner is removed",
            input: stalled(with_learner(inactive(healthy(), 3), "c", 33, behind), 33),
            step: Some(Step::RemoveLearner(node(33))),
        },
        Case {
            name: "a spare joins for a voter that is lost for good",
            input: with_candidate(lost(healthy(), 3), "s", 9),
            step: Some(Step::AddLearner(candidate("s", 9))),
        },
        Case {
            name: "the lost voter is removed once the spare has stored the log",
            input: with_learner(lost(healthy(), 3), "s", 9, COMMIT),
            step: Some(Step::RemoveVoter(node(3))),
        },
        Case {
            name: "a spare is removed if the lost voter came back",
            input: with_learner(healthy(), "s", 9, COMMIT),
            step: Some(Step::RemoveLearner(node(9))),
        },
        Case {
            name: "a missing member joins before a spare",
            input: with_candidate(with_candidate(two_voters(), "s", 9), "c", 33),
            step: Some(Step::AddLearner(candidate("c", 33))),
        },
        Case {
            name: "a spare waits for members that have yet to start",
            input: with_candidate(two_voters(), "s", 9),
            step: None,
        },
        Case {
            name: "a spare joins when members are missing for long",
            input: lacking_voters(with_candidate(two_voters(), "s", 9)),
            step: Some(Step::AddLearner(candidate("s", 9))),
        },
        Case {
            name: "an operator's removal",
            input: removed(healthy(), "b"),
            step: Some(Step::RemoveVoter(node(2))),
        },
        Case {
            name: "a removed member does not join again",
            input: removed(with_candidate(two_voters(), "c", 33), "c"),
            step: None,
        },
        Case {
            name: "no removal by an operator that leaves no quorum",
            input: removed(inactive(healthy(), 3), "b"),
            step: None,
        },
    ];
    for Case { name, input, step } in cases {
        assert_eq!(plan(&input), step, "{name}");
    }
}

#[test]
fn every_step_differs_by_one_voter() {
    let input = with_learner(healthy(), "c", 33, COMMIT);
    let steps = [
        Step::AddLearner(candidate("s", 9)),
        Step::RemoveLearner(node(33)),
        Step::RemoveVoter(node(3)),
        Step::Promote(node(33)),
    ];
    for step in steps {
        let before: BTreeSet<NodeId> = input.membership.voters.keys().copied().collect();
        let after: BTreeSet<NodeId> = step.apply(&input.membership).voters.into_keys().collect();
        assert!(before.symmetric_difference(&after).count() <= 1, "{step:?}");
    }
}
