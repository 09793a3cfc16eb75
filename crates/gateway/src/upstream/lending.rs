//! Connections to upstreams that entries lend each other.
//!
//! Each entry has a share of the connections that an upstream accepts. Where most callers come to one
//! entry, that one needs more than its share, and the others less.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, oneshot};
use tokio::time::{Instant, sleep};

use super::Upstream;

#[cfg(test)]
mod tests;

/// How long a borrowed connection that no request uses is kept, before it is returned.
pub(super) const KEEP_TIME: Duration = Duration::from_secs(1);

/// The connections to one upstream that this entry lends, and those that others lend it.
#[derive(Debug, Default)]
pub(super) struct Lending {
    lent: AtomicU32,
    /// The number of borrowed connections, in use or not.
    held: Arc<AtomicU32>,
    /// Borrowed connections that are not opened yet, and when each was lent.
    borrowed: Mutex<Vec<(Instant, Borrowed)>>,
}

/// The right to a connection that another entry has lent. It is returned when this is dropped.
#[derive(Debug)]
pub(crate) struct Borrowed {
    #[expect(dead_code, reason = "the receiver notices when it is dropped")]
    returned: oneshot::Sender<()>,
    /// When the lender takes the connection back.
    expires: Instant,
    held: Arc<AtomicU32>,
}

impl Borrowed {
    /// Returns whether a request that ends at `end` may use it.
    pub(super) fn lasts(&self, end: Instant) -> bool {
        end <= self.expires
    }
}

impl Drop for Borrowed {
    fn drop(&mut self) {
        self.held.fetch_sub(1, Ordering::Relaxed);
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
    Borrowed(Borrowed),
}

impl Upstream {
    /// Lends one of this entry's connections, if it uses fewer than it may.
    pub(crate) fn lend_connection(self: &Arc<Self>) -> Option<Lent> {
        let permit = self.free_permit()?;
        self.lending.lent.fetch_add(1, Ordering::Relaxed);
        Some(Lent { upstream: Arc::clone(self), _permit: permit })
    }

    /// Returns how many connections this entry has lent.
    pub(super) fn lent_connections(&self) -> u32 {
        self.lending.lent.load(Ordering::Relaxed)
    }

    /// Returns how many connections other entries have lent this one.
    pub(super) fn borrowed_connections(&self) -> u32 {
        self.lending.held.load(Ordering::Relaxed)
    }

    /// Adds a borrowed connection, which the lender takes back at `expires`, for the next request to open.
    /// Returns the receiver that is closed when it is returned.
    pub(crate) fn add_borrowed(self: &Arc<Self>, expires: Instant) -> oneshot::Receiver<()> {
        let (returned, when) = oneshot::channel();
        let held = Arc::clone(&self.lending.held);
        held.fetch_add(1, Ordering::Relaxed);
        self.lock_borrowed().push((Instant::now(), Borrowed { returned, expires, held }));
        self.idle_added.notify_one();
        let upstream = Arc::clone(self);
        tokio::spawn(async move {
            sleep(KEEP_TIME).await;
            upstream.lock_borrowed().retain(|it| it.0.elapsed() < KEEP_TIME);
        });
        when
    }

    /// Returns a borrowed connection for a request that ends at `end`, to be opened.
    pub(super) fn take_borrowed(&self, end: Instant) -> Option<Borrowed> {
        let mut borrowed = self.lock_borrowed();
        let found = borrowed.iter().position(|it| it.1.lasts(end))?;
        Some(borrowed.swap_remove(found).1)
    }

    fn lock_borrowed(&self) -> MutexGuard<'_, Vec<(Instant, Borrowed)>> {
        self.lending.borrowed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
