//! One incarnation of an upstream: its connections, its load from this entry, and its health.

mod cold;
mod running;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::cold::ColdGate;
use crate::incarnation::{Incarnation, LatestIncarnation, StartTime};
use crate::place::score;

pub(crate) use self::running::{InUse, RunningRequest};

/// The timeout for opening a connection. A lost SYN packet is sent again only after seconds, so a
/// second try reaches the upstream sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long an idle connection is kept if the upstream announces no keep-alive time.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// How much earlier than announced an idle connection is closed, because the upstream may close it
/// while a request is being sent.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_100);

/// How long sent bytes may stay unacknowledged before a connection counts as dead. A connection can
/// go silent without a reset, and only the kernel's timer shows that to a task that waits for an
/// answer.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The interval between two keep-alive probes of an idle connection; the kernel counts in whole
/// seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The base of the backoff of an ejected upstream. The backoff is this times 2^n, where n is the
/// number of failures in a row that count, up to 4.
const BACKOFF_BASE: Duration = Duration::from_millis(400);

/// The longest backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// How many failures in a row do not count for an upstream that accepts connections. The next one
/// ejects it.
const TOLERATED_FAILURES: u32 = 3;

/// The request sender of an HTTP connection.
pub(crate) type ConnectionSender = SendRequest<Full<Bytes>>;

/// One incarnation of an upstream.
#[derive(Debug)]
pub struct Upstream {
    /// The id of this incarnation.
    pub id: Arc<str>,
    /// The hash of the id, the same at every entry; ranks upstreams for a prompt.
    pub id_hash: u64,
    /// The service of the upstream.
    pub service: Arc<str>,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// How many requests it runs at once.
    pub slots: u32,
    latest: LatestIncarnation,
    draining: AtomicBool,
    /// Whether its failure domain is evacuated.
    evacuated: AtomicBool,
    running: AtomicU32,
    tokens: AtomicU64,
    peer_load: PeerLoad,
    /// The upstreams that run requests of this entry.
    in_use: Arc<InUse>,
    health: Mutex<Health>,
    idle: Mutex<Vec<Idle>>,
    /// Notified when a connection becomes idle.
    idle_added: Notify,
    permits: Arc<Semaphore>,
    connection_limit: AtomicU32,
    keeps_idle: AtomicBool,
    cold: Mutex<ColdGate>,
}

/// The requests that other entries have in flight, as last reported.
#[derive(Debug, Default)]
struct PeerLoad {
    running: AtomicU32,
    tokens: AtomicU64,
}

#[derive(Debug, Default)]
struct Health {
    failures: u32,
    ejected_until: Option<Instant>,
}

#[derive(Debug)]
struct Idle {
    sender: ConnectionSender,
    task: AbortHandle,
    permit: OwnedSemaphorePermit,
    expires: Instant,
}

/// An entry's share of the connections to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionShare {
    /// The most connections of this entry.
    pub(crate) most: u32,
    /// Whether it may keep one that no request uses. Where there are more entries than connections,
    /// idle ones would keep the other entries out.
    pub(crate) keeps_idle: bool,
}

/// Why no connection is available. No byte of the request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectError {
    /// The upstream refused the connection.
    Refused,
    /// The connection was not established in time.
    TimedOut,
    /// All connections that this entry may have are in use.
    LimitReached,
}

impl Upstream {
    /// Creates an upstream from its listing, with at most `connections` connections from this
    /// entry.
    pub fn new(listed: &registry::Upstream, connections: u32) -> Self {
        let connection_limit = connections.max(1);
        Self {
            id: listed.id.as_str().into(),
            id_hash: score(0, &listed.id),
            service: listed.service.as_str().into(),
            address: listed.address,
            domain: listed.domain.as_str().into(),
            slots: listed.slots,
            latest: LatestIncarnation::default(),
            draining: AtomicBool::new(listed.health == registry::Health::Draining),
            evacuated: AtomicBool::new(false),
            running: AtomicU32::new(0),
            tokens: AtomicU64::new(0),
            peer_load: PeerLoad::default(),
            in_use: Arc::default(),
            health: Mutex::default(),
            idle: Mutex::default(),
            idle_added: Notify::new(),
            permits: Arc::new(Semaphore::new(connection_limit as usize)),
            connection_limit: AtomicU32::new(connection_limit),
            keeps_idle: AtomicBool::new(true),
            cold: Mutex::default(),
        }
    }

