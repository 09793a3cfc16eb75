//! Looks for another engine for a stream, and listens on to its own one meanwhile.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Frame;
use tokio::time::{Instant, sleep_until};

use super::open::{AttachedStream, EngineAnswer};
use super::pump::{Part, Pump};
use super::silence::{NotResumed, Stand, Terms};
use super::tries::{Resumption, due_after};
use crate::dialect::Dialect;
use crate::reply::Refusal;

/// The pause before a stream that has left its engine looks again.
const AGAIN_PAUSE: Duration = Duration::from_millis(500);

/// How long ago an engine was heard that is preferred to others. Engines may fall silent together.
const HEARD_TIME: Duration = Duration::from_millis(500);

/// Why a stream looks for another engine when its own one is silent.
pub(super) const SILENT: &str = "no event in time";

/// What an engine sent next: a frame, an error, or its end.
pub(super) type Next = Option<Result<Frame<Bytes>, hyper::Error>>;

/// The stream's own engine while another one is looked for.
pub(super) struct Own {
    engine: Option<Box<AttachedStream>>,
    /// Whether its connection ended before the stream did.
    is_lost: bool,
}

impl Own {
    /// An engine that is lost.
    pub(super) const LOST: Self = Self { engine: None, is_lost: true };

    /// An engine that was left.
    const LEFT: Self = Self { engine: None, is_lost: false };
}

/// What came of looking for another engine.
pub(super) enum Sought {
    /// Another engine has sent its first event.
    Taken(Box<AttachedStream>),
    /// The stream's own engine was heard first.
    Heard(Box<AttachedStream>, Next),
    /// No other engine took the stream; its own one is still there.
    NotTaken(Box<AttachedStream>, NotResumed),
    /// No other engine took the stream, and its own one was left.
    Left(NotResumed),
    /// No other engine took the stream, and its own one is lost.
    Lost(NotResumed),
}

/// What ended a search.
enum Found {
    Answer(Result<EngineAnswer, Refusal>),
    Own(Box<AttachedStream>, Next),
    Nothing(NotResumed),
}

impl<D: Dialect> Pump<D> {
    /// Decides whether the stream may go on at another engine than that of `part`.
    pub(super) fn may_move(&self, part: &Part) -> Result<(), NotResumed> {
        let route = &self.request.route;
        let terms = Terms {
            is_resumable: route.resumable,
            is_trial: self.request.is_trial(),
            has_event: self.last_event.is_some(),
            runs: self.tries.runs,
            attempts: route.attempts,
            is_version_known: part.upstream.version.is_known(),
        };
        terms.may_move()
    }

    /// Looks for another engine because the stream's own one is silent, for the `first` time or again. If
    /// that one was left and no other took the stream, looks again, there too.
    pub(super) async fn look(
        &mut self,
        own: Box<AttachedStream>,
        part: &Part,
        first: bool,
    ) -> Sought {
        if let Err(cause) = self.may_look(part, first) {
            return Sought::NotTaken(own, cause);
        }
        let own = Own { engine: Some(own), is_lost: false };
        let mut sought = self.seek(own, part, SILENT).await;
        while let Sought::Left(NotResumed::Refused(_) | NotResumed::NoStream) = sought
            && self.may_look(part, false).is_ok()
        {
            let again = (Instant::now() + AGAIN_PAUSE).min(self.request.deadline);
            tokio::select! {
                () = sleep_until(again) => {}
                () = self.events.closed() => return Sought::Left(NotResumed::CallerLeft),
            }
            self.tries.offers.renew(Some(&part.upstream.id));
            sought = self.seek(Own::LEFT, part, SILENT).await;
        }
        sought
    }

    /// Decides whether another engine may be looked for, for the `first` time in a silence or again.
    fn may_look(&mut self, part: &Part, first: bool) -> Result<(), NotResumed> {
        self.may_move(part)?;
        let has_stages = self.request.head.segments.is_some();
        let has_more = self.tries.offers.has_more() && (!has_stages || self.tries.may_run_stages());
        if !first && !has_more {
            return Err(NotResumed::Refused(Refusal::NoUpstream));
        }
        self.tries.offers.renew(None);
        Ok(())
    }

