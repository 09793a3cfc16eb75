//! Single calls of an upstream, and what a failed call proves: whether the request may have run.

use std::fmt;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderValue, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout, timeout_at};
use types::CallId;

use crate::budget::RetryPermit;
use crate::dialect::{
    AnswerHead, Dialect, ForwardHead, Handle, PieceAnswer, PieceCall, SpaceReport,
};
use crate::echo::Echo;
use crate::request::SendMark;
use crate::response_limit::{Excess, ResponseLimit, ResponseMeter};
use crate::upstream::{ConnectError, Lease, Reuse, Upstream};

/// The largest answer to one of the entry's own calls, in bytes.
const MAX_OWN_ANSWER_BYTES: usize = 1 << 20;

/// The timeout of a call that frees results.
const FREE_TIMEOUT: Duration = Duration::from_millis(800);

/// How long the rest of an answer that is not forwarded may take to keep its connection.
const DISCARD_TIME: Duration = Duration::from_millis(500);

/// How long a kept connection may bring no answer before the path to its upstream is checked.
const SILENCE_TIME: Duration = Duration::from_millis(500);

/// How long a request may wait for its connection without a line in the log.
const LONG_CONNECT_TIME: Duration = Duration::from_millis(250);

/// Why a call brought no answer that can be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// No connection was available.
    Connect(ConnectError),
    /// The upstream states that it did not run the request.
    Refused(StatusCode),
    /// The connection ended before the answer did.
    Lost,
    /// No answer came in time.
    Timeout,
    /// What came is not a valid answer to the request.
    Malformed(&'static str),
    /// More came than an answer may bring.
    Excess(Excess),
    /// The permit to send it again had expired when a connection was there.
    PermitExpired,
    /// The upstream had asked for a pause when a connection was there.
    Paused,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Connect(ConnectError::Refused) => f.write_str("connection refused"),
            Cause::Connect(ConnectError::TimedOut) => f.write_str("no connection in time"),
            Cause::Connect(ConnectError::LimitReached) => f.write_str("no free connection"),
            Cause::Refused(status) => write!(f, "refused with {status}"),
            Cause::Lost => f.write_str("connection lost"),
            Cause::Timeout => f.write_str("no answer in time"),
            Cause::Malformed(why) => write!(f, "invalid answer: {why}"),
            Cause::Excess(excess) => write!(f, "cut: {excess}"),
            Cause::PermitExpired => f.write_str("no connection while it might be sent again"),
            Cause::Paused => f.write_str("the upstream asked for a pause"),
        }
    }
}

/// A failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Fault {
    /// Why the call failed.
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
    pub(crate) fn unsent(why: ConnectError) -> Self {
        let unreachable = why != ConnectError::LimitReached;
        Self { cause: Cause::Connect(why), not_run: true, unreachable }
    }

    /// A request that was not sent although a connection was there.
    fn held(cause: Cause) -> Self {
        Self { cause, not_run: true, unreachable: false }
    }

    /// Returns whether the call speaks against the upstream as all entries see it. One that can't
    /// be connected to is left to each entry: a cut between two failure domains looks the same.
    pub(crate) fn shows_failure(&self) -> bool {
        !self.not_run && matches!(self.cause, Cause::Lost | Cause::Timeout | Cause::Malformed(_))
    }

    /// Returns whether no byte of the request was sent.
    pub(crate) fn is_unsent(&self) -> bool {
        matches!(self.cause, Cause::Connect(_) | Cause::PermitExpired | Cause::Paused)
    }

    pub(crate) fn refused(status: StatusCode) -> Self {
        Self { cause: Cause::Refused(status), not_run: true, unreachable: false }
    }

    pub(crate) fn unknown(cause: Cause) -> Self {
        Self { cause, not_run: false, unreachable: false }
    }
}

/// The head of an answer, and its body that is still to be read.
pub(crate) struct Opened {
    pub(crate) response: Response<Incoming>,
    pub(crate) lease: Lease,
    pub(crate) head: AnswerHead,
}

