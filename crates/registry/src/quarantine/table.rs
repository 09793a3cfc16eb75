//! Decides, without I/O, which request terminates upstreams.
//!
//! A request that terminates every upstream that runs it is retried by its callers, as new attempts and
//! at any entry. The input is terminations as entries observed them, some ms earlier. Harmless requests
//! are in flight at the same terminations: hundreds are lost with a rack, and a stream that continues on
//! another upstream may be in flight at the next termination too. A request is the cause if it was in
//! flight at several terminations, each time in a run that began after the previous termination; if none
//! of its runs completed in between; and if no other request explains the same terminations.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::held::HeldTable;
use super::parts::PartTable;
use super::{Decision, EndSeen, EntryClock, Held, Hold, Holds, MAX_LISTED, QuarantineList};
use crate::digest::RequestDigest;
use crate::message::Stamp;

/// The number of terminations after which a request is held. Each must be in a run that began after the
/// previous termination.
const MIN_ENDS: usize = 3;

/// The minimum time between the first and the last of these terminations; if they are closer together,
/// one more is needed. Within a shorter time a harmless request that is retried may be in flight at the
/// first terminations of several harmful ones that are not yet suspected.
const MIN_SPAN: Duration = Duration::from_secs(1);

/// By how many terminations a request must stand out: any other request was in flight at this many fewer
/// of them, and no other suspect explains this many. More than one, because a report may be lost.
const MIN_MARGIN: usize = 2;

/// The number of terminations after which a request is held even if it does not stand out, as when
/// another request was in flight at the same ones.
const MIN_ENDS_AMBIGUOUS: usize = 5;

/// The number of terminations that are needed in addition for a request if a part of prompts explains one
/// of its own: a harmless request that is sent on may be in flight at several of the part's.
const PART_MARGIN: usize = 1;

/// The number of terminations after which entries report whether a request completes.
const MIN_ENDS_WATCHED: usize = 2;

/// Reports of the same upstream within this time are of one termination: its next incarnation takes
/// longer to start.
const SAME_END_WINDOW: Duration = Duration::from_millis(1_500);

/// The delay between the first report of a termination and the decision on its cause. Meanwhile other
/// entries report what they had in flight there, and which suspects completed.
const DECISION_DELAY: Duration = Duration::from_millis(300);

/// The uncertainty in the order of events that two entries observed: a run that seems to have begun
/// within this time after a termination may have begun before it, because messages are delayed.
const ORDER_UNCERTAINTY: Duration = Duration::from_millis(300);

/// How long a termination is remembered.
const END_RETENTION: Duration = Duration::from_secs(600);

/// The maximum number of terminations that are remembered.
const MAX_ENDS: usize = 512;

/// The maximum number of runs that are remembered, over all terminations.
const MAX_RUNS: usize = 16_384;

/// A run that was in flight when its upstream terminated.
#[derive(Clone, Copy, Debug)]
struct Run {
    end: u64,
    began: Instant,
    ended: Instant,
    /// How long before the termination it was sent, in ms.
    age: u64,
    /// The time of the termination by the clock of the entry that observed it.
    clock: Option<EntryClock>,
}

