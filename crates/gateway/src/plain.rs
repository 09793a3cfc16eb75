//! Requests to services without engines: one answer each, and a failed request is sent again only
//! if its route allows it.

mod call;
mod prepare;
mod rest;
mod silence;
mod tries;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::{Instant, sleep_until};

use crate::batch::BatchClient;
use crate::dialect::Dialect;
use crate::exchange::{Cause, Fault};
use crate::health::{Outcome, choose_trial};
use crate::offers::Offers;
use crate::plan::RouteKind;
use crate::quarantine::RunTimes;
use crate::reply::{Refusal, Reply};
use crate::request::CallerRequest;
use crate::shared::Shared;
use crate::upstream::Upstream;

use self::call::{Answer, call_once};
use self::prepare::{Chosen, NotPrepared, Prepared, prepare};
use self::silence::Terms;
use self::tries::{End, Step, Tries};

/// How many upstreams may reject a request before it is refused.
const MAX_OFFERS: usize = 3;

/// How long an answer with a server error waits for a silent upstream. A sound one may be silent for a
/// second or so.
const FALLBACK_TIME: Duration = Duration::from_secs(2);

/// How long before the end of a request's time such an answer is forwarded at the latest.
const FALLBACK_MARGIN: Duration = Duration::from_millis(50);

/// What serves one request.
struct Context<'a, D> {
    shared: &'a Shared<D>,
    batches: &'a BatchClient<D>,
    request: &'a CallerRequest,
    service: &'a Arc<str>,
}

impl<D> Clone for Context<'_, D> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<D> Copy for Context<'_, D> {}

/// A request in progress.
struct Run<'a, D> {
    context: Context<'a, D>,
    offers: Offers,
    tries: Tries,
    /// The newest try that was sent, and when it counts as silent.
    watched: Option<Watched>,
    /// The try beside which another one is looked for, because it is silent.
    silent: Option<Watched>,
    /// The last answer with a server error, and when it is forwarded if no other upstream has answered.
    fallback: Option<(Answer, Instant)>,
    /// The tries that were silent, whose outcomes are counted.
    late: Vec<u32>,
    /// Why the last try failed that may have run.
    fault: Option<Fault>,
}

/// A try whose silence lets another one begin beside it.
struct Watched {
    number: u32,
    upstream: Arc<Upstream>,
    silent_at: Instant,
}

/// The outcome of a try.
struct Called {
    number: u32,
    upstream: Arc<Upstream>,
    sent: Instant,
    answer: Result<Answer, Fault>,
}

/// Serves a request to a service without engines.
pub(crate) async fn run<D: Dialect>(
    shared: &Shared<D>,
    batches: &BatchClient<D>,
    request: &CallerRequest,
    service: &Arc<str>,
) -> Result<Reply, Refusal> {
    let repeats = request.route.kind == RouteKind::Idempotent && !request.is_trial();
    let run = Run {
        context: Context { shared, batches, request, service },
        offers: Offers::new(MAX_OFFERS),
        tries: Tries::new(if repeats { request.route.attempts } else { 1 }),
        watched: None,
        silent: None,
        fallback: None,
        late: Vec::new(),
        fault: None,
    };
    run.run().await
}

