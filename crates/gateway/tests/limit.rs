//! What all entries together send to an upstream that names a limit, on virtual time.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gateway::limit::{LIMIT_WINDOW, LimitGate};
use gateway::quota::{EntryList, Sharing};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;
use types::Rate;

/// The window over which the upstream counts, and how long entries may take to hear of the limit.
const WINDOW: Duration = Duration::from_secs(4);
const CONTACT: Duration = Duration::from_secs(3);

/// How long after an answer with the limit an entry counts as told.
const TOLD: Duration = Duration::from_millis(500);

/// The longest time by which a request's way to the upstream varies, and the longest time to an answer.
const JITTER: Duration = Duration::from_millis(150);
const ANSWER: Duration = Duration::from_millis(600);

/// How long a play lasts.
const LENGTH: Duration = Duration::from_secs(16);

/// The hash of the upstream's id.
const KEY: u64 = 77;

/// What happens to the list of entries.
#[derive(Clone, Copy, Debug, PartialEq)]
enum News {
    /// It stays the same.
    Calm,
    /// A tenth of the entries is replaced every two seconds, and every entry hears of it within a second.
    Late,
    /// The same, and a tenth of the entries hears of no list after the first.
    Lost,
    /// All members start again and publish the lists of those that are back first: two tenths of the
    /// entries, then a half, then all.
    NewLeader,
}

struct Case {
    entries: usize,
    limit: f64,
    news: News,
}

const CASES: &[Case] = &[
    Case { entries: 6, limit: 1.0, news: News::Calm },
    Case { entries: 6, limit: 20.0, news: News::Late },
    Case { entries: 6, limit: 0.2, news: News::Lost },
    Case { entries: 6, limit: 1.0, news: News::NewLeader },
    Case { entries: 300, limit: 1.0, news: News::Calm },
    Case { entries: 300, limit: 20.0, news: News::Late },
    Case { entries: 300, limit: 4.0, news: News::Lost },
    Case { entries: 300, limit: 20.0, news: News::NewLeader },
    Case { entries: 995, limit: 1.0, news: News::Late },
    Case { entries: 995, limit: 20.0, news: News::Lost },
    Case { entries: 995, limit: 4.0, news: News::NewLeader },
];

fn address(entry: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (entry / 250) as u8, (entry % 250) as u8], 9))
}

/// The lists of entries that the registry publishes, and when.
fn lists(case: &Case, random: &mut StdRng) -> Vec<(Duration, Vec<usize>)> {
    let all: Vec<usize> = (0..case.entries).collect();
    let mut lists = vec![(Duration::ZERO, all.clone())];
    match case.news {
        News::Calm => {}
        News::Late | News::Lost => {
            let mut listed = all;
            for turn in 1..LENGTH.as_secs() / 4 {
                let replaced = case.entries.div_ceil(10);
                listed.shuffle(random);
                let new = (0..replaced).map(|it| 10_000 * turn as usize + it);
                listed.splice(..replaced, new);
                lists.push((Duration::from_secs(turn * 2), listed.clone()));
            }
        }
        News::NewLeader => {
            let mut back = all.clone();
            back.shuffle(random);
            let at = |ms| Duration::from_secs(8) + Duration::from_millis(ms);
            lists.push((at(0), back[..case.entries.div_ceil(5)].to_vec()));
            lists.push((at(300), back[..case.entries.div_ceil(2)].to_vec()));
            lists.push((at(900), all));
        }
    }
    lists
}

/// What an entry hears and does, in order.
enum Step {
    List(usize),
    Answer(Instant),
    Request,
}

