//! The state that a queue keeps for one upstream: the call in flight, the slowdown and the account
//! of its space.

use std::time::Duration;

use tokio::time::Instant;

use super::account::Account;

/// The weight of the latest call in an upstream's slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.4;

/// How often an upstream whose space is short is asked for a report.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

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
    /// The space for results.
    pub(super) account: Account,
    /// The size of the last result for which space was reserved.
    pub(super) reserved: Option<u64>,
    /// The bytes of results that were sent ahead of it since.
    pub(super) overtaken: u64,
    /// Whether a report of its space is wanted.
    pub(super) wants_report: bool,
    /// When the space was last reported, or first short.
    pub(super) reported: Option<Instant>,
}

impl Default for UpstreamState {
    fn default() -> Self {
        Self {
            busy_until: None,
            backoff_until: None,
            slowdown: 1.0,
            measured_at: None,
            account: Account::default(),
            reserved: None,
            overtaken: 0,
            wants_report: false,
            reported: None,
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

    /// Takes note that space is short. A report is wanted from time to time: if results are smaller
    /// than announced, no refusal shows it.
    pub(super) fn record_shortage(&mut self, now: Instant) {
        let reported = *self.reported.get_or_insert(now);
        self.wants_report |= now.saturating_duration_since(reported) >= CHECK_INTERVAL;
    }

    /// Records a call with the largest result of `largest` bytes and `overtaking` bytes of results
    /// behind the one for which space is reserved.
    pub(super) fn record_overtaking(&mut self, largest: u64, overtaking: u64) {
        if self.reserved.is_some_and(|it| largest >= it) {
            self.clear_reservation();
        }
        self.overtaken += overtaking;
    }

    /// Forgets the reservation, because no piece needs it any more.
    pub(super) fn clear_reservation(&mut self) {
        self.reserved = None;
        self.overtaken = 0;
    }
}
