//! Requests to services without engines: one answer each, and a failed request is sent again only
//! if its route allows it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use crate::batch::BatchClient;
use crate::budget::{RetryPermit, Spender};
use crate::dialect::{AnswerHead, Dialect};
use crate::exchange::{self, CallTimes, Cause, Fault, Opened, Read};
use crate::offers::Offers;
use crate::plan::RouteKind;
use crate::quarantine::RunTimes;
use crate::reply::{Refusal, Reply, ReplyBody, Truncated, strip_hop_by_hop};
use crate::request::CallerRequest;
use crate::room;
use crate::shared::Shared;
use crate::upstream::{Lease, Upstream};

/// The largest answer that is buffered before it is forwarded, in bytes. Up to this size, an answer
/// that breaks off can be replaced by that of another upstream.
const MAX_BUFFERED_ANSWER_BYTES: usize = 256 << 10;

/// The number of chunks of a large answer that are buffered for a slow caller before reading from
/// the upstream pauses.
const MAX_BUFFERED_CHUNKS: usize = 8;

/// A try that may be followed by another is given up after this many times the target.
const FIRST_TRY_TARGETS: u32 = 2;

/// How many upstreams may reject a request before it is refused.
const MAX_OFFERS: usize = 3;

/// The answer of an upstream.
struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: ReplyBody,
}

/// Serves a request to a service without engines.
pub(crate) async fn run<D: Dialect>(
    shared: &Shared<D>,
    batches: &BatchClient<D>,
    request: &CallerRequest,
    service: &Arc<str>,
) -> Result<Reply, Refusal> {
    let mut offers = Offers::new(MAX_OFFERS);
    let mut runs = 0;
    let mut reached_upstream = false;
    let mut fallback: Option<Answer> = None;
    // The upstream at which another entry has lent its room for the next try.
    let mut borrowed: Option<Arc<Upstream>> = None;
    let repeats = request.route.kind == RouteKind::Idempotent && !request.is_trial();
    loop {
        let now = Instant::now();
        let directory = shared.directory();
        let lent = borrowed.take();
        let has_loan = lent.is_some();
        let upstream = lent
            .or_else(|| choose(shared, directory.service(service), offers.tried(), now).cloned());
        let Some(upstream) = upstream else {
            if runs > 0 || fallback.is_some() {
                break;
            }
            let upstreams = directory.service(service);
            borrowed = batches.borrow_room(upstreams, offers.tried()).await;
            if borrowed.is_none() {
                room::wait_for_room(upstreams, offers.tried(), request.target()).await?;
            }
            continue;
        };
        if let Err(it) = shared.quarantine.check(request, service) {
            return if runs > 0 {
                Err(Refusal::Failed)
            } else {
                Err(Refusal::Quarantined(it.after))
            };
        }
        if !has_loan && !upstream.claim_room(now) {
            continue;
        }
        let permit = match reached_upstream {
            true => batches.take_retries(service, Spender::Entry, 1).await,
            false => None,
        };
        if reached_upstream && permit.is_none() {
            shared.metrics.calls.with_label_values(&["no budget"]).inc();
            break;
        }
        let running = upstream.begin_request(0);
        batches.borrow_connection(&upstream, request.deadline).await;
        let now = Instant::now();
        offers.add(&upstream, now);
        let reached_before = reached_upstream;
        reached_upstream = true;
        log::info!(request = request.head.attempt.as_str(), upstream:% = upstream.id,
            running = upstream.total_running(), listed:% = directory.listed(),
            limit = upstream.limit_named().map(|it| it.0),
                pause_ms = upstream.pause_left(now).map(|it| it.as_millis() as u64),
            tried = offers.tried().len(); "chose an upstream");
        let last = !repeats || runs + 1 >= request.route.attempts;
        let deadline = if last { request.deadline } else { first_try_deadline(request, now) };
        let called = call_once::<D>(request, &upstream, permit, deadline).await;
        drop(running);
        match called {
            Ok(answer) if answer.status.is_server_error() && !last => {
                runs += 1;
                shared.metrics.calls.with_label_values(&["failed"]).inc();
                fallback = Some(answer);
            }
            Ok(answer) => {
                if !answer.status.is_server_error() {
                    upstream.record_success();
                }
                shared.quarantine.record_completed(request);
                shared.metrics.calls.with_label_values(&["answered"]).inc();
                return Ok(reply(answer));
            }
            Err(fault) => {
                record_failed_call(shared, request, &upstream, &fault);
                if fault.cause == Cause::Lost {
                    let times = RunTimes { sent: now, first: None };
                    shared.quarantine.record_lost_run((request.digest(), &[]), &upstream, times);
                }
                if fault.not_run {
                    reached_upstream = reached_before || !fault.is_unsent();
                    if offers.record_rejection(&fault) {
                        continue;
                    }
                    break;
                }
                runs += 1;
                if last {
                    return fallback.map(reply).ok_or(refusal_for(&fault));
                }
            }
        }
        if runs >= request.route.attempts {
            break;
        }
    }
    match fallback {
        Some(answer) => Ok(reply(answer)),
        None if runs > 0 => Err(Refusal::Failed),
        None => Err(Refusal::NoUpstream),
    }
}

