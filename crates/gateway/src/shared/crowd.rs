//! Watches whether callers crowd to the entry.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::Shared;
use crate::crowd::{Change, Sample};
use crate::dialect::Dialect;
use crate::metrics::LoanOutcome;

/// The delay of due tasks from which it is logged.
const LOGGED_LAG: Duration = Duration::from_millis(50);

/// The least time between two lines that say that due tasks run late.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

impl<D: Dialect> Shared<D> {
    /// Samples the entry's load, and limits its requests while callers crowd to it, for as long as the process
    /// lives.
    pub(crate) async fn watch_crowd(self: Arc<Self>) {
        let mut logged = Instant::now();
        loop {
            let due = self.crowd.sample_due().await;
            let sample = self.sample(due);
            let change = self.crowd.record(&sample);
            let lag = self.crowd.lag();
            self.metrics.lag.set(lag.as_millis() as i64);
            if change.is_some() || (lag >= LOGGED_LAG && logged.elapsed() >= LOG_INTERVAL) {
                logged = Instant::now();
                self.log_load(&sample, lag);
            }
            match change {
                Some(Change::Limited(limit)) => log::warn!(limit, requests = sample.requests;
                    "callers crowd to this entry; new connections beyond a limit are closed unread"),
                Some(Change::Released) => log::warn!(unread = self.metrics.unread.get();
                    "no crowd any more; all new connections are read"),
                None => {}
            }
        }
    }

    /// Returns the load, with a task that was due at `due`.
    fn sample(&self, due: Instant) -> Sample {
        let directory = self.directory();
        let entries = self.peers().len() as f64 + 1.0;
        Sample {
            at: Instant::now(),
            lag: due.elapsed(),
            requests: self.drain.in_flight() as u64,
            running: directory.own_running(),
            mean: self.knows_loads().then(|| directory.total_running() as f64 / entries),
            took: self.drain.take_mean_duration(),
        }
    }

    fn log_load(&self, sample: &Sample, lag: Duration) {
        let loans = |outcome| self.metrics.loans(outcome).get();
        log::warn!(lag_ms = lag.as_millis() as u64, requests = sample.requests,
            running = sample.running, mean = sample.mean, limit = self.crowd.limit(),
            entries = self.peers().len() + 1, unread = self.metrics.unread.get(),
            lent = loans(LoanOutcome::Lent), refused = loans(LoanOutcome::Refused),
            late = loans(LoanOutcome::Late);
            "due tasks run late");
    }
}
