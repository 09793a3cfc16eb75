//! The interface to all decisions of an entry.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use types::{
    CustomerLimits, CustomerName, Digest, PipelineName, Policy, PoolKind, PoolName, Priority,
    Refusal, RefusalReason, Service, SiteName, Tokens, UpstreamAvailability, UpstreamName,
};

use crate::admission::{Admission, SlotRequest, SlotResponse, fits_deadline};
use crate::affinity::PrefixTable;
use crate::choice::{CallEnd, Choice, Pick, PickRequest};
use crate::clock::{Clock, Micros};
use crate::decisions::{Counter, Decision, DecisionKind, DecisionLog};
use crate::eject::DigestChange;
use crate::feedback::CallFeedback;
use crate::limits::{Account, LimitExceeded};
use crate::policy::{
    ASSUMED_ENTRIES, MARGIN_DEVIATIONS, MIN_RETRY_AFTER_US, REFRESH_INTERVAL_US, Rules,
};
use crate::pool::{EntryView, LOWEST_PRIORITY, PoolState, budget_cap};
use crate::refusals::Refusals;
use crate::split::stage_end;
use crate::table::ServiceTable;

/// The age of the last digest from which one with a lower sequence number is accepted: it comes
/// from another control process, which took over and counts from the start.
const DIGEST_RESTART_US: Micros = 1_000_000;

/// What admission needs to know of a request.
#[derive(Clone, Debug)]
pub struct RequestInfo {
    /// The customer.
    pub customer: CustomerName,
    /// The pipeline.
    pub pipeline: PipelineName,
    /// The priority, with the defaults of pipeline or customer already applied.
    pub priority: Priority,
    /// When the request must be answered.
    pub deadline: Instant,
    /// The maximum number of tokens that it may generate.
    pub tokens: Tokens,
}

/// Makes all decisions of one entry.
#[derive(Debug)]
pub struct Router {
    rules: Rules,
    clock: Arc<Clock>,
    log: Arc<DecisionLog>,
    table: ArcSwap<ServiceTable>,
    /// The number of entries that the last digest covers; 0 before the first digest.
    entries: AtomicU32,
    sequence: AtomicU64,
    digest_received: AtomicU64,
    last_refresh: AtomicU64,
    /// Spaces the retries after refusals that concern no pool and no customer.
    refusals: Refusals,
}

impl Router {
    /// Creates a router for an entry of the site. It refuses everything until a service is
    /// installed.
    pub fn new(site: SiteName) -> Self {
        Self::with_rules(site, Rules::default())
    }

    /// Creates a router with some rules turned off, to measure their effect.
    pub fn with_rules(_site: SiteName, rules: Rules) -> Self {
        let clock = Arc::new(Clock::default());
        let log = Arc::new(DecisionLog::new(Arc::clone(&clock)));
        Self {
            rules,
            clock,
            log,
            table: ArcSwap::default(),
            entries: AtomicU32::new(0),
            sequence: AtomicU64::new(0),
            digest_received: AtomicU64::new(0),
            last_refresh: AtomicU64::new(0),
            refusals: Refusals::default(),
        }
    }

    /// Installs a new version of the service. The state of upstreams that stay is kept.
    pub fn install(&self, service: &Service, now: Instant) {
        let now = self.clock.observe(now);
        let new_pool = |name: &PoolName, kind: PoolKind| {
            let (clock, log) = (Arc::clone(&self.clock), Arc::clone(&self.log));
            let prefixes = PrefixTable::new(kind == PoolKind::Generate);
            PoolState::new(name.clone(), clock, log, prefixes, self.rules.fairness)
        };
        let next = Arc::new(self.table.load().updated(service, new_pool));
        self.table.store(Arc::clone(&next));
        self.refresh(&next, now);
    }

