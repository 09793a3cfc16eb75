//! Limits the time in which a caller must send a request head, separately from the idle time of a
//! connection.
//!
//! The HTTP library has one timer for both, which starts when the connection begins to wait for a
//! head. Set to the idle timeout, it lets a caller that sends a byte now and then hold a connection
//! for all of that time. Set to the head timeout, it closes connections that are merely idle. So
//! the timer made here is set to the idle timeout and shortened once the first byte of a head has
//! come.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use hyper::rt::{Sleep, Timer};
use tokio::time::{self, sleep_until};

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
    head_timeout: Duration,
}

impl HeadTimer {
    /// Creates timers for the connection whose reads are counted by `reads`.
    pub(crate) fn new(reads: ReadCounter, head_timeout: Duration) -> Self {
        Self { reads, head_timeout }
    }
}

impl Timer for HeadTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(HeadSleep {
            reads_before: Some(self.reads.count()),
            reads: self.reads.clone(),
            head_timeout: self.head_timeout,
            sleep: Box::pin(sleep_until(deadline.into())),
        })
    }
}

/// A timer that ends after the idle timeout, or after the head timeout once a head has begun.
struct HeadSleep {
    /// The number of reads before the wait, until another read comes.
    reads_before: Option<u64>,
    reads: ReadCounter,
    head_timeout: Duration,
    sleep: Pin<Box<time::Sleep>>,
}

impl Sleep for HeadSleep {}

impl Future for HeadSleep {
    type Output = ();

    /// Polls the timer. The connection does so after each read that did not complete a head.
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.reads_before.is_some_and(|it| it != self.reads.count()) {
            self.reads_before = None;
            let by = self.sleep.deadline().min(time::Instant::now() + self.head_timeout);
            self.sleep.as_mut().reset(by);
        }
        self.sleep.as_mut().poll(cx)
    }
}
