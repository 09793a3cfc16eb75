//! Decides which pieces go into the next call, and to which upstream. Time is passed in; there is
//! no I/O.

mod account;
mod feasible;
mod jobs;
mod order;
mod piece;
mod rates;
mod reservation;
mod selection;
mod sizes;
mod upstream_state;
mod waits;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::dialect::FreeSpace;
use crate::plan::BatchSpec;

use self::account::Reported;
pub use self::feasible::Lack;
use self::feasible::Overload;
use self::order::{Capacity, Standing};
pub use self::piece::{JobKey, Piece};
use self::rates::{Arrivals, Hold};
use self::selection::{Options, Selected};
use self::sizes::Sizes;
use self::upstream_state::UpstreamState;
pub use self::waits::BookedWork;

/// The size in bytes from which a result is worth waiting for an upstream in the failure domain
/// that uses it.
pub(crate) const LARGE_RESULT_BYTES: u64 = 200_000;

/// A piece waits for an upstream in its failure domain only if the result would be ready this long
/// before it is due.
const LOCAL_WAIT_MARGIN: Duration = Duration::from_millis(200);

/// The number of ranks that the backlog distinguishes; lower ranks count as the last one.
pub const RANKS: usize = 10;

/// The share of the announced throughput that is reached on average under load: calls are not
/// always full, and there are pauses between them.
const EFFICIENCY: f64 = 0.8;

/// The weight of the latest call in the moving average of call times.
const CALL_TIME_WEIGHT: f64 = 0.1;

/// How long an upstream that lost a call gets no other one. A process that shuts down closes its
/// connections and its listening port some milliseconds apart, and pieces sent in between would be
/// lost again.
const LOST_CALL_BACKOFF: Duration = Duration::from_millis(150);

/// When at most this share of the available upstreams is idle, or only one is, a call that is not
/// full waits for more pieces. Otherwise the last idle upstream takes a call of a piece or two, and
/// pieces that arrive a moment later wait for a whole call to end.
const SCARCE_IDLE_SHARE: f64 = 0.25;

/// How long a call that is not full waits for more pieces, as a share of the fixed time of a call.
const FILL_WAIT_SHARE: f64 = 0.25;

/// An upstream that is this many times slower than announced gets a call only if no other would end
/// it sooner.
const SLOWDOWN_LIMIT: f64 = 1.5;

/// How much longer than usual a call is expected to take where its pieces would be just in time.
const END_MARGIN: f64 = 1.05;

/// How long the largest result size is remembered.
const LARGEST_MEMORY: Duration = Duration::from_secs(10);

/// An upstream that calls can be sent to.
#[derive(Clone, Debug)]
pub struct Target {
    /// The upstream's id.
    pub id: Arc<str>,
    /// The upstream's failure domain.
    pub domain: Arc<str>,
    /// Whether the upstream may get a call.
    pub available: bool,
    /// The most pieces that it may get now, below the size of a full call while it is cold.
    pub limit: usize,
}

/// A call that should be sent now.
#[derive(Clone, Debug)]
pub struct NextCall {
    /// The upstream to send the call to.
    pub upstream: Arc<str>,
    /// The pieces in the call.
    pub pieces: Vec<Piece>,
    /// The expected duration of the call.
    pub expected: Duration,
}

/// The waiting pieces of one section of a service, and what is known of its upstreams.
#[derive(Debug)]
pub struct Queue {
    spec: BatchSpec,
    waiting: Vec<Piece>,
    /// The result size in bytes of the piece that was queued last.
    last_size: u64,
    /// The moving average of the times of completed calls.
    call_time: Option<Duration>,
    states: HashMap<Arc<str>, UpstreamState>,
    /// The jobs with waiting pieces of which other pieces were sent.
    begun: HashSet<JobKey>,
    /// The latest time that was passed in.
    clock: Option<Instant>,
    /// How large results are.
    sizes: Sizes,
    /// For how long results are stored.
    hold: Hold,
    /// The pieces that arrive and can be in time.
    arrivals: Arrivals,
    overload: Overload,
    /// The largest result size that was queued of late, and when.
    largest: Option<(u64, Instant)>,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new(spec: BatchSpec) -> Self {
        Self {
            spec,
            waiting: Vec::new(),
            last_size: 0,
            call_time: None,
            states: HashMap::new(),
            begun: HashSet::new(),
            clock: None,
            sizes: Sizes::default(),
            hold: Hold::default(),
            arrivals: Arrivals::default(),
            overload: Overload::default(),
            largest: None,
        }
    }

