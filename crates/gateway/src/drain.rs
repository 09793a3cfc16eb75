//! The phases of an entry's end, and the requests under way.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Whether the entry ends, and what it still has to do.
#[derive(Clone, Debug, Default)]
pub(crate) struct Drain {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    ending: AtomicBool,
    requests: AtomicUsize,
}

impl Drain {
    /// Begins the end: not ready any more, and answers say that the connection closes.
    pub(crate) fn begin(&self) {
        self.inner.ending.store(true, Ordering::Relaxed);
    }

    /// Whether the entry ends.
    pub(crate) fn is_ending(&self) -> bool {
        self.inner.ending.load(Ordering::Relaxed)
    }

    /// The requests under way.
    pub(crate) fn requests(&self) -> usize {
        self.inner.requests.load(Ordering::Relaxed)
    }

    /// Counts a request until the guard is dropped.
    pub(crate) fn enter(&self) -> UnderWay {
        self.inner.requests.fetch_add(1, Ordering::Relaxed);
        UnderWay { inner: Arc::clone(&self.inner) }
    }
}

/// A request under way.
#[derive(Debug)]
pub(crate) struct UnderWay {
    inner: Arc<Inner>,
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.inner.requests.fetch_sub(1, Ordering::Relaxed);
    }
}
