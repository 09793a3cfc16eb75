//! A caller's request, checked and read.

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

use crate::dialect::{Ask, Dialect, Handle, Marks};
use crate::plan::{Customer, Plan, Route, RouteKind};
use crate::reply::{Refusal, strip_hop};
use crate::room::Held;
use crate::upstream::Upstream;

/// How long a caller is taken to wait where it doesn't say.
const DEFAULT_WAIT: Duration = Duration::from_secs(30);

/// The priority of a customer that has none.
const DEFAULT_PRIORITY: u8 = 1;

/// How many priorities of routes are told apart within one of customers.
const ROUTE_RANKS: u8 = 3;

/// The last rank; engines know ten.
const LAST_RANK: u8 = 9;

/// Callers of streams leave after the longest of this time, so many targets, and so many pauses.
const PATIENCE: Duration = Duration::from_secs(2);

/// See [`PATIENCE`].
const PATIENT_TARGETS: u32 = 4;

/// See [`PATIENCE`].
const PATIENT_PAUSES: u32 = 8;

/// The answer to a caller comes this much before its time is over, so that it arrives in time.
const HEADROOM: Duration = Duration::from_millis(15);

/// A caller's request, checked and read.
pub(crate) struct CallerRequest {
    pub(crate) plan: Arc<Plan>,
    pub(crate) route: Arc<Route>,
    pub(crate) ask: Ask,
    pub(crate) customer: Option<Customer>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Lasts as long as the body.
    _held: Held,
    pub(crate) arrived: Instant,
    /// When the caller's time, or the route's, is over.
    pub(crate) deadline: Instant,
    /// When the caller of a stream leaves if no event has come.
    pub(crate) first_by: Instant,
    /// Whether an upstream may have run it.
    pub(crate) sent: Arc<AtomicBool>,
    digest: OnceLock<RequestDigest>,
    trial: AtomicBool,
}

impl CallerRequest {
    /// Checks and reads a request.
    ///
    /// # Errors
    /// With the refusal to answer.
    pub(crate) async fn read<D: Dialect>(
        plan: Arc<Plan>,
        request: Request<Incoming>,
        arrived: Instant,
        mut held: Held,
    ) -> Result<Self, Refusal> {
        let (head, body) = request.into_parts();
        let Parts { method, uri, mut headers, .. } = head;
        let host = headers.get(header::HOST).and_then(|it| it.to_str().ok()).unwrap_or_default();
        let route = plan.route(host, uri.path()).ok_or(Refusal::NoRoute)?;
        let route = Arc::clone(route);
        let ask = D::ask(&headers).map_err(|why| {
            log::info!(cause = why.as_str(); "a head that can't be read");
            Refusal::BadHead
        })?;
        let customer = customer(&plan, &route, &ask)?;
        let wait = ask.deadline.unwrap_or(DEFAULT_WAIT).min(route.timeout);
        let deadline = arrived + wait.saturating_sub(HEADROOM);
        let first_by = deadline.min(arrived + patience(&route));
        let body = read_body(&plan, &headers, body, &mut held, deadline).await?;
        strip_hop(&mut headers);
        D::strip(&mut headers);
        let sent = Arc::new(AtomicBool::new(false));
        Ok(Self {
            plan,
            route,
            ask,
            customer,
            method,
            uri,
            headers,
            body,
            _held: held,
            arrived,
            deadline,
            first_by,
            sent,
            digest: OnceLock::new(),
            trial: AtomicBool::new(false),
        })
    }

