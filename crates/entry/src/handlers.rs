//! HTTP handlers for callers: read a request, start it, write its answer.

use std::future::poll_fn;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures_util::future::{Either, select};
use http::{HeaderValue, Method, header};
use tokio::sync::mpsc;
use tokio::time::timeout_at;
use types::{Outcome, RefusalReason, RequestId};
use xitca_web::WebContext;
use xitca_web::body::{BodyExt, RequestBody, ResponseBody};
use xitca_web::handler::body::Body;
use xitca_web::http::{StatusCode, WebResponse};

use crate::answer::retry_after;
use crate::auth::ServiceView;
use crate::connections::ConnectionGuard;
use crate::core::Core;
use crate::drain::{InFlightGuard, Phase};
use crate::outcome::{Reason, RequestError};
use crate::reply::Reply;
use crate::request::{Head, KEY_HEADER, Request};
use crate::serve;
use crate::session::Session;
use crate::sink::Item;
use crate::stream::EventBody;

/// The path of a pipeline without its name.
const PIPELINES_PREFIX: &str = "/v1/pipelines/";

/// How long a caller may take to read its answer, counted from the latest time at which the request
/// can end.
const MAX_ANSWER_READ_TIME: Duration = Duration::from_secs(10);

/// The guards that one request holds until the last byte of its answer is written.
#[derive(Debug)]
pub(crate) struct RequestGuards {
    pub(crate) connection: ConnectionGuard,
    pub(crate) _in_flight: InFlightGuard,
}

/// Serves `POST /v1/pipelines/{pipeline}`.
pub(crate) async fn pipelines<S: Session>(
    context: &WebContext<'_, Arc<Core<S>>>,
    Body(body): Body<RequestBody>,
) -> WebResponse {
    let core = context.state();
    let arrived = Instant::now();
    // Must come before the phase is read: see `InFlightGuard::begin`.
    let in_flight = InFlightGuard::begin(&core.drain);
    let peer = core.connections.get(context.req().body().socket_addr());
    let max_duration = core.view.load().as_ref().map_or(Duration::ZERO, |it| it.max_duration());
    let guards = RequestGuards {
        connection: ConnectionGuard::begin(peer, max_duration + MAX_ANSWER_READ_TIME),
        _in_flight: in_flight,
    };
    let request = match read_request(core, context, body, arrived).await {
        Ok(request) => request,
        Err(error) => {
            let id = RequestId::random();
            let has_key = context.req().headers().contains_key(KEY_HEADER);
            let reply = Reply::refuse(error, has_key, id);
            core.metrics.request_ended(reply.outcome.as_str(), reply.reason, arrived.elapsed());
            return full_response(core, reply, id);
        }
    };
    let (id, streams) = (request.id, request.stream);
    let mut items = serve::start(core, request);
    let first = {
        let closed = poll_fn(|cx| guards.connection.poll_closed(cx));
        let (closed, next) = (pin!(closed), pin!(items.recv()));
        match select(next, closed).await {
            Either::Left((first, _)) => first,
            Either::Right(((), _)) => None,
        }
    };
    match first {
        Some(Item::Last(reply)) if !streams || reply.outcome != Outcome::Complete => {
            full_response(core, reply, id)
        }
        Some(first) => stream_response(core, id, EventBody::new(first, items, guards)),
        None => abort_response(core, items, guards, id),
    }
}

/// Answers requests for unknown paths, with a problem body like every other refusal.
pub(crate) async fn not_found<S: Session>(context: &WebContext<'_, Arc<Core<S>>>) -> WebResponse {
    let detail = format!("there is nothing at {}", context.req().uri().path());
    let (error, id) = (RequestError::new(Reason::NoPipeline, detail), RequestId::random());
    full_response(context.state(), Reply::refuse(error, false, id), id)
}

