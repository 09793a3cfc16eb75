//! One call of an engine, up to its first event.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Response};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use tokio::time::{Instant, timeout_at};

use crate::budget::RetryPermit;
use crate::dialect::Dialect;
use crate::events::{Event, EventSplitter};
use crate::exchange::{self, CallTerms, Cause, Fault, Opened, cut};
use crate::quarantine::RunTimes;
use crate::reply::{Reply, ReplyBody, strip_hop_by_hop};
use crate::request::CallerRequest;
use crate::response_limit::{Excess, ResponseLimit, ResponseMeter};
use crate::upstream::{Lease, Reuse, RunningRequest, Upstream};

/// The largest answer of an engine that is not a stream, in bytes.
const MAX_ERROR_ANSWER_BYTES: usize = 64 << 10;

/// A stream whose first event has come.
pub(super) struct AttachedStream {
    pub(super) upstream: Arc<Upstream>,
    pub(super) headers: HeaderMap,
    pub(super) body: Incoming,
    pub(super) lease: Lease,
    pub(super) keep_alive: Option<Duration>,
    pub(super) splitter: EventSplitter,
    pub(super) meter: ResponseMeter,
    pub(super) first: Option<Event>,
    /// Counts the request as running at the engine.
    pub(super) _running: RunningRequest,
    pub(super) times: RunTimes,
}

/// The outcome of a call that the engine answered.
pub(super) enum EngineAnswer {
    Stream(Box<AttachedStream>),
    /// An answer that is not a stream, to be forwarded as it is.
    Answer(Box<Reply>),
}

/// Sends the request that counts as `running`, by a permit if it is sent again, and waits for the first
/// event until the deadline, on a connection that it may use.
pub(super) async fn open<D: Dialect>(
    request: &CallerRequest,
    upstream: &Arc<Upstream>,
    forward: http::Request<http_body_util::Full<Bytes>>,
    permit: Option<Arc<RetryPermit>>,
    mut running: RunningRequest,
    (deadline, reuse): (Instant, Reuse),
) -> Result<EngineAnswer, Fault> {
    let sent = Instant::now();
    let (attempt, permits) = (&request.head.attempt, permit.as_slice());
    let (end, kind) = (request.deadline, request.call_kind());
    let terms = CallTerms { head: deadline, end, reuse, kind };
    let opened = exchange::request::<D>(upstream, forward, attempt, permits, terms).await?;
    let Opened { mut response, lease, head, evidence } = opened;
    let mut headers = std::mem::take(response.headers_mut());
    strip_hop_by_hop(&mut headers);
    exchange::record_unmarked(upstream, attempt, &evidence);
    if !response.status().is_success() {
        let body = response.body_mut();
        let read = (body, &lease);
        let body = exchange::read_whole(upstream, read, MAX_ERROR_ANSWER_BYTES, deadline).await?;
        lease.keep(head.keep_alive);
        let mut reply = Response::new(ReplyBody::whole(body));
        *reply.status_mut() = response.status();
        *reply.headers_mut() = headers;
        return Ok(EngineAnswer::Answer(Box::new(reply)));
    }
    let mut body = response.into_body();
    let mut splitter = EventSplitter::default();
    let mut meter = lease.meter(ResponseLimit::stream());
    let announced = meter.announce(body.size_hint().lower());
    announced.map_err(|it| Fault::unknown(cut(upstream, it)))?;
    let first = loop {
        if let Some(event) = splitter.next_event() {
            break Some(event);
        }
        match timeout_at(deadline, body.frame()).await {
            Ok(Some(Ok(frame))) => {
                let taken = take_frame(&mut splitter, &mut meter, frame);
                taken.map_err(|it| Fault::unknown(cut(upstream, it)))?;
            }
            Ok(Some(Err(_))) => {
                return Err(Fault::unknown(exchange::broken_off(upstream, &meter)));
            }
            Ok(None) if splitter.has_partial_event() => return Err(Fault::unknown(Cause::Lost)),
            Ok(None) => break None,
            Err(_) => return Err(Fault::unknown(Cause::Timeout)),
        }
    };
    running.prompt_read();
    Ok(EngineAnswer::Stream(Box::new(AttachedStream {
        upstream: Arc::clone(upstream),
        headers,
        body,
        lease,
        keep_alive: head.keep_alive,
        splitter,
        meter,
        first,
        _running: running,
        times: RunTimes { sent, first: Some(Instant::now()) },
    })))
}

/// Takes a frame of a stream whose whole events have all been taken from `splitter`.
///
/// # Errors
/// Returns an error if the stream is beyond a bound.
pub(super) fn take_frame(
    splitter: &mut EventSplitter,
    meter: &mut ResponseMeter,
    frame: Frame<Bytes>,
) -> Result<(), Excess> {
    let bytes = frame.into_data().unwrap_or_default();
    meter.add(bytes.len())?;
    meter.check_event(splitter.buffered())?;
    splitter.push(&bytes);
    Ok(())
}
