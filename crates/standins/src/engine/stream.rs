//! Completions of a fake engine: a call waits for a slot, then streams one event per token.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::{Request, StatusCode};
use serde::Deserialize;
use serde_json::json;
use tokio::sync::{mpsc, watch};

use super::{FakeEngine, lock, text};
use crate::faults::CallFaults;
use crate::http::{self, Reply};

/// The share of the time to the first token that a fully cached prompt saves.
const CACHE_SAVING: f64 = 0.8;

/// The number of prompt bytes that count as one token.
const PROMPT_TOKEN_BYTES: usize = 4;

/// The body of `POST /v1/completions`.
#[derive(Clone, Debug, Deserialize)]
struct Completion {
    #[serde(default)]
    model: Option<String>,
    prompt: String,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    priority: u8,
    request_id: String,
    #[serde(default)]
    resume_from: Option<u64>,
    #[serde(default)]
    delivered: Option<String>,
}

/// A part of the response body; an error closes the connection.
type Part = Result<Frame<Bytes>, io::Error>;

/// Builds the response to `POST /v1/completions` and starts its stream.
pub(super) async fn complete(engine: Arc<FakeEngine>, request: Request<Bytes>) -> Reply {
    engine.counters.calls.fetch_add(1, Ordering::Relaxed);
    let mut call = match parse_call(&request) {
        Ok(call) => call,
        Err(message) => return http::error(StatusCode::BAD_REQUEST, &message),
    };
    let id = call.request_id.clone();
    if let Some(mut reply) = refusal(&engine, &call) {
        engine.counters.refused.fetch_add(1, Ordering::Relaxed);
        http::set_call_id(&mut reply, &id);
        return reply;
    }
    let faults = engine.faults.draw();
    if faults.error {
        let mut reply = http::error(StatusCode::INTERNAL_SERVER_ERROR, "failed on command");
        http::set_call_id(&mut reply, &id);
        return reply;
    }
    if call.resume_from.is_some() {
        count_resume(&engine, &call);
    }
    let previous = lock(&engine.last).replace((id.clone(), call.prompt.clone()));
    let mut echoed_id = id.clone();
    if faults.swap_echo || faults.swap_body {
        let other = previous.unwrap_or_else(|| (http::NIL_CALL_ID.to_owned(), String::new()));
        (call.request_id, call.prompt) = other;
        if faults.swap_echo {
            echoed_id = call.request_id.clone();
        }
    }
    let (parts, body) = mpsc::channel(16);
    tokio::spawn(run_stream(engine, id, call, faults, parts));
    let body = futures_util::stream::unfold(body, |mut body| async {
        body.recv().await.map(|part| (part, body))
    });
    let body = StreamBody::new(body.boxed()).boxed_unsync();
    let mut reply = http::with_type(StatusCode::OK, "text/event-stream", body);
    http::set_call_id(&mut reply, &echoed_id);
    reply
}

fn parse_call(request: &Request<Bytes>) -> Result<Completion, String> {
    let call: Completion = serde_json::from_slice(request.body()).map_err(|e| e.to_string())?;
    match http::call_id(request) {
        Some(id) if id != call.request_id => Err("x-request-id is not the body's".to_owned()),
        _ => Ok(call),
    }
}

/// Returns the response that refuses a call, or `None` if the call can be taken.
fn refusal(engine: &FakeEngine, call: &Completion) -> Option<Reply> {
    if engine.faults.get().draining {
        return Some(http::draining());
    }
    let orders = lock(&engine.orders);
    if !orders.is_ready() {
        return Some(http::error(StatusCode::SERVICE_UNAVAILABLE, "loading"));
    }
    if !orders.serves(call.model.as_deref().unwrap_or_default()) {
        return Some(http::error(StatusCode::NOT_FOUND, "the model is not loaded"));
    }
    drop(orders);
    if engine.slots.load(Duration::ZERO).waiting >= engine.config.queue {
        return Some(http::error(StatusCode::TOO_MANY_REQUESTS, "the queue is full"));
    }
    None
}

