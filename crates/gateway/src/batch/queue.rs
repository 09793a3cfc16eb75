//! Decides which pieces go into the next call, and where. Time is passed in; no I/O.

mod piece;
mod record;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::plan::BatchSpec;

pub use self::piece::{JobKey, Piece};
use self::record::Record;

/// Results from this size on are worth waiting for a maker in the domain that uses them, in bytes.
pub(crate) const LARGE: u64 = 200_000;

/// How much sooner than it must a piece leaves the wait for a maker in its domain.
const DOMAIN_MARGIN: Duration = Duration::from_millis(200);

/// The ranks that are told apart in the backlog; lower ones count as the last.
pub const RANKS: usize = 10;

/// How much of the announced throughput is reached with calls that are not full and pauses between
/// them, in the mean of days under load.
const EFFICIENCY: f64 = 0.8;

/// The weight of the latest call in what calls take.
const TOOK_WEIGHT: f64 = 0.1;

/// How long an upstream that lost a call gets no other. A process that ends closes its connections and its port
/// some ms apart; pieces would be lost again in between.
const ENDING: Duration = Duration::from_millis(150);

/// Idle upstreams up to this share of all, and one at least, wait for fuller calls. What goes wrong
/// otherwise: the last idle one takes a call of a piece or two, and what comes a moment later waits for
/// the end of a whole call.
const LAST_SHARE: f64 = 0.25;

/// How long they wait, as a share of the fixed time of a call.
const MORE_SHARE: f64 = 0.25;

/// An upstream this many times slower than announced gets work only where it ends soonest.
const SLOW: f64 = 1.5;

/// An upstream as the queue sees it.
#[derive(Clone, Debug)]
pub struct Lane {
    /// Its id.
    pub id: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Whether it may get a call.
    pub open: bool,
}

/// A call that should go out now.
#[derive(Clone, Debug)]
pub struct NextCall {
    /// The upstream.
    pub upstream: Arc<str>,
    /// The pieces.
    pub pieces: Vec<Piece>,
    /// How long it is likely to take.
    pub expected: Duration,
}

/// The pieces of one service.
#[derive(Debug)]
pub struct Queue {
    spec: BatchSpec,
    waiting: Vec<Piece>,
    /// The size of the result of the piece that came last, in bytes.
    size: u64,
    /// What whole calls took of late.
    took: Option<Duration>,
    records: HashMap<Arc<str>, Record>,
}

impl Queue {
    /// Makes an empty queue.
    pub fn new(spec: BatchSpec) -> Self {
        Self { spec, waiting: Vec::new(), size: 0, took: None, records: HashMap::new() }
    }

    /// Takes another description of the service.
    pub fn set_spec(&mut self, spec: BatchSpec) {
        self.spec = spec;
    }

    /// The number of pieces that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes a piece.
    pub fn push(&mut self, piece: Piece) {
        self.size = piece.size;
        self.waiting.push(piece);
    }

    /// Whether a piece of a job waits.
    pub fn has(&self, job: JobKey) -> bool {
        self.waiting.iter().any(|it| it.job == job)
    }

    /// Drops the pieces of a job.
    pub fn cancel(&mut self, job: JobKey) {
        self.waiting.retain(|it| it.job != job);
    }

    /// Removes the pieces whose deadline has passed.
    pub fn take_expired(&mut self, now: Instant) -> Vec<Piece> {
        self.waiting.extract_if(.., |it| it.deadline <= now).collect()
    }

    /// Removes the pieces that can't be made before their deadline, for `lanes` upstreams work on
    /// those before them. What goes wrong otherwise: in a long burst late requests wait for nothing
    /// until their callers leave, who could have tried again, and what was made for them is lost.
    pub fn take_infeasible(&mut self, lanes: usize, now: Instant) -> Vec<Piece> {
        if lanes == 0 {
            return Vec::new();
        }
        self.sort(now);
        let (full, last) = (self.plain(self.spec.batch), self.plain(1));
        let per_turn = lanes * self.spec.batch.max(1);
        let mut ahead = 0;
        let infeasible = |piece: &mut Piece| {
            let turns = ahead / per_turn;
            let misses = now + full * turns as u32 + last > piece.deadline;
            ahead += usize::from(!misses);
            misses
        };
        self.waiting.extract_if(.., infeasible).collect()
    }

    /// Removes all pieces of jobs that `dead` tells.
    pub fn drop_jobs(&mut self, dead: impl Fn(JobKey) -> bool) {
        self.waiting.retain(|it| !dead(it.job));
    }

    /// For each rank, how long a piece is likely to wait for those of its rank and above.
    pub fn backlog(&self, lanes: usize) -> [Duration; RANKS] {
        self.waits(lanes, |_| true)
    }

    /// As [`backlog`](Self::backlog), for a piece that can be in time: those that can't go after it. What
    /// goes wrong with all of them: after a burst, requests that would be in time are refused for as long
    /// as late ones wait.
    pub fn timely_backlog(&self, lanes: usize, now: Instant) -> [Duration; RANKS] {
        let ready = self.ready(now);
        self.waits(lanes, |it| it.due > ready)
    }

