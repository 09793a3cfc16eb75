//! The retry budget: how many requests all entries together may send again to a service.
//!
//! Each entry may use a fixed share of the burst, and the ratio of its own requests. The shares of
//! all entries add up to no more than the whole budget, whether or not the control plane is
//! reachable.

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
    accounts: Mutex<HashMap<Arc<str>, Account>>,
}

impl Budget {
    /// Creates a budget that counts from `now`.
    pub fn new(spec: BudgetSpec, now: Instant) -> Self {
        Self { spec, start: now, accounts: Mutex::default() }
    }

    /// Counts a request for a service.
    pub fn record_request(&self, service: &Arc<str>, now: Instant) {
        self.with_account(service, now, |account, bucket| account.bucket_mut(bucket).1 += 1);
    }

    /// Takes `count` retries for a service from the budget, all or none, and returns whether they
    /// were granted. The burst is shared by `entries` entries.
    pub fn take(&self, service: &Arc<str>, count: u32, entries: usize, now: Instant) -> bool {
        let spec = self.spec;
        self.with_account(service, now, |account, bucket| {
            let requests: u32 = account.buckets.iter().map(|it| it.1).sum();
            let retries: u32 = account.buckets.iter().map(|it| it.2).sum();
            let burst = spec.burst / entries.max(1) as f64;
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
        service: &Arc<str>,
        now: Instant,
        act: impl FnOnce(&mut Account, u64) -> T,
    ) -> T {
        let bucket_ms = (self.spec.window / BUCKETS).as_millis().max(1);
        let bucket = (now.duration_since(self.start).as_millis() / bucket_ms) as u64;
        let mut accounts = self.accounts.lock().unwrap_or_else(PoisonError::into_inner);
        let account = accounts.entry(Arc::clone(service)).or_default();
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
