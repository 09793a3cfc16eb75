//! Tests which pieces go into the next call, and to which upstream.

use std::sync::Arc;
use std::time::Duration;

use gateway::dialect::{FreeSpace, PieceInput};
use gateway::plan::BatchSpec;
use gateway::queue::{BookedWork, JobKey, Lack, Piece, Queue, Target};
use tokio::time::Instant;

const SPEC: BatchSpec = BatchSpec {
    batch: 8,
    call: Duration::from_millis(200),
    item: Duration::from_millis(20),
    space_bytes: 16_000_000,
    ttl: Duration::from_secs(4),
};

fn target(id: &str, domain: &str) -> Target {
    Target { id: id.into(), domain: domain.into(), available: true, limit: usize::MAX }
}

/// The pieces of one job that a case queues: the job, how many, due in ms, bytes of a result,
/// domain, rank, waited so far in ms, isolated, whether the inputs are results of other stages.
#[derive(Clone, Copy)]
struct Given {
    job: u64,
    pieces: u32,
    due: i64,
    bytes: u64,
    domain: Option<&'static str>,
    rank: u8,
    waited: u64,
    isolated: bool,
    made: bool,
}

/// A piece that has waited longer than a call is held back for more pieces.
const PLAIN: Given = Given {
    job: 1,
    pieces: 1,
    due: 900,
    bytes: 1_000,
    domain: None,
    rank: 0,
    waited: 60,
    isolated: false,
    made: false,
};

fn push(queue: &mut Queue, given: Given, now: Instant) {
    for segment in 0..given.pieces {
        let due = match u64::try_from(given.due) {
            Ok(ms) => now + Duration::from_millis(ms),
            Err(_) => now,
        };
        queue.push(Piece {
            job: JobKey { origin: 1, id: given.job },
            attempt: "a".into(),
            stage: 0,
            segment,
            input: if given.made {
                PieceInput::Results(Arc::default())
            } else {
                PieceInput::Key("k".into())
            },
            rank: given.rank,
            result_bytes: given.bytes,
            domain: given.domain.map(Arc::from),
            transfer_bytes: given.bytes,
            due,
            deadline: now + Duration::from_secs(4),
            queued_at: now - Duration::from_millis(given.waited),
            sends: 0,
            request: None,
            isolated: given.isolated,
            lost_calls: 0,
            permit: None,
        });
    }
}

struct Case {
    name: &'static str,
    given: &'static [Given],
    targets: &'static [(&'static str, &'static str)],
    /// The upstream of the next call and the jobs of its pieces.
    next: Option<(&'static str, &'static [u64])>,
}

