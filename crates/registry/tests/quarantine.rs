//! Which requests are held because upstreams terminate while they run them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use registry::quarantine::{
    Admission, Decision, EndSeen, EntryClock, Held, Hold, Holds, QuarantineTable, QuarantineView,
    RunSeen,
};
use registry::{RequestDigest, Stamp};

/// How long a request is held the first time.
const FIRST_HOLD: Duration = Duration::from_secs(300);

/// The delay between a termination and the decision on its cause, in ms.
const DECISION_DELAY_MS: u64 = 300;

fn digest(number: u32) -> RequestDigest {
    RequestDigest::of(&[&number.to_le_bytes()])
}

fn entry(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

/// Returns the termination of an upstream with runs of these requests, each sent this many ms before.
fn end(upstream: u32, runs: &[(u32, u32)]) -> EndSeen {
    let runs = runs.iter().map(|(it, age_ms)| RunSeen { digest: digest(*it), age_ms: *age_ms });
    EndSeen {
        upstream: format!("u-{upstream}"),
        ago_ms: 0,
        runs: runs.collect(),
        clock: None,
        parts: vec![],
    }
}

/// An event.
enum Step {
    /// An upstream terminates with these runs, each of this age in ms.
    End(u32, Vec<(u32, u32)>),
    /// The same, with the incarnation of the reporting entry and the time by its clock, in ms.
    EndAt((u64, u64), u32, Vec<(u32, u32)>),
    /// A request completes.
    Completed(u32),
}

struct Case {
    name: &'static str,
    /// The events and their times, in ms.
    steps: Vec<(u64, Step)>,
    held: &'static [u32],
}

/// The request that terminates upstreams, in the cases that have one.
const HARMFUL: u32 = 1;

fn harmful_with(others: std::ops::Range<u32>) -> Vec<(u32, u32)> {
    std::iter::once(HARMFUL).chain(others).map(|it| (it, 100)).collect()
}

fn cases() -> Vec<Case> {
    let rack =
        |first: u32| (first..first + 40).map(|it| Step::End(it, vec![(7, 900), (it + 100, 500)]));
    vec![
        Case {
            name: "one request at three terminations",
            steps: vec![
                (0, Step::End(1, harmful_with(0..0))),
                (1_000, Step::End(2, harmful_with(0..0))),
                (2_000, Step::End(3, harmful_with(0..0))),
            ],
            held: &[HARMFUL],
        },
        Case {
            name: "with other requests that are new each time",
            steps: vec![
                (0, Step::End(1, harmful_with(100..148))),
                (1_000, Step::End(2, harmful_with(200..248))),
                (2_000, Step::End(3, harmful_with(300..348))),
            ],
            held: &[HARMFUL],
        },
        Case {
            name: "with streams that continue elsewhere and are in flight at the next termination",
            steps: vec![
                (0, Step::End(1, harmful_with(100..110))),
                (1_000, Step::End(2, harmful_with(105..115))),
                (2_000, Step::End(3, harmful_with(110..120))),
                (3_000, Step::End(4, harmful_with(120..130))),
            ],
            held: &[HARMFUL],
        },
        Case {
            name: "with another request at the same three terminations: either may be the cause",
            steps: vec![
                (0, Step::End(1, harmful_with(100..101))),
                (1_000, Step::End(2, harmful_with(100..101))),
                (2_000, Step::End(3, harmful_with(100..101))),
            ],
            held: &[],
        },
        Case {
            name: "the same, but the next two terminations tell them apart",
            steps: vec![
                (0, Step::End(1, harmful_with(100..101))),
                (1_000, Step::End(2, harmful_with(100..101))),
                (2_000, Step::End(3, harmful_with(100..101))),
                (3_000, Step::End(4, harmful_with(0..0))),
                (4_000, Step::End(5, harmful_with(0..0))),
            ],
            held: &[HARMFUL],
        },
        Case {
            name: "a harmless request that is retried, in flight at terminations by two harmful ones",
            steps: vec![
                (0, Step::End(1, vec![(HARMFUL, 100)])),
                (500, Step::End(2, vec![(2, 100)])),
                (1_000, Step::End(3, vec![(HARMFUL, 100), (9, 400)])),
                (1_900, Step::End(4, vec![(2, 100), (9, 400)])),
                (2_800, Step::End(5, vec![(HARMFUL, 100), (9, 400)])),
                (3_200, Step::End(6, vec![(2, 100), (9, 50)])),
                (4_200, Step::End(7, vec![(HARMFUL, 100)])),
                (4_600, Step::End(8, vec![(2, 100)])),
            ],
            held: &[HARMFUL, 2],
        },
        Case {
            name: "three runs that were in flight at the same time",
            steps: vec![
                (0, Step::End(1, vec![(HARMFUL, 500)])),
                (100, Step::End(2, vec![(HARMFUL, 600)])),
                (200, Step::End(3, vec![(HARMFUL, 700)])),
            ],
            held: &[],
        },
        Case {
            name: "retries within an attempt, ordered by the entry's clock",
            steps: vec![
                (0, Step::EndAt((1, 50), 1, vec![(HARMFUL, 50)])),
                (55, Step::EndAt((1, 101), 2, vec![(HARMFUL, 50)])),
                (290, Step::EndAt((1, 152), 3, vec![(HARMFUL, 50)])),
                (310, Step::EndAt((1, 203), 4, vec![(HARMFUL, 50)])),
            ],
            held: &[HARMFUL],
        },
        Case {
            name: "retries within an attempt, each sent in the ms of the termination before",
            steps: vec![
                (0, Step::EndAt((1, 50), 1, vec![(HARMFUL, 2)])),
                (3, Step::EndAt((1, 52), 2, vec![(HARMFUL, 2)])),
                (5_000, Step::EndAt((1, 5_050), 3, vec![(HARMFUL, 2)])),
            ],
            held: &[HARMFUL],
        },
        Case {
            name: "a harmless request in flight at the first terminations by three others",
            steps: vec![
                (0, Step::EndAt((1, 50), 1, vec![(HARMFUL, 50), (2, 300)])),
                (55, Step::EndAt((1, 101), 2, vec![(HARMFUL, 50), (3, 200)])),
                (290, Step::EndAt((1, 152), 3, vec![(HARMFUL, 50), (4, 100)])),
            ],
            held: &[],
        },
        Case {
            name: "runs that were in flight at the same time, reported late",
            steps: vec![
                (0, Step::EndAt((1, 500), 1, vec![(HARMFUL, 60)])),
                (100, Step::EndAt((1, 500), 2, vec![(HARMFUL, 60)])),
                (220, Step::EndAt((1, 500), 3, vec![(HARMFUL, 60)])),
            ],
            held: &[],
        },
        Case {
            name: "the same, from several entries",
            steps: vec![
                (0, Step::EndAt((1, 500), 1, vec![(HARMFUL, 60)])),
                (100, Step::EndAt((2, 9_500), 2, vec![(HARMFUL, 60)])),
                (220, Step::EndAt((3, 20), 3, vec![(HARMFUL, 60)])),
            ],
            held: &[],
        },
        Case {
            name: "loss of a rack with a frequent request in flight",
            steps: rack(1).map(|it| (0, it)).collect(),
            held: &[],
        },
        Case {
            name: "loss of three racks with a frequent request that completes in between",
            steps: rack(1)
                .map(|it| (0, it))
                .chain(rack(101).map(|it| (9_000, it)))
                .chain([(9_500, Step::Completed(7))])
                .chain(rack(201).map(|it| (18_000, it)))
                .collect(),
            held: &[],
        },
        Case {
            name: "many reports of one termination",
            steps: (0..20).map(|it| (it * 10, Step::End(1, vec![(HARMFUL, 5)]))).collect(),
            held: &[],
        },
        Case {
            name: "one upstream id that restarts and terminates again",
            steps: (0..3).map(|it| (it * 5_000, Step::End(1, vec![(HARMFUL, 50)]))).collect(),
            held: &[HARMFUL],
        },
        Case {
            name: "terminations that are far apart",
            steps: (0..6)
                .map(|it| (it * 400_000, Step::End(it as u32, vec![(HARMFUL, 50)])))
                .collect(),
            held: &[],
        },
    ]
}

#[test]
fn a_request_is_held_for_terminations_that_nothing_else_explains() {
    for case in cases() {
        let mut quarantine = QuarantineTable::default();
        let start = Instant::now();
        for (ms, step) in &case.steps {
            let now = start + Duration::from_millis(*ms);
            quarantine.decide_due(now);
            match step {
                Step::End(upstream, runs) => quarantine.record_end(&end(*upstream, runs), now),
                Step::EndAt((incarnation, at_ms), upstream, runs) => {
                    let clock = Some(EntryClock { incarnation: *incarnation, at_ms: *at_ms });
                    quarantine.record_end(&EndSeen { clock, ..end(*upstream, runs) }, now)
                }
                Step::Completed(it) => quarantine.record_completion(digest(*it), now),
            };
        }
        let (last, _) = case.steps.last().expect("a step");
        quarantine.decide_due(start + Duration::from_millis(last + DECISION_DELAY_MS));
        let held = quarantine.list(Stamp::default(), start).held;
        let mut held: Vec<RequestDigest> = held.iter().map(|it| it.digest).collect();
        let mut expected: Vec<RequestDigest> = case.held.iter().map(|it| digest(*it)).collect();
        held.sort_unstable();
        expected.sort_unstable();
        assert_eq!(held, expected, "{}", case.name);
    }
}

/// Returns a quarantine that holds one request, and the time of that decision.
fn holding() -> (QuarantineTable, Instant) {
    let mut quarantine = QuarantineTable::default();
    let start = Instant::now();
    for round in 0..3 {
        let now = start + Duration::from_secs(round);
        quarantine.record_end(&end(round as u32, &[(HARMFUL, 50)]), now);
        quarantine.decide_due(now + Duration::from_millis(DECISION_DELAY_MS));
    }
    (quarantine, start + Duration::from_millis(2_000 + DECISION_DELAY_MS))
}

/// Guards against a request that is never sent again although the upstream was repaired, and against
/// one that terminates further upstreams whenever its hold time is over.
#[test]
fn a_held_request_is_tried_once_when_its_time_is_over() {
    let (mut quarantine, start) = holding();
    let due = start + FIRST_HOLD;
    let harmful = digest(HARMFUL);
    assert_eq!(quarantine.request_trial(harmful, entry(1), due - Duration::from_secs(1)), []);
    assert_eq!(
        quarantine.request_trial(harmful, entry(1), due),
        [Decision::TrialGranted(harmful, entry(1))]
    );
    assert_eq!(quarantine.request_trial(harmful, entry(2), due), [], "two trials at the same time");
    let ended = quarantine.record_end(&end(9, &[(HARMFUL, 50), (5, 50)]), due);
    assert_eq!(ended, [Decision::TrialFailed(harmful, 4)]);
    assert_eq!(
        quarantine.request_trial(harmful, entry(1), due + FIRST_HOLD),
        [],
        "held for twice as long"
    );
    let again = due + FIRST_HOLD * 2;
    assert_eq!(
        quarantine.request_trial(harmful, entry(2), again),
        [Decision::TrialGranted(harmful, entry(2))]
    );
    let later = again + Duration::from_secs(31);
    assert_eq!(
        quarantine.request_trial(harmful, entry(3), later),
        [Decision::TrialGranted(harmful, entry(3))],
        "the trial timed out"
    );
    assert_eq!(quarantine.record_completion(harmful, later), [Decision::Released(harmful)]);
    assert!(quarantine.list(Stamp::default(), later).held.is_empty());
}

/// A new leader starts without held requests; the entries report those of the previous leader, which
/// stay held meanwhile.
#[test]
fn a_new_leader_learns_what_is_held_from_the_entries() {
    let (quarantine, start) = holding();
    let stamp = |term, count| Stamp { term, count };
    let mut known = QuarantineView::default();
    assert!(known.update(&quarantine.list(stamp(1, 1), start), start));
    assert_eq!(known.admission(&digest(HARMFUL), start), Admission::Held(FIRST_HOLD));

    let mut next = QuarantineTable::default();
    let later = start + Duration::from_secs(60);
    assert!(known.update(&next.list(stamp(2, 1), later), later));
    assert_eq!(
        known.admission(&digest(HARMFUL), later),
        Admission::Held(FIRST_HOLD - Duration::from_secs(60))
    );
    let reported: Vec<Held> = known.held(later);
    assert!(next.merge_known(&reported, later), "new to the next leader");
    assert!(!next.merge_known(&reported, later), "reported by a second entry");

    let after = later + Duration::from_secs(3);
    assert!(known.update(&next.list(stamp(2, 2), after), after));
    assert!(
        !known.update(&quarantine.list(stamp(1, 9), after), after),
        "a list of an older leader"
    );
    let left = FIRST_HOLD - Duration::from_secs(63);
    assert_eq!(known.admission(&digest(HARMFUL), after), Admission::Held(left));
    next.record_completion(digest(HARMFUL), after);
    assert!(known.update(&next.list(stamp(2, 3), after), after));
    assert_eq!(known.admission(&digest(HARMFUL), after), Admission::Allowed);
}

/// Guards against memory and lists that grow with the number of requests.
#[test]
fn memory_and_list_size_are_bounded() {
    let mut quarantine = QuarantineTable::default();
    let start = Instant::now();
    for number in 0..3_000_u32 {
        let now = start + Duration::from_millis(u64::from(number) * 20);
        // Each harmful request terminates three upstreams, with many other requests in flight.
        let runs: Vec<(u32, u32)> = std::iter::once(number / 3)
            .chain((0..60).map(|it| 10_000 + number * 60 + it))
            .map(|it| (it, 10))
            .collect();
        quarantine.record_end(&end(number, &runs), now);
        quarantine.decide_due(now);
    }
    let list = quarantine.list(Stamp::default(), start);
    assert!(list.held.len() <= 64, "{} held", list.held.len());
    let bytes = postcard::to_allocvec(&list).expect("a message").len();
    assert!(bytes <= 4_096, "{bytes} bytes to each entry");
}

/// Returns a hundred stored requests, of which the members keep some.
fn stored(prefix: &[u8]) -> Holds {
    let mut stored = Holds::default();
    for number in 0..100 {
        let digest = RequestDigest::of(&[prefix, &[number]]);
        stored.hold(Hold { digest, ends: 3, relapses: 0, until_ms: u64::from(number) });
    }
    stored
}

/// Guards against a list that outgrows its message where a leader loads stored requests besides its own.
#[test]
fn loaded_requests_are_bounded() {
    let mut quarantine = QuarantineTable::default();
    let now = Instant::now();
    for prefix in [b"a", b"b"] {
        assert!(stored(prefix).iter().count() <= 64);
        quarantine.load(&stored(prefix), now, 0);
    }
    let held = quarantine.list(Stamp::default(), now).held.len();
    assert_eq!(held, 64);
}

#[test]
fn requests_that_differ_in_any_part_have_different_digests() {
    let one = RequestDigest::of(&[b"POST", b"/a", b"customer", b"body"]);
    let others = [
        RequestDigest::of(&[b"GET", b"/a", b"customer", b"body"]),
        RequestDigest::of(&[b"POST", b"/a", b"customerb", b"ody"]),
        RequestDigest::of(&[b"POST", b"/a?q", b"customer", b"body"]),
        RequestDigest::of(&[b"POST", b"/a", b"other", b"body"]),
        RequestDigest::of(&[b"POST", b"/a", b"customer", b""]),
    ];
    assert!(others.iter().all(|it| *it != one));
    assert_eq!(one.to_string().parse(), Ok(one));
}
