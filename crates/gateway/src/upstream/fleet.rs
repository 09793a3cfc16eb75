//! What the outcomes of all entries say about an upstream.

use std::sync::Arc;

use tokio::time::Instant;

use super::Upstream;
use crate::health::{Outcome, Trials};

impl Upstream {
    /// Counts an outcome for the report to the other entries.
    pub(crate) fn record_outcome(&self, outcome: Outcome) {
        let started = self.latest.start_time();
        self.tally.record(&self.id, &self.service, started, outcome, Instant::now());
    }

    /// Counts a valid response that has come late or in time. One that was sent while all slots
    /// were in use says nothing about the upstream by its time.
    pub(crate) fn record_response(&self, is_late: bool) {
        self.record_outcome(if is_late && self.has_slot() {
            Outcome::Slow
        } else {
            Outcome::Sound
        });
    }

    /// Counts that no response has come in time, unless all slots are in use.
    pub(crate) fn record_late(&self) {
        if self.has_slot() {
            self.record_outcome(Outcome::Slow);
        }
    }

    fn has_slot(&self) -> bool {
        self.total_running() <= self.slots
    }

    /// Passes the upstream over, except for trials, or no more.
    pub(crate) fn set_trials(&self, trials: Option<Trials>) {
        self.trials.store(trials.map(Arc::new));
    }

    /// Returns whether the upstream is passed over because of what all entries have seen.
    pub fn is_passed_over(&self) -> bool {
        self.trials.load().is_some()
    }

    /// Returns the share of the service's requests that are to be trials at this upstream.
    pub(crate) fn trial_share(&self, now: Instant) -> f64 {
        self.trials.load().as_ref().map_or(0.0, |it| it.share(now))
    }
}