fn refusal_for(fault: &Fault) -> Refusal {
    match fault.cause {
        Cause::Timeout => Refusal::LateMayHaveRun,
        _ => Refusal::Failed,
    }
}

/// Returns the deadline of a try that may be followed by another.
fn first_try_deadline(request: &CallerRequest, now: Instant) -> Instant {
    let left = request.deadline.saturating_duration_since(now);
    let patience = request.route.target * FIRST_TRY_TARGETS;
    now + patience.min(left.mul_f64(0.6)).max(Duration::from_millis(50))
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
        service:% = upstream.service, cause:% = fault, digest:% = request.digest(),
        path = request.uri.path(), parts = request.shared_parts_text(), age_ms = request.arrived.elapsed().as_millis() as u64;
        "a call of an upstream failed");
    if fault.unreachable || !fault.not_run {
        upstream.record_failure(fault.unreachable);
    }
}

/// Chooses the upstream with the fewest requests of all entries, and prefers the entry's own
/// failure domain. Upstreams at which all its connections are in use come last, after ejected ones.
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
        (waits, it.is_ejected(now), it.total_running() + away, rand::random::<u16>())
    };
    open.min_by_key(rank)
}

/// Sends the request to an upstream once, by a permit if it is sent again, and reads the answer.
async fn call_once<D: Dialect>(
    request: &CallerRequest,
    upstream: &Arc<Upstream>,
    permit: Option<Arc<RetryPermit>>,
    deadline: Instant,
) -> Result<Answer, Fault> {
    let before = request.may_have_run.load(Ordering::Relaxed);
    let forward = request.forward::<D>(upstream, &[], None);
    let (attempt, permits) = (&request.head.attempt, permit.as_slice());
    let times = CallTimes { head: deadline, end: request.deadline };
    let sent = exchange::request::<D>(upstream, forward, attempt, permits, times).await;
    let opened = sent.inspect_err(|fault| {
        if fault.not_run {
            request.may_have_run.store(before, Ordering::Relaxed);
        }
    })?;
    let Opened { mut response, lease, head } = opened;
    let status = response.status();
    let mut headers = std::mem::take(response.headers_mut());
    strip_hop_by_hop(&mut headers);
    let read = exchange::read_body(response.body_mut(), MAX_BUFFERED_ANSWER_BYTES, deadline).await;
    let body = match read.map_err(Fault::unknown)? {
        Read::Whole(bytes) => {
            lease.keep(head.keep_alive);
            ReplyBody::whole(bytes)
        }
        Read::More(start) => {
            let (bytes, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
            let end = request.deadline;
            tokio::spawn(pipe(start, response.into_body(), (lease, head), bytes, end));
            ReplyBody::stream(receiver)
        }
    };
    Ok(Answer { status, headers, body })
}

/// Forwards the rest of a large answer. If the answer breaks off, the caller's connection is
/// closed.
async fn pipe(
    start: Bytes,
    mut body: Incoming,
    (lease, head): (Lease, AnswerHead),
    bytes: mpsc::Sender<Result<Bytes, Truncated>>,
    end: Instant,
) {
    let mut next = Ok(start);
    loop {
        let truncated = next.is_err();
        if bytes.send(next).await.is_err() || truncated {
            return;
        }
        let frame = tokio::select! {
            frame = timeout_at(end, body.frame()) => frame,
            () = bytes.closed() => return,
        };
        next = match frame {
            Ok(Some(Ok(frame))) => Ok(frame.into_data().unwrap_or_default()),
            Ok(None) => break,
            Ok(Some(Err(_))) | Err(_) => Err(Truncated),
        };
    }
    lease.keep(head.keep_alive);
}

fn reply(answer: Answer) -> Reply {
    let mut reply = Response::new(answer.body);
    *reply.status_mut() = answer.status;
    *reply.headers_mut() = answer.headers;
    reply
}
