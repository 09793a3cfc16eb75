//! The retry budget: how many requests all entries together may send again to a service.
//!
//! Each entry may use a fixed share of the burst, and the ratio of its own requests. The shares of
//! all entries add up to no more than the whole budget, whether or not the control plane is
//! reachable. Pieces have budgets of their own, since an owner repeats the pieces of all entries.
//!
//! The load is that of single failures, anywhere in a fleet of any size. Once there are more entries
//! than retries in the burst, an equal share is less than one retry, and no entry could use it. Then a
//! few entries, which all choose alike, hold the whole burst and lend it to the others.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
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
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
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

/// How many entries hold the burst at most once an equal share is less than one retry.
const MAX_LENDERS: usize = 8;

/// How the burst is divided among the spenders of a kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Share {
    /// Equally among this number of spenders.
    Equal(usize),
    /// Equally among this number of entries while each gets a whole retry, else among lenders.
    Ranked {
        /// The number of entries.
        entries: usize,
        /// The rank of this entry, by which all entries choose the lenders alike.
        rank: usize,
    },
}

impl Share {
    /// Returns this spender's share of `burst` retries.
    fn of(self, burst: f64) -> f64 {
        match self {
            Self::Equal(sharers) => burst / sharers.max(1) as f64,
            Self::Ranked { entries, rank } => match lenders(burst, entries) {
                None => burst / entries.max(1) as f64,
                Some(lenders) if rank < lenders => burst / lenders as f64,
                Some(_) => 0.0,
            },
        }
    }
}

/// Returns how many of `entries` hold the burst; `None` if each has a share of its own.
fn lenders(burst: f64, entries: usize) -> Option<usize> {
    let each = burst / entries.max(1) as f64;
    (each < 1.0).then(|| (burst as usize).clamp(1, MAX_LENDERS).min(entries))
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
    /// were granted.
    pub fn take(
        &self,
        service: &Arc<str>,
        spender: Spender,
        count: u32,
        share: Share,
        now: Instant,
    ) -> bool {
        let spec = self.spec.part(spender);
        self.with_account((Arc::clone(service), spender), now, |account, bucket| {
            let requests: u32 = account.buckets.iter().map(|it| it.1).sum();
            let retries: u32 = account.buckets.iter().map(|it| it.2).sum();
            let burst = share.of(USABLE_SHARE * spec.burst);
            let allowed = USABLE_SHARE * spec.ratio * f64::from(requests) + burst;
            let granted = f64::from(retries + count) <= allowed;
            if granted {
                account.bucket_mut(bucket).2 += count;
            }
            let age_ms = now.duration_since(self.start).as_millis() as u64;
            log::info!(service:%, spender:?, count, granted, used = retries, allowed, requests,
                share:?, age_ms; "asked the retry budget");
            granted
        })
    }

    /// Returns how many of `entries` lend the burst to the others; `None` if each has its own share.
    pub fn lenders(&self, spender: Spender, entries: usize) -> Option<usize> {
        lenders(USABLE_SHARE * self.spec.part(spender).burst, entries)
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
        // The oldest bucket may hold retries of the last moment before the window.
        account.buckets.retain(|it| it.0 + u64::from(BUCKETS) >= bucket);
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
