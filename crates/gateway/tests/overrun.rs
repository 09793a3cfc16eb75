//! By how much longer than forecast stages are expected to take.

use std::time::Duration;

use gateway::overrun::Overrun;
use tokio::time::Instant;

struct Case {
    name: &'static str,
    /// How long the stages of requests took that were forecast to take 500 ms, in ms.
    took: &'static [u64],
    /// How long ago the last of them ended, in seconds.
    age: u64,
    /// The least and the most that is expected beyond a forecast, in ms.
    expected: (u64, u64),
}

const CASES: &[Case] = &[
    Case { name: "nothing is known", took: &[], age: 0, expected: (0, 0) },
    Case { name: "as forecast", took: &[500; 40], age: 0, expected: (0, 0) },
    Case { name: "sooner than forecast", took: &[300; 40], age: 0, expected: (0, 0) },
    Case { name: "always by the same", took: &[800; 40], age: 0, expected: (295, 305) },
    Case {
        name: "by half a second or not at all",
        took: &[500, 1_000, 500, 1_000, 500, 1_000, 500, 1_000, 500, 1_000, 500, 1_000],
        age: 0,
        expected: (350, 600),
    },
    // It must not keep requests from being admitted that alone would correct it.
    Case { name: "long ago", took: &[4_500; 40], age: 30, expected: (0, 50) },
];

/// Guards against admitting requests by a forecast that is known to be too short, and against turning them
/// away by a margin that nothing shows.
#[test]
fn what_stages_took_longer_is_expected_of_the_next() {
    for case in CASES {
        let now = Instant::now();
        let mut overrun = Overrun::default();
        for took in case.took {
            overrun.record(Duration::from_millis(500), Duration::from_millis(*took), now);
        }
        let expected = overrun.expected(now + Duration::from_secs(case.age)).as_millis() as u64;
        let (least, most) = case.expected;
        assert!((least..=most).contains(&expected), "{}: {expected} ms", case.name);
    }
}
