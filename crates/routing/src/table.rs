//! The upstreams, pools and pipelines of a service as one immutable table. Measured state lives in
//! shared parts that are kept across versions.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use types::{
    CustomerName, PipelineName, Policy, PoolKind, PoolName, Service, Stage, Upstream, UpstreamName,
};

use crate::clock::{Micros, decay};
use crate::eject::Health;
use crate::estimate::{AtomicF64, MovingMean};
use crate::limits::Account;
use crate::policy::UPSTREAM_HALF_AGE_US;
use crate::pool::{Pool, PoolState};

/// An upstream, with what an entry needs to call it.
#[derive(Debug)]
pub struct UpstreamView {
    /// The upstream's name.
    pub name: UpstreamName,
    /// The upstream's description in the service.
    pub spec: Upstream,
    pub(crate) state: Arc<UpstreamState>,
}

/// The state of an upstream, kept across versions of the service.
#[derive(Debug)]
pub(crate) struct UpstreamState {
    /// A hash of the name, for tables that have no space for the name.
    pub(crate) name_hash: u32,
    /// The calls of this entry in flight.
    pub(crate) own_calls: AtomicU32,
    /// When a call of this entry last ended, or the first of those in flight started.
    pub(crate) last_progress: AtomicU64,
    /// The calls of the other entries, as of the last digest.
    pub(crate) other_calls: AtomicU32,
    /// Calls that no entry accounts for, as reported by the upstream or deduced from a busy answer.
    extra_calls: AtomicU32,
    extra_at: AtomicU64,
    /// The time of a complete call.
    pub(crate) total: MovingMean,
    pub(crate) health: Health,
}

impl UpstreamState {
    fn new(name: &UpstreamName) -> Self {
        Self {
            name_hash: hash_name(name),
            own_calls: AtomicU32::new(0),
            last_progress: AtomicU64::new(0),
            other_calls: AtomicU32::new(0),
            extra_calls: AtomicU32::new(0),
            extra_at: AtomicU64::new(0),
            total: MovingMean::default(),
            health: Health::default(),
        }
    }

    /// Counts a call of this entry.
    pub(crate) fn call_started(&self, now: Micros) {
        if self.own_calls.fetch_add(1, Ordering::Relaxed) == 0 {
            self.last_progress.store(now, Ordering::Relaxed);
        }
    }

    /// Returns the expected time of a call, in microseconds. A call in flight for longer than the
    /// mean counts like a sample. Otherwise a straggler would look as fast as before until its
    /// first call ends, and get ten more calls by then.
    pub(crate) fn expected_time(&self, mean: f64, now: Micros) -> f64 {
        let time = self.total.get(mean, UPSTREAM_HALF_AGE_US, now);
        if self.own_calls.load(Ordering::Relaxed) == 0 {
            return time;
        }
        let waited = now.saturating_sub(self.last_progress.load(Ordering::Relaxed));
        time.max(waited as f64)
    }

    /// Records the load that a digest reports.
    pub(crate) fn record_load(
        &self,
        in_flight: u32,
        reported: Option<u32>,
        lag: Micros,
        now: Micros,
    ) {
        let own = self.own_calls.load(Ordering::Relaxed);
        self.other_calls.store(in_flight.saturating_sub(own), Ordering::Relaxed);
        if let Some(reported) = reported {
            self.extra_calls.store(reported.saturating_sub(in_flight), Ordering::Relaxed);
            self.extra_at.store(now.saturating_sub(lag), Ordering::Relaxed);
        }
    }

    /// Records that the upstream is full: all slots that are not known to be in use must be.
    pub(crate) fn record_busy(&self, capacity: u32, now: Micros) {
        let calls =
            self.own_calls.load(Ordering::Relaxed) + self.other_calls.load(Ordering::Relaxed);
        self.extra_calls.store(capacity.saturating_sub(calls).max(1), Ordering::Relaxed);
        self.extra_at.store(now, Ordering::Relaxed);
    }

    /// Returns the expected number of calls at the upstream now, including this entry's. As the
    /// digest ages, the count of the other entries' calls approaches their `mean` over the pool, by
    /// half of the distance at `half_age`: the upstream that was least loaded in an old view has
    /// attracted calls since.
    pub(crate) fn expected_load(
        &self,
        mean: f64,
        digest_age: Micros,
        half_age: Micros,
        now: Micros,
    ) -> f64 {
        let own = f64::from(self.own_calls.load(Ordering::Relaxed));
        let others = f64::from(self.other_calls.load(Ordering::Relaxed));
        let others = mean + (others - mean) * decay(digest_age, half_age);
        let extra = self.extra_calls.load(Ordering::Relaxed);
        if extra == 0 {
            return own + others;
        }
        let age = now.saturating_sub(self.extra_at.load(Ordering::Relaxed));
        own + others + f64::from(extra) * decay(age, half_age)
    }
}

/// A stage of a pipeline, with the shared state of its pool.
#[derive(Debug)]
pub(crate) struct StageView {
    pub(crate) pool: Arc<PoolState>,
    pub(crate) total: Arc<MovingMean>,
    /// The declared time of the stage, in microseconds.
    pub(crate) expected: f64,
}