    fn waits(&self, lanes: usize, counts_for: impl Fn(&Piece) -> bool) -> [Duration; RANKS] {
        let mut counts = [0usize; RANKS];
        for piece in self.waiting.iter().filter(|it| counts_for(it)) {
            counts[usize::from(piece.rank).min(RANKS - 1)] += 1;
        }
        let call = self.plain(self.spec.batch).as_secs_f64();
        let rate = lanes.max(1) as f64 * self.spec.batch as f64 / call.max(0.001) * EFFICIENCY;
        let mut before = 0;
        counts.map(|count| {
            before += count;
            Duration::from_secs_f64(before as f64 / rate)
        })
    }

    /// What a piece needs that goes before all others: a call as they are now, and the wait until the
    /// next of `lanes` upstreams is done with one.
    pub fn need(&self, lanes: usize) -> Duration {
        let call = self.took.unwrap_or_else(|| self.plain(1));
        call + call / lanes.max(1) as u32
    }

    /// Chooses the next call, if one should go out now.
    pub fn next(&mut self, lanes: &[Lane], now: Instant) -> Option<NextCall> {
        if self.waiting.is_empty() {
            return None;
        }
        self.sort(now);
        let open: Vec<&Lane> = lanes.iter().filter(|it| it.open).collect();
        let mut idle: Vec<(&Lane, f64)> = Vec::new();
        for lane in &open {
            let record = self.records.entry(Arc::clone(&lane.id)).or_default();
            record.expire(now);
            if record.is_idle(now) {
                idle.push((lane, record.speed(now)));
            }
        }
        idle.sort_by(|a, b| a.1.total_cmp(&b.1));
        let last = idle.len() as f64 <= (open.len() as f64 * LAST_SHARE).max(1.0);
        for (lane, speed) in idle {
            let chosen = self.choose(lane, &open, now);
            if chosen.is_empty() || last && self.waits_for_more(&chosen, now) {
                continue;
            }
            let plain = self.plain(chosen.len());
            let expected = plain.mul_f64(speed);
            if speed > SLOW && self.ends_sooner(&open, lane, plain, now + expected, now) {
                continue;
            }
            return Some(self.take(lane, &chosen, expected, now));
        }
        None
    }

    /// Notes that a call of `pieces` has ended; `took` tells its time where it was a whole one.
    pub fn ended(&mut self, upstream: &str, pieces: usize, took: Option<Duration>, now: Instant) {
        let plain = self.plain(pieces);
        let Some(record) = self.records.get_mut(upstream) else { return };
        record.busy = None;
        if let Some(took) = took {
            record.learn(plain, took, now);
            let before = self.took.unwrap_or(took);
            self.took = Some(before.mul_f64(1.0 - TOOK_WEIGHT) + took.mul_f64(TOOK_WEIGHT));
        }
    }

    /// Forgets what an upstream kept and how fast it was: it has started again.
    pub fn reborn(&mut self, upstream: &str) {
        if let Some(record) = self.records.get_mut(upstream) {
            *record = record.reborn();
        }
    }

    /// Takes what an upstream had free some hundred ms ago, before this queue's first call to it: the
    /// rest is taken by results of other owners.
    ///
    /// Later reports are no use: they may still count results that were given up since. Taken as they
    /// came, each upstream would seem full with this queue's own results, and calls would be half full.
    pub fn set_free(&mut self, upstream: &str, free: u64, now: Instant) {
        let until = now + self.spec.ttl;
        let taken = self.spec.room.saturating_sub(free);
        self.records.entry(upstream.into()).or_default().set_foreign(taken, until);
    }

    /// The bytes of others' results that an upstream keeps.
    pub fn foreign(&self, upstream: &str, now: Instant) -> u64 {
        self.records.get(upstream).map_or(0, |it| it.foreign(now))
    }

    /// Notes a result that an upstream keeps.
    pub fn kept(&mut self, upstream: &str, size: u64, handle: Arc<str>, now: Instant) {
        let until = now + self.spec.ttl;
        if let Some(record) = self.records.get_mut(upstream) {
            record.keep(size, handle, until);
        }
    }

    /// Notes that an upstream dropped results, as it was told to. Those that this queue doesn't know were
    /// of another owner, and about as large as what came last.
    pub fn freed(&mut self, upstream: &str, handles: &[Arc<str>]) {
        if let Some(record) = self.records.get_mut(upstream) {
            record.remove(handles, self.size);
        }
    }

    /// Notes that an upstream turned a call away because calls of others wait there.
    pub fn full(&mut self, upstream: &str, now: Instant) {
        self.rest(upstream, now + self.spec.call);
    }

    /// Notes that an upstream lost a call: it may have ended, and be about to close its port.
    pub fn lost(&mut self, upstream: &str, now: Instant) {
        self.rest(upstream, now + ENDING);
    }

