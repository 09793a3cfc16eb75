//! Decides when a stage starts whose results are needed only once a longer chain of stages is done.
//!
//! A result takes space at its upstream until its request is done. Under load this space is scarce:
//! large results that wait for another chain keep those of other requests from being made.

use std::time::Duration;

#[cfg(test)]
mod tests;

/// How much earlier than needed a stage is started, as a share of its expected time. Calls take
/// longer than expected more often than shorter, and the request waits for the last result.
const MARGIN_SHARE: f64 = 0.5;

/// The shortest delay worth another start.
const MIN_DELAY: Duration = Duration::from_millis(30);

/// A stage in progress beside the one to be started, and the stages that follow it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Chain {
    /// The expected time of the stage in progress.
    pub(super) current: Duration,
    /// The time since it was started.
    pub(super) elapsed: Duration,
    /// The expected time of the stages that follow it.
    pub(super) rest: Duration,
}

impl Chain {
    fn left(&self) -> Duration {
        self.current.saturating_sub(self.elapsed) + self.rest
    }
}

/// Returns for how long the start of a stage is delayed that is expected to take `own`, so that it
/// ends with the longest of the `chains` beside it.
pub(super) fn start_delay(own: Duration, chains: &[Chain]) -> Duration {
    let left = chains.iter().map(Chain::left).max().unwrap_or_default();
    let delay = left.saturating_sub(own.mul_f64(1.0 + MARGIN_SHARE));
    if delay < MIN_DELAY { Duration::ZERO } else { delay }
}
