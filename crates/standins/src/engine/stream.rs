//! One completion of a fake engine: waits for a place, then sends a token an event.

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
use crate::faults::Fate;
use crate::http::{self, Reply};

/// The share of the time to the first token that a fully cached prompt saves.
const CACHE_GAIN: f64 = 0.8;

/// The bytes of prompt that count as one token.
const PROMPT_TOKEN: usize = 4;

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

type Part = Result<Frame<Bytes>, io::Error>;

/// Answers `POST /v1/completions`.
pub(super) async fn complete(inner: Arc<FakeEngine>, request: Request<Bytes>) -> Reply {
    inner.counters.calls.fetch_add(1, Ordering::Relaxed);
    let mut call = match read(&request) {
        Ok(call) => call,
        Err(message) => return http::error(StatusCode::BAD_REQUEST, &message),
    };
    let id = call.request_id.clone();
    if let Some(mut reply) = refusal(&inner, &call) {
        inner.counters.refused.fetch_add(1, Ordering::Relaxed);
        http::echo(&mut reply, &id);
        return reply;
    }
    let fate = inner.faults.draw();
    if fate.error {
        let mut reply = http::error(StatusCode::INTERNAL_SERVER_ERROR, "failed on command");
        http::echo(&mut reply, &id);
        return reply;
    }
    if call.resume_from.is_some() {
        note_resume(&inner, &call);
    }
    let last = lock(&inner.last).replace((id.clone(), call.prompt.clone()));
    let mut shown = id.clone();
    if fate.swap_echo || fate.swap_body {
        let other = last.unwrap_or_else(|| (http::NO_CALL.to_owned(), String::new()));
        (call.request_id, call.prompt) = other;
        if fate.swap_echo {
            shown = call.request_id.clone();
        }
    }
    let (parts, body) = mpsc::channel(16);
    tokio::spawn(run(inner, id, call, fate, parts));
    let body = futures_util::stream::unfold(body, |mut body| async {
        body.recv().await.map(|part| (part, body))
    });
    let body = StreamBody::new(body.boxed()).boxed_unsync();
    let mut reply = http::typed(StatusCode::OK, "text/event-stream", body);
    http::echo(&mut reply, &shown);
    reply
}

fn read(request: &Request<Bytes>) -> Result<Completion, String> {
    let call: Completion = serde_json::from_slice(request.body()).map_err(|e| e.to_string())?;
    match http::call_id(request) {
        Some(id) if id != call.request_id => Err("x-request-id is not the body's".to_owned()),
        _ => Ok(call),
    }
}

fn refusal(inner: &FakeEngine, call: &Completion) -> Option<Reply> {
    if inner.faults.get().draining {
        return Some(http::leaving());
    }
    let orders = lock(&inner.orders);
    if !orders.is_ready() {
        return Some(http::error(StatusCode::SERVICE_UNAVAILABLE, "loading"));
    }
    if !orders.serves(call.model.as_deref().unwrap_or_default()) {
        return Some(http::error(StatusCode::NOT_FOUND, "the model is not loaded"));
    }
    drop(orders);
    if inner.slots.load(Duration::ZERO).waiting >= inner.config.queue {
        return Some(http::error(StatusCode::TOO_MANY_REQUESTS, "the queue is full"));
    }
    None
}

fn note_resume(inner: &FakeEngine, call: &Completion) {
    inner.counters.resumed.fetch_add(1, Ordering::Relaxed);
    let delivered = call.delivered.as_deref().unwrap_or_default();
    if delivered != text::whole(&call.prompt, call.resume_from.unwrap_or(0)) {
        inner.counters.mismatched.fetch_add(1, Ordering::Relaxed);
    }
}

/// Runs a stream to its end, until it is cancelled or until its reader is gone.
async fn run(
    inner: Arc<FakeEngine>,
    id: String,
    call: Completion,
    fate: Fate,
    parts: mpsc::Sender<Part>,
) {
    let (cancel, mut cancelled) = watch::channel(false);
    lock(&inner.calls).insert(id.clone(), cancel);
    let ended = tokio::select! {
        ended = send(&inner, &call, &fate, &parts) => ended,
        _ = cancelled.wait_for(|it| *it) => false,
        () = parts.closed() => false,
    };
    lock(&inner.calls).remove(&id);
    let counter = if ended { &inner.counters.finished } else { &inner.counters.cancelled };
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Sends the events; returns whether the stream came to its end.
async fn send(
    inner: &FakeEngine,
    call: &Completion,
    fate: &Fate,
    parts: &mpsc::Sender<Part>,
) -> bool {
    let Some(place) = inner.slots.take(call.priority).await else { return false };
    if fate.hang {
        std::future::pending::<()>().await;
    }
    let cached = lock(&inner.cache).visit(&call.prompt);
    let first = Duration::from(inner.config.first).mul_f64(1.0 - CACHE_GAIN * cached);
    let step = Duration::from(inner.config.token).mul_f64(fate.slow);
    let from = call.resume_from.unwrap_or(0);
    let end = call.max_tokens.unwrap_or(inner.config.tokens).max(from);
    let mut due = Instant::now() + fate.late + first.mul_f64(fate.slow);
    for position in from..end {
        if fate.cut && position == from + (end - from) / 2 {
            return cut(parts, position).await;
        }
        tokio::time::sleep_until(due.into()).await;
        due += step;
        let text = text::token(&call.prompt, position);
        let mut event = event(&call.request_id, position, &text);
        if position + 1 == end {
            finish(&mut event, call, end - from, place.held());
        }
        inner.counters.tokens.fetch_add(1, Ordering::Relaxed);
        if !push(parts, &event.to_string()).await {
            return false;
        }
    }
    if from == end {
        let mut event = event(&call.request_id, end, "");
        finish(&mut event, call, 0, place.held());
        push(parts, &event.to_string()).await;
    }
    push(parts, "[DONE]").await
}

/// Ends a stream before its end: by an error at an even position, which closes the connection, and
/// by an end that looks orderly at an odd one.
async fn cut(parts: &mpsc::Sender<Part>, position: u64) -> bool {
    if position.is_multiple_of(2) {
        let _ = parts.send(Err(io::Error::other("cut"))).await;
    }
    false
}

fn event(id: &str, position: u64, text: &str) -> serde_json::Value {
    let choice = json!({"index": 0, "text": text, "finish_reason": null});
    json!({"id": id, "position": position, "choices": [choice]})
}

fn finish(event: &mut serde_json::Value, call: &Completion, tokens: u64, busy: Duration) {
    event["choices"][0]["finish_reason"] = "length".into();
    event["usage"] = json!({
        "prompt_tokens": call.prompt.len().div_ceil(PROMPT_TOKEN),
        "completion_tokens": tokens,
        "busy_us": busy.as_micros() as u64,
    });
}

async fn push(parts: &mpsc::Sender<Part>, data: &str) -> bool {
    let frame = Frame::data(Bytes::from(format!("data: {data}\n\n")));
    parts.send(Ok(frame)).await.is_ok()
}