const CASES: &[Case] = &[
    Case { name: "nothing waits", given: &[], targets: &[("u", "d")], next: None },
    Case {
        name: "pieces of several requests share a call",
        given: &[
            Given { job: 1, pieces: 2, ..PLAIN },
            Given { job: 2, pieces: 2, due: 950, ..PLAIN },
        ],
        targets: &[("u", "d")],
        next: Some(("u", &[1, 1, 2, 2])),
    },
    Case {
        name: "no more than a batch, the most urgent first",
        given: &[
            Given { job: 1, pieces: 6, due: 900, ..PLAIN },
            Given { job: 2, pieces: 6, due: 500, ..PLAIN },
        ],
        targets: &[("u", "d")],
        next: Some(("u", &[2, 2, 2, 2, 2, 2, 1, 1])),
    },
    Case {
        name: "late pieces do not make others late",
        given: &[
            Given { job: 1, pieces: 7, due: -1, ..PLAIN },
            Given { job: 2, pieces: 7, due: 900, ..PLAIN },
        ],
        targets: &[("u", "d")],
        next: Some(("u", &[2, 2, 2, 2, 2, 2, 2, 1])),
    },
    Case {
        name: "nor do pieces that will be late after a call",
        given: &[
            Given { job: 1, pieces: 7, due: 200, ..PLAIN },
            Given { job: 2, pieces: 7, due: 900, ..PLAIN },
        ],
        targets: &[("u", "d")],
        next: Some(("u", &[2, 2, 2, 2, 2, 2, 2, 1])),
    },
    Case {
        name: "nor do pieces that a full call ends just after they are due",
        given: &[
            Given { job: 1, pieces: 7, due: 300, ..PLAIN },
            Given { job: 2, pieces: 7, due: 900, ..PLAIN },
        ],
        targets: &[("u", "d")],
        next: Some(("u", &[2, 2, 2, 2, 2, 2, 2, 1])),
    },
    Case {
        name: "a short call ends sooner",
        given: &[Given { job: 1, due: 900, ..PLAIN }, Given { job: 2, due: 300, ..PLAIN }],
        targets: &[("u", "d")],
        next: Some(("u", &[2, 1])),
    },
    Case {
        name: "an isolated piece shares its call with no other job",
        given: &[
            Given { job: 1, pieces: 2, due: 900, isolated: true, ..PLAIN },
            Given { job: 2, pieces: 2, due: 950, isolated: true, ..PLAIN },
            Given { job: 3, pieces: 2, due: 950, ..PLAIN },
        ],
        targets: &[("u", "d")],
        next: Some(("u", &[1, 1])),
    },
    Case {
        name: "a call of other pieces takes no isolated piece",
        given: &[
            Given { job: 1, due: 900, ..PLAIN },
            Given { job: 1, due: 910, isolated: true, ..PLAIN },
            Given { job: 2, due: 950, isolated: true, ..PLAIN },
            Given { job: 3, due: 990, ..PLAIN },
        ],
        targets: &[("u", "d")],
        next: Some(("u", &[1, 3])),
    },
    Case {
        name: "a higher rank goes first where not both can be in time",
        given: &[
            Given { job: 1, pieces: 8, due: 600, rank: 2, ..PLAIN },
            Given { job: 2, pieces: 8, due: 700, rank: 0, ..PLAIN },
        ],
        targets: &[("u", "d")],
        next: Some(("u", &[2; 8])),
    },
    Case {
        name: "a lower rank goes first if both can be in time by that",
        given: &[
            Given { job: 1, pieces: 8, due: 600, rank: 2, ..PLAIN },
            Given { job: 2, pieces: 8, due: 900, rank: 0, ..PLAIN },
        ],
        targets: &[("u", "d")],
        next: Some(("u", &[1; 8])),
    },
    Case {
        name: "work of a higher rank that fills the next calls goes before a lower one",
        given: &[
            Given { job: 1, pieces: 8, due: 600, rank: 1, ..PLAIN },
            Given { job: 2, pieces: 8, due: 1_050, rank: 0, ..PLAIN },
            Given { job: 3, pieces: 8, due: 1_050, rank: 0, ..PLAIN },
        ],
        targets: &[("u", "d")],
        next: Some(("u", &[2; 8])),
    },
    Case {
        name: "a late piece of a higher rank goes before a lower one",
        given: &[
            Given { job: 1, pieces: 8, due: -1, rank: 0, ..PLAIN },
            Given { job: 2, pieces: 8, due: 700, rank: 2, ..PLAIN },
        ],
        targets: &[("u", "d")],
        next: Some(("u", &[1; 8])),
    },
    Case {
        name: "a late piece goes after those of its rank that can be in time",
        given: &[
            Given { job: 1, pieces: 8, due: -1, rank: 1, ..PLAIN },
            Given { job: 2, pieces: 8, due: 700, rank: 1, ..PLAIN },
        ],
        targets: &[("u", "d")],
        next: Some(("u", &[2; 8])),
    },
    Case {
        name: "a request with results of earlier stages goes before others of the same urgency",
        given: &[
            Given { job: 1, due: 900, ..PLAIN },
            Given { job: 2, due: 920, made: true, ..PLAIN },
            Given { job: 3, due: 600, ..PLAIN },
        ],
        targets: &[("u", "d")],
        next: Some(("u", &[3, 2, 1])),
    },
    Case {
        name: "a job that does not fit into the call is left for the next one",
        given: &[
            Given { job: 1, pieces: 5, due: 900, ..PLAIN },
            Given { job: 2, pieces: 4, due: 950, ..PLAIN },
            Given { job: 3, pieces: 3, due: 990, ..PLAIN },
        ],
        targets: &[("u", "d")],
        next: Some(("u", &[1, 1, 1, 1, 1, 3, 3, 3])),
    },
    Case {
        name: "a job is split rather than a call left half empty",
        given: &[
            Given { job: 1, pieces: 5, due: 900, ..PLAIN },
            Given { job: 2, pieces: 4, due: 950, ..PLAIN },
            Given { job: 3, pieces: 2, due: 990, ..PLAIN },
        ],
        targets: &[("u", "d")],
        next: Some(("u", &[1, 1, 1, 1, 1, 2, 3, 3])),
    },
    Case {
        name: "a job is not split while another upstream is idle",
        given: &[
            Given { job: 1, pieces: 5, due: 900, ..PLAIN },
            Given { job: 2, pieces: 4, due: 950, ..PLAIN },
        ],
        targets: &[("u", "d"), ("v", "d"), ("w", "d")],
        next: Some(("u", &[1, 1, 1, 1, 1])),
    },
    Case {
        name: "large and small results share a call",
        given: &[
            Given { job: 1, pieces: 3, due: 900, bytes: 6_000_000, ..PLAIN },
            Given { job: 2, pieces: 2, due: 950, ..PLAIN },
        ],
        targets: &[("u", "d")],
        next: Some(("u", &[1, 1, 2, 2])),
    },
    Case {
        name: "no more results than there is space for",
        given: &[Given { pieces: 8, bytes: 6_000_000, ..PLAIN }],
        targets: &[("u", "d")],
        next: Some(("u", &[1, 1])),
    },
    Case {
        name: "a large result waits for its domain while there is time",
        given: &[Given { bytes: 1_500_000, domain: Some("d"), due: 2_000, ..PLAIN }],
        targets: &[("far", "e"), ("near", "d")],
        next: Some(("near", &[1])),
    },
    Case {
        name: "a large result without time to wait is made in any domain",
        given: &[Given { bytes: 1_500_000, domain: Some("d"), due: 300, ..PLAIN }],
        targets: &[("far", "e")],
        next: Some(("far", &[1])),
    },
];

