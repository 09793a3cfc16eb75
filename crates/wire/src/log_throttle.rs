//! Limits the rate of log lines that unauthenticated or faulty peers can cause.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Allows one log line per period and counts the suppressed ones.
#[derive(Debug)]
pub struct LogThrottle {
    start: Instant,
    period: Duration,
    next_ms: AtomicU64,
    suppressed: AtomicU64,
}

impl LogThrottle {
    /// Creates a throttle that allows one line per period.
    pub fn new(period: Duration) -> Self {
        Self {
            start: Instant::now(),
            period,
            next_ms: AtomicU64::new(0),
            suppressed: AtomicU64::new(0),
        }
    }

    /// Returns the number of lines suppressed since the last logged one, or `None` if this line
    /// must be suppressed too.
    pub fn allow(&self) -> Option<u64> {
        let now_ms = self.start.elapsed().as_millis() as u64;
        let next_ms = self.next_ms.load(Ordering::Relaxed);
        let following_ms = now_ms + self.period.as_millis() as u64;
        let won = now_ms >= next_ms
            && self
                .next_ms
                .compare_exchange(next_ms, following_ms, Ordering::Relaxed, Ordering::Relaxed)
                .is_ok();
        if !won {
            self.suppressed.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        Some(self.suppressed.swap(0, Ordering::Relaxed))
    }
}
