//! A harmful part of prompts that terminates all upstreams before a verdict can fall. Simulates the
//! entries, the leader and the upstreams in virtual time; what finds no upstream waits for one.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use registry::quarantine::{
    Admission, Decision, EndSeen, EntryClock, PartSeen, QuarantineList, QuarantineTable,
    QuarantineView, RunSeen,
};
use registry::{RequestDigest, Stamp};

/// The duration of a simulation, and when the first harmful requests come, in ms.
const SIMULATION_MS: u64 = 30_000;
const HARMFUL_FROM_MS: u64 = 4_000;

/// How long an upstream takes to restart, in ms.
const RESTART_MS: u64 = 4_000;

/// How long after the fifth termination further sends with the part are late, in ms, and how many may be.
const LATE_AFTER_MS: u64 = 3_000;
const MAX_LATE: usize = 3;

/// How long a request waits for an upstream, in ms.
const PATIENCE_MS: u64 = 5_000;

/// How long a run takes to bring its first event, or to terminate its upstream, in ms.
const FIRST_EVENT_MS: u64 = 60;
const HARM_MS: u64 = 80;

/// How long after its first event a run is not suspected any more, in ms.
const SUSPECT_MS: u64 = 1_000;

/// How long a request waits for the leader to permit a trial, in ms.
const TRIAL_WAIT_MS: u64 = 300;

/// How many upstreams one request may be sent to.
const MOST_TRIES: u32 = 2;

/// How long entries take to detect a termination, and the leader's interval of decisions, in ms.
const DETECTION_MS: u64 = 25;
const DECISION_INTERVAL_MS: u64 = 100;

/// The number of middle parts that sound requests have, one each.
const MIDDLE_PARTS: u64 = 4;

struct Case {
    name: &'static str,
    entries: usize,
    upstreams: usize,
    /// Sound and harmful requests per second.
    rates: (u64, u64),
    /// How long callers read sound streams, in ms: the least time, and how much longer at most.
    reading: (u64, u64),
}

/// Callers that leave after some events, and callers that read to the end.
const EARLY: (u64, u64) = (260, 1);
const WHOLE: (u64, u64) = (600, 900);

const CASES: &[Case] = &[
    Case { name: "6, leave early", entries: 6, upstreams: 12, rates: (20, 6), reading: EARLY },
    Case { name: "6, read on", entries: 6, upstreams: 12, rates: (20, 6), reading: WHOLE },
    Case { name: "24, leave early", entries: 24, upstreams: 12, rates: (20, 6), reading: EARLY },
    Case { name: "24, read on", entries: 24, upstreams: 12, rates: (20, 6), reading: WHOLE },
    Case { name: "300, leave early", entries: 300, upstreams: 12, rates: (60, 20), reading: EARLY },
    Case { name: "300, read on", entries: 300, upstreams: 12, rates: (60, 20), reading: WHOLE },
    Case { name: "995, leave early", entries: 995, upstreams: 12, rates: (60, 20), reading: EARLY },
    Case { name: "995, read on", entries: 995, upstreams: 12, rates: (60, 20), reading: WHOLE },
];

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    number: u64,
    harmful: bool,
    entry: usize,
    arrived: u64,
    attempts: u32,
    /// Whether the leader permitted to send it although a part of it is held.
    trial: bool,
}

impl Request {
    fn digest(&self) -> RequestDigest {
        RequestDigest::of(&[b"request", &[u8::from(self.harmful)], &self.number.to_le_bytes()])
    }

    /// Returns the first part, which all requests have, and the middle one.
    fn parts(&self) -> [RequestDigest; 2] {
        let middle = if self.harmful { harmful_part() } else { sound_part(self.number) };
        [RequestDigest::of(&[b"first"]), middle]
    }
}

fn address(entry: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], entry as u16))
}

fn harmful_part() -> RequestDigest {
    RequestDigest::of(&[b"harmful"])
}

fn sound_part(number: u64) -> RequestDigest {
    RequestDigest::of(&[b"middle", &(number % MIDDLE_PARTS).to_le_bytes()])
}

/// A run at an incarnation of an upstream.
#[derive(Clone, Copy)]
struct Run {
    request: Request,
    upstream: usize,
    incarnation: u32,
    sent: u64,
}

enum Event {
    Arrives(Request),
    /// The first event of a run reaches its caller.
    Begins(Run),
    /// A run is over: its caller leaves, or it terminates its upstream.
    Over(Run),
    /// An entry checks whether it may send a request as a trial of a part.
    Claim(Request, RequestDigest),
    /// An entry checks whether an upstream lives on after a stream whose caller left.
    Check(Run),
    Decide,
    Restarts(usize),
    /// An entry knows that an upstream is back.
    IsBack(usize),
    ToLeader(usize, EndSeen, Vec<PartSeen>, u64),
    Completed(RequestDigest),
    Try(usize, RequestDigest),
    ToEntry(usize, QuarantineList),
}

