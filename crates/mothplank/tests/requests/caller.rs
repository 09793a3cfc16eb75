//! Callers that send one request and keep the exact answer.

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

use crate::env::CUSTOMER_KEY;

/// The outcome of a request according to the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is complete.
    Complete,
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran and failed.
    Failed,
    /// There is no complete answer.
    NoAnswer,
}

/// A request to a pipeline.
#[derive(Clone, Debug)]
pub struct PipelineRequest<'a> {
    /// The pipeline.
    pub pipeline: &'a str,
    /// The marker in its input.
    pub marker: &'a str,
    /// The idempotency key.
    pub key: Option<&'a str>,
    /// The deadline.
    pub deadline: Duration,
    /// The maximum number of tokens to generate.
    pub tokens: Option<u64>,
    /// Whether the answer is to be streamed.
    pub stream: bool,
}

/// The answer to a request, or the reason why there is none.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The outcome.
    pub outcome: Outcome,
    /// The HTTP status; 0 if there is no answer.
    pub status: u16,
    /// The id of the request in the response header.
    pub request: String,
    /// The body, or the data of the last event of a stream.
    pub body: Bytes,
    /// The tokens of a stream with their positions.
    pub tokens: Vec<(u64, String)>,
    /// The reason why there is no complete answer.
    pub fault: String,
}

/// A caller; clones share its connections.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    runtime: Handle,
}

impl PipelineRequest<'_> {
    /// Creates a request without an idempotency key and with a deadline of five seconds.
    pub fn new<'a>(pipeline: &'a str, marker: &'a str) -> PipelineRequest<'a> {
        let deadline = Duration::from_secs(5);
        PipelineRequest { pipeline, marker, key: None, deadline, tokens: None, stream: false }
    }

    fn to_http(&self, address: SocketAddr) -> Request<Full<Bytes>> {
        let mut body = json!({"input": {"marker": self.marker}});
        if let Some(tokens) = self.tokens {
            body["max_tokens"] = tokens.into();
        }
        let mut request = Request::post(format!("http://{address}/v1/pipelines/{}", self.pipeline))
            .header("authorization", format!("Bearer {CUSTOMER_KEY}"))
            .header("content-type", "application/json")
            .header("mothplank-deadline-ms", self.deadline.as_millis().to_string());
        if let Some(key) = self.key {
            request = request.header("idempotency-key", key);
        }
        if self.stream {
            request = request.header("accept", "text/event-stream");
        }
        request.body(Full::new(Bytes::from(body.to_string()))).unwrap()
    }
}

impl Answer {
    /// Returns the body as JSON; null if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the reason why the request is not complete.
    pub fn reason(&self) -> String {
        self.json()["reason"].as_str().unwrap_or(&self.fault).to_owned()
    }

    fn no_answer(fault: String) -> Self {
        let (request, body, tokens) = Default::default();
        Self { outcome: Outcome::NoAnswer, status: 0, request, body, tokens, fault }
    }

    fn from_response(status: u16, headers: &HeaderMap, body: Bytes) -> Self {
        let text = |name| headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or_default();
        let mut answer = Self {
            status,
            request: text("mothplank-request").into(),
            body,
            ..Self::no_answer(String::new())
        };
        if text("content-type").starts_with("text/event-stream") {
            answer.read_events();
        }
        answer.outcome = match answer.json()["outcome"].as_str() {
            Some("complete") => Outcome::Complete,
            Some("not-run") => Outcome::NotRun,
            Some("unknown") => Outcome::Unknown,
            Some("failed") => Outcome::Failed,
            _ => Outcome::NoAnswer,
        };
        answer
    }

    /// Parses a stream; without exactly one final event the answer is not complete.
    fn read_events(&mut self) {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        let mut last = Vec::new();
        for event in text.split("\n\n").filter(|it| !it.trim().is_empty()) {
            let Some((name, data)) = event.split_once("\ndata: ") else { continue };
            if name != "event: token" {
                last.push(data.to_owned());
                continue;
            }
            let token: Value = serde_json::from_str(data).unwrap_or_default();
            let position = token["position"].as_u64().unwrap_or(u64::MAX);
            self.tokens.push((position, token["text"].as_str().unwrap_or_default().to_owned()));
        }
        self.body = if last.len() == 1 { last.remove(0).into() } else { Bytes::new() };
        if self.body.is_empty() {
            self.fault = "a stream without one last event".to_owned();
        }
    }
}

impl Caller {
    /// Creates a caller that keeps up to `idle` idle connections to each entry.
    pub fn open(runtime: Handle, idle: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(5)));
        // A request that was never sent is sent over another connection, as load balancers do.
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(idle)
            .retry_canceled_requests(idle > 0)
            .build(connector);
        Self { client, runtime }
    }

    /// Sends a request and waits for the answer until some time after the deadline.
    pub async fn send(&self, entry: SocketAddr, request: &PipelineRequest<'_>) -> Answer {
        let within = request.deadline + request.deadline.min(Duration::from_secs(2)) / 2;
        let exchange = async {
            let response =
                self.client.request(request.to_http(entry)).await.map_err(|e| format!("{e:?}"))?;
            let (parts, body) = response.into_parts();
            let body = body.collect().await.map_err(|e| format!("body: {e:?}"))?.to_bytes();
            Ok::<_, String>(Answer::from_response(parts.status.as_u16(), &parts.headers, body))
        };
        match tokio::time::timeout(within, exchange).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(fault)) => Answer::no_answer(fault),
            Err(_) => Answer::no_answer("no answer in time".to_owned()),
        }
    }

    /// Does the same as [`Caller::send`], blocking the thread.
    pub fn send_blocking(&self, entry: SocketAddr, request: &PipelineRequest<'_>) -> Answer {
        self.runtime.block_on(self.send(entry, request))
    }
}
