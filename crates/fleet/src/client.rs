//! An HTTP client for small calls to upstreams and the platform, each with a time limit and a connection of
//! its own.
//!
//! The answers bear no id. On a kept connection, a late copy of an earlier answer would pass for the one that
//! is expected.

use std::error::Error;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;
use types::{StepError, StepResult};

/// The largest response body that is read, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// The header with which an upstream reports that it drains.
const DRAINING_HEADER: &str = "x-draining";

/// A response.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) draining: bool,
    body: Bytes,
}

impl Reply {
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }
}

/// An HTTP client.
#[derive(Clone, Debug)]
pub(crate) struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client.
    ///
    /// `limit` bounds the time to connect, and also the time for which the kernel keeps
    /// retransmitting unacknowledged data: otherwise a call that was given up could still arrive
    /// much later, once a partitioned network heals.
    pub(crate) fn new(limit: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(limit));
        connector.set_tcp_user_timeout(Some(limit));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    pub(crate) async fn get(
        &self,
        to: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> StepResult<Reply> {
        self.call(Method::GET, to, path, Bytes::new(), limit).await
    }

    pub(crate) async fn post<T: Serialize>(
        &self,
        to: SocketAddr,
        path: &str,
        body: &T,
        limit: Duration,
    ) -> StepResult<Reply> {
        let body = serde_json::to_vec(body).map_err(|e| StepError::new("encode call", e).at(to))?;
        self.call(Method::POST, to, path, body.into(), limit).await
    }

    async fn call(
        &self,
        method: Method,
        to: SocketAddr,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> StepResult<Reply> {
        let fault = |e: Box<dyn Error + Send + Sync>| StepError::new("call", e).at(to);
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{to}{path}"))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|e| fault(e.into()))?;
        let answer = async {
            let response = self.client.request(request).await.map_err(|e| fault(e.into()))?;
            let (head, body) = response.into_parts();
            let body =
                Limited::new(body, MAX_BODY_BYTES).collect().await.map_err(fault)?.to_bytes();
            let draining = head.headers.get(DRAINING_HEADER).is_some_and(|it| it == "true");
            Ok(Reply { status: head.status, draining, body })
        };
        match timeout(limit, answer).await {
            Ok(answer) => answer,
            Err(_) => Err(StepError::new("call", format!("no answer in {limit:?}")).at(to)),
        }
    }
}

/// Returns whether the peer refused the connection: its VM runs, but no process listens.
pub(crate) fn is_refused(error: &StepError) -> bool {
    let mut cause: Option<&(dyn Error + 'static)> = Some(error.cause.as_ref());
    while let Some(it) = cause {
        let io = it.downcast_ref::<std::io::Error>();
        if io.is_some_and(|e| e.kind() == ErrorKind::ConnectionRefused) {
            return true;
        }
        cause = it.source();
    }
    false
}
