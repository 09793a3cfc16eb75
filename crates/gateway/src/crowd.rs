//! Decides which new connections an entry closes unread because callers crowd to it.
//!
//! The balancer may hand most new connections to one entry. A caller whose connection is closed before its
//! request is read tries another entry at once; one whose request waits for the processor is late. A
//! crowded entry therefore limits the requests that it has in progress, to as many as it can serve without
//! delay. New connections replace the requests that end, so that it neither swings between taking all and
//! none, nor takes on streams whose work comes later.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// The delay of due tasks at which a limited entry is kept. A request waits for several tasks.
const TARGET_LAG: Duration = Duration::from_millis(25);

/// The delay from which an entry counts as overloaded.
const OVERLOAD_LAG: Duration = Duration::from_millis(50);

/// The longest delay that is told apart: a process that was suspended is not overloaded for longer.
const MAX_LAG: Duration = Duration::from_millis(500);

/// The time over which the delay is averaged.
const LAG_TIME: Duration = Duration::from_millis(100);

/// The time over which an entry's load without overload is averaged.
const USUAL_TIME: Duration = Duration::from_secs(10);

/// How many times the mean load of all entries an entry must have to count as crowded, and may always
/// have. Where all are overloaded, closing connections would only move callers around.
const CROWD_FACTOR: f64 = 1.5;

/// The least limit of the requests in progress.
const MIN_REQUESTS: f64 = 8.0;

/// How many times the requests that run at upstreams those in progress count at most, in the least limit.
const MAX_WAITING_FACTOR: f64 = 4.0;

/// How much a limit changes, as a power of e, in the time that a request takes.
const GAIN: f64 = 0.7;

/// The times that a request counts as taking at least and at most.
const REQUEST_TIMES: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(5));

/// The least time that a request counts as taking when the limit grows: those that take long have not
/// ended, and not shown their work, in the first moments of a crowd.
const LEAST_GROWTH_TIME: Duration = Duration::from_secs(1);

/// The share of the limit from which connections that callers keep open are closed with the answer, so
/// that they come back by way of the balancer.
const FULL_SHARE: f64 = 0.9;

/// The share of the limit below which it does not matter.
const UNUSED_SHARE: f64 = 0.8;

/// After how long it ends if it does not matter.
const RELEASE_TIME: Duration = Duration::from_secs(3);

/// The longest time in which a limited entry closes all new connections.
const SHUT_TIME: Duration = Duration::from_millis(500);

/// The pauses between two samples, while the entry is neither late nor limited, and otherwise. No multiple
/// of a scheduler's period fits them.
pub const SAMPLE_PAUSES: (Duration, Duration) =
    (Duration::from_millis(97), Duration::from_millis(23));

/// After how many accepted connections a sample is due after the shorter pause: work that comes all at once
/// must not go unseen.
const SAMPLE_CONNECTIONS: u64 = 16;

/// What an entry knows of its load at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// When it was taken.
    pub at: Instant,
    /// How late a due task ran.
    pub lag: Duration,
    /// The requests in progress.
    pub requests: u64,
    /// Those of them that run at upstreams.
    pub running: u64,
    /// The mean of what the entries run at upstreams; `None` if that is not known.
    pub mean: Option<f64>,
    /// How long the requests that have ended since the last sample took on average.
    pub took: Option<Duration>,
}

/// A change of whether new connections may be closed unread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The requests in progress are limited to this number.
    Limited(u64),
    /// They are not limited any more.
    Released,
}

/// The limit of the requests in progress.
#[derive(Debug)]
pub struct Crowd {
    state: Mutex<State>,
    start: Instant,
    /// [`NO_LIMIT`] without one.
    limit: AtomicU64,
    /// The connections accepted since the last sample: their requests may not be read yet.
    accepted: AtomicU64,
    /// When a connection was accepted last, in ms since the start.
    accepted_ms: AtomicU64,
    /// Notified once [`SAMPLE_CONNECTIONS`] were accepted.
    many_accepted: Notify,
}

const NO_LIMIT: u64 = u64::MAX;

#[derive(Debug)]
struct State {
    at: Instant,
    /// The averaged delay in ms.
    lag_ms: f64,
    /// The last known mean load of the entries.
    mean: f64,
    /// This entry's own load without overload.
    usual: f64,
    /// How long a request takes, in s.
    took: f64,
    limit: Option<f64>,
    /// How long the limit has not mattered.
    unused: Duration,
}

impl Crowd {
    /// Creates an unlimited one.
    pub fn new(now: Instant) -> Self {
        let state = State {
            at: now,
            lag_ms: 0.0,
            mean: 0.0,
            usual: 0.0,
            took: REQUEST_TIMES.0.as_secs_f64(),
            limit: None,
            unused: Duration::ZERO,
        };
        Self {
            state: Mutex::new(state),
            start: now,
            limit: AtomicU64::new(NO_LIMIT),
            accepted: AtomicU64::new(0),
            accepted_ms: AtomicU64::new(0),
            many_accepted: Notify::new(),
        }
    }

    /// Takes a sample; returns whether the requests in progress are limited, if that has changed.
    pub fn record(&self, sample: &Sample) -> Option<Change> {
        let mut state = self.lock();
        let before = state.limit.is_some();
        state.record(sample);
        let limit = state.limit.map_or(NO_LIMIT, |it| it as u64);
        self.limit.store(limit, Ordering::Relaxed);
        self.accepted.store(0, Ordering::Relaxed);
        match (before, state.limit.is_some()) {
            (false, true) => Some(Change::Limited(limit)),
            (true, false) => Some(Change::Released),
            _ => None,
        }
    }