#[derive(Default)]
struct Upstream {
    incarnation: u32,
    down: bool,
    runs: Vec<Run>,
}

#[derive(Default)]
struct Entry {
    known: QuarantineView,
    /// When requests with each part completed last, in ms.
    completed: HashMap<RequestDigest, u64>,
    waiting: Vec<Request>,
    /// The number of the last trial used of each part.
    trials: HashMap<RequestDigest, u32>,
}

/// What a simulation counts.
#[derive(Default)]
struct Counts {
    /// The times, in ms, of terminations by the part and of sends with it.
    ends: Vec<u64>,
    sends: Vec<u64>,
    verdict: Option<u64>,
    wrong: usize,
    /// When each sound request that began had arrived, in ms.
    begun: BTreeMap<u64, u64>,
}

struct Fleet<'a> {
    case: &'a Case,
    rng: SmallRng,
    start: Instant,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    sequence: u64,
    upstreams: Vec<Upstream>,
    entries: Vec<Entry>,
    leader: QuarantineTable,
    list: QuarantineList,
    counts: Counts,
}

impl<'a> Fleet<'a> {
    fn new(case: &'a Case, seed: u64) -> Self {
        Self {
            case,
            rng: SmallRng::seed_from_u64(seed),
            start: Instant::now(),
            now: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            sequence: 0,
            upstreams: (0..case.upstreams).map(|_| Upstream::default()).collect(),
            entries: (0..case.entries).map(|_| Entry::default()).collect(),
            leader: QuarantineTable::default(),
            list: QuarantineList::default(),
            counts: Counts::default(),
        }
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + after, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_millis(self.now)
    }

    fn latency(&mut self) -> u64 {
        1 + self.rng.random_range(0..25)
    }

