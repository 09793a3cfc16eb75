//! The retry budget: how many requests all entries together may send again to a service.
//!
//! Each request earns its entry a part of a retry, which expires soon, so that requests at one entry and
//! retries at another can't fall into two windows. Beyond that, each entry may use a share of the burst in
//! a window. What all entries use adds up to no more than the whole budget, whether or not the control plane
//! is reachable. Pieces have budgets of their own, since an owner repeats the pieces of all entries.
//!
//! The load is that of single failures, anywhere in a fleet of any size. An entry whose share is used up, or
//! that has none yet, borrows from others. Once there are more entries than retries in the burst, an equal
//! share is less than one retry, and a few entries, which all choose alike, hold the whole of it.

use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

pub use self::permit::RetryPermit;
pub use self::roster::Start;

use self::permit::Accounts;
use self::roster::Roster;

mod account;
mod permit;
mod roster;

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

/// A number of retries; of one that an entry has earned in part, it borrows the rest.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Retries(pub f64);

impl fmt::Display for Retries {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}", self.0)
    }
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

/// How the burst is divided among the spenders of a kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Share {
    /// Equally among this number of spenders.
    Equal(usize),
    /// Among the entries.
    OfEntries,
}

/// The share of the ratio that is used. With a request's credit that lasts for a quarter of a window, what
/// is spent in a window was earned in one and a quarter: together no more than the ratio.
const USABLE_RATIO: f64 = 0.8;

/// The share of the burst that is used. The rest covers what entries with different lists use twice.
const USABLE_BURST: f64 = 0.9;

/// How long after it was asked for a retry that another entry lent may be sent.
pub const LOAN_TIME: Duration = Duration::from_secs(1);

/// One entry's retry budget for all services.
#[derive(Debug)]
pub struct Budget {
    spec: BudgetSpec,
    roster: Mutex<Roster>,
    accounts: Arc<Accounts>,
}

impl Budget {
    /// Creates the budget of the entry at `own`, which starts `now`.
    pub fn new(spec: BudgetSpec, own: SocketAddr, start: Start, now: Instant) -> Self {
        let roster = Mutex::new(Roster::new(own, start, spec.window, now));
        Self { spec, roster, accounts: Arc::default() }
    }

    /// Takes a list of the entries among which the burst is divided.
    pub fn learn(&self, entries: impl Iterator<Item = SocketAddr>, now: Instant) {
        self.roster().learn(entries, now);
    }

    fn roster(&self) -> MutexGuard<'_, Roster> {
        self.roster.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns this entry's share of the burst of a kind of spender.
    fn burst(&self, spender: Spender, share: Share, now: Instant) -> f64 {
        let burst = USABLE_BURST * self.spec.part(spender).burst;
        let mut roster = self.roster();
        match share {
            Share::OfEntries => roster.share(burst, now),
            Share::Equal(_) if roster.is_new(now) => 0.0,
            Share::Equal(sharers) => burst / sharers.max(1) as f64,
        }
    }

    /// Counts requests or pieces that were sent, or will be, to a service.
    pub fn record(&self, service: &Arc<str>, spender: Spender, count: u32, now: Instant) {
        let earned = USABLE_RATIO * self.spec.part(spender).ratio * f64::from(count);
        let window = self.spec.window;
        self.accounts.with((service, spender), |it| it.earn(earned, window, now));
    }

    /// Takes retries, or a part of one, for a service from the budget, all or nothing.
    ///
    /// # Errors
    /// Returns how much is missing.
    pub fn take(
        &self,
        service: &Arc<str>,
        spender: Spender,
        amount: Retries,
        share: Share,
        now: Instant,
    ) -> Result<RetryPermit, Retries> {
        let burst = self.burst(spender, share, now);
        let window = self.spec.window;
        let (balance, taken) = self.accounts.with((service, spender), |account| {
            let balance = account.balance(window, now);
            (balance, account.take(amount.0, burst, window, now))
        });
        log::info!(service:%, spender:?, amount:%, granted = taken.is_ok(),
            earned = balance.earned, spent = balance.spent, burst, share:?,
            entries = self.roster().entries();
            "asked the retry budget");
        let charge = taken.map_err(Retries)?;
        Ok(RetryPermit::new(&self.accounts, service, spender, charge))
    }

    /// Lends retries, or a part of one, to another entry, which may send them for [`LOAN_TIME`]; returns
    /// whether it does.
    pub fn lend(
        &self,
        service: &Arc<str>,
        spender: Spender,
        amount: Retries,
        now: Instant,
    ) -> bool {
        let taken = self.take(service, spender, amount, Share::OfEntries, now);
        taken.is_ok_and(|it| it.begin_send(now + LOAN_TIME))
    }

    /// Returns the other entries that lend retries of a kind of spender.
    pub fn lenders(&self, spender: Spender) -> Vec<SocketAddr> {
        self.roster().lenders(USABLE_BURST * self.spec.part(spender).burst)
    }
}
