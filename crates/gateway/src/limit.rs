//! The limits that upstreams name: how many requests a second they take from all entries together.

use std::time::Duration;

use tokio::time::Instant;
use types::Rate;

/// A change of the limit that an upstream names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitChange {
    /// The requests that this entry sent under the last limit.
    pub sent: u32,
    /// How long the last limit lasted.
    pub lasted: Duration,
}

/// The limit that an upstream names, and what this entry sends under it.
#[derive(Debug, Default)]
pub struct LimitGate {
    named: Option<Rate>,
    /// When the limit was first named, or when it was lifted.
    since: Option<Instant>,
    /// When the newest answer with a limit arrived.
    heard: Option<Instant>,
    sent: u32,
}

impl LimitGate {
    /// Takes what an answer, to a request that was sent at `sent`, names at `now`. An answer without a
    /// limit lifts it only if its request was sent after the limit was heard: answers overtake each
    /// other. Returns what changed.
    pub fn record_answer(
        &mut self,
        limit: Option<Rate>,
        sent: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        if limit.is_some() {
            self.heard = Some(now);
        } else if self.heard.is_some_and(|it| sent < it) {
            return None;
        }
        if self.named == limit {
            return None;
        }
        let since = self.since.replace(now).unwrap_or(now);
        self.named = limit;
        let sent = std::mem::take(&mut self.sent);
        Some(LimitChange { sent, lasted: now.duration_since(since) })
    }

    /// Counts a request that this entry sends at `now`.
    pub fn record_sent(&mut self, _now: Instant) {
        self.sent += u32::from(self.named.is_some());
    }

    /// Returns the limit that was named last.
    pub fn named(&self) -> Option<Rate> {
        self.named
    }
}
