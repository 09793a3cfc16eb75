//! How often loads are handed out.

use std::time::Duration;

use registry::loads_period;

/// The bytes a second that control may take of a node.
const BOUND: f64 = 9_000.0;

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

/// Symptom: control takes 16 kB a second of each entry.
/// Sequence: a deployment grows to 600 upstreams; the sum of loads goes out as often as before.
/// Cause: a period that does not grow with what is sent.
#[test]
fn loads_go_out_less_often_where_there_are_more_upstreams() {
    for case in CASES {
        let period = loads_period(case.upstreams);
        assert_eq!(period, Duration::from_millis(case.ms), "{} upstreams", case.upstreams);
        let rate = case.upstreams as f64 * 5.0 / period.as_secs_f64();
        assert!(rate <= BOUND, "{} upstreams: {rate} bytes/s", case.upstreams);
    }
}