impl<D: Dialect> Run<'_, D> {
    async fn run(mut self) -> Result<Reply, Refusal> {
        let context = self.context;
        let latest = context.request.deadline;
        // At most one try is being prepared.
        let mut prepared = FuturesUnordered::new();
        let mut calls = FuturesUnordered::new();
        loop {
            match self.tries.step() {
                Step::Finish => break,
                Step::Begin => {
                    match self.next_upstream().await? {
                        Some(chosen) => {
                            self.watched = None;
                            let again = self.tries.needs_permit();
                            prepared.push(prepare(context, self.tries.begin(), chosen, again));
                        }
                        None => {
                            self.tries.record_nobody();
                            self.watched = self.silent.take();
                        }
                    }
                    continue;
                }
                Step::Wait => {}
            }
            let silent_at = self.watched.as_ref().map(|it| it.silent_at);
            let fallback_at = self.fallback.as_ref().map(|it| it.1);
            tokio::select! {
                Some(called) = calls.next() => {
                    if let Some(answer) = self.handle(called) {
                        self.record_dropped(calls.len());
                        return Ok(answer.into_reply());
                    }
                }
                Some((number, ready)) = prepared.next() => match ready {
                    Ok(ready) => calls.push(call(context, self.begin(ready))),
                    Err(NotPrepared::NoPermit) => {
                        self.tries.record_end(number, End::NoPermit);
                        self.watched = self.silent.take();
                    }
                    Err(NotPrepared::NoRoom) => {
                        self.tries.record_end(number, End::NotRun { sent: false, more: true });
                    }
                },
                () = sleep_until(silent_at.unwrap_or(latest)), if silent_at.is_some() => {
                    self.record_silence();
                }
                () = sleep_until(fallback_at.unwrap_or(latest)), if fallback_at.is_some() => break,
            }
        }
        match (self.fallback, self.fault) {
            (Some((answer, _)), _) => Ok(answer.into_reply()),
            (None, Some(fault)) => Err(refusal_for(&fault)),
            (None, None) => Err(Refusal::NoUpstream),
        }
    }

    /// Chooses the upstream of the next try, which has room for it now. While the request is at another one,
    /// waits for none.
    async fn next_upstream(&self) -> Result<Option<Chosen>, Refusal> {
        let Context { shared, batches, request, service } = self.context;
        let mut turn = shared.lines.turn(service, None, request.rank(), self.latest_start());
        loop {
            let now = Instant::now();
            let directory = shared.directory();
            let upstreams = directory.service(service);
            let tried = self.offers.tried();
            let has_come = turn.has_come(tried);
            let found = match has_come {
                true => self.find_upstream(upstreams, now),
                false => None,
            };
            if found.is_none() && self.tries.may_have_run() {
                return Ok(None);
            }
            let lent = match &found {
                None if has_come => batches.borrow_room(upstreams, tried).await,
                _ => None,
            };
            let has_loan = lent.is_some();
            let Some(upstream) = found.or(lent) else {
                turn.wait(upstreams, tried).await?;
                continue;
            };
            if let Err(it) = shared.quarantine.check(request, service) {
                return match self.tries.is_open() {
                    true => Ok(None),
                    false if self.tries.have_run() => Err(Refusal::Failed),
                    false => Err(Refusal::Quarantined(it.after)),
                };
            }
            // Room that is claimed can't be given back, so that one that needs a permit claims it later.
            let has_room = has_loan || !self.tries.needs_permit();
            if !has_loan && has_room && !upstream.claim_room(Instant::now()) {
                continue;
            }
            turn.end(has_loan);
            return Ok(Some(Chosen { upstream, has_room }));
        }
    }

    /// Returns the upstream that gets the next try, if one has room for it.
    fn find_upstream(&self, upstreams: &[Arc<Upstream>], now: Instant) -> Option<Arc<Upstream>> {
        let Context { shared, request, .. } = self.context;
        let tried = self.offers.tried();
        let trial = match tried {
            [] => find_trial(shared, request, upstreams, now),
            _ => None,
        };
        trial.or_else(|| choose(shared, upstreams, tried, now)).cloned()
    }

    /// Returns when an upstream that gets the request at `sent` counts as silent.
    fn silent_at(&self, sent: Instant) -> Instant {
        let Context { shared, request, service, .. } = self.context;
        let (objective, deadline) = (request.route.target, request.deadline);
        Terms { sent, objective, deadline, times: shared.answer_times.of(service) }.silent_at()
    }

    /// Returns when a try must be sent, so that its answer is expected while the caller waits.
    fn latest_start(&self) -> Instant {
        let Context { shared, request, service, .. } = self.context;
        let expected = shared.answer_times.of(service).mean().unwrap_or_default();
        request.deadline.checked_sub(expected).unwrap_or(request.deadline)
    }

    /// Records that a try is sent now.
    fn begin(&mut self, prepared: Prepared) -> Prepared {
        let Context { shared, request, .. } = self.context;
        let upstream = &prepared.upstream;
        let now = Instant::now();
        // It is never offered to one upstream twice.
        let _ = self.offers.add(upstream, now);
        if upstream.is_passed_over() {
            shared.metrics.count_trial(&upstream.service);
        }
        log::info!(request = request.head.attempt.as_str(), upstream:% = upstream.id,
            running = upstream.total_running(), trial = upstream.is_passed_over(), listed:% = shared.directory().listed(),
            limit = upstream.limit_named().map(|it| it.0),
                pause_ms = upstream.pause_left(now).map(|it| it.as_millis() as u64),
            tried = self.offers.tried().len(); "chose an upstream");
        let follows = self.tries.may_follow();
        self.watched = follows.then(|| Watched {
            number: prepared.number,
            upstream: Arc::clone(upstream),
            silent_at: self.silent_at(now),
        });
        prepared
    }

    /// Records the end of a try; returns the answer if it is to be forwarded now.
    fn handle(&mut self, called: Called) -> Option<Answer> {
        let Context { shared, request, .. } = self.context;
        let Called { number, upstream, sent, answer } = called;
        if !self.late.contains(&number) {
            record_outcome(request, &upstream, sent, &answer);
        }
        if answer.is_ok() {
            shared.answer_times.record(self.context.service, sent.elapsed());
        }
        let count = |outcome| shared.metrics.calls.with_label_values(&[outcome]).inc();
        let end = match answer {
            Ok(answer) => {
                let failed = answer.status.is_server_error();
                if failed {
                    self.record_end(number, End::Failed);
                } else {
                    upstream.record_success();
                }
                if failed && self.tries.step() != Step::Finish {
                    count("failed");
                    self.fallback = Some((answer, fallback_at(request, Instant::now())));
                    return None;
                }
                shared.quarantine.record_completed(request);
                count("answered");
                return Some(answer);
            }
            Err(fault) => {
                record_failed_call(shared, request, &upstream, &fault);
                if fault.cause == Cause::Lost {
                    let times = RunTimes { sent, first: None };
                    shared.quarantine.record_lost_run((request.digest(), &[]), &upstream, times);
                }
                if fault.not_run {
                    let more = self.offers.record_rejection(&fault);
                    End::NotRun { sent: !fault.is_unsent(), more }
                } else {
                    self.fault = Some(fault);
                    let is_last = fault.cause == Cause::Timeout
                        || shared.quarantine.is_suspect(request, fault.cause);
                    if is_last { End::Last } else { End::Failed }
                }
            }
        };
        self.record_end(number, end);
        None
    }

    fn record_end(&mut self, number: u32, end: End) {
        self.tries.record_end(number, end);
        let may_have_run = self.tries.may_have_run();
        self.context.request.may_have_run.store(may_have_run, Ordering::Relaxed);
        for watched in [&mut self.watched, &mut self.silent] {
            if watched.as_ref().is_some_and(|it| it.number == number) || !self.tries.may_follow() {
                *watched = None;
            }
        }
    }

    /// Records that the newest upstream is silent, so that another one may get the request beside it.
    fn record_silence(&mut self) {
        let Some(Watched { number, upstream, .. }) = self.watched.take() else { return };
        self.tries.record_silence();
        let request = self.context.request;
        log::info!(request = request.head.attempt.as_str(), upstream:% = upstream.id,
            service:% = upstream.service, age_ms = request.arrived.elapsed().as_millis() as u64;
            "an upstream is silent; another one may get the request beside it");
        upstream.record_failure(false);
        upstream.record_late();
        self.late.push(number);
        upstream.check_path();
        let silent_at = self.silent_at(Instant::now());
        self.silent = Some(Watched { number, upstream, silent_at });
    }

    /// Records that `count` tries are dropped, because another one has answered.
    fn record_dropped(&self, count: usize) {
        if count > 0 {
            let outcome = self.context.shared.metrics.calls.with_label_values(&["overtaken"]);
            outcome.inc_by(count as u64);
        }
    }
}

