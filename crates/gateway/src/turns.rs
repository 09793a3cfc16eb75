//! Gives refused callers of a service different moments to come back.
//!
//! Callers that are refused together are told the same time at which the work ahead of them is done. If all
//! came back then, most would be refused again. Each is given a turn behind the one before it, at the rate at
//! which requests of the service begin here.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// The time over which the rate is averaged.
const RATE_TIME: Duration = Duration::from_secs(2);

/// The turns of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Turns {
    /// The requests that began, older ones counting less.
    begun: f64,
    counted: Option<Instant>,
    /// The last turn that was given.
    last: Option<Instant>,
}

impl Turns {
    /// Records that a request begins at `now`.
    pub fn record_begun(&mut self, now: Instant) {
        self.begun = self.count(now) + 1.0;
        self.counted = Some(now);
    }

    /// Returns after which time from `now` a caller should come back that may do so after `earliest`, and is
    /// served only if it does before `latest`; if that is before, its time is over whenever it comes back, and
    /// it is told a turn within twice the time. Where no turn is left until then, it is anywhere between
    /// these, as `luck` from 0 to 1 chooses.
    pub fn next(
        &mut self,
        earliest: Duration,
        latest: Duration,
        luck: f64,
        now: Instant,
    ) -> Duration {
        let turn = self.last.and_then(|it| Some(it + self.spacing(now)?));
        let turn = turn.map_or(now + earliest, |it| it.max(now + earliest));
        let latest = if latest > earliest { latest } else { earliest * 2 };
        if turn > now + latest {
            return earliest + (latest - earliest).mul_f64(luck);
        }
        self.last = Some(turn);
        turn.duration_since(now)
    }

    /// Returns the mean time between two requests that begin, if any did.
    fn spacing(&self, now: Instant) -> Option<Duration> {
        let count = self.count(now);
        (count >= 1.0).then(|| RATE_TIME.div_f64(count))
    }

    fn count(&self, now: Instant) -> f64 {
        let age = self.counted.map_or(Duration::ZERO, |it| now.saturating_duration_since(it));
        self.begun * (-age.as_secs_f64() / RATE_TIME.as_secs_f64()).exp()
    }
}

/// The turns by service.
#[derive(Debug, Default)]
pub(crate) struct ServiceTurns(Mutex<HashMap<Arc<str>, Turns>>);

impl ServiceTurns {
    /// Records that a request of a service begins.
    pub(crate) fn record_begun(&self, service: &Arc<str>) {
        self.with(service, |it| it.record_begun(Instant::now()));
    }

    /// Returns after which time a refused caller of a service should come back; see [`Turns::next`].
    pub(crate) fn next(
        &self,
        service: &Arc<str>,
        earliest: Duration,
        latest: Duration,
    ) -> Duration {
        self.with(service, |it| it.next(earliest, latest, rand::random(), Instant::now()))
    }

    fn with<T>(&self, service: &Arc<str>, use_turns: impl FnOnce(&mut Turns) -> T) -> T {
        let mut turns = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        use_turns(turns.entry(Arc::clone(service)).or_default())
    }
}
