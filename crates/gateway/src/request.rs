//! A caller's request, after its head is checked and its body is read.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::request::Parts;
use http::{HeaderMap, Method, Request, Uri, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use registry::RequestDigest;
use tokio::time::{Instant, timeout_at};

use crate::body_memory::Reservation;
use crate::dialect::{Dialect, ForwardHead, Generation, Handle, RequestHead};
use crate::echo::CallKind;
use crate::origin::StreamKey;
use crate::plan::{Customer, Plan, Route, RouteKind};
use crate::quarantine::part_digests;
use crate::reply::{Refusal, strip_hop_by_hop};
use crate::upstream::Upstream;

/// How long a caller is assumed to wait if its request doesn't say.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(30);

/// The priority of a customer that has none.
const DEFAULT_PRIORITY: u8 = 1;

/// The number of route priorities that are distinguished within one customer priority.
const ROUTE_RANKS: u8 = 3;

/// The last rank; engines distinguish ten.
const MAX_RANK: u8 = 9;

/// Callers of streams give up after the longest of this time, [`PATIENCE_TARGETS`] targets and
/// [`PATIENCE_PAUSES`] pauses of the route.
const MIN_PATIENCE: Duration = Duration::from_secs(2);

/// See [`MIN_PATIENCE`].
const PATIENCE_TARGETS: u32 = 4;

/// See [`MIN_PATIENCE`].
const PATIENCE_PAUSES: u32 = 8;

/// How much earlier than the caller's deadline the answer is sent, so that it arrives in time.
const REPLY_MARGIN: Duration = Duration::from_millis(15);

/// How much longer than its caller waits a stream's origin is kept, for what its attempts spend on the
/// way.
const RESUME_MARGIN: Duration = Duration::from_secs(2);

/// A caller's request, after its head is checked and its body is read.
pub(crate) struct CallerRequest {
    pub(crate) plan: Arc<Plan>,
    pub(crate) route: Arc<Route>,
    pub(crate) head: RequestHead,
    pub(crate) customer: Option<Customer>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The memory reserved for the body, as long as the body lives.
    _body_memory: Reservation,
    pub(crate) arrived: Instant,
    /// When the caller's time, or the route's timeout, is over.
    pub(crate) deadline: Instant,
    /// When the caller of a stream gives up if no event has come.
    pub(crate) first_event_by: Instant,
    /// How long the caller waits for the next event of a stream.
    patience: Duration,
    /// Whether an upstream may have run the request.
    pub(crate) may_have_run: Arc<AtomicBool>,
    digest: OnceLock<RequestDigest>,
    parts: OnceLock<Vec<RequestDigest>>,
    trial: AtomicBool,
}

impl CallerRequest {
    /// Checks the head of a request and reads its body.
    ///
    /// # Errors
    /// Returns the refusal with which to answer.
    pub(crate) async fn read<D: Dialect>(
        plan: Arc<Plan>,
        parts: Parts,
        body: &mut Incoming,
        arrived: Instant,
        mut body_memory: Reservation,
    ) -> Result<Self, Refusal> {
        let Parts { method, uri, mut headers, .. } = parts;
        let host = headers.get(header::HOST).and_then(|it| it.to_str().ok()).unwrap_or_default();
        let route = plan.route(host, uri.path()).ok_or(Refusal::NoRoute)?;
        let route = Arc::clone(route);
        let head = D::decode_request(&headers).map_err(|why| {
            log::info!(cause = why.as_str(); "refused a request with an invalid head");
            Refusal::BadHead
        })?;
        let customer = customer(&plan, &route, &head)?;
        let wait = head.deadline.unwrap_or(DEFAULT_PATIENCE).min(route.timeout);
        let deadline = arrived + wait.saturating_sub(REPLY_MARGIN);
        let patience = patience(&route);
        let first_event_by = deadline.min(arrived + patience);
        let body = read_body(&plan, &headers, body, &mut body_memory, deadline).await?;
        strip_hop_by_hop(&mut headers);
        D::strip_headers(&mut headers);
        let may_have_run = Arc::new(AtomicBool::new(false));
        Ok(Self {
            plan,
            route,
            head,
            customer,
            method,
            uri,
            headers,
            body,
            _body_memory: body_memory,
            arrived,
            deadline,
            first_event_by,
            patience,
            may_have_run,
            digest: OnceLock::new(),
            parts: OnceLock::new(),
            trial: AtomicBool::new(false),
        })
    }

    /// Returns the digest of the request's content, which is the same for each attempt. It is
    /// computed when first needed, because a body may be large.
    pub(crate) fn digest(&self) -> RequestDigest {
        *self.digest.get_or_init(|| {
            let host = self.headers.get(header::HOST).map_or(&[][..], |it| it.as_bytes());
            let path = self.uri.path_and_query().map_or("", |it| it.as_str());
            // All keys of a customer count as the same caller.
            let caller = self.customer.as_ref().map_or("", |it| &*it.name);
            let method = self.method.as_str();
            RequestDigest::of(&[
                method.as_bytes(),
                &host.to_ascii_lowercase(),
                path.as_bytes(),
                caller.as_bytes(),
                &self.body,
            ])
        })
    }

    /// Returns whether the caller takes up a stream of which it has events.
    pub(crate) fn takes_up_stream(&self) -> bool {
        let has_events = self.head.last_event.is_some_and(|it| it > 0);
        self.route.resumable && (has_events || self.head.resumed.is_some())
    }

    /// Returns the key of the stream that one of the customer's attempts began.
    pub(crate) fn stream_key(&self, attempt: &str) -> StreamKey {
        StreamKey::new(self.customer.as_ref().map_or("", |it| &it.name), attempt)
    }

    /// Returns the key of the stream that the request begins or takes up.
    pub(crate) fn own_stream_key(&self) -> StreamKey {
        self.stream_key(self.head.resumed.as_ref().unwrap_or(&self.head.attempt))
    }

    /// Returns how long the caller may still take its stream up through another entry.
    pub(crate) fn resumable_time(&self) -> Duration {
        let patience = self.head.deadline.unwrap_or(DEFAULT_PATIENCE);
        patience.saturating_sub(self.arrived.elapsed()) + RESUME_MARGIN
    }

    /// Returns the digests of the parts of the prompt that other requests may share, at the service that
    /// runs the request.
    pub(crate) fn parts(&self, service: &str) -> &[RequestDigest] {
        let digests = |it: &Generation| part_digests(it, service);
        self.parts.get_or_init(|| self.head.generation.as_ref().map(digests).unwrap_or_default())
    }

    /// Returns the parts of the prompt that other requests may share, as the caller names them.
    pub(crate) fn shared_parts_text(&self) -> String {
        let parts = self.head.generation.as_ref().map_or(&[][..], Generation::shared_parts);
        parts.iter().map(ToString::to_string).collect::<Vec<_>>().join(",")
    }

    /// Returns whether the request is sent as a trial, to see whether it still terminates
    /// upstreams.
    pub(crate) fn is_trial(&self) -> bool {
        self.trial.load(Ordering::Relaxed)
    }

    /// Marks the request as a trial.
    pub(crate) fn set_trial(&self) {
        self.trial.store(true, Ordering::Relaxed);
    }

    /// Returns whether the request may run again after it may have run.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.route.is_repeatable() && !self.is_trial()
    }

    /// Returns what a call with the request is. One that has a single attempt may run at one upstream only.
    pub(crate) fn call_kind(&self) -> CallKind {
        let repeats = self.is_repeatable() && self.route.attempts > 1;
        if repeats { CallKind::Repeatable } else { CallKind::Once }
    }

    /// Returns whether the request may be a trial at an upstream that is passed over: if that
    /// fails, it is sent to another one.
    pub(crate) fn may_try_failing(&self) -> bool {
        self.is_repeatable() && self.route.attempts > 1
    }

    /// Returns after how long an answer counts as late: the latency objective of the route.
    pub(crate) fn late_after(&self) -> Duration {
        self.route.target
    }

    /// Returns until when an answer meets the latency objective of the route.
    pub(crate) fn target(&self) -> Instant {
        self.arrived + self.route.target
    }

    /// Returns when the next event of a stream is due whose last one came before `now`.
    pub(crate) fn next_event_by(&self, now: Instant) -> Instant {
        self.deadline.min(now + self.patience)
    }

    /// Returns the rank; 0 goes first. The customer's priority goes before the route's, which
    /// orders the requests of customers with equal priority.
    pub(crate) fn rank(&self) -> u8 {
        let customer = self.customer.as_ref().and_then(|it| it.priority);
        let customer = customer.unwrap_or(DEFAULT_PRIORITY).min(MAX_RANK / ROUTE_RANKS);
        (customer * ROUTE_RANKS + self.route.priority.min(ROUTE_RANKS - 1)).min(MAX_RANK)
    }

    /// Creates the request to send to an upstream.
    pub(crate) fn forward<D: Dialect>(
        &self,
        upstream: &Upstream,
        inputs: &[Handle],
        last_event: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        let left = self.deadline.saturating_duration_since(Instant::now());
        let generates = self.head.generation.is_some();
        let forward_head = ForwardHead {
            upstream: &upstream.id,
            call: None,
            left,
            customer: self.customer.as_ref().map(|it| &*it.name),
            inputs,
            priority: generates.then(|| self.rank()),
            last_event,
        };
        D::add_headers(headers, &forward_head);
        request.extensions_mut().insert(SendMark(Arc::clone(&self.may_have_run)));
        request
    }

    /// Returns the refusal for a request whose time is over.
    pub(crate) fn late_refusal(&self) -> Refusal {
        self.timeout_watch().late_refusal()
    }

    /// Returns a handle that gives the refusal for a timeout even after the request is dropped.
    pub(crate) fn timeout_watch(&self) -> TimeoutWatch {
        TimeoutWatch(Arc::clone(&self.may_have_run))
    }
}

