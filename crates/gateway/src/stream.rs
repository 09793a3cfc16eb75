//! Requests to engines: chooses an engine by the prompt, forwards its events one by one, and
//! resumes the stream at another engine if the route allows it.

mod choice;
mod fetch;
mod open;
mod origin;
mod pump;
mod seek;
mod silence;
mod tries;

#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::{Response, StatusCode};
use tokio::time::Instant;

use crate::admission::{self, Forecast, TimeLeft, Verdict};
use crate::batch::BatchClient;
use crate::budget::Spender;
use crate::dialect::{Dialect, PieceFailure, Segments};
use crate::exchange::{Cause, Fault};
use crate::health::Outcome;
use crate::origin::{Origin, Origins};
use crate::overrun::{Admitted, Behind};
use crate::phases::Phases;
use crate::plain::record_failed_call;
use crate::quarantine::RunTimes;
use crate::reply::{Refusal, Reply, ReplyBody, chunks};
use crate::request::CallerRequest;
use crate::room;
use crate::shared::Shared;
use crate::stages::{self, Inputs, StageFailure, StageRun};
use crate::upstream::Upstream;

use self::choice::{Chosen, Criteria, engines};
pub(crate) use self::fetch::FetchTimes;
use self::open::{EngineAnswer, open};
use self::pump::{Pump, spawn_forwarding};
use self::tries::{MAX_STAGE_RUNS, Resumption, Tries, due};

/// The number of events buffered for a slow caller before reading from the engine pauses.
const MAX_BUFFERED_EVENTS: usize = 32;

/// The parts of an entry that streams use.
pub(crate) struct Streams<D: Dialect> {
    pub(crate) shared: Arc<Shared<D>>,
    pub(crate) batches: Arc<BatchClient<D>>,
    pub(crate) origins: Arc<Origins>,
    pub(crate) fetch_times: FetchTimes,
}

/// Returns the services of a request's stages.
fn services(request: &CallerRequest) -> impl Iterator<Item = &Arc<str>> {
    request.route.stages.iter().map(|it| &it.service)
}

impl<D: Dialect> Streams<D> {
    /// Serves a request, which takes up the stream that began at `origin` if there is one.
    pub(crate) async fn run(
        self: &Arc<Self>,
        request: CallerRequest,
        service: &Arc<str>,
        origin: Option<Origin>,
    ) -> Result<Reply, Refusal> {
        let resumption = origin.map(|it| Resumption::taken_up(it.version, &request));
        let admitted = self.admit(&request, service, resumption.as_ref())?;
        let mut tries = Tries::new(admitted);
        let answer = self.attach(&request, service, &mut tries, resumption.as_ref()).await?;
        let attached = match answer {
            EngineAnswer::Stream(attached) => attached,
            EngineAnswer::Answer(reply) => return Ok(*reply),
        };
        self.record_origin(&request, &attached.upstream).await;
        self.shared.metrics.first_byte.observe(request.arrived.elapsed().as_secs_f64());
        let (events, receiver) = chunks::channel(MAX_BUFFERED_EVENTS);
        let mut reply = Response::new(ReplyBody::stream(receiver));
        *reply.headers_mut() = attached.headers.clone();
        let pump = Pump {
            streams: Arc::clone(self),
            service: Arc::clone(service),
            last_event: request.head.last_event,
            request,
            tries,
            events,
            heard: Instant::now(),
        };
        spawn_forwarding(pump.run(attached));
        Ok(reply)
    }

