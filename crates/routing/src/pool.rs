//! A pool: its upstreams, its times, and the capacity that this entry may use.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use types::{PoolName, Priority};

use crate::affinity::PrefixTable;
use crate::budget::Budget;
use crate::clock::{Clock, Micros};
use crate::decisions::DecisionLog;
use crate::eject::Availability;
use crate::estimate::{AtomicF64, Histogram, MovingMean};
use crate::policy::{
    BUDGET_TOKENS_PER_SLOT, DEFAULT_FIRST_BYTE_FACTOR, DEFAULT_FIRST_BYTE_LIMIT_US,
    FIRST_BYTE_FACTOR, MAX_DIGEST_AGE_US, MAX_FIRST_BYTE_LIMIT_US, MIN_BUDGET_TOKENS,
    MIN_FIRST_BYTE_LIMIT_US, MIN_HEDGE_DELAY_US, NO_DIGEST_RATIO, OVERCOMMIT_RATIO,
    PRIORITY_EXTRA_SHARE, Rules, SHARE_SLACK, SILENT_CALLS_PER_DOUBLING, STAGE_HALF_AGE_US,
};
use crate::refusals::Refusals;
use crate::table::{UpstreamView, default_expected};
use crate::work::PoolWork;

/// The number of samples between two readings of the histogram's quantiles.
const QUANTILE_INTERVAL_SAMPLES: u32 = 16;

/// A pool in one version of the service.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) state: Arc<PoolState>,
    pub(crate) upstreams: Vec<Arc<UpstreamView>>,
    /// The name hashes with the indices of their upstreams, sorted by hash.
    name_hashes: Vec<(u32, u32)>,
}

/// The state of a pool, kept across versions of the service.
pub(crate) struct PoolState {
    pub(crate) name: PoolName,
    pub(crate) clock: Arc<Clock>,
    pub(crate) log: Arc<DecisionLog>,
    /// The expected time of a call as the service declares it, in microseconds.
    pub(crate) expected: AtomicF64,
    /// The time of a complete call.
    pub(crate) total: MovingMean,
    /// The ratio of measured to declared stage times.
    pub(crate) slowdown: MovingMean,
    first_bytes: Histogram,
    /// Three times the 99th percentile of the times to the first byte; 0 while unknown.
    first_byte_limit: AtomicU64,
    /// Silent calls since the last complete answer.
    silent_calls: AtomicU32,
    hedge_after: AtomicU64,
    /// The number of calls that the pool's upstreams work on at once.
    pub(crate) capacity: AtomicU32,
    /// The number of these calls that this entry may run.
    pub(crate) limit: AtomicU32,
    /// The number of calls that priority 0 may run in addition to `limit`.
    pub(crate) extra: AtomicU32,
    /// The calls of other entries, as a ratio of the capacity.
    pub(crate) other_load: AtomicF64,
    /// The calls of all entries, as a ratio of the capacity.
    pub(crate) load: AtomicF64,
    pub(crate) budget: Budget,
    pub(crate) prefixes: PrefixTable,
    pub(crate) refusals: Refusals,
    pub(crate) work: Mutex<PoolWork>,
    /// Copies of the counts in `work` by priority, for readers that do not hold the lock.
    pub(crate) running: Counts,
    pub(crate) queued: Counts,
    pub(crate) admitted: Counts,
}

/// The lowest priority.
pub(crate) const LOWEST_PRIORITY: u8 = Priority::COUNT as u8 - 1;

/// Prints only the name. Slots and choices hold a pool, whose thousands of counters would be
/// useless in their output.
impl fmt::Debug for PoolState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PoolState").field("name", &self.name).finish_non_exhaustive()
    }
}

/// Counts by priority.
pub(crate) type Counts = [AtomicU32; Priority::COUNT];

/// Adds the counts of a priority and all higher ones.
pub(crate) fn sum_up_to(counts: &Counts, priority: u8) -> u32 {
    counts[..=usize::from(priority)].iter().map(|it| it.load(Ordering::Relaxed)).sum()
}

/// Adds all counts.
pub(crate) fn sum(counts: &Counts) -> u32 {
    sum_up_to(counts, LOWEST_PRIORITY)
}

