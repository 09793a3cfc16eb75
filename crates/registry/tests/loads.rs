//! The interval at which loads are sent to entries.

use std::time::Duration;

use registry::loads_interval;

/// The maximum rate of control traffic per node, in bytes per second.
const MAX_BYTES_PER_SECOND: f64 = 9_000.0;

struct Case {
    upstreams: usize,
    ms: u64,
}

const CASES: &[Case] = &[
    Case { upstreams: 0, ms: 75 },
    Case { upstreams: 29, ms: 75 },
    Case { upstreams: 110, ms: 91 },
    Case { upstreams: 600, ms: 500 },
];

/// Guards against control traffic of 16 kB/s per entry in a deployment of 600 upstreams, when the sum
/// of the loads is sent as often as in a small one.
#[test]
fn loads_are_sent_less_often_if_there_are_more_upstreams() {
    for case in CASES {
        let interval = loads_interval(case.upstreams);
        assert_eq!(interval, Duration::from_millis(case.ms), "{} upstreams", case.upstreams);
        let rate = case.upstreams as f64 * 5.0 / interval.as_secs_f64();
        assert!(rate <= MAX_BYTES_PER_SECOND, "{} upstreams: {rate} bytes/s", case.upstreams);
    }
}
