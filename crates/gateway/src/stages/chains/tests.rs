use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

use super::{latest_end, longest_after};
use crate::plan::StageSpec;

/// Returns stages, each of which comes after these others.
fn stages(after: &[&[usize]]) -> Vec<StageSpec> {
    let stage = |it: &&[usize]| StageSpec { service: "s".into(), after: it.to_vec(), size: 0 };
    after.iter().map(stage).collect()
}

struct Case {
    name: &'static str,
    after: &'static [&'static [usize]],
    /// The time of the longest chain after each stage, where stage n takes n + 1 ms.
    rest_ms: &'static [u64],
}

const CASES: &[Case] = &[
    Case { name: "one stage", after: &[&[]], rest_ms: &[0] },
    Case { name: "a chain", after: &[&[], &[0], &[1]], rest_ms: &[5, 3, 0] },
    Case { name: "side by side", after: &[&[], &[], &[0]], rest_ms: &[3, 0, 0] },
    Case { name: "a long way around", after: &[&[], &[0], &[1], &[0, 2]], rest_ms: &[9, 7, 4, 0] },
];

#[test]
fn the_longest_chain_counts() {
    for Case { name, after, rest_ms } in CASES {
        let stages = stages(after);
        for (stage, rest) in rest_ms.iter().enumerate() {
            let time = |it: usize| Duration::from_millis(it as u64 + 1);
            let longest = longest_after(&stages, stage, time);
            assert_eq!(longest, Duration::from_millis(*rest), "{name}: after stage {stage}");
        }
    }
}

/// Guards against work that grows exponentially with stages that feed each other.
#[test]
fn a_full_graph_costs_no_more_than_its_stages() {
    for count in [6_usize, 16, 24] {
        let needed: Vec<usize> = (0..count).collect();
        let after: Vec<&[usize]> = (0..count).map(|it| &needed[..it]).collect();
        let asked = Cell::new(0);
        let time = |_| {
            asked.set(asked.get() + 1);
            Duration::from_millis(1)
        };
        let longest = longest_after(&stages(&after), 0, time);
        assert_eq!(longest, Duration::from_millis(count as u64 - 1));
        assert!(asked.get() < count, "{count} stages: {} were looked at", asked.get());
    }
}

struct EndCase {
    name: &'static str,
    /// The time that the following stages take at least, in ms.
    following: u64,
    /// When the inputs expire, in ms.
    expires: Option<u64>,
    end: u64,
}

/// The caller leaves after 3 s.
const ENDS: &[EndCase] = &[
    EndCase { name: "the last stage", following: 0, expires: None, end: 3_000 },
    EndCase { name: "two follow", following: 900, expires: None, end: 2_100 },
    EndCase { name: "inputs that expire", following: 900, expires: Some(1_500), end: 1_500 },
    EndCase { name: "inputs that last", following: 900, expires: Some(2_500), end: 2_100 },
];

/// Guards against pieces that wait, and are made, though the stages after them can't end while the caller
/// waits.
#[test]
fn a_stage_leaves_time_for_those_that_follow() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    for case in ENDS {
        let following = Duration::from_millis(case.following);
        let end = latest_end(at(3_000), following, case.expires.map(at));
        assert_eq!(end, at(case.end), "{}", case.name);
    }
}
