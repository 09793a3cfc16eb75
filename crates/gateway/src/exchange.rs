//! Single calls of an upstream.

mod evidence;
mod fault;
mod own;

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout, timeout_at};

use crate::budget::RetryPermit;
use crate::dialect::{AnswerHead, Dialect};
use crate::echo::{Answers, CallKind, Echo};
use crate::request::SendMark;
use crate::response_limit::{Excess, ResponseLimit, ResponseMeter};
use crate::upstream::{ConnectError, Lease, Reuse, Taken, Upstream};

pub(crate) use self::evidence::Evidence;
pub(crate) use self::fault::{Cause, Fault};
pub(crate) use self::own::{free, pieces, query_space};

/// The largest answer to one of the entry's own calls, in bytes.
const MAX_OWN_ANSWER_BYTES: usize = 1 << 20;

/// How long the rest of an answer that is not forwarded may take to keep its connection.
const DISCARD_TIME: Duration = Duration::from_millis(500);

/// How long a kept connection may bring no answer before the path to its upstream is checked.
const SILENCE_TIME: Duration = Duration::from_millis(500);

/// How many new connections a call opens to an upstream that ends each before the request is written. One may
/// end by chance, and each further try risks that the request is written before the end is seen, after which
/// it may have run.
const MAX_NEW_CONNECTIONS: u32 = 2;

/// How long a request may wait for its connection without a line in the log.
const LONG_CONNECT_TIME: Duration = Duration::from_millis(250);

/// The head of an answer, and its body that is still to be read.
pub(crate) struct Opened {
    pub(crate) response: Response<Incoming>,
    pub(crate) lease: Lease,
    pub(crate) head: AnswerHead,
    pub(crate) evidence: Evidence,
}

/// Until when a call may wait, and last, and on which connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallTerms {
    /// When the head of the answer is due.
    pub(crate) head: Instant,
    /// When the answer ends at the latest.
    pub(crate) end: Instant,
    /// Which connection it may use.
    pub(crate) reuse: Reuse,
    /// What is called.
    pub(crate) kind: CallKind,
}

impl CallTerms {
    /// Returns the terms of a call on any connection whose whole answer is due at `end`.
    pub(crate) fn until(end: Instant, kind: CallKind) -> Self {
        Self { head: end, end, reuse: Reuse::Any, kind }
    }
}

/// Sends a request with the id `attempt`, by `permits` if it is sent again, and waits for the head of its
/// answer.
pub(crate) async fn send<D: Dialect>(
    upstream: &Arc<Upstream>,
    request: Request<Full<Bytes>>,
    attempt: &str,
    permits: &[Arc<RetryPermit>],
    terms: CallTerms,
) -> Result<Opened, Fault> {
    let CallTerms { head: deadline, end, reuse, kind } = terms;
    let mut request = request;
    let mut ended = 0;
    loop {
        let begun = Instant::now();
        let reuse = upstream.reuse_for(kind, reuse);
        let mut lease = upstream.connect(deadline, end, reuse).await.map_err(Fault::unsent)?;
        let waited = begun.elapsed();
        if waited >= LONG_CONNECT_TIME {
            log::info!(request = attempt, upstream:% = upstream.id,
                ms = waited.as_millis() as u64; "a request waited long for its connection");
        }
        let is_kept = lease.is_kept();
        let raw_limit = lease.raw_limit();
        let sent = Instant::now();
        let held = if upstream.pause_end(sent).is_some() {
            Some(Cause::Paused)
        } else {
            let expired = !permits.iter().all(|it| it.begin_send(sent));
            expired.then_some(Cause::PermitExpired)
        };
        if let Some(cause) = held {
            lease.keep(None);
            return Err(Fault::held(cause));
        }
        let Some((sender, is_first)) = lease.begin_call() else {
            permits.iter().for_each(|it| it.show_unsent());
            return Err(Fault::unsent(ConnectError::Refused));
        };
        SendMark::set(&request);
        raw_limit.begin();
        let answer = timeout_at(deadline, sender.try_send_request(request));
        let response = match watch_silence(upstream, is_kept, answer).await {
            Ok(Ok(response)) => response,
            Ok(Err(mut error)) => match error.take_message() {
                // The upstream closed the connection before any byte was written; tries the next one.
                Some(unsent) => {
                    permits.iter().for_each(|it| it.show_unsent());
                    ended += u32::from(is_first);
                    if ended >= MAX_NEW_CONNECTIONS {
                        upstream.record_failure(false);
                        return Err(Fault::unsent(ConnectError::Ended));
                    }
                    request = unsent;
                    continue;
                }
                None if raw_limit.is_exceeded() => {
                    return Err(Fault::unknown(cut(upstream, Excess::Head)));
                }
                None if error.error().is_parse() => {
                    return Err(Fault::unknown(Cause::Malformed("not HTTP")));
                }
                None => {
                    upstream.record_lost_connection();
                    return Err(Fault::unknown(Cause::Lost));
                }
            },
            Err(_) => {
                upstream.check_path();
                return Err(Fault::unknown(Cause::Timeout));
            }
        };
        raw_limit.begin_body();
        upstream.record_heard();
        let head = D::decode_answer(response.status(), response.headers(), attempt);
        let evidence = Evidence::new(response.status(), &head, is_first);
        let whose = upstream.judge_answer(&head, is_first, kind);
        if whose != Answers::Other {
            let is_rejected = head.not_run && response.status() == StatusCode::SERVICE_UNAVAILABLE;
            record_state(upstream, &head, is_rejected, sent);
        }
        if whose != Answers::This {
            return Err(foreign(upstream, attempt, evidence));
        }
        if head.not_run {
            upstream.record_taken(Taken::Refusal, &evidence);
        }
        return Ok(Opened { response, lease, head, evidence });
    }
}

