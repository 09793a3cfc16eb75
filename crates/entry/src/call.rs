//! A call to an upstream that is in flight.

use std::sync::Arc;
use std::time::{Duration, Instant};

use routing::{Pick, UpstreamView};
use upstream::{CallError, Fault, Silence, Watch};

use crate::outcome::Progress;
use crate::session::Session;
use crate::step::{Attempts, Step, Used};

/// A call to an upstream, from before its first byte can leave.
///
/// A run is dropped at any point when its caller leaves or when another call takes over. A call that
/// is dropped before its end was recorded is reported to the router and its time is counted as
/// wasted; otherwise neither would learn of it.
pub(crate) struct InFlightCall<'a, S: Session> {
    step: &'a Step<'a, S>,
    pick: Pick,
    began: Instant,
    open: bool,
    /// Whether it needs a new connection.
    fresh: bool,
    watch: Watch,
    /// Whether it delivered tokens, so that its time is not wasted if another call takes over.
    delivered: bool,
}

/// What a call needs to start.
pub(crate) struct CallTarget {
    pub(crate) upstream: Arc<UpstreamView>,
    pub(crate) first_byte: Duration,
    pub(crate) fresh: bool,
    pub(crate) watch: Watch,
}

impl<'a, S: Session> InFlightCall<'a, S> {
    /// Records that a call to the picked upstream starts now.
    pub(crate) fn begin(
        step: &'a Step<'a, S>,
        pick: Pick,
        fresh: bool,
        attempts: &mut Attempts,
        progress: &mut Progress,
    ) -> Self {
        attempts.calls += 1;
        progress.call_started(step.stage.repeatable);
        Self {
            step,
            pick,
            began: Instant::now(),
            open: true,
            fresh: fresh || !step.stage.repeatable,
            watch: Watch::new(&step.wake),
            delivered: false,
        }
    }

    /// Records that the same upstream is called once more, over a new connection.
    pub(crate) fn again(&self, attempts: &mut Attempts, progress: &mut Progress) -> Self {
        let pick = self.step.core.router.pick_again(&self.pick, Instant::now());
        Self::begin(self.step, pick, true, attempts, progress)
    }

    /// Returns the upstream of the call.
    pub(crate) fn upstream(&self) -> &Arc<UpstreamView> {
        &self.pick.upstream
    }

    pub(crate) fn target(&self) -> CallTarget {
        CallTarget {
            upstream: Arc::clone(&self.pick.upstream),
            first_byte: self.pick.first_byte_limit,
            fresh: self.fresh,
            watch: self.watch.clone(),
        }
    }

    /// Returns the time after which a second call is worthwhile. `None` for a stage that is not
    /// repeatable: both calls would run.
    pub(crate) fn hedge_after(&self) -> Option<Duration> {
        self.pick.hedge_after.filter(|_| self.step.stage.repeatable && !self.delivered)
    }

    /// Returns the time since the call started.
    pub(crate) fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }

    /// Returns the last silence of the call, unless it went on since.
    pub(crate) fn silence(&self) -> Option<Silence> {
        self.watch.silence()
    }

    /// Records that the call went on: its stream delivered a token.
    pub(crate) fn delivered(&mut self) {
        self.delivered = true;
        self.watch.clear();
    }

    /// Returns whether the call delivered tokens.
    pub(crate) fn has_delivered(&self) -> bool {
        self.delivered
    }

    /// Records that the call succeeded.
    pub(crate) fn succeeded(&mut self, first_byte: Duration, used: Used) {
        self.open = false;
        self.step.succeeded(&self.pick, first_byte, used);
    }

    /// Records that the call failed, together with its evidence of whether it was sent, and returns
    /// the fault.
    pub(crate) fn failed(
        &mut self,
        error: CallError,
        attempts: &mut Attempts,
        progress: &mut Progress,
    ) -> Fault {
        self.open = false;
        if self.delivered {
            attempts.cut_time += self.elapsed();
        }
        let waste = (!self.delivered).then(|| self.elapsed());
        let silent = self.silence().is_some();
        self.step.failed(&self.pick, (error, silent), waste, progress)
    }

    /// Records that another call took over.
    pub(crate) fn replaced(mut self, attempts: &mut Attempts) {
        if self.delivered {
            attempts.cut_time += self.elapsed();
        }
        self.abandon((!self.delivered).then(|| self.elapsed()));
    }

    fn abandon(&mut self, waste: Option<Duration>) {
        self.open = false;
        self.step.abandoned(&self.pick, self.silence().is_some(), waste);
    }
}

impl<S: Session> Drop for InFlightCall<'_, S> {
    fn drop(&mut self) {
        if self.open {
            self.abandon(Some(self.elapsed()));
        }
    }
}
