//! What every kind of stage needs while it runs: its place in the pool, the choice of an upstream,
//! the account of each call.

use std::time::{Duration, Instant};

use routing::{CallEnd, Pick, PickRequest, Slot, SlotResponse, UpstreamView};
use serde_json::value::RawValue;
use tokio::time::timeout_at;
use types::{Cost, Micros, RefusalReason, Stage, Tokens, UpstreamName};
use upstream::{CallError, Fault, Limits, Sent};

use crate::answer::{StageLine, millis, retry_after};
use crate::core::Core;
use crate::flight::Flight;
use crate::outcome::{Halt, Progress, Reason};
use crate::request::Request;
use crate::session::Session;
use crate::usage::Account;

/// The most calls of one stage that go to upstreams which were tried before.
const CALLS: u32 = 4;

/// How far past the deadline limits lie that the deadline comes before.
const PAST: Duration = Duration::from_secs(1);

/// One stage of one request.
pub(crate) struct Step<'a, S> {
    pub(crate) core: &'a Core<S>,
    pub(crate) request: &'a Request,
    index: usize,
    pub(crate) stage: &'a Stage,
    pub(crate) previous: Option<&'a RawValue>,
    /// When the stage must have ended.
    pub(crate) by: Instant,
    /// When it began, its queue included.
    pub(crate) began: Instant,
}

/// A stage's place in its pool's work, given back when dropped.
pub(crate) struct Place {
    _slot: Slot,
    since: Instant,
}

impl Place {
    fn taken(slot: Slot) -> Self {
        Self { _slot: slot, since: Instant::now() }
    }
}

/// A stage's result.
#[derive(Debug)]
pub(crate) struct Done {
    pub(crate) output: Box<RawValue>,
    pub(crate) line: StageLine,
}

/// What to do after a failed call.
#[derive(Debug)]
pub(crate) enum Next {
    /// Call the same upstream again over a new connection.
    Same,
    /// Call another.
    Other,
}

/// The upstreams that a stage tried, and how often.
#[derive(Debug, Default)]
pub(crate) struct Tries {
    pub(crate) tried: Vec<UpstreamName>,
    pub(crate) calls: u32,
    same: u32,
}

impl<'a, S: Session> Step<'a, S> {
    pub(crate) fn new(
        core: &'a Core<S>,
        request: &'a Request,
        index: usize,
        previous: Option<&'a RawValue>,
    ) -> Self {
        let began = Instant::now();
        let by = core.router.stage_deadline(&request.ask, index, began).min(request.by());
        let stage = &request.pipeline.stages[index];
        Self { core, request, index, stage, previous, by, began }
    }

    /// Waits for a place in the pool's work.
    pub(crate) async fn place(&self) -> Result<Place, Halt> {
        let turn =
            self.core.router.request_slot(&self.stage.pool, &self.request.ask, self.by, self.began);
        let waiting = match turn {
            SlotResponse::Granted(slot) => return Ok(Place::taken(slot)),
            SlotResponse::Refused(refusal) => return Err(refusal.into()),
            SlotResponse::Queued(waiting) => waiting,
        };
        match timeout_at(self.by.into(), waiting).await {
            Ok(Ok(Ok(slot))) => Ok(Place::taken(slot)),
            Ok(Ok(Err(refusal))) => Err(refusal.into()),
            Ok(Err(_)) | Err(_) => Err(self.late("waiting for its turn")),
        }
    }

    /// Notes how long the stage took from its place on. The queue is left out: it is the pool's
    /// backlog, which admission counts apart.
    pub(crate) fn ended(&self, place: &Place) {
        let took = place.since.elapsed();
        self.core.router.stage_ended(&self.request.ask, self.index, took, Instant::now());
    }

    /// Chooses an upstream.
    pub(crate) fn pick(&self, tries: &Tries, prefix: Option<u64>) -> Result<Pick, Halt> {
        let now = Instant::now();
        let left = self.by.saturating_duration_since(now);
        if left.is_zero() {
            return Err(self.late("before it was called"));
        }
        self.check_claim(now)?;
        let ask = PickRequest { pool: &self.stage.pool, prefix, exclude: &tries.tried, left };
        Ok(self.core.router.pick(&ask, now, &mut rand::rng())?)
    }

