//! When another upstream may get a request beside a silent one.

use super::*;

struct Case {
    name: &'static str,
    /// How long answers take, in ms; nothing is known without any.
    times: &'static [u64],
    objective: u64,
    /// The time that the caller has, in ms.
    left: u64,
    /// After how many ms the try counts as silent, at least and at most.
    silent: (u64, u64),
}

/// Steady answers: the deviation of the first one fades.
const STEADY: &[u64] = &[60; 30];

const CASES: &[Case] = &[
    Case { name: "late", times: STEADY, objective: 300, left: 3_000, silent: (300, 300) },
    Case {
        name: "a caller with less time",
        times: STEADY,
        objective: 300,
        left: 1_000,
        silent: (300, 300),
    },
    Case {
        name: "an objective beyond the caller's time",
        times: STEADY,
        objective: 9_000,
        left: 1_000,
        silent: (930, 940),
    },
    Case {
        name: "an objective that no answer meets",
        times: &[400; 30],
        objective: 300,
        left: 3_000,
        silent: (400, 405),
    },
    Case {
        name: "answers that take anything from 50 to 550 ms",
        times: &[50, 550, 50, 550, 50, 550, 50, 550, 50, 550, 50, 550, 50, 550, 50, 550],
        objective: 300,
        left: 5_000,
        silent: (1_000, 1_600),
    },
    Case {
        name: "no time for a second answer",
        times: &[400; 30],
        objective: 300,
        left: 500,
        silent: (400, 405),
    },
    Case { name: "nothing is known", times: &[], objective: 300, left: 3_000, silent: (300, 300) },
    Case {
        name: "nothing is known, and little time",
        times: &[],
        objective: 3_000,
        left: 1_000,
        silent: (500, 500),
    },
];

/// Guards against callers whose time is used up by a silent upstream, and against requests that are sent
/// twice because a service is slower than its route's objective.
#[test]
fn another_try_begins_when_an_answer_is_late_and_can_still_come() {
    for case in CASES {
        let sent = Instant::now();
        let mut times = Spread::default();
        case.times.iter().for_each(|it| times.record(Duration::from_millis(*it)));
        let terms = Terms {
            sent,
            objective: Duration::from_millis(case.objective),
            deadline: sent + Duration::from_millis(case.left),
            times,
        };
        let silent = terms.silent_at().duration_since(sent).as_millis() as u64;
        let (least, most) = case.silent;
        assert!((least..=most).contains(&silent), "{}: {silent} ms", case.name);
    }
}
