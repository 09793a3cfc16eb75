//! Where streams began, in fleets of entries whose news is late or lost, on virtual time.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use gateway::origin::{Origin, OriginTable, StreamKey, asked, keepers};
use gateway::quota::EntryList;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

/// How long a play lasts, and when its disruption is.
const PLAY: Duration = Duration::from_secs(24);
const DISRUPTION: Duration = Duration::from_secs(12);

/// How long streams last at most.
const STREAM: Duration = Duration::from_secs(8);

/// How long a killed entry is down.
const DOWN: Duration = Duration::from_secs(2);

/// The number of streams of a play, and of plays of a case.
const STREAMS: usize = 600;
const SEEDS: u64 = 3;

/// The waits after which an entry sends an origin, or a question, again.
const RESENDS: [u64; 4] = [60, 250, 1_000, 3_000];
const ASKS: usize = 3;

struct Case {
    name: &'static str,
    entries: usize,
    /// The share of entries that are killed at the disruption, and start anew.
    killed: f64,
    /// How late the news of the list of entries is at most.
    late: Duration,
    /// The share of entries that never hear of a change.
    deaf: f64,
    /// The share of datagrams that are lost.
    lost: f64,
    /// The least share of the streams taken up whose origin is found: callers lose nothing while all
    /// entries live, and at most half as much as new streams do under faults.
    least: f64,
}

const CALM: Case = Case {
    name: "calm",
    entries: 6,
    killed: 0.0,
    late: Duration::ZERO,
    deaf: 0.0,
    lost: 0.0,
    least: 1.0,
};

const FAULTS: Case = Case {
    name: "a third killed, late and lost news, loss",
    entries: 6,
    killed: 0.34,
    late: Duration::from_secs(3),
    deaf: 0.1,
    lost: 0.1,
    least: 0.5,
};

const CASES: &[Case] = &[
    CALM,
    Case { entries: 300, ..CALM },
    Case { entries: 995, ..CALM },
    FAULTS,
    Case { entries: 300, ..FAULTS },
    Case { entries: 995, ..FAULTS },
    Case { name: "half killed at once", killed: 0.5, entries: 8, lost: 0.0, ..FAULTS },
    Case { name: "a third of the datagrams lost", lost: 0.34, entries: 300, least: 0.5, ..CALM },
];

/// An entry, with the lists that it knows before and after the disruption.
struct Entry {
    table: OriginTable,
    lists: [EntryList; 3],
    /// When it hears that others are gone, and that they are back.
    hears: [Duration; 2],
    killed: bool,
}

impl Entry {
    fn list(&self, at: Duration) -> &EntryList {
        &self.lists[self.hears.iter().filter(|it| at >= **it).count()]
    }

    fn lives(&self, at: Duration) -> bool {
        !self.killed || at < DISRUPTION || at >= DISRUPTION + DOWN
    }
}

struct Play<'a> {
    case: &'a Case,
    rng: SmallRng,
    start: Instant,
    entries: Vec<Entry>,
}

fn address(number: usize) -> SocketAddr {
    ([10, 0, (number >> 8) as u8, number as u8], 7).into()
}

impl<'a> Play<'a> {
    fn new(case: &'a Case, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let count = (case.entries as f64 * case.killed) as usize;
        let mut order: Vec<usize> = (0..case.entries).collect();
        order.shuffle(&mut rng);
        let killed = &order[..count];
        let entries = (0..case.entries).map(|number| {
            let all = || (0..case.entries).map(address);
            let left = (0..case.entries).filter(|it| !killed.contains(it)).map(address);
            let own = address(number);
            let lists =
                [EntryList::new(own, all()), EntryList::new(own, left), EntryList::new(own, all())];
            let deaf = rng.random_bool(case.deaf);
            let mut hear = |at: Duration| match deaf {
                true => PLAY * 2,
                false => at + case.late.mul_f64(rng.random()),
            };
            let hears = [hear(DISRUPTION), hear(DISRUPTION + DOWN + case.late)];
            Entry { table: OriginTable::default(), lists, hears, killed: killed.contains(&number) }
        });
        let entries = entries.collect();
        Self { case, rng, start: Instant::now(), entries }
    }

    fn arrives(&mut self) -> bool {
        !self.rng.random_bool(self.case.lost)
    }

    fn number_of(address: SocketAddr) -> usize {
        match address {
            SocketAddr::V4(it) => {
                usize::from(it.ip().octets()[2]) << 8 | usize::from(it.ip().octets()[3])
            }
            SocketAddr::V6(_) => panic!("an address of version 4"),
        }
    }

    /// Keeps an origin at an entry, if its copy survives the disruption.
    fn keep(&mut self, number: usize, key: StreamKey, origin: &Origin, at: Duration) {
        let entry = &mut self.entries[number];
        if entry.lives(at) {
            entry.table.keep(key, origin.clone(), STREAM * 2, self.start + at);
        }
    }

