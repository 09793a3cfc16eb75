//! The phases of an entry's end, and the requests under way.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};

use tokio::sync::Notify;

/// Whether the entry ends, and what it still has to do.
#[derive(Clone, Debug, Default)]
pub(crate) struct Drain {
    inner: Arc<Inner>,
}

impl Default for Inner {
    fn default() -> Self {
        Self {
            phase: AtomicU8::new(Phase::Serving as u8),
            closing: Notify::new(),
            requests: AtomicUsize::new(0),
        }
    }
}

/// A phase of an entry's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub(crate) enum Phase {
    /// Serves.
    Serving,
    /// Not ready any more; serves what comes, and answers say that the connection closes.
    Leaving,
    /// Refuses what comes: it could not be ended in time.
    Refusing,
    /// Answers what has no answer yet: the process ends in a moment.
    Closing,
}

#[derive(Debug)]
struct Inner {
    phase: AtomicU8,
    closing: Notify,
    requests: AtomicUsize,
}

impl Drain {
    /// Goes on to a phase.
    pub(crate) fn enter_phase(&self, phase: Phase) {
        self.inner.phase.fetch_max(phase as u8, Ordering::SeqCst);
        if phase == Phase::Closing {
            self.inner.closing.notify_waiters();
        }
    }

    /// Whether the entry ends.
    pub(crate) fn is_ending(&self) -> bool {
        self.inner.phase.load(Ordering::Relaxed) >= Phase::Leaving as u8
    }

    /// Whether the entry refuses what comes.
    pub(crate) fn is_refusing(&self) -> bool {
        self.inner.phase.load(Ordering::Relaxed) >= Phase::Refusing as u8
    }

    /// Waits until the process is about to end.
    pub(crate) async fn closing(&self) {
        let notified = self.inner.closing.notified();
        let is_closing = self.inner.phase.load(Ordering::SeqCst) >= Phase::Closing as u8;
        if !is_closing {
            notified.await;
        }
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
