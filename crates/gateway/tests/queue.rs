//! Which pieces go into the next call, and where.

use std::sync::Arc;
use std::time::Duration;

use gateway::dialect::PieceInput;
use gateway::plan::BatchSpec;
use gateway::queue::{JobKey, Lane, Piece, Queue};
use tokio::time::Instant;

const SPEC: BatchSpec = BatchSpec {
    batch: 8,
    call: Duration::from_millis(200),
    item: Duration::from_millis(20),
    room: 16_000_000,
    ttl: Duration::from_secs(4),
};

fn lane(id: &str, domain: &str) -> Lane {
    Lane { id: id.into(), domain: domain.into(), open: true }
}

/// A piece as a case gives it: job, how many, due in ms, bytes, domain, rank, waited so far in ms, alone.
#[derive(Clone, Copy)]
struct Given {
    job: u64,
    pieces: u32,
    due: i64,
    bytes: u64,
    domain: Option<&'static str>,
    rank: u8,
    waited: u64,
    alone: bool,
}

/// Has waited longer than a call is held back for more pieces.
const PLAIN: Given = Given {
    job: 1,
    pieces: 1,
    due: 900,
    bytes: 1_000,
    domain: None,
    rank: 0,
    waited: 60,
    alone: false,
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
            input: PieceInput::Key("k".into()),
            rank: given.rank,
            size: given.bytes,
            domain: given.domain.map(Arc::from),
            weight: given.bytes,
            due,
            deadline: now + Duration::from_secs(4),
            since: now - Duration::from_millis(given.waited),
            sent: 0,
            request: None,
            alone: given.alone,
            lost: 0,
        });
    }
}

struct Case {
    name: &'static str,
    given: &'static [Given],
    lanes: &'static [(&'static str, &'static str)],
    /// The upstream of the next call and the jobs of its pieces.
    next: Option<(&'static str, &'static [u64])>,
}

const CASES: &[Case] = &[
    Case { name: "nothing waits", given: &[], lanes: &[("u", "d")], next: None },
    Case {
        name: "pieces of several requests share a call",
        given: &[
            Given { job: 1, pieces: 2, ..PLAIN },
            Given { job: 2, pieces: 2, due: 950, ..PLAIN },
        ],
        lanes: &[("u", "d")],
        next: Some(("u", &[1, 1, 2, 2])),
    },
    Case {
        name: "no more than a batch, the most urgent first",
        given: &[
            Given { job: 1, pieces: 6, due: 900, ..PLAIN },
            Given { job: 2, pieces: 6, due: 500, ..PLAIN },
        ],
        lanes: &[("u", "d")],
        next: Some(("u", &[2, 2, 2, 2, 2, 2, 1, 1])),
    },
    Case {
        name: "what is late does not make others late",
        given: &[
            Given { job: 1, pieces: 7, due: -1, ..PLAIN },
            Given { job: 2, pieces: 7, due: 900, ..PLAIN },
        ],
        lanes: &[("u", "d")],
        next: Some(("u", &[2, 2, 2, 2, 2, 2, 2, 1])),
    },
    Case {
        name: "nor does what will be late after a call",
        given: &[
            Given { job: 1, pieces: 7, due: 200, ..PLAIN },
            Given { job: 2, pieces: 7, due: 900, ..PLAIN },
        ],
        lanes: &[("u", "d")],
        next: Some(("u", &[2, 2, 2, 2, 2, 2, 2, 1])),
    },
    Case {
        name: "nor does what ends just after it is due in a full call",
        given: &[
            Given { job: 1, pieces: 7, due: 300, ..PLAIN },
            Given { job: 2, pieces: 7, due: 900, ..PLAIN },
        ],
        lanes: &[("u", "d")],
        next: Some(("u", &[2, 2, 2, 2, 2, 2, 2, 1])),
    },
    Case {
        name: "a short call ends sooner",
        given: &[Given { job: 1, due: 900, ..PLAIN }, Given { job: 2, due: 300, ..PLAIN }],
        lanes: &[("u", "d")],
        next: Some(("u", &[2, 1])),
    },
    Case {
        name: "what may end its upstream takes nothing else along",
        given: &[
            Given { job: 1, pieces: 2, due: 900, alone: true, ..PLAIN },
            Given { job: 2, pieces: 2, due: 950, alone: true, ..PLAIN },
            Given { job: 3, pieces: 2, due: 950, ..PLAIN },
        ],
        lanes: &[("u", "d")],
        next: Some(("u", &[1, 1])),
    },
    Case {
        name: "and goes along with nothing else",
        given: &[
            Given { job: 1, due: 900, ..PLAIN },
            Given { job: 1, due: 910, alone: true, ..PLAIN },
            Given { job: 2, due: 950, alone: true, ..PLAIN },
            Given { job: 3, due: 990, ..PLAIN },
        ],
        lanes: &[("u", "d")],
        next: Some(("u", &[1, 3])),
    },
    Case {
        name: "a higher rank goes first",
        given: &[
            Given { job: 1, due: 600, rank: 2, ..PLAIN },
            Given { job: 2, due: 900, rank: 0, ..PLAIN },
        ],
        lanes: &[("u", "d")],
        next: Some(("u", &[2, 1])),
    },
    Case {
        name: "no more results than there is room for",
        given: &[Given { pieces: 8, bytes: 6_000_000, ..PLAIN }],
        lanes: &[("u", "d")],
        next: Some(("u", &[1, 1])),
    },
    Case {
        name: "a large result waits for its domain while it has time",
        given: &[Given { bytes: 1_500_000, domain: Some("d"), due: 2_000, ..PLAIN }],
        lanes: &[("far", "e"), ("near", "d")],
        next: Some(("near", &[1])),
    },
    Case {
        name: "a large result without time is made anywhere",
        given: &[Given { bytes: 1_500_000, domain: Some("d"), due: 300, ..PLAIN }],
        lanes: &[("far", "e")],
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
        let lanes: Vec<Lane> = case.lanes.iter().map(|it| lane(it.0, it.1)).collect();
        let next = queue.next(&lanes, now);
        let next = next.map(|it| {
            let jobs = it.pieces.iter().map(|it| it.job.id).collect::<Vec<_>>();
            (it.upstream.to_string(), jobs)
        });
        let wanted = case.next.map(|it| (it.0.to_owned(), it.1.to_vec()));
        assert_eq!(next, wanted, "{}", case.name);
    }
}

