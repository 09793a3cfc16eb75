//! Decides, without I/O, which request ends upstreams.
//!
//! The load pattern that it answers: callers bring a request back, under new attempts and at any entry, that
//! ends each upstream that runs it. Inputs: ends as entries saw them, some ms old. Sound requests are under
//! way at the same ends: a rack is lost with hundreds of them, and a stream that goes on elsewhere may meet
//! the next end. Three things tell them apart: a run at each of several ends that began after the end
//! before; no run that came to its end in between; and no other request to which the same ends are owed.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{EndSeen, EntryClock, Held, QuarantineList, Trial};
use crate::digest::RequestDigest;
use crate::message::Stamp;

/// After so many ends, each of a run that began after the end before, a request is held.
const ENDS: usize = 3;

/// They must be as far apart, or be one more: in less time, a sound request that is sent on may meet the first
/// ends of several others, of which nothing is known yet.
const APART: Duration = Duration::from_secs(1);

/// At so many fewer of them any other request may have been under way: a report may be lost.
const MARGIN: usize = 2;

/// After so many also where another request was under way at the same ends.
const ENDS_TOGETHER: usize = 5;

/// After so many ends other entries look whether a request runs to its end.
const ENDS_WATCHED: usize = 2;

/// Reports of the same upstream within this time are of one end; its next life takes longer to begin.
const SAME_END: Duration = Duration::from_millis(1_500);

/// How long after an end is first heard of it is decided to what it is owed: other entries tell what they
/// had there, and of suspects that ran to their end.
const GATHER: Duration = Duration::from_millis(300);

/// A run that seems to have begun within this time after an end that another entry saw may have begun before
/// it: messages are late by as much.
const ORDER: Duration = Duration::from_millis(300);

/// For how long an end counts.
const HORIZON: Duration = Duration::from_secs(600);

/// For how long a request is held the first time; doubled each time that a trial ends an upstream.
const FIRST_TERM: Duration = Duration::from_secs(300);

/// The longest such time: what was mended upstream is found within it.
const LONGEST_TERM: Duration = Duration::from_secs(3_600);

/// How long a trial may take before another entry may try.
const TRIAL: Duration = Duration::from_secs(30);

/// The most ends that are remembered.
const MOST_ENDS: usize = 512;

/// The most runs that are remembered, of all ends.
const MOST_RUNS: usize = 16_384;

/// The most requests that are held, and watched. With the list below 4 kB, all entries can be told at once.
const MOST_LISTED: usize = 64;

/// What the leader decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is not sent any more; so many upstreams ended under it.
    Held(RequestDigest, u32),
    /// An upstream ended under the trial of a request.
    Relapsed(RequestDigest, u32),
    /// An entry may send the request once.
    Tried(RequestDigest, SocketAddr),
    /// The request is sent as any other again.
    Released(RequestDigest),
}

/// A run under way at an end.
#[derive(Clone, Copy, Debug)]
struct Run {
    end: u64,
    began: Instant,
    ended: Instant,
    /// How long before the end it was sent, in ms.
    age: u64,
    /// The end by the clock of the entry that saw it.
    clock: Option<EntryClock>,
}

impl Run {
    /// Whether it began after another one's end; what two entries saw, by at least `order`.
    fn follows(&self, other: &Run, order: Duration) -> bool {
        match (self.clock, other.clock) {
            (Some(own), Some(its)) if own.life == its.life => own.at_ms >= its.at_ms + self.age,
            _ => self.began >= other.ended + order,
        }
    }
}

#[derive(Debug)]
struct End {
    number: u64,
    upstream: String,
    at: Instant,
    runs: HashSet<RequestDigest>,
    /// When it is decided to what it is owed, until it is.
    due: Option<Instant>,
    /// The request to which the end is owed, once that is decided.
    cause: Option<RequestDigest>,
}

/// What is known of a held request.
#[derive(Clone, Copy, Debug)]
struct Record {
    ends: u32,
    until: Instant,
    relapses: u32,
    trial: Option<(Trial, Instant)>,
    trials: u32,
}

