//! The callers' side: accepts connections, checks request heads, and routes requests.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::request::Parts;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout_at};
use types::{StepError, StepResult};

use crate::budget::Spender;
use crate::caller_limits::buffer_bytes;
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::guard::{GuardedStream, SoundHeads};
use crate::head_timeout::{HeadTimer, ReadCounter};
use crate::origin::Origin;
use crate::panics::answer_anyway;
use crate::plain;
use crate::plan::{Limits, RouteKind};
use crate::reply::{Refusal, Reply, ReplyBody, announce_close};
use crate::request::CallerRequest;
use crate::shared::Shared;
use crate::stream::Streams;
use crate::unanswered::{AnswerGuard, Dropped, Unanswered};
use crate::unread::{drop_rest, expects_permission};
use crate::write_tracker::WriteTracker;

/// The pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How long sent bytes may stay unacknowledged before a caller counts as gone.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Binds a listener.
pub(crate) async fn bind(address: SocketAddr) -> StepResult<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|e| StepError::new("bind listener", e).at(address))
}

/// Accepts callers' connections for as long as the process lives.
pub(crate) async fn serve<D: Dialect>(
    listener: TcpListener,
    shared: Arc<Shared<D>>,
    streams: Arc<Streams<D>>,
) {
    loop {
        match listener.accept().await {
            // Dropped unread: its caller tries another entry.
            Ok(_) if !admits(&shared) => shared.metrics.unread.inc(),
            Ok((stream, _)) => {
                tokio::spawn(connection(stream, Arc::clone(&shared), Arc::clone(&streams)));
            }
            Err(error) => {
                log::warn!(cause:% = error; "failed to accept a connection; trying again");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Returns whether a new connection is read.
fn admits<D: Dialect>(shared: &Shared<D>) -> bool {
    shared.crowd.admits(shared.drain.in_flight() as u64, Instant::now())
}

async fn connection<D: Dialect>(
    stream: TcpStream,
    shared: Arc<Shared<D>>,
    streams: Arc<Streams<D>>,
) {
    let configured = stream
        .set_nodelay(true)
        .and_then(|()| SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT)));
    if let Err(error) = configured {
        log::debug!(cause:% = error; "a caller's connection ended before its options were set");
        return;
    }
    let limits = shared.caller_limits.clone();
    let buffer = buffer_bytes(&limits.get());
    let heads = SoundHeads::default();
    let taken = heads.clone();
    let write_tracker = WriteTracker::default();
    let body_tracker = write_tracker.clone();
    let (unanswered, metrics) = (Unanswered::default(), shared.metrics.clone());
    let panics = metrics.panics.clone();
    let watched = unanswered.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (shared, streams) = (Arc::clone(&shared), Arc::clone(&streams));
        let is_sound = taken.take();
        let body_tracker = body_tracker.clone();
        let (mut guard, panics) = (watched.watch(), panics.clone());
        async move {
            let unwritten = shared.drain.track_answer();
            let method = request.method().clone();
            let takes_less = buffer < buffer_bytes(&shared.caller_limits.get());
            let handler = answer(shared, streams, is_sound, request, &mut guard);
            let mut reply = answer_anyway(handler, &panics).await;
            if takes_less {
                announce_close(&mut reply);
            }
            reply.body_mut().track_writes(body_tracker, unwritten);
            reply.body_mut().watch_answer(guard, &method);
            Ok::<_, Infallible>(reply)
        }
    });
    // If a caller leaves, its connection ends, which drops the handler and cancels all its work.
    let reads = ReadCounter::default();
    let served = http1::Builder::new()
        .timer(HeadTimer::new(reads.clone(), limits))
        // The timer goes by the limits in force instead.
        .header_read_timeout(Limits::default().idle_time)
        .max_buf_size(buffer)
        .serve_connection(
            TokioIo::new(GuardedStream::new(stream, heads, reads, write_tracker)),
            service,
        );
    let served = served.await;
    if let Some(Dropped { attempt, begun, age }) = unanswered.take() {
        metrics.unanswered.inc();
        log::info!(request = attempt, begun, age_ms = age.as_millis() as u64,
            cause = served.as_ref().err().map(ToString::to_string);
            "a caller's connection ended before its answer");
    }
    if let Err(error) = served {
        log::debug!(cause:% = error; "a caller's connection failed");
    }
}

/// Answers one request; one that is not sound is refused, and its connection ends.
async fn answer<D: Dialect>(
    shared: Arc<Shared<D>>,
    streams: Arc<Streams<D>>,
    is_sound: bool,
    request: Request<Incoming>,
    guard: &mut AnswerGuard,
) -> Reply {
    let in_flight = shared.drain.track_request();
    let arrived = Instant::now();
    let (parts, mut body) = request.into_parts();
    let waits = expects_permission(&parts.headers);
    let mut close = false;
    let mut reply = if !is_sound {
        close = true;
        Refusal::BadHead.reply()
    } else {
        let routed = match shared.drain.is_refusing() {
            true => Err(Refusal::Ending),
            false => route(&shared, &streams, (parts, &mut body), arrived, guard).await,
        };
        match routed {
            Ok(reply) => reply,
            Err(refusal) => {
                shared.metrics.requests.with_label_values(&["any", refusal.name()]).inc();
                close = shared.drain.is_ending()
                    || matches!(
                        refusal,
                        Refusal::TooLarge
                            | Refusal::SlowBody
                            | Refusal::NoMemory
                            | Refusal::BadHead
                    )
                    || !drop_rest(waits, &mut body).await;
                refusal.reply()
            }
        }
    };
    let is_full = shared.crowd.is_full(shared.drain.in_flight() as u64);
    if close || is_full || shared.drain.is_ending() {
        announce_close(&mut reply);
    }
    reply.body_mut().hold_in_flight(in_flight);
    reply
}