#[test]
fn the_next_call() {
    let now = Instant::now();
    for case in CASES {
        let mut queue = Queue::new(SPEC);
        for given in case.given {
            push(&mut queue, *given, now);
        }
        let targets: Vec<Target> = case.targets.iter().map(|it| target(it.0, it.1)).collect();
        let next = queue.next_call(&targets, now);
        let next = next.map(|it| {
            let jobs = it.pieces.iter().map(|it| it.job.id).collect::<Vec<_>>();
            (it.upstream.to_string(), jobs)
        });
        let wanted = case.next.map(|it| (it.0.to_owned(), it.1.to_vec()));
        assert_eq!(next, wanted, "{}", case.name);
    }
}

/// Guards against large results that cross failure domains although an upstream in their own domain
/// becomes idle in time: the upstream in the domain is busy, another one is idle, and the busy one
/// was not considered.
#[test]
fn a_busy_upstream_in_the_domain_is_waited_for() {
    let now = Instant::now();
    let targets = [target("near", "d"), target("far", "e")];
    let large = Given { bytes: 1_500_000, domain: Some("d"), due: 2_000, ..PLAIN };
    let mut queue = Queue::new(SPEC);
    push(&mut queue, Given { job: 1, ..large }, now);
    assert_eq!(queue.next_call(&targets, now).map(|it| it.upstream), Some("near".into()));
    push(&mut queue, Given { job: 2, ..large }, now);
    assert!(queue.next_call(&targets, now).is_none(), "it should wait");
}

/// Guards against an upstream that was slow for some seconds and then gets no calls for the rest of
/// the day: a call takes eight times the usual, then the upstream recovers. If only its own calls
/// update its slowdown, it stays slow, because it gets none.
#[test]
fn slowness_is_forgotten_without_calls() {
    let start = Instant::now();
    let targets = [target("slow", "d"), target("well", "d")];
    let mut queue = Queue::new(SPEC);
    push(&mut queue, PLAIN, start);
    let first = queue.next_call(&targets, start).expect("a call").upstream;
    queue.call_ended(&first, 1, Some(Duration::from_millis(2_000)), start);
    push(&mut queue, PLAIN, start);
    let second = queue.next_call(&targets, start).expect("a call").upstream;
    assert_ne!(second, first, "the slow one should get no call");
    push(&mut queue, PLAIN, start);
    assert!(queue.next_call(&targets, start).is_none(), "waiting for the other ends sooner");
    let later = start + Duration::from_secs(8);
    push(&mut queue, Given { due: 9_000, ..PLAIN }, start);
    assert_eq!(queue.next_call(&targets, later).map(|it| it.upstream), Some(first));
}

/// Guards against upstreams that refuse pieces for lack of space although results were released:
/// the next call goes out before the upstream is told of the release. Space is free only once the
/// upstream has dropped the results.
#[test]
fn space_is_free_once_the_upstream_dropped_the_results() {
    let now = Instant::now();
    let targets = [target("u", "d")];
    let mut queue = Queue::new(SPEC);
    let large = Given { bytes: 7_000_000, ..PLAIN };
    push(&mut queue, Given { pieces: 2, ..large }, now);
    assert_eq!(queue.next_call(&targets, now).map(|it| it.pieces.len()), Some(2));
    queue.call_ended("u", 2, Some(Duration::from_millis(240)), now);
    queue.result_stored("u", 7_000_000, "h-1".into(), now);
    queue.result_stored("u", 7_000_000, "h-2".into(), now);
    push(&mut queue, large, now);
    assert!(queue.next_call(&targets, now).is_none(), "there is no space");
    queue.results_freed("u", &["h-1".into()]);
    assert_eq!(queue.next_call(&targets, now).map(|it| it.pieces.len()), Some(1));
}

/// Guards against an upstream that has restarted and gets no calls, or calls that are not full, for
/// as long as its results would have been stored: it ends with stored results and starts again,
/// empty, under its old id. What was known of the earlier incarnation must not count.
#[test]
fn an_upstream_that_started_again_keeps_nothing() {
    let now = Instant::now();
    let mut queue = Queue::new(SPEC);
    let targets = [target("u", "a")];
    let large = Given { pieces: 4, bytes: SPEC.space_bytes / 5, ..PLAIN };
    push(&mut queue, large, now);
    let first = queue.next_call(&targets, now).expect("a call");
    queue.call_ended("u", first.pieces.len(), Some(first.expected * 8), now);
    for piece in &first.pieces {
        queue.result_stored("u", piece.result_bytes, format!("h-{}", piece.segment).into(), now);
    }
    push(&mut queue, large, now);
    assert!(queue.next_call(&targets, now).is_none(), "there is no space");
    queue.restarted("u");
    let next = queue.next_call(&targets, now).expect("a call after the restart");
    assert_eq!(next.pieces.len(), 4);
    assert_eq!(next.expected, first.expected, "it is as fast as announced again");
}