/// The requests that end upstreams.
#[derive(Debug, Default)]
pub struct Quarantine {
    ends: VecDeque<End>,
    runs: HashMap<RequestDigest, Vec<Run>>,
    held: HashMap<RequestDigest, Record>,
    /// Those with as many ends that other entries look whether they run to their end.
    watched: HashSet<RequestDigest>,
    numbers: u64,
    count: usize,
}

impl Quarantine {
    /// Takes the end of an upstream, as an entry saw it.
    pub fn take_end(&mut self, seen: &EndSeen, now: Instant) -> Vec<Decision> {
        let ended = before(now, seen.ago_ms);
        self.forget(now);
        let at = self.end_of(&seen.upstream, ended, now);
        let (number, ended) = (self.ends[at].number, self.ends[at].at);
        for run in &seen.runs {
            if self.count >= MOST_RUNS {
                break;
            }
            if self.ends[at].runs.insert(run.digest) {
                let began = before(ended, run.age_ms);
                let (age, clock) = (run.age_ms.into(), seen.clock);
                let run_seen = Run { end: number, began, ended, age, clock };
                self.runs.entry(run.digest).or_default().push(run_seen);
                self.count += 1;
                self.watch(run.digest);
            }
        }
        let known = seen.runs.iter().map(|it| it.digest).find(|it| self.held.contains_key(it));
        if let Some(digest) = known {
            let is_new = self.ends[at].cause.is_none();
            self.ends[at].cause = Some(digest);
            self.clear_others(digest);
            return if is_new { self.ended_again(digest, now) } else { Vec::new() };
        }
        if let Some(digest) = self.ends[at].cause {
            self.clear_others(digest);
        }
        Vec::new()
    }

