//! The limit that an upstream names in its answers.

use std::sync::{MutexGuard, PoisonError};

use tokio::time::Instant;
use types::Rate;

use super::Upstream;
use crate::limit::LimitGate;

impl Upstream {
    /// Takes the limit that an answer names, if it names one, to a request that was sent at `sent`.
    pub(crate) fn record_limit(&self, limit: Option<Rate>, sent: Instant) {
        let change = self.limit().record_answer(limit, sent, Instant::now());
        if let Some(change) = change {
            log::info!(upstream:% = self.id, service:% = self.service,
                limit = limit.map(|it| it.0), sent = change.sent, ms = change.lasted.as_millis() as u64;
                "the limit that an upstream names has changed");
        }
    }

    /// Counts a request that this entry sends now.
    pub(crate) fn record_sent(&self, now: Instant) {
        self.limit().record_sent(now);
    }

    /// Returns the limit that the upstream named last; `None` if it names none.
    pub fn limit_named(&self) -> Option<Rate> {
        self.limit().named()
    }

    fn limit(&self) -> MutexGuard<'_, LimitGate> {
        self.limit.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
