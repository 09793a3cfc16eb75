//! One call of an engine, up to the first event.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::dialect::Dialect;
use crate::events::{Event, Splitter};
use crate::exchange::{self, Cause, Fault, Opened, Read};
use crate::reply::{Reply, ReplyBody, strip_hop};
use crate::request::CallerRequest;
use crate::suspects::RunTimes;
use crate::upstream::{Lease, Running, Upstream};

/// The largest answer of an engine that is no stream, in bytes.
const FAILURE_LIMIT: usize = 64 << 10;

/// A stream with its first event.
pub(super) struct Attached {
    pub(super) upstream: Arc<Upstream>,
    pub(super) headers: HeaderMap,
    pub(super) body: Incoming,
    pub(super) lease: Lease,
    pub(super) keep_alive: Option<Duration>,
    pub(super) splitter: Splitter,
    pub(super) first: Option<Event>,
    pub(super) running: Running,
    pub(super) times: RunTimes,
}

/// How a try to attach ended.
pub(super) enum Tried {
    Stream(Box<Attached>),
    /// An answer that is no stream, to be passed on.
    Answer(Reply),
}

/// Makes one call and waits for the first event.
pub(super) async fn open<D: Dialect>(
    request: &CallerRequest,
    upstream: &Arc<Upstream>,
    forward: http::Request<http_body_util::Full<Bytes>>,
) -> Result<Tried, Fault> {
    let tokens = request.ask.generation.as_ref().map_or(0, |it| u64::from(it.prompt));
    let mut running = upstream.begin(tokens);
    let sent = Instant::now();
    let by = request.first_by;
    let opened = exchange::request::<D>(upstream, forward, &request.ask.attempt, by).await?;
    let Opened { mut response, lease, marks } = opened;
    let mut headers = std::mem::take(response.headers_mut());
    strip_hop(&mut headers);
    if !response.status().is_success() {
        let read = exchange::read_body(response.body_mut(), FAILURE_LIMIT, by).await;
        let Read::Whole(body) = read.map_err(Fault::unknown)? else {
            return Err(Fault::unknown(Cause::Garbled("a large failure")));
        };
        lease.keep(marks.keep_alive);
        let mut reply = Response::new(ReplyBody::whole(body));
        *reply.status_mut() = response.status();
        *reply.headers_mut() = headers;
        return Ok(Tried::Answer(reply));
    }
    let mut body = response.into_body();
    let mut splitter = Splitter::default();
    let first = loop {
        if let Some(event) = splitter.next_event() {
            break Some(event);
        }
        match timeout_at(by, body.frame()).await {
            Ok(Some(Ok(frame))) => splitter.push(&frame.into_data().unwrap_or_default()),
            Ok(Some(Err(_))) => return Err(Fault::unknown(Cause::Lost)),
            Ok(None) if splitter.has_rest() => return Err(Fault::unknown(Cause::Lost)),
            Ok(None) => break None,
            Err(_) => return Err(Fault::unknown(Cause::Timeout)),
        }
    };
    running.started();
    Ok(Tried::Stream(Box::new(Attached {
        upstream: Arc::clone(upstream),
        headers,
        body,
        lease,
        keep_alive: marks.keep_alive,
        splitter,
        first,
        running,
        times: RunTimes { sent, first: Some(Instant::now()) },
    })))
}
