//! Crowds at a few of many entries, with the entries' real decisions, on virtual time.
//!
//! A model of each entry's processor, not of its code: tasks run one after the other, each as soon as
//! those before it have run.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::thread;
use std::time::Duration;

use gateway::crowd::{Crowd, SAMPLE_PAUSES, Sample};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

/// What a task takes of a whole processor, in µs.
const ACCEPT_US: u64 = 20;
const READ_US: u64 = 500;
const EVENT_US: u64 = 60;
const ANSWER_US: u64 = 200;

/// The share of a processor that an entry has.
const SHARE: f64 = 0.12;

/// How long upstreams take for a plain request, and between two events of a stream.
const PLAIN_US: u64 = 60_000;
const EVENT_PAUSE_US: u64 = 62_000;
const EVENTS: u32 = 24;

/// The aims of callers, counted from their first try.
const PLAIN_AIM_US: u64 = 300_000;
const FIRST_EVENT_AIM_US: u64 = 1_000_000;
const EVENT_AIM_US: u64 = 500_000;

const ROUND_TRIP_US: u64 = 2_000;
const SECOND_US: u64 = 1_000_000;

/// The requests of each entry in a second, without a crowd.
const RATE: f64 = 5.0;

/// When the crowd begins, from when on requests count, and when the run ends, in s.
const CROWD_S: u64 = 5;
const COUNTED_S: u64 = 8;
const END_S: u64 = 20;

/// How the loads of all entries are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loads {
    Known,
    /// Until the crowd begins.
    Lost,
    Never,
}

struct Case {
    name: &'static str,
    entries: usize,
    /// To how many entries the crowd comes.
    crowded: usize,
    /// After how many seconds it moves on.
    moves_s: Option<u64>,
    loads: Loads,
    factor: f64,
}

const ONE: Case = Case {
    name: "one of 59",
    entries: 59,
    crowded: 1,
    moves_s: None,
    loads: Loads::Known,
    factor: 2.0,
};

const CASES: &[Case] = &[
    ONE,
    Case { name: "loads lost", loads: Loads::Lost, ..ONE },
    Case { name: "loads never known", loads: Loads::Never, ..ONE },
    Case { name: "four times as many", factor: 4.0, ..ONE },
    Case { name: "moves on", moves_s: Some(4), ..ONE },
    Case { name: "moves on, loads lost", moves_s: Some(4), loads: Loads::Lost, ..ONE },
    Case { name: "a domain", crowded: 15, factor: 4.0, ..ONE },
    Case { name: "half of all", crowded: 30, factor: 8.0, ..ONE },
    Case { name: "6 entries", entries: 6, factor: 8.0, ..ONE },
    Case { name: "6 entries, loads lost", entries: 6, factor: 8.0, loads: Loads::Lost, ..ONE },
    Case { name: "300 entries", entries: 300, crowded: 5, ..ONE },
    Case { name: "300 entries, loads lost", entries: 300, crowded: 5, loads: Loads::Lost, ..ONE },
    Case { name: "995 entries", entries: 995, crowded: 17, ..ONE },
    Case { name: "995 entries, a domain", entries: 995, crowded: 200, factor: 4.0, ..ONE },
];

/// The least share of the requests read that are within their aim, and the least and most that a
/// crowded entry reads in any second, as a share of its mean.
const LEAST_TIMELY: f64 = 0.99;
const STEADY: (f64, f64) = (0.4, 2.0);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Accepted(usize),
    /// A task of a request is due.
    Due(usize),
    /// It has run.
    Done(usize),
    /// A sample is due, unless one was due in between.
    SampleDue(usize, u64),
    Sampled(usize),
}

#[derive(Clone, Debug)]
struct Request {
    sent: u64,
    is_stream: bool,
    entry: usize,
    tried: u32,
    events: u32,
    read_at: u64,
    last: u64,
    timely: bool,
    ended: bool,
}

struct Entry {
    crowd: Crowd,
    free_at: u64,
    requests: u64,
    /// When the last sample was due, and how many were.
    sample_due: u64,
    samples: u64,
    ended: u64,
    took_us: u64,
}

impl Entry {
    /// Runs a task that is due; returns when it has run.
    fn run(&mut self, now: u64, work_us: u64) -> u64 {
        self.free_at = self.free_at.max(now) + (work_us as f64 / SHARE) as u64;
        self.free_at
    }
}

