//! What an entry keeps for a leader that it can't tell yet.

use std::time::{Duration, Instant};

use registry::RequestDigest;
use registry::quarantine::{EndSeen, Evidence, EvidenceBuffer, Quarantine, RunSeen};

fn digest() -> RequestDigest {
    RequestDigest::of(&[b"one"])
}

/// An end under one request.
fn ended(upstream: u32) -> Evidence {
    let runs = vec![RunSeen { digest: digest(), age_ms: 100 }];
    Evidence::Ended(EndSeen { upstream: format!("u-{upstream}"), ago_ms: 20, runs, clock: None })
}

/// What the evidence is of, and how long ago that was, in ms.
fn names(evidence: &[Evidence]) -> Vec<String> {
    let name = |it: &Evidence| match it {
        Evidence::Ended(seen) | Evidence::EndedAt(_, seen) => {
            format!("{} {}", seen.upstream, seen.ago_ms)
        }
        Evidence::Completed(_) => "completed".to_owned(),
        Evidence::Try(_) => "try".to_owned(),
        Evidence::Known(_) => "known".to_owned(),
    };
    evidence.iter().map(name).collect()
}

/// Guards against ends that count for nothing since there was no leader when they were seen.
#[test]
fn evidence_outlasts_an_election() {
    struct Case {
        name: &'static str,
        /// When, in ms, what, and whether a leader was told.
        seen: Vec<(u64, Evidence, bool)>,
        untold: &'static [&'static str],
        all: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "told and not, in their order",
            seen: vec![
                (0, ended(1), true),
                (500, ended(2), false),
                (600, Evidence::Completed(digest()), false),
            ],
            untold: &["u-2 520", "completed"],
            all: &["u-1 1020", "u-2 520", "completed"],
        },
        Case {
            name: "told anew by itself",
            seen: vec![(0, Evidence::Try(digest()), false), (0, Evidence::Known(vec![]), false)],
            untold: &[],
            all: &[],
        },
    ];
    for Case { name, seen, untold, all } in cases {
        let start = Instant::now();
        let mut recent = EvidenceBuffer::default();
        for (at, evidence, told) in seen {
            recent.add(evidence, told, start + Duration::from_millis(at));
        }
        let now = start + Duration::from_secs(1);
        assert_eq!(names(&recent.unsent(now)), untold, "{name}");
        assert!(recent.unsent(now).is_empty(), "{name}: told twice");
        assert_eq!(names(&recent.all(now)), all, "{name}");
        assert!(recent.all(now + Duration::from_secs(10)).is_empty(), "{name}: kept for ever");
    }
}

/// Guards against more evidence than a leader can take from all entries at once.
#[test]
fn recent_evidence_is_bounded() {
    let now = Instant::now();
    let mut recent = EvidenceBuffer::default();
    (0..1_000).for_each(|it| recent.add(ended(it), false, now));
    let kept = names(&recent.all(now));
    assert_eq!((kept.len(), kept.last().map(String::as_str)), (64, Some("u-999 20")));
}

/// Guards against a request that ends three upstreams, one of them while no member leads, and is sent on.
#[test]
fn an_end_without_a_leader_counts_for_the_next() {
    for kept in [false, true] {
        let start = Instant::now();
        let at = |ms: u64| start + Duration::from_millis(ms);
        let mut recent = EvidenceBuffer::default();
        recent.add(ended(1), false, at(0));
        let mut leader = Quarantine::default();
        let mut held = Vec::new();
        let told = if kept { recent.all(at(1_500)) } else { Vec::new() };
        for evidence in told {
            let Evidence::Ended(seen) = evidence else { panic!("no end") };
            held.extend(leader.record_end(&seen, at(1_500)));
        }
        for (upstream, ms) in [(2, 2_000), (3, 4_000)] {
            let Evidence::Ended(seen) = ended(upstream) else { panic!("no end") };
            held.extend(leader.record_end(&seen, at(ms)));
            held.extend(leader.decide_due(at(ms + 400)));
        }
        assert_eq!(held.len(), usize::from(kept), "kept: {kept}");
    }
}
