//! The entry's view of the decisions.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use types::{
    CustomerLimits, CustomerName, Digest, PipelineName, Policy, PoolKind, PoolName, Priority,
    Refusal, RefusalReason, Service, SiteName, Tokens, UpstreamName, UpstreamStanding,
};

use crate::admission::{Admission, Entrant, Turn, passes};
use crate::affinity::Prefixes;
use crate::choice::{CallEnd, Choice, Pick, PickAsk};
use crate::clock::{Clock, Us};
use crate::decisions::{Counter, Decision, Log, Why};
use crate::eject::Told;
use crate::ending::Ending;
use crate::limits::{Account, Over};
use crate::policy::{ASSUMED_ENTRIES, MARGIN, REFRESH_PERIOD, RETRY_FLOOR, Rules};
use crate::pool::{Shared, View, WEAKEST, budget_cap};
use crate::pressure::Pressure;
use crate::split::stage_end;
use crate::table::Table;

/// The time since the last digest after which one with a lower sequence is taken: another control
/// process, which counts from the start, took over.
const DIGEST_RESTART: Us = 1_000_000;

/// What a request asks of the capacity.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The customer.
    pub customer: CustomerName,
    /// The pipeline.
    pub pipeline: PipelineName,
    /// The priority, already taken from pipeline or customer.
    pub priority: Priority,
    /// When the request must be answered.
    pub deadline: Instant,
    /// The most tokens it may generate.
    pub tokens: Tokens,
}

/// All decisions of one entry.
#[derive(Debug)]
pub struct Router {
    rules: Rules,
    clock: Arc<Clock>,
    log: Arc<Log>,
    table: ArcSwap<Table>,
    /// Entries that the last digest stands for; 0 before one came.
    entries: AtomicU32,
    sequence: AtomicU64,
    digest_at: AtomicU64,
    refreshed: AtomicU64,
    /// Spreads the refusals that are about no pool and no customer.
    pressure: Pressure,
}

impl Router {
    /// Makes a router for an entry of that site; it refuses everything until a service is
    /// installed.
    pub fn new(site: SiteName) -> Self {
        Self::with_rules(site, Rules::default())
    }

    /// Makes a router with some rules off, to weigh them.
    pub fn with_rules(_site: SiteName, rules: Rules) -> Self {
        let clock = Arc::new(Clock::default());
        let log = Arc::new(Log::new(Arc::clone(&clock)));
        Self {
            rules,
            clock,
            log,
            table: ArcSwap::default(),
            entries: AtomicU32::new(0),
            sequence: AtomicU64::new(0),
            digest_at: AtomicU64::new(0),
            refreshed: AtomicU64::new(0),
            pressure: Pressure::default(),
        }
    }

    /// Takes a new version of the service; what is known of upstreams that stay is kept.
    pub fn install(&self, service: &Service, now: Instant) {
        let now = self.clock.at(now);
        let fresh = |name: &PoolName, kind: PoolKind| {
            let (clock, log) = (Arc::clone(&self.clock), Arc::clone(&self.log));
            let prefixes = Prefixes::new(kind == PoolKind::Generate);
            Shared::new(name.clone(), clock, log, prefixes, self.rules.fairness)
        };
        let next = Arc::new(self.table.load().next(service, fresh));
        self.table.store(Arc::clone(&next));
        self.refresh(&next, now);
    }

    /// Takes a load digest. One that is older than the last is dropped.
    pub fn digest(&self, digest: &Digest, now: Instant) {
        let now = self.clock.at(now);
        let last = self.sequence.load(Ordering::Relaxed);
        let age = now.saturating_sub(self.digest_at.load(Ordering::Relaxed));
        if digest.sequence <= last && age < DIGEST_RESTART {
            return;
        }
        self.sequence.store(digest.sequence, Ordering::Relaxed);
        self.digest_at.store(now, Ordering::Relaxed);
        self.entries.store(digest.entries.max(1), Ordering::Relaxed);
        let table = self.table.load();
        for load in &digest.loads {
            let Some((view, shared)) = table.upstreams.get(&load.upstream) else {
                continue;
            };
            view.known.loaded(load.in_flight, load.reported, load.report_age.0 * 1_000, now);
            let leaving = load.standing == UpstreamStanding::Leaving;
            let why = match view.known.health.told(leaving, digest.sequence, now) {
                Some(Told::Left) => Why::Left,
                Some(Told::Back) => Why::Rejoined,
                None => continue,
            };
            let note = || format!("digest {} says so", digest.sequence);
            shared.log.note(why, view.name.as_str(), now, note);
        }
        self.refresh(&table, now);
    }

    /// Takes this entry's shares of the customers' limits; `None` where control gave none.
    pub fn shares(&self, customer: &CustomerName, limits: &CustomerLimits) {
        if let Some(account) = self.table.load().customers.get(customer) {
            account.share(limits);
        }
    }