/// Guards against pieces that use up their sends within milliseconds on upstreams that are full or
/// about to shut down.
#[test]
fn an_upstream_that_can_take_no_call_is_left_alone_for_a_while() {
    struct Case {
        name: &'static str,
        note: fn(&mut Queue, &str, Instant),
        backoff: Duration,
    }
    let cases = [
        Case { name: "full", note: Queue::call_refused, backoff: SPEC.call },
        Case { name: "a call lost", note: Queue::call_lost, backoff: Duration::from_millis(150) },
    ];
    for Case { name, note, backoff } in cases {
        let now = Instant::now();
        let targets = [target("u", "d")];
        let mut queue = Queue::new(SPEC);
        push(&mut queue, PLAIN, now);
        let first = queue.next_call(&targets, now).expect("a call");
        queue.call_ended("u", first.pieces.len(), None, now);
        note(&mut queue, "u", now);
        push(&mut queue, PLAIN, now);
        assert!(queue.next_call(&targets, now).is_none(), "{name}: it got the next call at once");
        let almost = now + backoff - Duration::from_millis(1);
        assert!(queue.next_call(&targets, almost).is_none(), "{name}: too soon");
        assert!(
            queue.next_call(&targets, now + backoff).is_some(),
            "{name}: it never gets a call again"
        );
    }
}

struct ForeignCase {
    name: &'static str,
    /// What the upstream has free before the first call, in results.
    free: u64,
    /// How many results of the previous owner are released then.
    freed: usize,
    /// How long after the upstream's report the call goes out, in ms.
    later: u64,
    /// The number of pieces in the call; eight wait.
    pieces: Option<usize>,
}

const FOREIGN_CASES: &[ForeignCase] = &[
    ForeignCase { name: "empty", free: 10, freed: 0, later: 0, pieces: Some(8) },
    ForeignCase { name: "half full", free: 5, freed: 0, later: 0, pieces: Some(4) },
    ForeignCase { name: "full", free: 0, freed: 0, later: 0, pieces: None },
    ForeignCase { name: "full, some released", free: 0, freed: 4, later: 0, pieces: Some(3) },
    ForeignCase {
        name: "full, until they expire",
        free: 0,
        freed: 0,
        later: 4_001,
        pieces: Some(8),
    },
];

/// Guards against stages that fail in the seconds after a loss of all power or a change of owners:
/// upstreams store results of the previous owner, and a new owner that counts only its own results
/// fills calls as if the upstreams were empty. Pieces without space are sent again until the retry
/// budget runs out.
#[test]
fn a_new_owner_leaves_space_for_what_others_keep() {
    const RESULT_BYTES: u64 = SPEC.space_bytes / 10;
    for case in FOREIGN_CASES {
        let now = Instant::now();
        let mut queue = Queue::new(SPEC);
        queue.set_free_bytes("u", case.free * RESULT_BYTES, now);
        let given = Given { pieces: 8, bytes: RESULT_BYTES, due: 9_000, ..PLAIN };
        push(&mut queue, given, now);
        let handles: Vec<Arc<str>> = (0..case.freed).map(|it| format!("h-{it}").into()).collect();
        queue.results_freed("u", &handles);
        let next = queue.next_call(&[target("u", "a")], now + Duration::from_millis(case.later));
        assert_eq!(next.map(|it| it.pieces.len()), case.pieces, "{}", case.name);
    }
}

struct LastCase {
    name: &'static str,
    upstreams: usize,
    pieces: u32,
    /// How long they have waited already, in ms.
    waited: u64,
    sent: bool,
}

const LAST_CASES: &[LastCase] = &[
    LastCase { name: "others are idle", upstreams: 8, pieces: 1, waited: 0, sent: true },
    LastCase { name: "the last one", upstreams: 1, pieces: 1, waited: 0, sent: false },
    LastCase {
        name: "the last one, for a full call",
        upstreams: 1,
        pieces: 8,
        waited: 0,
        sent: true,
    },
    LastCase {
        name: "the last one, after a quarter of a call",
        upstreams: 1,
        pieces: 1,
        waited: 50,
        sent: true,
    },
    LastCase { name: "two of eight", upstreams: 2, pieces: 1, waited: 0, sent: false },
];

/// Guards against pieces that wait for whole calls to end although most calls are far from full:
/// pieces arrive one by one, and each takes an idle upstream until the last one is taken by a
/// single piece, a moment before others arrive.
#[test]
fn the_last_idle_upstreams_wait_for_fuller_calls() {
    for case in LAST_CASES {
        let start = Instant::now();
        let mut queue = Queue::new(SPEC);
        let targets: Vec<Target> = (0..8).map(|it| target(&format!("u-{it}"), "a")).collect();
        for _ in case.upstreams..8 {
            push(&mut queue, Given { pieces: 8, ..PLAIN }, start);
            assert!(queue.next_call(&targets, start).is_some(), "{}", case.name);
        }
        push(&mut queue, Given { pieces: case.pieces, waited: case.waited, ..PLAIN }, start);
        let next = queue.next_call(&targets, start);
        assert_eq!(next.is_some(), case.sent, "{}", case.name);
    }
}

