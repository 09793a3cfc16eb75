//! Forwards a stream to its caller event by event, from as many engines as needed.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use super::{AttachedStream, EngineAnswer, Resumption, Streams, Tries};
use crate::dialect::Dialect;
use crate::events::Event;
use crate::reply::{Refusal, Truncated};
use crate::request::CallerRequest;
use crate::upstream::Upstream;

/// A resumable stream that sends nothing for this long, or for [`STALL_PAUSES`] of its route's
/// pauses if that is longer, is resumed at another engine. A sound engine may be silent for a second;
/// callers give up after two seconds or eight such pauses.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// See [`STALL_TIMEOUT`].
const STALL_PAUSES: u32 = 3;

/// Forwards a stream to its caller.
pub(super) struct Pump<D: Dialect> {
    pub(super) streams: Arc<Streams<D>>,
    pub(super) service: Arc<str>,
    pub(super) request: CallerRequest,
    pub(super) tries: Tries,
    /// The number of the last event sent to the caller.
    pub(super) last_event: Option<u64>,
    pub(super) events: mpsc::Sender<Result<Bytes, Truncated>>,
    /// When bytes of the stream came last.
    pub(super) heard: Instant,
}

/// Why a stream did not go on at another engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NotResumed {
    /// Its route does not allow it, or the caller has no event yet.
    NotAllowed,
    /// It has run as often as its route allows.
    NoAttempts,
    /// The version of the engine that ran it isn't known.
    NoVersion,
    /// The caller left.
    CallerLeft,
    /// Another engine answered with something else than a stream.
    NoStream,
    /// No other engine took it.
    Refused(Refusal),
}

impl fmt::Display for NotResumed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NotResumed::NotAllowed => f.write_str("not resumable"),
            NotResumed::NoAttempts => f.write_str("no attempts left"),
            NotResumed::NoVersion => f.write_str("version unknown"),
            NotResumed::CallerLeft => f.write_str("caller left"),
            NotResumed::NoStream => f.write_str("answered without a stream"),
            NotResumed::Refused(why) => f.write_str(why.name()),
        }
    }
}

/// Why forwarding from one engine ended.
enum ForwardEnd {
    Whole,
    CallerLeft,
    Late,
    Lost(&'static str),
}

impl<D: Dialect> Pump<D> {
    /// Forwards events until the stream ends, fails, or its caller leaves.
    pub(super) async fn run(mut self, attached: AttachedStream) {
        let mut attached = attached;
        loop {
            let (upstream, times) = (Arc::clone(&attached.upstream), attached.times);
            let shared = Arc::clone(&self.streams.shared);
            let begun = Instant::now();
            let mut not_resumed = None;
            let why = match self.forward_events(attached).await {
                ForwardEnd::Whole => {
                    upstream.record_success();
                    match self.last_event {
                        Some(_) => {
                            shared.quarantine.record_whole_stream(&self.request, &self.service)
                        }
                        None => shared.quarantine.record_completed(&self.request),
                    }
                    return;
                }
                ForwardEnd::CallerLeft => {
                    let parts = self.request.parts(&self.service);
                    shared.quarantine.record_left_stream(parts, upstream, times);
                    return;
                }
                ForwardEnd::Late => "deadline passed",
                ForwardEnd::Lost(why) => {
                    upstream.record_failure(false);
                    upstream.check_path();
                    let suspects = (self.request.digest(), self.request.parts(&self.service));
                    shared.quarantine.record_lost_run(suspects, &upstream, times);
                    match self.resume(&upstream, why).await {
                        Ok(next) => {
                            attached = next;
                            continue;
                        }
                        Err(cause) => not_resumed = Some(cause),
                    }
                    why
                }
            };
            log::info!(request = self.request.head.attempt.as_str(), upstream:% = upstream.id,
                last = self.last_event, cause = why, not_resumed = not_resumed.map(|it| it.to_string()),
                silent_ms = self.heard.max(begun).elapsed().as_millis() as u64,
                left_ms = self.request.deadline.saturating_duration_since(Instant::now()).as_millis() as u64,
                runs = self.tries.runs, digest:% = self.request.digest(),
                parts = self.request.shared_parts_text();
                "ended a stream before it was complete");
            self.streams.shared.metrics.streams_cut.with_label_values(&[why]).inc();
            // The stream is incomplete, so the caller's connection is closed without a proper end.
            let _ = self.events.send(Err(Truncated)).await;
            return;
        }
    }

