//! Simulates, in virtual time, a stage that gets more work than it can do.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use gateway::dialect::PieceInput;
use gateway::plan::BatchSpec;
use gateway::queue::{JobKey, Piece, Queue, Target};
use tokio::time::Instant;

const SPEC: BatchSpec = BatchSpec {
    batch: 34,
    call: Duration::from_millis(240),
    item: Duration::from_millis(6),
    space_bytes: 1_000_000_000,
    ttl: Duration::from_secs(4),
};

const UPSTREAMS: usize = 5;

/// How long pieces arrive.
const BURST: Duration = Duration::from_secs(6);

/// The simulation step. The queue is checked at each step.
const STEP: Duration = Duration::from_millis(5);

/// How long after its arrival a piece is due.
const DUE_AFTER: Duration = Duration::from_millis(900);

/// How long after its arrival a piece becomes useless.
const LIFETIME: Duration = Duration::from_secs(4);

/// A call in flight, ordered by its end.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct InFlight {
    end: Instant,
    upstream: Arc<str>,
    dues: Vec<Instant>,
    took: Duration,
}

struct Case {
    name: &'static str,
    /// The load as a ratio of what full calls can do.
    load: f64,
    /// The least share of on-time pieces, relative to what full calls can do or to all that
    /// arrived, whichever is less.
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
        result_bytes: 1_000,
        domain: None,
        transfer_bytes: 0,
        due: now + DUE_AFTER,
        deadline: now + LIFETIME,
        queued_at: now,
        sends: 0,
        request: None,
        isolated: false,
        lost_calls: 0,
        permit: None,
    }
}

/// Simulates a burst at a rate of pieces a second. Returns how many pieces arrived, and how many
/// were completed on time.
fn simulate(rate: f64) -> (usize, usize) {
    let targets: Vec<Target> = (0..UPSTREAMS)
        .map(|at| Target {
            id: format!("u-{at}").into(),
            domain: "d".into(),
            available: true,
            limit: usize::MAX,
        })
        .collect();
    let start = Instant::now();
    let mut queue = Queue::new(SPEC);
    let mut in_flight: BinaryHeap<Reverse<InFlight>> = BinaryHeap::new();
    let (mut came, mut in_time, mut now) = (0, 0, start);
    while now < start + BURST + LIFETIME {
        now += STEP;
        let burst = now.duration_since(start).min(BURST);
        let due = (burst.as_secs_f64() * rate) as usize;
        while came < due {
            came += 1;
            queue.push(piece(came as u64, now));
        }
        while in_flight.peek().is_some_and(|it| it.0.end <= now) {
            let Some(Reverse(call)) = in_flight.pop() else { break };
            queue.call_ended(&call.upstream, call.dues.len(), Some(call.took), call.end);
            in_time += call.dues.iter().filter(|it| call.end <= **it).count();
        }
        queue.take_expired(now);
        queue.take_infeasible(UPSTREAMS, now);
        while let Some(call) = queue.next_call(&targets, now) {
            in_flight.push(Reverse(InFlight {
                end: now + call.expected,
                upstream: call.upstream,
                dues: call.pieces.iter().map(|it| it.due).collect(),
                took: call.expected,
            }));
        }
    }
    (came, in_time)
}

/// Guards against a burst in which nearly every request is slightly late, and as many are refused:
/// more pieces arrive than full calls can do, each with some slack. If a piece counted as on time
/// although its call, lengthened by the others that wait for it, ends just after it is due, the
/// pieces that are due soonest would go first, and all would be late.
#[test]
fn what_is_made_in_a_burst_is_made_in_time() {
    let full = SPEC.call + SPEC.item * SPEC.batch as u32;
    let capacity = (UPSTREAMS * SPEC.batch) as f64 / full.as_secs_f64();
    for case in CASES {
        let (came, in_time) = simulate(capacity * case.load);
        let possible = (came as f64).min(capacity * BURST.as_secs_f64());
        let share = in_time as f64 / possible;
        assert!(share >= case.in_time, "{}: {share:.2} of {possible:.0}", case.name);
    }
}