    /// Checks, before a call that may not be repeated, that its claim must still stand.
    ///
    /// What goes wrong without it: this process is frozen, or cut off from control, while an
    /// earlier stage runs. Control declares it lost, a resend is told `owner-lost`, its caller asks
    /// the service, finds nothing and sends a new key. Then this process goes on and sends the call
    /// of the old one. A session that is fresh again does not show it; the gap in it does.
    fn check_claim(&self, now: Instant) -> Result<(), Halt> {
        let Some(since) = self.request.claimed.filter(|_| !self.stage.repeatable) else {
            return Ok(());
        };
        if self.core.session.is_steady(since, now) {
            return Ok(());
        }
        let detail = "the session with control was interrupted after the request was claimed";
        Err(Halt::new(Reason::Refused(RefusalReason::StaleService), detail).after(retry_after()))
    }

    /// Chooses another upstream after a failed call. Where all were tried and the last one is there
    /// and takes work, it may be tried again: a pool of one must not fail at the first cut.
    pub(crate) fn pick_other(
        &self,
        failed: Flight<'_, S>,
        fault: &Fault,
        tries: &mut Tries,
        prefix: Option<u64>,
    ) -> Result<Pick, Halt> {
        tries.tried.push(failed.upstream().name.clone());
        drop(failed);
        let halt = match self.pick(tries, prefix) {
            Err(halt) if halt.reason == Reason::Refused(RefusalReason::NoUpstream) => halt,
            result => return result,
        };
        let absent = matches!(fault, Fault::Connect(_) | Fault::Busy(_) | Fault::Leaving);
        if !absent && self.stage.repeatable && tries.calls < CALLS {
            tries.tried.clear();
            return self.pick(tries, prefix);
        }
        let spent = self.spent(fault);
        Err(Halt { retry_after: halt.retry_after, ..spent })
    }

    /// Returns the limits of a call to a picked upstream.
    ///
    /// A call that may not be repeated has until the deadline. What goes wrong with a shorter limit:
    /// a service that takes longer than usual, and then answers, is given up, nobody may call it
    /// again, and the caller is told `unknown` for good. Its connection is new, so a silent one is
    /// no reason either.
    pub(crate) fn limits(&self, first_byte: Duration) -> Limits {
        let limits = Limits::new(self.by, first_byte);
        if self.stage.repeatable {
            return limits;
        }
        let left = Request::left(self.by) + PAST;
        Limits { first_byte: left, idle: left, ..limits }
    }

    /// Notes a call that gave its result.
    pub(crate) fn succeeded(&self, pick: &Pick, first_byte: Duration, used: Used) {
        let Used { total, tokens, busy } = used;
        let end = CallEnd::Ok { first_byte, total, tokens };
        self.core.router.call_ended(pick, end, Instant::now());
        self.core.router.charge(&self.request.ask.customer, tokens, Instant::now());
        self.core.metrics.used(&self.stage.pool, total);
        self.core.usage.used(&self.account(), busy, tokens);
    }

    /// Notes a call that failed, and keeps its evidence.
    pub(crate) fn failed(
        &self,
        upstream: &Pick,
        error: CallError,
        waste: Option<Duration>,
        progress: &mut Progress,
    ) -> Fault {
        let (request, step) = (self.request.id, &self.stage.name);
        let peer = &upstream.upstream.name;
        log::debug!(request:% = request, step:% = step, peer:% = peer; "a call failed: {error}");
        let CallError { fault, sent, .. } = error;
        let (end, word) = call_end(&fault);
        self.core.router.call_ended(upstream, end, Instant::now());
        self.core.metrics.call(&self.stage.pool, word);
        let repeatable = self.stage.repeatable;
        match sent {
            Sent::No(evidence) => progress.unsent(repeatable, evidence),
            Sent::Declined(evidence) => progress.declined(repeatable, &evidence),
            Sent::Maybe => {
                if let Some(time) = waste {
                    self.core.usage.wasted(&self.account(), time);
                }
                if matches!(fault, Fault::Status(..)) {
                    progress.heard();
                }
            }
        }
        fault
    }

    /// Notes a call whose result nobody waits for any more.
    pub(crate) fn abandoned(&self, pick: &Pick, time: Duration) {
        self.core.router.call_ended(pick, CallEnd::Abandoned, Instant::now());
        self.core.metrics.call(&self.stage.pool, "abandoned");
        self.core.usage.wasted(&self.account(), time);
    }

