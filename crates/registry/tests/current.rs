//! When a member reports its plan as the newest acknowledged one.

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
    Case { name: "applied everything committed in this term", view: USUAL, current: true },
    Case {
        name: "a new leader sent a commit index of an earlier term",
        view: CurrentView {
            commit: LogIndex(35),
            commit_term: Some(Term(4)),
            applied: LogIndex(35),
            ..USUAL
        },
        current: false,
    },
    Case {
        name: "committed entries not applied yet",
        view: CurrentView { applied: LogIndex(37), ..USUAL },
        current: false,
    },
    Case { name: "no leader", view: CurrentView { has_leader: false, ..USUAL }, current: false },
    Case { name: "not a member", view: CurrentView { is_member: false, ..USUAL }, current: false },
    Case {
        name: "unknown term of the commit index",
        view: CurrentView { commit_term: None, ..USUAL },
        current: false,
    },
];

/// Guards against entries that start after a loss of all power and serve an older plan for some ms,
/// such as 67 although 69 was acknowledged. All members lose power before they have written the last
/// commit index; a new leader sends an older one, and a member that has applied it believes that it is
/// up to date.
#[test]
fn a_plan_is_current_only_if_the_present_leader_committed_in_its_term() {
    for case in CASES {
        assert_eq!(case.view.is_current(), case.current, "{}", case.name);
    }
}
