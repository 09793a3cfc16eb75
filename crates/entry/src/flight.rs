//! A call under way.

use std::sync::Arc;
use std::time::{Duration, Instant};

use routing::{Pick, UpstreamView};
use upstream::{CallError, Fault};

use crate::outcome::Progress;
use crate::session::Session;
use crate::step::{Step, Tries, Used};

/// A call under way, from before its first byte can leave.
///
/// What goes wrong without it: a run is dropped wherever it stands when its caller leaves or a hedge
/// is lost, and the call it had open is neither told to the router nor counted as waste. So a flight
/// that is dropped before its end was noted counts as abandoned.
pub(crate) struct Flight<'a, S: Session> {
    step: &'a Step<'a, S>,
    pick: Pick,
    began: Instant,
    open: bool,
}

impl<'a, S: Session> Flight<'a, S> {
    /// Notes that a call to the picked upstream starts now.
    pub(crate) fn begin(
        step: &'a Step<'a, S>,
        pick: Pick,
        tries: &mut Tries,
        progress: &mut Progress,
    ) -> Self {
        tries.calls += 1;
        progress.sending(step.stage.repeatable);
        Self { step, pick, began: Instant::now(), open: true }
    }

    /// Notes that the same upstream is called again.
    pub(crate) fn again(mut self, tries: &mut Tries, progress: &mut Progress) -> Self {
        tries.calls += 1;
        progress.sending(self.step.stage.repeatable);
        (self.began, self.open) = (Instant::now(), true);
        self
    }

    /// Returns the upstream that is called.
    pub(crate) fn upstream(&self) -> &Arc<UpstreamView> {
        &self.pick.upstream
    }

    /// Returns how long the first byte may take.
    pub(crate) fn first_byte(&self) -> Duration {
        self.pick.first_byte_limit
    }

    /// Returns after how long a second call is worth it. Never for a stage that is not repeatable:
    /// two calls of it would both run.
    pub(crate) fn hedge_after(&self) -> Option<Duration> {
        self.pick.hedge_after.filter(|_| self.step.stage.repeatable)
    }

    /// Returns the time since the call started.
    pub(crate) fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }

    /// Notes that the call gave its result.
    pub(crate) fn succeeded(&mut self, first_byte: Duration, used: Used) {
        self.open = false;
        self.step.succeeded(&self.pick, first_byte, used);
    }

    /// Notes that the call failed, and takes its evidence. What it delivered before counts as used.
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

impl<S: Session> Drop for Flight<'_, S> {
    fn drop(&mut self) {
        if self.open {
            self.step.abandoned(&self.pick, self.elapsed());
        }
    }
}
