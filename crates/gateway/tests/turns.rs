//! When refused callers are told to come back.

use std::time::Duration;

use gateway::turns::Turns;
use tokio::time::Instant;

struct Case {
    name: &'static str,
    /// The requests a second that begin while callers are refused.
    rate: u32,
    /// The callers refused at the same moment.
    refused: u32,
    /// The first and the last moment at which they can be served, in ms.
    earliest: u64,
    latest: u64,
    /// The most that come back in any half second.
    most: usize,
}

const CASES: &[Case] = &[
    Case { name: "as many as begin", rate: 10, refused: 20, earliest: 500, latest: 5_000, most: 6 },
    Case { name: "few begin", rate: 2, refused: 6, earliest: 500, latest: 5_000, most: 2 },
    // Nine tenths of a second for 100 callers: 56 each half second if they are spread evenly.
    Case {
        name: "more than can be served",
        rate: 10,
        refused: 100,
        earliest: 100,
        latest: 1_000,
        most: 65,
    },
    Case { name: "nothing begins", rate: 0, refused: 5, earliest: 300, latest: 3_000, most: 5 },
];

/// Guards against callers that were refused together and come back together, so that most are refused
/// again.
#[test]
fn refused_callers_come_back_as_they_can_be_served() {
    let start = Instant::now();
    for case in CASES {
        let mut turns = Turns::default();
        let now = start + Duration::from_secs(10);
        for number in 0..case.rate * 10 {
            turns.record_begun(start + Duration::from_secs(10) * number / (case.rate * 10));
        }
        let [earliest, latest] = [case.earliest, case.latest].map(Duration::from_millis);
        let luck = |number: u32| f64::from(number * 37 % 100) / 100.0;
        let told: Vec<Duration> =
            (0..case.refused).map(|it| turns.next(earliest, latest, luck(it), now)).collect();
        let name = case.name;
        assert!(told.iter().all(|it| (earliest..=latest).contains(it)), "{name}: {told:?}");
        let half = Duration::from_millis(500);
        let within =
            |from: Duration| told.iter().filter(|it| (from..from + half).contains(it)).count();
        let most = told.iter().map(|it| within(*it)).max().unwrap_or(0);
        assert!(most <= case.most, "{name}: {most} of {told:?}");
    }
}

/// Guards against telling a caller to come back after its time because others were told before.
#[test]
fn turns_of_the_past_keep_nobody_away() {
    let start = Instant::now();
    let mut turns = Turns::default();
    turns.record_begun(start);
    let (earliest, latest) = (Duration::from_millis(100), Duration::from_secs(2));
    turns.next(earliest, latest, 0.0, start);
    let later = start + Duration::from_secs(5);
    assert_eq!(turns.next(earliest, latest, 0.0, later), earliest);
}
