use tokio::sync::mpsc;

use super::*;

struct Case {
    name: &'static str,
    entries: u64,
    /// The jobs of all entries per second.
    rate: u64,
    /// The most entries that may be told the waits.
    most: usize,
}

/// As many entries as jobs come within the time of interest, with one to spare.
const CASES: &[Case] = &[
    Case { name: "a few entries, all busy", entries: 8, rate: 40, most: 8 },
    Case { name: "a fleet", entries: 1_000, rate: 50, most: 251 },
    Case { name: "twice as many entries, as many jobs", entries: 2_000, rate: 50, most: 251 },
    Case { name: "an idle fleet", entries: 2_000, rate: 1, most: 6 },
];

/// Guards against owners whose links are full of reports: each tells all connected entries, however
/// seldom they submit.
#[test]
fn an_owner_tells_as_many_entries_as_it_gets_jobs() {
    for case in CASES {
        let start = Instant::now();
        let (replies, _receiver) = mpsc::unbounded_channel();
        let mut audience = Audience::default();
        let mut now = start;
        for job in 0..case.entries.max(case.rate * 10) {
            now = start + Duration::from_millis(job * 1_000 / case.rate);
            audience.record_job(job % case.entries, &replies, now);
        }
        let told = audience.interested(now).count();
        assert!(told <= case.most, "{}: {told} entries", case.name);
        assert!(told > 0, "{}: nobody is told", case.name);
        audience.remove(0);
        assert!(audience.interested(now).count() <= told, "{}", case.name);
    }
}