/// Waits for an answer. If a kept connection brings none for [`SILENCE_TIME`], checks whether the
/// upstream can still be reached: the kernel takes longer to give up a connection without a path.
async fn watch_silence<T>(
    upstream: &Arc<Upstream>,
    is_kept: bool,
    answer: impl Future<Output = T>,
) -> T {
    let mut answer = pin!(answer);
    if !is_kept {
        // The connection has just been opened.
        return answer.await;
    }
    if let Ok(answered) = timeout(SILENCE_TIME, &mut answer).await {
        return answered;
    }
    upstream.check_path();
    answer.await
}

/// Records what the head of an answer to a call that was `sent` then says of the upstream.
fn record_state(upstream: &Upstream, head: &AnswerHead, is_rejected: bool, sent: Instant) {
    if let Some(left) = head.cold {
        upstream.extend_cold(Instant::now() + left);
    }
    upstream.record_need(head.need, sent);
    if let Some(load) = head.load {
        upstream.record_told(load);
    }
    if let Some(asked) = head.pause {
        upstream.record_pause(asked);
    }
    if head.leaving {
        upstream.record_leaving();
    }
    if is_rejected {
        upstream.record_rejected();
    }
}

/// Records that an answer is not that to the call with the id `call`, whose own answer may follow it. The
/// connection ends with the call.
fn foreign(upstream: &Upstream, call: &str, evidence: Evidence) -> Fault {
    upstream.record_taken(Taken::Foreign, &evidence);
    log::warn!(request = call, upstream:% = upstream.id, service:% = upstream.service,
        answer:% = evidence; "an upstream sent the answer of another call");
    Fault::unknown(Cause::Malformed("another request's answer")).with_evidence(evidence)
}

/// Sends a caller's request and waits for the head of its answer, which must repeat the attempt's
/// id and bear the upstream's seal. Only a refusal may leave the id out.
pub(crate) async fn request<D: Dialect>(
    upstream: &Arc<Upstream>,
    request: Request<Full<Bytes>>,
    attempt: &str,
    permits: &[Arc<RetryPermit>],
    terms: CallTerms,
) -> Result<Opened, Fault> {
    let opened = send::<D>(upstream, request, attempt, permits, terms).await?;
    if opened.head.not_run {
        let status = opened.response.status();
        // A second copy of a refusal without an id would pass for that of the next request.
        let keeps = opened.head.echo == Echo::Same;
        let evidence = opened.evidence;
        discard(upstream, opened, keeps);
        return Err(Fault::refused(status).with_evidence(evidence));
    }
    let invalid = |why| Fault::unknown(Cause::Malformed(why)).with_evidence(opened.evidence);
    if opened.head.echo != Echo::Same {
        return Err(invalid("no id"));
    }
    if !opened.head.sealed {
        return Err(invalid("no seal"));
    }
    Ok(opened)
}

