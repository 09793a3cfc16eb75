//! Forwards a stream to its caller event by event, from as many engines as needed.

use std::panic::AssertUnwindSafe;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::FutureExt;
use http_body_util::BodyExt;
use tokio::time::{Instant, sleep_until};

use super::Streams;
use super::open::{AttachedStream, take_frame};
use super::seek::{Next, Own, SILENT, Sought};
use super::silence::{NotResumed, Silence, stall_time};
use super::tries::Tries;
use crate::dialect::Dialect;
use crate::events::{Event, EventSplitter};
use crate::health::Outcome;
use crate::quarantine::RunTimes;
use crate::reply::chunks::ChunkSender;
use crate::request::CallerRequest;
use crate::shared::Shared;
use crate::upstream::Upstream;

/// Up to this many bytes of events are sent together.
const GATHER_BYTES: usize = 16 << 10;

/// Forwards a stream to its caller.
pub(super) struct Pump<D: Dialect> {
    pub(super) streams: Arc<Streams<D>>,
    pub(super) service: Arc<str>,
    pub(super) request: CallerRequest,
    pub(super) tries: Tries,
    /// The number of the last event sent to the caller.
    pub(super) last_event: Option<u64>,
    pub(super) events: ChunkSender,
    /// When bytes of the stream came last.
    pub(super) heard: Instant,
}

/// Starts to forward a stream to its caller. If that panics, the stream is cut, since its sender is dropped.
pub(super) fn spawn_forwarding(run: impl Future<Output = ()> + Send + 'static) {
    tokio::spawn(async move {
        if AssertUnwindSafe(run).catch_unwind().await.is_err() {
            log::error!("the forwarding of a stream panicked");
        }
    });
}

/// The part of a stream that one engine sends.
pub(super) struct Part {
    pub(super) upstream: Arc<Upstream>,
    times: RunTimes,
}

impl Part {
    fn of(attached: &AttachedStream) -> Self {
        Self { upstream: Arc::clone(&attached.upstream), times: attached.times }
    }

    /// Records that the connection to the engine ended before the stream did.
    pub(super) fn record_lost<D: Dialect>(
        &self,
        shared: &Shared<D>,
        request: &CallerRequest,
        service: &str,
    ) {
        self.upstream.record_failure(false);
        self.upstream.record_outcome(Outcome::Failed);
        self.upstream.check_path();
        let suspects = (request.digest(), request.parts(service));
        shared.quarantine.record_lost_run(suspects, &self.upstream, self.times);
    }

    /// Records that the engine was left before the stream had ended.
    pub(super) fn record_left<D: Dialect>(
        &self,
        shared: &Shared<D>,
        request: &CallerRequest,
        service: &str,
    ) {
        let parts = request.parts(service);
        shared.quarantine.record_left_stream(parts, Arc::clone(&self.upstream), self.times);
    }
}

/// Why forwarding from one engine ended.
enum ForwardEnd {
    Whole,
    CallerLeft,
    Late,
    Lost(&'static str),
    /// Another engine goes on.
    Taken(Box<AttachedStream>),
    /// The engine was silent until it was left or lost, and no other one goes on.
    Left(NotResumed),
}

impl<D: Dialect> Pump<D> {
    /// Forwards events until the stream ends, fails, or its caller leaves.
    pub(super) async fn run(mut self, attached: Box<AttachedStream>) {
        let mut attached = attached;
        loop {
            self.tries.record_run();
            let part = Part::of(&attached);
            let shared = Arc::clone(&self.streams.shared);
            let (why, not_resumed) = match self.forward_events(attached, &part).await {
                ForwardEnd::Whole => {
                    part.upstream.record_success();
                    match self.last_event {
                        Some(_) => {
                            shared.quarantine.record_whole_stream(&self.request, &self.service)
                        }
                        None => shared.quarantine.record_completed(&self.request),
                    }
                    self.events.finish();
                    return;
                }
                ForwardEnd::CallerLeft => {
                    part.record_left(&shared, &self.request, &self.service);
                    return;
                }
                ForwardEnd::Taken(next) => {
                    attached = next;
                    continue;
                }
                ForwardEnd::Late => ("deadline passed", None),
                ForwardEnd::Left(cause) => (SILENT, Some(cause)),
                ForwardEnd::Lost(why) => {
                    part.record_lost(&shared, &self.request, &self.service);
                    match self.resume(&part, why).await {
                        Ok(next) => {
                            attached = next;
                            continue;
                        }
                        Err(cause) => (why, Some(cause)),
                    }
                }
            };
            log::info!(request = self.request.head.attempt.as_str(), upstream:% = part.upstream.id,
                last = self.last_event, cause = why, not_resumed = not_resumed.map(|it| it.to_string()),
                silent_ms = self.silent_ms(&part), left_ms = self.left_ms(),
                runs = self.tries.runs, digest:% = self.request.digest(),
                parts = self.request.shared_parts_text();
                "ended a stream before it was complete");
            shared.metrics.streams_cut.with_label_values(&[why]).inc();
            // Without its end, the caller's connection is closed without one as well.
            return;
        }
    }

    /// Returns for how long nothing has come from the engine.
    fn silent_ms(&self, part: &Part) -> u64 {
        let heard = part.times.first.map_or(self.heard, |it| self.heard.max(it));
        heard.elapsed().as_millis() as u64
    }

    /// Returns how much time the request has left.
    fn left_ms(&self) -> u64 {
        let left = self.request.deadline.saturating_duration_since(Instant::now());
        left.as_millis() as u64
    }

