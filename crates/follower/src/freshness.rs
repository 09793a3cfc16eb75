//! The time of the latest confirmed request.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The time at which the request with the latest quorum confirmation was sent. All threads can read
/// it.
///
/// The age counts from the request rather than from its answer. Otherwise an answer that was long
/// in flight, or was read late, would count as new, and an entry would trust an outdated version
/// for longer than its bound. Counting from the request, on the clock of this VM, can only
/// overestimate the age.
#[derive(Debug)]
pub(crate) struct Freshness {
    start: Instant,
    // Microseconds from `start` to the request, plus one; 0 before the first answer.
    last_request: AtomicU64,
    // The same for the request that ended the latest gap longer than `MAX_GAP`.
    gap_ended: AtomicU64,
}

/// The longest time without a confirmed request in which an entry still counts as connected. It is
/// half of the silence after which control members declare an entry lost (5 s), because they
/// exchange their lists of sessions only every 2 s.
const MAX_GAP: Duration = Duration::from_millis(2_500);

impl Freshness {
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
            last_request: AtomicU64::new(0),
            gap_ended: AtomicU64::new(0),
        }
    }

    /// Records the time of a confirmed request. An earlier time than the recorded one has no
    /// effect.
    pub(crate) fn confirm(&self, requested_at: Instant) {
        let micros = requested_at.saturating_duration_since(self.start).as_micros() as u64;
        let last = self.last_request.load(Ordering::Acquire);
        // The gap is recorded before the new time, so that a thread that sees the new time also
        // sees the gap.
        if (micros + 1).saturating_sub(last) > MAX_GAP.as_micros() as u64 {
            self.gap_ended.fetch_max(micros + 1, Ordering::AcqRel);
        }
        self.last_request.fetch_max(micros + 1, Ordering::AcqRel);
    }

    /// Returns whether there is no gap longer than [`MAX_GAP`] between `since` and `now`.
    pub(crate) fn is_steady(&self, since: Instant, now: Instant) -> bool {
        if self.age(now).is_none_or(|age| age > MAX_GAP) {
            return false;
        }
        let since = since.saturating_duration_since(self.start).as_micros() as u64;
        self.gap_ended.load(Ordering::Acquire) <= since + 1
    }

    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        let micros = self.last_request.load(Ordering::Acquire).checked_sub(1)?;
        Some(now.saturating_duration_since(self.start + Duration::from_micros(micros)))
    }
}