/// Until when a call may wait, and last, and on which connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallTerms {
    /// When the head of the answer is due.
    pub(crate) head: Instant,
    /// When the answer ends at the latest.
    pub(crate) end: Instant,
    /// Which connection it may use.
    pub(crate) reuse: Reuse,
}

impl From<Instant> for CallTerms {
    /// Returns the terms of a call on any connection whose whole answer is due at `end`.
    fn from(end: Instant) -> Self {
        Self { head: end, end, reuse: Reuse::Any }
    }
}

/// Sends a request with the id `attempt`, by `permits` if it is sent again, and waits for the head of its
/// answer.
pub(crate) async fn send<D: Dialect>(
    upstream: &Arc<Upstream>,
    request: Request<Full<Bytes>>,
    attempt: &str,
    permits: &[Arc<RetryPermit>],
    terms: CallTerms,
) -> Result<Opened, Fault> {
    let CallTerms { head: deadline, end, reuse } = terms;
    let mut request = request;
    loop {
        let begun = Instant::now();
        let mut lease = upstream.connect(deadline, end, reuse).await.map_err(Fault::unsent)?;
        let waited = begun.elapsed();
        if waited >= LONG_CONNECT_TIME {
            log::info!(request = attempt, upstream:% = upstream.id,
                ms = waited.as_millis() as u64; "a request waited long for its connection");
        }
        let is_kept = lease.is_kept();
        let head_limit = lease.head_limit();
        let sent = Instant::now();
        let held = if upstream.pause_end(sent).is_some() {
            Some(Cause::Paused)
        } else {
            let expired = !permits.iter().all(|it| it.begin_send(sent));
            expired.then_some(Cause::PermitExpired)
        };
        if let Some(cause) = held {
            lease.keep(None);
            return Err(Fault::held(cause));
        }
        SendMark::set(&request);
        let is_first = lease.begin_call();
        head_limit.begin();
        let Some(sender) = lease.sender() else {
            return Err(Fault::unsent(ConnectError::Refused));
        };
        let answer = timeout_at(deadline, sender.try_send_request(request));
        let response = match watch_silence(upstream, is_kept, answer).await {
            Ok(Ok(response)) => response,
            Ok(Err(mut error)) => match error.take_message() {
                // The upstream closed an idle connection before any byte was written; tries the
                // next one.
                Some(unsent) => {
                    permits.iter().for_each(|it| it.show_unsent());
                    request = unsent;
                    continue;
                }
                None if head_limit.is_exceeded() => {
                    return Err(Fault::unknown(cut(upstream, Excess::Head)));
                }
                None if error.error().is_parse() => {
                    return Err(Fault::unknown(Cause::Malformed("not HTTP")));
                }
                None => {
                    upstream.record_lost_connection();
                    return Err(Fault::unknown(Cause::Lost));
                }
            },
            Err(_) => {
                upstream.check_path();
                return Err(Fault::unknown(Cause::Timeout));
            }
        };
        head_limit.end();
        upstream.record_heard();
        let head = D::decode_answer(response.status(), response.headers(), attempt);
        if !upstream.is_own_answer(head.echo, is_first) {
            return Err(foreign(upstream, attempt, &response, head.echo));
        }
        if let Some(left) = head.cold {
            upstream.extend_cold(Instant::now() + left);
        }
        upstream.record_need(head.need, sent);
        if let Some(load) = head.load {
            upstream.record_told(load);
        }
        if let Some(asked) = head.pause {
            upstream.record_pause(asked);
        }
        if head.leaving {
            upstream.record_leaving();
        }
        if head.not_run && response.status() == StatusCode::SERVICE_UNAVAILABLE {
            upstream.record_rejected();
        }
        return Ok(Opened { response, lease, head });
    }
}

/// Waits for an answer. If a kept connection brings none for [`SILENCE_TIME`], checks whether the
/// upstream can still be reached: the kernel takes longer to give up a connection without a path.
async fn watch_silence<T>(
    upstream: &Arc<Upstream>,
    is_kept: bool,
    answer: impl Future<Output = T>,
) -> T {
    let mut answer = pin!(answer);
    if !is_kept {
        // The connection has just been opened.
        return answer.await;
    }
    if let Ok(answered) = timeout(SILENCE_TIME, &mut answer).await {
        return answered;
    }
    upstream.check_path();
    answer.await
}