/// Plays one entry; returns when its requests arrive, and when it was first told of the limit.
fn play_entry(
    case: &Case,
    own: usize,
    lists: &[(Duration, Vec<usize>)],
    (start, random): (Instant, &mut StdRng),
) -> (Vec<Instant>, Option<Instant>) {
    let since = lists.iter().find(|it| it.1.contains(&own)).map_or(Duration::ZERO, |it| it.0);
    let is_lost = case.news == News::Lost && random.random_bool(0.1);
    let mut steps: VecDeque<(Instant, Step)> = VecDeque::new();
    for (number, (at, _)) in lists.iter().enumerate().filter(|it| it.1.0 >= since) {
        let heard = *at <= since || !is_lost;
        let delay = Duration::from_secs(1).mul_f64(random.random());
        let delay = if *at == Duration::ZERO { Duration::ZERO } else { delay };
        if heard {
            steps.push_back((start + *at + delay, Step::List(number)));
        }
    }
    let mut at = since;
    while at < LENGTH {
        at += Duration::from_secs_f64(-random.random::<f64>().max(1e-9).ln() / 2.0);
        steps.push_back((start + at, Step::Request));
    }
    let mut steps: Vec<_> = steps.into();
    steps.sort_by_key(|it| it.0);
    let mut steps: VecDeque<_> = steps.into();
    let (mut gate, mut newest) = (LimitGate::default(), 0);
    let mut known = Arc::new(EntryList::default());
    let (mut arrivals, mut told) = (Vec::new(), None);
    while let Some((now, step)) = steps.pop_front() {
        match step {
            Step::List(number) if number >= newest => {
                newest = number;
                let listed = lists[number].1.iter().copied().map(address);
                known = Arc::new(EntryList::new(address(own), listed));
            }
            Step::List(_) => {}
            Step::Answer(sent) => {
                gate.record_answer(Some(Rate(case.limit)), sent, now);
                told = told.or(Some(now));
            }
            Step::Request => {
                let sharing = Sharing { entries: &known, key: KEY };
                if gate.room(sharing, now) == Some(0) {
                    assert!(gate.next_room(sharing, now).is_some_and(|it| it > now));
                    continue;
                }
                gate.record_sent(now);
                arrivals.push(now + JITTER.mul_f64(random.random()));
                let answered = now + ANSWER.mul_f64(random.random());
                let place = steps.partition_point(|it| it.0 < answered);
                steps.insert(place, (answered, Step::Answer(now)));
            }
        }
    }
    (arrivals, told)
}

/// Returns the most requests of entries that had been told in any window, and how many requests the
/// upstream got in the mean of the windows after entries had heard of the limit.
fn play(case: &Case, seed: u64) -> (usize, f64) {
    let mut random = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let lists = lists(case, &mut random);
    let mut entries: Vec<usize> = lists.iter().flat_map(|it| it.1.clone()).collect();
    entries.sort_unstable();
    entries.dedup();
    let mut counted = Vec::new();
    for own in entries {
        let (arrivals, told) = play_entry(case, own, &lists, (start, &mut random));
        let Some(told) = told else { continue };
        counted.extend(arrivals.into_iter().filter(|it| *it >= told + TOLD));
    }
    counted.retain(|it| *it >= start + CONTACT);
    counted.sort_unstable();
    let ends = |it: &Instant| counted.partition_point(|other| *other < *it + WINDOW);
    let most = counted.iter().enumerate().map(|(at, it)| ends(it) - at).max().unwrap_or(0);
    let windows = (LENGTH - CONTACT).as_secs_f64() / WINDOW.as_secs_f64();
    (most, counted.len() as f64 / windows)
}

const SEEDS: u64 = 2;

/// Guards against a sum of shares above the limit where lists of entries differ, are late or lost, or
/// come from a leader that knows few entries yet; and against a limit that is hardly used.
#[test]
fn entries_keep_a_named_limit_whatever_they_know_of_each_other() {
    for case in CASES {
        let name = format!("{} entries, {}, {:?}", case.entries, case.limit, case.news);
        let bound = (1.5 * case.limit * WINDOW.as_secs_f64() + 5.0) as usize;
        for seed in 0..if case.entries > 500 { 1 } else { SEEDS } {
            let (most, mean) = play(case, seed);
            assert!(most <= bound, "{name}, seed {seed}: {most} in a window, allowed {bound}");
            let least = 0.4 * (case.limit * WINDOW.as_secs_f64()).max(1.0);
            assert!(mean >= least, "{name}, seed {seed}: {mean} in the mean, expected {least}");
        }
    }
}

