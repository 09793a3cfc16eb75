//! Sends one request and reads the head of its response.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, Uri, header};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::{timeout, timeout_at};
use types::{CallId, IdempotencyKey};

use crate::connection::Connection;
use crate::fault::{CallError, Declined, Fault, Sent, Unsent};
use crate::limits::Limits;
use crate::pool::{Lease, Pool};
use crate::watch::{self, Watch};

/// The timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The timeout of waiting until an idle connection is ready for its next call.
const READY_TIMEOUT: Duration = Duration::from_millis(5);

/// The header with the id of the call, in the request and in the response.
const CALL_HEADER: &str = "x-request-id";

/// The header of an upstream that is draining.
const DRAINING_HEADER: &str = "x-draining";

/// The header with the idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// A request to send.
pub(crate) struct Outgoing<'a> {
    pub(crate) call: CallId,
    pub(crate) path: Uri,
    pub(crate) body: Bytes,
    pub(crate) key: Option<&'a IdempotencyKey>,
    pub(crate) limits: Limits,
    pub(crate) watch: Watch,
    /// Whether the call needs a new connection.
    pub(crate) fresh: bool,
}

/// A response with a valid head.
pub(crate) struct Opened {
    pub(crate) lease: Lease,
    pub(crate) response: Response<Incoming>,
    /// When the request was handed to the connection.
    pub(crate) sent: Instant,
    /// The time until the head of the response was read.
    pub(crate) first_byte: Duration,
}

/// Sends the request and reads the head of its response.
pub(crate) async fn open(pool: &Arc<Pool>, out: &Outgoing<'_>) -> Result<Opened, CallError> {
    let mut fresh = out.fresh;
    loop {
        let (lease, reused) = lease_connection(pool, out, fresh).await?;
        match send(lease, out).await {
            // The idle connection was closed before any byte left, so a new one is safe.
            Err(CallError { sent: Sent::No(_), fault: Fault::Stale, .. }) if reused => fresh = true,
            result => return result,
        }
    }
}

async fn lease_connection(
    pool: &Arc<Pool>,
    out: &Outgoing<'_>,
    fresh: bool,
) -> Result<(Lease, bool), CallError> {
    let now = Instant::now();
    let refused = |fault| CallError {
        step: "connect",
        peer: pool.address,
        fault,
        sent: Sent::No(Unsent::new()),
        reused: false,
    };
    if now >= out.limits.deadline {
        return Err(refused(Fault::Deadline));
    }
    if !fresh && let Some(connection) = take_idle(pool, now).await {
        return Ok((Lease::new(Arc::clone(pool), connection, true), true));
    }
    let deadline = out.limits.deadline.min(now + CONNECT_TIMEOUT);
    let opening = Connection::open(pool.address);
    match timeout_at(deadline.into(), opening).await {
        Ok(Ok(connection)) => Ok((Lease::new(Arc::clone(pool), connection, false), false)),
        Ok(Err(e)) => Err(refused(Fault::Connect(e.to_string()))),
        Err(_) if deadline == out.limits.deadline => Err(refused(Fault::Deadline)),
        Err(_) => Err(refused(Fault::Connect("timed out".to_owned()))),
    }
}

/// Takes an idle connection that is ready for a call.
async fn take_idle(pool: &Pool, now: Instant) -> Option<Connection> {
    let mut connection = pool.take(now)?;
    if connection.sender.is_ready() {
        return Some(connection);
    }
    let ready = timeout(READY_TIMEOUT, connection.sender.ready()).await;
    matches!(ready, Ok(Ok(()))).then_some(connection)
}

async fn send(mut lease: Lease, out: &Outgoing<'_>) -> Result<Opened, CallError> {
    let request = build_request(lease.pool(), out);
    let sent = Instant::now();
    let (limit, deadline) = (out.limits.first_byte, out.limits.deadline.into());
    let Some(connection) = lease.connection() else {
        return Err(failed(lease, "send", Fault::Stale));
    };
    let waiting = connection.sender.send_request(request);
    let silent = || lease.silent(sent, &out.watch);
    let response = match watch::progress(waiting, limit, deadline, silent).await {
        Some(Ok(response)) => response,
        Some(Err(e)) => return Err(connection_error(lease, &e)),
        None => return Err(failed(lease, "read head", Fault::Deadline)),
    };
    let first_byte = sent.elapsed();
    if !repeats_id(response.headers(), out.call) {
        return Err(failed(lease, "check echo", Fault::IdMismatch));
    }
    if response.status() != StatusCode::OK {
        return Err(status_error(lease, &response));
    }
    Ok(Opened { lease, response, sent, first_byte })
}

fn build_request(pool: &Pool, out: &Outgoing<'_>) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(out.body.clone()));
    *request.method_mut() = http::Method::POST;
    *request.uri_mut() = out.path.clone();
    let headers = request.headers_mut();
    headers.insert(header::HOST, pool.host.clone());
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let mut buf = uuid_buffer();
    let id = out.call.0.hyphenated().encode_lower(&mut buf);
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert(CALL_HEADER, id);
    }
    if let Some(key) = out.key.and_then(|key| HeaderValue::from_str(key.as_str()).ok()) {
        headers.insert(KEY_HEADER, key);
    }
    request
}

fn uuid_buffer() -> [u8; 36] {
    [0; 36]
}

fn repeats_id(headers: &HeaderMap, call: CallId) -> bool {
    let mut buf = uuid_buffer();
    let want = call.0.hyphenated().encode_lower(&mut buf);
    headers.get(CALL_HEADER).is_some_and(|got| got.as_bytes().eq_ignore_ascii_case(want.as_bytes()))
}

/// Closes the connection of a failed call and determines whether any byte of the call left.
pub(crate) fn failed(lease: Lease, step: &'static str, fault: Fault) -> CallError {
    let (peer, reused) = (lease.pool().address, lease.reused);
    let sent = if lease.close() { Sent::Maybe } else { Sent::No(Unsent::new()) };
    CallError { step, peer, fault, sent, reused }
}

fn connection_error(lease: Lease, error: &hyper::Error) -> CallError {
    let fault = if error.is_parse() {
        Fault::Malformed(error.to_string())
    } else if lease.reused {
        Fault::Stale
    } else {
        Fault::Truncated(error.to_string())
    };
    failed(lease, "read head", fault)
}

/// Turns a status other than 200 into an error. Closes the connection, as the body is not read.
fn status_error(lease: Lease, response: &Response<Incoming>) -> CallError {
    let peer: SocketAddr = lease.pool().address;
    let headers = response.headers();
    let fault = match response.status() {
        StatusCode::TOO_MANY_REQUESTS => Fault::Busy(retry_after(headers)),
        StatusCode::SERVICE_UNAVAILABLE if headers.contains_key(DRAINING_HEADER) => Fault::Draining,
        status => Fault::Status(status.as_u16(), status.to_string()),
    };
    let declined = matches!(fault, Fault::Busy(_) | Fault::Draining);
    let reused = lease.reused;
    drop(lease);
    let sent = if declined { Sent::Declined(Declined::new()) } else { Sent::Maybe };
    CallError { step: "read head", peer, fault, sent, reused }
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_secs)
}