/// Counts a resumed call, and whether its delivered text doesn't match the prompt.
fn count_resume(engine: &FakeEngine, call: &Completion) {
    engine.counters.resumed.fetch_add(1, Ordering::Relaxed);
    let delivered = call.delivered.as_deref().unwrap_or_default();
    if delivered != text::full_text(&call.prompt, call.resume_from.unwrap_or(0)) {
        engine.counters.mismatched.fetch_add(1, Ordering::Relaxed);
    }
}

/// Runs a stream until it ends, is cancelled or its reader disconnects.
async fn run_stream(
    engine: Arc<FakeEngine>,
    id: String,
    call: Completion,
    faults: CallFaults,
    parts: mpsc::Sender<Part>,
) {
    let (cancel, mut cancelled) = watch::channel(false);
    lock(&engine.calls).insert(id.clone(), cancel);
    let completed = tokio::select! {
        completed = send_tokens(&engine, &call, &faults, &parts) => completed,
        _ = cancelled.wait_for(|it| *it) => false,
        () = parts.closed() => false,
    };
    lock(&engine.calls).remove(&id);
    let counter = if completed { &engine.counters.finished } else { &engine.counters.cancelled };
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Sends the events of a stream. Returns whether the stream was sent to its end.
async fn send_tokens(
    engine: &FakeEngine,
    call: &Completion,
    faults: &CallFaults,
    parts: &mpsc::Sender<Part>,
) -> bool {
    let Some(slot) = engine.slots.acquire(call.priority).await else { return false };
    if faults.hang {
        std::future::pending::<()>().await;
    }
    let cached = lock(&engine.cache).lookup_and_store(&call.prompt);
    let first = Duration::from(engine.config.first).mul_f64(1.0 - CACHE_SAVING * cached);
    let step = Duration::from(engine.config.token).mul_f64(faults.slow);
    let from = call.resume_from.unwrap_or(0);
    let end = call.max_tokens.unwrap_or(engine.config.tokens).max(from);
    let mut due = Instant::now() + faults.late + first.mul_f64(faults.slow);
    for position in from..end {
        if faults.cut && position == from + (end - from) / 2 {
            return break_off(parts, position).await;
        }
        tokio::time::sleep_until(due.into()).await;
        due += step;
        let text = text::token(&call.prompt, position);
        let mut event = event(&call.request_id, position, &text);
        if position + 1 == end {
            add_usage(&mut event, call, end - from, slot.held());
        }
        engine.counters.tokens.fetch_add(1, Ordering::Relaxed);
        if !send_event(parts, &event.to_string()).await {
            return false;
        }
    }
    if from == end {
        let mut event = event(&call.request_id, end, "");
        add_usage(&mut event, call, 0, slot.held());
        send_event(parts, &event.to_string()).await;
    }
    send_event(parts, "[DONE]").await
}

/// Breaks off a stream. At an even position it sends an error, which closes the connection. At an
/// odd position the body ends as if it were complete.
async fn break_off(parts: &mpsc::Sender<Part>, position: u64) -> bool {
    if position.is_multiple_of(2) {
        let _ = parts.send(Err(io::Error::other("cut"))).await;
    }
    false
}

fn event(id: &str, position: u64, text: &str) -> serde_json::Value {
    let choice = json!({"index": 0, "text": text, "finish_reason": null});
    json!({"id": id, "position": position, "choices": [choice]})
}

/// Completes the last event of a stream with the finish reason and the usage.
fn add_usage(event: &mut serde_json::Value, call: &Completion, tokens: u64, busy: Duration) {
    event["choices"][0]["finish_reason"] = "length".into();
    event["usage"] = json!({
        "prompt_tokens": call.prompt.len().div_ceil(PROMPT_TOKEN_BYTES),
        "completion_tokens": tokens,
        "busy_us": busy.as_micros() as u64,
    });
}

/// Sends an event. Returns `false` if the reader has disconnected.
async fn send_event(parts: &mpsc::Sender<Part>, data: &str) -> bool {
    let frame = Frame::data(Bytes::from(format!("data: {data}\n\n")));
    parts.send(Ok(frame)).await.is_ok()
}
