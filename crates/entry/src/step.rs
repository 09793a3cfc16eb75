//! What all kinds of stages share while they run: the slot in the pool, the choice of an upstream,
//! and the accounting of each call.

use std::sync::Arc;
use std::time::{Duration, Instant};

use routing::{CallEnd, Pick, PickRequest, Slot, SlotResponse, UpstreamView};
use serde_json::value::RawValue;
use tokio::sync::Notify;
use tokio::time::timeout_at;
use types::{Cost, Micros, RefusalReason, Stage, Tokens, UpstreamName};
use upstream::{CallError, Fault, Limits, Sent};

use crate::answer::{StageSummary, millis, retry_after};
use crate::call::InFlightCall;
use crate::core::Core;
use crate::outcome::{Progress, Reason, RequestError};
use crate::request::Request;
use crate::session::Session;
use crate::usage::Account;

/// Once a stage has made this many calls, it does not call an upstream again that it already tried.
pub(crate) const MAX_REPEAT_CALLS: u32 = 4;

/// How far past the deadline those limits are set that must not expire before it.
const DEADLINE_MARGIN: Duration = Duration::from_secs(1);

/// One stage of one request.
pub(crate) struct Step<'a, S> {
    pub(crate) core: &'a Core<S>,
    pub(crate) request: &'a Request,
    index: usize,
    pub(crate) stage: &'a Stage,
    pub(crate) previous: Option<&'a RawValue>,
    /// The deadline of the stage.
    pub(crate) deadline: Instant,
    /// When the stage began, its queue included.
    pub(crate) began: Instant,
    /// Notified when one of its calls is silent.
    pub(crate) wake: Arc<Notify>,
}

/// A stage's slot in its pool, released on drop.
pub(crate) struct PoolSlot {
    _slot: Slot,
    taken_at: Instant,
}

impl PoolSlot {
    fn new(slot: Slot) -> Self {
        Self { _slot: slot, taken_at: Instant::now() }
    }
}

/// A stage's result.
#[derive(Debug)]
pub(crate) struct StageResult {
    pub(crate) output: Box<RawValue>,
    pub(crate) summary: StageSummary,
}

/// Which upstream to call after a failed call.
#[derive(Debug)]
pub(crate) enum Retry {
    /// The same upstream, over a new connection.
    Same,
    /// Another upstream.
    Other,
}

/// The upstreams that a stage has tried and the number of its calls.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    pub(crate) tried: Vec<UpstreamName>,
    pub(crate) calls: u32,
    pub(crate) reconnects: u32,
    /// The time that engines spent on delivered tokens before another call took over.
    pub(crate) cut_time: Duration,
}

impl<'a, S: Session> Step<'a, S> {
    pub(crate) fn new(
        core: &'a Core<S>,
        request: &'a Request,
        index: usize,
        previous: Option<&'a RawValue>,
    ) -> Self {
        let began = Instant::now();
        let deadline =
            core.router.stage_deadline(&request.info, index, began).min(request.deadline());
        let stage = &request.pipeline.stages[index];
        Self { core, request, index, stage, previous, deadline, began, wake: Arc::default() }
    }

    /// Waits for a slot in the pool.
    pub(crate) async fn wait_for_slot(&self) -> Result<PoolSlot, RequestError> {
        let turn = self.core.router.request_slot(
            &self.stage.pool,
            &self.request.info,
            self.deadline,
            self.began,
        );
        let waiting = match turn {
            SlotResponse::Granted(slot) => return Ok(PoolSlot::new(slot)),
            SlotResponse::Refused(refusal) => return Err(refusal.into()),
            SlotResponse::Queued(waiting) => waiting,
        };
        match timeout_at(self.deadline.into(), waiting).await {
            Ok(Ok(Ok(slot))) => Ok(PoolSlot::new(slot)),
            Ok(Ok(Err(refusal))) => Err(refusal.into()),
            Ok(Err(_)) | Err(_) => Err(self.deadline_passed("waiting for its turn")),
        }
    }

    /// Records how long the stage took once it had its slot. The time in the queue is left out: it
    /// is the pool's backlog, which admission accounts for separately.
    pub(crate) fn ended(&self, slot: &PoolSlot) {
        let took = slot.taken_at.elapsed();
        self.core.router.stage_ended(&self.request.info, self.index, took, Instant::now());
    }

    /// Chooses an upstream.
    pub(crate) fn pick(
        &self,
        attempts: &Attempts,
        prefix: Option<u64>,
    ) -> Result<Pick, RequestError> {
        let now = Instant::now();
        let left = self.deadline.saturating_duration_since(now);
        if left.is_zero() {
            return Err(self.deadline_passed("before it was called"));
        }
        self.check_claim(now)?;
        let pick_request =
            PickRequest { pool: &self.stage.pool, prefix, exclude: &attempts.tried, left };
        Ok(self.core.router.pick(&pick_request, now, &mut rand::rng())?)
    }

