//! The phases in which an entry drains, and the requests in flight.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// The phase of an entry, and its requests in flight.
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
            unwritten: AtomicUsize::new(0),
            ended: AtomicU64::new(0),
            ended_ms: AtomicU64::new(0),
        }
    }
}

/// A phase of an entry; phases only advance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub(crate) enum Phase {
    /// Serves requests.
    Serving,
    /// Not ready any more. Serves new requests, and announces in answers that the connection
    /// closes.
    Leaving,
    /// Refuses new requests, because they might not end in time.
    Refusing,
    /// Answers the requests that have no answer yet: the process is about to end.
    Closing,
}

#[derive(Debug)]
struct Inner {
    phase: AtomicU8,
    closing: Notify,
    requests: AtomicUsize,
    /// The answers that are not written to their callers yet, with those in progress.
    unwritten: AtomicUsize,
    /// The requests that have ended since [`Drain::take_mean_duration`], and how long they took together.
    ended: AtomicU64,
    ended_ms: AtomicU64,
}

impl Drain {
    /// Advances to a phase.
    pub(crate) fn enter_phase(&self, phase: Phase) {
        self.inner.phase.fetch_max(phase as u8, Ordering::SeqCst);
        if phase == Phase::Closing {
            self.inner.closing.notify_waiters();
        }
    }

    /// Returns whether the entry is draining.
    pub(crate) fn is_ending(&self) -> bool {
        self.inner.phase.load(Ordering::Relaxed) >= Phase::Leaving as u8
    }

    /// Returns whether the entry refuses new requests.
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

    /// Runs `work` until the process is about to end; returns `None` if that comes before its result.
    pub(crate) async fn run_until_closing<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            // A result that is ready goes first.
            biased;
            done = work => Some(done),
            () = self.closing() => None,
        }
    }

    /// Returns the number of requests in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.inner.requests.load(Ordering::Relaxed)
    }

    /// Returns the number of answers that are not written to their callers yet.
    pub(crate) fn unwritten(&self) -> usize {
        self.inner.unwritten.load(Ordering::Relaxed)
    }

    /// Returns whether no request is in flight and all answers are written.
    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight() == 0 && self.unwritten() == 0
    }

    /// Counts an answer as not written until the returned guard is dropped.
    pub(crate) fn track_answer(&self) -> UnwrittenAnswer {
        self.inner.unwritten.fetch_add(1, Ordering::Relaxed);
        UnwrittenAnswer(Arc::clone(&self.inner))
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub(crate) fn track_request(&self) -> InFlight {
        self.inner.requests.fetch_add(1, Ordering::Relaxed);
        InFlight { inner: Arc::clone(&self.inner), begun: Instant::now() }
    }

    /// Returns how long the requests took on average that have ended since the last call.
    pub(crate) fn take_mean_duration(&self) -> Option<Duration> {
        let count = self.inner.ended.swap(0, Ordering::Relaxed);
        let ms = self.inner.ended_ms.swap(0, Ordering::Relaxed);
        Some(Duration::from_millis(ms.checked_div(count)?))
    }
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlight {
    inner: Arc<Inner>,
    begun: Instant,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.inner.requests.fetch_sub(1, Ordering::Relaxed);
        self.inner.ended.fetch_add(1, Ordering::Relaxed);
        let ms = self.begun.elapsed().as_millis() as u64;
        self.inner.ended_ms.fetch_add(ms, Ordering::Relaxed);
    }
}

/// Counts an answer as not written until it is dropped.
#[derive(Debug)]
pub(crate) struct UnwrittenAnswer(Arc<Inner>);

impl Drop for UnwrittenAnswer {
    fn drop(&mut self) {
        self.0.unwritten.fetch_sub(1, Ordering::Relaxed);
    }
}