    /// Applies a load digest. One that is older than the last is ignored.
    pub fn apply_digest(&self, digest: &Digest, now: Instant) {
        let now = self.clock.observe(now);
        let last = self.sequence.load(Ordering::Relaxed);
        let age = now.saturating_sub(self.digest_received.load(Ordering::Relaxed));
        if digest.sequence <= last && age < DIGEST_RESTART_US {
            return;
        }
        self.sequence.store(digest.sequence, Ordering::Relaxed);
        self.digest_received.store(now, Ordering::Relaxed);
        self.entries.store(digest.entries.max(1), Ordering::Relaxed);
        let table = self.table.load();
        for load in &digest.loads {
            let Some((view, state)) = table.upstreams.get(&load.upstream) else {
                continue;
            };
            view.state.record_load(load.in_flight, load.reported, load.report_age.0 * 1_000, now);
            let leaving = load.availability == UpstreamAvailability::Leaving;
            let kind = match view.state.health.apply_digest(leaving, digest.sequence, now) {
                Some(DigestChange::Leaving) => DecisionKind::Leaving,
                Some(DigestChange::Live) => DecisionKind::LiveAgain,
                None => continue,
            };
            let detail = || format!("digest {} says so", digest.sequence);
            state.log.record(kind, view.name.as_str(), now, detail);
        }
        self.refresh(&table, now);
    }

    /// Sets this entry's shares of a customer's limits; `None` where control assigned no share.
    pub fn set_shares(&self, customer: &CustomerName, limits: &CustomerLimits) {
        if let Some(account) = self.table.load().customers.get(customer) {
            account.set_share(limits);
        }
    }

    /// Admits a request or refuses it at once.
    /// # Errors
    /// Returns the refusal, with the time after which to retry.
    pub fn admit(&self, info: &RequestInfo, now: Instant) -> Result<Admission, Refusal> {
        let now = self.clock.observe(now);
        let table = self.table.load();
        let Some(stages) = table.pipelines.get(&info.pipeline) else {
            return Err(self.refuse_unknown(
                RefusalReason::StaleService,
                info.pipeline.as_str(),
                now,
            ));
        };
        let priority = self.priority(info);
        let deadline = self.clock.to_micros(info.deadline);
        let request =
            SlotRequest { priority, customer: &info.customer, deadline, expected: 0, margin: 0 };
        let last = stages.last().map(|it| Arc::clone(&it.pool));
        let margin = margin_deviations(&table.policy, priority);
        if let Some(pool) = &last
            && self.rules.pipeline
            && !fits_deadline(stages, &request, margin, self.rules.fairness, now)
        {
            return Err(pool.refuse(RefusalReason::DeadlineTooShort, priority, now));
        }
        if self.rules.pipeline
            && let mut later = stages.iter().skip(1)
            && let Some(stage) = later.find(|it| it.pool.is_full(priority, &info.customer))
        {
            return Err(stage.pool.refuse(RefusalReason::QueueFull, priority, now));
        }
        let account = table.customers.get(&info.customer).cloned();
        if let Some(account) = &account
            && let Err(exceeded) = account.admit(self.entries(), now)
        {
            return Err(self.refuse_customer(account, exceeded, info.customer.as_str(), now));
        }
        if let Some(pool) = &last {
            pool.lock().request_started(pool, priority, &info.customer);
        }
        Ok(Admission { account, last, priority, customer: info.customer.clone() })
    }

    /// Charges a customer for generated tokens, whether they were delivered or not.
    pub fn charge(&self, customer: &CustomerName, tokens: Tokens, now: Instant) {
        let now = self.clock.observe(now);
        if let Some(account) = self.table.load().customers.get(customer) {
            account.charge(tokens, self.entries(), now);
        }
    }

    /// Returns when stage `index` of the request must have ended, so that the later stages have
    /// enough time.
    pub fn stage_deadline(&self, info: &RequestInfo, index: usize, now: Instant) -> Instant {
        let now = self.clock.observe(now);
        let table = self.table.load();
        let Some(stages) = table.pipelines.get(&info.pipeline) else {
            return info.deadline;
        };
        let deadline = self.clock.to_micros(info.deadline);
        let margin = margin_deviations(&table.policy, info.priority.0);
        let end = stage_end(stages, index, deadline, margin, now);
        self.clock.to_instant(end).unwrap_or(info.deadline).min(info.deadline)
    }

    /// Records how long stage `index` took, from the granted slot to the last byte, retries
    /// included.
    pub fn stage_ended(&self, info: &RequestInfo, index: usize, took: Duration, now: Instant) {
        let now = self.clock.observe(now);
        let table = self.table.load();
        let stage = table.pipelines.get(&info.pipeline).and_then(|it| it.get(index));
        if let Some(stage) = stage {
            let took = took.as_micros() as f64;
            stage.total.record(took, stage.expected, now);
            stage.pool.slowdown.record(took / stage.expected.max(1.0), 1.0, now);
        }
    }

