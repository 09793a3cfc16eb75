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

pub use self::permit::{RetryPermit, SendWatch};
pub use self::roster::Start;

use self::account::Terms;
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

/// A spender's part of the budget.
struct Part {
    /// The share of the ratio.
    ratio: f64,
    /// The share of the burst for all spenders of the kind.
    burst: f64,
    /// How long what a request has earned may be spent, in windows.
    lifetime: f64,
}

impl Spender {
    /// Returns the part of the budget for all spenders of a kind. The submitters' and the owners'
    /// parts add up to the whole, with two owners of a section at the same time. Submitters need many
    /// retries at once, when an owner is gone, and seldom any.
    fn part(self) -> Part {
        let (ratio, burst, lifetime) = match self {
            Spender::Entry => (1.0, 1.0, 0.25),
            Spender::Submitter => (0.55, 0.5, 1.0),
            Spender::Owner => (0.45, 0.25, 0.25),
        };
        Part { ratio, burst, lifetime }
    }
}

impl Part {
    /// Returns the share of the ratio that a request earns. What is spent in a window was earned in it, or
    /// at most a lifetime before: together no more than the share.
    fn earned(&self) -> f64 {
        self.ratio / (1.0 + self.lifetime)
    }
}

impl BudgetSpec {
    /// Returns the burst that all spenders of a kind may use.
    fn usable_burst(self, spender: Spender) -> f64 {
        USABLE_BURST * self.burst * spender.part().burst
    }

    fn terms(self, spender: Spender) -> Terms {
        let lifetime = self.window.mul_f64(spender.part().lifetime);
        Terms { window: self.window, lifetime }
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
        let burst = self.spec.usable_burst(spender);
        let mut roster = self.roster();
        match share {
            Share::OfEntries => roster.share(burst, now),
            Share::Equal(_) if roster.is_new(now) => 0.0,
            Share::Equal(sharers) => burst / sharers.max(1) as f64,
        }
    }

    /// Counts requests or pieces that were sent, or will be, to a service.
    pub fn record(&self, service: &Arc<str>, spender: Spender, count: u32, now: Instant) {
        let earned = self.spec.ratio * spender.part().earned() * f64::from(count);
        let terms = self.spec.terms(spender);
        self.accounts.with((service, spender), |it| it.earn(earned, terms, now));
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
        let terms = self.spec.terms(spender);
        let (balance, taken) = self.accounts.with((service, spender), |account| {
            let balance = account.balance(terms, now);
            (balance, account.take(amount.0, burst, terms, now))
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
        self.roster().lenders(self.spec.usable_burst(spender))
    }
}
