//! Sinks for generated tokens.

use std::future::Future;
use std::time::Instant;

use bytes::Bytes;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::time::timeout_at;

use crate::outcome::{Reason, RequestError};
use crate::reply::Reply;

/// A receiver of generated tokens.
pub(crate) trait Sink: Send {
    /// Passes a token on.
    fn token(
        &mut self,
        position: u64,
        text: &str,
        deadline: Instant,
    ) -> impl Future<Output = Result<(), RequestError>> + Send;
}

/// Drops tokens, for a caller that waits for the complete answer.
pub(crate) struct NoSink;

impl Sink for NoSink {
    async fn token(
        &mut self,
        _position: u64,
        _text: &str,
        _by: Instant,
    ) -> Result<(), RequestError> {
        Ok(())
    }
}

/// An item of a streamed answer: tokens, then exactly one last item.
#[derive(Debug)]
pub(crate) enum Item {
    /// A token, encoded as an event.
    Token(Bytes),
    /// The complete answer, or the problem.
    Last(Reply),
}

/// Sends tokens to the caller as events, and waits for a slow caller until the deadline.
pub(crate) struct EventSink {
    events: mpsc::Sender<Item>,
}

#[derive(Serialize)]
struct Token<'a> {
    position: u64,
    text: &'a str,
}

impl EventSink {
    pub(crate) fn new(events: mpsc::Sender<Item>) -> Self {
        Self { events }
    }
}

impl Sink for EventSink {
    async fn token(
        &mut self,
        position: u64,
        text: &str,
        deadline: Instant,
    ) -> Result<(), RequestError> {
        let data = serde_json::to_vec(&Token { position, text }).unwrap_or_default();
        let sending = self.events.send(Item::Token(event("token", &data)));
        match timeout_at(deadline.into(), sending).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(RequestError::new(Reason::CallerGone, "the caller left")),
            Err(_) => Err(RequestError::new(Reason::Deadline, "the caller read too slowly")),
        }
    }
}

/// Sends tokens to a caller without waiting for it, so that the run goes on when the caller leaves.
/// The channel has room for every token.
pub(crate) struct DetachedSink {
    events: Option<mpsc::Sender<Item>>,
}

impl DetachedSink {
    pub(crate) fn new(events: Option<mpsc::Sender<Item>>) -> Self {
        Self { events }
    }
}

impl Sink for DetachedSink {
    async fn token(&mut self, position: u64, text: &str, _by: Instant) -> Result<(), RequestError> {
        if let Some(events) = &self.events {
            let data = serde_json::to_vec(&Token { position, text }).unwrap_or_default();
            if events.try_send(Item::Token(event("token", &data))).is_err() {
                self.events = None;
            }
        }
        Ok(())
    }
}

/// Encodes one event. JSON has no line breaks outside its escapes, so it fits into one data line.
pub(crate) fn event(name: &str, data: &[u8]) -> Bytes {
    let mut event = Vec::with_capacity(name.len() + data.len() + 16);
    event.extend_from_slice(b"event: ");
    event.extend_from_slice(name.as_bytes());
    event.extend_from_slice(b"\ndata: ");
    event.extend_from_slice(data);
    event.extend_from_slice(b"\n\n");
    event.into()
}
