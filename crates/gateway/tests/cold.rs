//! What all entries together send to upstreams that are cold, on virtual time.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use gateway::cold::{COLD_WINDOW, ColdGate, ColdSpec, ColdTolerance};
use gateway::place::score;
use gateway::quota::EntryList;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

/// As of an engine: the rate and the tolerance leave 20 requests in a second.
const SPEC: ColdSpec = ColdSpec { time: Duration::from_secs(3), rate: 10.0 };
const TOLERANCE: ColdTolerance = ColdTolerance { overrun: 1.5, slack: 5.0 };

/// The longest time by which a request's way to the upstream varies.
const JITTER: Duration = Duration::from_millis(150);

/// How many requests an entry may send to a cold upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// Any number: every entry finds the upstream empty.
    Unlimited,
    /// Each entry sends its equal share of the quota, by time from a random start.
    EqualShares,
    /// The share of each entry grows with the time since the start of the upstream.
    Ramp,
    /// A few entries that all choose alike.
    FewEntries,
}

struct Case {
    name: &'static str,
    entries: usize,
    upstreams: usize,
    /// The requests of an entry per second.
    rate: f64,
    /// The share of entries that still have the list from before some others left.
    outdated: f64,
}

const CASES: &[Case] = &[
    Case { name: "few machines", entries: 6, upstreams: 2, rate: 6.0, outdated: 0.0 },
    Case { name: "one empty upstream", entries: 295, upstreams: 1, rate: 2.0, outdated: 0.0 },
    Case { name: "a domain of 20", entries: 89, upstreams: 20, rate: 2.0, outdated: 0.0 },
    Case { name: "two lists of entries", entries: 89, upstreams: 20, rate: 2.0, outdated: 0.5 },
    Case { name: "one for 1,000", entries: 1_000, upstreams: 1, rate: 2.0, outdated: 0.0 },
];

fn address(entry: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (entry / 250) as u8, (entry % 250) as u8], 9))
}

/// The result of a play: the most requests that arrived at one upstream in any second, and the mean
/// number that arrived at an upstream while it was cold.
struct Arrivals {
    most: usize,
    mean: f64,
}

/// One entry's counters of one upstream.
struct Sender {
    gate: ColdGate,
    /// When the next request of an equal share is due.
    due: Instant,
    sent: usize,
}

/// Plays the cold time of the case's upstreams.
fn play(case: &Case, way: Way, seed: u64) -> Arrivals {
    let mut random = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let quota = TOLERANCE.quota(&SPEC);
    let all: Vec<SocketAddr> = (0..case.entries).map(address).collect();
    // The newer list lacks some of the entries and has others instead.
    let newer: Vec<SocketAddr> =
        (0..case.entries).map(|it| address(if it % 4 == 0 { it + 2_000 } else { it })).collect();
    let hashes: Vec<u64> = (0..case.upstreams).map(|it| score(0, &format!("u-{it}"))).collect();
    let gap = COLD_WINDOW * case.entries as u32 / quota;
    let mut arrivals: Vec<Vec<Instant>> = vec![Vec::new(); case.upstreams];
    let mut sends = Vec::new();
    for entry in 0..case.entries {
        let is_outdated = random.random_bool(case.outdated);
        let (list, own) = match is_outdated || case.outdated == 0.0 {
            true => (&all, all[entry]),
            false => (&newer, newer[entry]),
        };
        let list = EntryList::new(own, list.iter().copied());
        let mut senders: Vec<Sender> = Vec::new();
        for hash in &hashes {
            let mut gate = ColdGate::default();
            gate.extend(start + SPEC.time);
            gate.set_share(list.share(*hash, quota), quota);
            let due = start + gap.mul_f64(random.random());
            senders.push(Sender { gate, due, sent: 0 });
        }
        let mut at = Duration::ZERO;
        loop {
            at += Duration::from_secs_f64(-random.random::<f64>().max(1e-9).ln() / case.rate);
            if at >= SPEC.time {
                break;
            }
            let now = start + at;
            let open = |it: &mut Sender| match way {
                Way::Unlimited => true,
                Way::EqualShares => it.due <= now,
                Way::Ramp => {
                    let part = at.as_secs_f64() / SPEC.time.as_secs_f64();
                    let total = SPEC.rate * SPEC.time.as_secs_f64() * part;
                    (it.sent as f64) < total / case.entries as f64
                }
                Way::FewEntries => it.gate.room(now).is_none_or(|it| it > 0),
            };
            let fits: Vec<usize> =
                (0..senders.len()).filter(|it| open(&mut senders[*it])).collect();
            if fits.is_empty() {
                continue;
            }
            let chosen = fits[random.random_range(0..fits.len())];
            let sender = &mut senders[chosen];
            sender.gate.record_sent(1, now);
            sender.due = now + gap;
            sender.sent += 1;
            let way_time = JITTER.mul_f64(random.random());
            sends.push((chosen, now + way_time));
        }
    }
    sends.sort_by_key(|it| it.1);
    for (upstream, at) in sends {
        arrivals[upstream].push(at);
    }
    let total: usize = arrivals.iter().map(Vec::len).sum();
    let most = arrivals.iter().map(|it| most_in_a_second(it)).max().unwrap_or(0);
    Arrivals { most, mean: total as f64 / case.upstreams as f64 }
}