    /// Runs the stages, and offers the request to engines until one sends a first event.
    async fn attach(
        &self,
        request: &CallerRequest,
        service: &Arc<str>,
        tries: &mut Tries,
        resumption: Option<&Resumption>,
    ) -> Result<EngineAnswer, Refusal> {
        let mut resumption = resumption.cloned();
        let mut inputs: Option<Inputs<D>> = None;
        // The engine at which another entry has lent its room for the next try.
        let mut borrowed: Option<Arc<Upstream>> = None;
        let version = resumption.as_ref().map(|it| it.version.clone());
        let latest = self.latest_start(request, service, due(request, resumption.as_ref()));
        let mut turn = self.shared.lines.turn(service, version.as_ref(), request.rank(), latest);
        loop {
            let resumes = resumption.as_ref();
            let version = resumes.map(|it| &it.version);
            let last_event = resumes.and_then(|it| it.last_event);
            let due = due(request, resumes);
            turn.set_latest(self.latest_start(request, service, due));
            if inputs.is_none() {
                inputs = Some(self.inputs(request, service, tries, resumes).await?);
            }
            let (handles, phases) = match &inputs {
                Some(it) => (it.handles(), it.phases().clone()),
                None => (&[][..], Phases::default()),
            };
            let criteria = Criteria {
                tried: tries.offers.tried(),
                left: request.target().saturating_duration_since(Instant::now()),
                domain: self.batches.domain_of(handles),
                version,
                heard_since: resumes.and_then(|it| it.heard_since),
            };
            let lent = borrowed.take();
            let has_loan = lent.is_some();
            let has_come = turn.has_come(criteria.tried);
            let lent = lent.map(|upstream| Chosen { upstream, expected: None });
            let chosen = match has_come {
                true => lent.or_else(|| self.choose(request, service, &criteria)),
                false => lent,
            };
            // The request may have been quarantined while its stages ran.
            self.check_quarantine(request, service, tries)?;
            let Some(Chosen { upstream, expected }) = chosen else {
                let directory = self.shared.directory();
                let engines: Vec<_> = engines(&directory, service, version).cloned().collect();
                if has_come {
                    borrowed = self.batches.borrow_room(&engines, tries.offers.tried()).await;
                }
                if borrowed.is_none() {
                    let waited = turn.wait(&engines, tries.offers.tried()).await;
                    waited.map_err(|it| tries.refusal(it))?;
                }
                continue;
            };
            let permit = match tries.reached_upstream {
                true => self.batches.take_retries(service, Spender::Entry, 1).await,
                false => None,
            };
            if tries.reached_upstream && permit.is_none() {
                self.shared.metrics.calls.with_label_values(&["no budget"]).inc();
                return Err(tries.refusal(Refusal::NoUpstream));
            }
            // Room that is claimed can't be given back.
            if !has_loan && !upstream.claim_room(Instant::now()) {
                continue;
            }
            turn.end(has_loan);
            if let (Some(permit), Some(it)) = (&permit, resumes) {
                permit.show_in(&it.sends);
            }
            let tokens = request.head.generation.as_ref().map_or(0, |it| u64::from(it.prompt));
            let running = upstream.begin_request(tokens);
            self.batches.borrow_connection(&upstream, request.deadline).await;
            let now = Instant::now();
            let reuse = tries.begin_offer(&upstream, now);
            log::info!(request = request.head.attempt.as_str(), upstream:% = upstream.id,
                running = upstream.total_running(), tokens = upstream.total_tokens(),
                limit = upstream.limit_named().map(|it| it.0),
                pause_ms = upstream.pause_left(now).map(|it| it.as_millis() as u64),
                listed:% = self.shared.directory().listed(), inputs = handles.len(),
                version:% = upstream.version, last = last_event,
                resumes = request.head.resumed.as_deref(), stages:% = phases,
                age_ms = request.arrived.elapsed().as_millis() as u64; "chose an engine");
            let forward = request.forward::<D>(&upstream, handles, last_event);
            let call = open::<D>(request, &upstream, forward, permit, running, (due, reuse));
            // A request that may have run at another engine keeps its inputs.
            let fetched = inputs.as_mut().filter(|_| tries.runs == 0);
            let opened = self.release_fetched(call, service, fetched, &request.may_have_run).await;
            tries.end_offer();
            record_outcome(request, &upstream, now, &opened);
            let fault = match opened {
                Ok(tried) => {
                    if let Some(generation) = &request.head.generation {
                        self.shared.prefill_times.record(service, generation, now.elapsed());
                    }
                    if let Some(expected) = expected {
                        self.shared.late_starts.record(service, expected, now.elapsed());
                    }
                    self.shared.metrics.record_engine(service, now.elapsed());
                    self.shared.metrics.calls.with_label_values(&["answered"]).inc();
                    if matches!(tried, EngineAnswer::Answer(_)) {
                        self.shared.quarantine.record_completed(request);
                    }
                    return Ok(tried);
                }
                Err(fault) => fault,
            };
            if let Some(it) = resumes {
                it.sends.send_replace(None);
            }
            record_failed_call(&self.shared, request, &upstream, &fault);
            if inputs.as_ref().is_some_and(Inputs::is_released) {
                // The next engine needs them again.
                inputs = None;
                if fault.cause == Cause::Refused(StatusCode::CONFLICT) {
                    self.fetch_times.record_lack(service, Instant::now());
                }
            }
            if fault.cause == Cause::Lost {
                let times = RunTimes { sent: now, first: None };
                let suspects = (request.digest(), request.parts(service));
                self.shared.quarantine.record_lost_run(suspects, &upstream, times);
            }
            tries.reached_upstream |= !fault.is_unsent();
            if fault.not_run {
                request.may_have_run.store(tries.runs > 0, Ordering::Relaxed);
                if fault.cause == Cause::Refused(StatusCode::CONFLICT) {
                    // Inputs of the request are gone; the engine itself works.
                    tries.offers.take_back();
                    inputs = None;
                } else if !tries.offers.record_rejection(&fault) {
                    return Err(tries.refusal(Refusal::NoUpstream));
                }
                if tries.stage_runs > MAX_STAGE_RUNS {
                    return Err(tries.refusal(Refusal::NoUpstream));
                }
                continue;
            }
            tries.runs += 1;
            let may_end = self.shared.quarantine.is_suspect(request, fault.cause);
            if !request.is_repeatable() || tries.runs >= request.route.attempts || may_end {
                let late = fault.cause == Cause::Timeout;
                return Err(if late { Refusal::LateMayHaveRun } else { Refusal::Failed });
            }
            if let Some(it) = &mut resumption {
                it.renew_due(request, tries.runs);
            }
        }
    }