impl Run {
    /// Returns whether it began after the termination of `other`: at least `order` after it, if two
    /// entries observed them. One entry's times are whole ms, and it sends a retry within the ms of the
    /// loss; a retry that is lost within that ms as well met an upstream that was ending already.
    fn follows(&self, other: &Run, order: Duration) -> bool {
        match (self.clock, other.clock) {
            (Some(own), Some(its)) if own.incarnation == its.incarnation => {
                own.at_ms >= its.at_ms + self.age.max(1)
            }
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
    /// When the cause is decided; `None` once that is done.
    due: Option<Instant>,
    /// The request that caused the termination, once it is known.
    cause: Option<RequestDigest>,
}

/// The leader's table of terminations, of suspected requests and of held ones.
#[derive(Debug, Default)]
pub struct QuarantineTable {
    ends: VecDeque<End>,
    runs: HashMap<RequestDigest, Vec<Run>>,
    held: HeldTable,
    /// Suspected requests: entries report whether they complete.
    watched: HashSet<RequestDigest>,
    /// The parts of prompts that were in flight at terminations.
    parts: PartTable,
    last_number: u64,
    run_count: usize,
}

impl QuarantineTable {
    /// Records the termination of an upstream, as an entry observed it.
    pub fn record_end(&mut self, seen: &EndSeen, now: Instant) -> Vec<Decision> {
        let ended = ms_before(now, seen.ago_ms);
        self.evict_ends(now);
        let at = self.find_or_add_end(&seen.upstream, ended, now);
        let (number, ended) = (self.ends[at].number, self.ends[at].at);
        for run in &seen.runs {
            if self.run_count >= MAX_RUNS {
                break;
            }
            if self.ends[at].runs.insert(run.digest) {
                let began = ms_before(ended, run.age_ms);
                let (age, clock) = (run.age_ms.into(), seen.clock);
                let run_seen = Run { end: number, began, ended, age, clock };
                self.runs.entry(run.digest).or_default().push(run_seen);
                self.run_count += 1;
                self.update_watched(run.digest);
            }
        }
        self.parts.record_end(number, ended, seen, now);
        let requests = seen.runs.iter().map(|it| it.digest);
        let suspects = requests.chain(seen.parts.iter().map(|it| it.part));
        let known = suspects.into_iter().find(|it| self.held.contains(it));
        if let Some(digest) = known {
            let is_new = self.ends[at].cause.is_none();
            self.ends[at].cause = Some(digest);
            self.clear_bystanders(digest);
            return if is_new { self.held.record_repeat(digest, now) } else { Vec::new() };
        }
        if let Some(digest) = self.ends[at].cause {
            self.clear_bystanders(digest);
        }
        Vec::new()
    }

    /// Decides on the causes of the terminations whose decision is due. To be called periodically.
    pub fn decide_due(&mut self, now: Instant) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for at in 0..self.ends.len() {
            if self.ends[at].due.is_none_or(|it| now < it) {
                continue;
            }
            self.ends[at].due = None;
            if self.ends[at].cause.is_none() {
                decisions.append(&mut self.decide_cause(at, now));
            }
            if self.ends[at].cause.is_none() {
                decisions.append(&mut self.decide_part(at, now));
            }
        }
        decisions
    }

    /// Returns whether no decision is pending.
    pub fn is_decided(&self) -> bool {
        self.ends.iter().all(|it| it.due.is_none())
    }

    /// Records that a request completed: it is not the cause of the terminations during its runs.
    pub fn record_completion(&mut self, digest: RequestDigest, now: Instant) -> Vec<Decision> {
        self.clear(digest);
        self.parts.record_completion(digest);
        match self.held.release(digest, now) {
            true => vec![Decision::Released(digest)],
            false => Vec::new(),
        }
    }

    /// Handles an entry's request to send a held request once, as a trial.
    pub fn request_trial(
        &mut self,
        digest: RequestDigest,
        entry: SocketAddr,
        now: Instant,
    ) -> Vec<Decision> {
        self.held.request_trial(digest, entry, now)
    }

    /// Adds the requests that a previous leader held; returns whether any of them is new.
    pub fn merge_known(&mut self, known: &[Held], now: Instant) -> bool {
        self.held.merge_known(known, now)
    }

    /// Adds the requests that are stored as held, and are not known here; returns whether there are any.
    /// `clock_ms` is the time of day, in Unix ms.
    pub fn load(&mut self, stored: &Holds, now: Instant, clock_ms: u64) -> bool {
        self.held.load(stored, now, clock_ms)
    }

    /// Returns what of the held requests is not stored yet, and which are stored and not held any more.
    pub fn unstored(
        &mut self,
        stored: &Holds,
        now: Instant,
        clock_ms: u64,
    ) -> (Vec<Hold>, Vec<RequestDigest>) {
        self.held.unstored(stored, now, clock_ms)
    }

    /// Clears the table, after a change of the leader.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns the list to send to entries.
    pub fn list(&self, stamp: Stamp, now: Instant) -> QuarantineList {
        QuarantineList { stamp, held: self.held.list(now), watched: self.watched() }
    }

    fn watched(&self) -> Vec<RequestDigest> {
        let watched = self.watched.iter().copied().chain(self.parts.watched());
        let watched = watched.filter(|it| !self.held.contains(it));
        let mut watched: Vec<RequestDigest> = watched.collect();
        watched.sort_unstable();
        watched.truncate(MAX_LISTED);
        watched
    }

    /// Adds a request to the watched ones, or removes it, by the number of its terminations.
    fn update_watched(&mut self, digest: RequestDigest) {
        if self
            .runs
            .get(&digest)
            .is_some_and(|it| count_sequential(it, Duration::ZERO) >= MIN_ENDS_WATCHED)
        {
            self.watched.insert(digest);
        } else {
            self.watched.remove(&digest);
        }
    }

    /// Returns the index of the termination that a report belongs to, and adds it if it is new.
    fn find_or_add_end(&mut self, upstream: &str, ended: Instant, now: Instant) -> usize {
        let same = |it: &End| {
            let apart = ended.saturating_duration_since(it.at);
            it.upstream == upstream
                && apart.max(it.at.saturating_duration_since(ended)) < SAME_END_WINDOW
        };
        if let Some(at) = self.ends.iter().rposition(same) {
            return at;
        }
        self.last_number += 1;
        self.ends.push_back(End {
            number: self.last_number,
            upstream: upstream.to_owned(),
            at: ended,
            runs: HashSet::new(),
            due: Some(now + DECISION_DELAY),
            cause: None,
        });
        self.ends.len() - 1
    }

    /// Holds the request that caused a termination and earlier ones, if the evidence is sufficient.
    fn decide_cause(&mut self, at: usize, now: Instant) -> Vec<Decision> {
        let runs = self.ends[at].runs.iter();
        let mut suspects: Vec<(usize, RequestDigest)> = runs
            .map(|it| {
                (self.runs.get(it).map_or(0, |it| count_sequential(it, ORDER_UNCERTAINTY)), *it)
            })
            .collect();
        suspects.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&(most, digest)) = suspects.first() else { return Vec::new() };
        let stands_out = || {
            most >= self.max_shared_ends(digest) + MIN_MARGIN
                && self.unexplained_ends(digest) >= MIN_MARGIN
        };
        let margin = if self.is_explained_by_part(digest) { PART_MARGIN } else { 0 };
        let (least, ambiguous) = (self.min_ends(digest) + margin, MIN_ENDS_AMBIGUOUS + margin);
        if most < least || (most < ambiguous && !stands_out()) {
            return Vec::new();
        }
        let ends = self.runs.get(&digest).map_or(0, Vec::len) as u32;
        for end in self.ends.iter_mut().filter(|it| it.runs.contains(&digest)) {
            end.cause = Some(digest);
        }
        self.hold(digest, ends, now);
        vec![Decision::Held(digest, ends)]
    }