    /// Requests a slot in a pool.
    pub fn request_slot(
        &self,
        pool: &PoolName,
        info: &RequestInfo,
        by: Instant,
        now: Instant,
    ) -> SlotResponse {
        let now = self.clock.observe(now);
        let table = self.table.load();
        let Some(state) = table.pools.get(pool).map(|it| &it.state) else {
            return SlotResponse::Refused(self.refuse_unknown(
                RefusalReason::NoUpstream,
                pool.as_str(),
                now,
            ));
        };
        if state.limit.load(Ordering::Relaxed) == 0 {
            return SlotResponse::Refused(state.refuse(
                RefusalReason::NoUpstream,
                self.priority(info),
                now,
            ));
        }
        let stages = table.pipelines.get(&info.pipeline).into_iter().flatten();
        let stage = stages.into_iter().find(|it| Arc::ptr_eq(&it.pool, state));
        let priority = self.priority(info);
        let (time, deviation) = stage.map_or_else(|| state.time(now), |it| it.time(now));
        let (expected, margin) =
            (time as Micros, (margin_deviations(&table.policy, priority) * deviation) as Micros);
        let deadline = self.clock.to_micros(by);
        state.request_slot(
            &SlotRequest { priority, customer: &info.customer, deadline, expected, margin },
            now,
        )
    }

    /// Chooses an upstream.
    /// # Errors
    /// Returns the refusal if no upstream of the pool accepts new work.
    pub fn pick(
        &self,
        request: &PickRequest<'_>,
        now: Instant,
        rng: &mut impl rand::Rng,
    ) -> Result<Pick, Refusal> {
        let now = self.clock.observe(now);
        let table = self.table.load();
        let Some(pool) = table.pools.get(request.pool) else {
            return Err(self.refuse_unknown(RefusalReason::NoUpstream, request.pool.as_str(), now));
        };
        let state = &pool.state;
        if request.exclude.is_empty() {
            let cap = budget_cap(state.limit.load(Ordering::Relaxed));
            state.budget.earn(table.policy.retries, cap);
        }
        let choice = Choice::new(pool, request, self.view(&table, now), now);
        choice
            .choose(rng)
            .ok_or_else(|| state.refuse(RefusalReason::NoUpstream, LOWEST_PRIORITY, now))
    }

    /// Chooses the upstream of a call in flight for one more call.
    pub fn pick_again(&self, pick: &Pick, now: Instant) -> Pick {
        pick.again(self.clock.observe(now))
    }

    /// Records how a call ended.
    pub fn call_ended(&self, pick: &Pick, end: CallEnd, now: Instant) {
        let now = self.clock.observe(now);
        let table = self.table.load();
        let pool = table.pools.get(&pick.pool.name);
        let view = self.view(&table, now);
        let sequence = self.sequence.load(Ordering::Relaxed);
        CallFeedback { pick, pool, view, sequence, now }.apply(end);
    }

    /// Spends a token of the retry budget on a retry.
    /// # Errors
    /// Returns the refusal if the budget is spent or too little time is left.
    pub fn spend_retry(
        &self,
        pool: &PoolName,
        left: Duration,
        now: Instant,
    ) -> Result<(), Refusal> {
        self.spend_budget(pool, left, DecisionKind::Retry, now)
    }

    /// Spends a token of the retry budget on a hedge.
    /// # Errors
    /// Returns the refusal if the budget is spent or too little time is left.
    pub fn spend_hedge(
        &self,
        pool: &PoolName,
        left: Duration,
        now: Instant,
    ) -> Result<(), Refusal> {
        self.spend_budget(pool, left, DecisionKind::Hedge, now)
    }

    /// Refuses queued calls that no longer have enough time, and refreshes the capacity if that is
    /// due. Must be called every few milliseconds.
    pub fn tick(&self, now: Instant) {
        let now = self.clock.observe(now);
        let table = self.table.load();
        let due = now >= self.last_refresh.load(Ordering::Relaxed) + REFRESH_INTERVAL_US;
        if due {
            self.refresh(&table, now);
            return;
        }
        for pool in table.pools.values() {
            pool.state.advance(now);
        }
    }

