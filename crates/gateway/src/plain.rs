//! Requests of plain services: one whole answer, sent again only where that does no harm.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use crate::dialect::{AnswerMarks, Dialect};
use crate::exchange::{self, Cause, Fault, Opened, Read};
use crate::offers::Offers;
use crate::plan::RouteKind;
use crate::reply::{Broken, Refusal, Reply, ReplyBody, strip_hop};
use crate::request::CallerRequest;
use crate::shared::Shared;
use crate::suspects::RunTimes;
use crate::upstream::{Lease, Upstream};

/// The largest answer that is read whole before it is passed on, in bytes. Up to here a broken
/// answer can be replaced.
const WHOLE_LIMIT: usize = 256 << 10;

/// Parts of a large answer that wait for a slow caller.
const PIPE: usize = 8;

/// A first try that takes this many times the target is given up for another where it may be.
const PATIENCE: u32 = 2;

/// How many upstreams may turn a request away.
const OFFERS: usize = 3;

/// An answer as the upstream gave it.
struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: ReplyBody,
}

/// Serves a request of a plain service.
pub(crate) async fn run<D: Dialect>(
    shared: &Shared<D>,
    request: &CallerRequest,
    service: &Arc<str>,
) -> Result<Reply, Refusal> {
    let mut offers = Offers::new(OFFERS);
    let mut runs = 0;
    let mut arrived = false;
    let mut kept: Option<Answer> = None;
    let repeats = request.route.kind == RouteKind::Idempotent && !request.is_trial();
    loop {
        let now = Instant::now();
        let directory = shared.directory();
        let upstream = choose(shared, directory.service(service), offers.tried(), now).cloned();
        let Some(upstream) = upstream else { break };
        if let Err(it) = shared.suspects.check(request) {
            return if runs > 0 { Err(Refusal::Failed) } else { Err(Refusal::Held(it.after)) };
        }
        if arrived && !shared.budget.take(service, 1, shared.entries(), now) {
            shared.metrics.calls.with_label_values(&["no budget"]).inc();
            break;
        }
        offers.add(&upstream, now);
        let arrived_before = arrived;
        arrived = true;
        log::info!(request = request.ask.attempt.as_str(), upstream:% = upstream.id,
            running = upstream.running_all(), listed:% = directory.listed(), tried = offers.tried().len();
            "chose an upstream");
        let last = !repeats || runs + 1 >= request.route.attempts;
        let by = if last { request.deadline } else { first_limit(request, now) };
        match once::<D>(request, &upstream, by).await {
            Ok(answer) if answer.status.is_server_error() && !last => {
                runs += 1;
                shared.metrics.calls.with_label_values(&["failed"]).inc();
                kept = Some(answer);
            }
            Ok(answer) => {
                if !answer.status.is_server_error() {
                    upstream.succeeded();
                }
                shared.suspects.completed(request);
                shared.metrics.calls.with_label_values(&["answered"]).inc();
                return Ok(reply(answer));
            }
            Err(fault) => {
                note(shared, request, &upstream, &fault);
                if fault.cause == Cause::Lost {
                    let times = RunTimes { sent: now, first: None };
                    shared.suspects.lost(request.digest(), &upstream, times);
                }
                if fault.not_run {
                    arrived = arrived_before || !fault.is_unsent();
                    if offers.turned_away(&fault) {
                        continue;
                    }
                    break;
                }
                runs += 1;
                if last {
                    return kept.map(reply).ok_or(outcome(&fault));
                }
            }
        }
        if runs >= request.route.attempts {
            break;
        }
    }
    match kept {
        Some(answer) => Ok(reply(answer)),
        None if runs > 0 => Err(Refusal::Failed),
        None => Err(Refusal::NoUpstream),
    }
}

fn outcome(fault: &Fault) -> Refusal {
    match fault.cause {
        Cause::Timeout => Refusal::LateRun,
        _ => Refusal::Failed,
    }
}

