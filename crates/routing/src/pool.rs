//! A pool: its upstreams, its times, and how much of it this entry may use.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use types::{PoolName, Priority};

use crate::affinity::Prefixes;
use crate::budget::Budget;
use crate::clock::{Clock, Us};
use crate::decisions::Log;
use crate::eject::Fit;
use crate::estimate::{Float, Mean, Sketch};
use crate::policy::{
    BLIND_SLACK, BUDGET_FLOOR, BUDGET_PER_SLOT, DIGEST_LIMIT, FIRST_CEILING, FIRST_EXPECTED,
    FIRST_FACTOR, FIRST_FLOOR, FIRST_UNKNOWN, HEDGE_FLOOR, OVERCOMMIT, PART_SLACK, Rules,
    SILENT_ROW, STAGE_HALF, STRONG_OVER,
};
use crate::pressure::Pressure;
use crate::table::{UpstreamView, untold};
use crate::work::Work;

/// How many samples lie between two readings of a sketch's quantiles.
const READ_EVERY: u32 = 16;

/// A pool in one table.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) shared: Arc<Shared>,
    pub(crate) upstreams: Vec<Arc<UpstreamView>>,
    /// Tags with the places of their upstreams, in the tags' order.
    tags: Vec<(u32, u32)>,
}

/// What is known of a pool; outlasts tables.
pub(crate) struct Shared {
    pub(crate) name: PoolName,
    pub(crate) clock: Arc<Clock>,
    pub(crate) log: Arc<Log>,
    /// What its calls take as the service declares, in microseconds.
    pub(crate) expected: Float,
    /// Time of a whole call.
    pub(crate) total: Mean,
    /// How many times longer than the service says its stages take.
    pub(crate) slowness: Mean,
    first: Sketch,
    /// Three times the 99th percentile; 0 while unknown.
    first_limit: AtomicU64,
    /// Silent calls since the last whole answer.
    silent: AtomicU32,
    hedge_after: AtomicU64,
    /// Calls that the pool works on at once.
    pub(crate) capacity: AtomicU32,
    /// Calls of them that this entry may run.
    pub(crate) limit: AtomicU32,
    /// Calls that priority 0 may run over `limit`.
    pub(crate) over: AtomicU32,
    /// The other entries' calls for each call of capacity.
    pub(crate) others: Float,
    /// All entries' calls, as a share of the capacity.
    pub(crate) load: Float,
    pub(crate) budget: Budget,
    pub(crate) prefixes: Prefixes,
    pub(crate) pressure: Pressure,
    pub(crate) work: Mutex<Work>,
    /// Copies of counts in `work` by priority, for readers without the lock.
    pub(crate) running: Counts,
    pub(crate) queued: Counts,
    pub(crate) alive: Counts,
}

/// The weakest priority.
pub(crate) const WEAKEST: u8 = Priority::COUNT as u8 - 1;

/// Prints the name: places and choices hold a pool, and its thousands of counters say nothing there.
impl fmt::Debug for Shared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Shared").field("name", &self.name).finish_non_exhaustive()
    }
}

/// Counts by priority.
pub(crate) type Counts = [AtomicU32; Priority::COUNT];

/// Adds the counts of a priority and all stronger ones.
pub(crate) fn up_to(counts: &Counts, priority: u8) -> u32 {
    counts[..=usize::from(priority)].iter().map(|it| it.load(Ordering::Relaxed)).sum()
}

/// Adds all counts.
pub(crate) fn sum(counts: &Counts) -> u32 {
    up_to(counts, WEAKEST)
}

impl Pool {
    pub(crate) fn new(shared: Arc<Shared>, upstreams: Vec<Arc<UpstreamView>>) -> Self {
        let tags = upstreams.iter().enumerate();
        let mut tags: Vec<_> = tags.map(|(at, it)| (it.known.tag, at as u32)).collect();
        tags.sort_unstable();
        Self { shared, upstreams, tags }
    }

    /// Returns the upstream with that tag.
    pub(crate) fn tagged(&self, tag: u32) -> Option<&Arc<UpstreamView>> {
        let at = self.tags.binary_search_by_key(&tag, |it| it.0).ok()?;
        self.upstreams.get(self.tags[at].1 as usize)
    }

    /// Counts the upstreams that are ejected or failed lately.
    pub(crate) fn troubled(&self) -> usize {
        self.upstreams.iter().filter(|it| it.known.health.troubled()).count()
    }

    /// Counts capacity and load again and sets what this entry may use.
    pub(crate) fn refresh(&self, view: &View, now: Us) {
        let shared = &self.shared;
        let count = |fits: fn(Fit) -> bool| {
            let fit = self.upstreams.iter().filter(|it| fits(it.known.health.fit(now)));
            fit.map(|it| it.spec.capacity).sum::<u32>()
        };
        let fit = count(|it| matches!(it, Fit::Yes | Fit::Probe));
        let capacity = if fit > 0 { fit } else { count(|it| it != Fit::Leaving) };
        let others = self.upstreams.iter().map(|it| it.known.others.load(Ordering::Relaxed));
        let others = f64::from(others.sum::<u32>());
        let own = f64::from(sum(&shared.running));
        shared.capacity.store(capacity, Ordering::Relaxed);
        let size = f64::from(capacity.max(1));
        shared.others.set(others / size);
        shared.load.set((others + own) / size);
        shared.budget.fill(budget_cap(capacity / view.entries));
        let limit = if view.rules.share { view.limit(capacity, others, own) } else { capacity };
        shared.limit.store(limit, Ordering::Relaxed);
        let over = if view.rules.strong { view.over(capacity) } else { 0 };
        shared.over.store(over, Ordering::Relaxed);
    }
}

