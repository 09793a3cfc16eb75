//! When an entry closes new connections unread.

use std::time::Duration;

use gateway::crowd::{Change, Crowd, Sample};
use tokio::time::Instant;

struct Case {
    name: &'static str,
    lag_ms: u64,
    own: u64,
    /// The load of an entry before, and the mean that is known then.
    before: (u64, Option<f64>),
    mean: Option<f64>,
    crowded: bool,
}

const CROWDED: Case = Case {
    name: "a crowd at one of many",
    lag_ms: 150,
    own: 90,
    before: (1, Some(1.0)),
    mean: Some(1.3),
    crowded: true,
};

const CASES: &[Case] = &[
    CROWDED,
    Case { name: "a crowd that is served in time", lag_ms: 10, crowded: false, ..CROWDED },
    Case { name: "all are overloaded", mean: Some(90.0), crowded: false, ..CROWDED },
    Case {
        name: "a slow machine with its share",
        own: 20,
        mean: Some(20.0),
        crowded: false,
        ..CROWDED
    },
    Case { name: "hardly any requests", own: 5, crowded: false, ..CROWDED },
    Case { name: "no others to go to", mean: Some(90.0), crowded: false, ..CROWDED },
    Case { name: "the loads are not known any more", mean: None, ..CROWDED },
    Case { name: "the loads were never known", before: (1, None), mean: None, ..CROWDED },
    Case {
        name: "the usual load, with loads never known",
        before: (90, None),
        mean: None,
        crowded: false,
        ..CROWDED
    },
];

/// How long the load was as before, and how long it lasts.
const BEFORE: Duration = Duration::from_secs(60);
const LASTS: Duration = Duration::from_secs(2);

/// Takes samples of a steady load for this time; returns the changes.
fn sample(crowd: &Crowd, from: Instant, lasts: Duration, load: &Sample) -> Vec<Change> {
    let mut changes = Vec::new();
    let mut at = from;
    while at < from + lasts {
        at += crowd.sample_pause() + load.lag;
        changes.extend(crowd.record(&Sample { at, ..*load }));
    }
    changes
}

/// Guards against an entry that reads more than it can serve while the others are idle, and against one
/// that sends callers away although the others are no better off.
#[test]
fn an_entry_sends_a_crowd_away_only_if_the_others_have_room() {
    for Case { name, lag_ms, own, before, mean, crowded } in CASES {
        let start = Instant::now();
        let crowd = Crowd::new(start);
        let calm = Sample {
            at: start,
            lag: Duration::ZERO,
            requests: before.0,
            running: before.0,
            mean: before.1,
            took: None,
        };
        assert_eq!(sample(&crowd, start, BEFORE, &calm), [], "{name}: before");
        let lag = Duration::from_millis(*lag_ms);
        let load = Sample { lag, requests: *own, running: *own, mean: *mean, ..calm };
        let changes = sample(&crowd, start + BEFORE, LASTS, &load);
        assert_eq!(!changes.is_empty(), *crowded, "{name}: {changes:?}");
        let at = start + BEFORE + LASTS;
        crowd.admits(*own, at);
        assert_eq!(!crowd.admits(*own, at), *crowded, "{name}");
    }
}

/// Guards against a ready entry that takes no new connection for as long as a crowd lasts.
#[test]
fn a_crowded_entry_still_reads_a_connection_now_and_then() {
    let start = Instant::now();
    let crowd = Crowd::new(start);
    let lag = Duration::from_millis(200);
    let load = Sample { at: start, lag, requests: 100, running: 100, mean: Some(1.0), took: None };
    sample(&crowd, start, Duration::from_secs(1), &load);
    let admitted = (0..40).filter(|it| {
        crowd.admits(100, start + Duration::from_secs(1) + Duration::from_millis(100 * it))
    });
    let admitted = admitted.count();
    assert!((4..=12).contains(&admitted), "{admitted} in 4 s");
}
