//! Reads a streamed answer: tokens, then one `end` or `error` event. A stream without either is
//! incomplete.

use std::net::SocketAddr;

use eyre::Result;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{Value, json};

use super::{AttemptResult, RETRY_PAUSE, build_request, classify};
use crate::client::{Client, HttpResponse, SendError};
use crate::config::CallArgs;
use crate::exit_codes::ExitCode;
use crate::output::{Format, note, write_line};

/// The maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 16 << 20;

/// An event of the stream.
#[derive(Debug, PartialEq, Eq)]
struct Event {
    kind: String,
    data: String,
}

/// Sends a request once and prints the tokens as they arrive.
///
/// # Errors
/// Returns an error if a token cannot be printed.
pub(super) async fn try_once(
    client: &Client,
    entry: SocketAddr,
    call: &CallArgs,
    format: Format,
) -> Result<AttemptResult> {
    let response = match client.send_streaming(entry, &build_request(call)).await {
        Ok(response) => response,
        Err(SendError::NotSent(why)) => {
            return Ok(AttemptResult::Retry(RETRY_PAUSE, ExitCode::NotRun, why));
        }
        Err(SendError::Lost(why)) => {
            return Ok(AttemptResult::Retry(RETRY_PAUSE, ExitCode::Unknown, why));
        }
    };
    let (parts, mut body) = response.into_parts();
    let kind = parts.headers.get(http::header::CONTENT_TYPE).and_then(|it| it.to_str().ok());
    let streamed = kind.is_some_and(|it| it.starts_with("text/event-stream"));
    if !streamed {
        let bytes = body.collect().await.map(|it| it.to_bytes()).unwrap_or_default();
        return Ok(classify(&HttpResponse {
            status: parts.status,
            headers: parts.headers,
            body: bytes,
        }));
    }
    let mut buffer = Vec::new();
    while let Some(event) = next_event(&mut body, &mut buffer).await {
        match event.kind.as_str() {
            "token" => print_token(format, &event.data)?,
            "end" | "error" => {
                let (status, headers) = (parts.status, parts.headers.clone());
                return Ok(classify(&HttpResponse { status, headers, body: event.data.into() }));
            }
            _ => {}
        }
    }
    Ok(AttemptResult::Retry(
        RETRY_PAUSE,
        ExitCode::Unknown,
        "the stream ended without an end event".to_owned(),
    ))
}

fn print_token(format: Format, data: &str) -> Result<()> {
    let token: Value = serde_json::from_str(data).unwrap_or_default();
    match format {
        Format::Json => write_line(&json!({"token": token}).to_string()),
        Format::Human => {
            note(&format!("{:>5}  {}", token["position"], token["text"]));
            Ok(())
        }
    }
}

/// Reads until the buffer contains a complete event. Returns `None` if the stream ends or fails, or
/// if the event is too large.
async fn next_event(body: &mut Incoming, buffer: &mut Vec<u8>) -> Option<Event> {
    loop {
        if let Some(event) = take_event(buffer) {
            return Some(event);
        }
        if buffer.len() > MAX_EVENT_BYTES {
            return None;
        }
        let frame = body.frame().await?.ok()?;
        if let Ok(data) = frame.into_data() {
            buffer.extend_from_slice(&data);
        }
    }
}

fn take_event(buffer: &mut Vec<u8>) -> Option<Event> {
    let end = buffer.windows(2).position(|it| it == b"\n\n")?;
    let block: Vec<u8> = buffer.drain(..end + 2).collect();
    let mut event = Event { kind: "message".to_owned(), data: String::new() };
    for line in String::from_utf8_lossy(&block).lines() {
        let Some((field, value)) = line.split_once(':') else { continue };
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => event.kind = value.to_owned(),
            "data" => event.data.push_str(value),
            _ => {}
        }
    }
    Some(event)
}
