//! Chooses an upstream by expected finish among a few that are drawn at random.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::Rng;
use types::{PoolName, Tokens, UpstreamName};

use crate::affinity::home_index;
use crate::clock::Micros;
use crate::eject::Availability;
use crate::policy::{
    DIGEST_LAG_US, LOAD_SLOWDOWN, MAX_DRAWS, OTHERS_HALF_AGE_MAX_US, OTHERS_HALF_AGE_MIN_US,
    PICK_SAMPLES,
};
use crate::pool::{EntryView, Pool, PoolState};
use crate::table::UpstreamView;

/// What a stage's call requires of an upstream.
#[derive(Clone, Debug)]
pub struct PickRequest<'a> {
    /// The pool.
    pub pool: &'a PoolName,
    /// A hash of the prompt's prefix, if caching it is useful.
    pub prefix: Option<u64>,
    /// Upstreams that this stage has already tried.
    pub exclude: &'a [UpstreamName],
    /// The time left for the stage.
    pub left: Duration,
}

/// A chosen upstream. Counts as a call in flight until dropped.
#[derive(Debug)]
pub struct Pick {
    /// The upstream.
    pub upstream: Arc<UpstreamView>,
    /// The time to the first byte after which the call counts as silent.
    pub first_byte_limit: Duration,
    /// The delay after which a second call to another upstream is worth it, if at all.
    pub hedge_after: Option<Duration>,
    pub(crate) pool: Arc<PoolState>,
    pub(crate) start: Micros,
    pub(crate) probe: bool,
    /// The prefix, and whether the upstream was expected to have it cached.
    pub(crate) prefix: Option<(u64, bool)>,
}

impl Pick {
    /// Picks the same upstream for one more call.
    pub(crate) fn again(&self, now: Micros) -> Self {
        self.upstream.state.call_started(now);
        Self {
            upstream: Arc::clone(&self.upstream),
            pool: Arc::clone(&self.pool),
            start: now,
            ..*self
        }
    }
}

impl Drop for Pick {
    fn drop(&mut self) {
        self.upstream.state.own_calls.fetch_sub(1, Ordering::Relaxed);
    }
}

/// How a call ended, for the statistics of its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The upstream returned the complete result.
    Ok {
        /// The time to the first byte.
        first_byte: Duration,
        /// The time to the last byte.
        total: Duration,
        /// The number of tokens generated.
        tokens: Tokens,
    },
    /// The connection could not be opened.
    Refused,
    /// The upstream reported that it accepts no more work for now.
    Busy,
    /// The upstream reported that it is leaving.
    Leaving,
    /// The connection broke, or the answer was an error or had a wrong echo.
    Failed,
    /// The call made no progress within its limit, nor until another one took over or its deadline
    /// passed.
    Silent,
    /// The entry abandoned the call for a reason unrelated to the upstream: the caller left, or
    /// another call of the same hedge won.
    Abandoned,
}

/// An upstream that may be chosen.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    view: &'a Arc<UpstreamView>,
    /// The expected end of a call that starts now, in microseconds from now.
    finish: f64,
    probe: bool,
    warm: bool,
}

/// The state of one choice.
pub(crate) struct Choice<'a> {
    pool: &'a Pool,
    request: &'a PickRequest<'a>,
    view: EntryView,
    now: Micros,
    mean: f64,
    other_load: f64,
    best: Option<Candidate<'a>>,
}

impl<'a> Choice<'a> {
    pub(crate) fn new(
        pool: &'a Pool,
        request: &'a PickRequest<'a>,
        view: EntryView,
        now: Micros,
    ) -> Self {
        let mean = pool.state.mean(now);
        let other_load = pool.state.other_load.get();
        Self { pool, request, view, now, mean, other_load, best: None }
    }

    /// Returns the upstream with the earliest expected finish among a few drawn at random and those
    /// that may have the prefix cached. If entries that share one outdated view compared all
    /// upstreams, all would choose the same best one and overload it. Random samples differ, so
    /// calls spread, and comparing even two upstreams keeps the longest queue short.
    pub(crate) fn choose(mut self, rng: &mut impl Rng) -> Option<Pick> {
        if self.view.rules.affinity && self.view.rules.finish {
            self.consider_holders();
        }
        let count = self.pool.upstreams.len();
        if !self.view.rules.sampling {
            self.consider_all(0);
        } else if count > 0 {
            self.consider_drawn(count, rng);
        }
        if self.best.is_none() {
            self.consider_all(rng.next_u32() as usize);
        }
        if self.best.is_none() {
            self.consider_ejected(rng.next_u32() as usize);
        }
        self.best.map(|best| self.pick(best))
    }

    fn consider_drawn(&mut self, count: usize, rng: &mut impl Rng) {
        let samples = if self.view.rules.finish { PICK_SAMPLES.min(count) } else { 1 };
        let mut found = 0;
        let mut last = count;
        for _ in 0..MAX_DRAWS {
            let index = ((u64::from(rng.next_u32()) * count as u64) >> 32) as usize;
            if index == last {
                continue;
            }
            last = index;
            found += usize::from(self.consider(&self.pool.upstreams[index], 0.0, false));
            if found >= samples {
                return;
            }
        }
    }