impl Shared {
    pub(crate) fn new(
        name: PoolName,
        clock: Arc<Clock>,
        log: Arc<Log>,
        prefixes: Prefixes,
        fair: bool,
    ) -> Self {
        Self {
            name,
            clock,
            log,
            expected: untold(),
            total: Mean::default(),
            slowness: Mean::default(),
            first: Sketch::default(),
            first_limit: AtomicU64::new(0),
            silent: AtomicU32::new(0),
            hedge_after: AtomicU64::new(0),
            capacity: AtomicU32::new(0),
            limit: AtomicU32::new(0),
            over: AtomicU32::new(0),
            others: Float::default(),
            load: Float::default(),
            budget: Budget::default(),
            prefixes,
            pressure: Pressure::default(),
            work: Mutex::new(Work::new(fair)),
            running: Counts::default(),
            queued: Counts::default(),
            alive: Counts::default(),
        }
    }

    /// Returns the mean time of a call, in microseconds.
    pub(crate) fn mean(&self, now: Us) -> f64 {
        self.total.get(self.expected.get(), STAGE_HALF, now)
    }

    /// Returns the mean time of a call and its mean deviation, in microseconds.
    pub(crate) fn time(&self, now: Us) -> (f64, f64) {
        (self.mean(now), self.total.spread(self.expected.get(), STAGE_HALF, now))
    }

    /// Returns how many calls may run here once a call of that priority starts. Priority 0 may go
    /// over this entry's part by as much again: where its callers all come to one entry, its calls
    /// would else wait there while the other entries run weaker ones in their parts.
    pub(crate) fn places(&self, priority: u8) -> u32 {
        let over = if priority == 0 { self.over.load(Ordering::Relaxed) } else { 0 };
        self.limit.load(Ordering::Relaxed) + over
    }

    /// Returns how many of those places become free each microsecond.
    pub(crate) fn rate(&self, priority: u8, now: Us) -> f64 {
        f64::from(self.places(priority).max(1)) / self.mean(now).max(1.0)
    }

    /// Takes a time to the first byte. A hedge is worth the more of them the more attainment
    /// counts: from the 99th percentile down to the 95th.
    pub(crate) fn first_byte(&self, first: Us, attainment: f64) {
        let count = self.first.record(first);
        if !count.is_multiple_of(READ_EVERY) {
            return;
        }
        if let Some(high) = self.first.quantile(0.99) {
            let limit = high.saturating_mul(FIRST_FACTOR).clamp(FIRST_FLOOR, FIRST_CEILING);
            self.first_limit.store(limit, Ordering::Relaxed);
        }
        if let Some(high) = self.first.quantile(0.99 - 0.04 * attainment) {
            self.hedge_after.store(high.max(HEDGE_FLOOR), Ordering::Relaxed);
        }
    }

    /// Returns the time to the first byte after which a connection counts as silent. It doubles with
    /// each few silent calls in a row, over the whole pool: where the pool is slower than the limit
    /// every call would else be given up before its first byte, and nothing would ever correct it.
    pub(crate) fn first_limit(&self) -> Us {
        let known = match self.first_limit.load(Ordering::Relaxed) {
            0 => {
                let time = self.expected.get().max(self.total.latest());
                FIRST_UNKNOWN.max(FIRST_EXPECTED * time as Us)
            }
            known => known,
        };
        let doublings = self.silent.load(Ordering::Relaxed) / SILENT_ROW;
        (known << doublings.min(8)).min(FIRST_CEILING)
    }

    /// Takes whether a call was silent or gave its whole answer.
    pub(crate) fn heard(&self, whole: bool) {
        if whole {
            self.silent.store(0, Ordering::Relaxed);
        } else {
            self.silent.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the time to the first byte after which a call is late; 0 while unknown.
    pub(crate) fn hedge_after(&self) -> Us {
        self.hedge_after.load(Ordering::Relaxed)
    }
}

/// Returns how many tokens a pool of which this entry may run so many calls saves up.
pub(crate) fn budget_cap(limit: u32) -> u32 {
    (limit * BUDGET_PER_SLOT).max(BUDGET_FLOOR)
}

/// What the whole entry knows that decides its part of each pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct View {
    pub(crate) rules: Rules,
    pub(crate) entries: u32,
    /// The age of the last digest, if there was one.
    pub(crate) digest_age: Option<Us>,
    pub(crate) attainment: f64,
}

impl View {
    /// Returns the calls that priority 0 may run over that; none where there is no other entry.
    fn over(&self, capacity: u32) -> u32 {
        if self.entries < 2 {
            return 0;
        }
        (f64::from(capacity) / f64::from(self.entries) * STRONG_OVER).ceil() as u32
    }

    /// Returns the calls this entry may run in a pool. Every entry sees the same free capacity; if
    /// each took all of it the pool would get it many times over. So each takes its even part of
    /// what is free beyond what it has: with idle others that grows to all within a few digests.
    /// An even part of the whole, and a little for its ups and downs, is always its own, or an entry that comes late would find nothing
    /// free for as long as the others are busy; the others see the excess and shrink. Without a
    /// digest the even part, with a little slack, is all that is safe.
    fn limit(&self, capacity: u32, others: f64, own: f64) -> u32 {
        let entries = f64::from(self.entries);
        let even = f64::from(capacity) / entries;
        if self.digest_age.is_none_or(|it| it > DIGEST_LIMIT) {
            return (even * BLIND_SLACK).ceil() as u32;
        }
        let most = (f64::from(capacity) * OVERCOMMIT).floor();
        let grown = own + (most - others - own) / entries;
        let part = (even + PART_SLACK * even.sqrt()).ceil().min(f64::from(capacity));
        part.max(grown.round().min(most)) as u32
    }
}