    /// Admits a request or refuses it at once.
    ///
    /// # Errors
    /// The refusal, with the time to come back.
    pub fn admit(&self, ask: &Ask, now: Instant) -> Result<Admission, Refusal> {
        let now = self.clock.at(now);
        let table = self.table.load();
        let Some(stages) = table.pipelines.get(&ask.pipeline) else {
            return Err(self.refuse(RefusalReason::StaleService, ask.pipeline.as_str(), now));
        };
        let priority = self.priority(ask);
        let by = self.clock.convert(ask.deadline);
        let entrant = Entrant { priority, customer: &ask.customer, by, need: 0, margin: 0 };
        let last = stages.last().map(|it| Arc::clone(&it.pool));
        let margin = margin(&table.policy, priority);
        if let Some(pool) = &last
            && self.rules.pipeline
            && !passes(stages, &entrant, margin, self.rules.fairness, now)
        {
            return Err(pool.refuse(RefusalReason::DeadlineTooShort, priority, now));
        }
        if self.rules.pipeline
            && let mut behind = stages.iter().skip(1)
            && let Some(stage) = behind.find(|it| it.pool.is_full(priority, &ask.customer))
        {
            return Err(stage.pool.refuse(RefusalReason::QueueFull, priority, now));
        }
        let account = table.customers.get(&ask.customer).cloned();
        if let Some(account) = &account
            && let Err(over) = account.enter(self.entries(), now)
        {
            return Err(self.over(account, over, ask.customer.as_str(), now));
        }
        if let Some(pool) = &last {
            pool.lock().born(pool, priority, &ask.customer);
        }
        Ok(Admission { account, last, priority, customer: ask.customer.clone() })
    }

    /// Charges tokens that were generated for a customer, delivered whole or not.
    pub fn charge(&self, customer: &CustomerName, tokens: Tokens, now: Instant) {
        let now = self.clock.at(now);
        if let Some(account) = self.table.load().customers.get(customer) {
            account.charge(tokens, self.entries(), now);
        }
    }

    /// Returns when stage `index` of the request must have ended, so that the stages behind it
    /// keep their part of the time.
    pub fn stage_deadline(&self, ask: &Ask, index: usize, now: Instant) -> Instant {
        let now = self.clock.at(now);
        let table = self.table.load();
        let Some(stages) = table.pipelines.get(&ask.pipeline) else {
            return ask.deadline;
        };
        let deadline = self.clock.convert(ask.deadline);
        let margin = margin(&table.policy, ask.priority.0);
        let end = stage_end(stages, index, deadline, margin, now);
        self.clock.instant(end).unwrap_or(ask.deadline).min(ask.deadline)
    }

    /// Takes how long stage `index` took, from the granted place to the last byte, retries
    /// included.
    pub fn stage_ended(&self, ask: &Ask, index: usize, took: Duration, now: Instant) {
        let now = self.clock.at(now);
        let table = self.table.load();
        let stage = table.pipelines.get(&ask.pipeline).and_then(|it| it.get(index));
        if let Some(stage) = stage {
            let took = took.as_micros() as f64;
            stage.total.record(took, stage.expected, now);
            stage.pool.slowness.record(took / stage.expected.max(1.0), 1.0, now);
        }
    }

    /// Asks for a place in a pool's work.
    pub fn enter(&self, pool: &PoolName, ask: &Ask, by: Instant, now: Instant) -> Turn {
        let now = self.clock.at(now);
        let table = self.table.load();
        let Some(shared) = table.pools.get(pool).map(|it| &it.shared) else {
            return Turn::Refused(self.refuse(RefusalReason::NoUpstream, pool.as_str(), now));
        };
        if shared.limit.load(Ordering::Relaxed) == 0 {
            return Turn::Refused(shared.refuse(
                RefusalReason::NoUpstream,
                self.priority(ask),
                now,
            ));
        }
        let stages = table.pipelines.get(&ask.pipeline).into_iter().flatten();
        let stage = stages.into_iter().find(|it| Arc::ptr_eq(&it.pool, shared));
        let priority = self.priority(ask);
        let (time, spread) = stage.map_or_else(|| shared.time(now), |it| it.time(now));
        let (need, margin) = (time as Us, (margin(&table.policy, priority) * spread) as Us);
        let by = self.clock.convert(by);
        shared.enter(&Entrant { priority, customer: &ask.customer, by, need, margin }, now)
    }

    /// Chooses an upstream.
    ///
    /// # Errors
    /// The refusal where the pool has no upstream that takes new work.
    pub fn pick(
        &self,
        ask: &PickAsk<'_>,
        now: Instant,
        rng: &mut impl rand::Rng,
    ) -> Result<Pick, Refusal> {
        let now = self.clock.at(now);
        let table = self.table.load();
        let Some(pool) = table.pools.get(ask.pool) else {
            return Err(self.refuse(RefusalReason::NoUpstream, ask.pool.as_str(), now));
        };
        let shared = &pool.shared;
        if ask.exclude.is_empty() {
            let cap = budget_cap(shared.limit.load(Ordering::Relaxed));
            shared.budget.earn(table.policy.retries, cap);
        }
        let choice = Choice::new(pool, ask, self.view(&table, now), now);
        choice.make(rng).ok_or_else(|| shared.refuse(RefusalReason::NoUpstream, WEAKEST, now))
    }