impl StageView {
    /// Returns the time of the stage and its mean deviation, in microseconds. Without recent
    /// samples, the estimate approaches the declared time multiplied by the present slowdown of the
    /// pool's stages. The mean time of the pool would be wrong: during a burst of long calls a
    /// short stage would look like a long one and be refused, and a refused stage is never measured
    /// again.
    pub(crate) fn time(&self, now: Micros) -> (f64, f64) {
        let slowdown = &self.pool.slowdown;
        if slowdown.count() == 0 && self.pool.total.count() > 0 {
            return self.pool.time(now);
        }
        let prior = self.expected * slowdown.get(1.0, UPSTREAM_HALF_AGE_US, now);
        (
            self.total.get(prior, UPSTREAM_HALF_AGE_US, now),
            self.total.deviation(prior, UPSTREAM_HALF_AGE_US, now),
        )
    }
}

/// One version of the service.
#[derive(Debug, Default)]
pub(crate) struct ServiceTable {
    pub(crate) pools: BTreeMap<PoolName, Pool>,
    pub(crate) pipelines: BTreeMap<PipelineName, Vec<StageView>>,
    pub(crate) customers: BTreeMap<CustomerName, Arc<Account>>,
    /// The upstreams by name, for digests.
    pub(crate) upstreams: BTreeMap<UpstreamName, (Arc<UpstreamView>, Arc<PoolState>)>,
    pub(crate) policy: Policy,
}

impl ServiceTable {
    /// Creates the table of a new version. `new_pool` creates the state of a pool that is new.
    pub(crate) fn updated(
        &self,
        service: &Service,
        new_pool: impl Fn(&PoolName, PoolKind) -> PoolState,
    ) -> Self {
        let mut next = Self { policy: service.policy.clone(), ..Self::default() };
        for (name, pool) in &service.pools {
            let old = self.pools.get(name);
            let state =
                old.map_or_else(|| Arc::new(new_pool(name, pool.kind)), |it| Arc::clone(&it.state));
            let views = pool.upstreams.iter().map(|(name, spec)| self.view(name, spec));
            let views: Vec<_> = views.collect();
            for view in &views {
                let entry = (Arc::clone(view), Arc::clone(&state));
                next.upstreams.insert(view.name.clone(), entry);
            }
            next.pools.insert(name.clone(), Pool::new(state, views));
        }
        for (name, pipeline) in &service.pipelines {
            let stages = pipeline.stages.iter().enumerate();
            let stages = stages.filter_map(|(at, it)| self.stage(&next.pools, name, at, it));
            next.pipelines.insert(name.clone(), stages.collect());
        }
        for (name, customer) in &service.customers {
            let account = self.customers.get(name).cloned().unwrap_or_default();
            account.set_limits(&customer.limits);
            next.customers.insert(name.clone(), account);
        }
        next.set_priors();
        next
    }

    fn view(&self, name: &UpstreamName, spec: &Upstream) -> Arc<UpstreamView> {
        let state = match self.upstreams.get(name) {
            Some((old, _)) if old.spec.address == spec.address => Arc::clone(&old.state),
            _ => Arc::new(UpstreamState::new(name)),
        };
        state.health.set_operator_mark(spec.leaving);
        Arc::new(UpstreamView { name: name.clone(), spec: spec.clone(), state })
    }

    fn stage(
        &self,
        pools: &BTreeMap<PoolName, Pool>,
        pipeline: &PipelineName,
        index: usize,
        stage: &Stage,
    ) -> Option<StageView> {
        let pool = Arc::clone(&pools.get(&stage.pool)?.state);
        let old = self.pipelines.get(pipeline).and_then(|it| it.get(index));
        let old = old.filter(|it| Arc::ptr_eq(&it.pool, &pool));
        let total = old.map_or_else(Arc::default, |it| Arc::clone(&it.total));
        Some(StageView { pool, total, expected: stage.expected.0 as f64 * 1e3 })
    }

    /// Sets the expected time of each pool to the mean of the declared times of its stages.
    fn set_priors(&self) {
        for pool in self.pools.values() {
            let stages = self.pipelines.values().flatten();
            let stages = stages.filter(|it| Arc::ptr_eq(&it.pool, &pool.state));
            let (mut sum, mut count) = (0.0, 0.0);
            for stage in stages {
                sum += stage.expected;
                count += 1.0;
            }
            if count > 0.0 {
                pool.state.expected.set(sum / count);
            }
        }
    }
}

/// Hashes a name with FNV-1a, so that all entries get the same value.
fn hash_name(name: &UpstreamName) -> u32 {
    let step = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(16_777_619);
    name.as_str().bytes().fold(2_166_136_261, step)
}

/// Returns the expected time of a pool's calls before it is set, in microseconds.
pub(crate) fn default_expected() -> AtomicF64 {
    let time = AtomicF64::default();
    time.set(50_000.0);
    time
}
