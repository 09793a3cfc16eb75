//! Requests that end upstreams, at fleets of several sizes: the decisions alone, in virtual time, with news
//! that are late or lost.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use registry::quarantine::{
    Decision, EndSeen, EntryClock, Evidence, Known, Quarantine, QuarantineList, RunSeen, Standing,
};
use registry::{RequestDigest, Stamp};

/// How long a run plays, in ms.
const END: u64 = 90_000;

/// How long after the third end retries count, in ms: the least of all deployments.
const CONTACT: u64 = 3_000;

/// How many retries may reach upstreams after that.
const RETRIES: usize = 3;

/// How long an upstream is away, in ms.
const AWAY: u64 = 7_000;

/// How often the leader looks whether enough is known of ends, in ms.
const SETTLE: u64 = 100;

/// When entries look whether an upstream has ended, in ms after it has.
const LOOK: u64 = 25;

struct Case {
    name: &'static str,
    entries: usize,
    upstreams: usize,
    /// Requests that end upstreams, and how often each comes back, in ms.
    fatal: (u32, u64),
    /// Sound requests a second.
    sound: u64,
    /// The share of upstreams that is lost at once, every 15 s.
    rack: f64,
    /// The share of entries that is killed and back at once, every 15 s.
    herd: f64,
    /// The share of messages that is lost.
    lost: f64,
}

/// Besides the first two, seeds with which a sound request was held: one that meets the ends of several others,
/// a popular one as all upstreams lose power, or evidence is lost.
const SEEDS: [u64; 9] = [0, 1, 4, 32, 47, 95, 97, 105, 181];

/// The seeds to play: so many as the variable `QUARANTINE_SEEDS` says, or the ones that are kept.
fn seeds() -> Vec<u64> {
    let count = std::env::var("QUARANTINE_SEEDS").ok().and_then(|it| it.parse().ok());
    count.map_or_else(|| SEEDS.to_vec(), |it: u64| (0..it).collect())
}

const CASES: &[Case] = &[
    Case {
        name: "6 entries",
        entries: 6,
        upstreams: 12,
        fatal: (2, 1_000),
        sound: 60,
        rack: 0.0,
        herd: 0.0,
        lost: 0.0,
    },
    Case {
        name: "6, lossy",
        entries: 6,
        upstreams: 12,
        fatal: (2, 700),
        sound: 60,
        rack: 0.0,
        herd: 0.0,
        lost: 0.1,
    },
    Case {
        name: "60",
        entries: 60,
        upstreams: 60,
        fatal: (4, 500),
        sound: 300,
        rack: 0.15,
        herd: 0.0,
        lost: 0.02,
    },
    Case {
        name: "295",
        entries: 295,
        upstreams: 160,
        fatal: (6, 300),
        sound: 700,
        rack: 0.15,
        herd: 0.0,
        lost: 0.02,
    },
    Case {
        name: "racks alone",
        entries: 60,
        upstreams: 60,
        fatal: (0, 1_000),
        sound: 600,
        rack: 0.4,
        herd: 0.0,
        lost: 0.02,
    },
    Case {
        name: "all upstreams lose power",
        entries: 60,
        upstreams: 60,
        fatal: (0, 1_000),
        sound: 600,
        rack: 1.0,
        herd: 0.0,
        lost: 0.02,
    },
    Case {
        name: "half of the entries killed",
        entries: 60,
        upstreams: 60,
        fatal: (4, 500),
        sound: 300,
        rack: 0.0,
        herd: 0.5,
        lost: 0.02,
    },
    Case {
        name: "racks and entries",
        entries: 60,
        upstreams: 60,
        fatal: (4, 500),
        sound: 300,
        rack: 0.15,
        herd: 0.5,
        lost: 0.02,
    },
];

/// One run at an upstream.
#[derive(Clone, Copy)]
struct Run {
    request: u32,
    entry: usize,
    sent: u64,
    turn: u64,
}

enum Event {
    /// A request comes to an entry; a sound one may have met so many ends.
    Comes {
        request: u32,
        entry: usize,
        ends: u32,
    },
    /// A run comes to its end, or to its upstream's.
    Runs {
        run: Run,
        upstream: usize,
    },
    Rack,
    Herd,
    Settle,
    Back(usize),
    ToLeader(usize, Evidence),
    ToEntry(usize, QuarantineList),
}

#[derive(Default)]
struct Upstream {
    life: u32,
    up: bool,
    /// Runs by turn, with the ends that they met before.
    runs: HashMap<u64, (Run, u32)>,
}

/// What was seen of one request that ends upstreams.
#[derive(Default)]
struct Seen {
    ends: Vec<u64>,
    sends: Vec<u64>,
}

struct Fleet<'a> {
    case: &'a Case,
    rng: SmallRng,
    start: Instant,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    turns: u64,
    upstreams: Vec<Upstream>,
    leader: Quarantine,
    told: QuarantineList,
    known: Vec<Known>,
    seen: HashMap<u32, Seen>,
    /// Sound requests that were refused, and the bytes that were told.
    refused: usize,
    bytes: usize,
    wrong: usize,
}