    /// Returns when a request must be sent to an engine, so that its next event is expected by `due`.
    fn latest_start(&self, request: &CallerRequest, service: &str, due: Instant) -> Instant {
        let generation = request.head.generation.as_ref();
        let expected =
            generation.map(|it| self.shared.prefill_times.unloaded_first_event(service, it));
        due.checked_sub(expected.unwrap_or_default()).unwrap_or(due)
    }

    /// Checks whether a request may be sent to an upstream, and returns the refusal if not.
    fn check_quarantine(
        &self,
        request: &CallerRequest,
        service: &str,
        tries: &Tries,
    ) -> Result<(), Refusal> {
        let checked = self.shared.quarantine.check(request, service);
        checked.map_err(|it| tries.refusal(Refusal::Quarantined(it.after)))
    }

    /// Refuses a request whose caller would leave before its stages end, before any work is done for it.
    fn admit(
        &self,
        request: &CallerRequest,
        service: &Arc<str>,
        resumption: Option<&Resumption>,
    ) -> Result<Option<Admitted>, Refusal> {
        let Some(segments) = &request.head.segments else { return Ok(None) };
        let run = self.stage_run(request, segments, service, resumption);
        let rank = request.rank();
        let section = |it: &Arc<str>| self.shared.section(it, None, rank);
        let backlogs = &self.shared.backlogs;
        let engine = request.head.generation.as_ref();
        let engine = engine.map_or(Duration::ZERO, |it| {
            self.shared.prefill_times.unloaded_first_event(service, it)
        });
        let stages = stages::expected_time(&run, |_| Duration::ZERO);
        let engines = self.shared.directory();
        if let Some(left) = room::shortest_pause(engines.service(service), Instant::now())
            && left > stages
        {
            // No engine would take the request once they have run.
            return Err(Refusal::Paused(left));
        }
        let behind_timely =
            stages::expected_time(&run, |it| backlogs.timely_wait(&section(it), rank));
        let behind_all = stages::expected_time(&run, |it| backlogs.wait(&section(it), rank));
        let overrun = |behind| self.shared.overruns.expected(service, behind);
        let forecast = Forecast {
            least: stages::announced_time(&run),
            unqueued: stages + engine,
            behind_timely: behind_timely + overrun(Behind::Timely) + engine,
            behind_all: behind_all + overrun(Behind::All) + engine,
        };
        let now = Instant::now();
        let left = TimeLeft {
            objective: request.target().saturating_duration_since(now),
            caller: request.first_event_by.saturating_duration_since(now),
        };
        let verdict = admission::admit(&forecast, &left);
        let ms = |it: Duration| it.as_millis() as u64;
        let (attempt, target) = (request.head.attempt.as_str(), ms(request.route.target));
        let (timely, late) = (ms(forecast.behind_timely), ms(forecast.behind_all));
        let (wait, caller) = (ms(forecast.wait()), ms(left.caller));
        match verdict {
            Verdict::Timely | Verdict::Late => {
                log::info!(request = attempt, rank, verdict = verdict.name(), wait_ms = wait,
                    timely_ms = timely, expected_ms = late, target_ms = target, left_ms = caller;
                    "admitted a request to its stages");
                self.shared.turns.record_begun(service);
                let (behind, forecast) = match verdict {
                    Verdict::Timely => (Behind::Timely, behind_timely),
                    _ => (Behind::All, behind_all),
                };
                Ok(Some(Admitted { behind, forecast, at: now }))
            }
            Verdict::Refused(wait) => {
                log::info!(request = attempt, rank, wait_ms = ms(wait), timely_ms = timely,
                    expected_ms = late, target_ms = target, left_ms = caller;
                    "refused a request: its stages take too long");
                let lasted = services(request).map(|it| backlogs.overload_age(&section(it)));
                let lasted = lasted.max().unwrap_or_default();
                let latest = left.caller.saturating_sub(forecast.unqueued);
                let after = admission::retry_after(wait, lasted, latest);
                Err(Refusal::Overloaded(self.shared.turns.next(service, after, latest)))
            }
        }
    }