/// Records an answer to a caller's request whose status promises that the request did not run, without the
/// mark that states it.
pub(crate) fn record_unmarked(upstream: &Upstream, attempt: &str, evidence: &Evidence) {
    if evidence.is_unmarked_promise() {
        upstream.record_taken(Taken::UnmarkedPromise, evidence);
        log::info!(request = attempt, upstream:% = upstream.id, service:% = upstream.service,
            answer:% = evidence; "an upstream refused a request without the mark that it did not run");
    }
}

/// What was read of a body.
pub(crate) enum Read {
    /// The whole body.
    Whole(Bytes),
    /// More than the limit; the rest is still to be read.
    More(Bytes),
}

/// Records that an answer of an upstream is cut; returns the cause of the failed call.
pub(crate) fn cut(upstream: &Upstream, excess: Excess) -> Cause {
    upstream.record_cut(excess);
    Cause::Excess(excess)
}

/// Returns the cause of a failed call whose answer broke off.
pub(crate) fn broken_off(upstream: &Upstream, meter: &ResponseMeter) -> Cause {
    meter.cut().map_or(Cause::Lost, |it| cut(upstream, it))
}

/// Reads a body until it ends or exceeds `limit` bytes, within what `meter` allows.
pub(crate) async fn read_body(
    upstream: &Upstream,
    body: &mut Incoming,
    meter: &mut ResponseMeter,
    limit: usize,
    deadline: Instant,
) -> Result<Read, Cause> {
    meter.announce(body.size_hint().lower()).map_err(|it| cut(upstream, it))?;
    let mut read = BytesMut::new();
    loop {
        let frame = match timeout_at(deadline, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return Err(broken_off(upstream, meter)),
            Ok(None) => return Ok(Read::Whole(read.freeze())),
            Err(_) => return Err(Cause::Timeout),
        };
        if let Ok(data) = frame.into_data() {
            meter.add(data.len()).map_err(|it| cut(upstream, it))?;
            read.extend_from_slice(&data);
            if read.len() > limit {
                return Ok(Read::More(read.freeze()));
            }
        }
    }
}

/// Reads a whole body of at most `most` bytes.
pub(crate) async fn read_whole(
    upstream: &Upstream,
    (body, lease): (&mut Incoming, &Lease),
    most: usize,
    deadline: Instant,
) -> Result<Bytes, Fault> {
    let mut meter = lease.meter(ResponseLimit::whole(most));
    let read = read_body(upstream, body, &mut meter, most, deadline).await;
    match read.map_err(Fault::unknown)? {
        Read::Whole(bytes) => Ok(bytes),
        Read::More(_) => Err(Fault::unknown(Cause::Excess(Excess::Length))),
    }
}

/// Reads the whole body of an answer to one of the entry's own calls.
async fn read_short(
    upstream: &Upstream,
    (body, lease): (&mut Incoming, &Lease),
    deadline: Instant,
) -> Result<Bytes, Fault> {
    read_whole(upstream, (body, lease), MAX_OWN_ANSWER_BYTES, deadline).await
}

/// Reads the rest of an answer that is not forwarded in the background, and keeps its connection if
/// `keeps` is set.
fn discard(upstream: &Arc<Upstream>, opened: Opened, keeps: bool) {
    let upstream = Arc::clone(upstream);
    tokio::spawn(async move {
        let Opened { mut response, lease, head, .. } = opened;
        let deadline = Instant::now() + DISCARD_TIME;
        let read = read_short(&upstream, (response.body_mut(), &lease), deadline).await;
        if keeps && read.is_ok() {
            lease.keep(head.keep_alive);
        }
    });
}
