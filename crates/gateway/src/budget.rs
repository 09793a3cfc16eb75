//! The retry budget: what all entries together may send again to a service.
//!
//! Each entry may use a fixed share of the burst and the ratio of its own requests. The shares of
//! all add up to no more than the whole, with or without control.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// How many parts a window is counted in.
const PARTS: u32 = 10;

/// The bounds of the budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSpec {
    /// The share of the requests that may be sent again.
    pub ratio: f64,
    /// The window.
    pub window: Duration,
    /// How many more may be sent again in a window, by all entries together.
    pub burst: f64,
}

/// The part of the budget that is used, which leaves room for what several entries see
/// differently: windows that slide between their parts.
const USED: f64 = 0.8;

#[derive(Debug, Default)]
struct Account {
    parts: Vec<(u64, u32, u32)>,
}

/// One entry's account of all services.
#[derive(Debug)]
pub struct Budget {
    spec: BudgetSpec,
    start: Instant,
    accounts: Mutex<HashMap<Arc<str>, Account>>,
}

impl Budget {
    /// Opens an account.
    pub fn new(spec: BudgetSpec, now: Instant) -> Self {
        Self { spec, start: now, accounts: Mutex::default() }
    }

    /// Counts a request for a service.
    pub fn request(&self, service: &Arc<str>, now: Instant) {
        self.with(service, now, |account, part| account.at(part).1 += 1);
    }

    /// Takes `count` repeats for a service, or none, where `entries` share the burst.
    pub fn take(&self, service: &Arc<str>, count: u32, entries: usize, now: Instant) -> bool {
        let spec = self.spec;
        self.with(service, now, |account, part| {
            let requests: u32 = account.parts.iter().map(|it| it.1).sum();
            let repeats: u32 = account.parts.iter().map(|it| it.2).sum();
            let burst = spec.burst / entries.max(1) as f64;
            let allowed = USED * (spec.ratio * f64::from(requests) + burst);
            let granted = f64::from(repeats + count) <= allowed;
            if granted {
                account.at(part).2 += count;
            }
            granted
        })
    }

    fn with<T>(
        &self,
        service: &Arc<str>,
        now: Instant,
        act: impl FnOnce(&mut Account, u64) -> T,
    ) -> T {
        let length = (self.spec.window / PARTS).as_millis().max(1);
        let part = (now.duration_since(self.start).as_millis() / length) as u64;
        let mut accounts = self.accounts.lock().unwrap_or_else(PoisonError::into_inner);
        let account = accounts.entry(Arc::clone(service)).or_default();
        account.parts.retain(|it| it.0 + u64::from(PARTS) > part);
        act(account, part)
    }
}

impl Account {
    fn at(&mut self, part: u64) -> &mut (u64, u32, u32) {
        if self.parts.last().is_none_or(|it| it.0 != part) {
            self.parts.push((part, 0, 0));
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}
