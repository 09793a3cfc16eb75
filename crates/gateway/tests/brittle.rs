//! How often all entries together are turned away by a brittle upstream, on virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gateway::brittle::{BRITTLE_WINDOW, BrittleGate, SETTLE_TIME};
use gateway::quota::{EntryList, Sharing};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

/// How many requests the upstream takes at once, and how long it works on one.
const SLOTS: usize = 6;
const WORK: Duration = Duration::from_millis(60);

/// The longest way to the upstream, and back.
const WAY: Duration = Duration::from_millis(8);

/// How long a play lasts.
const LENGTH: Duration = Duration::from_secs(10);

/// How much more is offered than the upstream can do.
const OVERLOAD: f64 = 3.0;

/// The hash of the upstream's id.
const KEY: u64 = 5;

struct Case {
    entries: usize,
    /// The requests that the upstream may turn away in a second.
    named: u32,
    /// The share of entries that still have the list from before a quarter of the entries was replaced.
    outdated: f64,
}

const CASES: &[Case] = &[
    Case { entries: 6, named: 4, outdated: 0.0 },
    Case { entries: 6, named: 20, outdated: 0.5 },
    Case { entries: 300, named: 4, outdated: 0.0 },
    Case { entries: 300, named: 20, outdated: 0.5 },
    Case { entries: 995, named: 8, outdated: 0.5 },
    Case { entries: 995, named: 1, outdated: 0.0 },
];

fn address(entry: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (entry / 250) as u8, (entry % 250) as u8], 9))
}

/// What happens, in the order of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Demand(usize),
    Arrival(usize),
    Done,
    Rejected(usize),
}

/// Plays a case; returns the most rejections in a second, and how many requests were served.
fn play(case: &Case, seed: u64) -> (usize, usize) {
    let mut random = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let replaced = |it: usize| if it.is_multiple_of(4) { it + 2_000 } else { it };
    let mut entries = Vec::new();
    for entry in 0..case.entries {
        let old = case.outdated == 0.0 || random.random_bool(case.outdated);
        let id = |it: usize| if old { it } else { replaced(it) };
        let listed = (0..case.entries).map(|it| address(id(it)));
        let list = Arc::new(EntryList::new(address(id(entry)), listed));
        let mut gate = BrittleGate::default();
        gate.record_answer(Some(case.named), start, start);
        entries.push((gate, list));
    }
    let mut events = BinaryHeap::new();
    let rate = OVERLOAD * SLOTS as f64 / WORK.as_secs_f64();
    let mut at = Duration::ZERO;
    while at < LENGTH {
        at += Duration::from_secs_f64(-random.random::<f64>().max(1e-9).ln() / rate);
        events.push(Reverse((at, Event::Demand(random.random_range(0..case.entries)))));
    }
    let (mut running, mut served, mut rejections) = (0, 0, Vec::new());
    while let Some(Reverse((at, event))) = events.pop() {
        let (now, way) = (start + at, WAY.mul_f64(random.random()));
        match event {
            Event::Demand(entry) => {
                let (gate, entries) = &mut entries[entry];
                if gate.room(Sharing { entries, key: KEY }, now) != Some(0) {
                    gate.record_sent(now);
                    events.push(Reverse((at + way, Event::Arrival(entry))));
                }
            }
            Event::Arrival(_) if running < SLOTS => {
                running += 1;
                events.push(Reverse((at + WORK, Event::Done)));
            }
            Event::Arrival(entry) => {
                rejections.push(at);
                events.push(Reverse((at + way, Event::Rejected(entry))));
            }
            Event::Done => (running, served) = (running - 1, served + 1),
            Event::Rejected(entry) => entries[entry].0.record_rejected(now),
        }
    }
    let within = |it: &Duration| {
        let end = *it + Duration::from_secs(1);
        rejections.iter().filter(|at| (*it..end).contains(*at)).count()
    };
    (rejections.iter().map(within).max().unwrap_or(0), served)
}

/// Guards against entries that each risk a rejection in the same second, and make a brittle upstream
/// fall over together.
#[test]
fn all_entries_together_stay_below_what_a_brittle_upstream_bears() {
    for case in CASES {
        let name = format!("{} entries, {}, {}", case.entries, case.named, case.outdated);
        for seed in 0..3 {
            let (most, served) = play(case, seed);
            assert!(
                most <= case.named as usize,
                "{name}, seed {seed}: {most} rejections in a second"
            );
            assert!(served > 0, "{name}, seed {seed}: nothing was served");
        }
    }
}

/// What a gate learns.
enum Step {
    Named(Option<u32>),
    Sent,
    Rejected,
    Lent,
    Settled,
}

struct GateCase {
    name: &'static str,
    /// The times in ms, and what the gate learns then.
    steps: &'static [(u64, Step)],
    /// A time in ms, and how many requests may be sent then.
    room: (u64, Option<u32>),
}

const SETTLE_MS: u64 = SETTLE_TIME.as_millis() as u64;
const WINDOW_MS: u64 = BRITTLE_WINDOW.as_millis() as u64;

const GATE_CASES: &[GateCase] = &[
    GateCase { name: "not brittle", steps: &[(0, Step::Rejected)], room: (0, None) },
    GateCase { name: "brittle", steps: &[(0, Step::Named(Some(8)))], room: (0, Some(4)) },
    GateCase {
        name: "a request that may be turned away",
        steps: &[(0, Step::Named(Some(8))), (0, Step::Sent)],
        room: (SETTLE_MS - 1, Some(3)),
    },
    GateCase {
        name: "a request that was accepted",
        steps: &[(0, Step::Named(Some(8))), (0, Step::Sent)],
        room: (SETTLE_MS, Some(4)),
    },
    GateCase {
        name: "a request that was turned away",
        steps: &[(0, Step::Named(Some(8))), (0, Step::Sent), (10, Step::Rejected)],
        room: (WINDOW_MS + 9, Some(3)),
    },
    GateCase {
        name: "the window is over",
        steps: &[(0, Step::Named(Some(8))), (0, Step::Sent), (10, Step::Rejected)],
        room: (WINDOW_MS + 10, Some(4)),
    },
    GateCase {
        name: "lent room",
        steps: &[(0, Step::Named(Some(8))), (0, Step::Lent)],
        room: (SETTLE_MS + 100, Some(3)),
    },
    GateCase {
        name: "lent room, and the request was accepted",
        steps: &[(0, Step::Named(Some(8))), (0, Step::Lent), (110, Step::Settled)],
        room: (SETTLE_MS + 100, Some(4)),
    },
    GateCase {
        name: "no longer brittle",
        steps: &[(0, Step::Named(Some(8))), (0, Step::Rejected), (50, Step::Named(None))],
        room: (60, None),
    },
];

#[test]
fn a_gate_counts_what_is_turned_away_or_may_be() {
    for case in GATE_CASES {
        let start = Instant::now();
        let at = |ms: u64| start + Duration::from_millis(ms);
        let entries = Arc::new(EntryList::new(address(0), [address(0)].into_iter()));
        let mut gate = BrittleGate::default();
        for (ms, step) in case.steps {
            match step {
                Step::Named(named) => drop(gate.record_answer(*named, at(*ms), at(*ms))),
                Step::Sent => gate.record_sent(at(*ms)),
                Step::Rejected => gate.record_rejected(at(*ms)),
                Step::Lent => gate.record_lent(at(*ms)),
                Step::Settled => gate.record_settled(),
            }
        }
        let (ms, room) = case.room;
        let sharing = Sharing { entries: &entries, key: KEY };
        assert_eq!(gate.room(sharing, at(ms)), room, "{}", case.name);
    }
}
