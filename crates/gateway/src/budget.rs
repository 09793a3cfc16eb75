//! The retry budget: how many requests all entries together may send again to a service.
//!
//! Each entry may use a fixed share of the burst, and the ratio of its own requests. The shares of
//! all entries add up to no more than the whole budget, whether or not the control plane is
//! reachable. Pieces have budgets of their own, since an owner repeats the pieces of all entries.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// The number of buckets in which a window is counted.
const BUCKETS: u32 = 10;

/// The limits of the retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSpec {
    /// The share of the requests that may be sent again.
    pub ratio: f64,
    /// The window over which requests and retries are counted.
    pub window: Duration,
    /// The number of retries allowed in a window beyond the ratio, for all entries together.
    pub burst: f64,
}

/// Who sends something again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Spender {
    /// An entry, a caller's request.
    Entry,
    /// An entry, the pieces that it has submitted to an owner that is gone.
    Submitter,
    /// The owner of a section, pieces of a call that failed or that found no space. Nearly all
    /// repeated pieces of a service are repeated by its few owners.
    Owner,
}

impl BudgetSpec {
    /// Returns the part of the budget for all spenders of a kind. The submitters' and the owners'
    /// parts add up to the whole, with two owners of a section at the same time.
    fn part(self, spender: Spender) -> Self {
        let (ratio, burst) = match spender {
            Spender::Entry => (1.0, 1.0),
            Spender::Submitter => (0.5, 0.5),
            Spender::Owner => (0.5, 0.25),
        };
        Self { ratio: self.ratio * ratio, burst: self.burst * burst, ..self }
    }
}

/// The share of the budget that is used. The rest covers what several entries count differently,
/// because their windows slide from bucket to bucket.
const USABLE_SHARE: f64 = 0.8;

/// The buckets of a service: the number of the bucket, its requests and its retries.
#[derive(Debug, Default)]
struct Account {
    buckets: Vec<(u64, u32, u32)>,
}

/// One entry's retry budget for all services.
#[derive(Debug)]
pub struct Budget {
    spec: BudgetSpec,
    start: Instant,
    accounts: Mutex<HashMap<(Arc<str>, Spender), Account>>,
}

impl Budget {
    /// Creates a budget that counts from `now`.
    pub fn new(spec: BudgetSpec, now: Instant) -> Self {
        Self { spec, start: now, accounts: Mutex::default() }
    }

    /// Counts requests or pieces that were sent, or will be, to a service.
    pub fn record(&self, service: &Arc<str>, spender: Spender, count: u32, now: Instant) {
        let key = (Arc::clone(service), spender);
        self.with_account(key, now, |account, bucket| account.bucket_mut(bucket).1 += count);
    }

    /// Takes `count` retries for a service from the budget, all or none, and returns whether they
    /// were granted. The burst is divided by `sharers`, the number of spenders of this kind.
    pub fn take(
        &self,
        service: &Arc<str>,
        spender: Spender,
        count: u32,
        sharers: usize,
        now: Instant,
    ) -> bool {
        let spec = self.spec.part(spender);
        self.with_account((Arc::clone(service), spender), now, |account, bucket| {
            let requests: u32 = account.buckets.iter().map(|it| it.1).sum();
            let retries: u32 = account.buckets.iter().map(|it| it.2).sum();
            let burst = spec.burst / sharers.max(1) as f64;
            let allowed = USABLE_SHARE * (spec.ratio * f64::from(requests) + burst);
            let granted = f64::from(retries + count) <= allowed;
            if granted {
                account.bucket_mut(bucket).2 += count;
            }
            granted
        })
    }

    fn with_account<T>(
        &self,
        key: (Arc<str>, Spender),
        now: Instant,
        act: impl FnOnce(&mut Account, u64) -> T,
    ) -> T {
        let bucket_ms = (self.spec.window / BUCKETS).as_millis().max(1);
        let bucket = (now.duration_since(self.start).as_millis() / bucket_ms) as u64;
        let mut accounts = self.accounts.lock().unwrap_or_else(PoisonError::into_inner);
        let account = accounts.entry(key).or_default();
        account.buckets.retain(|it| it.0 + u64::from(BUCKETS) > bucket);
        act(account, bucket)
    }
}

impl Account {
    fn bucket_mut(&mut self, bucket: u64) -> &mut (u64, u32, u32) {
        if self.buckets.last().is_none_or(|it| it.0 != bucket) {
            self.buckets.push((bucket, 0, 0));
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
