//! A stage that is asked for more than it can make, replayed in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use gateway::dialect::PieceInput;
use gateway::plan::BatchSpec;
use gateway::queue::{JobKey, Lane, Piece, Queue};
use tokio::time::Instant;

const SPEC: BatchSpec = BatchSpec {
    batch: 34,
    call: Duration::from_millis(240),
    item: Duration::from_millis(6),
    room: 1_000_000_000,
    ttl: Duration::from_secs(4),
};

const LANES: usize = 5;

/// How long pieces come.
const BURST: Duration = Duration::from_secs(6);

/// The time between two looks at the queue, besides the ends of calls.
const STEP: Duration = Duration::from_millis(5);

/// How long after its arrival a piece is due.
const SLACK: Duration = Duration::from_millis(900);

/// How long after its arrival it is of no use any more.
const PATIENCE: Duration = Duration::from_secs(4);

/// A call under way, ordered by its end.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Flying {
    end: Instant,
    upstream: Arc<str>,
    dues: Vec<Instant>,
    took: Duration,
}

struct Case {
    name: &'static str,
    /// The load over what full calls can make.
    load: f64,
    /// The least share in time of what full calls can make, or of all that came where that is less.
    in_time: f64,
}

const CASES: &[Case] = &[
    Case { name: "half of the capacity", load: 0.5, in_time: 0.98 },
    Case { name: "close to the capacity", load: 0.9, in_time: 0.9 },
    Case { name: "a burst", load: 1.5, in_time: 0.8 },
    Case { name: "a large burst", load: 2.5, in_time: 0.8 },
];

fn piece(number: u64, now: Instant) -> Piece {
    Piece {
        job: JobKey { origin: 1, id: number },
        attempt: "a".into(),
        stage: 0,
        segment: 0,
        input: PieceInput::Key("k".into()),
        rank: 0,
        size: 1_000,
        domain: None,
        weight: 0,
        due: now + SLACK,
        deadline: now + PATIENCE,
        since: now,
        sent: 0,
        request: None,
        alone: false,
        lost: 0,
    }
}

/// Plays a burst; returns how many pieces came, and how many were done in time.
fn play(rate: f64) -> (usize, usize) {
    let lanes: Vec<Lane> = (0..LANES)
        .map(|at| Lane { id: format!("u-{at}").into(), domain: "d".into(), open: true })
        .collect();
    let start = Instant::now();
    let mut queue = Queue::new(SPEC);
    let mut flying: BinaryHeap<Reverse<Flying>> = BinaryHeap::new();
    let (mut came, mut in_time, mut now) = (0, 0, start);
    while now < start + BURST + PATIENCE {
        now += STEP;
        let burst = now.duration_since(start).min(BURST);
        let due = (burst.as_secs_f64() * rate) as usize;
        while came < due {
            came += 1;
            queue.push(piece(came as u64, now));
        }
        while flying.peek().is_some_and(|it| it.0.end <= now) {
            let Some(Reverse(call)) = flying.pop() else { break };
            queue.ended(&call.upstream, call.dues.len(), Some(call.took), call.end);
            in_time += call.dues.iter().filter(|it| call.end <= **it).count();
        }
        queue.take_expired(now);
        queue.take_infeasible(LANES, now);
        while let Some(call) = queue.next(&lanes, now) {
            flying.push(Reverse(Flying {
                end: now + call.expected,
                upstream: call.upstream,
                dues: call.pieces.iter().map(|it| it.due).collect(),
                took: call.expected,
            }));
        }
    }
    (came, in_time)
}

/// Symptom: in a burst nearly every request is late by a little, and as much is refused besides.
/// Sequence: more pieces come than full calls can make, each with some slack.
/// Cause: a piece counts as in time though it ends just after it is due, with those that wait for its
/// call; the sooner it is due, the sooner it is made, so all that is made is late.
#[test]
fn what_is_made_in_a_burst_is_made_in_time() {
    let full = SPEC.call + SPEC.item * SPEC.batch as u32;
    let capacity = (LANES * SPEC.batch) as f64 / full.as_secs_f64();
    for case in CASES {
        let (came, in_time) = play(capacity * case.load);
        let possible = (came as f64).min(capacity * BURST.as_secs_f64());
        let share = in_time as f64 / possible;
        assert!(share >= case.in_time, "{}: {share:.2} of {possible:.0}", case.name);
    }
}