    fn simulate(mut self) -> Counts {
        let (sound, harmful) = self.case.rates;
        for (rate, from, harmful) in [(sound, 0, false), (harmful, HARMFUL_FROM_MS, true)] {
            for number in 0..(SIMULATION_MS - from) * rate / 1_000 {
                let arrived = from + number * 1_000 / rate + self.rng.random_range(0..1_000 / rate);
                let entry = self.rng.random_range(0..self.case.entries);
                let request =
                    Request { number, harmful, entry, arrived, attempts: 0, trial: false };
                self.schedule(arrived, Event::Arrives(request));
            }
        }
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > SIMULATION_MS {
                break;
            }
            self.now = at;
            let event = self.events.remove(&number).expect("an event");
            self.handle(event);
        }
        self.counts
    }

    fn handle(&mut self, event: Event) {
        let now = self.instant();
        match event {
            Event::Arrives(request) => self.send(request),
            Event::Begins(run) => {
                if self.is_running(&run) {
                    self.counts.begun.entry(run.request.number).or_insert(run.request.arrived);
                }
            }
            Event::Over(run) => self.finish(run),
            Event::Claim(request, suspect) => self.claim(request, suspect),
            Event::Check(run) => {
                let upstream = &self.upstreams[run.upstream];
                if upstream.incarnation == run.incarnation && !upstream.down {
                    self.record_sound(&run.request);
                }
            }
            Event::Decide => {
                let decisions = self.leader.decide_due(now);
                self.publish(&decisions);
                if !self.leader.is_decided() {
                    self.schedule(DECISION_INTERVAL_MS, Event::Decide);
                }
            }
            Event::Restarts(upstream) => {
                self.upstreams[upstream].down = false;
                for entry in 0..self.case.entries {
                    let latency = self.latency();
                    self.schedule(latency, Event::IsBack(entry));
                }
            }
            Event::IsBack(entry) => {
                let waiting = std::mem::take(&mut self.entries[entry].waiting);
                waiting.into_iter().for_each(|it| self.send(it));
            }
            Event::ToLeader(entry, mut seen, parts, at_ms) => {
                if self.leader.is_decided() {
                    self.schedule(DECISION_INTERVAL_MS, Event::Decide);
                }
                seen.parts = parts;
                seen.clock = Some(EntryClock { incarnation: entry as u64, at_ms });
                let decisions = self.leader.record_end(&seen, now);
                self.publish(&decisions);
            }
            Event::Completed(part) => {
                let decisions = self.leader.record_completion(part, now);
                self.publish(&decisions);
            }
            Event::Try(entry, suspect) => {
                let decisions = self.leader.request_trial(suspect, address(entry), now);
                self.publish(&decisions);
            }
            Event::ToEntry(entry, list) => {
                self.entries[entry].known.update(&list, now);
            }
        }
    }

    fn is_running(&self, run: &Run) -> bool {
        let same = |it: &Run| it.request == run.request && it.sent == run.sent;
        self.upstreams[run.upstream].runs.iter().any(same)
    }

    /// Sends a request to an upstream, or lets it wait for one, unless it is held or too late.
    fn send(&mut self, request: Request) {
        let now = self.instant();
        let known = &self.entries[request.entry].known;
        let suspects = [request.digest()].into_iter().chain(request.parts());
        let admissions = suspects.map(|it| (known.admission(&it, now), it));
        let strictest = admissions.max_by_key(|it| match it.0 {
            Admission::Allowed | Admission::Watched => 0,
            Admission::TrialDue => 1,
            Admission::Held(_) => 2,
        });
        match strictest.filter(|_| !request.trial) {
            Some((Admission::Held(_), _)) => return,
            Some((Admission::TrialDue, suspect)) if request.attempts == 0 => {
                self.try_once(request, suspect);
                return;
            }
            Some((Admission::TrialDue, _)) => return,
            Some((Admission::Allowed | Admission::Watched, _)) | None => {}
        }
        if self.now > request.arrived + PATIENCE_MS {
            return;
        }
        let up: Vec<usize> =
            (0..self.case.upstreams).filter(|it| !self.upstreams[*it].down).collect();
        if up.is_empty() {
            self.entries[request.entry].waiting.push(request);
            return;
        }
        let upstream = up[self.rng.random_range(0..up.len())];
        let incarnation = self.upstreams[upstream].incarnation;
        let request = Request { attempts: request.attempts + 1, ..request };
        let run = Run { request, upstream, incarnation, sent: self.now };
        self.upstreams[upstream].runs.push(run);
        if request.harmful {
            self.counts.sends.push(self.now);
            self.schedule(HARM_MS, Event::Over(run));
            return;
        }
        let (least, more) = self.case.reading;
        let reading = least + self.rng.random_range(0..more);
        self.schedule(FIRST_EVENT_MS, Event::Begins(run));
        self.schedule(reading, Event::Over(run));
    }

    /// Asks the leader for the trial of a part.
    fn try_once(&mut self, request: Request, suspect: RequestDigest) {
        let latency = self.latency();
        self.schedule(latency, Event::Try(request.entry, suspect));
        self.schedule(TRIAL_WAIT_MS, Event::Claim(request, suspect));
    }

    fn claim(&mut self, request: Request, suspect: RequestDigest) {
        let entry = &mut self.entries[request.entry];
        let granted = entry.known.trial(&suspect, address(request.entry));
        let used = entry.trials.get(&suspect).copied();
        if let Some(number) = granted.filter(|it| used.is_none_or(|used| used < *it)) {
            entry.trials.insert(suspect, number);
            self.send(Request { trial: true, ..request });
        }
    }

    fn finish(&mut self, run: Run) {
        if !self.is_running(&run) {
            return;
        }
        if run.request.harmful {
            self.counts.ends.push(self.now);
            self.terminate(run.upstream);
            return;
        }
        let other = |it: &Run| it.request != run.request;
        self.upstreams[run.upstream].runs.retain(other);
        if self.case.reading == EARLY {
            self.schedule(FIRST_EVENT_MS + SUSPECT_MS, Event::Check(run));
        } else {
            self.record_sound(&run.request);
        }
    }

    /// Records at its entry that a request terminated no upstream, and reports it if it is suspected.
    fn record_sound(&mut self, request: &Request) {
        let now = self.instant();
        let entry = &mut self.entries[request.entry];
        entry.completed.extend(request.parts().map(|it| (it, self.now)));
        let suspects = [request.digest()].into_iter().chain(request.parts());
        let known = &entry.known;
        let suspects: Vec<RequestDigest> =
            suspects.filter(|it| known.admission(it, now) != Admission::Allowed).collect();
        for suspect in suspects {
            let latency = self.latency();
            self.schedule(latency, Event::Completed(suspect));
        }
    }

    /// Terminates an upstream: entries report what they had in flight there, and send it once more.
    fn terminate(&mut self, upstream: usize) {
        let it = &mut self.upstreams[upstream];
        it.down = true;
        let id = format!("u-{upstream}-{}", it.incarnation);
        it.incarnation += 1;
        let mut by_entry: BTreeMap<usize, Vec<Request>> = BTreeMap::new();
        let mut ages = HashMap::new();
        for run in std::mem::take(&mut it.runs) {
            let age = self.now - run.sent;
            if !run.request.harmful && age > FIRST_EVENT_MS + SUSPECT_MS {
                let parts = run.request.parts().map(|it| (it, self.now));
                self.entries[run.request.entry].completed.extend(parts);
            } else {
                ages.insert(run.request.digest(), age as u32);
                by_entry.entry(run.request.entry).or_default().push(run.request);
            }
            if run.request.attempts < MOST_TRIES {
                self.schedule(1, Event::Arrives(run.request));
            }
        }
        for (entry, lost) in by_entry {
            let run = |it: &Request| RunSeen { digest: it.digest(), age_ms: ages[&it.digest()] };
            let runs = lost.iter().map(run).collect();
            let parts = self.parts_seen(entry, &lost);
            let ago_ms = DETECTION_MS as u32;
            let seen = EndSeen { upstream: id.clone(), ago_ms, runs, clock: None, parts: vec![] };
            let delay = DETECTION_MS + self.latency();
            self.schedule(delay, Event::ToLeader(entry, seen, parts, self.now));
        }
        self.schedule(RESTART_MS, Event::Restarts(upstream));
    }

    fn parts_seen(&self, entry: usize, lost: &[Request]) -> Vec<PartSeen> {
        let mut seen: BTreeMap<RequestDigest, Vec<u8>> = BTreeMap::new();
        for (position, request) in lost.iter().enumerate() {
            for part in request.parts() {
                seen.entry(part).or_default().push(position as u8);
            }
        }
        let completed = &self.entries[entry].completed;
        let since = |part: &RequestDigest| {
            let at = completed.get(part)?;
            Some((self.now - at + DETECTION_MS) as u32)
        };
        let seen = seen.into_iter().map(|(part, runs)| {
            let completed_ms = since(&part);
            PartSeen { part, runs, completed_ms }
        });
        seen.collect()
    }

    /// Sends the list to all entries if it changed.
    fn publish(&mut self, decisions: &[Decision]) {
        for decision in decisions {
            match decision {
                Decision::PartHeld(part, _) if *part == harmful_part() => {
                    self.counts.verdict.get_or_insert(self.now);
                }
                Decision::Held(..) | Decision::PartHeld(..) => self.counts.wrong += 1,
                Decision::TrialFailed(..) | Decision::TrialGranted(..) | Decision::Released(_) => {}
            }
        }
        let stamp = Stamp { term: 1, count: self.list.stamp.count + 1 };
        let list = self.leader.list(stamp, self.instant());
        let same = list.watched == self.list.watched && list.held.len() == self.list.held.len();
        if same && decisions.is_empty() {
            return;
        }
        self.list = list.clone();
        for entry in 0..self.case.entries {
            let latency = self.latency();
            self.schedule(latency, Event::ToEntry(entry, list.clone()));
        }
    }
}

