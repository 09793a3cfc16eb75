//! The baseline policy: the load tool itself calls the stages' upstreams, round robin and with
//! immediate retries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use serde_json::{Value, json};
use types::{CallId, Outcome, PipelineName, PoolKind, StepError, StepResult};

use super::client::{self, Http};
use super::scenario::{Baseline, BaselineStage, Class};
use super::{AttemptResult, CallerRequest, Transport};

/// Sends requests directly to the upstreams.
#[derive(Debug)]
pub struct DirectTransport {
    http: Http,
    baseline: Baseline,
    /// The number of calls so far to each stage of a pipeline, for the round robin.
    call_counts: BTreeMap<PipelineName, Vec<AtomicUsize>>,
}

impl DirectTransport {
    /// Creates the transport.
    ///
    /// # Errors
    /// Returns an error if a class uses a pipeline that the baseline doesn't have, or if a stage has
    /// no upstreams.
    pub fn open(baseline: &Baseline, classes: &[Class]) -> StepResult<Self> {
        let unknown = |it: &&Class| !baseline.pipelines.contains_key(&it.pipeline);
        if let Some(class) = classes.iter().find(unknown) {
            return Err(StepError::new("open baseline", "unknown pipeline").at(&class.pipeline));
        }
        let stages = baseline.pipelines.values().flatten();
        if let Some(stage) = stages.clone().find(|it| it.upstreams.is_empty()) {
            return Err(StepError::new("open baseline", "no upstreams").at(&stage.name));
        }
        let call_counts = baseline.pipelines.iter();
        let call_counts = call_counts
            .map(|(name, stages)| {
                (name.clone(), stages.iter().map(|_| AtomicUsize::new(0)).collect())
            })
            .collect();
        Ok(Self { http: client::http(), baseline: baseline.clone(), call_counts })
    }

    /// Runs a pipeline. Returns the last stage's output, or `None` if a stage failed.
    async fn run_pipeline(&self, request: &CallerRequest) -> Option<Value> {
        let stages = self.baseline.pipelines.get(&request.class.pipeline)?;
        let call_counts = self.call_counts.get(&request.class.pipeline)?;
        let mut previous = Value::Null;
        for (stage, call_count) in stages.iter().zip(call_counts) {
            previous = self.run_stage(request, stage, call_count, &previous).await?;
        }
        Some(previous)
    }

    /// Runs a stage with up to the configured number of attempts. A plain service's call must not be
    /// repeated, so it gets one attempt.
    async fn run_stage(
        &self,
        request: &CallerRequest,
        stage: &BaselineStage,
        call_count: &AtomicUsize,
        previous: &Value,
    ) -> Option<Value> {
        let attempts = if stage.kind == PoolKind::Service { 1 } else { self.baseline.attempts };
        for _ in 0..attempts {
            let next = call_count.fetch_add(1, Ordering::Relaxed) % stage.upstreams.len();
            let timeout = match Duration::from(self.baseline.timeout) {
                Duration::ZERO => request.budget,
                timeout => timeout,
            };
            let call = self.call_upstream(request, stage, stage.upstreams[next], previous);
            if let Ok(Some(output)) = tokio::time::timeout(timeout, call).await {
                return Some(output);
            }
        }
        None
    }

    /// Calls an upstream once. Returns its output, or `None` if the call failed.
    async fn call_upstream(
        &self,
        request: &CallerRequest,
        stage: &BaselineStage,
        upstream: SocketAddr,
        previous: &Value,
    ) -> Option<Value> {
        let call = CallId::random().to_string();
        let (path, body) = match stage.kind {
            PoolKind::Generate => ("/v1/completions", completion_body(request, &call, previous)),
            PoolKind::Service => {
                (stage.path.as_deref()?, stage_body(request, stage, &call, previous))
            }
            _ => ("/v1/stage", stage_body(request, stage, &call, previous)),
        };
        let mut http_request = Request::post(format!("http://{upstream}{path}"))
            .header("x-request-id", &call)
            .header("content-type", "application/json");
        if request.class.once {
            http_request = http_request.header("idempotency-key", &request.marker);
        }
        let http_request = http_request.body(Full::new(Bytes::from(body.to_string()))).ok()?;
        let response = self.http.request(http_request).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let body = response.into_body().collect().await.ok()?.to_bytes();
        match stage.kind {
            PoolKind::Generate => join_tokens(&body).map(Value::String),
            _ => serde_json::from_slice::<Value>(&body).ok()?.get("output").cloned(),
        }
    }
}

impl Transport for DirectTransport {
    async fn send(&self, request: CallerRequest) -> AttemptResult {
        let start = Instant::now();
        match tokio::time::timeout(request.budget, self.run_pipeline(&request)).await {
            Ok(Some(output)) => AttemptResult::Complete(output),
            Ok(None) if start.elapsed() < request.budget => {
                AttemptResult::Other { outcome: Outcome::Failed, status: 502, retry_after: None }
            }
            _ => AttemptResult::Other { outcome: Outcome::Failed, status: 504, retry_after: None },
        }
    }
}

/// Builds the body of a call to a stage or a plain service.
fn stage_body(
    request: &CallerRequest,
    stage: &BaselineStage,
    call: &str,
    previous: &Value,
) -> Value {
    json!({
        "call": call, "request": call, "stage": stage.name, "priority": request.class.priority,
        "deadline_ms": request.budget.as_millis() as u64, "input": client::input(request),
        "previous": previous,
    })
}

/// Builds the body of a call to an engine.
fn completion_body(request: &CallerRequest, call: &str, previous: &Value) -> Value {
    let prompt = json!({"input": client::input(request), "previous": previous}).to_string();
    json!({
        "prompt": prompt, "max_tokens": request.class.tokens, "stream": true,
        "priority": request.class.priority, "request_id": call,
    })
}

/// Joins the tokens of a stream. Returns `None` if the stream is incomplete.
fn join_tokens(body: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(body).ok()?;
    let mut joined = String::new();
    for event in text.split("\n\n").filter_map(|it| it.strip_prefix("data: ")) {
        if event == "[DONE]" {
            return Some(joined);
        }
        let event: Value = serde_json::from_str(event).ok()?;
        joined.push_str(event.get("choices")?.get(0)?.get("text")?.as_str()?);
    }
    None
}