    /// Decides what follows a failed call.
    ///
    /// A call that may have run is repeated only where the stage is repeatable. One that never left,
    /// or met an upstream that is leaving, costs the pool nothing and takes nothing from the retry
    /// budget; neither does the first one on a kept connection that turned out closed or silent, for
    /// that says nothing of the upstream.
    pub(crate) fn next(
        &self,
        fault: &Fault,
        reused: bool,
        tries: &mut Tries,
        progress: &Progress,
    ) -> Result<Next, Halt> {
        if !self.stage.repeatable && progress.is_once_sent() {
            return Err(self.lost(fault));
        }
        if *fault == Fault::Deadline {
            return Err(self.late("while it was called"));
        }
        let connection = matches!(fault, Fault::Stale | Fault::Silent);
        if connection && reused && tries.same == 0 {
            tries.same += 1;
            self.core.metrics.extra(&self.stage.pool, "reconnect");
            return Ok(Next::Same);
        }
        if !matches!(fault, Fault::Connect(_) | Fault::Leaving) {
            let left = self.by.saturating_duration_since(Instant::now());
            let allowed = self.core.router.spend_retry(&self.stage.pool, left, Instant::now());
            allowed.map_err(|refusal| self.spent(fault).after(refusal.retry_after))?;
        }
        self.core.metrics.extra(&self.stage.pool, "retry");
        Ok(Next::Other)
    }

    fn spent(&self, fault: &Fault) -> Halt {
        let reason = match fault {
            Fault::Busy(_) | Fault::Leaving => Reason::Declined,
            Fault::Connect(_) => Reason::Refused(RefusalReason::NoUpstream),
            _ => Reason::Upstream,
        };
        Halt::new(reason, format!("stage {}: {fault}; no other try is left", self.stage.name))
    }

    /// Says that the non-repeatable call left and has no answer.
    fn lost(&self, fault: &Fault) -> Halt {
        let reason = match fault {
            Fault::Status(..) => Reason::Upstream,
            _ => Reason::CallLost,
        };
        Halt::new(
            reason,
            format!("stage {} is not repeatable and was called: {fault}", self.stage.name),
        )
    }

    pub(crate) fn late(&self, when: &str) -> Halt {
        let detail = format!("the deadline of stage {} passed {when}", self.stage.name);
        Halt::new(Reason::Deadline, detail)
    }

    pub(crate) fn account(&self) -> Account<'_> {
        let Stage { name: stage, pool, .. } = self.stage;
        Account { customer: &self.request.ask.customer, stage, pool }
    }

    /// Makes the stage's line in the answer.
    pub(crate) fn line(&self, upstream: &UpstreamView, tries: &Tries, used: Used) -> StageLine {
        let pool = self.request.view.service().pools.get(&self.stage.pool);
        let rate = pool.map_or(0.0, |it| it.cost.0);
        StageLine {
            stage: self.stage.name.clone(),
            upstream: upstream.name.clone(),
            attempts: tries.calls,
            ms: millis(self.began.elapsed()),
            busy_us: used.busy,
            tokens: used.tokens,
            cost: Cost(rate * used.busy.0 as f64 / 1e6),
        }
    }
}

/// What a call used.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Used {
    pub(crate) total: Duration,
    pub(crate) tokens: Tokens,
    pub(crate) busy: Micros,
}

/// Returns how a fault counts for its upstream, and its word in the metrics.
fn call_end(fault: &Fault) -> (CallEnd, &'static str) {
    match fault {
        Fault::Connect(_) => (CallEnd::Refused, "refused"),
        Fault::Busy(_) => (CallEnd::Busy, "busy"),
        Fault::Leaving => (CallEnd::Leaving, "leaving"),
        Fault::Silent => (CallEnd::Silent, "silent"),
        Fault::Stale => (CallEnd::Abandoned, "stale"),
        Fault::Deadline => (CallEnd::Abandoned, "deadline"),
        Fault::Echo => (CallEnd::Failed, "echo"),
        Fault::Cut(_) => (CallEnd::Failed, "cut"),
        Fault::Gap(..) => (CallEnd::Failed, "gap"),
        Fault::Size(_) | Fault::Malformed(_) | Fault::Status(..) => (CallEnd::Failed, "error"),
    }
}
