//! Measures how long results keep their space, and how much work arrives that goes before late
//! pieces.

use std::time::Duration;

use tokio::time::Instant;

use super::RANKS;
use super::account::Removed;

/// The time constant of the measured rates.
const RATE_TIME: Duration = Duration::from_secs(2);

/// The time constant of the average time for which results are stored.
const HOLD_TIME: Duration = Duration::from_secs(3);

/// The average time for which results are stored, weighted by their size.
#[derive(Clone, Debug, Default)]
pub(super) struct Hold {
    bytes: f64,
    byte_seconds: f64,
    updated: Option<Instant>,
}

impl Hold {
    /// Records a result that is no longer stored.
    pub(super) fn record(&mut self, removed: &Removed, now: Instant) {
        let keep = decay(&mut self.updated, HOLD_TIME, now);
        let bytes = removed.size as f64;
        self.bytes = self.bytes * keep + bytes;
        self.byte_seconds = self.byte_seconds * keep + bytes * removed.held.as_secs_f64();
    }

    /// Returns the average in seconds, or `None` before the first result.
    pub(super) fn seconds(&self) -> Option<f64> {
        (self.bytes > 0.0).then(|| self.byte_seconds / self.bytes)
    }
}

/// The rates at which pieces arrive that can be in time, by rank.
#[derive(Clone, Debug, Default)]
pub(super) struct Arrivals {
    pieces: [f64; RANKS],
    bytes: [f64; RANKS],
    updated: Option<Instant>,
}

impl Arrivals {
    /// Records a piece that arrived.
    pub(super) fn record(&mut self, rank: u8, bytes: u64, now: Instant) {
        let keep = decay(&mut self.updated, RATE_TIME, now);
        self.pieces.iter_mut().chain(&mut self.bytes).for_each(|it| *it *= keep);
        let rank = usize::from(rank).min(RANKS - 1);
        self.pieces[rank] += 1.0;
        self.bytes[rank] += bytes as f64;
    }

    /// Returns the pieces and bytes of a rank and of those before it that arrive in a second.
    pub(super) fn rates(&self, rank: usize, now: Instant) -> (f64, f64) {
        let keep = decay(&mut self.updated.clone(), RATE_TIME, now) / RATE_TIME.as_secs_f64();
        let sum = |it: &[f64; RANKS]| it[..=rank.min(RANKS - 1)].iter().sum::<f64>() * keep;
        (sum(&self.pieces), sum(&self.bytes))
    }
}

/// Returns the factor by which a value has decayed since it was updated.
fn decay(updated: &mut Option<Instant>, time: Duration, now: Instant) -> f64 {
    let before = updated.unwrap_or(now);
    *updated = Some(before.max(now));
    (-now.saturating_duration_since(before).as_secs_f64() / time.as_secs_f64()).exp()
}
