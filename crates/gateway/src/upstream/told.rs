//! The load that an upstream tells in its answers.

use std::sync::{MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use super::Upstream;
use crate::dialect::ToldLoad;

/// The time in which what was told of the pace counts half as much. The pace changes several times
/// a second.
const PACE_HALF_LIFE: Duration = Duration::from_millis(250);

/// The paces that are believed: a value beyond these would let all requests, or none, go to an
/// upstream.
const PACES: std::ops::RangeInclusive<f64> = 0.25..=8.0;

/// What an upstream told last, and when.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Told(Option<(ToldLoad, Instant)>);

impl Told {
    /// Takes what an answer tells that arrived at `now`.
    pub fn record(&mut self, load: ToldLoad, now: Instant) {
        self.0 = Some((load, now));
    }

    /// Returns the load that was told last, and its age.
    pub fn load(&self, now: Instant) -> Option<(ToldLoad, Duration)> {
        self.0.map(|(load, at)| (load, now.saturating_duration_since(at)))
    }

    /// Returns the expected ratio of the time that work takes now to the usual time: 1 if nothing
    /// was told, and ever closer to 1 the longer ago that was.
    pub fn pace(&self, now: Instant) -> f64 {
        let Some((load, age)) = self.load(now) else { return 1.0 };
        let Some(pace) = load.pace else { return 1.0 };
        let halves = age.as_secs_f64() / PACE_HALF_LIFE.as_secs_f64();
        1.0 + (pace.clamp(*PACES.start(), *PACES.end()) - 1.0) * 0.5f64.powf(halves)
    }
}

/// Returns the load by which upstreams are compared for one more request: how many requests at the
/// usual pace take as long as the `running` ones and the next. Small differences of the pace count
/// only where many requests run, so that entries don't all choose the upstream that was fastest a
/// moment ago.
pub fn paced_load(running: u32, pace: f64) -> u32 {
    (f64::from(running.saturating_add(1)) * pace).round() as u32
}

impl Upstream {
    /// Takes the load that an answer of the upstream tells.
    pub(crate) fn record_told(&self, load: ToldLoad) {
        self.told().record(load, Instant::now());
    }

    /// Returns the load that the upstream told last, and how long ago.
    pub fn told_load(&self, now: Instant) -> Option<(ToldLoad, Duration)> {
        self.told().load(now)
    }

    /// Returns the expected ratio of the time that work takes at the upstream now to the usual
    /// time; 1 if it is not known.
    pub fn pace(&self, now: Instant) -> f64 {
        self.told().pace(now)
    }

    /// Returns the load by which the upstream is compared with others for one more request.
    pub(crate) fn expected_load(&self, now: Instant) -> u32 {
        paced_load(self.total_running(), self.pace(now))
    }

    fn told(&self) -> MutexGuard<'_, Told> {
        self.told.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