    fn stage_run<'a>(
        &self,
        request: &'a CallerRequest,
        segments: &'a Segments,
        service: &Arc<str>,
        resumption: Option<&Resumption>,
    ) -> StageRun<'a> {
        let mut run = StageRun {
            plan: &request.plan,
            route: &request.route,
            segments,
            attempt: request.head.attempt.as_str().into(),
            digest: request.digest(),
            domain: None,
            engine: match &request.head.generation {
                Some(generation) => {
                    self.shared.prefill_times.expected_first_event(service, generation)
                }
                None => Duration::ZERO,
            },
            target: request.target(),
            deadline: due(request, resumption),
            rank: request.rank(),
            needs: self.needs(request),
            again: false,
        };
        let stages = stages::expected_time(&run, |_| Duration::ZERO);
        let left = request.target().saturating_duration_since(Instant::now() + stages);
        let version = resumption.map(|it| &it.version);
        let criteria = Criteria { tried: &[], left, domain: None, version, heard_since: None };
        let chosen = self.choose(request, service, &criteria);
        run.domain = chosen.map(|it| Arc::clone(&it.upstream.domain));
        run
    }

    /// Returns the time that each stage of a request needs now, as reported by its owner.
    fn needs(&self, request: &CallerRequest) -> Vec<Duration> {
        let stages = request.route.stages.iter();
        let sections = stages.map(|it| self.shared.section(&it.service, None, request.rank()));
        sections.map(|it| self.shared.backlogs.need(&it)).collect()
    }

    async fn inputs(
        &self,
        request: &CallerRequest,
        service: &Arc<str>,
        tries: &mut Tries,
        resumption: Option<&Resumption>,
    ) -> Result<Inputs<D>, Refusal> {
        let Some(segments) = &request.head.segments else {
            return Ok(Inputs::none(Arc::clone(&self.batches)));
        };
        loop {
            let mut run = self.stage_run(request, segments, service, resumption);
            run.again = tries.stage_runs > 0;
            tries.stage_runs += 1;
            let ended = stages::run(&self.batches, &run).await;
            if let Some(it) = tries.admitted.take() {
                self.shared.overruns.record(service, &it);
            }
            match ended {
                Ok(inputs) => {
                    self.shared.metrics.record_stages(inputs.phases());
                    return Ok(inputs);
                }
                Err(it)
                    if it.cause == PieceFailure::InputGone && tries.stage_runs < MAX_STAGE_RUNS => {
                }
                Err(StageFailure { stage, cause, phases }) => {
                    log::info!(request = request.head.attempt.as_str(), stage,
                        service:% = request.route.stages[stage].service, failure:? = cause,
                        stages:% = phases, age_ms = request.arrived.elapsed().as_millis() as u64;
                        "a stage failed");
                    return Err(match cause {
                        PieceFailure::Late => request.late_refusal(),
                        _ => tries.refusal(Refusal::StageFailed),
                    });
                }
            }
        }
    }
}

/// Counts the outcome of an offer, up to the first event, for the report to the other entries.
fn record_outcome(
    request: &CallerRequest,
    engine: &Upstream,
    sent: Instant,
    opened: &Result<EngineAnswer, Fault>,
) {
    match opened {
        Ok(EngineAnswer::Answer(it)) if it.status().is_server_error() => {
            engine.record_outcome(Outcome::Failed);
        }
        Ok(_) => engine.record_response(sent.elapsed() > request.late_after()),
        Err(fault) if fault.shows_failure() => engine.record_outcome(Outcome::Failed),
        Err(_) => {}
    }
}
