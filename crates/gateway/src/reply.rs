//! Answers to callers.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::drain::UnderWay;
use crate::unwritten::Unwritten;

#[cfg(test)]
mod tests;

/// The shortest time after which a refused caller should come back, in ms.
const RETRY_LEAST: u64 = 150;

/// The spread of that time, in ms: callers that were refused together must not come back together.
const RETRY_SPREAD: u64 = 350;

/// An answer.
pub(crate) type Reply = Response<ReplyBody>;

/// An answer broke off; the connection ends, so that it doesn't look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Broken;

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for Broken {}

/// The body of an answer.
#[derive(Debug)]
pub(crate) struct ReplyBody {
    source: Source,
    unwritten: Unwritten,
    _under_way: Option<UnderWay>,
}

#[derive(Debug)]
enum Source {
    Whole(Option<Bytes>),
    Stream(mpsc::Receiver<Result<Bytes, Broken>>),
    /// The answer broke off; the break is not handed out yet.
    Broken,
}

impl ReplyBody {
    /// A body that is there.
    pub(crate) fn whole(bytes: Bytes) -> Self {
        let bytes = Some(bytes).filter(|it| !it.is_empty());
        Self::new(Source::Whole(bytes))
    }

    /// A body that comes.
    pub(crate) fn stream(receiver: mpsc::Receiver<Result<Bytes, Broken>>) -> Self {
        Self::new(Source::Stream(receiver))
    }

    fn new(source: Source) -> Self {
        Self { source, unwritten: Unwritten::default(), _under_way: None }
    }

    /// Holds a break back until its connection has written what came before.
    pub(crate) fn watch(&mut self, unwritten: Unwritten) {
        self.unwritten = unwritten;
    }

    /// Keeps the request counted until its last byte is taken.
    pub(crate) fn hold(&mut self, under_way: UnderWay) {
        self._under_way = Some(under_way);
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let next = match &mut self.source {
            Source::Whole(bytes) => return Poll::Ready(bytes.take().map(|it| Ok(Frame::data(it)))),
            Source::Stream(receiver) => ready!(receiver.poll_recv(cx)),
            Source::Broken => Some(Err(Broken)),
        };
        match next {
            Some(Ok(bytes)) => {
                self.unwritten.note();
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            // On a break the server drops the connection with what it has not written yet: events that
            // the engine had sent would be lost to the caller.
            Some(Err(Broken)) if self.unwritten.wait() => {
                self.source = Source::Broken;
                Poll::Pending
            }
            Some(Err(Broken)) => Poll::Ready(Some(Err(Broken))),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.source, Source::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |it| it.len() as u64))
            }
            Source::Stream(_) | Source::Broken => SizeHint::default(),
        }
    }
}

/// Why a request gets the entry's own answer. All but `LateRun` and `Failed` promise that it has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// No plan is known yet.
    NoPlan,
    /// The entry ends.
    Ending,
    /// No route matches.
    NoRoute,
    /// The key is unknown.
    NoKey,
    /// The head says something that can't be.
    BadHead,
    /// The body is too large.
    TooLarge,
    /// The body did not come in time.
    SlowBody,
    /// Bodies take up all the memory they may.
    NoRoom,
    /// No upstream takes it.
    NoUpstream,
    /// Its stages would take too long; it may come back after this time.
    Overloaded(Duration),
    /// A stage could not be done.
    NoStage,
    /// The time is over, and nothing was sent.
    Late,
    /// The time is over, and it may have run.
    LateRun,
    /// Upstreams end under it; it may be tried after this time.
    Held(Duration),
    /// An upstream failed, and it may have run.
    Failed,
}

impl Refusal {
    /// The status that says so.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::NoKey => StatusCode::UNAUTHORIZED,
            Refusal::BadHead => StatusCode::BAD_REQUEST,
            Refusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Refusal::NoPlan
            | Refusal::Ending
            | Refusal::NoRoom
            | Refusal::NoUpstream
            | Refusal::Overloaded(_)
            | Refusal::NoStage
            | Refusal::Held(_)
            | Refusal::Late => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::LateRun => StatusCode::GATEWAY_TIMEOUT,
            Refusal::Failed => StatusCode::BAD_GATEWAY,
        }
    }

    /// Its name in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Refusal::NoPlan => "no plan",
            Refusal::Ending => "ending",
            Refusal::NoRoute => "no route",
            Refusal::NoKey => "no key",
            Refusal::BadHead => "bad head",
            Refusal::TooLarge => "too large",
            Refusal::SlowBody => "slow body",
            Refusal::NoRoom => "no room",
            Refusal::NoUpstream => "no upstream",
            Refusal::Overloaded(_) => "overloaded",
            Refusal::NoStage => "no stage",
            Refusal::Held(_) => "ends upstreams",
            Refusal::Late => "late",
            Refusal::LateRun => "late, may have run",
            Refusal::Failed => "failed, may have run",
        }
    }

    /// The answer.
    pub(crate) fn reply(self) -> Reply {
        let mut reply = Response::new(ReplyBody::whole(Bytes::from_static(self.name().as_bytes())));
        *reply.status_mut() = self.status();
        if self.status() == StatusCode::SERVICE_UNAVAILABLE {
            let after = match self {
                Refusal::Overloaded(after) | Refusal::Held(after) => after,
                _ => Duration::ZERO,
            };
            reply.headers_mut().insert(header::RETRY_AFTER, retry_after(after));
        }
        reply
    }
}

/// When a refused caller should come back: after `least`, spread.
fn retry_after(least: Duration) -> HeaderValue {
    let spread = Duration::from_millis(RETRY_LEAST + rand::random::<u64>() % RETRY_SPREAD);
    let wait = least + spread;
    let text = format!("{:.2}", wait.as_secs_f64());
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("1"))
}

/// The headers that concern one connection only.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "upgrade",
];

/// Removes the headers that concern one connection only, those that `Connection` names included.
pub(crate) fn strip_hop(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .map(|it| it.trim().to_ascii_lowercase())
        .filter(|it| !it.is_empty())
        .collect();
    for name in named.iter().map(String::as_str).chain(HOP_BY_HOP) {
        headers.remove(name);
    }
    headers.remove(header::TRANSFER_ENCODING);
    headers.remove(header::CONTENT_LENGTH);
}