/// Symptom: large results cross domains although a maker of their own is free within their time.
/// Sequence: the maker in the domain is busy; one elsewhere is idle.
/// Cause: a busy maker counted as none.
#[test]
fn a_busy_maker_in_the_domain_is_waited_for() {
    let now = Instant::now();
    let lanes = [lane("near", "d"), lane("far", "e")];
    let large = Given { bytes: 1_500_000, domain: Some("d"), due: 2_000, ..PLAIN };
    let mut queue = Queue::new(SPEC);
    push(&mut queue, Given { job: 1, ..large }, now);
    assert_eq!(queue.next(&lanes, now).map(|it| it.upstream), Some("near".into()));
    push(&mut queue, Given { job: 2, ..large }, now);
    assert!(queue.next(&lanes, now).is_none(), "it should wait");
}

/// Symptom: after an upstream was slow for seconds it gets no calls for the rest of the day.
/// Sequence: its call takes eight times the usual; then it is well again.
/// Cause: only its own calls change what is remembered, and it gets none.
#[test]
fn slowness_is_forgotten_without_calls() {
    let start = Instant::now();
    let lanes = [lane("slow", "d"), lane("well", "d")];
    let mut queue = Queue::new(SPEC);
    push(&mut queue, PLAIN, start);
    let first = queue.next(&lanes, start).expect("a call").upstream;
    queue.ended(&first, 1, Some(Duration::from_millis(2_000)), start);
    push(&mut queue, PLAIN, start);
    let second = queue.next(&lanes, start).expect("a call").upstream;
    assert_ne!(second, first, "the slow one should be passed over");
    push(&mut queue, PLAIN, start);
    assert!(queue.next(&lanes, start).is_none(), "waiting for the other ends sooner");
    let later = start + Duration::from_secs(8);
    push(&mut queue, Given { due: 9_000, ..PLAIN }, start);
    assert_eq!(queue.next(&lanes, later).map(|it| it.upstream), Some(first));
}

/// Symptom: upstreams refuse pieces for want of room although results were given up.
/// Sequence: results are given up; before the upstream is told, the next call goes out.
/// Cause: room counted as free when nobody needed the results, not when they were dropped.
#[test]
fn room_is_free_once_the_upstream_dropped_the_results() {
    let now = Instant::now();
    let lanes = [lane("u", "d")];
    let mut queue = Queue::new(SPEC);
    let large = Given { bytes: 7_000_000, ..PLAIN };
    push(&mut queue, Given { pieces: 2, ..large }, now);
    assert_eq!(queue.next(&lanes, now).map(|it| it.pieces.len()), Some(2));
    queue.ended("u", 2, Some(Duration::from_millis(240)), now);
    queue.kept("u", 7_000_000, "h-1".into(), now);
    queue.kept("u", 7_000_000, "h-2".into(), now);
    push(&mut queue, large, now);
    assert!(queue.next(&lanes, now).is_none(), "there is no room");
    queue.freed("u", &["h-1".into()]);
    assert_eq!(queue.next(&lanes, now).map(|it| it.pieces.len()), Some(1));
}