/// One step at a gate, after `ms`.
enum GateStep {
    /// An answer, to a request that was sent at this time, with this limit.
    Answer(u64, Option<f64>),
    /// Another entry tells of a limit.
    News(f64),
    /// This many entries are listed.
    Entries(usize),
    /// A request is sent if there is room for it.
    Send,
}

struct GateCase {
    name: &'static str,
    steps: &'static [(u64, GateStep)],
    /// The time after the steps, and how many requests may be sent then.
    room: (u64, Option<u32>),
}

const GATE_CASES: &[GateCase] = &[
    GateCase { name: "no limit", steps: &[(0, GateStep::Send)], room: (10, None) },
    GateCase {
        name: "what was sent before the limit counts",
        steps: &[(0, GateStep::Send), (100, GateStep::Answer(0, Some(1.0)))],
        room: (100, Some(3)),
    },
    GateCase {
        name: "an older answer lifts nothing",
        steps: &[(100, GateStep::Answer(50, Some(1.0))), (120, GateStep::Answer(90, None))],
        room: (120, Some(4)),
    },
    GateCase {
        name: "a newer answer lifts the limit",
        steps: &[(100, GateStep::Answer(50, Some(1.0))), (300, GateStep::Answer(200, None))],
        room: (300, None),
    },
    GateCase {
        name: "news of a limit",
        steps: &[(100, GateStep::News(2.0))],
        room: (100, Some(8)),
    },
    GateCase {
        name: "news that is older than the own answer",
        steps: &[
            (100, GateStep::Answer(0, Some(1.0))),
            (500, GateStep::Answer(400, None)),
            (600, GateStep::News(1.0)),
        ],
        room: (600, None),
    },
    GateCase {
        name: "a share that grows waits for a window",
        steps: &[
            (0, GateStep::Entries(2)),
            (0, GateStep::Answer(0, Some(1.0))),
            (100, GateStep::Send),
            (1_000, GateStep::Entries(1)),
        ],
        room: (1_000, Some(1)),
    },
    GateCase {
        name: "a share that has grown",
        steps: &[
            (0, GateStep::Entries(2)),
            (0, GateStep::Answer(0, Some(1.0))),
            (100, GateStep::Send),
            (1_000, GateStep::Entries(1)),
            (1_000, GateStep::Send),
        ],
        room: (5_300, Some(4)),
    },
    GateCase {
        name: "a share that shrinks",
        steps: &[(0, GateStep::Answer(0, Some(1.0))), (100, GateStep::Entries(4))],
        room: (100, Some(1)),
    },
    GateCase {
        name: "a limit of nothing leaves one to ask with",
        steps: &[(0, GateStep::Answer(0, Some(0.0)))],
        room: (0, Some(1)),
    },
];

#[test]
fn a_gate_follows_answers_news_and_lists() {
    for case in GATE_CASES {
        let start = Instant::now();
        let at = |ms: u64| start + Duration::from_millis(ms);
        let listed = |count| Arc::new(EntryList::new(address(0), (0..count).map(address)));
        let (mut gate, mut entries) = (LimitGate::default(), listed(1));
        for (ms, step) in case.steps {
            let now = at(*ms);
            match step {
                GateStep::Answer(sent, limit) => {
                    gate.record_answer(limit.map(Rate), at(*sent), now);
                }
                GateStep::News(limit) => drop(gate.take_news(Rate(*limit), now)),
                GateStep::Entries(count) => entries = listed(*count),
                GateStep::Send => {
                    if gate.room(Sharing { entries: &entries, key: KEY }, now) != Some(0) {
                        gate.record_sent(now);
                    }
                }
            }
            gate.room(Sharing { entries: &entries, key: KEY }, now);
        }
        let (ms, room) = case.room;
        let sharing = Sharing { entries: &entries, key: KEY };
        assert_eq!(gate.room(sharing, at(ms)), room, "{}", case.name);
        let next = gate.next_room(sharing, at(ms));
        assert!(next.is_none_or(|it| it <= at(ms) + LIMIT_WINDOW), "{}: {next:?}", case.name);
    }
}