    /// Takes how a call ended.
    pub fn ended(&self, pick: &Pick, end: CallEnd, now: Instant) {
        let now = self.clock.at(now);
        let table = self.table.load();
        let pool = table.pools.get(&pick.pool.name);
        let view = self.view(&table, now);
        let sequence = self.sequence.load(Ordering::Relaxed);
        Ending { pick, pool, view, sequence, now }.take(end);
    }

    /// Takes a retry from the budget.
    ///
    /// # Errors
    /// The refusal where the budget is spent or too little time is left.
    pub fn may_retry(&self, pool: &PoolName, left: Duration, now: Instant) -> Result<(), Refusal> {
        self.spend(pool, left, Why::Retry, now)
    }

    /// Takes a hedge from the budget.
    ///
    /// # Errors
    /// The refusal where the budget is spent or too little time is left.
    pub fn may_hedge(&self, pool: &PoolName, left: Duration, now: Instant) -> Result<(), Refusal> {
        self.spend(pool, left, Why::Hedge, now)
    }

    /// Does what time alone brings about: refuses queued work whose time no longer suffices.
    /// Called every few milliseconds.
    pub fn tick(&self, now: Instant) {
        let now = self.clock.at(now);
        let table = self.table.load();
        let due = now >= self.refreshed.load(Ordering::Relaxed) + REFRESH_PERIOD;
        if due {
            self.refresh(&table, now);
            return;
        }
        for pool in table.pools.values() {
            pool.shared.advance(now);
        }
    }

    /// Returns the calls in flight by upstream, for the load report.
    pub fn in_flight(&self) -> Vec<(UpstreamName, u32)> {
        let table = self.table.load();
        let all = table.pools.values().flat_map(|it| &it.upstreams);
        all.map(|it| (it.name.clone(), it.known.own.load(Ordering::Relaxed))).collect()
    }

    /// Returns the latest decisions, newest first.
    pub fn decisions(&self) -> Vec<Decision> {
        self.log.latest()
    }

    /// Returns how often each thing was decided, by reason.
    pub fn counters(&self) -> Vec<Counter> {
        self.log.counters()
    }

    fn refresh(&self, table: &Table, now: Us) {
        self.refreshed.store(now, Ordering::Relaxed);
        let view = self.view(table, now);
        for pool in table.pools.values() {
            pool.refresh(&view, now);
            pool.shared.advance(now);
        }
    }

    fn view(&self, table: &Table, now: Us) -> View {
        let digest_at = self.digest_at.load(Ordering::Relaxed);
        let digest_age = (digest_at > 0).then(|| now.saturating_sub(digest_at));
        let attainment = table.policy.attainment;
        View { rules: self.rules, entries: self.entries(), digest_age, attainment }
    }

    /// Returns the number of entries that share the capacity.
    fn entries(&self) -> u32 {
        match self.entries.load(Ordering::Relaxed) {
            0 => ASSUMED_ENTRIES,
            known => known,
        }
    }

    fn priority(&self, ask: &Ask) -> u8 {
        let weakest = Priority::COUNT as u8 - 1;
        if self.rules.priority { ask.priority.0.min(weakest) } else { weakest }
    }

    fn spend(
        &self,
        pool: &PoolName,
        left: Duration,
        why: Why,
        now: Instant,
    ) -> Result<(), Refusal> {
        let now = self.clock.at(now);
        let table = self.table.load();
        let Some(shared) = table.pools.get(pool).map(|it| &it.shared) else {
            return Err(self.refuse(RefusalReason::NoUpstream, pool.as_str(), now));
        };
        if (left.as_micros() as f64) < shared.mean(now) {
            return Err(shared.refuse(RefusalReason::DeadlineTooShort, WEAKEST, now));
        }
        if self.rules.budget && !shared.budget.take() {
            return Err(shared.refuse(RefusalReason::RetryBudget, WEAKEST, now));
        }
        shared.log.note(why, shared.name.as_str(), now, || format!("{left:?} left"));
        Ok(())
    }

    /// Refuses because a customer is over a limit.
    fn over(&self, account: &Account, over: Over, customer: &str, now: Us) -> Refusal {
        let Over { reason, room_in } = over;
        self.log.note(Why::Refused(reason), customer, now, || format!("room in {room_in} us"));
        let rate = 1.0 / room_in.max(RETRY_FLOOR) as f64;
        let time = account.pressure.refuse(WEAKEST, 0.0, rate, now);
        Refusal { reason, retry_after: Duration::from_micros(time) }
    }

    /// Refuses because something is missing.
    fn refuse(&self, reason: RefusalReason, subject: &str, now: Us) -> Refusal {
        self.log.note(Why::Refused(reason), subject, now, || "not in the service".to_owned());
        let time = self.pressure.refuse(WEAKEST, 0.0, 1.0 / RETRY_FLOOR as f64, now);
        Refusal { reason, retry_after: Duration::from_micros(time) }
    }
}

/// Returns how many mean deviations a stage is given over its mean.
fn margin(policy: &Policy, priority: u8) -> f64 {
    if priority == 0 { 0.0 } else { MARGIN * (2.0 - policy.attainment) }
}