    /// Holds the part of prompts that caused a termination and earlier ones, if the evidence is
    /// sufficient.
    fn decide_part(&mut self, at: usize, now: Instant) -> Vec<Decision> {
        let Some((part, ends)) = self.parts.cause_of(self.ends[at].number) else {
            return Vec::new();
        };
        let numbers = self.parts.ends_of(part);
        for end in self.ends.iter_mut().filter(|it| numbers.contains(&it.number)) {
            end.cause = Some(part);
        }
        self.hold(part, ends, now);
        vec![Decision::PartHeld(part, ends)]
    }

    /// Holds the cause of some terminations.
    fn hold(&mut self, cause: RequestDigest, ends: u32, now: Instant) {
        self.held.hold(cause, ends, now);
        self.clear_bystanders(cause);
    }

    /// Returns how many terminations are enough to hold a request.
    fn min_ends(&self, digest: RequestDigest) -> usize {
        let ends = || self.runs.get(&digest).into_iter().flatten().map(|it| it.ended);
        let apart = ends().max().zip(ends().min()).map(|(last, first)| last - first);
        if apart.is_some_and(|it| it >= MIN_SPAN) { MIN_ENDS } else { MIN_ENDS + 1 }
    }

    /// Returns at how many of a request's terminations the same other one was in flight, at most.
    fn max_shared_ends(&self, digest: RequestDigest) -> usize {
        let mut shared: HashMap<RequestDigest, usize> = HashMap::new();
        let ends = self.ends.iter().filter(|it| it.runs.contains(&digest));
        for other in ends.flat_map(|it| &it.runs).filter(|it| **it != digest) {
            *shared.entry(*other).or_default() += 1;
        }
        shared.into_values().max().unwrap_or(0)
    }

