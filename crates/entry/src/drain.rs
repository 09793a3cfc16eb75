//! The phases of a drain, and the count of requests in flight.

use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

/// The phase of a drain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// New requests are served.
    #[default]
    Serving,
    /// New requests are served, but the entry reports that it is not ready, so that the load
    /// balancer stops sending them.
    NotReady,
    /// New requests are refused; those in flight continue.
    Refusing,
}

/// The state of a drain.
#[derive(Debug, Default)]
pub(crate) struct Drain {
    phase: AtomicU8,
    refusing_since: OnceLock<Instant>,
    in_flight: AtomicUsize,
    idle: Notify,
}

/// Counts one request as in flight until the last byte of its answer is handed to the socket.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    drain: Arc<Drain>,
}

impl Drain {
    pub(crate) fn phase(&self) -> Phase {
        match self.phase.load(Ordering::SeqCst) {
            0 => Phase::Serving,
            1 => Phase::NotReady,
            _ => Phase::Refusing,
        }
    }

    /// Advances to a later phase; an earlier one is ignored.
    pub(crate) fn advance(&self, phase: Phase) {
        self.phase.fetch_max(phase as u8, Ordering::SeqCst);
        if phase == Phase::Refusing {
            self.refusing_since.get_or_init(Instant::now);
        }
    }

    /// Returns for how long new requests have been refused, or `None` if they are not.
    pub(crate) fn refusing_for(&self) -> Option<Duration> {
        self.refusing_since.get().map(Instant::elapsed)
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Waits until no request is in flight.
    pub(crate) async fn wait_idle(&self) {
        loop {
            let notified = self.idle.notified();
            if self.in_flight() == 0 {
                return;
            }
            notified.await;
        }
    }
}

impl InFlightGuard {
    /// Counts a request as in flight. The count goes up before the caller reads the phase, so a
    /// request is either refused or waited for by a drain.
    pub(crate) fn begin(drain: &Arc<Drain>) -> Self {
        drain.in_flight.fetch_add(1, Ordering::SeqCst);
        Self { drain: Arc::clone(drain) }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if self.drain.in_flight.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.drain.idle.notify_waiters();
        }
    }
}
