//! Calls to model engines: streams of tokens whose positions are checked.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Uri;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;
use types::{CallId, Micros, ModelName, Priority, Tokens};

use crate::body;
use crate::calls::{Calls, Target};
use crate::cancel::CancelOnDrop;
use crate::exchange::{self, Opened, Outgoing};
use crate::fault::{CallError, Fault, Sent, Unsent};
use crate::limits::Limits;
use crate::pool::Lease;
use crate::sse::DataLines;
use crate::watch::Watch;

const COMPLETIONS_PATH: &str = "/v1/completions";

/// The data of the event after the last token.
const DONE: &[u8] = b"[DONE]";

/// A request to generate tokens.
#[derive(Clone, Copy, Debug)]
pub struct Generation<'a> {
    /// The id of this call.
    pub call: CallId,
    /// The model.
    pub model: Option<&'a ModelName>,
    /// The prompt.
    pub prompt: &'a str,
    /// The maximum number of tokens, including those that were already delivered.
    pub tokens: Tokens,
    /// The priority.
    pub priority: Priority,
    /// The position to resume from; 0 to start.
    pub position: u64,
    /// The text of all tokens before `position`.
    pub delivered: &'a str,
}

#[derive(Serialize)]
struct RequestBody<'a> {
    model: Option<&'a ModelName>,
    prompt: &'a str,
    max_tokens: u64,
    stream: bool,
    priority: Priority,
    request_id: CallId,
    #[serde(skip_serializing_if = "Option::is_none")]
    resume_from: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delivered: Option<&'a str>,
}

#[derive(Deserialize)]
struct Chunk {
    id: CallId,
    position: u64,
    choices: Vec<Choice>,
    #[serde(default)]
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Usage {
    #[serde(default)]
    completion_tokens: u64,
    #[serde(default)]
    busy_us: Micros,
}

/// The usage that an engine reports at the end of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineUsage {
    /// The number of tokens that it generated.
    pub tokens: Tokens,
    /// The busy time of the engine.
    pub busy: Micros,
}

/// An event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// A token, at the position after that of the previous token.
    Token {
        /// The position of the token, from 0.
        position: u64,
        /// The text of the token.
        text: String,
    },
    /// The end of a complete stream.
    End(EngineUsage),
}

/// A stream of tokens. Dropping it before its end cancels the call at the engine.
#[derive(Debug)]
pub struct EngineStream {
    opened: Option<(Lease, hyper::body::Incoming)>,
    lines: DataLines,
    /// The number of bytes read so far.
    size: u64,
    call: CallId,
    /// The position of the next token.
    next_position: u64,
    limits: Limits,
    watch: Watch,
    sent: Instant,
    /// The time to the first token or, before there is one, to the head of the response.
    pub first_byte: Duration,
    /// Whether an event was received. Engines may send the head at once and the first token a second
    /// later, so the limit of the first byte applies until then.
    started: bool,
    usage: Option<EngineUsage>,
    cancel: CancelOnDrop,
}

impl Calls {
    /// Starts a stream at the first token, or after the tokens that were already delivered. While the
    /// stream is silent, it goes on, and `watch` reports that.
    ///
    /// # Errors
    /// Returns what went wrong and whether the call may have run.
    pub async fn generate(
        &self,
        target: Target,
        generation: Generation<'_>,
        limits: Limits,
        watch: Watch,
    ) -> Result<EngineStream, CallError> {
        let resumed = generation.position > 0;
        let body = RequestBody {
            model: generation.model,
            prompt: generation.prompt,
            max_tokens: generation.tokens.0,
            stream: true,
            priority: generation.priority,
            request_id: generation.call,
            resume_from: resumed.then_some(generation.position),
            delivered: resumed.then_some(generation.delivered),
        };
        let body = serde_json::to_vec(&body).map_err(|e| CallError {
            step: "write body",
            peer: target.address,
            fault: Fault::Malformed(e.to_string()),
            sent: Sent::No(Unsent::new()),
            reused: false,
        })?;
        let path = Uri::from_static(COMPLETIONS_PATH);
        let (body, fresh) = (Bytes::from(body), target.fresh);
        let out = Outgoing { call: generation.call, path, body, key: None, limits, watch, fresh };
        // Armed before the first byte leaves: a call that is dropped while it waits for the head may
        // be running already.
        let mut cancel = CancelOnDrop::arm(self, target.address, generation.call);
        let opened = exchange::open(&self.pool(target.address), &out).await;
        let opened = opened.inspect_err(|e| {
            if !matches!(e.sent, Sent::Maybe) {
                cancel.disarm();
            }
        })?;
        let Opened { lease, response, sent, first_byte } = opened;
        Ok(EngineStream {
            opened: Some((lease, response.into_body())),
            lines: DataLines::default(),
            size: 0,
            call: generation.call,
            next_position: generation.position,
            limits,
            watch: out.watch,
            sent,
            first_byte,
            started: false,
            usage: None,
            cancel,
        })
    }
}

