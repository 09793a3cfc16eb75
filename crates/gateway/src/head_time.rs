//! Bounds the time that a caller takes for a head, apart from the time for which it stays idle.
//!
//! What goes wrong: the HTTP library has one timer for both, which starts when the connection begins
//! to wait for a head. Set to the idle time, it lets a caller that sends a byte now and then hold a
//! connection for all of it; set to the head's, it ends connections that are merely idle. So the timer
//! made here is shortened once the first byte of a head has come.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use hyper::rt::{Sleep, Timer};
use tokio::time::{self, sleep_until};

/// Counts the readings of a connection that brought bytes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Readings(Arc<AtomicU64>);

impl Readings {
    pub(crate) fn note(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Makes the timers of one connection.
#[derive(Clone, Debug)]
pub(crate) struct HeadTimer {
    readings: Readings,
    head_time: Duration,
}

impl HeadTimer {
    /// Makes the timers of the connection whose readings these are.
    pub(crate) fn new(readings: Readings, head_time: Duration) -> Self {
        Self { readings, head_time }
    }
}

impl Timer for HeadTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(HeadSleep {
            idle: Some(self.readings.count()),
            readings: self.readings.clone(),
            head_time: self.head_time,
            sleep: Box::pin(sleep_until(deadline.into())),
        })
    }
}

/// Ends after the idle time, or the head's once that has begun.
struct HeadSleep {
    /// The readings before the wait, until another comes.
    idle: Option<u64>,
    readings: Readings,
    head_time: Duration,
    sleep: Pin<Box<time::Sleep>>,
}

impl Sleep for HeadSleep {}

impl Future for HeadSleep {
    type Output = ();

    /// The connection polls this after each reading that did not complete a head.
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.idle.is_some_and(|it| it != self.readings.count()) {
            self.idle = None;
            let by = self.sleep.deadline().min(time::Instant::now() + self.head_time);
            self.sleep.as_mut().reset(by);
        }
        self.sleep.as_mut().poll(cx)
    }
}