/// Sends a try and waits for its answer.
async fn call<D: Dialect>(context: Context<'_, D>, prepared: Prepared) -> Called {
    let Prepared { number, upstream, permit, running } = prepared;
    let sent = Instant::now();
    let answer = call_once::<D>(context.request, &upstream, permit).await;
    drop(running);
    Called { number, upstream, sent, answer }
}

/// Counts the outcome of a try for the report to the other entries.
fn record_outcome(
    request: &CallerRequest,
    upstream: &Upstream,
    sent: Instant,
    answer: &Result<Answer, Fault>,
) {
    match answer {
        Ok(it) if it.status.is_server_error() => upstream.record_outcome(Outcome::Failed),
        Ok(_) => upstream.record_response(sent.elapsed() > request.late_after()),
        Err(fault) if fault.shows_failure() => upstream.record_outcome(Outcome::Failed),
        Err(_) => {}
    }
}

fn refusal_for(fault: &Fault) -> Refusal {
    match fault.cause {
        Cause::Timeout => Refusal::LateMayHaveRun,
        _ => Refusal::Failed,
    }
}

/// Returns when an answer with a server error that came at `now` is forwarded.
fn fallback_at(request: &CallerRequest, now: Instant) -> Instant {
    let latest = request.deadline.checked_sub(FALLBACK_MARGIN).unwrap_or(request.deadline);
    latest.min(now + FALLBACK_TIME)
}