/// A popular sound request; others come once.
const POPULAR: u32 = 1_000;

impl<'a> Fleet<'a> {
    fn new(case: &'a Case, seed: u64) -> Self {
        let upstream = || Upstream { up: true, ..Upstream::default() };
        Self {
            case,
            rng: SmallRng::seed_from_u64(seed),
            start: Instant::now(),
            now: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            turns: 0,
            upstreams: (0..case.upstreams).map(|_| upstream()).collect(),
            leader: Quarantine::default(),
            told: QuarantineList::default(),
            known: vec![Known::default(); case.entries],
            seen: HashMap::new(),
            refused: 0,
            bytes: 0,
            wrong: 0,
        }
    }

    fn at(&mut self, after: u64, event: Event) {
        self.turns += 1;
        self.queue.push(Reverse((self.now + after, self.turns)));
        self.events.insert(self.turns, event);
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_millis(self.now)
    }

    fn is_fatal(&self, request: u32) -> bool {
        request < self.case.fatal.0
    }

    fn play(mut self) -> Self {
        let (fatal, period) = self.case.fatal;
        for request in 0..fatal {
            for turn in 0..END / period {
                let entry = self.rng.random_range(0..self.case.entries);
                let after = turn * period + self.jitter(period);
                self.at(after, Event::Comes { request, entry, ends: 0 });
            }
        }
        for turn in 0..END * self.case.sound / 1_000 {
            let entry = self.rng.random_range(0..self.case.entries);
            let popular = self.rng.random_bool(0.05);
            let request = if popular { POPULAR } else { POPULAR + 1 + turn as u32 };
            self.at(turn * 1_000 / self.case.sound, Event::Comes { request, entry, ends: 0 });
        }
        if self.case.rack > 0.0 {
            (1..END / 15_000).for_each(|it| self.at(it * 15_000, Event::Rack));
        }
        if self.case.herd > 0.0 {
            (1..END / 15_000).for_each(|it| self.at(it * 15_000 - 7_000, Event::Herd));
        }
        while let Some(Reverse((at, turn))) = self.queue.pop() {
            if at > END {
                break;
            }
            self.now = at;
            let event = self.events.remove(&turn).expect("an event");
            self.take(event);
        }
        self
    }

    fn jitter(&mut self, most: u64) -> u64 {
        self.rng.random_range(0..most)
    }

