//! The interval at which the platform's list is read.

use std::time::Duration;

use registry::read_interval;

struct Case {
    pages: usize,
    ms: u64,
}

const CASES: &[Case] = &[
    Case { pages: 0, ms: 450 },
    Case { pages: 2, ms: 450 },
    Case { pages: 30, ms: 600 },
    Case { pages: 51, ms: 1_000 },
    Case { pages: 101, ms: 1_000 },
];

/// Guards against calls of the platform that grow with the list while nothing in it changes, and against
/// a list that is read too seldom to notice an upstream that is about to terminate.
#[test]
fn a_longer_list_is_read_less_often() {
    for case in CASES {
        let interval = read_interval(case.pages);
        assert_eq!(interval, Duration::from_millis(case.ms), "{} pages", case.pages);
    }
}
