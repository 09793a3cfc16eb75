//! Decides when an upstream counts as silent, so that another one may get the request beside it.

use std::time::Duration;

use tokio::time::Instant;

use crate::spread::Spread;

#[cfg(test)]
mod tests;

/// What decides when a try counts as silent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Terms {
    pub(super) sent: Instant,
    /// The latency objective of the route: an answer that takes longer is late.
    pub(super) objective: Duration,
    /// When the caller's time is over.
    pub(super) deadline: Instant,
    /// How long answers of the service take.
    pub(super) times: Spread,
}

impl Terms {
    /// Returns when the try counts as silent: once its answer is late, and takes longer than nearly all do;
    /// but soon enough for another try to be answered in its caller's time. While nothing is known of the
    /// service, both tries have the same time.
    pub(super) fn silent_at(self) -> Instant {
        let Self { sent, objective, deadline, times } = self;
        let Some(usual) = times.usual() else {
            let half = deadline.saturating_duration_since(sent) / 2;
            return sent + objective.min(half);
        };
        let late = sent + objective.max(usual);
        let latest = deadline.checked_sub(usual).unwrap_or(sent);
        late.min(latest).max(sent + usual)
    }
}