/// Symptom: an upstream that has started again gets no calls, or calls that are not full, for as long
/// as its results would have been kept.
/// Sequence: it keeps results, ends, starts again under its old id, and keeps nothing.
/// Cause: what was believed of the life before counts for the new one.
#[test]
fn an_upstream_that_started_again_keeps_nothing() {
    let now = Instant::now();
    let mut queue = Queue::new(SPEC);
    let lanes = [lane("u", "a")];
    let large = Given { pieces: 4, bytes: SPEC.room / 5, ..PLAIN };
    push(&mut queue, large, now);
    let first = queue.next(&lanes, now).expect("a call");
    queue.ended("u", first.pieces.len(), Some(first.expected * 8), now);
    for piece in &first.pieces {
        queue.kept("u", piece.size, format!("h-{}", piece.segment).into(), now);
    }
    push(&mut queue, large, now);
    assert!(queue.next(&lanes, now).is_none(), "there is no room");
    queue.reborn("u");
    let next = queue.next(&lanes, now).expect("a call to the new life");
    assert_eq!(next.pieces.len(), 4);
    assert_eq!(next.expected, first.expected, "it is as fast as announced again");
}

/// Pieces use up their sends on upstreams that are full, or about to end, within milliseconds.
#[test]
fn an_upstream_that_can_take_no_call_is_left_alone_for_a_while() {
    struct Case {
        name: &'static str,
        note: fn(&mut Queue, &str, Instant),
        rests: Duration,
    }
    let cases = [
        Case { name: "full", note: Queue::full, rests: SPEC.call },
        Case { name: "a call lost", note: Queue::lost, rests: Duration::from_millis(150) },
    ];
    for Case { name, note, rests } in cases {
        let now = Instant::now();
        let lanes = [lane("u", "d")];
        let mut queue = Queue::new(SPEC);
        push(&mut queue, PLAIN, now);
        let first = queue.next(&lanes, now).expect("a call");
        queue.ended("u", first.pieces.len(), None, now);
        note(&mut queue, "u", now);
        push(&mut queue, PLAIN, now);
        assert!(queue.next(&lanes, now).is_none(), "{name}: it got the next at once");
        let almost = now + rests - Duration::from_millis(1);
        assert!(queue.next(&lanes, almost).is_none(), "{name}: too soon");
        assert!(queue.next(&lanes, now + rests).is_some(), "{name}: left out for good");
    }
}

struct ForeignCase {
    name: &'static str,
    /// What the upstream has free before the first call, in results.
    free: u64,
    /// How many results of the owner before are given up then.
    freed: usize,
    /// How long after its word the call goes out, in ms.
    later: u64,
    /// The pieces of the call, of eight that wait.
    pieces: Option<usize>,
}

const FOREIGN: &[ForeignCase] = &[
    ForeignCase { name: "empty", free: 10, freed: 0, later: 0, pieces: Some(8) },
    ForeignCase { name: "half full", free: 5, freed: 0, later: 0, pieces: Some(4) },
    ForeignCase { name: "full", free: 0, freed: 0, later: 0, pieces: None },
    ForeignCase { name: "full, some given up", free: 0, freed: 4, later: 0, pieces: Some(3) },
    ForeignCase { name: "full, until they end", free: 0, freed: 0, later: 4_001, pieces: Some(8) },
];

/// Symptom: in the seconds after a loss of all power, or after a change of owners, stages fail.
/// Sequence: upstreams keep results that the owner before had made. The new owner fills calls as if
/// they were empty; pieces without room are sent again until the retry budget ends.
/// Cause: an owner counted only what it had made itself.
#[test]
fn a_new_owner_leaves_room_for_what_others_keep() {
    const RESULT: u64 = SPEC.room / 10;
    for case in FOREIGN {
        let now = Instant::now();
        let mut queue = Queue::new(SPEC);
        queue.set_free("u", case.free * RESULT, now);
        let given = Given { pieces: 8, bytes: RESULT, due: 9_000, ..PLAIN };
        push(&mut queue, given, now);
        let handles: Vec<Arc<str>> = (0..case.freed).map(|it| format!("h-{it}").into()).collect();
        queue.freed("u", &handles);
        let next = queue.next(&[lane("u", "a")], now + Duration::from_millis(case.later));
        assert_eq!(next.map(|it| it.pieces.len()), case.pieces, "{}", case.name);
    }
}