struct InfeasibleCase {
    name: &'static str,
    pieces: u32,
    upstreams: usize,
    ended: usize,
}

/// A full call takes 360 ms and the last one at least 220 ms, so 11 calls start in time for a
/// deadline in 4 s.
const INFEASIBLE_CASES: &[InfeasibleCase] = &[
    InfeasibleCase { name: "all can be made", pieces: 88, upstreams: 1, ended: 0 },
    InfeasibleCase { name: "some can't", pieces: 200, upstreams: 1, ended: 112 },
    InfeasibleCase { name: "more upstreams make more", pieces: 200, upstreams: 2, ended: 24 },
    InfeasibleCase {
        name: "no upstream, so nothing is known",
        pieces: 200,
        upstreams: 0,
        ended: 0,
    },
];

/// Guards against callers that wait in a burst until they leave, and results made for them that are
/// wasted: more pieces arrive than can be made, and those that are late stay behind the others
/// until their deadline.
#[test]
fn a_piece_that_cannot_be_made_in_time_ends_at_once() {
    for case in INFEASIBLE_CASES {
        let now = Instant::now();
        let mut queue = Queue::new(SPEC);
        push(&mut queue, Given { pieces: case.pieces, ..PLAIN }, now);
        let ended = queue.take_infeasible(case.upstreams, now);
        assert_eq!(ended.len(), case.ended, "{}", case.name);
        assert_eq!(queue.len() + ended.len(), case.pieces as usize, "{}", case.name);
    }
}

struct LatencyCase {
    name: &'static str,
    /// The times of the calls, in ms.
    took: &'static [u64],
    upstreams: usize,
    /// The bounds of the latency, in ms.
    latency: (u64, u64),
}

const LATENCY_CASES: &[LatencyCase] = &[
    LatencyCase { name: "no call yet", took: &[], upstreams: 4, latency: (275, 275) },
    LatencyCase { name: "one call", took: &[400], upstreams: 4, latency: (500, 500) },
    LatencyCase { name: "many upstreams", took: &[400], upstreams: 40, latency: (410, 410) },
    LatencyCase { name: "no upstream", took: &[400], upstreams: 0, latency: (800, 800) },
    LatencyCase {
        name: "calls get longer",
        took: &[200, 400, 400, 400],
        upstreams: 4,
        latency: (310, 400),
    },
];

/// Guards against requests with several stages that are slightly late under load, though the first
/// stage completed its pieces in time: calls are full, so they take longer than the plan announces
/// for a few pieces, and the first stage leaves the later ones only the announced time.
#[test]
fn the_least_latency_follows_the_times_of_calls() {
    let now = Instant::now();
    for case in LATENCY_CASES {
        let mut queue = Queue::new(SPEC);
        for took in case.took {
            push(&mut queue, PLAIN, now);
            let call = queue.next_call(&[target("u", "d")], now).expect("a call");
            let took = Duration::from_millis(*took);
            queue.call_ended(&call.upstream, call.pieces.len(), Some(took), now);
        }
        let latency = queue.min_latency(case.upstreams).as_millis() as u64;
        let (least, most) = case.latency;
        assert!((least..=most).contains(&latency), "{}: {latency} ms", case.name);
    }
}

/// Guards against a large result that waits until its caller leaves, because smaller ones behind it
/// take the space that becomes free, call after call.
#[test]
fn a_large_result_is_not_overtaken_indefinitely() {
    const MEDIUM: u64 = 1_000_000;
    let start = Instant::now();
    let targets = [target("u", "d")];
    let mut queue = Queue::new(BatchSpec { ttl: Duration::from_secs(60), ..SPEC });
    push(&mut queue, Given { job: 1, pieces: 14, bytes: MEDIUM, ..PLAIN }, start);
    let mut stored = Vec::new();
    let (mut now, mut sent_medium) = (start, 0);
    for round in 0u64..100 {
        while let Some(call) = queue.next_call(&targets, now) {
            now += call.expected;
            queue.call_ended("u", call.pieces.len(), Some(call.expected), now);
            for piece in call.pieces {
                if piece.result_bytes > MEDIUM {
                    assert!(sent_medium <= 1, "{sent_medium} smaller results went first");
                    assert!(round <= 7, "it fits after the release of five or six others: {round}");
                    return;
                }
                sent_medium += usize::from(round > 0);
                let handle: Arc<str> = format!("{}-{}", piece.job.id, piece.segment).into();
                queue.result_stored("u", MEDIUM, handle.clone(), now);
                stored.push(handle);
            }
        }
        let due = now.duration_since(start).as_millis() as i64 + 9_000;
        if round == 0 {
            push(&mut queue, Given { job: 2, bytes: 5 * MEDIUM, due, ..PLAIN }, start);
        }
        push(&mut queue, Given { job: 3 + round, bytes: MEDIUM, due: due + 100, ..PLAIN }, start);
        now += Duration::from_millis(50);
        queue.results_freed("u", &[stored.remove(0)]);
    }
    panic!("the large result was never sent");
}