    /// Replaces the batch settings of the service.
    pub fn set_spec(&mut self, spec: BatchSpec) {
        self.spec = spec;
    }

    /// Returns the number of waiting pieces.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no piece is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a piece.
    pub fn push(&mut self, piece: Piece) {
        self.last_size = piece.result_bytes;
        let (queued_at, size) = (piece.queued_at, self.expected_size(piece.result_bytes));
        let old = |it: &(u64, Instant)| queued_at.saturating_duration_since(it.1) >= LARGEST_MEMORY;
        if self.largest.is_none_or(|it| size >= it.0 || old(&it)) {
            self.largest = Some((size, queued_at));
        }
        if piece.sends > 0 {
            self.begun.insert(piece.job);
        }
        if piece.sends == 0 && piece.due > queued_at + self.nominal_time(1) {
            self.arrivals.record(piece.rank, size, queued_at);
        }
        self.waiting.push(piece);
    }

    /// Removes and returns the pieces whose deadline has passed.
    pub fn take_expired(&mut self, now: Instant) -> Vec<Piece> {
        let expired: Vec<Piece> = self.waiting.extract_if(.., |it| it.deadline <= now).collect();
        expired.iter().for_each(|it| self.forget_begun(it.job));
        expired
    }

    /// Chooses the next call, if one should be sent now.
    pub fn next_call(&mut self, targets: &[Target], now: Instant) -> Option<NextCall> {
        if self.waiting.is_empty() {
            return None;
        }
        self.tick(now);
        let available: Vec<&Target> = targets.iter().filter(|it| it.available).collect();
        let mut idle: Vec<(usize, f64)> = Vec::new();
        for (at, target) in available.iter().enumerate() {
            let state = self.states.entry(Arc::clone(&target.id)).or_default();
            if state.is_idle(now) {
                idle.push((at, state.slowdown(now)));
            }
        }
        if idle.is_empty() {
            return None;
        }
        self.sort_by_urgency(available.len(), now);
        idle.sort_by(|a, b| a.1.total_cmp(&b.1));
        let last = idle.len() as f64 <= (available.len() as f64 * SCARCE_IDLE_SHARE).max(1.0);
        let options = Options::new(self, &available, &idle, now);
        for (target, reserved) in available.iter().zip(&options.reserved) {
            let Some(state) = self.states.get_mut(&target.id) else { continue };
            match reserved {
                Some(_) => state.record_shortage(now),
                None => state.clear_reservation(),
            }
        }
        for (at, slowdown) in idle {
            let selected = self.select(&options, at, now);
            let chosen = &selected.chosen;
            if chosen.is_empty() || last && self.waits_for_pieces(chosen, now) {
                continue;
            }
            let target = available[at];
            let nominal = self.nominal_time(chosen.len());
            let expected = nominal.mul_f64(slowdown);
            if slowdown > SLOWDOWN_LIMIT
                && self.ends_sooner(&available, target, nominal, now + expected, now)
            {
                continue;
            }
            let reserved = options.reserved[at].map(|it| options.sizes[it.at]);
            return Some(self.take_call(target, selected, reserved, expected, now));
        }
        None
    }

    /// Returns the expected size of a result.
    fn expected_size(&self, announced: u64) -> u64 {
        self.sizes.expected(announced, self.spec.space_bytes)
    }

    /// Takes note of the time, and removes results that have expired.
    pub fn tick(&mut self, now: Instant) {
        self.clock = self.clock.max(Some(now));
        for state in self.states.values_mut() {
            for removed in state.account.expire(now) {
                self.hold.record(&removed, now);
            }
        }
    }

    /// Records that a call of `pieces` has ended. `took` is its duration if it completed.
    pub fn call_ended(
        &mut self,
        upstream: &str,
        pieces: usize,
        took: Option<Duration>,
        now: Instant,
    ) {
        let nominal = self.nominal_time(pieces);
        let Some(state) = self.states.get_mut(upstream) else { return };
        state.busy_until = None;
        state.account.call_ended(took.is_none(), now, now + self.spec.ttl);
        state.wants_report |= took.is_none();
        if let Some(took) = took {
            state.record_call(nominal, took, now);
            let before = self.call_time.unwrap_or(took);
            self.call_time =
                Some(before.mul_f64(1.0 - CALL_TIME_WEIGHT) + took.mul_f64(CALL_TIME_WEIGHT));
        }
    }