/// Reads and checks a request.
async fn read_request<S: Session>(
    core: &Core<S>,
    context: &WebContext<'_, Arc<Core<S>>>,
    body: RequestBody,
    arrived: Instant,
) -> Result<Request, RequestError> {
    if core.drain.phase() == Phase::Refusing {
        let reason = Reason::Refused(RefusalReason::Draining);
        return Err(
            RequestError::new(reason, "this entry is shutting down").retry_after(retry_after())
        );
    }
    let view = core.view.load_full().ok_or_else(|| {
        let reason = Reason::Refused(RefusalReason::StaleService);
        RequestError::new(reason, "this entry holds no service yet").retry_after(retry_after())
    })?;
    if context.req().method() != Method::POST {
        return Err(RequestError::new(Reason::BadRequest, "send the request with POST"));
    }
    let headers = context.req().headers();
    let customer = view.customer(headers.get(header::AUTHORIZATION));
    let customer = customer.ok_or_else(|| {
        RequestError::new(Reason::Unauthorized, "the bearer key is missing or unknown")
    })?;
    let name = context.req().uri().path().strip_prefix(PIPELINES_PREFIX).unwrap_or_default();
    let head = Head::check(arrived, Arc::clone(&view), customer, name, headers)?;
    core.check_freshness(&view, head.is_at_most_once(), arrived)?;
    let length = headers.get(header::CONTENT_LENGTH);
    let length = length.and_then(|it| it.to_str().ok()).and_then(|it| it.parse().ok());
    let body = read_body(&view, body, length, arrived).await?;
    head.body(&body)
}

/// Reads the whole body within its limits of size and time.
///
/// The HTTP library ends the body without an error when the caller closes the connection in the
/// middle of it, so the length is compared with the announced one. A chunked body announces none; a
/// cut one fails to parse, since no proper prefix of a JSON object is a JSON object.
async fn read_body(
    view: &ServiceView,
    body: RequestBody,
    length: Option<u64>,
    arrived: Instant,
) -> Result<Bytes, RequestError> {
    let limits = &view.service().requests;
    let too_large = || {
        let detail = format!("the body exceeds {}", limits.body);
        RequestError::new(Reason::TooLarge, detail)
    };
    if length.is_some_and(|it| it > limits.body.0) {
        return Err(too_large());
    }
    let deadline = arrived + Duration::from(limits.read);
    let mut body = pin!(body);
    let mut all = BytesMut::new();
    loop {
        let frame = timeout_at(deadline.into(), body.as_mut().frame()).await;
        let frame = frame.map_err(|_| {
            RequestError::new(Reason::ReadTimeout, "the request was not sent whole in time")
        })?;
        match frame {
            None => break,
            Some(Err(e)) => {
                return Err(RequestError::new(Reason::RequestCut, format!("read body: {e}")));
            }
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    all.extend_from_slice(&data);
                }
            }
        }
        if all.len() as u64 > limits.body.0 {
            return Err(too_large());
        }
    }
    if length.is_some_and(|it| it != all.len() as u64) {
        return Err(RequestError::new(Reason::RequestCut, "the body is shorter than announced"));
    }
    Ok(all.freeze())
}

/// Returns a response that carries the whole answer.
fn full_response<S: Session>(core: &Core<S>, reply: Reply, id: RequestId) -> WebResponse {
    let json = match reply.outcome {
        Outcome::Complete => "application/json",
        _ => "application/problem+json",
    };
    let retry_after = reply.retry_after;
    let mut response = WebResponse::new(ResponseBody::bytes(reply.body));
    *response.status_mut() = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(json));
    if let Some(wait) = retry_after {
        let seconds = wait.as_millis().div_ceil(1_000).max(1) as u64;
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    with_common_headers(core, response, reply.outcome, id)
}

/// Returns a response that streams its answer as events.
fn stream_response<S: Session>(core: &Core<S>, id: RequestId, body: EventBody) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::boxed(body));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    // The last event carries the outcome; when the headers are sent it is still unknown.
    with_common_headers(core, response, Outcome::Unknown, id)
}

fn with_common_headers<S: Session>(
    core: &Core<S>,
    mut response: WebResponse,
    outcome: Outcome,
    id: RequestId,
) -> WebResponse {
    let headers = response.headers_mut();
    if let Ok(id) = HeaderValue::try_from(id.to_string()) {
        headers.insert("mothplank-request", id);
    }
    headers.insert("mothplank-outcome", HeaderValue::from_static(outcome.as_str()));
    if core.drain.phase() == Phase::Refusing {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Ends a request whose caller left, or whose run stopped without a result, by closing the
/// connection without an answer.
fn abort_response<S: Session>(
    core: &Core<S>,
    items: mpsc::Receiver<Item>,
    guards: RequestGuards,
    id: RequestId,
) -> WebResponse {
    drop(items);
    guards.connection.cut();
    let error = RequestError::new(Reason::CallerGone, "the request ended without an answer");
    let ending = crate::outcome::Ending::Problem(crate::outcome::Problem::unknown(error));
    full_response(core, Reply::new(&ending, id, Duration::ZERO), id)
}