fn most_in_a_second(arrivals: &[Instant]) -> usize {
    let (mut window, mut most) = (VecDeque::new(), 0);
    for at in arrivals {
        window.push_back(*at);
        while window.front().is_some_and(|it| *it + Duration::from_secs(1) <= *at) {
            window.pop_front();
        }
        most = most.max(window.len());
    }
    most
}

/// The number of plays of each case.
const SEEDS: u64 = 3;

/// Returns the most requests in a second over all plays, and the mean number at an upstream.
fn play_all(case: &Case, way: Way) -> Arrivals {
    let plays: Vec<Arrivals> = (0..SEEDS).map(|seed| play(case, way, seed)).collect();
    let most = plays.iter().map(|it| it.most).max().unwrap_or(0);
    Arrivals { most, mean: plays.iter().map(|it| it.mean).sum::<f64>() / SEEDS as f64 }
}

/// Guards against a herd of entries that find the same empty upstream, and end it.
#[test]
fn all_entries_together_keep_the_bound_of_a_cold_upstream() {
    let bound = TOLERANCE.bound(&SPEC) as usize;
    for case in CASES {
        let herd = play_all(case, Way::Unlimited);
        assert!(herd.most > bound, "{}: {} are no herd", case.name, herd.most);
        let kept = play_all(case, Way::FewEntries);
        assert!(kept.most <= bound, "{}: {} in a second", case.name, kept.most);
        assert!(kept.mean >= 1.0, "{}: nobody uses the upstream", case.name);
    }
}

/// Guards against taking up a way that was weighed and breaks the bound: the part of each entry in a
/// ramp is below one request, and a first request is always more than that part.
#[test]
fn a_ramp_at_each_entry_breaks_the_bound_where_equal_shares_do_not() {
    let bound = TOLERANCE.bound(&SPEC) as usize;
    let case = &CASES[1];
    let (ramp, equal) = (play_all(case, Way::Ramp), play_all(case, Way::EqualShares));
    assert!(ramp.most > bound, "{} in a second", ramp.most);
    assert!(equal.most <= bound, "{} in a second", equal.most);
}

struct ShareCase {
    name: &'static str,
    entries: usize,
    quota: u32,
}

const SHARE_CASES: &[ShareCase] = &[
    ShareCase { name: "one entry", entries: 1, quota: 10 },
    ShareCase { name: "fewer entries than the quota", entries: 6, quota: 10 },
    ShareCase { name: "as many", entries: 10, quota: 10 },
    ShareCase { name: "more", entries: 89, quota: 10 },
    ShareCase { name: "a quota of one", entries: 295, quota: 1 },
];

#[test]
fn the_shares_add_up_to_the_quota() {
    for case in SHARE_CASES {
        let seen_by = |own| EntryList::new(own, (0..case.entries).map(address));
        let shares = (0..case.entries).map(|it| seen_by(address(it)).share(7, case.quota));
        assert_eq!(shares.sum::<u32>(), case.quota, "{}", case.name);
        let stranger = seen_by(address(5_000));
        assert_eq!(stranger.share(7, case.quota), 0, "{}: a stranger", case.name);
        let others = stranger.holders(7, case.quota);
        assert_eq!(others.len(), case.entries.min(case.quota as usize), "{}", case.name);
        assert!(others.iter().all(|it| seen_by(*it).share(7, case.quota) > 0), "{}", case.name);
    }
}

/// One step at a gate: the time in ms, whether a request may be sent, and whether it is.
struct Step {
    at_ms: u64,
    room: Option<u32>,
    send: bool,
}

#[test]
fn a_gate_counts_only_while_the_upstream_is_cold() {
    const STEPS: &[Step] = &[
        Step { at_ms: 0, room: Some(2), send: true },
        Step { at_ms: 100, room: Some(1), send: true },
        Step { at_ms: 200, room: Some(0), send: false },
        Step { at_ms: 1_200, room: Some(1), send: true },
        Step { at_ms: 1_290, room: Some(0), send: false },
        Step { at_ms: 3_000, room: None, send: true },
    ];
    let (start, mut gate) = (Instant::now(), ColdGate::default());
    assert_eq!(gate.room(start), None, "an upstream that was never cold");
    gate.extend(start + Duration::from_secs(3));
    gate.extend(start + Duration::from_secs(1));
    gate.set_share(2, 10);
    for step in STEPS {
        let now = start + Duration::from_millis(step.at_ms);
        assert_eq!(gate.room(now), step.room, "at {} ms", step.at_ms);
        let next = gate.next_room(now);
        assert_eq!(next.is_some(), step.room == Some(0), "at {} ms", step.at_ms);
        assert!(next.is_none_or(|it| it <= now + COLD_WINDOW), "at {} ms: {next:?}", step.at_ms);
        if step.send {
            gate.record_sent(1, now);
        }
    }
}