    /// Decides about the ends of which enough was heard. To be called now and then.
    pub fn settle(&mut self, now: Instant) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for at in 0..self.ends.len() {
            if self.ends[at].due.is_none_or(|it| now < it) {
                continue;
            }
            self.ends[at].due = None;
            if self.ends[at].cause.is_none() {
                decisions.append(&mut self.judge(at, now));
            }
        }
        decisions
    }

    /// Whether there are ends to decide about.
    pub fn is_settled(&self) -> bool {
        self.ends.iter().all(|it| it.due.is_none())
    }

    /// Takes that a request has run to its end: the ends that it met are not owed to it.
    pub fn completed(&mut self, digest: RequestDigest) -> Vec<Decision> {
        self.clear(digest);
        match self.held.remove(&digest) {
            Some(_) => vec![Decision::Released(digest)],
            None => Vec::new(),
        }
    }

    /// Takes an entry's question whether it may try a request.
    pub fn ask(&mut self, digest: RequestDigest, entry: SocketAddr, now: Instant) -> Vec<Decision> {
        let Some(held) = self.held.get_mut(&digest) else { return Vec::new() };
        let busy = held.trial.is_some_and(|it| now < it.1);
        if now < held.until || busy {
            return Vec::new();
        }
        held.trials += 1;
        held.trial = Some((Trial { entry, number: held.trials }, now + TRIAL));
        vec![Decision::Tried(digest, entry)]
    }

    /// Takes what a leader before had told; returns whether any of it is new.
    pub fn take_known(&mut self, known: &[Held], now: Instant) -> bool {
        let mut is_new = false;
        for it in known.iter().take(MOST_LISTED) {
            if self.held.contains_key(&it.digest) || self.held.len() >= MOST_LISTED {
                continue;
            }
            is_new = true;
            let until = now + Duration::from_millis(it.left_ms).min(LONGEST_TERM);
            let trials = it.trial.map_or(0, |it| it.number);
            let record =
                Record { ends: it.ends, until, relapses: it.relapses, trial: None, trials };
            self.held.insert(it.digest, record);
        }
        is_new
    }

    /// Forgets everything: another member leads.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// The list to tell entries.
    pub fn list(&self, stamp: Stamp, now: Instant) -> QuarantineList {
        let held = self.held.iter().map(|(digest, it)| Held {
            digest: *digest,
            ends: it.ends,
            left_ms: it.until.saturating_duration_since(now).as_millis() as u64,
            relapses: it.relapses,
            trial: it.trial.filter(|it| now < it.1).map(|it| it.0),
        });
        let mut held: Vec<Held> = held.collect();
        held.sort_by_key(|it| it.digest);
        QuarantineList { stamp, held, watched: self.watched() }
    }

    fn watched(&self) -> Vec<RequestDigest> {
        let watched = self.watched.iter().filter(|it| !self.held.contains_key(it)).copied();
        let mut watched: Vec<RequestDigest> = watched.collect();
        watched.sort_unstable();
        watched.truncate(MOST_LISTED);
        watched
    }

    /// Watches a request if it has met enough ends, or no more.
    fn watch(&mut self, digest: RequestDigest) {
        if self.runs.get(&digest).is_some_and(|it| chain(it, Duration::ZERO) >= ENDS_WATCHED) {
            self.watched.insert(digest);
        } else {
            self.watched.remove(&digest);
        }
    }

    /// The end to which a report belongs.
    fn end_of(&mut self, upstream: &str, ended: Instant, now: Instant) -> usize {
        let same = |it: &End| {
            let apart = ended.saturating_duration_since(it.at);
            it.upstream == upstream && apart.max(it.at.saturating_duration_since(ended)) < SAME_END
        };
        if let Some(at) = self.ends.iter().rposition(same) {
            return at;
        }
        self.numbers += 1;
        self.ends.push_back(End {
            number: self.numbers,
            upstream: upstream.to_owned(),
            at: ended,
            runs: HashSet::new(),
            due: Some(now + GATHER),
            cause: None,
        });
        self.ends.len() - 1
    }

    /// Looks whether a request that was under way at an end is the cause of it and those before.
    fn judge(&mut self, at: usize, now: Instant) -> Vec<Decision> {
        let runs = self.ends[at].runs.iter();
        let mut suspects: Vec<(usize, RequestDigest)> =
            runs.map(|it| (self.runs.get(it).map_or(0, |it| chain(it, ORDER)), *it)).collect();
        suspects.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&(most, digest)) = suspects.first() else { return Vec::new() };
        let is_plain =
            || most >= self.beside(digest) + MARGIN && self.unexplained(digest) >= MARGIN;
        if most < self.least_ends(digest) || (most < ENDS_TOGETHER && !is_plain()) {
            return Vec::new();
        }
        if self.held.len() >= MOST_LISTED {
            self.drop_oldest();
        }
        let ends = self.runs.get(&digest).map_or(0, Vec::len) as u32;
        let until = now + FIRST_TERM;
        self.held.insert(digest, Record { ends, until, relapses: 0, trial: None, trials: 0 });
        for end in self.ends.iter_mut().filter(|it| it.runs.contains(&digest)) {
            end.cause = Some(digest);
        }
        self.clear_others(digest);
        vec![Decision::Held(digest, ends)]
    }

    /// How many ends are enough to hold a request.
    fn least_ends(&self, digest: RequestDigest) -> usize {
        let ends = || self.runs.get(&digest).into_iter().flatten().map(|it| it.ended);
        let apart = ends().max().zip(ends().min()).map(|(last, first)| last - first);
        if apart.is_some_and(|it| it >= APART) { ENDS } else { ENDS + 1 }
    }

    /// At how many of the ends of a request another one was under way, the same each time.
    fn beside(&self, digest: RequestDigest) -> usize {
        let mut beside: HashMap<RequestDigest, usize> = HashMap::new();
        let ends = self.ends.iter().filter(|it| it.runs.contains(&digest));
        for other in ends.flat_map(|it| &it.runs).filter(|it| **it != digest) {
            *beside.entry(*other).or_default() += 1;
        }
        beside.into_values().max().unwrap_or(0)
    }

    /// How many of a request's ends no other request explains: one with ends also elsewhere. What goes wrong
    /// without it: while several requests end upstreams, a sound one that is sent on meets ends of each.
    fn unexplained(&self, digest: RequestDigest) -> usize {
        let own = |it: &&End| it.runs.contains(&digest);
        let numbers: HashSet<u64> = self.ends.iter().filter(own).map(|it| it.number).collect();
        let explains = |other: &RequestDigest| {
            let runs = self.runs.get(other).map_or(&[][..], Vec::as_slice);
            let elsewhere = runs.iter().any(|it| !numbers.contains(&it.end));
            *other != digest && elsewhere && chain(runs, Duration::ZERO) >= ENDS_WATCHED
        };
        self.ends.iter().filter(own).filter(|it| !it.runs.iter().any(explains)).count()
    }

    /// Takes an end that is owed to a request on the list.
    fn ended_again(&mut self, digest: RequestDigest, now: Instant) -> Vec<Decision> {
        let Some(held) = self.held.get_mut(&digest) else { return Vec::new() };
        held.ends += 1;
        // Runs that were under way when it was held end upstreams too, and say nothing new.
        if held.trial.take().is_none() {
            return Vec::new();
        }
        held.relapses += 1;
        let term = FIRST_TERM * 2_u32.saturating_pow(held.relapses.min(8));
        held.until = now + term.min(LONGEST_TERM);
        vec![Decision::Relapsed(digest, held.ends)]
    }

    /// Takes the ends that are owed to one request from the evidence against all others.
    fn clear_others(&mut self, cause: RequestDigest) {
        let owed = self.ends.iter().filter(|it| it.cause == Some(cause));
        let others = |end: &End| {
            let others = end.runs.iter().filter(|it| **it != cause).copied();
            (end.number, others.collect::<Vec<_>>())
        };
        let owed: Vec<_> = owed.map(others).collect();
        for (end, others) in owed {
            others.into_iter().for_each(|it| self.forget_run(it, end));
        }
    }

    /// Forgets that a request was under way at an end.
    fn forget_run(&mut self, digest: RequestDigest, end: u64) {
        let Some(runs) = self.runs.get_mut(&digest) else { return };
        let before = runs.len();
        runs.retain(|it| it.end != end);
        self.count -= before - runs.len();
        if runs.is_empty() {
            self.runs.remove(&digest);
        }
        self.watch(digest);
    }

    fn clear(&mut self, digest: RequestDigest) {
        if let Some(runs) = self.runs.remove(&digest) {
            self.count -= runs.len();
        }
        self.watched.remove(&digest);
        for end in &mut self.ends {
            end.runs.remove(&digest);
            if end.cause == Some(digest) {
                end.cause = None;
            }
        }
    }

    /// Forgets ends that are too old or too many.
    fn forget(&mut self, now: Instant) {
        let is_old = |it: &End| now.saturating_duration_since(it.at) > HORIZON;
        while self.ends.front().is_some_and(is_old)
            || self.ends.len() >= MOST_ENDS
            || (self.count >= MOST_RUNS && self.ends.len() > 1)
        {
            let Some(end) = self.ends.pop_front() else { return };
            end.runs.into_iter().for_each(|it| self.forget_run(it, end.number));
        }
    }

    /// Makes room on the list: the request whose time is over first goes.
    fn drop_oldest(&mut self) {
        let oldest = self.held.iter().min_by_key(|it| it.1.until).map(|it| *it.0);
        if let Some(digest) = oldest {
            log::warn!(digest:% = digest; "the list of held requests is full; the oldest is dropped");
            self.held.remove(&digest);
        }
    }
}

/// How many of some runs follow each other, each begun after the end before.
fn chain(runs: &[Run], order: Duration) -> usize {
    let mut runs = runs.to_vec();
    runs.sort_unstable_by_key(|it| it.ended);
    let mut last: Option<Run> = None;
    let mut count = 0;
    for run in runs {
        if last.is_none_or(|it| run.follows(&it, order)) {
            last = Some(run);
            count += 1;
        }
    }
    count
}

fn before(now: Instant, ms: u32) -> Instant {
    now.checked_sub(Duration::from_millis(ms.into())).unwrap_or(now)
}
