//! Which requests are held for the upstreams that end under them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use registry::quarantine::{
    Decision, EndSeen, EntryClock, Held, Known, Quarantine, RunSeen, Standing,
};
use registry::{RequestDigest, Stamp};

/// How long a request is held first.
const TERM: Duration = Duration::from_secs(300);

/// When an end is settled, in ms after it.
const GATHER: u64 = 300;

fn digest(number: u32) -> RequestDigest {
    RequestDigest::of(&[&number.to_le_bytes()])
}

fn entry(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

/// The end of an upstream with runs of these requests, each sent so many ms before.
fn end(upstream: u32, runs: &[(u32, u32)]) -> EndSeen {
    let runs = runs.iter().map(|(it, age_ms)| RunSeen { digest: digest(*it), age_ms: *age_ms });
    EndSeen { upstream: format!("u-{upstream}"), ago_ms: 0, runs: runs.collect(), clock: None }
}

/// What happens at a moment.
enum Step {
    /// An upstream ends with these runs, each of this age in ms.
    End(u32, Vec<(u32, u32)>),
    /// The same, with the entry that tells it and the time by its clock.
    EndAt((u64, u64), u32, Vec<(u32, u32)>),
    /// A request runs to its end.
    Completed(u32),
}

struct Case {
    name: &'static str,
    /// When, in ms, and what.
    steps: Vec<(u64, Step)>,
    held: &'static [u32],
}

/// The request that ends upstreams, where there is one.
const BAD: u32 = 1;

fn bad_with(others: std::ops::Range<u32>) -> Vec<(u32, u32)> {
    std::iter::once(BAD).chain(others).map(|it| (it, 100)).collect()
}

fn cases() -> Vec<Case> {
    let rack =
        |first: u32| (first..first + 40).map(|it| Step::End(it, vec![(7, 900), (it + 100, 500)]));
    vec![
        Case {
            name: "one request at three ends",
            steps: vec![
                (0, Step::End(1, bad_with(0..0))),
                (1_000, Step::End(2, bad_with(0..0))),
                (2_000, Step::End(3, bad_with(0..0))),
            ],
            held: &[BAD],
        },
        Case {
            name: "with others that are new each time",
            steps: vec![
                (0, Step::End(1, bad_with(100..148))),
                (1_000, Step::End(2, bad_with(200..248))),
                (2_000, Step::End(3, bad_with(300..348))),
            ],
            held: &[BAD],
        },
        Case {
            name: "with streams that go on elsewhere and meet the next end",
            steps: vec![
                (0, Step::End(1, bad_with(100..110))),
                (1_000, Step::End(2, bad_with(105..115))),
                (2_000, Step::End(3, bad_with(110..120))),
                (3_000, Step::End(4, bad_with(120..130))),
            ],
            held: &[BAD],
        },
        Case {
            name: "with one that met the same three ends: nobody knows which",
            steps: vec![
                (0, Step::End(1, bad_with(100..101))),
                (1_000, Step::End(2, bad_with(100..101))),
                (2_000, Step::End(3, bad_with(100..101))),
            ],
            held: &[],
        },
        Case {
            name: "the same, told apart by the next two ends",
            steps: vec![
                (0, Step::End(1, bad_with(100..101))),
                (1_000, Step::End(2, bad_with(100..101))),
                (2_000, Step::End(3, bad_with(100..101))),
                (3_000, Step::End(4, bad_with(0..0))),
                (4_000, Step::End(5, bad_with(0..0))),
            ],
            held: &[BAD],
        },
        Case {
            name: "a sound one that is sent on and meets the ends of two that are not",
            steps: vec![
                (0, Step::End(1, vec![(BAD, 100)])),
                (500, Step::End(2, vec![(2, 100)])),
                (1_000, Step::End(3, vec![(BAD, 100), (9, 400)])),
                (1_900, Step::End(4, vec![(2, 100), (9, 400)])),
                (2_800, Step::End(5, vec![(BAD, 100), (9, 400)])),
                (3_200, Step::End(6, vec![(2, 100), (9, 50)])),
                (4_200, Step::End(7, vec![(BAD, 100)])),
                (4_600, Step::End(8, vec![(2, 100)])),
            ],
            held: &[BAD, 2],
        },
        Case {
            name: "three runs that were under way together",
            steps: vec![
                (0, Step::End(1, vec![(BAD, 500)])),
                (100, Step::End(2, vec![(BAD, 600)])),
                (200, Step::End(3, vec![(BAD, 700)])),
            ],
            held: &[],
        },
        Case {
            name: "repeats within an attempt, by the entry's clock",
            steps: vec![
                (0, Step::EndAt((1, 50), 1, vec![(BAD, 50)])),
                (55, Step::EndAt((1, 101), 2, vec![(BAD, 50)])),
                (290, Step::EndAt((1, 152), 3, vec![(BAD, 50)])),
                (310, Step::EndAt((1, 203), 4, vec![(BAD, 50)])),
            ],
            held: &[BAD],
        },
        Case {
            name: "one that met the first ends of three others",
            steps: vec![
                (0, Step::EndAt((1, 50), 1, vec![(BAD, 50), (2, 300)])),
                (55, Step::EndAt((1, 101), 2, vec![(BAD, 50), (3, 200)])),
                (290, Step::EndAt((1, 152), 3, vec![(BAD, 50), (4, 100)])),
            ],
            held: &[],
        },
        Case {
            name: "runs that were under way together, and late news of them",
            steps: vec![
                (0, Step::EndAt((1, 500), 1, vec![(BAD, 60)])),
                (100, Step::EndAt((1, 500), 2, vec![(BAD, 60)])),
                (220, Step::EndAt((1, 500), 3, vec![(BAD, 60)])),
            ],
            held: &[],
        },
        Case {
            name: "the same, from several entries",
            steps: vec![
                (0, Step::EndAt((1, 500), 1, vec![(BAD, 60)])),
                (100, Step::EndAt((2, 9_500), 2, vec![(BAD, 60)])),
                (220, Step::EndAt((3, 20), 3, vec![(BAD, 60)])),
            ],
            held: &[],
        },
        Case {
            name: "a rack with a popular request",
            steps: rack(1).map(|it| (0, it)).collect(),
            held: &[],
        },
        Case {
            name: "three racks with a popular request that runs to its end between",
            steps: rack(1)
                .map(|it| (0, it))
                .chain(rack(101).map(|it| (9_000, it)))
                .chain([(9_500, Step::Completed(7))])
                .chain(rack(201).map(|it| (18_000, it)))
                .collect(),
            held: &[],
        },
        Case {
            name: "many reports of one end",
            steps: (0..20).map(|it| (it * 10, Step::End(1, vec![(BAD, 5)]))).collect(),
            held: &[],
        },
        Case {
            name: "one id that starts again and ends again",
            steps: (0..3).map(|it| (it * 5_000, Step::End(1, vec![(BAD, 50)]))).collect(),
            held: &[BAD],
        },
        Case {
            name: "ends that are long past",
            steps: (0..6).map(|it| (it * 400_000, Step::End(it as u32, vec![(BAD, 50)]))).collect(),
            held: &[],
        },
    ]
}

#[test]
fn a_request_is_held_for_ends_that_nothing_else_explains() {
    for case in cases() {
        let mut quarantine = Quarantine::default();
        let start = Instant::now();
        for (ms, step) in &case.steps {
            let now = start + Duration::from_millis(*ms);
            quarantine.decide_due(now);
            match step {
                Step::End(upstream, runs) => quarantine.record_end(&end(*upstream, runs), now),
                Step::EndAt((life, at_ms), upstream, runs) => {
                    let clock = Some(EntryClock { incarnation: *life, at_ms: *at_ms });
                    quarantine.record_end(&EndSeen { clock, ..end(*upstream, runs) }, now)
                }
                Step::Completed(it) => quarantine.record_completion(digest(*it)),
            };
        }
        let (last, _) = case.steps.last().expect("a step");
        quarantine.decide_due(start + Duration::from_millis(last + GATHER));
        let held = quarantine.list(Stamp::default(), start).held;
        let mut held: Vec<RequestDigest> = held.iter().map(|it| it.digest).collect();
        let mut wanted: Vec<RequestDigest> = case.held.iter().map(|it| digest(*it)).collect();
        held.sort_unstable();
        wanted.sort_unstable();
        assert_eq!(held, wanted, "{}", case.name);
    }
}

/// A quarantine that holds one request, and when it began to.
fn holding() -> (Quarantine, Instant) {
    let mut quarantine = Quarantine::default();
    let start = Instant::now();
    for turn in 0..3 {
        let now = start + Duration::from_secs(turn);
        quarantine.record_end(&end(turn as u32, &[(BAD, 50)]), now);
        quarantine.decide_due(now + Duration::from_millis(GATHER));
    }
    (quarantine, start + Duration::from_millis(2_000 + GATHER))
}

/// What was mended upstream stays unreachable for good, or each return costs an upstream again.
#[test]
fn a_held_request_is_tried_once_when_its_time_is_over() {
    let (mut quarantine, start) = holding();
    let due = start + TERM;
    let bad = digest(BAD);
    assert_eq!(quarantine.request_trial(bad, entry(1), due - Duration::from_secs(1)), []);
    assert_eq!(
        quarantine.request_trial(bad, entry(1), due),
        [Decision::TrialGranted(bad, entry(1))]
    );
    assert_eq!(quarantine.request_trial(bad, entry(2), due), [], "two trials at once");
    let ended = quarantine.record_end(&end(9, &[(BAD, 50), (5, 50)]), due);
    assert_eq!(ended, [Decision::TrialFailed(bad, 4)]);
    assert_eq!(quarantine.request_trial(bad, entry(1), due + TERM), [], "held for twice as long");
    let again = due + TERM * 2;
    assert_eq!(
        quarantine.request_trial(bad, entry(2), again),
        [Decision::TrialGranted(bad, entry(2))]
    );
    let later = again + Duration::from_secs(31);
    assert_eq!(
        quarantine.request_trial(bad, entry(3), later),
        [Decision::TrialGranted(bad, entry(3))],
        "lost"
    );
    assert_eq!(quarantine.record_completion(bad), [Decision::Released(bad)]);
    assert!(quarantine.list(Stamp::default(), later).held.is_empty());
}

/// A leader that has just begun knows nothing; what entries know of the one before is kept.
#[test]
fn a_new_leader_learns_what_is_held_from_the_entries() {
    let (quarantine, start) = holding();
    let stamp = |term, count| Stamp { term, count };
    let mut known = Known::default();
    assert!(known.update(&quarantine.list(stamp(1, 1), start), start));
    assert_eq!(known.standing(&digest(BAD), start), Standing::Held(TERM));

    let mut next = Quarantine::default();
    let later = start + Duration::from_secs(60);
    assert!(known.update(&next.list(stamp(2, 1), later), later));
    assert_eq!(known.standing(&digest(BAD), later), Standing::Held(TERM - Duration::from_secs(60)));
    let told: Vec<Held> = known.held(later);
    assert!(next.merge_known(&told, later), "news to the next leader");
    assert!(!next.merge_known(&told, later), "told by a second entry");

    let after = later + Duration::from_secs(3);
    assert!(known.update(&next.list(stamp(2, 2), after), after));
    assert!(!known.update(&quarantine.list(stamp(1, 9), after), after), "an older leader's");
    let left = TERM - Duration::from_secs(63);
    assert_eq!(known.standing(&digest(BAD), after), Standing::Held(left));
    next.record_completion(digest(BAD));
    assert!(known.update(&next.list(stamp(2, 3), after), after));
    assert_eq!(known.standing(&digest(BAD), after), Standing::Free);
}

/// Memory and lists grow with what callers send.
#[test]
fn what_is_remembered_is_bounded() {
    let mut quarantine = Quarantine::default();
    let start = Instant::now();
    for number in 0..3_000_u32 {
        let now = start + Duration::from_millis(u64::from(number) * 20);
        // A request of its own ends three upstreams, with many others under way.
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

#[test]
fn what_differs_makes_another_request() {
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