    fn rest(&mut self, upstream: &str, until: Instant) {
        if let Some(record) = self.records.get_mut(upstream) {
            record.rests = Some(until);
        }
    }

    /// Notes that an upstream had no room for a result: it keeps some that this queue doesn't know
    /// of, from an owner before or with another size.
    pub fn crowded(&mut self, upstream: &str, size: u64, now: Instant) {
        if let Some(record) = self.records.get_mut(upstream) {
            record.crowd(size, now);
        }
    }

    /// Forgets upstreams that are gone.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.records.retain(|id, record| record.busy.is_some() || known(id));
    }

    /// When the next call ends, which is as long as what waits makes it; a piece that is due sooner counts
    /// as late. What goes wrong otherwise: under overload those whose results come a little too late go
    /// before those that can still be in time, until all come a little too late.
    fn ready(&self, now: Instant) -> Instant {
        now + self.plain(self.spec.batch.min(self.waiting.len()))
    }

    /// Puts the waiting pieces into their order.
    fn sort(&mut self, now: Instant) {
        let ready = self.ready(now);
        self.waiting.sort_by_key(|it| it.urgency(ready));
    }

    /// The announced time of a call with `pieces`.
    fn plain(&self, pieces: usize) -> Duration {
        self.spec.call + self.spec.item * pieces as u32
    }

    /// The pieces for a call to `lane`, by their place in the queue.
    fn choose(&self, lane: &Lane, open: &[&Lane], now: Instant) -> Vec<usize> {
        let record = self.records.get(&lane.id);
        let mut room = record.map_or(0, |it| it.free(self.spec.room, now));
        let mut chosen = Vec::new();
        let mut ahead: Vec<(&Arc<str>, usize)> = Vec::new();
        for (at, piece) in self.waiting.iter().enumerate() {
            if chosen.len() >= self.spec.batch {
                break;
            }
            let first = chosen.first().map(|it: &usize| &self.waiting[*it]);
            if first.is_some_and(|it| !it.goes_with(piece)) {
                continue;
            }
            if piece.size > room || self.waits_for_domain(piece, lane, open, &mut ahead, now) {
                continue;
            }
            room -= piece.size;
            chosen.push(at);
        }
        chosen
    }

    /// Whether a call that is not full waits for more pieces.
    fn waits_for_more(&self, chosen: &[usize], now: Instant) -> bool {
        let since = chosen.iter().map(|it| self.waiting[*it].since).min();
        let waited = now.saturating_duration_since(since.unwrap_or(now));
        chosen.len() < self.spec.batch && waited < self.spec.call.mul_f64(MORE_SHARE)
    }

    /// Whether a piece is better made in its domain, later: while it can still be in time there,
    /// after those that are `ahead` of it.
    fn waits_for_domain<'a>(
        &self,
        piece: &'a Piece,
        lane: &Lane,
        open: &[&Lane],
        ahead: &mut Vec<(&'a Arc<str>, usize)>,
        now: Instant,
    ) -> bool {
        let Some(domain) = &piece.domain else { return false };
        if piece.weight < LARGE || *domain == lane.domain {
            return false;
        }
        let near = open.iter().filter(|it| it.domain == *domain);
        let busy = near.map(|it| self.records.get(&it.id).and_then(|it| it.busy).unwrap_or(now));
        let busy: Vec<Instant> = busy.collect();
        let Some(first) = busy.iter().min() else { return false };
        let before = match ahead.iter_mut().find(|it| it.0 == domain) {
            Some(known) => {
                known.1 += 1;
                known.1
            }
            None => {
                ahead.push((domain, 0));
                0
            }
        };
        let turns = before / (self.spec.batch * busy.len());
        let call = self.plain(self.spec.batch / 2 + 1);
        let end = *first.max(&now) + call * (turns as u32 + 1);
        end + DOMAIN_MARGIN < piece.due
    }

    /// Whether another upstream would end the same call before `by`, its present one included.
    fn ends_sooner(
        &self,
        open: &[&Lane],
        lane: &Lane,
        plain: Duration,
        by: Instant,
        now: Instant,
    ) -> bool {
        open.iter().filter(|it| it.id != lane.id).any(|it| {
            let record = self.records.get(&it.id);
            let speed = record.map_or(1.0, |it| it.speed(now));
            let busy = record.and_then(|it| it.busy).unwrap_or(now);
            busy.max(now) + plain.mul_f64(speed) < by
        })
    }

    fn take(
        &mut self,
        lane: &Lane,
        chosen: &[usize],
        expected: Duration,
        now: Instant,
    ) -> NextCall {
        let mut pieces = Vec::with_capacity(chosen.len());
        for at in chosen.iter().rev() {
            let mut piece = self.waiting.remove(*at);
            piece.sent += 1;
            pieces.push(piece);
        }
        pieces.reverse();
        let record = self.records.entry(Arc::clone(&lane.id)).or_default();
        record.busy = Some(now + expected);
        NextCall { upstream: Arc::clone(&lane.id), pieces, expected }
    }
}