/// Tells whether a caller's request may have run; it travels with what is sent.
#[derive(Clone, Debug)]
pub(crate) struct SendMark(Arc<AtomicBool>);

impl SendMark {
    /// Records that a request is sent from now on. Requests of the entry itself have no mark.
    pub(crate) fn set<T>(request: &Request<T>) {
        if let Some(mark) = request.extensions().get::<Self>() {
            mark.0.store(true, Ordering::Relaxed);
        }
    }
}

/// Tells whether a request may have run when its time is over.
pub(crate) struct TimeoutWatch(Arc<AtomicBool>);

impl TimeoutWatch {
    /// Returns the refusal for when the entry ends.
    pub(crate) fn ending_refusal(&self) -> Refusal {
        if self.0.load(Ordering::Relaxed) { Refusal::LateMayHaveRun } else { Refusal::Ending }
    }

    /// Returns the refusal for when the time is over.
    pub(crate) fn late_refusal(&self) -> Refusal {
        if self.0.load(Ordering::Relaxed) { Refusal::LateMayHaveRun } else { Refusal::Late }
    }
}

/// Returns how long callers wait for the next event of a stream, including the first one.
fn patience(route: &Route) -> Duration {
    let patience = (route.target * PATIENCE_TARGETS).max(route.pause * PATIENCE_PAUSES);
    match route.kind {
        RouteKind::Stream => patience.max(MIN_PATIENCE).saturating_sub(REPLY_MARGIN),
        RouteKind::Idempotent | RouteKind::AtMostOnce => route.timeout,
    }
}