    /// How long a message is on its way; `None` if it is lost.
    fn way(&mut self) -> Option<u64> {
        let lost = self.rng.random_bool(self.case.lost);
        let again = if self.rng.random_bool(0.05) { 220 } else { 0 };
        (!lost).then(|| 1 + self.rng.random_range(0..25) + again)
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Comes { request, entry, ends } => self.comes(request, entry, ends),
            Event::Runs { run, upstream } => self.runs(run, upstream),
            Event::Settle => {
                let now = self.instant();
                let decisions = self.leader.decide_due(now);
                self.publish(&decisions);
                if !self.leader.is_decided() {
                    self.at(SETTLE, Event::Settle);
                }
            }
            Event::Rack => {
                let share = (self.case.upstreams as f64 * self.case.rack) as usize;
                (0..share).for_each(|it| self.end(it));
            }
            Event::Herd => {
                let share = (self.case.entries as f64 * self.case.herd) as usize;
                (0..share).for_each(|it| self.restart(it));
            }
            Event::Back(upstream) => self.upstreams[upstream].up = true,
            Event::ToLeader(entry, evidence) => self.lead(entry, evidence),
            Event::ToEntry(entry, list) => {
                let now = self.instant();
                self.known[entry].update(&list, now);
            }
        }
    }

    fn comes(&mut self, request: u32, entry: usize, ends: u32) {
        let digest = digest(request);
        match self.known[entry].standing(&digest, self.instant()) {
            Standing::Free | Standing::Watched => {}
            Standing::Held(_) | Standing::Due => {
                self.refused += usize::from(!self.is_fatal(request));
                return;
            }
        }
        let up: Vec<usize> =
            (0..self.upstreams.len()).filter(|it| self.upstreams[*it].up).collect();
        if up.is_empty() {
            return;
        }
        let upstream = up[self.rng.random_range(0..up.len())];
        self.turns += 1;
        let run = Run { request, entry, sent: self.now, turn: self.turns };
        self.upstreams[upstream].runs.insert(run.turn, (run, ends));
        let fatal = self.is_fatal(request);
        if fatal {
            self.seen.entry(request).or_default().sends.push(self.now);
        }
        let lasts = if fatal { 40 + self.jitter(150) } else { 60 + self.jitter(900) };
        self.at(lasts, Event::Runs { run, upstream });
    }

    fn runs(&mut self, run: Run, upstream: usize) {
        if !self.upstreams[upstream].runs.contains_key(&run.turn) {
            return;
        }
        if self.is_fatal(run.request) {
            self.end(upstream);
            self.seen.entry(run.request).or_default().ends.push(self.now);
            return;
        }
        self.upstreams[upstream].runs.remove(&run.turn);
        let digest = digest(run.request);
        if self.known[run.entry].standing(&digest, self.instant()) != Standing::Free {
            self.tell(run.entry, Evidence::Completed(digest), 0);
        }
    }

    /// Ends an upstream: its entries tell what they had there, and sound requests go on elsewhere.
    fn end(&mut self, upstream: usize) {
        let it = &mut self.upstreams[upstream];
        if !std::mem::replace(&mut it.up, false) {
            return;
        }
        let life = it.life;
        it.life += 1;
        let mut by_entry: HashMap<usize, Vec<RunSeen>> = HashMap::new();
        let mut lost: Vec<(Run, u32)> = it.runs.drain().map(|it| it.1).collect();
        lost.sort_by_key(|it| it.0.turn);
        for (run, ends) in lost {
            let age_ms = (self.now - run.sent) as u32;
            let seen = RunSeen { digest: digest(run.request), age_ms };
            by_entry.entry(run.entry).or_default().push(seen);
            if !self.is_fatal(run.request) && ends < 3 {
                let (request, entry) = (run.request, run.entry);
                self.at(1, Event::Comes { request, entry, ends: ends + 1 });
            }
        }
        let mut by_entry: Vec<_> = by_entry.into_iter().collect();
        by_entry.sort_by_key(|it| it.0);
        for (entry, runs) in by_entry {
            let upstream = format!("u-{upstream}-{life}");
            let seen = EndSeen { upstream, ago_ms: LOOK as u32, runs, clock: None };
            self.tell(entry, Evidence::EndedAt(self.now, seen), LOOK);
        }
        self.at(AWAY, Event::Back(upstream));
    }

    /// Restarts an entry: its runs end and nobody tells of them, and it is told the list anew.
    fn restart(&mut self, entry: usize) {
        for upstream in &mut self.upstreams {
            upstream.runs.retain(|_, it| it.0.entry != entry);
        }
        self.known[entry] = Known::default();
        let way = self.way().unwrap_or(450);
        self.at(way, Event::ToEntry(entry, self.told.clone()));
    }

    fn tell(&mut self, entry: usize, evidence: Evidence, after: u64) {
        self.bytes += postcard::to_allocvec(&evidence).expect("a message").len();
        if let Some(way) = self.way() {
            self.at(after + way, Event::ToLeader(entry, evidence));
        }
    }

    fn lead(&mut self, entry: usize, evidence: Evidence) {
        let now = self.instant();
        let address = SocketAddr::from(([10, 0, 0, 1], entry as u16));
        let decisions = match evidence {
            Evidence::EndedAt(at_ms, mut seen) => {
                if self.leader.is_decided() {
                    self.at(SETTLE, Event::Settle);
                }
                seen.clock = Some(EntryClock { incarnation: entry as u64, at_ms });
                self.leader.record_end(&seen, now)
            }
            Evidence::Completed(digest) => self.leader.record_completion(digest),
            Evidence::Try(digest) => self.leader.request_trial(digest, address, now),
            Evidence::Known(_) | Evidence::Ended(_) => Vec::new(),
        };
        self.publish(&decisions);
    }

    /// Tells all entries what has changed.
    fn publish(&mut self, decisions: &[Decision]) {
        let now = self.instant();
        let fatal: Vec<RequestDigest> = (0..self.case.fatal.0).map(digest).collect();
        let sound = |it: &Decision| matches!(it, Decision::Held(d, _) if !fatal.contains(d));
        self.wrong += decisions.iter().filter(|it| sound(it)).count();
        let stamp = Stamp { term: 1, count: self.told.stamp.count + 1 };
        let list = self.leader.list(stamp, now);
        let same = list.watched == self.told.watched && list.held.len() == self.told.held.len();
        if same && decisions.is_empty() {
            return;
        }
        self.told = list.clone();
        let size = postcard::to_allocvec(&list).expect("a message").len();
        self.bytes += size * self.case.entries;
        for entry in 0..self.case.entries {
            // Lists go over connections, which send again what is lost.
            let way = self.way().unwrap_or(450);
            self.at(way, Event::ToEntry(entry, list.clone()));
        }
    }
}

fn digest(request: u32) -> RequestDigest {
    RequestDigest::of(&[&request.to_le_bytes()])
}

fn check(case: &Case, seed: u64) {
    let fleet = Fleet::new(case, seed).play();
    let name = format!("{}, seed {seed}", case.name);
    for request in 0..case.fatal.0 {
        let seen = &fleet.seen[&request];
        let third = seen.ends.get(2).copied().unwrap_or(END);
        let late = seen.sends.iter().filter(|it| **it > third + CONTACT).count();
        assert!(late <= RETRIES, "{name}: request {request} was sent {late} times more");
    }
    let harm = (fleet.wrong, fleet.refused);
    assert_eq!(harm, (0, 0), "{name}: sound requests held, refused");
}

/// A request that ends upstreams goes on to end them, or a sound one that was under way is refused.
#[test]
fn few_upstreams_end_under_a_request_and_no_sound_one_is_refused() {
    std::thread::scope(|scope| {
        for case in CASES {
            scope.spawn(|| seeds().into_iter().for_each(|it| check(case, it)));
        }
    });
}