    /// Forwards the events of one engine.
    async fn forward_events(&mut self, attached: AttachedStream) -> ForwardEnd {
        let AttachedStream {
            upstream,
            mut body,
            lease,
            keep_alive,
            mut splitter,
            first,
            running,
            ..
        } = attached;
        let _running = running;
        let resumable = self.request.route.resumable;
        let mut next = first;
        loop {
            while let Some(event) = next.take().or_else(|| splitter.next_event()) {
                if let Some(end) = self.send(event).await {
                    return end;
                }
            }
            let stall = Instant::now() + STALL_TIMEOUT.max(self.request.route.pause * STALL_PAUSES);
            let deadline =
                if resumable { stall.min(self.request.deadline) } else { self.request.deadline };
            let frame = tokio::select! {
                frame = timeout_at(deadline, body.frame()) => frame,
                () = self.events.closed() => return ForwardEnd::CallerLeft,
            };
            match frame {
                Ok(Some(Ok(frame))) => {
                    upstream.record_heard();
                    self.heard = Instant::now();
                    splitter.push(&frame.into_data().unwrap_or_default());
                }
                Ok(Some(Err(_))) => return ForwardEnd::Lost("connection lost"),
                Ok(None) if splitter.has_partial_event() => {
                    return ForwardEnd::Lost("ended inside an event");
                }
                Ok(None) => {
                    lease.keep(keep_alive);
                    return ForwardEnd::Whole;
                }
                Err(_) if Instant::now() >= self.request.deadline => return ForwardEnd::Late,
                Err(_) => return ForwardEnd::Lost("no event in time"),
            }
        }
    }

    /// Sends an event, unless the caller already has it.
    async fn send(&mut self, event: Event) -> Option<ForwardEnd> {
        if let (Some(id), Some(last_event)) = (event.id, self.last_event) {
            if id <= last_event {
                return None;
            }
            if id > last_event + 1 {
                return Some(ForwardEnd::Lost("an event is missing"));
            }
        }
        if event.id.is_some() {
            self.last_event = event.id;
        }
        let sent =
            tokio::time::timeout_at(self.request.deadline, self.events.send(Ok(event.bytes)));
        match sent.await {
            Ok(Ok(())) => None,
            Ok(Err(_)) => Some(ForwardEnd::CallerLeft),
            Err(_) => Some(ForwardEnd::Late),
        }
    }

    /// Resumes the stream at another engine of the same version, if the route allows it.
    async fn resume(
        &mut self,
        from: &Upstream,
        why: &'static str,
    ) -> Result<AttachedStream, NotResumed> {
        let route = &self.request.route;
        self.tries.runs += 1;
        self.tries.reached_upstream = true;
        if !route.resumable || self.request.is_trial() || self.last_event.is_none() {
            return Err(NotResumed::NotAllowed);
        }
        if self.tries.runs >= route.attempts {
            return Err(NotResumed::NoAttempts);
        }
        if !from.version.is_known() {
            return Err(NotResumed::NoVersion);
        }
        log::info!(request = self.request.head.attempt.as_str(), upstream:% = from.id, version:% = from.version,
            last = self.last_event, cause = why, digest:% = self.request.digest(),
            parts = self.request.shared_parts_text();
            "resuming a stream at another engine");
        let streams = Arc::clone(&self.streams);
        let resumption = Resumption {
            last_event: self.last_event,
            version: from.version.clone(),
            due: self.request.next_event_by(Instant::now()),
        };
        let next = streams.attach(&self.request, &self.service, &mut self.tries, Some(&resumption));
        let next = tokio::select! {
            next = next => next,
            () = self.events.closed() => return Err(NotResumed::CallerLeft),
        };
        match next {
            Ok(EngineAnswer::Stream(attached)) => Ok(*attached),
            Ok(EngineAnswer::Answer(_)) => Err(NotResumed::NoStream),
            Err(refusal) => Err(NotResumed::Refused(refusal)),
        }
    }
}