fn customer(plan: &Plan, route: &Route, head: &RequestHead) -> Result<Option<Customer>, Refusal> {
    let Some(customers) = plan.customers.as_ref().filter(|_| !route.open) else {
        return Ok(None);
    };
    let key = head.key.as_ref().ok_or(Refusal::NoKey)?;
    customers.get(key).cloned().map(Some).ok_or(Refusal::NoKey)
}

async fn read_body(
    plan: &Plan,
    headers: &HeaderMap,
    body: &mut Incoming,
    body_memory: &mut Reservation,
    deadline: Instant,
) -> Result<Bytes, Refusal> {
    let limit = plan.limits.body_bytes;
    let length = headers.get(header::CONTENT_LENGTH).and_then(|it| it.to_str().ok());
    let length: usize = length.and_then(|it| it.parse().ok()).unwrap_or(0);
    if length > limit {
        return Err(Refusal::TooLarge);
    }
    let mut whole = BytesMut::with_capacity(length);
    let deadline = deadline.min(Instant::now() + plan.limits.idle_time);
    loop {
        let frame = match timeout_at(deadline, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return Err(Refusal::BadHead),
            Ok(None) => return Ok(whole.freeze()),
            Err(_) => return Err(Refusal::SlowBody),
        };
        if let Ok(data) = frame.into_data() {
            if whole.len() + data.len() > limit {
                return Err(Refusal::TooLarge);
            }
            if !body_memory.grow(data.len()) {
                return Err(Refusal::NoMemory);
            }
            whole.extend_from_slice(&data);
        }
    }
}
