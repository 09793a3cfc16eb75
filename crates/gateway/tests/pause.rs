//! The pauses that upstreams ask for, without sockets.

use std::time::Duration;

use gateway::pause::Pause;
use tokio::time::Instant;

struct Case {
    name: &'static str,
    /// The pauses that answers ask for, with when they arrive, in ms.
    asked: &'static [(u64, u64)],
    /// When the pause ends at the earliest, in ms.
    end: Option<u64>,
}

const HOUR: u64 = 3_600_000;

const CASES: &[Case] = &[
    Case { name: "none", asked: &[], end: None },
    Case { name: "zero", asked: &[(0, 0)], end: None },
    Case { name: "a fraction of a second", asked: &[(0, 250)], end: Some(250) },
    Case { name: "longer", asked: &[(0, 1_000), (100, 3_000)], end: Some(3_100) },
    Case { name: "shorter than before", asked: &[(0, 3_000), (100, 500)], end: Some(3_000) },
    Case { name: "zero after another", asked: &[(0, 3_000), (100, 0)], end: Some(3_000) },
    Case { name: "huge", asked: &[(0, u64::MAX / 2)], end: Some(HOUR) },
];

/// Guards against a pause that an answer without one, or with a shorter one, ends too early.
#[test]
fn a_pause_lasts_as_long_as_an_upstream_has_asked_for() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    for case in CASES {
        for luck in [0.0, 1.0] {
            let mut pause = Pause::default();
            for (when, asked) in case.asked {
                pause.record(Duration::from_millis(*asked), luck, at(*when));
            }
            let Some(end) = case.end else {
                assert_eq!(pause.end(start), None, "{}", case.name);
                continue;
            };
            let latest = at(end) + Duration::from_millis((end / 10).min(500));
            let until = pause.end(start).expect(case.name);
            assert!(until >= at(end) && until <= latest, "{}: {until:?}", case.name);
            assert_eq!(pause.end(until), None, "{}: it is over", case.name);
        }
    }
}