    /// Considers all upstreams, beginning at index `from`, so that equal ones get calls evenly.
    fn consider_all(&mut self, from: usize) {
        let count = self.pool.upstreams.len();
        for index in 0..count {
            self.consider(&self.pool.upstreams[(from % count + index) % count], 0.0, false);
        }
    }

    /// Considers ejected upstreams, which are better than a refusal if nothing else is left.
    /// Leaving ones are not.
    fn consider_ejected(&mut self, from: usize) {
        let count = self.pool.upstreams.len();
        for index in 0..count {
            let view = &self.pool.upstreams[(from % count + index) % count];
            if !view.state.health.is_leaving() && !self.is_excluded(view) {
                let finish = self.expected_finish(view, self.expected_load(view));
                self.keep_best(Candidate { view, finish, probe: true, warm: false });
            }
        }
    }

    fn consider_holders(&mut self) {
        let Some(prefix) = self.request.prefix else {
            return;
        };
        let prefixes = &self.pool.state.prefixes;
        let gain = prefixes.gain(self.now);
        let held = prefixes.lookup(prefix, self.now);
        let holder =
            held.and_then(|it| Some((self.pool.by_name_hash(it.name_hash)?, it.probability)));
        match holder {
            Some((view, probability)) => self.consider(view, gain * probability, true),
            None if self.pool.upstreams.is_empty() => false,
            None => {
                let view = &self.pool.upstreams[home_index(prefix, self.pool.upstreams.len())];
                self.consider(view, gain / 2.0, false)
            }
        };
    }

    /// Compares an upstream with the best so far. Returns whether it may be chosen at all.
    fn consider(&mut self, view: &'a Arc<UpstreamView>, gain: f64, warm: bool) -> bool {
        let availability = view.state.health.availability(self.now);
        if matches!(availability, Availability::Ejected | Availability::Leaving)
            || self.is_excluded(view)
        {
            return false;
        }
        if availability == Availability::Probe {
            return self.probe(view);
        }
        // The gain is subtracted as time. So a popular prefix attracts calls to its upstream only
        // until the wait there exceeds the gain, and no other limit on its load is needed.
        let finish = self.expected_finish(view, self.expected_load(view)) - gain;
        self.keep_best(Candidate { view, finish, probe: false, warm });
        true
    }

    /// Chooses an ejected upstream for a probe if it is due and enough time is left to call another
    /// one afterwards.
    fn probe(&mut self, view: &'a Arc<UpstreamView>) -> bool {
        let has_time = self.request.left.as_micros() as f64 > 3.0 * self.mean;
        let has_probe = self.best.is_some_and(|it| it.probe);
        if !has_time || has_probe || !view.state.health.claim_probe(self.now) {
            return false;
        }
        self.best = Some(Candidate { view, finish: f64::MIN, probe: true, warm: false });
        true
    }

    fn keep_best(&mut self, candidate: Candidate<'a>) {
        if self.best.is_none_or(|best| candidate.finish < best.finish) {
            self.best = Some(candidate);
        }
    }

    fn is_excluded(&self, view: &UpstreamView) -> bool {
        self.request.exclude.contains(&view.name)
    }

    fn expected_load(&self, view: &UpstreamView) -> f64 {
        let mean = self.other_load * f64::from(view.spec.capacity);
        let age = self.view.digest_age.unwrap_or(Micros::MAX / 2);
        // The counts of other entries' calls are worth little once most of these calls have ended.
        let half_age = (self.mean as Micros).clamp(OTHERS_HALF_AGE_MIN_US, OTHERS_HALF_AGE_MAX_US);
        view.state.expected_load(mean, age.saturating_add(DIGEST_LAG_US), half_age, self.now)
    }

    /// Returns the expected time until a call to the upstream ends, in microseconds: its measured
    /// time, somewhat more at higher load, and the wait for a slot if the upstream is full.
    fn expected_finish(&self, view: &UpstreamView, load: f64) -> f64 {
        let capacity = f64::from(view.spec.capacity.max(1));
        let time = view.state.expected_time(self.mean, self.now);
        let waits = (load + 1.0 - capacity).max(0.0) / capacity;
        time * (1.0 + LOAD_SLOWDOWN * (load / capacity).min(1.0) + waits)
    }

    fn pick(&self, best: Candidate<'a>) -> Pick {
        let state = &self.pool.state;
        best.view.state.call_started(self.now);
        let prefix = self.request.prefix.map(|it| (it, best.warm));
        if let Some((prefix, _)) = prefix {
            state.prefixes.record(prefix, best.view.state.name_hash, self.now);
        }
        Pick {
            upstream: Arc::clone(best.view),
            first_byte_limit: Duration::from_micros(state.first_byte_limit()),
            hedge_after: crate::hedge::delay(state, &self.view, self.request.left, self.mean),
            pool: Arc::clone(state),
            start: self.now,
            probe: best.probe,
            prefix,
        }
    }
}
