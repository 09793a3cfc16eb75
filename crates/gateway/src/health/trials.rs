//! How often an upstream that is passed over is tried.
//!
//! The entries share the rate of trials by chance: a request becomes one with the probability by
//! which all requests of the service together make up the rate. Shares by the hash of the entry
//! would leave the trials to a few entries, and of 1,000 one has a request of the service in many
//! seconds only.

use std::time::Duration;

use tokio::time::Instant;

/// The mean time between two trials at an upstream, from which share on of the evidence that it is
/// sound.
const PAUSES: [(f64, Duration); 3] = [
    (0.0, Duration::from_millis(800)),
    (0.1, Duration::from_millis(400)),
    (0.25, Duration::from_millis(125)),
];

/// How long the outcome of a trial takes to be seen by all entries, beside the request itself.
const REPORT_TIME: Duration = Duration::from_millis(300);

/// By how much more often an upstream is tried, at most, while no outcome is seen.
const MAX_URGENCY: f64 = 8.0;

/// The trials at one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trials {
    pause: Duration,
    /// When an outcome was seen last.
    last: Instant,
    /// The requests of the service per second over all entries.
    rate: f64,
}

impl Trials {
    /// Creates the trials at an upstream with this share of the evidence that it is sound, of which
    /// the last outcome was seen at `last`. All entries together have `rate` requests per second of
    /// the service.
    pub(super) fn new(progress: f64, last: Instant, rate: f64) -> Self {
        let reached = PAUSES.iter().rev().find(|it| progress >= it.0);
        Self { pause: reached.unwrap_or(&PAUSES[0]).1, last, rate }
    }

    /// Returns the share of requests that become trials at `now`. While outcomes are seen later
    /// than expected, as where few requests may be trials, it grows.
    pub fn share(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.last);
        let is_spaced = self.pause > REPORT_TIME;
        if is_spaced && elapsed < self.pause / 2 {
            return 0.0;
        }
        let (due, factor) =
            if is_spaced { (self.pause, 2.0) } else { (self.pause + REPORT_TIME, 1.0) };
        let urgency = (elapsed.as_secs_f64() / due.as_secs_f64()).powi(2).clamp(1.0, MAX_URGENCY);
        urgency * factor / self.pause.as_secs_f64() / self.rate.max(1.0)
    }
}
