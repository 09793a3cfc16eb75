//! The state that a queue keeps for one upstream: the call in flight, the slowdown and the stored
//! results.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

/// How long space counts as taken after an upstream had none for a result.
const RESERVE_TIME: Duration = Duration::from_millis(700);

/// The share of the upstream's space that is filled, because result sizes are approximate.
const USABLE_SHARE: f64 = 0.94;

/// The weight of the latest call in an upstream's slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.4;

/// The time in which a measured slowdown decays to half.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_millis(1_500);

/// What the queue knows of an upstream.
#[derive(Clone, Debug)]
pub(super) struct UpstreamState {
    /// The expected end of the call in flight.
    pub(super) busy_until: Option<Instant>,
    /// When the upstream may get a call again.
    pub(super) backoff_until: Option<Instant>,
    /// The ratio of measured to announced call time, as of `measured_at`.
    slowdown: f64,
    /// When a call's time was last measured.
    measured_at: Option<Instant>,
    results: Vec<StoredResult>,
    /// The bytes that results of other owners take, and when these expire.
    foreign: Option<(u64, Instant)>,
}

/// A result that the upstream stores.
#[derive(Clone, Debug)]
struct StoredResult {
    size: u64,
    until: Instant,
    handle: Arc<str>,
}

impl Default for UpstreamState {
    fn default() -> Self {
        Self {
            busy_until: None,
            backoff_until: None,
            slowdown: 1.0,
            measured_at: None,
            results: Vec::new(),
            foreign: None,
        }
    }
}

impl UpstreamState {
    /// Returns whether a call may be sent now.
    pub(super) fn is_idle(&self, now: Instant) -> bool {
        self.busy_until.is_none() && self.backoff_until.is_none_or(|it| it <= now)
    }

    /// Returns the expected slowdown, which decays over time. Without the decay, an upstream that
    /// was slow for a while would get no calls, and nothing would show that it has recovered.
    pub(super) fn slowdown(&self, now: Instant) -> f64 {
        let Some(measured_at) = self.measured_at else { return self.slowdown };
        let halves = now.saturating_duration_since(measured_at).as_secs_f64()
            / SLOWDOWN_HALF_LIFE.as_secs_f64();
        1.0 + (self.slowdown - 1.0) * 0.5f64.powf(halves)
    }

    /// Updates the slowdown from a completed call that was announced to take `nominal`.
    pub(super) fn record_call(&mut self, nominal: Duration, took: Duration, now: Instant) {
        let slowdown = took.as_secs_f64() / nominal.as_secs_f64().max(0.001);
        let before = self.slowdown(now);
        self.slowdown = before + SLOWDOWN_WEIGHT * (slowdown.clamp(0.3, 20.0) - before);
        self.measured_at = Some(now);
    }

    /// Returns the state after a restart of the upstream, which keeps only the call in flight.
    pub(super) fn restarted(&self) -> Self {
        Self { busy_until: self.busy_until, ..Self::default() }
    }

    /// Removes results that have expired.
    pub(super) fn expire(&mut self, now: Instant) {
        self.results.retain(|it| it.until > now);
        self.foreign = self.foreign.filter(|it| it.0 > 0 && it.1 > now);
    }

    /// Returns the free bytes of an upstream that has `space` bytes for results.
    pub(super) fn free(&self, space: u64, now: Instant) -> u64 {
        let kept: u64 = self.results.iter().map(|it| it.size).sum();
        let usable = (space as f64 * USABLE_SHARE) as u64;
        usable.saturating_sub(kept + self.foreign_bytes(now))
    }

    /// Returns the bytes that results of other owners take.
    pub(super) fn foreign_bytes(&self, now: Instant) -> u64 {
        self.foreign.filter(|it| now < it.1).map_or(0, |it| it.0)
    }

    /// Sets the bytes that results of other owners take until they expire. Has an effect only
    /// before this queue's first call.
    pub(super) fn set_foreign_bytes(&mut self, bytes: u64, until: Instant) {
        if self.results.is_empty() && self.busy_until.is_none() {
            self.foreign = Some((bytes, until));
        }
    }

    /// Adds a stored result.
    pub(super) fn add_result(&mut self, size: u64, handle: Arc<str>, until: Instant) {
        self.results.push(StoredResult { size, until, handle });
    }

    /// Counts the size of a result that found no space as taken for [`RESERVE_TIME`].
    pub(super) fn reserve(&mut self, size: u64, now: Instant) {
        self.add_result(size, Arc::from(""), now + RESERVE_TIME);
    }

    /// Removes results. Unknown ones belonged to another owner; each counts as `size` bytes.
    pub(super) fn remove(&mut self, handles: &[Arc<str>], size: u64) {
        let before = self.results.len();
        self.results.retain(|it| !handles.contains(&it.handle));
        let others = handles.len().saturating_sub(before - self.results.len()) as u64;
        if let Some((foreign, _)) = &mut self.foreign {
            *foreign = foreign.saturating_sub(others * size);
        }
    }
}