    /// Forwards the events of one engine.
    async fn forward_events(&mut self, own: Box<AttachedStream>, part: &Part) -> ForwardEnd {
        let mut own = own;
        let mut first = own.first.take();
        let mut silence = Silence::new(stall_time(self.request.route.pause), Instant::now());
        loop {
            loop {
                let (events, end) = self.take_events(&mut first, &mut own.splitter);
                let sent = match &events[..] {
                    [] => None,
                    [event] => self.send(event.clone()).await,
                    events => self.send(events.concat().into()).await,
                };
                if let Some(end) = sent.or(end) {
                    return end;
                }
                if events.is_empty() {
                    break;
                }
            }
            silence.record_heard(Instant::now());
            let next = match self.next_frame(own, part, &mut silence).await {
                Ok((it, next)) => {
                    own = it;
                    next
                }
                Err(end) => return end,
            };
            match next {
                Some(Ok(frame)) => {
                    part.upstream.record_heard();
                    self.heard = Instant::now();
                    if let Err(excess) = take_frame(&mut own.splitter, &mut own.meter, frame) {
                        part.upstream.record_cut(excess);
                        return ForwardEnd::Lost(excess.name());
                    }
                }
                Some(Err(_)) => {
                    let Some(excess) = own.meter.cut() else {
                        return ForwardEnd::Lost("connection lost");
                    };
                    part.upstream.record_cut(excess);
                    return ForwardEnd::Lost(excess.name());
                }
                None if own.splitter.has_partial_event() => {
                    return ForwardEnd::Lost("ended inside an event");
                }
                None => {
                    let AttachedStream { lease, keep_alive, .. } = *own;
                    lease.keep(keep_alive);
                    return ForwardEnd::Whole;
                }
            }
        }
    }

    /// Waits for what the stream's own engine sends next. While that one is silent, looks for another.
    async fn next_frame(
        &mut self,
        own: Box<AttachedStream>,
        part: &Part,
        silence: &mut Silence,
    ) -> Result<(Box<AttachedStream>, Next), ForwardEnd> {
        let mut own = own;
        loop {
            let wake = silence.look_at().min(self.request.deadline);
            tokio::select! {
                biased;
                next = own.body.frame() => return Ok((own, next)),
                () = self.events.closed() => return Err(ForwardEnd::CallerLeft),
                () = sleep_until(wake) => {}
            }
            if Instant::now() >= self.request.deadline {
                return Err(ForwardEnd::Late);
            }
            let first = silence.begin_look();
            if first && self.request.route.resumable {
                part.upstream.record_failure(false);
                part.upstream.record_late();
                part.upstream.check_path();
            }
            match self.look(own, part, first).await {
                Sought::Taken(next) => return Err(ForwardEnd::Taken(next)),
                Sought::Heard(own, next) => return Ok((own, next)),
                Sought::NotTaken(it, cause) => {
                    own = it;
                    silence.record_not_taken(Instant::now());
                    if cause != NotResumed::NotAllowed {
                        log::info!(request = self.request.head.attempt.as_str(),
                            upstream:% = part.upstream.id, last = self.last_event, not_resumed:% = cause,
                            silent_ms = self.silent_ms(part), left_ms = self.left_ms(),
                            runs = self.tries.runs;
                            "no other engine took a silent stream");
                    }
                }
                Sought::Left(cause) | Sought::Lost(cause) => {
                    return Err(match cause {
                        NotResumed::CallerLeft => ForwardEnd::CallerLeft,
                        NotResumed::Late => ForwardEnd::Late,
                        cause => ForwardEnd::Left(cause),
                    });
                }
            }
        }
    }

    /// Returns the next events that are whole, up to about [`GATHER_BYTES`], without those that the
    /// caller already has. They are sent together, because each write costs more than a short
    /// event. Returns also why the stream ends behind them, if it does.
    fn take_events(
        &mut self,
        first: &mut Option<Event>,
        splitter: &mut EventSplitter,
    ) -> (Vec<Bytes>, Option<ForwardEnd>) {
        let (mut events, mut size) = (Vec::new(), 0);
        while size < GATHER_BYTES
            && let Some(Event { id, bytes }) = first.take().or_else(|| splitter.next_event())
        {
            if let (Some(id), Some(last_event)) = (id, self.last_event) {
                if id <= last_event {
                    continue;
                }
                if id > last_event + 1 {
                    return (events, Some(ForwardEnd::Lost("an event is missing")));
                }
            }
            self.last_event = id.or(self.last_event);
            size += bytes.len();
            events.push(bytes);
        }
        (events, None)
    }

    /// Sends whole events.
    async fn send(&mut self, events: Bytes) -> Option<ForwardEnd> {
        let sent = tokio::time::timeout_at(self.request.deadline, self.events.send(events));
        match sent.await {
            Ok(Ok(())) => None,
            Ok(Err(_)) => Some(ForwardEnd::CallerLeft),
            Err(_) => Some(ForwardEnd::Late),
        }
    }

    /// Resumes the stream, whose own engine is lost, at another one.
    async fn resume(
        &mut self,
        from: &Part,
        why: &'static str,
    ) -> Result<Box<AttachedStream>, NotResumed> {
        loop {
            self.may_move(from)?;
            match self.seek(Own::LOST, from, why).await {
                Sought::Taken(next) => return Ok(next),
                // It may be tried at others as often as it may run.
                Sought::Lost(NotResumed::NoStream) | Sought::Heard(..) => {}
                Sought::Left(cause) | Sought::Lost(cause) | Sought::NotTaken(_, cause) => {
                    return Err(cause);
                }
            }
        }
    }
}
