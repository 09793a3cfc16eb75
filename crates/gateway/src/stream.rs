//! Streams of an engine: placed by their prompt, passed on event by event, gone on with elsewhere
//! where the route allows it.

mod choice;
mod open;
mod pump;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::{Response, StatusCode};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::admission::{self, Forecast, Terms, Verdict};
use crate::batch::BatchClient;
use crate::dialect::{Dialect, PieceFailure, Segments};
use crate::exchange::Cause;
use crate::offers::Offers;
use crate::phases::Phases;
use crate::plain::note;
use crate::reply::{Refusal, Reply, ReplyBody};
use crate::request::CallerRequest;
use crate::shared::Shared;
use crate::stages::{self, Inputs, StageFailure, StageRun};
use crate::suspects::RunTimes;

use self::choice::Choice;
use self::open::{Attached, Tried, open};
use self::pump::Pump;

/// Events that wait for a slow caller before the engine's connection is read no further.
const EVENTS: usize = 32;

/// How many engines may turn a request away.
const OFFERS: usize = 4;

/// How often the stages of a request run.
const STAGE_RUNS: u32 = 2;

/// The parts of an entry that a stream uses.
pub(crate) struct Streams<D: Dialect> {
    pub(crate) shared: Arc<Shared<D>>,
    pub(crate) batches: Arc<BatchClient<D>>,
}

/// What a request has used up so far.
struct Used {
    offers: Offers,
    runs: u32,
    stage_runs: u32,
    arrived: bool,
}

impl Used {
    fn new() -> Self {
        Self { offers: Offers::new(OFFERS), runs: 0, stage_runs: 0, arrived: false }
    }
}

impl<D: Dialect> Streams<D> {
    /// Serves a request.
    pub(crate) async fn run(
        self: &Arc<Self>,
        request: CallerRequest,
        service: &Arc<str>,
    ) -> Result<Reply, Refusal> {
        self.admit(&request, service)?;
        let mut used = Used::new();
        let attached = match self.attach(&request, service, &mut used, None).await? {
            Tried::Stream(attached) => attached,
            Tried::Answer(reply) => return Ok(reply),
        };
        self.shared.metrics.first.observe(request.arrived.elapsed().as_secs_f64());
        let (events, receiver) = mpsc::channel(EVENTS);
        let mut reply = Response::new(ReplyBody::stream(receiver));
        *reply.headers_mut() = attached.headers.clone();
        let pump = Pump {
            streams: Arc::clone(self),
            service: Arc::clone(service),
            last: request.ask.last_event,
            request,
            used,
            events,
        };
        tokio::spawn(pump.run(*attached));
        Ok(reply)
    }

    /// Runs the stages and offers the request to engines, until a first event came.
    async fn attach(
        &self,
        request: &CallerRequest,
        service: &Arc<str>,
        used: &mut Used,
        last_event: Option<u64>,
    ) -> Result<Tried, Refusal> {
        let mut inputs: Option<Inputs<D>> = None;
        loop {
            if inputs.is_none() {
                inputs = Some(self.inputs(request, service, used).await?);
            }
            let (handles, phases) = match &inputs {
                Some(it) => (it.handles(), it.phases().clone()),
                None => (&[][..], Phases::default()),
            };
            let choice = Choice {
                tried: used.offers.tried(),
                left: request.target().saturating_duration_since(Instant::now()),
                domain: self.batches.domain_of(handles),
            };
            let upstream = self.choose(request, service, &choice);
            // It may have been held while its stages ran.
            self.may_send(request, used)?;
            let Some(upstream) = upstream else {
                return Err(if used.runs > 0 { Refusal::Failed } else { Refusal::NoUpstream });
            };
            let now = Instant::now();
            let entries = self.shared.entries();
            if used.arrived && !self.shared.budget.take(service, 1, entries, now) {
                self.shared.metrics.calls.with_label_values(&["no budget"]).inc();
                return Err(if used.runs > 0 { Refusal::Failed } else { Refusal::NoUpstream });
            }
            used.offers.add(&upstream, now);
            log::info!(request = request.ask.attempt.as_str(), upstream:% = upstream.id,
                running = upstream.running_all(), tokens = upstream.tokens_all(),
                listed:% = self.shared.directory().listed(), inputs = handles.len(), last = last_event,
                stages:% = phases, age_ms = request.arrived.elapsed().as_millis() as u64; "chose an engine");
            let forward = request.forward::<D>(&upstream, handles, last_event);
            let fault = match open::<D>(request, &upstream, forward).await {
                Ok(tried) => {
                    if let Some(generation) = &request.ask.generation {
                        self.shared.paces.learn(service, generation, now.elapsed());
                    }
                    self.shared.metrics.engine(service, now.elapsed());
                    self.shared.metrics.calls.with_label_values(&["answered"]).inc();
                    if matches!(tried, Tried::Answer(_)) {
                        self.shared.suspects.completed(request);
                    }
                    return Ok(tried);
                }
                Err(fault) => fault,
            };
            note(&self.shared, request, &upstream, &fault);
            if fault.cause == Cause::Lost {
                let times = RunTimes { sent: now, first: None };
                self.shared.suspects.lost(request.digest(), &upstream, times);
            }
            used.arrived |= !fault.is_unsent();
            if fault.not_run {
                request.sent.store(used.runs > 0, Ordering::Relaxed);
                if fault.cause == Cause::Refused(StatusCode::CONFLICT) {
                    // Its inputs are gone; the engine itself is fine.
                    used.offers.take_back();
                    inputs = None;
                } else if !used.offers.turned_away(&fault) {
                    return Err(Refusal::NoUpstream);
                }
                if used.stage_runs > STAGE_RUNS {
                    return Err(Refusal::NoUpstream);
                }
                continue;
            }
            used.runs += 1;
            if !request.repeats() || used.runs >= request.route.attempts {
                let late = fault.cause == Cause::Timeout;
                return Err(if late { Refusal::LateRun } else { Refusal::Failed });
            }
        }
    }

