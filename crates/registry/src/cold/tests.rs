//! When entries are told of cold upstreams.

use super::*;

/// One read of the list, and whether entries have to be told of it.
struct Read {
    at_ms: u64,
    term: u64,
    cold: &'static [(&'static str, u32)],
    told: bool,
}

struct Case {
    name: &'static str,
    reads: &'static [Read],
}

const CASES: &[Case] = &[
    Case {
        name: "nothing is cold",
        reads: &[Read { at_ms: 0, term: 1, cold: &[("a", 0)], told: false }],
    },
    Case {
        name: "the time runs down",
        reads: &[
            Read { at_ms: 0, term: 1, cold: &[("a", 3_000)], told: true },
            Read { at_ms: 450, term: 1, cold: &[("a", 2_560)], told: false },
            Read { at_ms: 3_100, term: 1, cold: &[("a", 0)], told: false },
        ],
    },
    Case {
        name: "another upstream, and one that is cold again",
        reads: &[
            Read { at_ms: 0, term: 1, cold: &[("a", 1_000)], told: true },
            Read { at_ms: 450, term: 1, cold: &[("a", 550), ("b", 3_000)], told: true },
            Read { at_ms: 900, term: 1, cold: &[("a", 3_000), ("b", 2_550)], told: true },
        ],
    },
    Case {
        name: "a new leader",
        reads: &[
            Read { at_ms: 0, term: 1, cold: &[("a", 3_000)], told: true },
            Read { at_ms: 450, term: 2, cold: &[("a", 2_550)], told: true },
        ],
    },
];

#[test]
fn entries_are_told_of_new_cold_times_only() {
    for case in CASES {
        let (start, mut ends) = (Instant::now(), ColdEnds::default());
        for read in case.reads {
            let now = start + Duration::from_millis(read.at_ms);
            let row = |&(id, left_ms): &(&str, u32)| ColdUpstream { id: id.to_owned(), left_ms };
            let cold: Vec<_> = read.cold.iter().map(row).collect();
            let told = ends.update(&cold, read.term, now);
            assert_eq!(told, read.told, "{} at {} ms", case.name, read.at_ms);
            if told {
                assert_eq!((ends.stamp.term, ends.list(now).upstreams), (read.term, cold));
            }
        }
    }
}