/// Records that an answer belongs to another call than that with the id `call`, whose own answer may
/// follow it. Nothing in it is believed, and its connection ends with the call.
fn foreign<T>(upstream: &Upstream, call: &str, answer: &Response<T>, echo: Echo) -> Fault {
    log::warn!(request = call, upstream:% = upstream.id, service:% = upstream.service,
        status = answer.status().as_u16(), named = echo != Echo::None;
        "an upstream sent the answer of another call");
    Fault::unknown(Cause::Malformed("another request's answer"))
}

/// Sends a caller's request and waits for the head of its answer, which must repeat the attempt's
/// id and bear the upstream's seal. Only a refusal may leave the id out.
pub(crate) async fn request<D: Dialect>(
    upstream: &Arc<Upstream>,
    request: Request<Full<Bytes>>,
    attempt: &str,
    permits: &[Arc<RetryPermit>],
    terms: CallTerms,
) -> Result<Opened, Fault> {
    let opened = send::<D>(upstream, request, attempt, permits, terms).await?;
    if opened.head.not_run {
        let status = opened.response.status();
        // A second copy of a refusal without an id would pass for that of the next request.
        let keeps = opened.head.echo == Echo::Same;
        discard(upstream, opened, keeps);
        return Err(Fault::refused(status));
    }
    if opened.head.echo != Echo::Same {
        return Err(Fault::unknown(Cause::Malformed("no id")));
    }
    if !opened.head.sealed {
        return Err(Fault::unknown(Cause::Malformed("no seal")));
    }
    Ok(opened)
}

/// What was read of a body.
pub(crate) enum Read {
    /// The whole body.
    Whole(Bytes),
    /// More than the limit; the rest is still to be read.
    More(Bytes),
}

/// Records that an answer of an upstream is cut; returns the cause of the failed call.
pub(crate) fn cut(upstream: &Upstream, excess: Excess) -> Cause {
    upstream.record_cut(excess);
    Cause::Excess(excess)
}

/// Reads a body until it ends or exceeds `limit` bytes, within what `meter` allows.
pub(crate) async fn read_body(
    upstream: &Upstream,
    body: &mut Incoming,
    meter: &mut ResponseMeter,
    limit: usize,
    deadline: Instant,
) -> Result<Read, Cause> {
    meter.announce(body.size_hint().lower()).map_err(|it| cut(upstream, it))?;
    let mut read = BytesMut::new();
    loop {
        let frame = match timeout_at(deadline, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return Err(Cause::Lost),
            Ok(None) => return Ok(Read::Whole(read.freeze())),
            Err(_) => return Err(Cause::Timeout),
        };
        if let Ok(data) = frame.into_data() {
            meter.add(data.len()).map_err(|it| cut(upstream, it))?;
            read.extend_from_slice(&data);
            if read.len() > limit {
                return Ok(Read::More(read.freeze()));
            }
        }
    }
}

/// Reads a whole body of at most `most` bytes.
pub(crate) async fn read_whole(
    upstream: &Upstream,
    body: &mut Incoming,
    most: usize,
    deadline: Instant,
) -> Result<Bytes, Fault> {
    let mut meter = ResponseMeter::new(ResponseLimit::whole(most));
    let read = read_body(upstream, body, &mut meter, most, deadline).await;
    match read.map_err(Fault::unknown)? {
        Read::Whole(bytes) => Ok(bytes),
        Read::More(_) => Err(Fault::unknown(Cause::Excess(Excess::Length))),
    }
}

/// Reads the whole body of an answer to one of the entry's own calls.
async fn read_short(
    upstream: &Upstream,
    body: &mut Incoming,
    deadline: Instant,
) -> Result<Bytes, Fault> {
    read_whole(upstream, body, MAX_OWN_ANSWER_BYTES, deadline).await
}

