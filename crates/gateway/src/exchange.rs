//! One call of an upstream, and what may be concluded where it fails.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderValue, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::dialect::{AnswerMarks, Dialect, Handle, PieceAnswer, PieceCall, RoomReport};
use crate::upstream::{Lease, NoConnection, Upstream};

/// The largest answer to one of the entry's own calls, in bytes.
const SHORT_LIMIT: usize = 1 << 20;

/// How long a call that gives results up may take.
const FREE_LIMIT: Duration = Duration::from_millis(800);

/// Why a call brought no answer that can be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// No connection could be had.
    NoConnection(NoConnection),
    /// The upstream states that it did not run the request.
    Refused(StatusCode),
    /// The connection ended before the answer did.
    Lost,
    /// No answer came in time.
    Timeout,
    /// What came is not the answer.
    Garbled(&'static str),
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::NoConnection(NoConnection::Refused) => f.write_str("connection refused"),
            Cause::NoConnection(NoConnection::Silent) => f.write_str("no connection in time"),
            Cause::NoConnection(NoConnection::Full) => f.write_str("no free connection"),
            Cause::Refused(status) => write!(f, "refused with {status}"),
            Cause::Lost => f.write_str("connection lost"),
            Cause::Timeout => f.write_str("no answer in time"),
            Cause::Garbled(why) => write!(f, "not the answer: {why}"),
        }
    }
}

/// A call that brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Fault {
    /// Why.
    pub(crate) cause: Cause,
    /// Whether it is certain that the request did not run: the upstream says so, or no byte of it
    /// was sent.
    pub(crate) not_run: bool,
    /// Whether the upstream can't be reached at all.
    pub(crate) unreachable: bool,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let evidence = if self.not_run { "did not run" } else { "may have run" };
        write!(f, "{}; {evidence}", self.cause)
    }
}

impl Fault {
    pub(crate) fn unsent(why: NoConnection) -> Self {
        let unreachable = why != NoConnection::Full;
        Self { cause: Cause::NoConnection(why), not_run: true, unreachable }
    }

    /// Whether no byte of the request was sent.
    pub(crate) fn is_unsent(&self) -> bool {
        matches!(self.cause, Cause::NoConnection(_))
    }

    pub(crate) fn refused(status: StatusCode) -> Self {
        Self { cause: Cause::Refused(status), not_run: true, unreachable: false }
    }

    pub(crate) fn unknown(cause: Cause) -> Self {
        Self { cause, not_run: false, unreachable: false }
    }
}

/// The head of an answer, with its body still to come.
pub(crate) struct Opened {
    pub(crate) response: Response<Incoming>,
    pub(crate) lease: Lease,
    pub(crate) marks: AnswerMarks,
}

/// Sends a request and waits for the head of its answer.
pub(crate) async fn send<D: Dialect>(
    upstream: &Arc<Upstream>,
    request: Request<Full<Bytes>>,
    attempt: &str,
    by: Instant,
) -> Result<Opened, Fault> {
    let mut request = request;
    loop {
        let mut lease = upstream.connect(by).await.map_err(Fault::unsent)?;
        let Some(sender) = lease.sender() else {
            return Err(Fault::unsent(NoConnection::Refused));
        };
        let response = match timeout_at(by, sender.try_send_request(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(mut error)) => match error.take_message() {
                // The upstream closed an idle connection before any byte was written.
                Some(unsent) => {
                    request = unsent;
                    continue;
                }
                None if error.error().is_parse() => {
                    return Err(Fault::unknown(Cause::Garbled("not HTTP")));
                }
                None => return Err(Fault::unknown(Cause::Lost)),
            },
            Err(_) => return Err(Fault::unknown(Cause::Timeout)),
        };
        let marks = D::answer(response.status(), response.headers(), attempt);
        return Ok(Opened { response, lease, marks });
    }
}

/// Sends a caller's request and waits for the head of its own, sealed answer.
pub(crate) async fn request<D: Dialect>(
    upstream: &Arc<Upstream>,
    request: Request<Full<Bytes>>,
    attempt: &str,
    by: Instant,
) -> Result<Opened, Fault> {
    let opened = send::<D>(upstream, request, attempt, by).await?;
    if opened.marks.not_run {
        let status = opened.response.status();
        discard(opened, by).await;
        return Err(Fault::refused(status));
    }
    if !opened.marks.same_attempt {
        return Err(Fault::unknown(Cause::Garbled("another request's answer")));
    }
    if !opened.marks.sealed {
        return Err(Fault::unknown(Cause::Garbled("no seal")));
    }
    Ok(opened)
}