/// Logs a failed call, and records it in the metrics and in the upstream's health.
pub(crate) fn record_failed_call<D: Dialect>(
    shared: &Shared<D>,
    request: &CallerRequest,
    upstream: &Upstream,
    fault: &Fault,
) {
    let outcome = if fault.not_run { "not run" } else { "unknown" };
    shared.metrics.calls.with_label_values(&[outcome]).inc();
    log::info!(request = request.head.attempt.as_str(), upstream:% = upstream.id,
        service:% = upstream.service, cause:% = fault,
        answer = fault.evidence.map(|it| it.to_string()), digest:% = request.digest(),
        path = request.uri.path(), parts = request.shared_parts_text(), age_ms = request.arrived.elapsed().as_millis() as u64;
        "a call of an upstream failed");
    if fault.unreachable || !fault.not_run {
        upstream.record_failure(fault.unreachable);
    }
}

/// Returns the upstream that is passed over and gets the request as a trial, if one does.
fn find_trial<'a, D: Dialect>(
    shared: &Shared<D>,
    request: &CallerRequest,
    upstreams: &'a [Arc<Upstream>],
    now: Instant,
) -> Option<&'a Arc<Upstream>> {
    let may_try = request.may_try_failing();
    let mix = shared.mix.record(&upstreams.first()?.service, may_try);
    let passed = upstreams.iter().filter(|it| it.is_passed_over());
    let open = passed.filter(|it| it.is_open() && it.has_room(now) && it.has_connection());
    choose_trial(open.filter(|_| may_try), |it| it.trial_share(now), mix, rand::random())
}

/// Chooses the upstream with the fewest requests of all entries, and prefers the entry's own
/// failure domain. Upstreams at which all its connections are in use come after ejected ones, and
/// those that are passed over come last.
fn choose<'a, D: Dialect>(
    shared: &Shared<D>,
    upstreams: &'a [Arc<Upstream>],
    tried: &[Arc<str>],
    now: Instant,
) -> Option<&'a Arc<Upstream>> {
    let fits = |it: &&Arc<Upstream>| it.is_open() && it.has_room(now);
    let open = upstreams.iter().filter(|it| fits(it) && !tried.contains(&it.id));
    let rank = |it: &&Arc<Upstream>| {
        let away = u32::from(it.domain != shared.domain);
        let waits = !it.has_connection();
        (
            it.is_passed_over(),
            waits,
            it.is_ejected(now),
            it.expected_load(now) + away,
            rand::random::<u16>(),
        )
    };
    open.min_by_key(rank)
}
