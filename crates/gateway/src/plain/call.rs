//! One call of an upstream, and its answer.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};

use crate::budget::RetryPermit;
use crate::dialect::{AnswerHead, Dialect};
use crate::exchange::{self, CallTerms, Fault, Opened, Read};
use crate::reply::chunks::{self, ChunkSender};
use crate::reply::{Reply, ReplyBody, strip_hop_by_hop};
use crate::request::CallerRequest;
use crate::response_limit::ResponseLimit;
use crate::upstream::{Lease, Upstream};

use super::rest::{Ended, Rest};

/// The largest answer that is buffered before it is forwarded, in bytes. Up to this size, an answer
/// that breaks off can be replaced by that of another upstream.
const MAX_BUFFERED_ANSWER_BYTES: usize = 256 << 10;

/// The number of chunks of a large answer that are buffered for a slow caller before reading from
/// the upstream pauses.
const MAX_BUFFERED_CHUNKS: usize = 8;

/// The answer of an upstream.
pub(super) struct Answer {
    pub(super) status: StatusCode,
    headers: HeaderMap,
    body: ReplyBody,
}

impl Answer {
    /// Returns the answer to the caller.
    pub(super) fn into_reply(self) -> Reply {
        let mut reply = Response::new(self.body);
        *reply.status_mut() = self.status;
        *reply.headers_mut() = self.headers;
        reply
    }
}

/// Sends the request to an upstream once, by a permit if it is sent again, and reads the answer.
pub(super) async fn call_once<D: Dialect>(
    request: &CallerRequest,
    upstream: &Arc<Upstream>,
    permit: Option<Arc<RetryPermit>>,
) -> Result<Answer, Fault> {
    let forward = request.forward::<D>(upstream, &[], None);
    let (attempt, permits) = (&request.head.attempt, permit.as_slice());
    let deadline = request.deadline;
    let terms = CallTerms::until(deadline, request.call_kind());
    let opened = exchange::request::<D>(upstream, forward, attempt, permits, terms).await?;
    let Opened { mut response, lease, head, evidence } = opened;
    exchange::record_unmarked(upstream, attempt, &evidence);
    let status = response.status();
    let mut headers = std::mem::take(response.headers_mut());
    strip_hop_by_hop(&mut headers);
    let mut meter = lease.meter(ResponseLimit::plain(request.plan.limits.body_bytes));
    let body = response.body_mut();
    let read =
        exchange::read_body(upstream, body, &mut meter, MAX_BUFFERED_ANSWER_BYTES, deadline).await;
    let body = match read.map_err(Fault::unknown)? {
        Read::Whole(bytes) => {
            lease.keep(head.keep_alive);
            ReplyBody::whole(bytes)
        }
        Read::More(start) => {
            let (sender, receiver) = chunks::channel(MAX_BUFFERED_CHUNKS);
            let rest = Rest::new(response.into_body(), meter, deadline);
            let upstream = Arc::clone(upstream);
            tokio::spawn(pipe(upstream, start, rest, (lease, head), sender));
            ReplyBody::stream(receiver)
        }
    };
    Ok(Answer { status, headers, body })
}

/// Forwards the rest of a large answer. If the answer breaks off or is cut, the caller's connection
/// is closed.
async fn pipe(
    upstream: Arc<Upstream>,
    start: Bytes,
    mut rest: Rest,
    (lease, head): (Lease, AnswerHead),
    chunks: ChunkSender,
) {
    let mut next = start;
    while chunks.send(next).await.is_ok() {
        let read = tokio::select! {
            read = rest.next() => read,
            () = chunks.closed() => return,
        };
        next = match read {
            Ok(bytes) => bytes,
            Err(Ended::Whole) => {
                chunks.finish();
                lease.keep(head.keep_alive);
                return;
            }
            Err(Ended::Lost) => return,
            Err(Ended::Cut(excess)) => return upstream.record_cut(excess),
        };
    }
}
