//! Connections to upstreams that entries lend each other.
//!
//! Each entry has a share of the connections that an upstream accepts. Where most callers come to one
//! entry, that one needs more than its share, and the others less.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::{OwnedSemaphorePermit, oneshot};

use super::Upstream;

/// The connections to one upstream that this entry lends, and those that others lend it.
#[derive(Debug, Default)]
pub(super) struct Lending {
    lent: AtomicU32,
    /// Borrowed connections that are not opened yet.
    borrowed: Mutex<Vec<Borrowed>>,
}

/// The right to a connection that another entry has lent. It is returned when this is dropped.
#[derive(Debug)]
pub(crate) struct Borrowed(
    #[expect(dead_code, reason = "the receiver notices when it is dropped")] oneshot::Sender<()>,
);

impl Borrowed {
    /// Creates the right, and the receiver that is closed when it is returned.
    pub(crate) fn new() -> (Self, oneshot::Receiver<()>) {
        let (returned, when) = oneshot::channel();
        (Self(returned), when)
    }
}

/// A connection that this entry has lent, until it is dropped.
#[derive(Debug)]
pub(crate) struct Lent {
    upstream: Arc<Upstream>,
    _permit: OwnedSemaphorePermit,
}

impl Drop for Lent {
    fn drop(&mut self) {
        self.upstream.lending.lent.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The right to a connection.
#[derive(Debug)]
pub(super) enum Permit {
    /// One of this entry's share.
    Own(OwnedSemaphorePermit),
    /// One that another entry has lent.
    Borrowed(#[expect(dead_code, reason = "returned when it is dropped")] Borrowed),
}

impl Upstream {
    /// Lends one of this entry's connections, if it uses fewer than it may.
    pub(crate) fn lend_connection(self: &Arc<Self>) -> Option<Lent> {
        let free = || Arc::clone(&self.permits).try_acquire_owned().ok();
        let permit = free().or_else(|| self.release_idle())?;
        self.lending.lent.fetch_add(1, Ordering::Relaxed);
        Some(Lent { upstream: Arc::clone(self), _permit: permit })
    }

    /// Returns how many connections this entry has lent.
    pub(super) fn lent_connections(&self) -> u32 {
        self.lending.lent.load(Ordering::Relaxed)
    }

    /// Adds a borrowed connection, which the next request opens.
    pub(crate) fn add_borrowed(&self, borrowed: Borrowed) {
        self.lending.borrowed.lock().unwrap_or_else(PoisonError::into_inner).push(borrowed);
    }

    pub(super) fn take_borrowed(&self) -> Option<Borrowed> {
        self.lending.borrowed.lock().unwrap_or_else(PoisonError::into_inner).pop()
    }
}
