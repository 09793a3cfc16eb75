//! Permits to send something again.
//!
//! A retry counts from its grant until a window after it was sent. Between the two lies the time until a
//! connection is there: where a path is cut, many retries wait for it and are sent together.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use tokio::sync::watch;
use tokio::time::Instant;

use super::Spender;
use super::account::{Account, Charge};

/// The accounts of an entry, by service and spender.
#[derive(Debug, Default)]
pub(super) struct Accounts(Mutex<HashMap<(Arc<str>, Spender), Account>>);

impl Accounts {
    pub(super) fn with<T>(
        &self,
        (service, spender): (&Arc<str>, Spender),
        act: impl FnOnce(&mut Account) -> T,
    ) -> T {
        act(self.lock().entry((Arc::clone(service), spender)).or_default())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<(Arc<str>, Spender), Account>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Shows when what a permit allows was sent; `None` as long as nothing is on the way.
pub type SendWatch = watch::Sender<Option<Instant>>;

/// The permit to send requests or pieces again once. Gives back what it was granted if it is dropped
/// before they are sent.
#[derive(Debug)]
pub struct RetryPermit {
    accounts: Arc<Accounts>,
    service: Arc<str>,
    spender: Spender,
    charge: Charge,
    /// Until when they may be sent, if another entry lent a part.
    valid_until: Option<Instant>,
    sent: AtomicBool,
    /// Who is told when they are sent.
    watch: OnceLock<Arc<SendWatch>>,
}

impl RetryPermit {
    pub(super) fn new(
        accounts: &Arc<Accounts>,
        service: &Arc<str>,
        spender: Spender,
        charge: Charge,
    ) -> Self {
        Self {
            accounts: Arc::clone(accounts),
            service: Arc::clone(service),
            spender,
            charge,
            valid_until: None,
            sent: AtomicBool::new(false),
            watch: OnceLock::new(),
        }
    }

    /// Returns the permit, of which another entry lent a part for as long.
    #[must_use]
    pub fn lent_until(mut self, end: Instant) -> Self {
        self.valid_until = Some(end);
        self
    }

    /// Has `watch` show when what it permits is sent; only the first one does.
    pub fn show_in(&self, watch: &Arc<SendWatch>) {
        self.watch.get_or_init(|| Arc::clone(watch));
    }

    /// Records that what it permits is sent at `now`; returns whether it still may be.
    pub fn begin_send(&self, now: Instant) -> bool {
        if self.valid_until.is_some_and(|it| it < now) {
            return false;
        }
        if !self.sent.swap(true, Ordering::Relaxed) {
            let account = (&self.service, self.spender);
            self.accounts.with(account, |it| it.settle(self.charge, now));
        }
        if let Some(watch) = self.watch.get() {
            watch.send_replace(Some(now));
        }
        true
    }

    /// Shows that nothing is on the way: the connection ended before a byte was written.
    pub fn show_unsent(&self) {
        if let Some(watch) = self.watch.get() {
            watch.send_replace(None);
        }
    }
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        if !self.sent.load(Ordering::Relaxed) {
            let account = (&self.service, self.spender);
            self.accounts.with(account, |it| it.refund(self.charge));
        }
    }
}