/// A request that may be run.
struct Prepared {
    request: CallerRequest,
    service: Arc<str>,
    origin: Option<Origin>,
}

async fn route<D: Dialect>(
    shared: &Arc<Shared<D>>,
    streams: &Arc<Streams<D>>,
    call: (Parts, &mut Incoming),
    arrived: Instant,
    guard: &mut AnswerGuard,
) -> Result<Reply, Refusal> {
    let prepared = tokio::select! {
        prepared = prepare(shared, streams, call, arrived, guard) => prepared?,
        // Without this, a request that waits for its body or the plan would be cut off by the end
        // of the process.
        () = shared.drain.closing() => return Err(Refusal::Ending),
    };
    run(shared, streams, prepared).await
}

/// Reads a request and checks whether it may be run.
async fn prepare<D: Dialect>(
    shared: &Arc<Shared<D>>,
    streams: &Arc<Streams<D>>,
    (parts, body): (Parts, &mut Incoming),
    arrived: Instant,
    guard: &mut AnswerGuard,
) -> Result<Prepared, Refusal> {
    let plan = shared.wait_for_plan().await.ok_or(Refusal::NoPlan)?;
    let memory = shared.body_memory.reserve();
    let request = CallerRequest::read::<D>(plan, parts, body, arrived, memory).await?;
    guard.set_attempt(&request.head.attempt);
    if Instant::now() >= request.deadline {
        return Err(Refusal::Late);
    }
    let origin = streams.origin(&request).await?;
    let service = match &origin {
        Some(origin) => Some(origin.service.as_str().into()),
        None => request.route.service(rand::random()).cloned(),
    };
    let service = service.ok_or(Refusal::NoUpstream)?;
    let admitted = shared.quarantine.admit(&request, &service).await;
    admitted.map_err(|it| Refusal::Quarantined(it.after))?;
    shared.budget.record(&service, Spender::Entry, 1, arrived);
    if !can_be_served(&shared.directory(), &request, &service) {
        return Err(Refusal::NoUpstream);
    }
    Ok(Prepared { request, service, origin })
}

/// Runs a request.
async fn run<D: Dialect>(
    shared: &Arc<Shared<D>>,
    streams: &Arc<Streams<D>>,
    Prepared { request, service, origin }: Prepared,
) -> Result<Reply, Refusal> {
    let arrived = request.arrived;
    let engine = request.plan.services.get(&service).is_some_and(|it| it.engine.is_some());
    let (attempt, deadline) = (request.head.attempt.clone(), request.first_event_by);
    let (kind, late) = (request.route.kind, request.timeout_watch());
    let (route, rank) = (Arc::clone(&request.route), request.rank());
    let version = request.plan.version;
    let run = async {
        match kind {
            RouteKind::Stream => streams.run(request, &service, origin).await,
            _ if engine => streams.run(request, &service, origin).await,
            _ => plain::run(shared, &streams.batches, &request, &service).await,
        }
    };
    // A request that waits for its stages would be cut off by the end of the process.
    let result = match shared.drain.run_until_closing(timeout_at(deadline, run)).await {
        Some(Ok(result)) => result,
        Some(Err(_)) => Err(late.late_refusal()),
        None => Err(late.ending_refusal()),
    };
    let outcome = match &result {
        Ok(reply) => reply.status().as_str().to_owned(),
        Err(refusal) => refusal.name().to_owned(),
    };
    let name = match kind {
        RouteKind::Idempotent => "idempotent",
        RouteKind::AtMostOnce => "at most once",
        RouteKind::Stream => "stream",
    };
    shared.metrics.requests.with_label_values(&[name, &outcome]).inc();
    log::info!(request = attempt.as_str(), service:% = service, kind = name,
        outcome = outcome.as_str(), plan:% = version, route:% = route.name, rank,
        target_ms = route.target.as_millis() as u64,
        age_ms = arrived.elapsed().as_millis() as u64; "answered a request");
    result
}

/// Returns whether all services that a request needs have an upstream that may get new requests. If
/// not, its pieces would wait in a queue until it is late.
fn can_be_served(directory: &Directory, request: &CallerRequest, service: &str) -> bool {
    let pieces = request.head.segments.as_ref().map_or(&[][..], |it| &it.counts);
    let stages = request.route.stages.iter().zip(pieces).filter(|(_, count)| **count > 0);
    let mut needed = stages.map(|(stage, _)| &*stage.service).chain([service]);
    needed.all(|it| directory.has_open(it))
}

/// Answers the readiness checks of the balancer.
pub(crate) async fn serve_ready<D: Dialect>(listener: TcpListener, shared: Arc<Shared<D>>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let shared = Arc::clone(&shared);
        let service = service_fn(move |request: Request<Incoming>| {
            let ready = shared.is_ready();
            let status = match request.uri().path() == D::READY_PATH {
                true if ready => StatusCode::OK,
                true => StatusCode::SERVICE_UNAVAILABLE,
                false => StatusCode::NOT_FOUND,
            };
            let mut reply = Response::new(ReplyBody::whole(bytes::Bytes::new()));
            *reply.status_mut() = status;
            async move { Ok::<_, Infallible>(reply) }
        });
        tokio::spawn(async move {
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::debug!(cause:% = error; "the balancer's connection failed");
            }
        });
    }
}