impl Pool {
    pub(crate) fn new(state: Arc<PoolState>, upstreams: Vec<Arc<UpstreamView>>) -> Self {
        let name_hashes = upstreams.iter().enumerate();
        let mut name_hashes: Vec<_> =
            name_hashes.map(|(at, it)| (it.state.name_hash, at as u32)).collect();
        name_hashes.sort_unstable();
        Self { state, upstreams, name_hashes }
    }

    /// Returns the upstream with this name hash.
    pub(crate) fn by_name_hash(&self, hash: u32) -> Option<&Arc<UpstreamView>> {
        let at = self.name_hashes.binary_search_by_key(&hash, |it| it.0).ok()?;
        self.upstreams.get(self.name_hashes[at].1 as usize)
    }

    /// Returns the number of upstreams that are ejected or failed recently.
    pub(crate) fn degraded_count(&self) -> usize {
        self.upstreams.iter().filter(|it| it.state.health.is_degraded()).count()
    }

    /// Recomputes capacity and load, and sets the limits of this entry.
    pub(crate) fn refresh(&self, view: &EntryView, now: Micros) {
        let state = &self.state;
        let count = |matches: fn(Availability) -> bool| {
            let matching =
                self.upstreams.iter().filter(|it| matches(it.state.health.availability(now)));
            matching.map(|it| it.spec.capacity).sum::<u32>()
        };
        let available = count(|it| matches!(it, Availability::Available | Availability::Probe));
        let capacity =
            if available > 0 { available } else { count(|it| it != Availability::Leaving) };
        let others = self.upstreams.iter().map(|it| it.state.other_calls.load(Ordering::Relaxed));
        let others = f64::from(others.sum::<u32>());
        let own = f64::from(sum(&state.running));
        state.capacity.store(capacity, Ordering::Relaxed);
        let size = f64::from(capacity.max(1));
        state.other_load.set(others / size);
        state.load.set((others + own) / size);
        state.budget.fill(budget_cap(capacity / view.entries));
        let limit = if view.rules.share { view.limit(capacity, others, own) } else { capacity };
        state.limit.store(limit, Ordering::Relaxed);
        let extra = if view.rules.strong { view.extra(capacity) } else { 0 };
        state.extra.store(extra, Ordering::Relaxed);
    }
}

impl PoolState {
    pub(crate) fn new(
        name: PoolName,
        clock: Arc<Clock>,
        log: Arc<DecisionLog>,
        prefixes: PrefixTable,
        fair: bool,
    ) -> Self {
        Self {
            name,
            clock,
            log,
            expected: default_expected(),
            total: MovingMean::default(),
            slowdown: MovingMean::default(),
            first_bytes: Histogram::default(),
            first_byte_limit: AtomicU64::new(0),
            silent_calls: AtomicU32::new(0),
            hedge_after: AtomicU64::new(0),
            capacity: AtomicU32::new(0),
            limit: AtomicU32::new(0),
            extra: AtomicU32::new(0),
            other_load: AtomicF64::default(),
            load: AtomicF64::default(),
            budget: Budget::default(),
            prefixes,
            refusals: Refusals::default(),
            work: Mutex::new(PoolWork::new(fair)),
            running: Counts::default(),
            queued: Counts::default(),
            admitted: Counts::default(),
        }
    }

    /// Returns the mean time of a call, in microseconds.
    pub(crate) fn mean(&self, now: Micros) -> f64 {
        self.total.get(self.expected.get(), STAGE_HALF_AGE_US, now)
    }

    /// Returns the mean time of a call and its mean deviation, in microseconds.
    pub(crate) fn time(&self, now: Micros) -> (f64, f64) {
        (self.mean(now), self.total.deviation(self.expected.get(), STAGE_HALF_AGE_US, now))
    }

    /// Returns how many calls this entry may run when a call of this priority starts. Priority 0
    /// may exceed this entry's share. If all its callers came to one entry, its calls would
    /// otherwise wait there while the other entries run calls of lower priority in their shares.
    pub(crate) fn slots(&self, priority: u8) -> u32 {
        let extra = if priority == 0 { self.extra.load(Ordering::Relaxed) } else { 0 };
        self.limit.load(Ordering::Relaxed) + extra
    }

    /// Returns how many of these slots become free each microsecond.
    pub(crate) fn slot_rate(&self, priority: u8, now: Micros) -> f64 {
        f64::from(self.slots(priority).max(1)) / self.mean(now).max(1.0)
    }

