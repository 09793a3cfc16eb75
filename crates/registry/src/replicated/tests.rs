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

fn hold() -> Hold {
    Hold { digest: RequestDigest::of(&[b"r"]), ends: 3, relapses: 1, until_ms: 9 }
}

#[test]
fn commands_are_read_back() {
    let commands = [
        Command::PutPlan(put(7)),
        Command::Evacuation(order("d")),
        Command::Hold(hold()),
        Command::Release(hold().digest),
    ];
    for command in commands {
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

/// Guards against a held request that replaces the plan at a member of the previous release, or that the
/// previous release can't read, so that its member takes no part any more.
#[test]
fn the_previous_release_ignores_a_held_request() {
    for command in [Command::Hold(hold()), Command::Release(hold().digest)] {
        let read: PutPlan = decode(&command.encode()).expect("a plan");
        assert_ne!(read.version, EXTENSION_VERSION);
        for version in [1, 7] {
            let mut held = StoredPlan { version: Version(version), text: b"held".to_vec() };
            assert!(!held.apply(read.clone()), "replaced version {version}");
        }
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
    let before_holds = [encode(&*state.plan), encode(&*state.evacuations)].concat();
    state.apply(&Command::Hold(hold()));
    let read = Replicated::decode(&state.encode()).expect("a snapshot");
    assert_eq!((read.plan, &read.evacuations), (Arc::clone(&state.plan), &state.evacuations));
    assert_eq!(read.holds, state.holds);
    let read = Replicated::decode(&before_holds).expect("a snapshot without held requests");
    assert_eq!((&read.evacuations, read.holds.number()), (&state.evacuations, 0));
    let bytes = state.encode();
    let (_, rest) = postcard::take_from_bytes::<StoredPlan>(&bytes).expect("a plan");
    let read: Evacuations = decode(rest).expect("what the release before reads after the plan");
    assert_eq!(read, *state.evacuations);
    let read = Replicated::decode(&previous).expect("a snapshot of the previous release");
    assert_eq!((read.plan, read.evacuations.number()), (Arc::clone(&state.plan), 0));
    let read: StoredPlan = decode(&state.encode()).expect("what the previous release reads");
    assert_eq!(read, *state.plan);
}
