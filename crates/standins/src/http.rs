//! The HTTP/1.1 server of the fakes. It can refuse and close connections at run time.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream::{self, StreamExt};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use types::{StepError, StepResult};

/// The maximum size of a request body.
const MAX_BODY_BYTES: usize = 16 << 20;

/// The header with the call's id, in requests and responses.
pub(crate) const CALL_ID_HEADER: &str = "x-request-id";

/// The id of no call. A swapped response carries it if there was no earlier call.
pub(crate) const NIL_CALL_ID: &str = "00000000-0000-0000-0000-000000000000";

/// The body of a response.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// A response.
pub(crate) type Reply = Response<Body>;

/// Whether a server accepts connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Availability {
    /// The server accepts connections.
    #[default]
    Accepting,
    /// New connections are refused; open ones continue.
    Refusing,
    /// New connections are refused and open ones are closed, as when the process is killed.
    Down,
    /// The server has stopped for good.
    Stopped,
}

/// Answers the requests to a fake.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers one request whose body has been read.
    fn handle(self: Arc<Self>, request: Request<Bytes>) -> impl Future<Output = Reply> + Send;
}

/// Listens on `listen` and serves `handler` until the availability is [`Availability::Stopped`].
/// Returns the bound address.
pub(crate) async fn serve<H: Handler>(
    listen: SocketAddr,
    handler: Arc<H>,
    availability: watch::Receiver<Availability>,
) -> StepResult<SocketAddr> {
    let listener = bind(listen).await?;
    let address =
        listener.local_addr().map_err(|e| StepError::new("read address", e).at(listen))?;
    tokio::spawn(accept(listener, address, handler, availability));
    Ok(address)
}

async fn bind(listen: SocketAddr) -> StepResult<TcpListener> {
    TcpListener::bind(listen).await.map_err(|e| StepError::new("listen", e).at(listen))
}

/// Accepts connections as the availability allows. While the port can't be bound again, it is tried
/// every 20 ms.
async fn accept<H: Handler>(
    listener: TcpListener,
    address: SocketAddr,
    handler: Arc<H>,
    mut availability: watch::Receiver<Availability>,
) {
    let mut listener = Some(listener);
    loop {
        let current = *availability.borrow_and_update();
        match (current, &listener) {
            (Availability::Stopped, _) => return,
            (Availability::Accepting, None) => listener = bind(address).await.ok(),
            (Availability::Refusing | Availability::Down, Some(_)) => listener = None,
            _ => {}
        }
        let Some(open) = &listener else {
            let retry = tokio::time::sleep(std::time::Duration::from_millis(20));
            tokio::select! {
                changed = availability.changed() => if changed.is_err() { return },
                () = retry => {}
            }
            continue;
        };
        tokio::select! {
            changed = availability.changed() => if changed.is_err() { return },
            accepted = open.accept() => if let Ok((stream, _)) = accepted {
                tokio::spawn(serve_connection(stream, handler.clone(), availability.clone()));
            },
        }
    }
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    handler: Arc<H>,
    mut availability: watch::Receiver<Availability>,
) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| answer(handler.clone(), request));
    let mut http = hyper::server::conn::http1::Builder::new();
    http.timer(TokioTimer::new());
    let served = http.serve_connection(TokioIo::new(stream), service);
    let closed =
        availability.wait_for(|it| matches!(it, Availability::Down | Availability::Stopped));
    tokio::select! {
        _ = served => {}
        _ = closed => {}
    }
}

async fn answer<H: Handler>(
    handler: Arc<H>,
    request: Request<Incoming>,
) -> Result<Reply, Infallible> {
    let (parts, body) = request.into_parts();
    let reply = match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => handler.handle(Request::from_parts(parts, body.to_bytes())).await,
        Err(_) => error(StatusCode::PAYLOAD_TOO_LARGE, "the body could not be read"),
    };
    Ok(reply)
}

/// Builds a JSON response.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let body = Full::new(Bytes::from(text)).map_err(|never| match never {}).boxed_unsync();
    with_type(status, "application/json", body)
}

/// Builds a JSON response that announces its full length and breaks off after half of its body.
pub(crate) fn truncated_json(status: StatusCode, value: &impl Serialize) -> Reply {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let length = text.len();
    let start = Bytes::copy_from_slice(&text[..length / 2]);
    // Yielding lets the server flush the head and the first half; an immediate error loses both.
    let end = async {
        tokio::task::yield_now().await;
        Err(io::Error::other("cut"))
    };
    let parts = stream::iter([Ok(Frame::data(start))]).chain(stream::once(end));
    let body = StreamBody::new(parts.boxed()).boxed_unsync();
    let mut reply = with_type(status, "application/json", body);
    reply.headers_mut().insert(http::header::CONTENT_LENGTH, length.into());
    reply
}

/// Builds a JSON response with an error message.
pub(crate) fn error(status: StatusCode, message: &str) -> Reply {
    json(status, &serde_json::json!({"error": {"message": message}}))
}

/// Builds the response of a draining upstream.
pub(crate) fn draining() -> Reply {
    let mut reply = error(StatusCode::SERVICE_UNAVAILABLE, "draining");
    reply.headers_mut().insert("x-draining", http::HeaderValue::from_static("true"));
    reply
}

/// Builds a response with a body of the given content type.
pub(crate) fn with_type(status: StatusCode, content_type: &'static str, body: Body) -> Reply {
    let mut reply = Response::new(body);
    *reply.status_mut() = status;
    reply
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, http::HeaderValue::from_static(content_type));
    reply
}

/// Sets the response header that repeats the call's id.
pub(crate) fn set_call_id(reply: &mut Reply, call: &str) {
    if let Ok(value) = http::HeaderValue::from_str(call) {
        reply.headers_mut().insert(CALL_ID_HEADER, value);
    }
}

/// Reads the call's id from the request header.
pub(crate) fn call_id(request: &Request<Bytes>) -> Option<String> {
    request.headers().get(CALL_ID_HEADER)?.to_str().ok().map(str::to_owned)
}
