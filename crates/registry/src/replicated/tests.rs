//! What is written to logs and snapshots, as this release and the previous one read it.

use super::*;
use crate::evacuation::Action;

fn order(domain: &str) -> Order {
    let domain = domain.to_owned();
    Order { domain, action: Action::Evacuate, operator: "op".to_owned(), at_ms: 1 }
}

fn put(version: u64) -> PutPlan {
    PutPlan { version: Version(version), text: b"text".to_vec() }
}

#[test]
fn commands_are_read_back() {
    for command in [Command::PutPlan(put(7)), Command::Evacuation(order("d"))] {
        assert_eq!(Command::decode(&command.encode()).ok(), Some(command));
    }
}

/// Guards against an order that replaces the plan at a member of the previous release, which takes
/// every command for a plan.
#[test]
fn the_previous_release_ignores_an_evacuation() {
    let read: PutPlan = decode(&Command::Evacuation(order("d")).encode()).expect("a plan");
    for version in [0, 7] {
        let mut held = StoredPlan { version: Version(version), text: b"held".to_vec() };
        assert!(!held.apply(read.clone()), "replaced version {version}");
    }
}

/// Guards against a state that is lost with the log before a snapshot, and against a release that
/// can't read the other's snapshots.
#[test]
fn snapshots_are_read_back_by_both_releases() {
    let mut state = Replicated::default();
    state.apply(&Command::PutPlan(put(7)));
    let previous = encode(&*state.plan);
    state.apply(&Command::Evacuation(order("d")));
    let read = Replicated::decode(&state.encode()).expect("a snapshot");
    assert_eq!((read.plan, &read.evacuations), (Arc::clone(&state.plan), &state.evacuations));
    let read = Replicated::decode(&previous).expect("a snapshot of the previous release");
    assert_eq!((read.plan, read.evacuations.number()), (Arc::clone(&state.plan), 0));
    let read: StoredPlan = decode(&state.encode()).expect("what the previous release reads");
    assert_eq!(read, *state.plan);
}