/// Until when a try waits that can be followed by another.
fn first_limit(request: &CallerRequest, now: Instant) -> Instant {
    let left = request.deadline.saturating_duration_since(now);
    let patient = request.route.target * PATIENCE;
    now + patient.min(left.mul_f64(0.6)).max(Duration::from_millis(50))
}

/// Logs a call that failed, and counts it for the upstream's health.
pub(crate) fn note<D: Dialect>(
    shared: &Shared<D>,
    request: &CallerRequest,
    upstream: &Upstream,
    fault: &Fault,
) {
    let outcome = if fault.not_run { "not run" } else { "unknown" };
    shared.metrics.calls.with_label_values(&[outcome]).inc();
    log::info!(request = request.ask.attempt.as_str(), upstream:% = upstream.id,
        service:% = upstream.service, cause:% = fault, digest:% = request.digest(),
        path = request.uri.path(), age_ms = request.arrived.elapsed().as_millis() as u64; "a call brought no answer");
    if fault.unreachable || !fault.not_run {
        upstream.failed(fault.unreachable);
    }
}

/// Chooses the upstream with the fewest requests of this entry, one in its own domain before
/// others.
fn choose<'a, D: Dialect>(
    shared: &Shared<D>,
    upstreams: &'a [Arc<Upstream>],
    tried: &[Arc<str>],
    now: Instant,
) -> Option<&'a Arc<Upstream>> {
    let open = upstreams.iter().filter(|it| it.is_open() && !tried.contains(&it.id));
    let rank = |it: &&Arc<Upstream>| {
        let away = u32::from(it.domain != shared.domain);
        (it.is_paused(now), it.running_all() + away, rand::random::<u16>())
    };
    open.min_by_key(rank)
}

/// Makes one call and reads its whole answer.
async fn once<D: Dialect>(
    request: &CallerRequest,
    upstream: &Arc<Upstream>,
    by: Instant,
) -> Result<Answer, Fault> {
    let _running = upstream.begin(0);
    let before = request.sent.load(Ordering::Relaxed);
    let forward = request.forward::<D>(upstream, &[], None);
    let sent = exchange::request::<D>(upstream, forward, &request.ask.attempt, by).await;
    let opened = sent.inspect_err(|fault| {
        if fault.not_run {
            request.sent.store(before, Ordering::Relaxed);
        }
    })?;
    let Opened { mut response, lease, marks } = opened;
    let status = response.status();
    let mut headers = std::mem::take(response.headers_mut());
    strip_hop(&mut headers);
    let read = exchange::read_body(response.body_mut(), WHOLE_LIMIT, by).await;
    let body = match read.map_err(Fault::unknown)? {
        Read::Whole(bytes) => {
            lease.keep(marks.keep_alive);
            ReplyBody::whole(bytes)
        }
        Read::More(start) => {
            let (bytes, receiver) = mpsc::channel(PIPE);
            let end = request.deadline;
            tokio::spawn(pipe(start, response.into_body(), (lease, marks), bytes, end));
            ReplyBody::stream(receiver)
        }
    };
    Ok(Answer { status, headers, body })
}

/// Passes on the rest of a large answer. Where it breaks off, so does the caller's connection.
async fn pipe(
    start: Bytes,
    mut body: Incoming,
    (lease, marks): (Lease, AnswerMarks),
    bytes: mpsc::Sender<Result<Bytes, Broken>>,
    end: Instant,
) {
    let mut next = Ok(start);
    loop {
        let broken = next.is_err();
        if bytes.send(next).await.is_err() || broken {
            return;
        }
        let frame = tokio::select! {
            frame = timeout_at(end, body.frame()) => frame,
            () = bytes.closed() => return,
        };
        next = match frame {
            Ok(Some(Ok(frame))) => Ok(frame.into_data().unwrap_or_default()),
            Ok(None) => break,
            Ok(Some(Err(_))) | Err(_) => Err(Broken),
        };
    }
    lease.keep(marks.keep_alive);
}

fn reply(answer: Answer) -> Reply {
    let mut reply = Response::new(answer.body);
    *reply.status_mut() = answer.status;
    *reply.headers_mut() = answer.headers;
    reply
}
