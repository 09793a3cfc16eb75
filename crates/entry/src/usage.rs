//! Sums up usage by customer and stage for the reports to control. Work on results that nobody used
//! is kept apart.

use std::collections::HashMap;
use std::mem;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use types::{CustomerName, Micros, PoolName, StageName, Tokens};
use wire::session::{CustomerUse, StageUse, UsageReport};

type StageKey = (CustomerName, StageName, PoolName);

#[derive(Debug, Default)]
struct Sums {
    since: Option<Instant>,
    stages: HashMap<StageKey, StageSum>,
    customers: HashMap<CustomerName, CustomerSum>,
}

#[derive(Clone, Copy, Debug, Default)]
struct StageSum {
    calls: u32,
    busy: u64,
    tokens: u64,
    wasted: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct CustomerSum {
    requests: u32,
    running: u32,
    peak: u32,
    tokens: u64,
}

/// The usage since the last report.
#[derive(Debug, Default)]
pub(crate) struct Usage {
    sums: Mutex<Sums>,
}

/// The customer, stage and pool that a call is accounted to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Account<'a> {
    pub(crate) customer: &'a CustomerName,
    pub(crate) stage: &'a StageName,
    pub(crate) pool: &'a PoolName,
}

impl Account<'_> {
    fn key(&self) -> StageKey {
        (self.customer.clone(), self.stage.clone(), self.pool.clone())
    }
}

impl Usage {
    fn lock(&self) -> MutexGuard<'_, Sums> {
        self.sums.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request that arrived, including those that are refused.
    pub(crate) fn request_arrived(&self, customer: &CustomerName) {
        let mut sums = self.lock();
        let sum = sums.customers.entry(customer.clone()).or_default();
        sum.requests += 1;
        sum.running += 1;
        sum.peak = sum.peak.max(sum.running);
    }

    /// Counts a request that ended.
    pub(crate) fn request_ended(&self, customer: &CustomerName) {
        let mut sums = self.lock();
        if let Some(sum) = sums.customers.get_mut(customer) {
            sum.running = sum.running.saturating_sub(1);
        }
    }

    /// Counts a call whose result was used.
    pub(crate) fn call_used(&self, account: &Account<'_>, busy: Micros, tokens: Tokens) {
        let mut sums = self.lock();
        let sum = sums.stages.entry(account.key()).or_default();
        sum.calls += 1;
        sum.busy += busy.0;
        sum.tokens += tokens.0;
        if let Some(sum) = sums.customers.get_mut(account.customer) {
            sum.tokens += tokens.0;
        }
    }

    /// Counts a call whose result was not used. The upstream does not report how long it was busy
    /// with it, so the duration of the call is counted, an upper bound.
    pub(crate) fn call_wasted(&self, account: &Account<'_>, time: Duration) {
        let mut sums = self.lock();
        sums.stages.entry(account.key()).or_default().wasted += time.as_micros() as u64;
    }

    /// Returns the usage since the last report and resets it.
    pub(crate) fn take_report(&self, now: Instant) -> UsageReport {
        let mut sums = self.lock();
        let since = sums.since.replace(now).unwrap_or(now);
        let stages = mem::take(&mut sums.stages);
        let customers = sums.customers.clone();
        sums.customers.retain(|_, it| it.running > 0);
        for sum in sums.customers.values_mut() {
            *sum = CustomerSum { running: sum.running, peak: sum.running, ..Default::default() };
        }
        drop(sums);
        UsageReport {
            period: now.duration_since(since).into(),
            customers: customers.into_iter().map(customer_use).collect(),
            stages: stages.into_iter().map(stage_use).collect(),
        }
    }
}

fn customer_use((customer, sum): (CustomerName, CustomerSum)) -> CustomerUse {
    let CustomerSum { requests, peak, tokens, .. } = sum;
    CustomerUse { customer, requests, concurrency: peak, tokens: Tokens(tokens) }
}

fn stage_use(((customer, stage, pool), sum): (StageKey, StageSum)) -> StageUse {
    let StageSum { calls, busy, tokens, wasted } = sum;
    StageUse {
        customer,
        stage,
        pool,
        calls,
        busy: Micros(busy),
        tokens: Tokens(tokens),
        wasted: Micros(wasted),
    }
}