    /// Discards the stored results and the slowdown of an upstream that has restarted.
    pub fn restarted(&mut self, upstream: &str) {
        if let Some(state) = self.states.get_mut(upstream) {
            *state = state.restarted();
        }
    }

    /// Records the free bytes that an upstream reported, as of some hundred milliseconds ago. What
    /// the results of this queue do not explain is used by other owners, or by results that are
    /// larger than announced. Results stored or released since then count on top. Returns the bytes
    /// that the upstream has in use beyond the account.
    pub fn set_free_bytes(
        &mut self,
        upstream: &str,
        free: impl Into<FreeSpace>,
        now: Instant,
    ) -> u64 {
        let space = self.spec.space_bytes;
        let free = free.into();
        let reported = Reported { taken: space.saturating_sub(free.bytes), error: free.error };
        let state = self.states.entry(upstream.into()).or_default();
        let comparison = state.account.compare(reported, space, now, now + self.spec.ttl);
        state.wants_report = false;
        state.reported = Some(now);
        self.sizes.learn(&comparison);
        state.account.foreign_bytes(now)
    }

    /// Returns the bytes that are free at an upstream, so far as this queue knows.
    pub fn free_bytes(&self, upstream: &str, now: Instant) -> u64 {
        self.states.get(upstream).map_or(0, |it| it.account.free(self.spec.space_bytes, now))
    }

    /// Returns the bytes that results of other owners take at an upstream.
    pub fn foreign_bytes(&self, upstream: &str, now: Instant) -> u64 {
        self.states.get(upstream).map_or(0, |it| it.account.foreign_bytes(now))
    }

    /// Returns whether a report of an upstream's space would correct its account.
    pub fn wants_report(&self, upstream: &str) -> bool {
        self.states.get(upstream).is_some_and(|it| it.wants_report)
    }

    /// Records a result that an upstream stores.
    pub fn result_stored(&mut self, upstream: &str, size: u64, handle: Arc<str>, now: Instant) {
        let until = now + self.spec.ttl;
        let sizes = (size, self.expected_size(size));
        if let Some(state) = self.states.get_mut(upstream) {
            state.account.add(handle, sizes, now, until);
        }
    }

    /// Records that an upstream dropped results as requested. Results that this queue does not know
    /// belonged to another owner; their size is taken to be that of the piece queued last.
    pub fn results_freed(&mut self, upstream: &str, handles: &[Arc<str>]) {
        let size = self.last_size;
        let Some(state) = self.states.get_mut(upstream) else { return };
        let Some(clock) = self.clock else {
            state.account.remove_foreign(handles.len(), size);
            return;
        };
        for removed in state.account.remove(handles, size, clock) {
            self.hold.record(&removed, clock);
        }
    }

    /// Records that an upstream refused a call because calls of others wait there.
    pub fn call_refused(&mut self, upstream: &str, now: Instant) {
        self.call_not_run(upstream);
        self.back_off(upstream, now + self.spec.call);
    }

    /// Records that the call that has failed did not reach the upstream or was refused, so that no
    /// result of it takes space.
    pub fn call_not_run(&mut self, upstream: &str) {
        if let Some(state) = self.states.get_mut(upstream) {
            state.account.call_not_run();
            state.wants_report = false;
        }
    }

    /// Records that an upstream lost a call: it may be shutting down and about to close its port.
    pub fn call_lost(&mut self, upstream: &str, now: Instant) {
        self.back_off(upstream, now + LOST_CALL_BACKOFF);
    }

    fn back_off(&mut self, upstream: &str, until: Instant) {
        if let Some(state) = self.states.get_mut(upstream) {
            state.backoff_until = Some(until);
        }
    }

