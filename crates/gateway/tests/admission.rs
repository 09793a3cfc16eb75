//! Which requests are admitted, by the expected time of their stages.

use std::time::Duration;

use gateway::admission::{Forecast, TimeLeft, Verdict, admit, retry_after};

struct Case {
    name: &'static str,
    /// The forecast: announced, without a wait, behind timely pieces and behind all pieces, in ms.
    forecast: [u64; 4],
    /// The time until the objective, and until the caller leaves, in ms.
    left: [u64; 2],
    verdict: Verdict,
}

/// A caller with much time, before a route's objective.
const PATIENT: [u64; 2] = [2_000, 10_000];

const CASES: &[Case] = &[
    Case {
        name: "nothing is queued",
        forecast: [600, 900, 900, 900],
        left: PATIENT,
        verdict: Verdict::Timely,
    },
    Case {
        name: "a long chain, late even if nothing waits",
        forecast: [2_000, 2_500, 2_600, 2_600],
        left: PATIENT,
        verdict: Verdict::Late,
    },
    Case {
        name: "a wait within the objective",
        forecast: [600, 900, 1_900, 1_900],
        left: PATIENT,
        verdict: Verdict::Timely,
    },
    Case {
        name: "only late pieces are queued, which go after it",
        forecast: [600, 900, 1_200, 9_000],
        left: PATIENT,
        verdict: Verdict::Timely,
    },
    Case {
        name: "in time ahead of late pieces, and never behind them",
        forecast: [600, 900, 1_200, 11_000],
        left: PATIENT,
        verdict: Verdict::Timely,
    },
    Case {
        name: "late, and its caller waits",
        forecast: [600, 900, 2_500, 4_000],
        left: PATIENT,
        verdict: Verdict::Late,
    },
    Case {
        name: "late, and its caller only just waits",
        forecast: [600, 900, 2_500, 10_000],
        left: PATIENT,
        verdict: Verdict::Late,
    },
    Case {
        name: "late, and its caller has left",
        forecast: [600, 900, 2_500, 10_001],
        left: PATIENT,
        verdict: Verdict::Refused(Duration::from_millis(9_101)),
    },
    Case {
        name: "the same work for a caller with less time",
        forecast: [600, 900, 2_500, 4_000],
        left: [2_000, 3_900],
        verdict: Verdict::Refused(Duration::from_millis(3_100)),
    },
    Case {
        name: "an objective beyond the time of its caller",
        forecast: [600, 900, 2_500, 4_000],
        left: [8_000, 2_400],
        verdict: Verdict::Refused(Duration::from_millis(3_100)),
    },
    Case {
        name: "a short wait, and its caller has left",
        forecast: [600, 1_900, 2_100, 2_100],
        left: [2_000, 2_000],
        verdict: Verdict::Refused(Duration::from_millis(200)),
    },
    Case {
        name: "nothing ahead, and expected to take too long",
        forecast: [600, 2_100, 2_100, 2_100],
        left: [2_000, 2_000],
        verdict: Verdict::Late,
    },
    Case {
        name: "nothing ahead, and announced to take too long",
        forecast: [2_050, 2_100, 2_100, 2_100],
        left: [2_000, 2_000],
        verdict: Verdict::Refused(Duration::ZERO),
    },
];

fn forecast(case: [u64; 4]) -> Forecast {
    let [least, unqueued, behind_timely, behind_all] = case.map(Duration::from_millis);
    Forecast { least, unqueued, behind_timely, behind_all }
}

fn left(case: [u64; 2]) -> TimeLeft {
    let [objective, caller] = case.map(Duration::from_millis);
    TimeLeft { objective, caller }
}

/// Guards against refusing requests that could be served while their callers wait, and against holding
/// those that could not.
#[test]
fn requests_are_admitted_by_their_expected_time() {
    for case in CASES {
        let verdict = admit(&forecast(case.forecast), &left(case.left));
        assert_eq!(verdict, case.verdict, "{}", case.name);
    }
}

/// Guards against turning callers away by a share of their time or of an objective: whoever is served
/// before its caller leaves is admitted, whatever the objective of its route.
#[test]
fn an_objective_alone_turns_nobody_away() {
    for caller in [500, 2_000, 6_000, 20_000] {
        for behind_all in (600..24_000).step_by(200) {
            let admitted = |objective| {
                let forecast = forecast([200, 400, behind_all, behind_all]);
                !matches!(admit(&forecast, &left([objective, caller])), Verdict::Refused(_))
            };
            for objective in [0, 100, 300, 1_000, 4_000, 30_000] {
                let is_served = behind_all <= caller;
                assert_eq!(admitted(objective), is_served, "{behind_all} {objective} {caller}");
            }
        }
    }
}

struct BurstCase {
    name: &'static str,
    /// How long the overload lasts, in ms.
    burst: u64,
    /// The wait at the time of a refusal, in ms.
    wait: u64,
    /// How long a caller waits for its answer in all, in ms.
    patience: u64,
    /// The time that its stages take, in ms.
    work: u64,
    /// The least percentage of refused callers whose first return comes after the burst.
    after: u64,
}

const BURSTS: &[BurstCase] = &[
    BurstCase { name: "short", burst: 2_000, wait: 800, patience: 20_000, work: 900, after: 50 },
    BurstCase { name: "long", burst: 6_000, wait: 800, patience: 20_000, work: 900, after: 50 },
    BurstCase {
        name: "little patience",
        burst: 2_000,
        wait: 800,
        patience: 5_000,
        work: 900,
        after: 50,
    },
];

/// Guards against callers that are told to come back within the burst in which they were refused: they
/// meet the same queue, are refused again, and have no retry left. A caller waits for a third of its time
/// at the most, and must be told a moment at which it can still be served.
#[test]
fn most_refused_callers_return_after_the_burst() {
    for case in BURSTS {
        let refused = (0..case.burst).step_by(10);
        let returns = refused.clone().map(|at| {
            let latest = Duration::from_millis(case.patience - case.work);
            let [wait, lasted] = [case.wait, at].map(Duration::from_millis);
            let after = retry_after(wait, lasted, latest);
            assert!((wait..=latest).contains(&after), "{}: {after:?} of {latest:?}", case.name);
            at + (after.as_millis() as u64).min(case.patience / 3)
        });
        let in_time = returns.filter(|it| *it >= case.burst).count() as u64;
        let share = in_time * 100 / refused.count() as u64;
        assert!(share >= case.after, "{}: {share} in 100", case.name);
    }
}

struct ReturnCase {
    name: &'static str,
    /// The wait, the age of the overload, and the time within which the request must begin, in ms.
    given: [u64; 3],
    after: u64,
}

const RETURNS: &[ReturnCase] = &[
    ReturnCase { name: "a queue", given: [900, 0, 5_000], after: 900 },
    ReturnCase { name: "an overload goes on", given: [900, 700, 5_000], after: 1_600 },
    ReturnCase {
        name: "a long one, for a patient caller",
        given: [9_000, 0, 15_000],
        after: 9_000,
    },
    ReturnCase { name: "its last moment", given: [900, 7_000, 5_000], after: 5_000 },
    ReturnCase { name: "no moment is left", given: [900, 700, 0], after: 1_600 },
];

/// Guards against telling callers a time at which they would be refused again, or at which their time is
/// over.
#[test]
fn refused_callers_are_told_when_they_can_be_served() {
    for case in RETURNS {
        let [wait, lasted, latest] = case.given.map(Duration::from_millis);
        let after = retry_after(wait, lasted, latest);
        assert_eq!(after, Duration::from_millis(case.after), "{}", case.name);
    }
}
