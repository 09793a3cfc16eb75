//! The interval at which loads are sent to entries.

use std::time::Duration;

use registry::loads_interval;

/// The maximum rate of control traffic per node, in bytes per second.
const MAX_BYTES_PER_SECOND: f64 = 9_000.0;

struct Case {
    loaded: usize,
    ms: u64,
}

const CASES: &[Case] = &[
    Case { loaded: 0, ms: 75 },
    Case { loaded: 29, ms: 75 },
    Case { loaded: 110, ms: 91 },
    Case { loaded: 600, ms: 500 },
    Case { loaded: 1_200, ms: 1_000 },
];

/// Guards against control traffic of 16 kB/s per entry while 600 upstreams have a load, when the sum of
/// the loads is sent as often as that of a few.
#[test]
fn loads_are_sent_less_often_if_there_are_more_of_them() {
    for case in CASES {
        let interval = loads_interval(case.loaded);
        assert_eq!(interval, Duration::from_millis(case.ms), "{} loads", case.loaded);
        let rate = case.loaded as f64 * 5.0 / interval.as_secs_f64();
        assert!(rate <= MAX_BYTES_PER_SECOND, "{} loads: {rate} bytes/s", case.loaded);
    }
}
