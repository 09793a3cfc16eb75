//! Sends requests to the entries and reads their answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde_json::{Value, json};
use tokio::task::JoinHandle;
use types::{Outcome, StepError, StepResult};

use super::balancer::Balancer;
use super::{AttemptResult, CallerRequest, Transport};

/// How long a caller waits for an answer after its deadline.
const GRACE: Duration = Duration::from_millis(500);

/// The interval between readiness probes of the entries, and the timeout of one probe.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// The HTTP client of the load tool.
pub(super) type Http = Client<HttpConnector, Full<Bytes>>;

/// Builds a client that keeps its connections open.
pub(super) fn http() -> Http {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_secs(1)));
    Client::builder(TokioExecutor::new()).pool_timer(TokioTimer::new()).build(connector)
}

/// Sends requests through the entries.
#[derive(Debug)]
pub struct EntryTransport {
    http: Http,
    balancer: Arc<Balancer>,
    probe: JoinHandle<()>,
}

impl EntryTransport {
    /// Creates the transport and starts to probe the entries.
    ///
    /// # Errors
    /// Returns an error if `entries` is empty.
    pub fn open(entries: &[SocketAddr]) -> StepResult<Self> {
        if entries.is_empty() {
            return Err(StepError::new("open entries", "the scenario names no entries"));
        }
        let (http, balancer) = (http(), Arc::new(Balancer::new(entries)));
        let probe = tokio::spawn(probe(http.clone(), balancer.clone()));
        Ok(Self { http, balancer, probe })
    }

    async fn send_to(&self, entry: SocketAddr, request: &CallerRequest) -> AttemptResult {
        let response = match self.http.request(build_request(entry, request)).await {
            Ok(response) => response,
            Err(e) if e.is_connect() => {
                self.balancer.skip(entry);
                return AttemptResult::Refused;
            }
            Err(_) => return AttemptResult::Broken,
        };
        read_answer(response).await.unwrap_or(AttemptResult::Broken)
    }
}

impl Drop for EntryTransport {
    fn drop(&mut self) {
        self.probe.abort();
    }
}

impl Transport for EntryTransport {
    async fn send(&self, request: CallerRequest) -> AttemptResult {
        let entry = self.balancer.choose();
        let timeout = request.budget + GRACE;
        tokio::time::timeout(timeout, self.send_to(entry, &request))
            .await
            .unwrap_or(AttemptResult::Broken)
    }
}

/// Probes the entries forever; the balancer skips those that are not ready.
async fn probe(http: Http, balancer: Arc<Balancer>) {
    loop {
        for entry in balancer.entries() {
            let response = http.get(format!("http://{entry}/readyz").parse().unwrap_or_default());
            let answer = tokio::time::timeout(PROBE_INTERVAL, response).await;
            if !matches!(answer, Ok(Ok(it)) if it.status().is_success()) {
                balancer.skip(entry);
            }
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Builds the input of a request: its marker, then padding.
pub(super) fn input(request: &CallerRequest) -> Value {
    json!({"marker": request.marker, "text": "lot ".repeat(request.class.padding / 4)})
}

fn build_request(entry: SocketAddr, request: &CallerRequest) -> Request<Full<Bytes>> {
    let mut body = json!({"input": input(request)});
    if request.class.tokens > 0 {
        body["max_tokens"] = request.class.tokens.into();
    }
    let budget = (request.budget.as_millis() as u64).max(1);
    let mut http_request =
        Request::post(format!("http://{entry}/v1/pipelines/{}", request.class.pipeline))
            .header("authorization", format!("Bearer {}", request.class.key))
            .header("content-type", "application/json")
            .header("mothplank-deadline-ms", budget);
    if request.class.once {
        http_request = http_request.header("idempotency-key", &request.marker);
    }
    if request.class.stream {
        http_request = http_request.header("accept", "text/event-stream");
    }
    let body = Full::new(Bytes::from(body.to_string()));
    http_request.body(body).unwrap_or_default()
}

/// Reads an answer. Returns `None` if it didn't arrive in full or can't be parsed.
async fn read_answer(response: Response<Incoming>) -> Option<AttemptResult> {
    let status = response.status().as_u16();
    let header = |name| response.headers().get(name)?.to_str().ok().map(str::to_owned);
    let seconds = header("retry-after").and_then(|it| it.parse().ok()).map(Duration::from_secs);
    let streamed = header("content-type").is_some_and(|it| it.starts_with("text/event-stream"));
    let body = response.into_body().collect().await.ok()?.to_bytes();
    let answer = if streamed { final_event(&body)? } else { serde_json::from_slice(&body).ok()? };
    let outcome = parse_outcome(answer.get("outcome")?.as_str()?)?;
    if outcome == Outcome::Complete {
        return Some(AttemptResult::Complete(answer.get("output")?.clone()));
    }
    let status = answer.get("status").and_then(Value::as_u64).map_or(status, |it| it as u16);
    let exact = answer.get("retry_after_ms").and_then(Value::as_u64).map(Duration::from_millis);
    Some(AttemptResult::Other { outcome, status, retry_after: exact.or(seconds) })
}

/// Returns the data of the event that ends a stream, or `None` if the stream ends without one.
fn final_event(body: &[u8]) -> Option<Value> {
    let text = std::str::from_utf8(body).ok()?;
    let event = text.trim_end().rsplit("\n\n").next()?;
    let mut kind = None;
    let mut data = None;
    for line in event.lines() {
        match line.split_once(':') {
            Some(("event", rest)) => kind = Some(rest.trim()),
            Some(("data", rest)) => data = serde_json::from_str(rest.trim()).ok(),
            _ => {}
        }
    }
    data.filter(|_| matches!(kind, Some("end" | "error")))
}

fn parse_outcome(word: &str) -> Option<Outcome> {
    Outcome::ALL.into_iter().find(|it| it.as_str() == word)
}
