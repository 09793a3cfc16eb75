//! A blocking HTTP client for tests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use tokio::runtime::Handle;
use tokio::time::timeout;

use super::{CUSTOMER_KEY, OPERATOR_TOKEN};

/// The timeout of an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(30);

/// A complete response.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// The reason why there is no complete response.
#[derive(Clone, Debug)]
pub enum HttpError {
    /// The server has received nothing of the request.
    NotSent(String),
    /// The server may have received the request.
    Lost(String),
}

/// A blocking HTTP client.
#[derive(Clone, Debug)]
pub struct Http {
    client: Client<HttpConnector, Full<Bytes>>,
    runtime: Handle,
}

impl Reply {
    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body as JSON; null if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the header `name`, or an empty text if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or_default()
    }

    /// Returns the key `outcome` of the body.
    pub fn outcome(&self) -> String {
        self.json()["outcome"].as_str().unwrap_or_default().to_owned()
    }
}

impl Http {
    /// Creates a client that keeps no idle connections.
    pub fn open(runtime: Handle) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(5)));
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        Self { client, runtime }
    }

    /// Sends one request and reads the complete response.
    pub fn send(
        &self,
        to: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Reply, HttpError> {
        let mut request = Request::builder().method(method).uri(format!("http://{to}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into())).unwrap();
        let exchange = async {
            let response = self.client.request(request).await.map_err(|e| {
                let why = format!("{e:?}");
                if e.is_connect() { HttpError::NotSent(why) } else { HttpError::Lost(why) }
            })?;
            let (parts, body) = response.into_parts();
            let body = body.collect().await.map_err(|e| HttpError::Lost(format!("{e:?}")))?;
            let status = parts.status.as_u16();
            Ok(Reply { status, headers: parts.headers, body: body.to_bytes() })
        };
        let limited = async { timeout(EXCHANGE_TIMEOUT, exchange).await };
        self.runtime.block_on(limited).unwrap_or_else(|_| Err(HttpError::Lost("timeout".into())))
    }

    /// Sends a `GET` request.
    pub fn get(&self, to: SocketAddr, path: &str) -> Result<Reply, HttpError> {
        self.send(to, "GET", path, &[], "")
    }

    /// Sends a request to a pipeline as the customer `yards`.
    pub fn call(
        &self,
        to: SocketAddr,
        pipeline: &str,
        body: &Value,
        headers: &[(&str, &str)],
    ) -> Result<Reply, HttpError> {
        let bearer = format!("Bearer {CUSTOMER_KEY}");
        let own = [("authorization", bearer.as_str()), ("content-type", "application/json")];
        let headers = [&own[..], headers].concat();
        let path = format!("/v1/pipelines/{pipeline}");
        self.send(to, "POST", &path, &headers, body.to_string())
    }

    /// Sends a request as the operator `ines`; null means no body.
    pub fn operator(
        &self,
        to: SocketAddr,
        method: &str,
        path: &str,
        body: &Value,
    ) -> Result<Reply, HttpError> {
        let bearer = format!("Bearer {OPERATOR_TOKEN}");
        let headers = [("authorization", bearer.as_str()), ("content-type", "application/json")];
        let body = if body.is_null() { String::new() } else { body.to_string() };
        self.send(to, method, path, &headers, body)
    }

    /// Sets the faults of a stand-in, in the JSON form of `standins::faults::Faults`.
    pub fn faults(&self, standin: SocketAddr, faults: &Value) {
        let headers = [("content-type", "application/json")];
        let reply = self.send(standin, "POST", "/faults", &headers, faults.to_string()).unwrap();
        assert!(reply.status < 300, "faults: {}", reply.text());
    }

    /// Returns the counters of a stand-in.
    pub fn counts(&self, standin: SocketAddr) -> Value {
        self.get(standin, "/counts").map(|it| it.json()).unwrap_or_else(|_| json!(null))
    }
}