    /// Records a time to the first byte. The higher the attainment setting, the earlier calls are
    /// hedged: from the 99th percentile down to the 95th.
    pub(crate) fn record_first_byte(&self, first: Micros, attainment: f64) {
        let count = self.first_bytes.record(first);
        if !count.is_multiple_of(QUANTILE_INTERVAL_SAMPLES) {
            return;
        }
        if let Some(high) = self.first_bytes.quantile(0.99) {
            let limit = high
                .saturating_mul(FIRST_BYTE_FACTOR)
                .clamp(MIN_FIRST_BYTE_LIMIT_US, MAX_FIRST_BYTE_LIMIT_US);
            self.first_byte_limit.store(limit, Ordering::Relaxed);
        }
        if let Some(high) = self.first_bytes.quantile(0.99 - 0.04 * attainment) {
            self.hedge_after.store(high.max(MIN_HEDGE_DELAY_US), Ordering::Relaxed);
        }
    }

    /// Returns the time to the first byte after which a call counts as silent. It doubles with every
    /// few silent calls in a row over the whole pool. Otherwise, if the pool is slower than the
    /// limit, every call would be made twice.
    pub(crate) fn first_byte_limit(&self) -> Micros {
        let known = match self.first_byte_limit.load(Ordering::Relaxed) {
            0 => {
                let time = self.expected.get().max(self.total.latest());
                DEFAULT_FIRST_BYTE_LIMIT_US.max(DEFAULT_FIRST_BYTE_FACTOR * time as Micros)
            }
            known => known,
        };
        let doublings = self.silent_calls.load(Ordering::Relaxed) / SILENT_CALLS_PER_DOUBLING;
        (known << doublings.min(8)).min(MAX_FIRST_BYTE_LIMIT_US)
    }

    /// Records whether a call was answered completely or was silent.
    pub(crate) fn record_answer(&self, complete: bool) {
        if complete {
            self.silent_calls.store(0, Ordering::Relaxed);
        } else {
            self.silent_calls.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the time to the first byte after which a call is late; 0 while unknown.
    pub(crate) fn hedge_after(&self) -> Micros {
        self.hedge_after.load(Ordering::Relaxed)
    }
}

/// Returns how many budget tokens a pool accumulates at most if this entry may run `limit` calls in
/// it.
pub(crate) fn budget_cap(limit: u32) -> u32 {
    (limit * BUDGET_TOKENS_PER_SLOT).max(MIN_BUDGET_TOKENS)
}

/// The data of the entry that determine its share of each pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EntryView {
    pub(crate) rules: Rules,
    pub(crate) entries: u32,
    /// The age of the last digest, if there was one.
    pub(crate) digest_age: Option<Micros>,
    pub(crate) attainment: f64,
}

impl EntryView {
    /// Returns the number of calls that priority 0 may run in addition to the limit; 0 if there is
    /// no other entry.
    fn extra(&self, capacity: u32) -> u32 {
        if self.entries < 2 {
            return 0;
        }
        (f64::from(capacity) / f64::from(self.entries) * PRIORITY_EXTRA_SHARE).ceil() as u32
    }

    /// Returns the number of calls that this entry may run in a pool. All entries see the same free
    /// capacity; if each used all of it, the pool would be overcommitted many times. So each uses
    /// its even share of the free capacity in addition to what it has, which grows to the whole
    /// capacity within a few digests while the others are idle. An even share of the whole, with
    /// some slack for variation, is always available. Without it, an entry that starts late would
    /// find nothing free for as long as the others are busy; the others see the excess and shrink.
    /// Without a digest, only the even share with some slack is safe.
    fn limit(&self, capacity: u32, others: f64, own: f64) -> u32 {
        let entries = f64::from(self.entries);
        let even = f64::from(capacity) / entries;
        if self.digest_age.is_none_or(|it| it > MAX_DIGEST_AGE_US) {
            return (even * NO_DIGEST_RATIO).ceil() as u32;
        }
        let max = (f64::from(capacity) * OVERCOMMIT_RATIO).floor();
        let grown = own + (max - others - own) / entries;
        let share = (even + SHARE_SLACK * even.sqrt()).ceil().min(f64::from(capacity));
        share.max(grown.round().min(max)) as u32
    }
}