    /// Returns the number of calls in flight at each upstream, for the load report.
    pub fn in_flight(&self) -> Vec<(UpstreamName, u32)> {
        let table = self.table.load();
        let all = table.pools.values().flat_map(|it| &it.upstreams);
        all.map(|it| (it.name.clone(), it.state.own_calls.load(Ordering::Relaxed))).collect()
    }

    /// Returns the latest decisions, newest first.
    pub fn decisions(&self) -> Vec<Decision> {
        self.log.latest()
    }

    /// Returns how often each kind of decision was made, by reason.
    pub fn counters(&self) -> Vec<Counter> {
        self.log.counters()
    }

    fn refresh(&self, table: &ServiceTable, now: Micros) {
        self.last_refresh.store(now, Ordering::Relaxed);
        let view = self.view(table, now);
        for pool in table.pools.values() {
            pool.refresh(&view, now);
            pool.state.advance(now);
        }
    }

    fn view(&self, table: &ServiceTable, now: Micros) -> EntryView {
        let digest_received = self.digest_received.load(Ordering::Relaxed);
        let digest_age = (digest_received > 0).then(|| now.saturating_sub(digest_received));
        let attainment = table.policy.attainment;
        EntryView { rules: self.rules, entries: self.entries(), digest_age, attainment }
    }

    /// Returns the number of entries that share the capacity.
    fn entries(&self) -> u32 {
        match self.entries.load(Ordering::Relaxed) {
            0 => ASSUMED_ENTRIES,
            known => known,
        }
    }

    fn priority(&self, info: &RequestInfo) -> u8 {
        let lowest = Priority::COUNT as u8 - 1;
        if self.rules.priority { info.priority.0.min(lowest) } else { lowest }
    }

    fn spend_budget(
        &self,
        pool: &PoolName,
        left: Duration,
        kind: DecisionKind,
        now: Instant,
    ) -> Result<(), Refusal> {
        let now = self.clock.observe(now);
        let table = self.table.load();
        let Some(state) = table.pools.get(pool).map(|it| &it.state) else {
            return Err(self.refuse_unknown(RefusalReason::NoUpstream, pool.as_str(), now));
        };
        if (left.as_micros() as f64) < state.mean(now) {
            return Err(state.refuse(RefusalReason::DeadlineTooShort, LOWEST_PRIORITY, now));
        }
        if self.rules.budget && !state.budget.take() {
            return Err(state.refuse(RefusalReason::RetryBudget, LOWEST_PRIORITY, now));
        }
        state.log.record(kind, state.name.as_str(), now, || format!("{left:?} left"));
        Ok(())
    }

    /// Refuses a request because its customer has exceeded a limit.
    fn refuse_customer(
        &self,
        account: &Account,
        exceeded: LimitExceeded,
        customer: &str,
        now: Micros,
    ) -> Refusal {
        let LimitExceeded { reason, retry_in } = exceeded;
        self.log.record(DecisionKind::Refused(reason), customer, now, || {
            format!("room in {retry_in} us")
        });
        let rate = 1.0 / retry_in.max(MIN_RETRY_AFTER_US) as f64;
        let time = account.refusals.retry_after(LOWEST_PRIORITY, 0.0, rate, now);
        Refusal { reason, retry_after: Duration::from_micros(time) }
    }

    /// Refuses a request because the service lacks what it names.
    fn refuse_unknown(&self, reason: RefusalReason, subject: &str, now: Micros) -> Refusal {
        self.log.record(DecisionKind::Refused(reason), subject, now, || {
            "not in the service".to_owned()
        });
        let time =
            self.refusals.retry_after(LOWEST_PRIORITY, 0.0, 1.0 / MIN_RETRY_AFTER_US as f64, now);
        Refusal { reason, retry_after: Duration::from_micros(time) }
    }
}

/// Returns how many mean deviations a stage gets in addition to its mean time.
fn margin_deviations(policy: &Policy, priority: u8) -> f64 {
    if priority == 0 { 0.0 } else { MARGIN_DEVIATIONS * (2.0 - policy.attainment) }
}