/// What was read of a body.
pub(crate) enum Read {
    /// All of it.
    Whole(Bytes),
    /// As much as may be held; more is to come.
    More(Bytes),
}

/// Reads a body until it ends or more than `limit` bytes are there.
pub(crate) async fn read_body(
    body: &mut Incoming,
    limit: usize,
    by: Instant,
) -> Result<Read, Cause> {
    let mut read = BytesMut::new();
    loop {
        let frame = match timeout_at(by, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return Err(Cause::Lost),
            Ok(None) => return Ok(Read::Whole(read.freeze())),
            Err(_) => return Err(Cause::Timeout),
        };
        if let Ok(data) = frame.into_data() {
            read.extend_from_slice(&data);
            if read.len() > limit {
                return Ok(Read::More(read.freeze()));
            }
        }
    }
}

/// Reads a short body, which must end.
async fn read_short(body: &mut Incoming, by: Instant) -> Result<Bytes, Fault> {
    match read_body(body, SHORT_LIMIT, by).await.map_err(Fault::unknown)? {
        Read::Whole(bytes) => Ok(bytes),
        Read::More(_) => Err(Fault::unknown(Cause::Garbled("too large"))),
    }
}

/// Reads what is left of an answer that is not passed on, and keeps its connection.
pub(crate) async fn discard(opened: Opened, by: Instant) {
    let Opened { mut response, lease, marks } = opened;
    if read_short(response.body_mut(), by).await.is_ok() {
        lease.keep(marks.keep_alive);
    }
}

/// Runs a call with pieces; its answer has as many results.
pub(crate) async fn pieces<D: Dialect>(
    upstream: &Arc<Upstream>,
    calls: &[PieceCall],
    by: Instant,
) -> Result<PieceAnswer, Fault> {
    let request = own_call::<D>(upstream, D::PIECES_PATH, D::pieces(calls), by);
    let opened = send::<D>(upstream, request, "", by).await?;
    let status = opened.response.status();
    if status != StatusCode::OK {
        if opened.marks.not_run {
            discard(opened, by).await;
            return Err(Fault::refused(status));
        }
        return Err(Fault::unknown(Cause::Garbled("a status that is no success")));
    }
    let Opened { mut response, lease, marks } = opened;
    let body = read_short(response.body_mut(), by).await?;
    let answer = D::results(&body).map_err(|why| {
        log::warn!(upstream:% = upstream.id, cause = why.as_str(); "unreadable results");
        Fault::unknown(Cause::Garbled("unreadable results"))
    })?;
    if answer.results.len() != calls.len() {
        return Err(Fault::unknown(Cause::Garbled("another number of results")));
    }
    lease.keep(marks.keep_alive);
    Ok(answer)
}

/// Asks an upstream for its room.
pub(crate) async fn room<D: Dialect>(
    upstream: &Arc<Upstream>,
    by: Instant,
) -> Result<RoomReport, Fault> {
    let mut request = own_call::<D>(upstream, D::REPORT_PATH, Bytes::new(), by);
    *request.method_mut() = Method::GET;
    let Opened { mut response, lease, marks } = send::<D>(upstream, request, "", by).await?;
    let body = read_short(response.body_mut(), by).await?;
    lease.keep(marks.keep_alive);
    match response.status() {
        StatusCode::OK => Ok(D::room(&body)),
        status => Err(Fault::refused(status)),
    }
}

/// Tells an upstream that results are not needed any more.
pub(crate) async fn free<D: Dialect>(
    upstream: &Arc<Upstream>,
    handles: &[Handle],
) -> Result<(), Fault> {
    let by = Instant::now() + FREE_LIMIT;
    let request = own_call::<D>(upstream, D::FREE_PATH, D::free(handles), by);
    let Opened { mut response, lease, marks } = send::<D>(upstream, request, "", by).await?;
    read_short(response.body_mut(), by).await?;
    lease.keep(marks.keep_alive);
    Ok(())
}

/// A call that the entry makes for itself.
fn own_call<D: Dialect>(
    upstream: &Upstream,
    path: &'static str,
    body: Bytes,
    by: Instant,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(path);
    let headers = request.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(host) = HeaderValue::from_str(&upstream.address.to_string()) {
        headers.insert(header::HOST, host);
    }
    let left = by.saturating_duration_since(Instant::now());
    let marks = crate::dialect::Marks { upstream: &upstream.id, left, ..Default::default() };
    D::mark(headers, &marks);
    request
}