struct LastCase {
    name: &'static str,
    upstreams: usize,
    pieces: u32,
    /// How long they wait already, in ms.
    waited: u64,
    sent: bool,
}

const LAST: &[LastCase] = &[
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

/// Symptom: pieces wait for the end of whole calls though most calls are far from full.
/// Sequence: pieces come one by one; each takes an idle upstream until none is left.
/// Cause: the last idle upstream is taken by a piece alone, a moment before others come.
#[test]
fn the_last_idle_upstreams_wait_for_fuller_calls() {
    for case in LAST {
        let start = Instant::now();
        let mut queue = Queue::new(SPEC);
        let lanes: Vec<Lane> = (0..8).map(|it| lane(&format!("u-{it}"), "a")).collect();
        for _ in case.upstreams..8 {
            push(&mut queue, Given { pieces: 8, ..PLAIN }, start);
            assert!(queue.next(&lanes, start).is_some(), "{}", case.name);
        }
        push(&mut queue, Given { pieces: case.pieces, waited: case.waited, ..PLAIN }, start);
        let next = queue.next(&lanes, start);
        assert_eq!(next.is_some(), case.sent, "{}", case.name);
    }
}

struct Infeasible {
    name: &'static str,
    pieces: u32,
    lanes: usize,
    ended: usize,
}

/// A full call takes 360 ms and the last one 220 ms at least, so 11 calls begin in time for a deadline
/// in 4 s.
const INFEASIBLE: &[Infeasible] = &[
    Infeasible { name: "all can be made", pieces: 88, lanes: 1, ended: 0 },
    Infeasible { name: "some can't", pieces: 200, lanes: 1, ended: 112 },
    Infeasible { name: "more upstreams make more", pieces: 200, lanes: 2, ended: 24 },
    Infeasible { name: "no upstream tells nothing", pieces: 200, lanes: 0, ended: 0 },
];

/// Symptom: callers wait in a burst until they leave, and what was made for them is thrown away.
/// Sequence: more pieces come than can be made; those that are late stay behind the others.
/// Cause: a piece that can't be made in time ends only at its deadline.
#[test]
fn a_piece_that_cannot_be_made_in_time_ends_at_once() {
    for case in INFEASIBLE {
        let now = Instant::now();
        let mut queue = Queue::new(SPEC);
        push(&mut queue, Given { pieces: case.pieces, ..PLAIN }, now);
        let ended = queue.take_infeasible(case.lanes, now);
        assert_eq!(ended.len(), case.ended, "{}", case.name);
        assert_eq!(queue.len() + ended.len(), case.pieces as usize, "{}", case.name);
    }
}

struct NeedCase {
    name: &'static str,
    /// What calls took, in ms.
    took: &'static [u64],
    lanes: usize,
    /// What a piece needs at least and at most, in ms.
    need: (u64, u64),
}

const NEEDS: &[NeedCase] = &[
    NeedCase { name: "no call yet", took: &[], lanes: 4, need: (275, 275) },
    NeedCase { name: "one call", took: &[400], lanes: 4, need: (500, 500) },
    NeedCase { name: "many upstreams", took: &[400], lanes: 40, need: (410, 410) },
    NeedCase { name: "no upstream", took: &[400], lanes: 0, need: (800, 800) },
    NeedCase { name: "calls get longer", took: &[200, 400, 400, 400], lanes: 4, need: (310, 400) },
];

/// Symptom: requests with several stages are late by a little under load, though the first stage made
/// their pieces in time.
/// Sequence: calls are full, so longer than what the plan announces for a few pieces.
/// Cause: the first stage leaves the later ones the announced time, not what they need now.
#[test]
fn what_a_piece_needs_follows_what_calls_take() {
    let now = Instant::now();
    for case in NEEDS {
        let mut queue = Queue::new(SPEC);
        for took in case.took {
            push(&mut queue, PLAIN, now);
            let call = queue.next(&[lane("u", "d")], now).expect("a call");
            let took = Duration::from_millis(*took);
            queue.ended(&call.upstream, call.pieces.len(), Some(took), now);
        }
        let need = queue.need(case.lanes).as_millis() as u64;
        let (least, most) = case.need;
        assert!((least..=most).contains(&need), "{}: {need} ms", case.name);
    }
}