    /// Records that an upstream had no space for a result: more is in use there than the account
    /// says. Returns by how many bytes the account was wrong at the most.
    pub fn result_refused(&mut self, upstream: &str, size: u64, now: Instant) -> u64 {
        self.sizes.record_refusal(size);
        let size = self.expected_size(size);
        let Some(state) = self.states.get_mut(upstream) else { return 0 };
        state.wants_report = true;
        state.account.record_refusal(size, now)
    }

    /// Discards the state of upstreams that are not `known`, except those with a call in flight.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.states.retain(|id, state| state.busy_until.is_some() || known(id));
    }

    /// Returns when the next call would end, given the number of waiting pieces. A piece that is
    /// due before then counts as late. Otherwise, under overload, pieces whose results come
    /// slightly late go before those that can still be on time, until all are slightly late.
    fn batch_end(&self, now: Instant) -> Instant {
        let call = self.nominal_time(self.spec.batch.min(self.waiting.len()));
        now + call.mul_f64(self.least_slowdown(now).max(1.0) * END_MARGIN)
    }

    /// Sorts the waiting pieces by the order in which `upstreams` make them; returns how each stands.
    fn sort_by_urgency(&mut self, upstreams: usize, now: Instant) -> Vec<Standing> {
        let capacity = self.capacity(upstreams, now);
        order::sort(&mut self.waiting, &self.begun, capacity)
    }

    fn capacity(&self, upstreams: usize, now: Instant) -> Capacity {
        let turn = self.nominal_time(self.spec.batch).mul_f64(self.least_slowdown(now).max(1.0));
        let pieces = upstreams.max(1) * self.spec.batch.max(1);
        let arriving = std::array::from_fn(|rank| self.arrivals.rates(rank, now).0);
        let horizon = self.overload.horizon(now);
        Capacity { end: self.batch_end(now), turn, pieces, arriving, horizon }
    }

    /// Returns the announced time of a call with `pieces`.
    fn nominal_time(&self, pieces: usize) -> Duration {
        self.spec.call + self.spec.item * pieces as u32
    }

    /// Returns whether a call that is not full should wait for more pieces.
    fn waits_for_pieces(&self, chosen: &[usize], now: Instant) -> bool {
        let queued_at = chosen.iter().map(|it| self.waiting[*it].queued_at).min();
        let waited = now.saturating_duration_since(queued_at.unwrap_or(now));
        chosen.len() < self.spec.batch && waited < self.spec.call.mul_f64(FILL_WAIT_SHARE)
    }

    /// Returns whether another upstream would end the same call before `by`, including the call it
    /// works on now.
    fn ends_sooner(
        &self,
        available: &[&Target],
        target: &Target,
        nominal: Duration,
        by: Instant,
        now: Instant,
    ) -> bool {
        available.iter().filter(|it| it.id != target.id).any(|it| {
            let state = self.states.get(&it.id);
            let slowdown = state.map_or(1.0, |it| it.slowdown(now));
            let busy = state.and_then(|it| it.busy_until).unwrap_or(now);
            busy.max(now) + nominal.mul_f64(slowdown) < by
        })
    }

    fn take_call(
        &mut self,
        target: &Target,
        selected: Selected,
        reserved: Option<u64>,
        expected: Duration,
        now: Instant,
    ) -> NextCall {
        let mut chosen = selected.chosen.into_iter().peekable();
        let mut at = 0;
        let is_chosen = |piece: &mut Piece| {
            let found = chosen.next_if_eq(&at).is_some();
            at += 1;
            piece.sends += u32::from(found);
            found
        };
        let pieces: Vec<Piece> = self.waiting.extract_if(.., is_chosen).collect();
        let left: HashSet<JobKey> = self.waiting.iter().map(|it| it.job).collect();
        for piece in &pieces {
            match left.contains(&piece.job) {
                true => self.begun.insert(piece.job),
                false => self.begun.remove(&piece.job),
            };
        }
        let sizes = pieces.iter().map(|it| self.expected_size(it.result_bytes));
        let (bytes, largest) = (sizes.clone().sum(), sizes.max().unwrap_or_default());
        let state = self.states.entry(Arc::clone(&target.id)).or_default();
        state.busy_until = Some(now + expected);
        state.account.call_sent(bytes, self.spec.space_bytes, now);
        state.record_overtaking(largest, selected.overtaking);
        state.reserved = reserved.or(state.reserved);
        NextCall { upstream: Arc::clone(&target.id), pieces, expected }
    }
}