/// Reads the rest of an answer that is not forwarded in the background, and keeps its connection if
/// `keeps` is set.
fn discard(upstream: &Arc<Upstream>, opened: Opened, keeps: bool) {
    let upstream = Arc::clone(upstream);
    tokio::spawn(async move {
        let Opened { mut response, lease, head } = opened;
        let deadline = Instant::now() + DISCARD_TIME;
        let read = read_short(&upstream, response.body_mut(), deadline).await;
        if keeps && read.is_ok() {
            lease.keep(head.keep_alive);
        }
    });
}

/// Sends pieces to an upstream; the answer must have one result for each.
pub(crate) async fn pieces<D: Dialect>(
    upstream: &Arc<Upstream>,
    calls: &[PieceCall],
    permits: &[Arc<RetryPermit>],
    deadline: Instant,
) -> Result<PieceAnswer, Fault> {
    let call = OwnCall::post(D::PIECES_PATH, D::encode_pieces(calls));
    let opened = call.send::<D>(upstream, permits, deadline).await?;
    let status = opened.response.status();
    if status != StatusCode::OK {
        if opened.head.not_run {
            discard(upstream, opened, true);
            return Err(Fault::refused(status));
        }
        return Err(Fault::unknown(Cause::Malformed("a status other than 200")));
    }
    let Opened { mut response, lease, head } = opened;
    let body = read_short(upstream, response.body_mut(), deadline).await?;
    let answer = D::decode_results(&body).map_err(|why| {
        log::warn!(upstream:% = upstream.id, cause = why.as_str();
            "failed to decode the results of a call");
        Fault::unknown(Cause::Malformed("unreadable results"))
    })?;
    if answer.results.len() != calls.len() {
        return Err(Fault::unknown(Cause::Malformed("wrong number of results")));
    }
    lease.keep(head.keep_alive);
    Ok(answer)
}

/// Asks an upstream how much space it has left for results.
pub(crate) async fn query_space<D: Dialect>(
    upstream: &Arc<Upstream>,
    deadline: Instant,
) -> Result<SpaceReport, Fault> {
    let call = OwnCall { method: Method::GET, path: D::REPORT_PATH, body: Bytes::new() };
    let Opened { mut response, lease, head } = call.send::<D>(upstream, &[], deadline).await?;
    let body = read_short(upstream, response.body_mut(), deadline).await?;
    lease.keep(head.keep_alive);
    match response.status() {
        StatusCode::OK => Ok(D::decode_space(&body)),
        status => Err(Fault::refused(status)),
    }
}

/// Tells an upstream that results are not needed any more.
pub(crate) async fn free<D: Dialect>(
    upstream: &Arc<Upstream>,
    handles: &[Handle],
) -> Result<(), Fault> {
    let deadline = Instant::now() + FREE_TIMEOUT;
    let call = OwnCall::post(D::FREE_PATH, D::encode_free(handles));
    let Opened { mut response, lease, head } = call.send::<D>(upstream, &[], deadline).await?;
    read_short(upstream, response.body_mut(), deadline).await?;
    lease.keep(head.keep_alive);
    Ok(())
}

/// A call that the entry makes on its own behalf.
struct OwnCall {
    method: Method,
    path: &'static str,
    body: Bytes,
}

impl OwnCall {
    fn post(path: &'static str, body: Bytes) -> Self {
        Self { method: Method::POST, path, body }
    }

    /// Sends the call under an id of its own, and waits for the head of its answer.
    async fn send<D: Dialect>(
        self,
        upstream: &Arc<Upstream>,
        permits: &[Arc<RetryPermit>],
        deadline: Instant,
    ) -> Result<Opened, Fault> {
        let id = CallId::random();
        let mut request = Request::new(Full::new(self.body));
        *request.method_mut() = self.method;
        *request.uri_mut() = Uri::from_static(self.path);
        let headers = request.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Ok(host) = HeaderValue::from_str(&upstream.address.to_string()) {
            headers.insert(header::HOST, host);
        }
        let left = deadline.saturating_duration_since(Instant::now());
        let head =
            ForwardHead { upstream: &upstream.id, call: Some(id), left, ..Default::default() };
        D::add_headers(headers, &head);
        send::<D>(upstream, request, &id.to_string(), permits, deadline.into()).await
    }
}
