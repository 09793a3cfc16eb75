//! Limits loads of model weights to the rate of the weight store.

use std::time::Instant;

use types::{ByteSize, Rate};

/// A token bucket that one load may overdraw: a load larger than any burst must still be possible,
/// and the next load then waits until the debt is paid off.
#[derive(Debug)]
pub struct WeightBucket {
    debt: f64,
    updated: Instant,
}

impl WeightBucket {
    /// Creates a bucket without debt.
    pub fn new(now: Instant) -> Self {
        Self { debt: 0.0, updated: now }
    }

    /// Returns whether a load may start now.
    pub fn is_open(&mut self, rate: Rate, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.debt = (self.debt - elapsed * rate.0).max(0.0);
        // A rest of less than one byte is a rounding error of the subtraction.
        self.debt < 1.0
    }

    /// Charges the weights of a load that starts.
    pub fn charge(&mut self, weights: ByteSize) {
        self.debt += weights.0 as f64;
    }
}