struct AccountCase {
    name: &'static str,
    /// What happens after four results of 2 MB were stored 1 s ago, with 8 MB of 16 MB in use.
    then: fn(&mut Queue, Instant),
    /// The bounds of the free MB; 6% of the space are kept free.
    free: (f64, f64),
    wants_report: bool,
}

const MB: u64 = 1_000_000;

const ACCOUNT_CASES: &[AccountCase] = &[
    AccountCase { name: "nothing", then: |_, _| {}, free: (7.0, 7.1), wants_report: false },
    AccountCase {
        name: "a report that agrees",
        then: |queue, now| _ = queue.set_free_bytes("u", 8 * MB, now),
        free: (7.0, 7.2),
        wants_report: false,
    },
    AccountCase {
        name: "a report that differs by its rounding",
        then: |queue, now| {
            for free in [8_400_000, 7_600_000, 8_400_000, 8_400_000] {
                let rounded = FreeSpace { bytes: free, error: 500_000 };
                queue.set_free_bytes("u", rounded, now);
            }
        },
        free: (7.0, 7.1),
        wants_report: false,
    },
    AccountCase {
        name: "a report of results of others",
        then: |queue, now| _ = queue.set_free_bytes("u", 3 * MB, now),
        free: (2.0, 2.1),
        wants_report: false,
    },
    AccountCase {
        name: "a report of before a release",
        then: |queue, now| {
            queue.tick(now);
            queue.results_freed("u", &["h-0".into(), "h-1".into()]);
            let later = now + Duration::from_millis(50);
            queue.set_free_bytes("u", 8 * MB, later);
        },
        free: (11.0, 11.2),
        wants_report: false,
    },
    AccountCase {
        name: "a report of before a call",
        then: |queue, now| {
            push(queue, Given { job: 2, bytes: 3 * MB, ..PLAIN }, now);
            queue.next_call(&[target("u", "d")], now).expect("a call");
            let later = now + Duration::from_millis(50);
            queue.set_free_bytes("u", 8 * MB, later);
        },
        free: (4.0, 4.2),
        wants_report: false,
    },
    AccountCase {
        name: "a result found no space",
        then: |queue, now| {
            let error = queue.result_refused("u", 2 * MB, now);
            assert!(error >= 9 * MB, "the account was wrong by {error}");
        },
        free: (0.0, 0.0),
        wants_report: true,
    },
    AccountCase {
        name: "a result found no space, then a report",
        then: |queue, now| {
            queue.result_refused("u", 2 * MB, now);
            queue.set_free_bytes("u", MB, now);
        },
        free: (0.0, 0.1),
        wants_report: false,
    },
    AccountCase {
        name: "a call failed, so that its results may be stored",
        then: |queue, now| {
            push(queue, Given { job: 2, bytes: 3 * MB, ..PLAIN }, now);
            queue.next_call(&[target("u", "d")], now).expect("a call");
            queue.call_ended("u", 1, None, now);
        },
        free: (4.0, 4.1),
        wants_report: true,
    },
    AccountCase {
        name: "a call was lost, and the next one refused",
        then: |queue, now| {
            for (job, refused) in [(2, false), (3, true)] {
                push(queue, Given { job, bytes: 3 * MB, ..PLAIN }, now);
                queue.next_call(&[target("u", "d")], now).expect("a call");
                queue.call_ended("u", 1, None, now);
                if refused {
                    queue.call_refused("u", now);
                }
            }
        },
        free: (4.0, 4.1),
        wants_report: false,
    },
    AccountCase {
        name: "a call was refused",
        then: |queue, now| {
            push(queue, Given { job: 2, bytes: 3 * MB, ..PLAIN }, now);
            queue.next_call(&[target("u", "d")], now).expect("a call");
            queue.call_ended("u", 1, None, now);
            queue.call_refused("u", now);
        },
        free: (7.0, 7.1),
        wants_report: false,
    },
];

/// Guards against results that find no space where the owner believes that many MB are free, for as
/// long as its first report stays the last one; and against reports that count results which were
/// released or stored since, which made calls half full.
#[test]
fn the_account_of_space_follows_reports_and_refusals() {
    for case in ACCOUNT_CASES {
        let start = Instant::now();
        let mut queue = Queue::new(SPEC);
        push(&mut queue, Given { pieces: 4, bytes: 2 * MB, ..PLAIN }, start);
        queue.next_call(&[target("u", "d")], start).expect("a call");
        queue.call_ended("u", 4, Some(Duration::from_millis(280)), start);
        for handle in 0..4 {
            queue.result_stored("u", 2 * MB, format!("h-{handle}").into(), start);
        }
        let now = start + Duration::from_secs(1);
        (case.then)(&mut queue, now);
        let free = queue.free_bytes("u", now) as f64 / MB as f64;
        assert!((case.free.0..=case.free.1).contains(&free), "{}: {free} MB free", case.name);
        assert_eq!(queue.wants_report("u"), case.wants_report, "{}", case.name);
    }
}