    /// Checks before a call that may not be repeated that its claim must still be held.
    ///
    /// While an earlier stage runs, this process can be frozen or cut off from control. Control
    /// then declares it lost; a resend is told `owner-lost`, and its caller asks the service, finds
    /// nothing and sends a new key. If this process then resumed and sent its call, the work would
    /// run twice. A session that is fresh again does not reveal the interruption, so the check
    /// looks for a gap since the claim.
    fn check_claim(&self, now: Instant) -> Result<(), RequestError> {
        let Some(since) = self.request.claimed.filter(|_| !self.stage.repeatable) else {
            return Ok(());
        };
        if self.core.session.is_steady(since, now) {
            return Ok(());
        }
        let detail = "the session with control was interrupted after the request was claimed";
        Err(RequestError::new(Reason::Refused(RefusalReason::StaleService), detail)
            .retry_after(retry_after()))
    }

    /// Chooses another upstream after a failed call. If all were tried, and the last one was
    /// reachable and did not refuse the work, any of them may be called again: a pool with one
    /// upstream must not fail at the first cut connection.
    pub(crate) fn pick_other(
        &self,
        failed: InFlightCall<'_, S>,
        fault: &Fault,
        attempts: &mut Attempts,
        prefix: Option<u64>,
    ) -> Result<Pick, RequestError> {
        attempts.tried.push(failed.upstream().name.clone());
        drop(failed);
        let error = match self.pick(attempts, prefix) {
            Err(error) if error.reason == Reason::Refused(RefusalReason::NoUpstream) => error,
            result => return result,
        };
        let absent = matches!(fault, Fault::Connect(_) | Fault::Busy(_) | Fault::Draining);
        if !absent && self.stage.repeatable && attempts.calls < MAX_REPEAT_CALLS {
            attempts.tried.clear();
            return self.pick(attempts, prefix);
        }
        let exhausted = self.exhausted(fault);
        Err(RequestError { retry_after: error.retry_after, ..exhausted })
    }

    /// Returns the limits of a call to a picked upstream.
    ///
    /// The silence of a call that may not be repeated has no consequence: nothing may call its
    /// service again, and its connection is new.
    pub(crate) fn limits(&self, first_byte: Duration) -> Limits {
        let limits = Limits::new(self.deadline, first_byte);
        if self.stage.repeatable {
            return limits;
        }
        let left = Request::left(self.deadline) + DEADLINE_MARGIN;
        Limits { first_byte: left, idle: left, ..limits }
    }

    /// Records a call that succeeded.
    pub(crate) fn succeeded(&self, pick: &Pick, first_byte: Duration, used: Used) {
        let Used { total, tokens, busy } = used;
        let end = CallEnd::Ok { first_byte, total, tokens };
        self.core.router.call_ended(pick, end, Instant::now());
        self.core.router.charge(&self.request.info.customer, tokens, Instant::now());
        self.core.metrics.call_used(&self.stage.pool, total);
        self.core.usage.call_used(&self.account(), busy, tokens);
    }

    /// Records a call that failed, and whether it was silent until then, and keeps its evidence of
    /// whether it was sent.
    pub(crate) fn failed(
        &self,
        upstream: &Pick,
        (error, silent): (CallError, bool),
        waste: Option<Duration>,
        progress: &mut Progress,
    ) -> Fault {
        let (request, step) = (self.request.id, &self.stage.name);
        let peer = &upstream.upstream.name;
        log::debug!(request:% = request, step:% = step, peer:% = peer;
            "call to an upstream failed: {error}");
        let CallError { fault, sent, .. } = error;
        let (end, label) = call_end(&fault, silent);
        self.core.router.call_ended(upstream, end, Instant::now());
        self.core.metrics.call_ended(&self.stage.pool, label);
        let repeatable = self.stage.repeatable;
        match sent {
            Sent::No(evidence) => progress.call_unsent(repeatable, evidence),
            Sent::Declined(evidence) => progress.call_declined(repeatable, &evidence),
            Sent::Maybe => {
                if let Some(time) = waste {
                    self.core.usage.call_wasted(&self.account(), time);
                }
                if matches!(fault, Fault::Status(..)) {
                    progress.upstream_answered();
                }
            }
        }
        fault
    }

    /// Records a call whose result is no longer needed.
    pub(crate) fn abandoned(&self, pick: &Pick, silent: bool, waste: Option<Duration>) {
        let (end, label) =
            if silent { (CallEnd::Silent, "silent") } else { (CallEnd::Abandoned, "abandoned") };
        self.core.router.call_ended(pick, end, Instant::now());
        self.core.metrics.call_ended(&self.stage.pool, label);
        if let Some(time) = waste {
            self.core.usage.call_wasted(&self.account(), time);
        }
    }