    /// What it asks, the same for each attempt of it. Worked out when it is first needed: a body may be
    /// large.
    pub(crate) fn digest(&self) -> RequestDigest {
        *self.digest.get_or_init(|| {
            let host = self.headers.get(header::HOST).map_or(&[][..], |it| it.as_bytes());
            let path = self.uri.path_and_query().map_or("", |it| it.as_str());
            // All keys of a customer are one caller.
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

    /// Whether it is sent to see if it still ends upstreams.
    pub(crate) fn is_trial(&self) -> bool {
        self.trial.load(Ordering::Relaxed)
    }

    /// Notes that it is.
    pub(crate) fn set_trial(&self) {
        self.trial.store(true, Ordering::Relaxed);
    }

    /// Whether it may run again after it may have run.
    pub(crate) fn repeats(&self) -> bool {
        self.route.repeats() && !self.is_trial()
    }

    /// When an answer is worth most.
    pub(crate) fn target(&self) -> Instant {
        self.arrived + self.route.target
    }

    /// Its rank; 0 goes first. The customer's goes before the route's, which orders requests of
    /// customers that rank alike.
    pub(crate) fn rank(&self) -> u8 {
        let customer = self.customer.as_ref().and_then(|it| it.priority);
        let customer = customer.unwrap_or(DEFAULT_PRIORITY).min(LAST_RANK / ROUTE_RANKS);
        (customer * ROUTE_RANKS + self.route.priority.min(ROUTE_RANKS - 1)).min(LAST_RANK)
    }

    /// Makes the request for an upstream.
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
        let generates = self.ask.generation.is_some();
        let marks = Marks {
            upstream: &upstream.id,
            left,
            customer: self.customer.as_ref().map(|it| &*it.name),
            inputs,
            priority: generates.then(|| self.rank()),
            last_event,
        };
        D::mark(headers, &marks);
        self.sent.store(true, Ordering::Relaxed);
        request
    }

    /// The answer where the time is over.
    pub(crate) fn late(&self) -> Refusal {
        self.late_watch().refusal()
    }

    /// Tells the answer where the time is over, also once the request itself is gone.
    pub(crate) fn late_watch(&self) -> LateWatch {
        LateWatch(Arc::clone(&self.sent))
    }
}

/// Tells whether a request may have run when its time is over.
pub(crate) struct LateWatch(Arc<AtomicBool>);

impl LateWatch {
    /// The answer where the entry ends.
    pub(crate) fn ending(&self) -> Refusal {
        if self.0.load(Ordering::Relaxed) { Refusal::LateRun } else { Refusal::Ending }
    }

    /// The answer where the time is over.
    pub(crate) fn refusal(&self) -> Refusal {
        if self.0.load(Ordering::Relaxed) { Refusal::LateRun } else { Refusal::Late }
    }
}

/// How long callers wait for the next event of a stream, the first one included.
fn patience(route: &Route) -> Duration {
    let patience = (route.target * PATIENT_TARGETS).max(route.pause * PATIENT_PAUSES);
    match route.kind {
        RouteKind::Stream => patience.max(PATIENCE).saturating_sub(HEADROOM),
        RouteKind::Idempotent | RouteKind::AtMostOnce => route.timeout,
    }
}

fn customer(plan: &Plan, route: &Route, ask: &Ask) -> Result<Option<Customer>, Refusal> {
    let Some(customers) = plan.customers.as_ref().filter(|_| !route.open) else {
        return Ok(None);
    };
    let key = ask.key.as_ref().ok_or(Refusal::NoKey)?;
    customers.get(key).cloned().map(Some).ok_or(Refusal::NoKey)
}

async fn read_body(
    plan: &Plan,
    headers: &HeaderMap,
    body: Incoming,
    held: &mut Held,
    by: Instant,
) -> Result<Bytes, Refusal> {
    let limit = plan.limits.body_bytes;
    let length = headers.get(header::CONTENT_LENGTH).and_then(|it| it.to_str().ok());
    let length: usize = length.and_then(|it| it.parse().ok()).unwrap_or(0);
    if length > limit {
        return Err(Refusal::TooLarge);
    }
    let mut body = body;
    let mut whole = BytesMut::with_capacity(length);
    let by = by.min(Instant::now() + plan.limits.idle_time);
    loop {
        let frame = match timeout_at(by, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return Err(Refusal::BadHead),
            Ok(None) => return Ok(whole.freeze()),
            Err(_) => return Err(Refusal::SlowBody),
        };
        if let Ok(data) = frame.into_data() {
            if whole.len() + data.len() > limit {
                return Err(Refusal::TooLarge);
            }
            if !held.grow(data.len()) {
                return Err(Refusal::NoRoom);
            }
            whole.extend_from_slice(&data);
        }
    }
}
