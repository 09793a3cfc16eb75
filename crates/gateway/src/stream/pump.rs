//! Passes a stream on to its caller, event by event, over as many engines as it takes.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use super::{Attached, Streams, Tried, Used};
use crate::dialect::Dialect;
use crate::events::Event;
use crate::reply::Broken;
use crate::request::CallerRequest;

/// A resumable stream that is silent for this long goes on elsewhere, or for three of the pauses
/// that its route allows if that is longer; callers leave after two seconds or eight such pauses.
const STALL: Duration = Duration::from_millis(1_200);

/// See [`STALL`].
const STALL_PAUSES: u32 = 3;

/// Passes a stream on to its caller.
pub(super) struct Pump<D: Dialect> {
    pub(super) streams: Arc<Streams<D>>,
    pub(super) service: Arc<str>,
    pub(super) request: CallerRequest,
    pub(super) used: Used,
    /// The last event that the caller was sent.
    pub(super) last: Option<u64>,
    pub(super) events: mpsc::Sender<Result<Bytes, Broken>>,
}

/// How a part of a stream ended.
enum PartEnd {
    Whole,
    CallerLeft,
    Late,
    Lost(&'static str),
}

impl<D: Dialect> Pump<D> {
    /// Passes events on until the stream ends, breaks off, or its caller leaves.
    pub(super) async fn run(mut self, attached: Attached) {
        let mut attached = attached;
        loop {
            let (upstream, times) = (Arc::clone(&attached.upstream), attached.times);
            let shared = Arc::clone(&self.streams.shared);
            let why = match self.pass(attached).await {
                PartEnd::Whole => {
                    upstream.succeeded();
                    shared.suspects.completed(&self.request);
                    return;
                }
                PartEnd::CallerLeft => return,
                PartEnd::Late => "its time is over",
                PartEnd::Lost(why) => {
                    upstream.failed(false);
                    shared.suspects.lost(self.request.digest(), &upstream, times);
                    match self.resume(&upstream.id, why).await {
                        Some(next) => {
                            attached = next;
                            continue;
                        }
                        None => why,
                    }
                }
            };
            log::info!(request = self.request.ask.attempt.as_str(), upstream:% = upstream.id,
                last = self.last, cause = why, digest:% = self.request.digest();
                "a stream broke off");
            // The caller sees the connection break, for the stream is not complete.
            let _ = self.events.send(Err(Broken)).await;
            return;
        }
    }

    /// Passes on one engine's events.
    async fn pass(&mut self, attached: Attached) -> PartEnd {
        let Attached { mut body, lease, keep_alive, mut splitter, first, running, .. } = attached;
        let _running = running;
        let resumable = self.request.route.resumable;
        let mut next = first;
        loop {
            while let Some(event) = next.take().or_else(|| splitter.next_event()) {
                if let Some(end) = self.send(event).await {
                    return end;
                }
            }
            let stall = Instant::now() + STALL.max(self.request.route.pause * STALL_PAUSES);
            let by =
                if resumable { stall.min(self.request.deadline) } else { self.request.deadline };
            let frame = tokio::select! {
                frame = timeout_at(by, body.frame()) => frame,
                () = self.events.closed() => return PartEnd::CallerLeft,
            };
            match frame {
                Ok(Some(Ok(frame))) => splitter.push(&frame.into_data().unwrap_or_default()),
                Ok(Some(Err(_))) => return PartEnd::Lost("connection lost"),
                Ok(None) if splitter.has_rest() => return PartEnd::Lost("ended in an event"),
                Ok(None) => {
                    lease.keep(keep_alive);
                    return PartEnd::Whole;
                }
                Err(_) if Instant::now() >= self.request.deadline => return PartEnd::Late,
                Err(_) => return PartEnd::Lost("silent"),
            }
        }
    }

    /// Sends one event, unless the caller has it.
    async fn send(&mut self, event: Event) -> Option<PartEnd> {
        if let (Some(id), Some(last)) = (event.id, self.last) {
            if id <= last {
                return None;
            }
            if id > last + 1 {
                return Some(PartEnd::Lost("an event is missing"));
            }
        }
        if event.id.is_some() {
            self.last = event.id;
        }
        let sent =
            tokio::time::timeout_at(self.request.deadline, self.events.send(Ok(event.bytes)));
        match sent.await {
            Ok(Ok(())) => None,
            Ok(Err(_)) => Some(PartEnd::CallerLeft),
            Err(_) => Some(PartEnd::Late),
        }
    }

    /// Goes on at another engine, where the route allows it.
    async fn resume(&mut self, from: &str, why: &'static str) -> Option<Attached> {
        let route = &self.request.route;
        self.used.runs += 1;
        self.used.arrived = true;
        if !route.resumable
            || self.request.is_trial()
            || self.used.runs >= route.attempts
            || self.last.is_none()
        {
            return None;
        }
        log::info!(request = self.request.ask.attempt.as_str(), upstream = from, last = self.last,
            cause = why, digest:% = self.request.digest(); "a stream goes on elsewhere");
        let streams = Arc::clone(&self.streams);
        let next = streams.attach(&self.request, &self.service, &mut self.used, self.last);
        let next = tokio::select! {
            next = next => next,
            () = self.events.closed() => return None,
        };
        match next {
            Ok(Tried::Stream(attached)) => Some(*attached),
            Ok(Tried::Answer(_)) | Err(_) => None,
        }
    }
}
