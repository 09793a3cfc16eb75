//! Bounds what all entries together send to an upstream that has just started.
//!
//! A cold upstream ends if it gets far more requests in a second than it tolerates. It has no load
//! yet, so every entry would prefer it. The load is that of a failure domain that returns while the
//! traffic goes on, or of a single upstream that is the only one left for all entries.
//!
//! The bound holds without messages between entries: each cold upstream is served by a few of them,
//! which all entries choose alike, and each of these has a fixed share of the quota. The quota is
//! half of what the upstream may get, so that entries with two different lists of entries still keep
//! the bound.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;
use types::Rate;

use crate::quota::upcoming;

/// The window in which an upstream counts requests, and some time more: two requests that are sent
/// this far apart may arrive closer together.
pub const COLD_WINDOW: Duration = Duration::from_millis(1_200);

/// What the upstreams of a service tolerate while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdSpec {
    /// How long an upstream is cold after its start.
    pub time: Duration,
    /// The requests per second that a cold upstream tolerates.
    pub rate: f64,
}

/// How far the requests in a second may exceed the rate that a cold upstream tolerates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTolerance {
    /// The factor to the rate.
    pub overrun: f64,
    /// The requests beyond that.
    pub slack: f64,
}

impl Default for ColdTolerance {
    fn default() -> Self {
        Self { overrun: 1.0, slack: 0.0 }
    }
}

impl ColdTolerance {
    /// Returns the most requests that a cold upstream may get in a second.
    pub fn bound(&self, spec: &ColdSpec) -> f64 {
        spec.rate * self.overrun + self.slack
    }

    /// Returns how many requests entries with the same list of entries send to a cold upstream in a
    /// [`COLD_WINDOW`].
    pub fn quota(&self, spec: &ColdSpec) -> u32 {
        ((self.bound(spec) / 2.0) as u32).max(1)
    }
}

/// Counts what this entry sends to an upstream while that is cold.
#[derive(Debug, Default)]
pub struct ColdGate {
    until: Option<Instant>,
    share: u32,
    quota: u32,
    sent: VecDeque<Instant>,
}

impl ColdGate {
    /// Marks the upstream as cold until `until`, if it isn't already for longer.
    pub fn extend(&mut self, until: Instant) {
        self.until = Some(self.until.map_or(until, |it| it.max(until)));
    }

    /// Sets this entry's share, and the quota of all entries.
    pub fn set_share(&mut self, share: u32, quota: u32) {
        (self.share, self.quota) = (share, quota);
    }

    /// Returns whether the upstream is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.until.is_some_and(|it| now < it)
    }

    /// Returns how many requests this entry may send now; `None` if the upstream is not cold.
    pub fn room(&mut self, now: Instant) -> Option<u32> {
        self.is_cold(now).then(|| self.share.saturating_sub(self.count(now)))
    }

    /// Returns how many pieces the owner of the upstream's section may send now; `None` if the
    /// upstream is not cold. Only its owner sends it pieces.
    pub fn owner_room(&mut self, now: Instant) -> Option<u32> {
        self.is_cold(now).then(|| self.quota.saturating_sub(self.count(now)))
    }

    /// Counts `count` requests or pieces that are sent now.
    pub fn record_sent(&mut self, count: u32, now: Instant) {
        if self.is_cold(now) {
            self.sent.extend((0..count).map(|_| now));
        }
    }

    /// Returns when this entry may send the next request; `None` if it may now.
    pub fn next_room(&mut self, now: Instant) -> Option<Instant> {
        if self.room(now).is_none_or(|it| it > 0) {
            return None;
        }
        let until = self.until?;
        let freed = self.sent.front().map_or(until, |it| *it + COLD_WINDOW);
        Some(if self.share == 0 { until } else { freed.min(until) })
    }

    /// Returns the next `most` moments at which this entry's own share allows a request; `None` if the
    /// upstream is not cold.
    pub fn upcoming(&mut self, now: Instant, most: usize) -> Option<Vec<Instant>> {
        let until = self.until.filter(|it| now < *it)?;
        self.count(now);
        let mut moments = upcoming(&self.sent, self.share, COLD_WINDOW, now, most);
        moments.resize(most, until);
        Some(moments.into_iter().map(|it| it.min(until)).collect())
    }

    /// Returns the rate at which all entries together may send; `None` if the upstream is not cold.
    pub fn total_rate(&self, now: Instant) -> Option<Rate> {
        let quota = f64::from(self.quota);
        self.is_cold(now).then(|| Rate(quota / COLD_WINDOW.as_secs_f64()))
    }

    fn count(&mut self, now: Instant) -> u32 {
        while self.sent.front().is_some_and(|it| *it + COLD_WINDOW <= now) {
            self.sent.pop_front();
        }
        self.sent.len() as u32
    }
}