    /// Decides what follows a failed call.
    ///
    /// A call that may have run is repeated only if the stage is repeatable. A call that was never
    /// sent, or that met an upstream that is leaving, costs the pool nothing and takes nothing from
    /// the retry budget. Neither does the first call on a kept connection that turned out closed,
    /// because that says nothing about the upstream.
    pub(crate) fn after_failure(
        &self,
        fault: &Fault,
        reused: bool,
        attempts: &mut Attempts,
        progress: &Progress,
    ) -> Result<Retry, RequestError> {
        if !self.stage.repeatable && progress.non_repeatable_may_have_run() {
            return Err(self.call_lost(fault));
        }
        if *fault == Fault::Deadline {
            return Err(self.deadline_passed("while it was called"));
        }
        if *fault == Fault::Stale && reused && attempts.reconnects == 0 {
            attempts.reconnects += 1;
            self.core.metrics.extra_call(&self.stage.pool, "reconnect");
            return Ok(Retry::Same);
        }
        if !matches!(fault, Fault::Connect(_) | Fault::Draining) {
            let left = self.deadline.saturating_duration_since(Instant::now());
            let allowed = self.core.router.spend_retry(&self.stage.pool, left, Instant::now());
            allowed.map_err(|refusal| self.exhausted(fault).retry_after(refusal.retry_after))?;
        }
        self.core.metrics.extra_call(&self.stage.pool, "retry");
        Ok(Retry::Other)
    }

    fn exhausted(&self, fault: &Fault) -> RequestError {
        let reason = match fault {
            Fault::Busy(_) | Fault::Draining => Reason::Declined,
            Fault::Connect(_) => Reason::Refused(RefusalReason::NoUpstream),
            _ => Reason::Upstream,
        };
        RequestError::new(
            reason,
            format!("stage {}: {fault}; no other try is left", self.stage.name),
        )
    }

    /// Returns the error for a non-repeatable call that was sent and has no answer.
    fn call_lost(&self, fault: &Fault) -> RequestError {
        let reason = match fault {
            Fault::Status(..) => Reason::Upstream,
            _ => Reason::CallLost,
        };
        RequestError::new(
            reason,
            format!("stage {} is not repeatable and was called: {fault}", self.stage.name),
        )
    }

    pub(crate) fn deadline_passed(&self, when: &str) -> RequestError {
        let detail = format!("the deadline of stage {} passed {when}", self.stage.name);
        RequestError::new(Reason::Deadline, detail)
    }

    pub(crate) fn account(&self) -> Account<'_> {
        let Stage { name: stage, pool, .. } = self.stage;
        Account { customer: &self.request.info.customer, stage, pool }
    }

    /// Returns the stage's entry in the answer.
    pub(crate) fn summary(
        &self,
        upstream: &UpstreamView,
        attempts: &Attempts,
        used: Used,
    ) -> StageSummary {
        let pool = self.request.view.service().pools.get(&self.stage.pool);
        let rate = pool.map_or(0.0, |it| it.cost.0);
        StageSummary {
            stage: self.stage.name.clone(),
            upstream: upstream.name.clone(),
            attempts: attempts.calls,
            ms: millis(self.began.elapsed()),
            busy_us: used.busy,
            tokens: used.tokens,
            cost: Cost(rate * used.busy.0 as f64 / 1e6),
        }
    }
}

/// The resources that a call used.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Used {
    pub(crate) total: Duration,
    pub(crate) tokens: Tokens,
    pub(crate) busy: Micros,
}

/// Returns how a fault, and a silence until then, count for the upstream, and the label in the
/// metrics.
fn call_end(fault: &Fault, silent: bool) -> (CallEnd, &'static str) {
    match fault {
        Fault::Connect(_) => (CallEnd::Refused, "refused"),
        Fault::Busy(_) => (CallEnd::Busy, "busy"),
        Fault::Draining => (CallEnd::Leaving, "leaving"),
        Fault::Deadline if silent => (CallEnd::Silent, "silent"),
        Fault::Stale => (CallEnd::Abandoned, "stale"),
        Fault::Deadline => (CallEnd::Abandoned, "deadline"),
        Fault::IdMismatch => (CallEnd::Failed, "echo"),
        Fault::Truncated(_) => (CallEnd::Failed, "cut"),
        Fault::Gap(..) => (CallEnd::Failed, "gap"),
        Fault::TooLarge(_) | Fault::Malformed(_) | Fault::Status(..) => (CallEnd::Failed, "error"),
    }
}