/// Returns a queue with one full upstream, whose results of 1 MB have been stored for `hold`.
fn full_queue(hold: Duration, start: Instant) -> (Queue, Instant) {
    let mut queue = Queue::new(BatchSpec { batch: 15, ..SPEC });
    let targets = [target("u", "d")];
    push(&mut queue, Given { pieces: 15, bytes: MB, ..PLAIN }, start);
    for turn in 0..2 {
        let now = start + hold * turn;
        if turn > 0 {
            let handles: Vec<Arc<str>> = (0..15).map(|it| format!("0-{it}").into()).collect();
            queue.tick(now);
            queue.results_freed("u", &handles);
            push(&mut queue, Given { pieces: 15, bytes: MB, ..PLAIN }, now);
        }
        let call = queue.next_call(&targets, now).expect("a call");
        queue.call_ended("u", call.pieces.len(), Some(Duration::from_millis(500)), now);
        for handle in 0..15 {
            queue.result_stored("u", MB, format!("{turn}-{handle}").into(), now);
        }
    }
    (queue, start + hold)
}

struct SpaceCase {
    name: &'static str,
    /// How long results are stored, in ms.
    hold: u64,
    pieces: u32,
    bytes: u64,
    /// The bounds of the number that is given up.
    ended: (usize, usize),
    /// The bounds of the wait that is reported, in ms.
    wait: (u64, u64),
}

/// 15 results of 1 MB fill an upstream, which makes as many in 500 ms.
const SPACE_CASES: &[SpaceCase] = &[
    SpaceCase {
        name: "small results need calls",
        hold: 1_000,
        pieces: 30,
        bytes: 1_000,
        ended: (0, 0),
        wait: (1_200, 1_300),
    },
    SpaceCase {
        name: "space is the longer wait",
        hold: 1_500,
        pieces: 15,
        bytes: MB,
        ended: (0, 0),
        wait: (1_900, 2_200),
    },
    SpaceCase {
        name: "space for some",
        hold: 1_500,
        pieces: 60,
        bytes: MB,
        ended: (30, 35),
        wait: (8_000, 8_200),
    },
    SpaceCase {
        name: "a result larger than an upstream",
        hold: 1_000,
        pieces: 1,
        bytes: 17 * MB,
        ended: (1, 1),
        wait: (3_200, 3_600),
    },
];

/// Guards against requests that are admitted, and wait, although there will be no space for their
/// results in time: waits and prospects counted only the time of calls.
#[test]
fn waits_and_prospects_count_space() {
    for case in SPACE_CASES {
        let (mut queue, now) = full_queue(Duration::from_millis(case.hold), Instant::now());
        push(&mut queue, Given { pieces: case.pieces, bytes: case.bytes, ..PLAIN }, now);
        let wait = queue.backlog(1, &BookedWork::default(), now)[0].as_millis() as u64;
        assert!((case.wait.0..=case.wait.1).contains(&wait), "{}: {wait} ms", case.name);
        let ended = queue.take_infeasible(1, now);
        let count = ended.len();
        assert!((case.ended.0..=case.ended.1).contains(&count), "{}: {count}", case.name);
        assert!(ended.iter().all(|it| it.1 == Lack::Space), "{}", case.name);
    }
}

/// Guards against giving the calls of an overload to less urgent pieces because the more urgent ones that wait
/// now can still be made later: more of these are about to arrive.
#[test]
fn less_urgent_pieces_leave_room_for_what_arrives() {
    let start = Instant::now();
    let targets = [target("u", "d")];
    for (overloaded, first) in [(false, 2), (true, 1)] {
        let mut queue = Queue::new(SPEC);
        let mut now = start;
        // 40 pieces a second arrive for two seconds, and 22 can be made; some are late.
        for job in 0..80 {
            push(&mut queue, Given { job: 100 + job, waited: 0, ..PLAIN }, now);
            push(&mut queue, Given { job: 1_000, due: -1, ..PLAIN }, now);
            now += Duration::from_millis(25);
            if overloaded {
                queue.take_infeasible(1, now);
            }
            queue.cancel(JobKey { origin: 1, id: 100 + job });
            queue.cancel(JobKey { origin: 1, id: 1_000 });
        }
        push(&mut queue, Given { job: 1, pieces: 8, due: 900, rank: 0, ..PLAIN }, now);
        push(&mut queue, Given { job: 2, pieces: 8, due: 600, rank: 2, ..PLAIN }, now);
        let next = queue.next_call(&targets, now).expect("a call");
        assert!(next.pieces.iter().all(|it| it.job.id == first), "overloaded: {overloaded}");
    }
}