    /// Returns whether a new connection is read, with this many requests in progress.
    pub fn admits(&self, requests: u64, now: Instant) -> bool {
        let limit = self.limit.load(Ordering::Relaxed);
        let ms = now.duration_since(self.start).as_millis() as u64;
        let shut = ms.saturating_sub(self.accepted_ms.load(Ordering::Relaxed));
        let has_room = requests + self.accepted.load(Ordering::Relaxed) < limit;
        let admits = has_room || Duration::from_millis(shut) >= SHUT_TIME;
        if admits {
            self.accepted_ms.store(ms, Ordering::Relaxed);
            self.accepted.fetch_add(1, Ordering::Relaxed);
            if self.wants_sample() {
                self.many_accepted.notify_one();
            }
        }
        admits
    }

    /// Returns whether the next sample is due after the shorter pause.
    pub fn wants_sample(&self) -> bool {
        self.accepted.load(Ordering::Relaxed) == SAMPLE_CONNECTIONS
    }

    /// Waits until a sample is due; returns since when.
    pub(crate) async fn sample_due(&self) -> Instant {
        let due = Instant::now() + self.sample_pause();
        tokio::select! {
            () = sleep_until(due) => due,
            () = self.many_accepted.notified() => {
                let due = due.min(Instant::now() + SAMPLE_PAUSES.1);
                sleep_until(due).await;
                due
            }
        }
    }

    /// Returns whether callers on open connections are to come back by way of the balancer.
    pub fn is_full(&self, requests: u64) -> bool {
        let limit = self.limit.load(Ordering::Relaxed);
        limit != NO_LIMIT && requests as f64 >= limit as f64 * FULL_SHARE
    }

    /// Returns the limit of the requests in progress, if there is one.
    pub fn limit(&self) -> Option<u64> {
        Some(self.limit.load(Ordering::Relaxed)).filter(|it| *it != NO_LIMIT)
    }

    /// Returns the averaged delay of due tasks.
    pub fn lag(&self) -> Duration {
        Duration::from_secs_f64(self.lock().lag_ms / 1e3)
    }

    /// Returns how long to wait until the next sample.
    pub fn sample_pause(&self) -> Duration {
        let state = self.lock();
        let calm = state.limit.is_none() && state.lag_ms < ms(TARGET_LAG);
        if calm { SAMPLE_PAUSES.0 } else { SAMPLE_PAUSES.1 }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// Returns the weight of a sample after `elapsed` in an average over `time`.
fn weight(elapsed: Duration, time: Duration) -> f64 {
    1.0 - (-elapsed.as_secs_f64() / time.as_secs_f64()).exp()
}

impl State {
    fn record(&mut self, sample: &Sample) {
        let elapsed = sample.at.saturating_duration_since(self.at);
        self.at = sample.at;
        let lag_ms = ms(sample.lag.min(MAX_LAG));
        self.lag_ms += weight(elapsed, LAG_TIME) * (lag_ms - self.lag_ms);
        self.learn(sample, elapsed);
        let least = self.least_limit(sample);
        let requests = sample.requests as f64;
        self.limit = match self.limit {
            Some(limit) => self.adjust(limit, requests, elapsed).map(|it| it.max(least)),
            None if self.is_overloaded(requests, least) => {
                let shrink = (ms(TARGET_LAG) / self.lag_ms).clamp(0.4, 0.9);
                self.unused = Duration::ZERO;
                Some((requests * shrink).max(least))
            }
            None => None,
        };
    }

    fn learn(&mut self, sample: &Sample, elapsed: Duration) {
        if let Some(mean) = sample.mean {
            self.mean = mean;
        }
        if self.limit.is_none() && self.lag_ms < ms(TARGET_LAG) {
            let running = sample.running as f64;
            self.usual += weight(elapsed, USUAL_TIME) * (running - self.usual);
        }
        if let Some(took) = sample.took {
            let took = took.clamp(REQUEST_TIMES.0, REQUEST_TIMES.1).as_secs_f64();
            self.took += weight(elapsed, Duration::from_secs(1)) * (took - self.took);
        }
    }

    /// Returns the requests in progress that an entry may always have.
    fn least_limit(&self, sample: &Sample) -> f64 {
        let share = sample.mean.unwrap_or(self.mean.max(self.usual));
        let waiting = sample.requests as f64 / (sample.running as f64).max(1.0);
        (share * CROWD_FACTOR * waiting.clamp(1.0, MAX_WAITING_FACTOR)).max(MIN_REQUESTS)
    }

    /// Returns whether the requests in progress are to be limited, from a shorter delay on the further they
    /// are above the least limit.
    fn is_overloaded(&self, requests: f64, least: f64) -> bool {
        let lag = if requests > least * 2.0 { TARGET_LAG } else { OVERLOAD_LAG };
        requests > least && self.lag_ms >= ms(lag)
    }

    /// Returns the next limit; `None` once it has not mattered for a while.
    fn adjust(&mut self, limit: f64, requests: f64, elapsed: Duration) -> Option<f64> {
        let target = ms(TARGET_LAG);
        let error = ((target - self.lag_ms) / target).clamp(-1.0, 0.5);
        let is_unused = requests < limit * UNUSED_SHARE;
        self.unused = if is_unused && error > 0.0 { self.unused + elapsed } else { Duration::ZERO };
        if self.unused >= RELEASE_TIME {
            return None;
        }
        // What a change before has brought about must show first.
        let follows = if error < 0.0 { requests <= limit * 1.1 } else { !is_unused };
        let least = if error > 0.0 { LEAST_GROWTH_TIME.as_secs_f64() } else { 0.0 };
        let step = GAIN * error * elapsed.as_secs_f64() / self.took.max(least);
        Some(if follows { limit * step.exp() } else { limit })
    }
}
