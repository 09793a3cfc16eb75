//! Which members vouch for the plan that they hold.

use registry::CurrentView;
use types::{LogIndex, Term};

struct Case {
    name: &'static str,
    view: CurrentView,
    current: bool,
}

const USUAL: CurrentView = CurrentView {
    term: Term(5),
    has_leader: true,
    is_member: true,
    commit: LogIndex(38),
    commit_term: Some(Term(5)),
    applied: LogIndex(38),
};

const CASES: &[Case] = &[
    Case { name: "applied all of this term", view: USUAL, current: true },
    Case {
        name: "a new leader told the commit of before",
        view: CurrentView {
            commit: LogIndex(35),
            commit_term: Some(Term(4)),
            applied: LogIndex(35),
            ..USUAL
        },
        current: false,
    },
    Case {
        name: "behind in applying",
        view: CurrentView { applied: LogIndex(37), ..USUAL },
        current: false,
    },
    Case { name: "no leader", view: CurrentView { has_leader: false, ..USUAL }, current: false },
    Case { name: "not a member", view: CurrentView { is_member: false, ..USUAL }, current: false },
    Case {
        name: "a log that tells nothing",
        view: CurrentView { commit_term: None, ..USUAL },
        current: false,
    },
];

/// Symptom: entries that start after a loss of all power serve plan 67 for some ms, although 69 was
/// acknowledged and in force before.
/// Sequence: the change is committed and acknowledged; all members lose power before they have
/// written how far is committed; a new leader tells the others the commit that it knows.
/// Cause: a member that has applied that far takes itself to be up to date.
#[test]
fn a_member_vouches_only_for_what_the_present_leader_has_settled() {
    for case in CASES {
        assert_eq!(case.view.is_current(), case.current, "{}", case.name);
    }
}
