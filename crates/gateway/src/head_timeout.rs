//! Limits the time in which a caller must send a request head, separately from the idle time of a
//! connection.
//!
//! The HTTP library has one timer for both, which starts when the connection begins to wait for a
//! head. Set to the idle timeout, it lets a caller that sends a byte now and then hold a connection
//! for all of that time. Set to the head timeout, it closes connections that are merely idle. So
//! the timer made here ignores the library's deadline. It runs for the idle timeout, and begins anew
//! with the head timeout once the first byte of a head has come. Both are those of the plan in force.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use hyper::rt::{Sleep, Timer};
use tokio::time::{self, sleep_until};

use crate::caller_limits::CallerLimits;
use crate::plan::Limits;

#[cfg(test)]
mod tests;

/// How long a timer that is due still waits for bytes that had come before it was due, so that the
/// connection is looked at once more after the process was held up.
const LAST_LOOK_TIME: Duration = Duration::from_millis(5);

/// Counts the reads of a connection that returned bytes.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadCounter(Arc<AtomicU64>);

impl ReadCounter {
    pub(crate) fn record(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Creates the timers of one connection.
#[derive(Clone, Debug)]
pub(crate) struct HeadTimer {
    reads: ReadCounter,
    limits: CallerLimits,
}

impl HeadTimer {
    /// Creates timers for the connection whose reads are counted by `reads`.
    pub(crate) fn new(reads: ReadCounter, limits: CallerLimits) -> Self {
        Self { reads, limits }
    }
}

impl Timer for HeadTimer {
    fn sleep(&self, _: Duration) -> Pin<Box<dyn Sleep>> {
        let (start, wait) = (time::Instant::now(), Wait::Idle);
        let limit = wait.limit(&self.limits.get());
        Box::pin(HeadSleep {
            reads_before: self.reads.count(),
            reads: self.reads.clone(),
            limits: self.limits.clone(),
            wait,
            start,
            limit,
            looked: false,
            sleep: Box::pin(sleep_until(start + limit)),
        })
    }

    fn sleep_until(&self, _: Instant) -> Pin<Box<dyn Sleep>> {
        self.sleep(Duration::ZERO)
    }
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wait {
    /// The first byte of a head.
    Idle,
    /// The rest of a head.
    Head,
}

impl Wait {
    fn limit(self, limits: &Limits) -> Duration {
        match self {
            Wait::Idle => limits.idle_time,
            Wait::Head => limits.header_time,
        }
    }
}

/// A timer that ends after the idle timeout, or after the head timeout once a head has begun.
struct HeadSleep {
    /// The number of reads before the wait.
    reads_before: u64,
    reads: ReadCounter,
    limits: CallerLimits,
    wait: Wait,
    /// When the wait began, and how long it may last.
    start: time::Instant,
    limit: Duration,
    /// Whether the connection is looked at once more.
    looked: bool,
    sleep: Pin<Box<time::Sleep>>,
}

impl HeadSleep {
    /// Begins to wait for the rest of a head if its first bytes have come.
    fn note_reads(&mut self) {
        if self.wait == Wait::Idle && self.reads.count() != self.reads_before {
            (self.wait, self.start) = (Wait::Head, time::Instant::now());
            self.limit = self.wait.limit(&self.limits.get());
            self.looked = false;
            self.sleep.as_mut().reset(self.start + self.limit);
        }
    }

    /// Goes on, after the timer was due, if a longer limit has come into force since, or for a last look at
    /// the connection. Returns whether it does.
    fn goes_on(&mut self) -> bool {
        let limit = self.wait.limit(&self.limits.get());
        if limit > self.limit {
            (self.limit, self.looked) = (limit, false);
            self.sleep.as_mut().reset(self.start + limit);
            return true;
        }
        let last_look = !self.looked;
        if last_look {
            self.looked = true;
            self.sleep.as_mut().reset(time::Instant::now() + LAST_LOOK_TIME);
        }
        last_look
    }
}

impl Sleep for HeadSleep {}

impl Future for HeadSleep {
    type Output = ();

    /// Polls the timer. The connection does so after each read that did not complete a head.
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        self.note_reads();
        loop {
            ready!(self.sleep.as_mut().poll(cx));
            if !self.goes_on() {
                return Poll::Ready(());
            }
        }
    }
}
