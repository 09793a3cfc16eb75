//! Which refusal a request gets that is given up.

use std::time::Duration;

use super::Tries;
use crate::reply::Refusal;

struct Case {
    name: &'static str,
    /// How many engines may have run the request.
    runs: u32,
    reason: Refusal,
    refusal: Refusal,
}

const PAUSED: Refusal = Refusal::Paused(Duration::from_secs(1));

const CASES: &[Case] = &[
    Case {
        name: "no engine takes it",
        runs: 0,
        reason: Refusal::NoUpstream,
        refusal: Refusal::NoUpstream,
    },
    Case { name: "its engines pause", runs: 0, reason: PAUSED, refusal: PAUSED },
    Case {
        name: "an engine was lost, and its stages fail as they run again",
        runs: 1,
        reason: Refusal::StageFailed,
        refusal: Refusal::Failed,
    },
    Case {
        name: "an engine was lost, and no other takes it",
        runs: 1,
        reason: Refusal::NoUpstream,
        refusal: Refusal::Failed,
    },
];

/// Guards against callers that are told that a request did not run, and send it again, though an
/// engine that was lost may have run it.
#[test]
fn a_request_that_may_have_run_is_never_refused_as_not_run() {
    for case in CASES {
        let tries = Tries { runs: case.runs, ..Tries::new(None) };
        assert_eq!(tries.refusal(case.reason), case.refusal, "{}", case.name);
    }
}
