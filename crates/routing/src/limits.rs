//! Limits per customer, enforced across all entries by shares that control assigns.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use arc_swap::ArcSwap;
use types::{CustomerLimits, Rate, RefusalReason, Tokens};

use crate::clock::Micros;
use crate::refusals::Refusals;

/// The burst that a rate allows, in microseconds of that rate.
const BURST_US: f64 = 1_000_000.0;

/// A rate limit in events a second, implemented with the generic cell rate algorithm. It is stored
/// as the time at which the use so far is paid off; 0 in a new bucket, which is long past.
#[derive(Debug, Default)]
struct Bucket {
    paid_off_at: AtomicU64,
}

impl Bucket {
    /// Takes one event, or returns the time until one is allowed.
    fn take(&self, rate: f64, now: Micros) -> Result<(), Micros> {
        if rate <= 0.0 {
            return Err(BURST_US as Micros);
        }
        let step = 1_000_000.0 / rate;
        let limit = now + (BURST_US.max(step)) as Micros;
        let next = |paid: Micros| {
            let paid = paid.max(now) + step as Micros;
            (paid <= limit).then_some(paid)
        };
        let taken = self.paid_off_at.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
        taken.map(drop).map_err(|paid| (paid + step as Micros).saturating_sub(limit))
    }

    /// Returns the time until the debt is within the burst, if it is not.
    fn check(&self, now: Micros) -> Result<(), Micros> {
        let paid = self.paid_off_at.load(Ordering::Relaxed);
        let limit = now + BURST_US as Micros;
        if paid > limit { Err(paid - limit) } else { Ok(()) }
    }

    /// Adds to the debt.
    fn charge(&self, rate: f64, amount: f64, now: Micros) {
        if rate <= 0.0 {
            return;
        }
        let step = (amount * 1_000_000.0 / rate) as Micros;
        let next = |paid: Micros| Some(paid.max(now).saturating_add(step));
        let _ = self.paid_off_at.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
    }
}

/// The reason why a customer's request is refused, and the time until one is allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LimitExceeded {
    pub(crate) reason: RefusalReason,
    pub(crate) retry_in: Micros,
}

/// A customer's use of its limits at this entry.
#[derive(Debug, Default)]
pub(crate) struct Account {
    limits: ArcSwap<CustomerLimits>,
    share: ArcSwap<CustomerLimits>,
    running: AtomicU32,
    rate: Bucket,
    tokens: Bucket,
    pub(crate) refusals: Refusals,
}

impl Account {
    /// Sets the limits across all entries.
    pub(crate) fn set_limits(&self, limits: &CustomerLimits) {
        self.limits.store(Arc::new(limits.clone()));
    }

    /// Sets this entry's shares of the limits.
    pub(crate) fn set_share(&self, share: &CustomerLimits) {
        self.share.store(Arc::new(share.clone()));
    }

    /// Takes one request from the limits.
    pub(crate) fn admit(&self, entries: u32, now: Micros) -> Result<(), LimitExceeded> {
        let limits = self.limits.load();
        let share = self.share.load();
        if let Some(rate) = rate_share(limits.tokens, share.tokens, entries)
            && rate > 0.0
        {
            let exceeded =
                |retry_in| LimitExceeded { reason: RefusalReason::CustomerTokens, retry_in };
            self.tokens.check(now).map_err(exceeded)?;
        }
        self.acquire(concurrency_share(limits.concurrency, share.concurrency, entries))?;
        let Some(rate) = rate_share(limits.rate, share.rate, entries) else {
            return Ok(());
        };
        self.rate.take(rate, now).map_err(|retry_in| {
            self.release();
            LimitExceeded { reason: RefusalReason::CustomerRate, retry_in }
        })
    }

    /// Ends a request, so that the next one may run.
    pub(crate) fn release(&self) {
        self.running.fetch_sub(1, Ordering::Relaxed);
    }

    /// Charges generated tokens. How many a request generates is known only afterwards, so the
    /// limit is a debt: while it exceeds one second's worth, the customer's requests are refused.
    pub(crate) fn charge(&self, tokens: Tokens, entries: u32, now: Micros) {
        let (limits, share) = (self.limits.load(), self.share.load());
        if let Some(rate) = rate_share(limits.tokens, share.tokens, entries) {
            self.tokens.charge(rate, tokens.0 as f64, now);
        }
    }

    fn acquire(&self, max: Option<u32>) -> Result<(), LimitExceeded> {
        let step =
            |running: u32| max.is_none_or(|max| running < max).then_some(running.saturating_add(1));
        let started = self.running.fetch_update(Ordering::Relaxed, Ordering::Relaxed, step);
        let exceeded = LimitExceeded { reason: RefusalReason::CustomerConcurrency, retry_in: 0 };
        started.map(drop).map_err(|_| exceeded)
    }
}

/// Returns this entry's share of a rate. Before control has assigned one, it is an even share: once
/// the number of entries is known, their shares never add up to more than the limit, whichever
/// entries are idle. An entry that knows nothing assumes at least one other. A share above the
/// limit is outdated and is reduced to the limit.
fn rate_share(limit: Option<Rate>, share: Option<Rate>, entries: u32) -> Option<f64> {
    let limit = limit?.0;
    Some(share.map_or(limit / f64::from(entries), |it| it.0.min(limit)))
}

/// Returns this entry's share of the concurrent requests. Before control has assigned one, it is at
/// least one; otherwise a limit below the number of entries would refuse the customer everywhere.
/// The excess is less than the number of entries and ends with the first assigned share.
fn concurrency_share(limit: Option<u32>, share: Option<u32>, entries: u32) -> Option<u32> {
    let limit = limit?;
    Some(share.map_or((limit / entries).max(1), |it| it.min(limit)))
}