    /// Returns the upstream, which is listed in `in_use` while it runs requests of this entry.
    pub(crate) fn with_use(self, in_use: &Arc<InUse>) -> Self {
        Self { in_use: Arc::clone(in_use), ..self }
    }

    /// Sets whether the upstream is draining; a draining one gets no new requests.
    pub fn set_draining(&self, draining: bool) {
        self.draining.store(draining, Ordering::Relaxed);
    }

    /// Sets whether the failure domain of the upstream is evacuated; such an upstream gets no new
    /// requests. Returns whether it was evacuated before.
    pub fn set_evacuated(&self, evacuated: bool) -> bool {
        self.evacuated.swap(evacuated, Ordering::Relaxed)
    }

    /// Sets this entry's share of the connections. Connections in use beyond a lower limit stay until
    /// their request ends; the limit is lowered further with the next call.
    pub(crate) fn set_connection_share(&self, share: ConnectionShare) {
        self.keeps_idle.store(share.keeps_idle, Ordering::Relaxed);
        let limit = self.connection_limit.load(Ordering::Relaxed);
        let next = if share.most >= limit {
            self.permits.add_permits((share.most - limit) as usize);
            share.most
        } else {
            limit - self.permits.forget_permits((limit - share.most) as usize) as u32
        };
        self.connection_limit.store(next, Ordering::Relaxed);
    }

    /// Returns whether this entry may send a request without waiting for one of its connections.
    pub(crate) fn has_connection(&self) -> bool {
        self.running() < self.connection_limit.load(Ordering::Relaxed)
    }

    /// Returns whether the upstream may get new requests.
    pub fn is_open(&self) -> bool {
        !self.draining.load(Ordering::Relaxed) && !self.evacuated.load(Ordering::Relaxed)
    }

    /// Returns whether the upstream is ejected because of failures.
    pub fn is_ejected(&self, now: Instant) -> bool {
        let health = self.health.lock().unwrap_or_else(PoisonError::into_inner);
        health.ejected_until.is_some_and(|it| now < it)
    }

    /// Returns the number of this entry's requests that it runs.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// Returns the number of prompt tokens of this entry's requests that have no first event yet.
    pub fn tokens(&self) -> u64 {
        self.tokens.load(Ordering::Relaxed)
    }

    /// Sets the load that other entries have in flight.
    pub(crate) fn set_peer_load(&self, running: u32, tokens: u64) {
        self.peer_load.running.store(running, Ordering::Relaxed);
        self.peer_load.tokens.store(tokens, Ordering::Relaxed);
    }

    /// Returns the number of requests of all entries that it runs.
    pub fn total_running(&self) -> u32 {
        self.running() + self.peer_load.running.load(Ordering::Relaxed)
    }

    /// Returns the number of prompt tokens of all entries' requests that have no first event yet.
    pub fn total_tokens(&self) -> u64 {
        self.tokens() + self.peer_load.tokens.load(Ordering::Relaxed)
    }

    /// Compares the start time in a message from the upstream with the known one. With a newer
    /// incarnation, the failures are forgotten and idle connections to the older one are closed.
    pub fn observe(&self, start_time: Option<StartTime>) -> Incarnation {
        let incarnation = self.latest.observe(start_time);
        if incarnation == Incarnation::Newer {
            log::info!(upstream:% = self.id, born:% = start_time.map_or(0, |it| it.0);
                "an upstream has restarted");
            *self.health.lock().unwrap_or_else(PoisonError::into_inner) = Health::default();
            self.close_idle(true);
        }
        incarnation
    }

    /// Records a success, which ends an ejection.
    pub(crate) fn record_success(&self) {
        let mut health = self.health.lock().unwrap_or_else(PoisonError::into_inner);
        if health.ejected_until.take().is_some() {
            log::info!(upstream:% = self.id; "an ejected upstream works again");
        }
        health.failures = 0;
    }

    /// Records a failure, and ejects the upstream after too many. `hard` means that it can't be
    /// reached at all, which ejects it at once.
    pub(crate) fn record_failure(&self, hard: bool) {
        let mut health = self.health.lock().unwrap_or_else(PoisonError::into_inner);
        health.failures += 1;
        let counted =
            if hard { health.failures } else { health.failures.saturating_sub(TOLERATED_FAILURES) };
        if counted == 0 {
            return;
        }
        let backoff = (BACKOFF_BASE * (1 << counted.min(4))).min(MAX_BACKOFF);
        if health.ejected_until.is_none() {
            log::warn!(upstream:% = self.id, service:% = self.service, failures = health.failures,
                hard, ms = backoff.as_millis() as u64; "ejected an upstream after failed calls");
        }
        health.ejected_until = Some(Instant::now() + backoff);
    }