impl EngineStream {
    /// Returns the next token in order, or the end of a complete stream.
    ///
    /// # Errors
    /// Returns an error where the stream is truncated or its deadline passes, skips a position or belongs to
    /// another call. After an error or the end, every further call returns an error.
    pub async fn next(&mut self) -> Result<EngineEvent, CallError> {
        loop {
            let step = match self.lines.next() {
                Ok(Some(data)) if data == DONE => return self.finish().await,
                Ok(Some(data)) => self.handle_event(&data),
                Ok(None) => self.read().await.map(|()| None),
                Err(fault) => Err(fault),
            };
            match step {
                Ok(Some(event)) => return Ok(event),
                Ok(None) => {}
                Err(fault) => return Err(self.fail(fault)),
            }
        }
    }

    /// Returns the engine's address.
    pub fn peer(&self) -> SocketAddr {
        self.cancel.address()
    }

    /// Returns the time since the call was sent.
    pub fn total(&self) -> Duration {
        self.sent.elapsed()
    }

    async fn read(&mut self) -> Result<(), Fault> {
        let Some((lease, body)) = &mut self.opened else {
            return Err(Fault::Truncated("the stream has ended".to_owned()));
        };
        let mut limits = self.limits;
        if !self.started {
            limits.idle = limits.first_byte.saturating_sub(self.sent.elapsed());
        }
        let silent = || lease.silent(self.sent, &self.watch);
        match body::next(body, &limits, silent).await? {
            Some(data) => {
                self.size += data.len() as u64;
                if self.size > limits.max_bytes {
                    return Err(Fault::TooLarge(limits.max_bytes));
                }
                self.lines.push(&data);
                Ok(())
            }
            None => Err(Fault::Truncated("the stream closed before its end event".to_owned())),
        }
    }

    /// Handles one event; returns its token, if it has a new one.
    fn handle_event(&mut self, data: &[u8]) -> Result<Option<EngineEvent>, Fault> {
        let chunk: Chunk =
            serde_json::from_slice(data).map_err(|e| Fault::Malformed(e.to_string()))?;
        if chunk.id != self.call {
            return Err(Fault::IdMismatch);
        }
        if !self.started {
            self.started = true;
            self.first_byte = self.sent.elapsed();
        }
        if self.usage.is_some() {
            return Err(Fault::Malformed("an event after the last token".to_owned()));
        }
        let Some(choice) = chunk.choices.into_iter().next() else {
            return Err(Fault::Malformed("an event without a choice".to_owned()));
        };
        if choice.finish_reason.is_some() {
            let usage = chunk.usage.unwrap_or(Usage { completion_tokens: 0, busy_us: Micros(0) });
            let tokens = Tokens(usage.completion_tokens);
            self.usage = Some(EngineUsage { tokens, busy: usage.busy_us });
        }
        self.check_token(chunk.position, choice)
    }

    /// Checks the position of a token. An engine that resumes may repeat tokens: they are dropped. A
    /// skipped position is an error, as a stream with lost tokens must not pass for complete.
    fn check_token(&mut self, position: u64, choice: Choice) -> Result<Option<EngineEvent>, Fault> {
        if position > self.next_position {
            return Err(Fault::Gap(self.next_position, position));
        }
        if position < self.next_position
            || (choice.text.is_empty() && choice.finish_reason.is_some())
        {
            return Ok(None);
        }
        self.next_position += 1;
        Ok(Some(EngineEvent::Token { position, text: choice.text }))
    }

    /// Handles the end event. The stream is complete only if a finish reason came before it.
    async fn finish(&mut self) -> Result<EngineEvent, CallError> {
        let Some(usage) = self.usage else {
            return Err(
                self.fail(Fault::Truncated("the end came without a finish reason".to_owned()))
            );
        };
        self.cancel.disarm();
        let Some((lease, mut body)) = self.opened.take() else {
            return Err(self.fail(Fault::Truncated("the stream has ended".to_owned())));
        };
        // The stream is complete. The connection is reused only if the body ends properly, too.
        let end = body::next(&mut body, &self.limits, || {});
        let ended = matches!(timeout(self.limits.idle, end).await, Ok(Ok(None)));
        if ended && self.lines.is_empty() {
            lease.give_back();
        }
        Ok(EngineEvent::End(usage))
    }

    fn fail(&mut self, fault: Fault) -> CallError {
        let peer = self.cancel.address();
        let mut reused = false;
        if let Some((lease, _)) = self.opened.take() {
            reused = lease.reused;
            drop(lease);
        }
        CallError { step: "read stream", peer, fault, sent: Sent::Maybe, reused }
    }
}
