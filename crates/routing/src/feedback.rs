//! Updates the statistics and the health of an upstream and its pool when a call ends.

use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::choice::{CallEnd, Pick};
use crate::clock::Micros;
use crate::decisions::DecisionKind;
use crate::eject::Fault;
use crate::policy::{MAX_EJECT_SHARE, UPSTREAM_HALF_AGE_US};
use crate::pool::{EntryView, Pool};
use crate::table::UpstreamView;

/// The assumed time of an abandoned call, as a multiple of the time that it was waited for.
const ABANDONED_FACTOR: f64 = 2.0;

/// The end of one call, with what is needed to record it.
pub(crate) struct CallFeedback<'a> {
    pub(crate) pick: &'a Pick,
    /// The pool in the current version of the service, if it still exists there.
    pub(crate) pool: Option<&'a Pool>,
    pub(crate) view: EntryView,
    /// The sequence number of the last digest.
    pub(crate) sequence: u64,
    pub(crate) now: Micros,
}

impl CallFeedback<'_> {
    pub(crate) fn apply(&self, end: CallEnd) {
        let view = &self.pick.upstream;
        view.state.last_progress.store(self.now, Ordering::Relaxed);
        match end {
            CallEnd::Ok { first_byte, total, .. } => self.record_success(first_byte, total),
            CallEnd::Refused => self.record_refused(),
            CallEnd::Failed => self.record_failure(Fault::Failed),
            CallEnd::Silent => {
                self.pick.pool.record_answer(false);
                self.record_failure(Fault::Silent);
            }
            CallEnd::Busy => view.state.record_busy(view.spec.capacity, self.now),
            CallEnd::Leaving => self.record_leaving(),
            CallEnd::Abandoned => self.record_abandoned(),
        }
    }

    fn record_success(&self, first: Duration, total: Duration) {
        let pool = &self.pick.pool;
        let state = &self.pick.upstream.state;
        let (first, total) = (first.as_micros() as Micros, total.as_micros() as f64);
        let mean = pool.mean(self.now);
        pool.record_answer(true);
        pool.record_first_byte(first, self.view.attainment);
        if let Some((_, warm)) = self.pick.prefix {
            pool.prefixes.record_first_token(warm, first, self.now);
        }
        state.health.record_success();
        if self.pick.probe {
            self.readmit(total);
        }
        pool.total.record(total, pool.expected.get(), self.now);
        state.total.record(total, mean, self.now);
    }

    /// Ends the ejection of an upstream whose probe succeeded, and discards the call times from its
    /// failures.
    fn readmit(&self, total: f64) {
        let view = &self.pick.upstream;
        view.state.total.reset();
        if view.state.health.restore() {
            let detail = || format!("a call took {:.1} ms", total / 1e3);
            self.pick.pool.log.record(
                DecisionKind::ProbeSucceeded,
                view.name.as_str(),
                self.now,
                detail,
            );
        }
    }

    /// Handles a refused connection: nothing listens there, so the process is gone. The call cost
    /// nothing, so the budget is not charged for another attempt. Otherwise the loss of a third of
    /// a pool at once would spend the budget on calls that never started.
    fn record_refused(&self) {
        self.pick.pool.budget.refund();
        self.record_failure(Fault::Refused);
    }

    fn record_failure(&self, fault: Fault) {
        let health = &self.pick.upstream.state.health;
        if self.pick.probe {
            health.eject(self.now);
            return;
        }
        if health.record_failure(fault)
            && self.view.rules.eject
            && let Some(pool) = self.pool
        {
            let kind = if fault == Fault::Silent {
                DecisionKind::EjectSilent
            } else {
                DecisionKind::EjectErrors
            };
            eject(pool, &self.pick.upstream, kind, self.now);
        }
    }

    fn record_leaving(&self) {
        let view = &self.pick.upstream;
        if view.state.health.mark_leaving(self.sequence, self.now) {
            let detail = || "it said so itself".to_owned();
            self.pick.pool.log.record(DecisionKind::Leaving, view.name.as_str(), self.now, detail);
        }
    }

    /// Handles an abandoned call, which would have taken longer than it was waited for. Otherwise
    /// an upstream so slow that every call to it is abandoned would never be recognized as slow.
    fn record_abandoned(&self) {
        let state = &self.pick.upstream.state;
        let waited = self.now.saturating_sub(self.pick.start) as f64;
        let mean = self.pick.pool.mean(self.now);
        if waited > state.total.get(mean, UPSTREAM_HALF_AGE_US, self.now) {
            state.total.record(ABANDONED_FACTOR * waited, mean, self.now);
        }
    }
}

/// Ejects an upstream unless too large a share of its pool has failed. In that case the cause is
/// more likely something that the upstreams share, before or behind them, and an empty pool serves
/// nobody.
pub(crate) fn eject(pool: &Pool, view: &UpstreamView, kind: DecisionKind, now: Micros) {
    let max = (pool.upstreams.len() as f64 * MAX_EJECT_SHARE) as usize;
    let degraded = pool.degraded_count();
    let log = &pool.state.log;
    let detail = || {
        let load = view.state.own_calls.load(Ordering::Relaxed);
        format!("{load} calls there, {degraded} of {} in trouble", pool.upstreams.len())
    };
    if degraded > max {
        log.record(DecisionKind::TooManyEjected, view.name.as_str(), now, detail);
    } else if view.state.health.eject(now) {
        log.record(kind, view.name.as_str(), now, detail);
    }
}