    /// Returns an idle connection, or opens a new one before `deadline`.
    pub(crate) async fn connect(
        self: &Arc<Self>,
        deadline: Instant,
    ) -> Result<Lease, ConnectError> {
        let deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let permit = loop {
            if let Some(lease) = self.take_idle() {
                return Ok(lease);
            }
            tokio::select! {
                permit = timeout_at(deadline, Arc::clone(&self.permits).acquire_owned()) => {
                    let Ok(Ok(permit)) = permit else { return Err(ConnectError::LimitReached) };
                    break permit;
                }
                // The connection of a request that has just ended keeps its permit.
                () = self.idle_added.notified() => {}
            }
        };
        if let Some(lease) = self.take_idle() {
            return Ok(lease);
        }
        let opened = timeout_at(deadline, open(self.address)).await;
        let (sender, task) = match opened {
            Ok(opened) => opened?,
            Err(_) => return Err(ConnectError::TimedOut),
        };
        Ok(Lease { upstream: Arc::clone(self), connection: Some((sender, task, permit)) })
    }

    fn take_idle(self: &Arc<Self>) -> Option<Lease> {
        let mut idle = self.lock_idle();
        let now = Instant::now();
        while let Some(it) = idle.pop() {
            if it.sender.is_ready() && now < it.expires {
                let connection = Some((it.sender, it.task, it.permit));
                return Some(Lease { upstream: Arc::clone(self), connection });
            }
            it.task.abort();
        }
        None
    }

    fn lock_idle(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes idle connections: all of them, or those whose time is over.
    pub(crate) fn close_idle(&self, all: bool) {
        let mut idle = self.lock_idle();
        let now = Instant::now();
        idle.retain(|it| {
            let keep = !all && now < it.expires && !it.sender.is_closed();
            if !keep {
                it.task.abort();
            }
            keep
        });
    }
}

async fn open(address: SocketAddr) -> Result<(ConnectionSender, AbortHandle), ConnectError> {
    let refused = |_| ConnectError::Refused;
    let stream = TcpStream::connect(address).await.map_err(refused)?;
    let keepalive =
        TcpKeepalive::new().with_time(TCP_USER_TIMEOUT).with_interval(KEEPALIVE_INTERVAL);
    let socket = SockRef::from(&stream);
    let configured = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT)))
        .and_then(|()| socket.set_tcp_keepalive(&keepalive.with_retries(2)));
    configured.map_err(refused)?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(64 << 10)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|_| ConnectError::Refused)?;
    let task = tokio::spawn(async move {
        // The request sender reports the cause of an error.
        let _ = connection.await;
    });
    Ok((sender, task.abort_handle()))
}

/// A connection in use. If it is dropped before its answer has ended, it is closed, which makes the
/// upstream cancel the request.
#[derive(Debug)]
pub(crate) struct Lease {
    upstream: Arc<Upstream>,
    connection: Option<(ConnectionSender, AbortHandle, OwnedSemaphorePermit)>,
}

impl Lease {
    /// Returns the request sender of the connection.
    pub(crate) fn sender(&mut self) -> Option<&mut ConnectionSender> {
        self.connection.as_mut().map(|it| &mut it.0)
    }

    /// Keeps the connection for later requests. To be called after the answer has ended properly.
    pub(crate) fn keep(mut self, keep_alive: Option<Duration>) {
        let Some((mut sender, task, permit)) = self.connection.take() else { return };
        let upstream = Arc::clone(&self.upstream);
        let keep = match keep_alive {
            Some(it) => it.checked_sub(KEEP_ALIVE_MARGIN).unwrap_or(Duration::from_millis(300)),
            None => DEFAULT_KEEP_ALIVE,
        };
        tokio::spawn(async move {
            // Bytes after the answer are an error: the connection ends here and is not used again.
            let keeps = upstream.is_open() && upstream.keeps_idle.load(Ordering::Relaxed);
            if sender.ready().await.is_err() || !keeps {
                task.abort();
                return;
            }
            let expires = Instant::now() + keep;
            upstream.lock_idle().push(Idle { sender, task, permit, expires });
            upstream.idle_added.notify_one();
            sleep_until(expires).await;
            upstream.close_idle(false);
        });
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some((_, task, _)) = &self.connection {
            task.abort();
        }
    }
}
