//! Sums the outcomes that entries report, and publishes the sums.

use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::time::sleep;

use super::{Hub, MAX_LOADS_BYTES_PER_SECOND};
use crate::lists::EncodedOutcomes;
use crate::outcomes::{OutcomeReport, OutcomeTable, OutcomeTotals};

/// The shortest interval at which the leader sends out the sums.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// The sizes of the sums of one upstream and of one service in a message, in bytes.
const UPSTREAM_BYTES: usize = 24;
const SERVICE_BYTES: usize = 8;

/// The inverse of the share of a processor that the sums may take of the leader.
const SUM_PAUSE_FACTOR: u32 = 20;

/// After how long the same sums are sent again: entries drop old ones.
const RESEND_TIME: Duration = Duration::from_millis(500);

impl Hub {
    /// Publishes the outcomes that entries report, for as long as the member runs.
    pub(crate) async fn publish_outcomes(self: Arc<Self>) {
        let mut published = Instant::now();
        let mut pause = MIN_INTERVAL;
        loop {
            sleep(pause).await;
            let now = Instant::now();
            let totals = self.sum_outcomes(now);
            pause = interval(size(&totals)).max(now.elapsed() * SUM_PAUSE_FACTOR);
            let last = self.total_outcomes.borrow().clone();
            let was_empty = last.as_ref().is_none_or(|it| it.totals.services.is_empty());
            let is_same = last.as_ref().is_some_and(|it| it.totals == totals);
            let is_due = now >= published + RESEND_TIME;
            if (was_empty && totals.services.is_empty()) || (is_same && !is_due) {
                continue;
            }
            match EncodedOutcomes::new(totals) {
                Ok(totals) => {
                    published = now;
                    self.total_outcomes.send_replace(Some(Arc::new(totals)));
                }
                Err(error) => log::error!(cause:% = error;
                    "the outcomes can't be encoded; entries keep the last ones"),
            }
        }
    }

    fn sum_outcomes(&self, now: Instant) -> OutcomeTotals {
        let entries = self.connected.lock().unwrap_or_else(PoisonError::into_inner).len();
        let list = Arc::clone(&self.lists.borrow().upstreams.numbered);
        self.outcomes().totals(&list, entries, now)
    }

    pub(super) fn take_outcomes(&self, incarnation: u64, report: &OutcomeReport) {
        let entries = self.connected.lock().unwrap_or_else(PoisonError::into_inner).len();
        let list = Arc::clone(&self.lists.borrow().upstreams.numbered);
        self.outcomes().record(incarnation, report, &list, entries, Instant::now());
    }

    pub(super) fn forget_outcomes(&self, incarnation: u64) {
        self.outcomes().remove(incarnation);
    }

    fn outcomes(&self) -> MutexGuard<'_, OutcomeTable> {
        self.outcomes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the size of a message with these sums, in bytes.
fn size(totals: &OutcomeTotals) -> usize {
    totals.upstreams.len() * UPSTREAM_BYTES + totals.services.len() * SERVICE_BYTES
}

/// Returns the interval until the next message after one of `size` bytes.
fn interval(size: usize) -> Duration {
    let needed = size * 1_000 / MAX_LOADS_BYTES_PER_SECOND;
    Duration::from_millis(needed as u64).max(MIN_INTERVAL)
}
