//! The HTTP client for the commands of operators and callers.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HeaderName, HeaderValue};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client as HyperClient, Error as ClientError};
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

/// The timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A request.
#[derive(Clone, Debug)]
pub(crate) struct HttpRequest {
    /// The method.
    pub(crate) method: Method,
    /// The path with the query.
    pub(crate) path: String,
    /// The bearer token or key.
    pub(crate) bearer: Option<String>,
    /// Additional headers.
    pub(crate) headers: Vec<(HeaderName, String)>,
    /// The JSON body; empty if there is none.
    pub(crate) body: Bytes,
    /// The timeout of the exchange.
    pub(crate) timeout: Duration,
}

impl HttpRequest {
    /// Creates a `GET` request without a token.
    pub(crate) fn get(path: &str, timeout: Duration) -> Self {
        Self {
            method: Method::GET,
            path: path.to_owned(),
            bearer: None,
            headers: Vec::new(),
            body: Bytes::new(),
            timeout,
        }
    }
}

/// A complete response.
#[derive(Clone, Debug)]
pub(crate) struct HttpResponse {
    /// The status.
    pub(crate) status: StatusCode,
    /// The headers.
    pub(crate) headers: HeaderMap,
    /// The body.
    pub(crate) body: Bytes,
}

/// The reason why there is no complete response.
#[derive(Debug)]
pub(crate) enum SendError {
    /// The server has received nothing of the request.
    NotSent(String),
    /// The server may have received the request.
    Lost(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SendError::NotSent(why) => write!(f, "not sent: {why}"),
            SendError::Lost(why) => write!(f, "answer lost: {why}"),
        }
    }
}

impl std::error::Error for SendError {}

/// An HTTP client.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    inner: HyperClient<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client that opens a new connection for each request.
    pub(crate) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        // An idle connection in a pool may be dead without notice, and the outcome of a request
        // written to it would be unknown. A new connection costs a command almost nothing.
        let inner = HyperClient::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        Self { inner }
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    /// Returns an error if the response is not complete before the timeout.
    pub(crate) async fn send(
        &self,
        to: SocketAddr,
        request: &HttpRequest,
    ) -> Result<HttpResponse, SendError> {
        let exchange = async {
            let (parts, body) = self.send_head(to, request).await?.into_parts();
            let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|e| SendError::Lost(e.to_string()))?.to_bytes();
            Ok(HttpResponse { status: parts.status, headers: parts.headers, body })
        };
        timeout(request.timeout, exchange)
            .await
            .unwrap_or_else(|_| Err(timeout_error(request.timeout)))
    }

    /// Sends a request and returns the response as soon as its headers have arrived.
    ///
    /// # Errors
    /// Returns an error if the headers do not arrive before the timeout.
    pub(crate) async fn send_streaming(
        &self,
        to: SocketAddr,
        request: &HttpRequest,
    ) -> Result<http::Response<Incoming>, SendError> {
        let response = timeout(request.timeout, self.send_head(to, request)).await;
        response.unwrap_or_else(|_| Err(timeout_error(request.timeout)))
    }

    async fn send_head(
        &self,
        to: SocketAddr,
        request: &HttpRequest,
    ) -> Result<http::Response<Incoming>, SendError> {
        let request = build(to, request).map_err(SendError::NotSent)?;
        self.inner.request(request).await.map_err(classify)
    }
}

fn timeout_error(timeout: Duration) -> SendError {
    SendError::Lost(format!("no answer within {} ms", timeout.as_millis()))
}

fn build(to: SocketAddr, request: &HttpRequest) -> Result<Request<Full<Bytes>>, String> {
    let mut builder = Request::builder()
        .method(request.method.clone())
        .uri(format!("http://{to}{}", request.path))
        .header(CONTENT_TYPE, "application/json");
    if let Some(bearer) = &request.bearer {
        let value = HeaderValue::from_str(&format!("Bearer {bearer}"));
        let mut value =
            value.map_err(|_| "the token contains characters that a header must not contain")?;
        value.set_sensitive(true);
        builder = builder.header(AUTHORIZATION, value);
    }
    for (name, value) in &request.headers {
        builder = builder.header(name, value);
    }
    builder.body(Full::new(request.body.clone())).map_err(|e| e.to_string())
}

fn classify(error: ClientError) -> SendError {
    let mut text = error.to_string();
    let mut source = std::error::Error::source(&error);
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    if error.is_connect() { SendError::NotSent(text) } else { SendError::Lost(text) }
}

impl HttpResponse {
    /// Parses the JSON body.
    ///
    /// # Errors
    /// Returns an error if the body is not the expected JSON.
    pub(crate) fn parse<T: DeserializeOwned>(&self) -> eyre::Result<T> {
        serde_json::from_slice(&self.body).map_err(|e| {
            let start = String::from_utf8_lossy(&self.body[..self.body.len().min(200)]);
            eyre::eyre!("unexpected answer with status {}: {e}: {start}", self.status)
        })
    }

    /// Returns the delay that the `Retry-After` header asks for.
    pub(crate) fn retry_after(&self) -> Option<Duration> {
        let header = self.headers.get(http::header::RETRY_AFTER)?;
        header.to_str().ok()?.trim().parse().ok().map(Duration::from_secs)
    }
}
