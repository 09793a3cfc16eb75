//! The time in microseconds since the router first saw a time, so that times fit into atomics.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Microseconds on the router's clock; 0 means never.
pub(crate) type Micros = u64;

/// The clock's first time, chosen so that 0 can mean never and ages can be subtracted.
const START_US: Micros = 3_600_000_000;

#[derive(Debug, Default)]
pub(crate) struct Clock {
    epoch: OnceLock<Instant>,
    latest: AtomicU64,
}

impl Clock {
    /// Converts a time, and remembers the latest one for callers that get none.
    pub(crate) fn observe(&self, now: Instant) -> Micros {
        let us = self.to_micros(now);
        if us > self.latest.load(Ordering::Relaxed) {
            self.latest.fetch_max(us, Ordering::Relaxed);
        }
        us
    }

    /// Converts a time that may lie in the future.
    pub(crate) fn to_micros(&self, time: Instant) -> Micros {
        let epoch = *self.epoch.get_or_init(|| time);
        match time.checked_duration_since(epoch) {
            Some(past) => START_US.saturating_add(past.as_micros() as Micros),
            None => START_US.saturating_sub(epoch.duration_since(time).as_micros() as Micros),
        }
    }

    /// Returns the latest time seen. A slot that is dropped gets no time of its own. The router is
    /// ticked every few milliseconds, so the result is late by no more than that.
    pub(crate) fn latest(&self) -> Micros {
        self.latest.load(Ordering::Relaxed)
    }

    /// Converts a time back.
    pub(crate) fn to_instant(&self, us: Micros) -> Option<Instant> {
        let epoch = *self.epoch.get()?;
        epoch.checked_add(Duration::from_micros(us.saturating_sub(START_US)))
    }
}

/// Returns the weight of an observation by its age: from 1 down to 0, with one half at `half_age`.
pub(crate) fn decay(age: Micros, half_age: Micros) -> f64 {
    half_age as f64 / (half_age as f64 + age as f64)
}