/// Guards against admitting a less urgent request as in time, which then waits behind late pieces of higher
/// ranks.
#[test]
fn waits_count_late_pieces_of_higher_ranks() {
    let now = Instant::now();
    let mut queue = Queue::new(SPEC);
    push(&mut queue, Given { pieces: 80, due: -1, rank: 1, ..PLAIN }, now);
    let waits = queue.timely_backlog(1, &BookedWork::default(), now);
    assert_eq!(waits[..2], [Duration::ZERO; 2], "ahead of late pieces of its rank");
    assert!(waits[2] > Duration::from_secs(3), "{:?}", waits[2]);
}

/// Guards against admission that does not see the work of requests that were admitted a moment ago,
/// whose pieces have not arrived yet.
#[test]
fn waits_count_booked_work() {
    let now = Instant::now();
    let (queue, _) = full_queue(Duration::from_millis(1_000), now);
    let mut booked = BookedWork::default();
    assert_eq!(queue.backlog(1, &booked, now)[0], Duration::ZERO);
    booked.pieces[1] = 30;
    booked.bytes[1] = 30 * MB;
    let waits = queue.backlog(1, &booked, now);
    assert_eq!(waits[0], Duration::ZERO, "a rank does not wait behind lower ones");
    assert!(waits[1] > Duration::from_secs(2), "{:?}", waits[1]);
    assert_eq!(waits, queue.timely_backlog(1, &booked, now), "booked work can be in time");
}

/// The pieces that an upstream makes in a second.
const CAPACITY: u32 = 22;

struct LateCase {
    name: &'static str,
    /// The pieces that arrive in a second and can be in time.
    arriving: u32,
    /// For how many seconds they have arrived.
    seconds: u32,
    /// Whether a late piece is given up 2.5 s before its deadline, behind a full call of others.
    given_up: bool,
}

const LATE_CASES: &[LateCase] = &[
    LateCase { name: "no others", arriving: 0, seconds: 4, given_up: false },
    LateCase { name: "capacity is left", arriving: 10, seconds: 4, given_up: false },
    LateCase { name: "the overload has just begun", arriving: 40, seconds: 1, given_up: false },
    LateCase { name: "a long overload", arriving: 40, seconds: 4, given_up: true },
];

/// Guards against late pieces that wait for seconds behind others that arrive later, until their
/// deadline; and against late pieces that are given up although capacity is left for them. Entries that are
/// told the wait must not admit what is given up then.
#[test]
fn late_pieces_are_given_up_without_prospect() {
    for case in LATE_CASES {
        let start = Instant::now();
        let targets = [target("u", "d")];
        let mut queue = Queue::new(SPEC);
        let mut now = start;
        let late = |job: u64| Given { job, due: -1, ..PLAIN };
        for second in 0..case.seconds {
            push(&mut queue, late(1_000), now);
            for piece in 0..case.arriving {
                let given = Given { job: u64::from(second * 100 + piece), waited: 0, ..PLAIN };
                push(&mut queue, given, now);
                now += Duration::from_secs(1) / case.arriving;
                queue.take_infeasible(1, now);
                queue.cancel(JobKey { origin: 1, id: given.job });
            }
            now = start + Duration::from_secs(1) * (second + 1);
            queue.take_infeasible(1, now);
            queue.cancel(JobKey { origin: 1, id: 1_000 });
        }
        push(&mut queue, Given { pieces: 9, ..late(2_000) }, now - Duration::from_millis(1_500));
        let told = queue.backlog(1, &BookedWork::default(), now)[0];
        let ended = queue.take_infeasible(1, now).len();
        assert_eq!(ended > 0, case.given_up, "{}: {ended} given up", case.name);
        let left = Duration::from_millis(2_500);
        assert!(told > left || !case.given_up, "{}: {told:?}, admitted in vain", case.name);
        assert!(told < left || case.arriving > CAPACITY, "{}: {told:?}, refused", case.name);
        if ended == 0 {
            assert!(queue.next_call(&targets, now).is_some(), "{}", case.name);
        }
    }
}

/// Guards against pieces that are given up, or count as late, because one of several upstreams is
/// slow: calls go to the others.
#[test]
fn one_slow_upstream_makes_no_piece_late() {
    let now = Instant::now();
    let targets: Vec<Target> = (0..4).map(|it| target(&format!("u-{it}"), "d")).collect();
    let mut queue = Queue::new(SPEC);
    push(&mut queue, Given { pieces: 8, ..PLAIN }, now);
    let slow = queue.next_call(&targets, now).expect("a call").upstream;
    queue.call_ended(&slow, 8, Some(Duration::from_secs(10)), now);
    push(&mut queue, Given { job: 2, pieces: 8, due: 500, rank: 1, ..PLAIN }, now);
    push(&mut queue, Given { job: 3, pieces: 200, due: -1, ..PLAIN }, now);
    assert!(queue.take_infeasible(4, now).is_empty(), "given up");
    let next = queue.next_call(&targets, now).expect("a call");
    assert_ne!(next.upstream, slow);
    assert!(next.pieces.iter().all(|it| it.job.id == 2), "it counted as late");
}
