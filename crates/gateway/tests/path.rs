//! When an entry counts itself as cut off from the upstreams of a service.

use std::time::Duration;

use gateway::path::state::{Path, PathState};
use tokio::time::Instant;

/// What the entry learns.
enum Step {
    /// An upstream can't be reached.
    Failed(u64),
    /// An upstream is reached.
    Reached,
    /// None of the upstreams that were tried because of a suspicion can be reached.
    NoneReached,
    /// Another service can't be reached.
    Suspected,
}

struct Case {
    name: &'static str,
    /// The times in ms, and what the entry learns then.
    steps: &'static [(u64, Step)],
    path: Path,
}

const CASES: &[Case] = &[
    Case { name: "nothing", steps: &[], path: Path::Open },
    Case {
        name: "one upstream that is gone",
        steps: &[(0, Step::Failed(1)), (300, Step::Failed(1)), (600, Step::Failed(1))],
        path: Path::Open,
    },
    Case {
        name: "two upstreams that are gone, and one in between",
        steps: &[(0, Step::Failed(1)), (100, Step::Reached), (200, Step::Failed(2))],
        path: Path::Open,
    },
    Case {
        name: "two upstreams, a long time apart",
        steps: &[(0, Step::Failed(1)), (3_000, Step::Failed(2))],
        path: Path::Open,
    },
    Case {
        name: "two upstreams",
        steps: &[(0, Step::Failed(1)), (250, Step::Failed(2))],
        path: Path::Suspected,
    },
    Case {
        name: "two upstreams that are gone, others are there",
        steps: &[(0, Step::Failed(1)), (250, Step::Failed(2)), (260, Step::Reached)],
        path: Path::Open,
    },
    Case {
        name: "none is reached",
        steps: &[(0, Step::Failed(1)), (250, Step::Failed(2)), (500, Step::NoneReached)],
        path: Path::CutOff,
    },
    Case {
        name: "a connection came about while others were tried",
        steps: &[
            (0, Step::Failed(1)),
            (250, Step::Failed(2)),
            (400, Step::Reached),
            (500, Step::NoneReached),
        ],
        path: Path::Open,
    },
    Case {
        name: "a service with a single upstream, after another service",
        steps: &[(0, Step::Suspected), (250, Step::NoneReached)],
        path: Path::CutOff,
    },
    Case {
        name: "the path is back",
        steps: &[(0, Step::Suspected), (250, Step::NoneReached), (900, Step::Reached)],
        path: Path::Open,
    },
];

#[test]
fn an_entry_tells_a_cut_path_from_upstreams_that_are_gone() {
    for case in CASES {
        let (start, mut state) = (Instant::now(), PathState::default());
        for (ms, step) in case.steps {
            let now = start + Duration::from_millis(*ms);
            let before = state.path();
            let changed = match step {
                Step::Failed(upstream) => state.record_failure(*upstream, now),
                Step::Reached => state.record_success(),
                Step::NoneReached => state.record_none_reached(),
                Step::Suspected => state.suspect(),
            };
            let ended = before == Path::Suspected && state.path() == Path::Open;
            assert_eq!(changed || ended, before != state.path(), "{} at {ms} ms", case.name);
        }
        assert_eq!(state.path(), case.path, "{}", case.name);
    }
}