struct Model<'a> {
    case: &'a Case,
    rng: SmallRng,
    start: Instant,
    entries: Vec<Entry>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    /// The mean load that entries know, and when it was computed.
    mean: (u64, Option<f64>),
    closed: usize,
}

impl<'a> Model<'a> {
    fn new(case: &'a Case, seed: u64) -> Self {
        let (start, mut rng) = (Instant::now(), SmallRng::seed_from_u64(seed));
        let entry = |_| Entry {
            crowd: Crowd::new(start),
            free_at: 0,
            requests: 0,
            sample_due: 0,
            samples: 0,
            ended: 0,
            took_us: 0,
        };
        let entries: Vec<Entry> = (0..case.entries).map(entry).collect();
        let first = |it| Reverse((rng.random_range(0..100_000), Event::SampleDue(it, 0)));
        let events = (0..case.entries).map(first).collect();
        let (requests, mean) = (Vec::new(), (0, None));
        Self { case, rng, start, entries, requests, events, mean, closed: 0 }
    }

    fn at(&self, us: u64) -> Instant {
        self.start + Duration::from_micros(us)
    }

    fn push(&mut self, at: u64, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    /// Chooses an entry for a new connection, as the balancer does.
    fn choose(&mut self, now: u64, tried: u32) -> usize {
        let count = self.entries.len();
        let in_crowd = now >= CROWD_S * SECOND_US && tried == 0 && self.rng.random_bool(0.9);
        if !in_crowd {
            return self.rng.random_range(0..count);
        }
        let moved = self.case.moves_s.map_or(0, |it| (now / SECOND_US - CROWD_S) / it) as usize;
        (self.rng.random_range(0..self.case.crowded) + moved * self.case.crowded) % count
    }

    fn arrivals(&mut self) {
        let mut at = 0.0;
        while at < END_S as f64 {
            let factor = if at >= CROWD_S as f64 { self.case.factor } else { 1.0 };
            let rate = RATE * self.case.entries as f64 * factor;
            at += -(1.0 - self.rng.random::<f64>()).ln() / rate;
            let sent = (at * SECOND_US as f64) as u64;
            let is_stream = self.rng.random_bool(0.5);
            let request = Request {
                sent,
                is_stream,
                entry: 0,
                tried: 0,
                events: 0,
                read_at: 0,
                last: sent,
                timely: true,
                ended: false,
            };
            self.requests.push(request);
            self.push(sent, Event::Arrive(self.requests.len() - 1));
        }
    }

    fn run(&mut self) {
        self.arrivals();
        while let Some(Reverse((now, event))) = self.events.pop() {
            if now > (END_S + 5) * SECOND_US {
                break;
            }
            match event {
                Event::Arrive(number) => {
                    let entry = self.choose(now, self.requests[number].tried);
                    self.requests[number].entry = entry;
                    let done = self.entries[entry].run(now, ACCEPT_US);
                    self.push(done, Event::Accepted(number));
                }
                Event::Accepted(number) => self.accept(now, number),
                Event::Due(number) => self.step(now, number),
                Event::Done(number) => self.finish(now, number),
                Event::SampleDue(entry, number) if self.entries[entry].samples == number => {
                    self.entries[entry].samples += 1;
                    self.entries[entry].sample_due = now;
                    let done = self.entries[entry].run(now, ACCEPT_US);
                    self.push(done, Event::Sampled(entry));
                }
                Event::SampleDue(..) => {}
                Event::Sampled(entry) => self.sample(now, entry),
            }
        }
    }

    fn accept(&mut self, now: u64, number: usize) {
        let at = self.at(now);
        let request = &mut self.requests[number];
        let entry = &mut self.entries[request.entry];
        if !entry.crowd.admits(entry.requests, at) {
            request.tried += 1;
            self.closed += 1;
            self.push(now + ROUND_TRIP_US, Event::Arrive(number));
            return;
        }
        entry.requests += 1;
        request.read_at = now;
        let wants_sample = entry.crowd.wants_sample();
        let (number_due, entry) = (entry.samples, request.entry);
        if wants_sample {
            let pause = SAMPLE_PAUSES.1.as_micros() as u64;
            self.push(now + pause, Event::SampleDue(entry, number_due));
        }
        self.push(now, Event::Due(number));
    }

    fn step(&mut self, now: u64, number: usize) {
        let request = &self.requests[number];
        let work = match (request.events, request.is_stream) {
            (0, _) => READ_US,
            (_, true) => EVENT_US,
            (_, false) => ANSWER_US,
        };
        let done = self.entries[request.entry].run(now, work);
        self.push(done, Event::Done(number));
    }

    fn finish(&mut self, now: u64, number: usize) {
        let request = &mut self.requests[number];
        let (aim, pause) = match request.is_stream {
            true => (FIRST_EVENT_AIM_US, EVENT_PAUSE_US),
            false => (PLAIN_AIM_US, PLAIN_US),
        };
        let due =
            if request.events <= 1 { request.sent + aim } else { request.last + EVENT_AIM_US };
        request.timely &= request.events == 0 || now <= due;
        request.last = now;
        request.events += 1;
        let all = if request.is_stream { EVENTS } else { 1 };
        if request.events <= all {
            self.push(now + pause, Event::Due(number));
            return;
        }
        request.ended = true;
        let took = now - request.read_at;
        let entry = &mut self.entries[request.entry];
        entry.requests -= 1;
        entry.ended += 1;
        entry.took_us += took;
    }

    fn sample(&mut self, now: u64, number: usize) {
        if now >= self.mean.0 + SECOND_US / 2 {
            let sum: u64 = self.entries.iter().map(|it| it.requests).sum();
            let known = match self.case.loads {
                Loads::Known => true,
                Loads::Lost => now < CROWD_S * SECOND_US,
                Loads::Never => false,
            };
            self.mean = (now, known.then(|| sum as f64 / self.entries.len() as f64));
        }
        let (at, mean) = (self.at(now), self.mean.1);
        let entry = &mut self.entries[number];
        let took = entry.took_us.checked_div(entry.ended).map(Duration::from_micros);
        (entry.ended, entry.took_us) = (0, 0);
        let lag = Duration::from_micros(now - entry.sample_due);
        let (requests, running) = (entry.requests, entry.requests);
        entry.crowd.record(&Sample { at, lag, requests, running, mean, took });
        let pause = entry.crowd.sample_pause().as_micros() as u64;
        let next = entry.samples;
        self.push(now + pause, Event::SampleDue(number, next));
    }

    /// Returns the share of the counted requests that were served within their aim.
    fn timely(&self) -> f64 {
        let counted = |it: &&Request| (COUNTED_S..END_S).contains(&(it.sent / SECOND_US));
        let counted: Vec<&Request> = self.requests.iter().filter(counted).collect();
        let timely = counted.iter().filter(|it| it.ended && it.timely).count();
        timely as f64 / counted.len() as f64
    }

    /// Returns how many requests the crowded entries read in each counted second.
    fn reads(&self) -> Vec<f64> {
        let mut reads = vec![0.0; (END_S - COUNTED_S) as usize];
        let crowded = |it: &&Request| it.entry < self.case.crowded && it.read_at > 0;
        for request in self.requests.iter().filter(crowded) {
            let second = (request.read_at / SECOND_US).checked_sub(COUNTED_S);
            if let Some(count) = second.and_then(|it| reads.get_mut(it as usize)) {
                *count += 1.0;
            }
        }
        reads
    }
}

/// Guards against an entry that takes on more than it can serve while callers crowd to it, whether or not it
/// knows the loads of the others.
#[test]
fn what_crowded_entries_read_is_served_in_time_at_any_size() {
    thread::scope(|scope| {
        for case in CASES {
            scope.spawn(|| {
                let mut model = Model::new(case, 1);
                model.run();
                let timely = model.timely();
                assert!(timely >= LEAST_TIMELY, "{}: {timely:.3} within their aim", case.name);
            });
        }
    });
}

/// Guards against an entry that reads all that comes for a moment and nothing the next.
#[test]
fn crowded_entries_read_a_steady_number_of_requests() {
    thread::scope(|scope| {
        for case in CASES.iter().filter(|it| it.moves_s.is_none()) {
            scope.spawn(|| {
                let mut model = Model::new(case, 2);
                model.run();
                let reads = model.reads();
                let mean = reads.iter().sum::<f64>() / reads.len() as f64;
                let is_steady = |it: &f64| (STEADY.0 * mean..=STEADY.1 * mean).contains(it);
                assert!(reads.iter().all(is_steady), "{}: {reads:?}", case.name);
            });
        }
    });
}