    /// Records an origin as the entry does that sends the first event.
    fn record(&mut self, from: usize, key: StreamKey, origin: &Origin, begun: Duration) {
        self.keep(from, key, origin, begun);
        for keeper in keepers(self.entries[from].list(begun), key) {
            let resends = RESENDS.iter().map(|it| begun + Duration::from_millis(*it));
            let lives = |at: &Duration| self.entries[from].lives(*at);
            let sends: Vec<Duration> = [begun].into_iter().chain(resends).filter(lives).collect();
            for at in sends {
                if self.arrives() {
                    self.keep(Self::number_of(keeper), key, origin, at);
                    break;
                }
            }
        }
    }

    fn find(&mut self, at_entry: usize, key: StreamKey, at: Duration) -> Option<Origin> {
        let now = self.start + at;
        if let Some(known) = self.entries[at_entry].table.get(key, now) {
            return Some(known.clone());
        }
        let asked = asked(self.entries[at_entry].list(at), key);
        for _ in 0..ASKS {
            for peer in &asked {
                let answers = self.arrives() && self.arrives();
                let entry = &self.entries[Self::number_of(*peer)];
                let known = entry.table.get(key, now).filter(|_| answers && entry.lives(at));
                if let Some(known) = known {
                    return Some(known.clone());
                }
            }
        }
        None
    }

    /// Forgets what the killed entries kept.
    fn disrupt(&mut self) {
        for entry in self.entries.iter_mut().filter(|it| it.killed) {
            entry.table = OriginTable::default();
        }
    }

    fn live_entry(&mut self, at: Duration) -> usize {
        loop {
            let number = self.rng.random_range(0..self.entries.len());
            if self.entries[number].lives(at) {
                return number;
            }
        }
    }

    /// Plays streams that begin and are taken up at other entries; returns how many were, how many of
    /// these went on, and how many at another version.
    fn run(&mut self) -> (usize, usize, usize) {
        let mut begins: Vec<Duration> =
            (0..STREAMS).map(|_| PLAY.mul_f64(self.rng.random::<f64>() * 0.6)).collect();
        begins.sort_unstable();
        let mut taken_up: Vec<(Duration, usize, usize)> = Vec::new();
        let mut origins = Vec::new();
        let mut disrupted = false;
        let mut counts = (0, 0, 0);
        for (number, begun) in begins.iter().enumerate() {
            if *begun >= DISRUPTION && !disrupted {
                self.disrupt();
                disrupted = true;
            }
            let from = self.live_entry(*begun);
            let version = if self.rng.random_bool(0.5) { "v1" } else { "v2" };
            let origin = Origin { service: "s".to_owned(), version: version.into() };
            self.record(from, StreamKey::new("c", &number.to_string()), &origin, *begun);
            let lasts = STREAM.mul_f64(self.rng.random());
            let cut =
                self.entries[from].killed && *begun < DISRUPTION && *begun + lasts > DISRUPTION;
            let broken = if cut { DISRUPTION } else { *begun + lasts };
            taken_up.push((broken + Duration::from_millis(300), from, number));
            origins.push(origin);
        }
        taken_up.sort_unstable();
        for (at, from, number) in taken_up {
            let to = loop {
                let to = self.live_entry(at);
                if to != from {
                    break to;
                }
            };
            counts.0 += 1;
            if let Some(found) = self.find(to, StreamKey::new("c", &number.to_string()), at) {
                counts.1 += 1;
                counts.2 += usize::from(found != origins[number]);
            }
        }
        counts
    }
}

fn check(case: &Case) {
    let (mut taken_up, mut found, mut mixed) = (0, 0, 0);
    for seed in 0..SEEDS {
        let counts = Play::new(case, seed).run();
        (taken_up, found, mixed) = (taken_up + counts.0, found + counts.1, mixed + counts.2);
    }
    let Case { name, entries, least, .. } = case;
    assert_eq!(mixed, 0, "{name}, {entries} entries");
    assert!(found as f64 >= taken_up as f64 * least, "{name}, {entries} entries: {found}");
}

/// Guards against streams that are taken up at another version, or can't be, because the entries that
/// know where they began are gone, or are not found with other lists of entries.
#[test]
fn origins_are_found_through_other_entries() {
    thread::scope(|scope| {
        for case in CASES {
            scope.spawn(|| check(case));
        }
    });
}

/// Guards against a table of origins that grows without a bound, or forgets those that are still of use.
#[test]
fn a_table_of_origins_is_bounded_and_keeps_what_is_of_use() {
    let mut table = OriginTable::default();
    let start = Instant::now();
    let origin = Origin { service: "s".to_owned(), version: "v1".into() };
    let key = |number: usize| StreamKey::new("c", &number.to_string());
    let second = Duration::from_secs(1);
    for number in 0..200_000 {
        let now = start + second.mul_f64(number as f64 / 2_000.0);
        assert!(table.keep(key(number), origin.clone(), second * 5, now), "{number}");
        assert!(table.get(key(number.saturating_sub(9_000)), now).is_some(), "{number}");
    }
    assert!(table.len() <= 40_000, "{}", table.len());
    let full = (200_000..300_000)
        .find(|it| !table.keep(key(*it), origin.clone(), second * 500, start + second * 100));
    assert!(full.is_some(), "a full table refuses");
    assert!(table.get(key(200_000), start + second * 101).is_some(), "and keeps what it has");
}