    /// Looks for an engine that goes on with the stream. The stream's `own` engine, if it is there, is
    /// listened to until the request is sent to another one, and left soon after.
    pub(super) async fn seek(&mut self, own: Own, part: &Part, why: &'static str) -> Sought {
        log::info!(request = self.request.head.attempt.as_str(), upstream:% = part.upstream.id,
            version:% = part.upstream.version, last = self.last_event, cause = why,
            digest:% = self.request.digest(), parts = self.request.shared_parts_text();
            "resuming a stream at another engine");
        let resumption = self.resumption(own.engine.is_some(), part);
        let mut own = own;
        let found = self.search(&mut own, part, &resumption).await;
        self.tries.take_back_offer();
        let cause = match found {
            Found::Own(own, next) => return Sought::Heard(own, next),
            Found::Answer(Ok(EngineAnswer::Stream(taken))) => {
                self.leave(own.engine, part);
                return Sought::Taken(taken);
            }
            Found::Answer(Ok(EngineAnswer::Answer(_))) => {
                self.tries.record_run();
                NotResumed::NoStream
            }
            Found::Answer(Err(refusal)) => NotResumed::Refused(refusal),
            Found::Nothing(cause) => return Sought::Left(cause),
        };
        match own.engine {
            Some(own) => Sought::NotTaken(own, cause),
            None if own.is_lost => Sought::Lost(cause),
            None => Sought::Left(cause),
        }
    }

    /// Offers the request to other engines. Takes the stream's `own` one where it is heard first, is lost,
    /// or has to be left.
    async fn search(&mut self, own: &mut Own, part: &Part, resumption: &Resumption) -> Found {
        let mut sent = resumption.sends.subscribe();
        let Self { streams, service, request, tries, events, .. } = self;
        let mut search = pin!(streams.attach(request, service, tries, Some(resumption)));
        loop {
            let stand = Stand::of(*sent.borrow_and_update(), Instant::now());
            let wake = match stand {
                Stand::Hold(end) if own.engine.is_some() => end.min(request.deadline),
                _ => request.deadline,
            };
            if stand == Stand::Leave && own.engine.take().is_some() {
                part.record_left(&streams.shared, request, service);
            }
            tokio::select! {
                biased;
                next = next_frame(&mut own.engine), if stand == Stand::Listen => {
                    let Some(engine) = own.engine.take() else { continue };
                    if let Some(Err(_)) = next {
                        own.is_lost = true;
                        part.record_lost(&streams.shared, request, service);
                    } else {
                        return Found::Own(engine, next);
                    }
                }
                answer = &mut search => return Found::Answer(answer),
                _ = sent.changed() => {}
                () = events.closed() => return Found::Nothing(NotResumed::CallerLeft),
                () = sleep_until(wake) => if Instant::now() >= request.deadline {
                    return Found::Nothing(NotResumed::Late);
                },
            }
        }
    }

    /// Leaves the stream's own engine, if it has one, for another that goes on.
    fn leave(&self, own: Option<Box<AttachedStream>>, part: &Part) {
        if own.is_some() {
            drop(own);
            part.record_left(&self.streams.shared, &self.request, &self.service);
        }
    }

    /// Returns where the stream goes on, beside its own engine that is `silent` or after it.
    fn resumption(&self, silent: bool, part: &Part) -> Resumption {
        let now = Instant::now();
        Resumption {
            last_event: self.last_event,
            version: part.upstream.version.clone(),
            due: due_after(&self.request, self.tries.runs),
            heard_since: now.checked_sub(HEARD_TIME).filter(|_| silent),
            sends: Arc::default(),
        }
    }
}

/// Returns what an engine sends next; waits forever without one.
async fn next_frame(own: &mut Option<Box<AttachedStream>>) -> Next {
    match own {
        Some(own) => own.body.frame().await,
        None => std::future::pending().await,
    }
}