    /// Returns whether a suspected part of prompts explains a termination of a request.
    fn is_explained_by_part(&self, digest: RequestDigest) -> bool {
        let numbers: HashSet<u64> =
            self.runs.get(&digest).into_iter().flatten().map(|it| it.end).collect();
        numbers.iter().any(|it| self.parts.explains(*it, &numbers))
    }

    /// Returns how many of a request's terminations no other suspect explains. Another suspect explains
    /// one if it also has terminations without this request. Without this check a harmless request that
    /// is retried would be held while several harmful ones are active, since it is in flight at
    /// terminations of each.
    fn unexplained_ends(&self, digest: RequestDigest) -> usize {
        let own = |it: &&End| it.runs.contains(&digest);
        let numbers: HashSet<u64> = self.ends.iter().filter(own).map(|it| it.number).collect();
        let explains = |other: &RequestDigest| {
            let runs = self.runs.get(other).map_or(&[][..], Vec::as_slice);
            let elsewhere = runs.iter().any(|it| !numbers.contains(&it.end));
            *other != digest
                && elsewhere
                && count_sequential(runs, Duration::ZERO) >= MIN_ENDS_WATCHED
        };
        let own_ends = self.ends.iter().filter(own);
        let unexplained = own_ends.filter(|it| !it.runs.iter().any(explains));
        unexplained.filter(|it| !self.parts.explains(it.number, &numbers)).count()
    }

    /// Removes the terminations that one request caused from the evidence against all others.
    fn clear_bystanders(&mut self, cause: RequestDigest) {
        let caused = self.ends.iter().filter(|it| it.cause == Some(cause));
        let others = |end: &End| {
            let others = end.runs.iter().filter(|it| **it != cause).copied();
            (end.number, others.collect::<Vec<_>>())
        };
        let caused: Vec<_> = caused.map(others).collect();
        for (end, others) in caused {
            others.into_iter().for_each(|it| self.remove_run(it, end));
            self.parts.remove_end(end, Some(cause));
        }
    }

    /// Removes the record that a request was in flight at a termination.
    fn remove_run(&mut self, digest: RequestDigest, end: u64) {
        let Some(runs) = self.runs.get_mut(&digest) else { return };
        let old_len = runs.len();
        runs.retain(|it| it.end != end);
        self.run_count -= old_len - runs.len();
        if runs.is_empty() {
            self.runs.remove(&digest);
        }
        self.update_watched(digest);
    }

    /// Removes all evidence against a request.
    fn clear(&mut self, digest: RequestDigest) {
        if let Some(runs) = self.runs.remove(&digest) {
            self.run_count -= runs.len();
        }
        self.watched.remove(&digest);
        for end in &mut self.ends {
            end.runs.remove(&digest);
            if end.cause == Some(digest) {
                end.cause = None;
            }
        }
    }

    /// Evicts terminations that are too old, or the oldest if there are too many.
    fn evict_ends(&mut self, now: Instant) {
        let is_old = |it: &End| now.saturating_duration_since(it.at) > END_RETENTION;
        while self.ends.front().is_some_and(is_old)
            || self.ends.len() >= MAX_ENDS
            || (self.run_count >= MAX_RUNS && self.ends.len() > 1)
        {
            let Some(end) = self.ends.pop_front() else { return };
            end.runs.into_iter().for_each(|it| self.remove_run(it, end.number));
            self.parts.remove_end(end.number, None);
        }
    }
}

/// Counts the runs that follow one another, each begun after the termination of the one before.
fn count_sequential(runs: &[Run], order: Duration) -> usize {
    let mut runs = runs.to_vec();
    runs.sort_unstable_by_key(|it| it.ended);
    let mut previous: Option<Run> = None;
    let mut count = 0;
    for run in runs {
        if previous.is_none_or(|it| run.follows(&it, order)) {
            previous = Some(run);
            count += 1;
        }
    }
    count
}

/// Returns the time `ms` before `now`, or `now` if the clock doesn't reach back that far.
pub(super) fn ms_before(now: Instant, ms: u32) -> Instant {
    now.checked_sub(Duration::from_millis(ms.into())).unwrap_or(now)
}