    /// Whether a request may go on to an upstream, and what it is answered where it may not.
    fn may_send(&self, request: &CallerRequest, used: &Used) -> Result<(), Refusal> {
        let held = |after| if used.runs > 0 { Refusal::Failed } else { Refusal::Held(after) };
        self.shared.suspects.check(request).map_err(|it| held(it.after))
    }

    /// Refuses a request whose stages would take too long, before anything is done for it.
    ///
    /// What goes wrong without it: in a burst every request waits, all come late, and the work for
    /// those whose callers left in the end is lost.
    fn admit(&self, request: &CallerRequest, service: &Arc<str>) -> Result<(), Refusal> {
        let Some(segments) = &request.ask.segments else { return Ok(()) };
        let run = self.stage_run(request, segments, service);
        let rank = request.rank();
        let section = |it: &Arc<str>| self.shared.section(it, None, rank);
        let backlogs = &self.shared.backlogs;
        let engine = request.ask.generation.as_ref();
        let engine = engine.map_or(Duration::ZERO, |it| self.shared.paces.least(service, it));
        let forecast = Forecast {
            plain: stages::expected(&run, |_| Duration::ZERO) + engine,
            timely: stages::expected(&run, |it| backlogs.timely_wait(&section(it), rank)) + engine,
            late: stages::expected(&run, |it| backlogs.wait(&section(it), rank)) + engine,
        };
        let terms = Terms {
            age: request.arrived.elapsed(),
            target: request.route.target,
            patience: request.first_by.saturating_duration_since(request.arrived),
            priority: request.route.priority,
        };
        let verdict = admission::admit(&forecast, &terms);
        let (attempt, target) = (request.ask.attempt.as_str(), terms.target.as_millis() as u64);
        let wait = forecast.late.saturating_sub(forecast.plain).as_millis() as u64;
        let (timely, late) = (forecast.timely.as_millis() as u64, forecast.late.as_millis() as u64);
        match verdict {
            Verdict::Timely | Verdict::Late => {
                log::info!(request = attempt, rank, verdict = verdict.name(), wait_ms = wait,
                    timely_ms = timely, expected_ms = late, target_ms = target;
                    "admitted a request to its stages");
                Ok(())
            }
            Verdict::Refused(wait) => {
                log::info!(request = attempt, rank, wait_ms = wait.as_millis() as u64,
                    timely_ms = timely, expected_ms = late, target_ms = target;
                    "refused a request: its stages take too long");
                Err(Refusal::Overloaded(wait / 2))
            }
        }
    }

    fn stage_run<'a>(
        &self,
        request: &'a CallerRequest,
        segments: &'a Segments,
        service: &Arc<str>,
    ) -> StageRun<'a> {
        let mut run = StageRun {
            plan: &request.plan,
            route: &request.route,
            segments,
            attempt: request.ask.attempt.as_str().into(),
            digest: request.digest(),
            domain: None,
            engine: match &request.ask.generation {
                Some(generation) => self.shared.paces.first_event(service, generation),
                None => Duration::ZERO,
            },
            target: request.target(),
            deadline: request.first_by,
            rank: request.rank(),
            needs: self.needs(request),
        };
        let stages = stages::expected(&run, |_| Duration::ZERO);
        let left = request.target().saturating_duration_since(Instant::now() + stages);
        let choice = Choice { tried: &[], left, domain: None };
        run.domain = self.choose(request, service, &choice).map(|it| Arc::clone(&it.domain));
        run
    }

    /// What each stage of a request needs now.
    fn needs(&self, request: &CallerRequest) -> Vec<Duration> {
        let stages = request.route.stages.iter();
        let sections = stages.map(|it| self.shared.section(&it.service, None, request.rank()));
        sections.map(|it| self.shared.backlogs.need(&it)).collect()
    }

    async fn inputs(
        &self,
        request: &CallerRequest,
        service: &Arc<str>,
        used: &mut Used,
    ) -> Result<Inputs<D>, Refusal> {
        let Some(segments) = &request.ask.segments else {
            return Ok(Inputs::none(Arc::clone(&self.batches)));
        };
        loop {
            used.stage_runs += 1;
            let run = self.stage_run(request, segments, service);
            match stages::run(&self.batches, &run).await {
                Ok(inputs) => {
                    self.shared.metrics.stages(inputs.phases());
                    return Ok(inputs);
                }
                Err(it) if it.cause == PieceFailure::InputGone && used.stage_runs < STAGE_RUNS => {}
                Err(StageFailure { stage, cause, phases }) => {
                    log::info!(request = request.ask.attempt.as_str(), stage,
                        service:% = request.route.stages[stage].service, failure:? = cause,
                        stages:% = phases, age_ms = request.arrived.elapsed().as_millis() as u64;
                        "a stage could not be done");
                    return Err(match cause {
                        PieceFailure::Late => request.late(),
                        _ => Refusal::NoStage,
                    });
                }
            }
        }
    }
}
