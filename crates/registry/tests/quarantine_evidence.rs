//! The evidence that an entry keeps for a leader that it can't reach yet.

use std::time::{Duration, Instant};

use registry::RequestDigest;
use registry::quarantine::{EndSeen, Evidence, EvidenceBuffer, QuarantineTable, RunSeen};

fn digest() -> RequestDigest {
    RequestDigest::of(&[b"one"])
}

/// Returns the termination of an upstream while it ran the request.
fn ended(upstream: u32) -> Evidence {
    let runs = vec![RunSeen { digest: digest(), age_ms: 100 }];
    Evidence::Ended(EndSeen {
        upstream: format!("u-{upstream}"),
        ago_ms: 20,
        runs,
        clock: None,
        parts: vec![],
    })
}

/// Returns the subject of each observation, and for terminations their age in ms.
fn names(evidence: &[Evidence]) -> Vec<String> {
    let name = |it: &Evidence| match it {
        Evidence::Ended(seen)
        | Evidence::EndedAt(_, seen)
        | Evidence::EndedWithParts(_, seen, _) => {
            format!("{} {}", seen.upstream, seen.ago_ms)
        }
        Evidence::Completed(_) => "completed".to_owned(),
        Evidence::Try(_) => "try".to_owned(),
        Evidence::Known(_) => "known".to_owned(),
    };
    evidence.iter().map(name).collect()
}

/// Guards against terminations that are lost because there was no leader when they were observed.
#[test]
fn evidence_outlasts_an_election() {
    struct Case {
        name: &'static str,
        /// The observations: the time in ms, the evidence, and whether a leader received it.
        seen: Vec<(u64, Evidence, bool)>,
        unsent: &'static [&'static str],
        all: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "sent and unsent evidence, in its order",
            seen: vec![
                (0, ended(1), true),
                (500, ended(2), false),
                (600, Evidence::Completed(digest()), false),
            ],
            unsent: &["u-2 520", "completed"],
            all: &["u-1 1020", "u-2 520", "completed"],
        },
        Case {
            name: "evidence that the entry repeats by itself",
            seen: vec![(0, Evidence::Try(digest()), false), (0, Evidence::Known(vec![]), false)],
            unsent: &[],
            all: &[],
        },
    ];
    for Case { name, seen, unsent, all } in cases {
        let start = Instant::now();
        let mut buffer = EvidenceBuffer::default();
        for (at, evidence, sent) in seen {
            buffer.add(evidence, sent, start + Duration::from_millis(at));
        }
        let now = start + Duration::from_secs(1);
        assert_eq!(names(&buffer.unsent(now)), unsent, "{name}");
        assert!(buffer.unsent(now).is_empty(), "{name}: sent twice");
        assert_eq!(names(&buffer.all(now)), all, "{name}");
        assert!(buffer.all(now + Duration::from_secs(10)).is_empty(), "{name}: kept too long");
    }
}

/// Guards against more evidence than a leader can take from all entries at the same time.
#[test]
fn recent_evidence_is_bounded() {
    let now = Instant::now();
    let mut buffer = EvidenceBuffer::default();
    (0..1_000).for_each(|it| buffer.add(ended(it), false, now));
    let kept = names(&buffer.all(now));
    assert_eq!((kept.len(), kept.last().map(String::as_str)), (64, Some("u-999 20")));
}

/// Guards against a request that terminates three upstreams, one of them while there is no leader, and
/// is still sent.
#[test]
fn an_end_without_a_leader_counts_for_the_next() {
    for kept in [false, true] {
        let start = Instant::now();
        let at = |ms: u64| start + Duration::from_millis(ms);
        let mut buffer = EvidenceBuffer::default();
        buffer.add(ended(1), false, at(0));
        let mut leader = QuarantineTable::default();
        let mut held = Vec::new();
        let sent = if kept { buffer.all(at(1_500)) } else { Vec::new() };
        for evidence in sent {
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