/// Returns what broke the bounds in a simulation, if anything did.
fn broken(case: &Case, seed: u64) -> Option<String> {
    let counts = Fleet::new(case, seed).simulate();
    let fifth = counts.ends.get(4).copied().unwrap_or(SIMULATION_MS);
    let late = counts.sends.iter().filter(|it| **it > fifth + LATE_AFTER_MS).count();
    let until = SIMULATION_MS - PATIENCE_MS;
    let counted = counts.verdict.unwrap_or(fifth)..until;
    let sent = (counted.end.saturating_sub(counted.start) * case.rates.0 / 1_000) as usize;
    let begun = counts.begun.values().filter(|it| counted.contains(it)).count();
    let kept = late <= MAX_LATE && begun * 10 >= sent * 9 && counts.wrong == 0;
    let verdict = counts.verdict.map(|it| it.saturating_sub(fifth));
    (!kept).then(|| {
        format!(
            "{}, seed {seed}: {late} late, {begun} of {sent} begun, {} held wrongly, verdict \
             {verdict:?} ms after the fifth end, {} ends",
            case.name,
            counts.wrong,
            counts.ends.len()
        )
    })
}

/// The number of seeds that are simulated, unless the variable `QUARANTINE_SEEDS` says another one.
const SEEDS: u64 = 10;

/// Guards against requests with a harmful part that wait for an upstream and all terminate the first ones
/// that are back, because all had ended before a verdict could fall.
#[test]
fn few_upstreams_terminate_once_they_are_back() {
    let seeds = std::env::var("QUARANTINE_SEEDS").ok().and_then(|it| it.parse().ok());
    let seeds: u64 = seeds.unwrap_or(SEEDS);
    let play = |case| (0..seeds).filter_map(|it| broken(case, it)).collect::<Vec<_>>();
    let broken: Vec<String> = std::thread::scope(|scope| {
        let plays: Vec<_> = CASES.iter().map(|case| scope.spawn(move || play(case))).collect();
        plays.into_iter().flat_map(|it| it.join().expect("a simulation")).collect()
    });
    assert!(
        broken.is_empty(),
        "{} of {} broken: {broken:#?}",
        broken.len(),
        CASES.len() as u64 * seeds
    );
}
