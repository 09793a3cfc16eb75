//! A call to an upstream that is in flight.

use std::sync::Arc;
use std::time::{Duration, Instant};

use routing::{Pick, UpstreamView};
use upstream::{CallError, Fault};

use crate::outcome::Progress;
use crate::session::Session;
use crate::step::{Attempts, Step, Used};

/// A call to an upstream, from before its first byte can leave.
///
/// A run is dropped at any point when its caller leaves or when a hedged call loses. A call that is
/// dropped before its end was recorded is reported to the router as abandoned and its time is
/// counted as wasted; otherwise neither would learn of it.
pub(crate) struct InFlightCall<'a, S: Session> {
    step: &'a Step<'a, S>,
    pick: Pick,
    began: Instant,
    open: bool,
}

impl<'a, S: Session> InFlightCall<'a, S> {
    /// Records that a call to the picked upstream starts now.
    pub(crate) fn begin(
        step: &'a Step<'a, S>,
        pick: Pick,
        attempts: &mut Attempts,
        progress: &mut Progress,
    ) -> Self {
        attempts.calls += 1;
        progress.call_started(step.stage.repeatable);
        Self { step, pick, began: Instant::now(), open: true }
    }

    /// Records that the same upstream is called again.
    pub(crate) fn retried(mut self, attempts: &mut Attempts, progress: &mut Progress) -> Self {
        attempts.calls += 1;
        progress.call_started(self.step.stage.repeatable);
        (self.began, self.open) = (Instant::now(), true);
        self
    }

    /// Returns the upstream of the call.
    pub(crate) fn upstream(&self) -> &Arc<UpstreamView> {
        &self.pick.upstream
    }

    /// Returns the timeout of the first byte.
    pub(crate) fn first_byte(&self) -> Duration {
        self.pick.first_byte_limit
    }

    /// Returns the time after which a second call is worthwhile. `None` for a stage that is not
    /// repeatable: both calls would run.
    pub(crate) fn hedge_after(&self) -> Option<Duration> {
        self.pick.hedge_after.filter(|_| self.step.stage.repeatable)
    }

    /// Returns the time since the call started.
    pub(crate) fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }

    /// Records that the call succeeded.
    pub(crate) fn succeeded(&mut self, first_byte: Duration, used: Used) {
        self.open = false;
        self.step.succeeded(&self.pick, first_byte, used);
    }

    /// Records that the call failed, together with its evidence of whether it was sent, and returns
    /// the fault. The time of a call that `delivered` tokens is not counted as wasted.
    pub(crate) fn failed(
        &mut self,
        error: CallError,
        delivered: bool,
        progress: &mut Progress,
    ) -> Fault {
        self.open = false;
        let waste = (!delivered).then(|| self.elapsed());
        self.step.failed(&self.pick, error, waste, progress)
    }
}

impl<S: Session> Drop for InFlightCall<'_, S> {
    fn drop(&mut self) {
        if self.open {
            self.step.abandoned(&self.pick, self.elapsed());
        }
    }
}
