//! One life of an upstream: its connections, its load from here, and its health.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout_at};

use crate::life::{Born, Life, Lives};
use crate::place::score;

/// How long opening a connection may take. A lost opening packet is sent again only after seconds,
/// so a second try reaches the upstream sooner.
const CONNECT: Duration = Duration::from_millis(250);

/// How long an idle connection is kept where the upstream doesn't say.
const IDLE: Duration = Duration::from_secs(4);

/// How much earlier than announced an idle connection is given up: closing crosses with sending.
const IDLE_MARGIN: Duration = Duration::from_millis(1_100);

/// After how long without an acknowledgement a connection counts as dead. A connection can go
/// silent without a reset, and only the kernel's own timer shows it to who waits for an answer.
const SILENT: Duration = Duration::from_millis(1_500);

/// The pause between two probes of an idle connection; the kernel counts in whole seconds.
const PROBE: Duration = Duration::from_secs(1);

/// The first pause of an upstream that failed; it doubles with each failure in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(400);

/// The longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// How many failures in a row pause an upstream that still accepts connections.
const FAILURES: u32 = 3;

/// The sender of a connection.
pub(crate) type ConnectionSender = SendRequest<Full<Bytes>>;

/// One life of an upstream.
#[derive(Debug)]
pub struct Upstream {
    /// The id of this life.
    pub id: Arc<str>,
    /// A number drawn from the id, the same at every entry; orders upstreams for a prompt.
    pub mark: u64,
    /// Its service.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// How many requests it works on at once.
    pub slots: u32,
    lives: Lives,
    draining: AtomicBool,
    running: AtomicU32,
    tokens: AtomicU64,
    others: Others,
    health: Mutex<Health>,
    idle: Mutex<Vec<Idle>>,
    open: Arc<Semaphore>,
    allowed: AtomicU32,
}

/// What other entries have under way, as they told it last.
#[derive(Debug, Default)]
struct Others {
    running: AtomicU32,
    tokens: AtomicU64,
}

#[derive(Debug, Default)]
struct Health {
    failures: u32,
    paused: Option<Instant>,
}

#[derive(Debug)]
struct Idle {
    sender: ConnectionSender,
    task: AbortHandle,
    permit: OwnedSemaphorePermit,
    until: Instant,
}

/// Why no connection could be had. Nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoConnection {
    /// The upstream refused.
    Refused,
    /// The upstream did not answer in time.
    Silent,
    /// This entry's share of its connections is in use.
    Full,
}

impl Upstream {
    /// Makes an upstream from its listing, with `connections` for this entry.
    pub fn new(listed: &registry::Upstream, connections: u32) -> Self {
        let allowed = connections.max(1);
        Self {
            id: listed.id.as_str().into(),
            mark: score(0, &listed.id),
            service: listed.service.as_str().into(),
            address: listed.address,
            domain: listed.domain.as_str().into(),
            slots: listed.slots,
            lives: Lives::default(),
            draining: AtomicBool::new(listed.health == registry::Health::Draining),
            running: AtomicU32::new(0),
            tokens: AtomicU64::new(0),
            others: Others::default(),
            health: Mutex::default(),
            idle: Mutex::default(),
            open: Arc::new(Semaphore::new(allowed as usize)),
            allowed: AtomicU32::new(allowed),
        }
    }

    /// Marks it as leaving; it gets no new work.
    pub fn set_draining(&self, draining: bool) {
        self.draining.store(draining, Ordering::Relaxed);
    }

    /// Raises this entry's share of its connections; a lower one comes with the next life.
    pub fn allow(&self, connections: u32) {
        let before = self.allowed.fetch_max(connections, Ordering::Relaxed);
        if connections > before {
            self.open.add_permits((connections - before) as usize);
        }
    }

    /// Whether it may get new work.
    pub fn is_open(&self) -> bool {
        !self.draining.load(Ordering::Relaxed)
    }

    /// Whether it is passed over for its failures.
    pub fn is_paused(&self, now: Instant) -> bool {
        let health = self.health.lock().unwrap_or_else(PoisonError::into_inner);
        health.paused.is_some_and(|it| now < it)
    }

    /// The requests of this entry that it works on.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// The prompt tokens of this entry's requests that have no first event yet.
    pub fn tokens(&self) -> u64 {
        self.tokens.load(Ordering::Relaxed)
    }

    /// Takes what other entries have under way.
    pub(crate) fn set_others(&self, running: u32, tokens: u64) {
        self.others.running.store(running, Ordering::Relaxed);
        self.others.tokens.store(tokens, Ordering::Relaxed);
    }

    /// The requests of all entries that it works on.
    pub fn running_all(&self) -> u32 {
        self.running() + self.others.running.load(Ordering::Relaxed)
    }

    /// The prompt tokens of all entries' requests that have no first event yet.
    pub fn tokens_all(&self) -> u64 {
        self.tokens() + self.others.tokens.load(Ordering::Relaxed)
    }

    /// Counts a request with `tokens` to be read, until the guard is dropped.
    pub(crate) fn begin(self: &Arc<Self>, tokens: u64) -> Running {
        self.running.fetch_add(1, Ordering::Relaxed);
        self.tokens.fetch_add(tokens, Ordering::Relaxed);
        Running { upstream: Arc::clone(self), tokens }
    }

    /// Takes the birth that a message of it tells. With a new life its failures are forgotten, and
    /// idle connections to the one before are closed.
    pub fn observe(&self, born: Option<Born>) -> Life {
        let life = self.lives.observe(born);
        if life == Life::New {
            log::info!(upstream:% = self.id, born:% = born.map_or(0, |it| it.0);
                "an upstream has started again");
            *self.health.lock().unwrap_or_else(PoisonError::into_inner) = Health::default();
            self.sweep(true);
        }
        life
    }

    /// Notes a success.
    pub(crate) fn succeeded(&self) {
        let mut health = self.health.lock().unwrap_or_else(PoisonError::into_inner);
        if health.paused.take().is_some() {
            log::info!(upstream:% = self.id; "an upstream works again");
        }
        health.failures = 0;
    }

    /// Notes a failure; `hard` where it can't be reached at all.
    pub(crate) fn failed(&self, hard: bool) {
        let mut health = self.health.lock().unwrap_or_else(PoisonError::into_inner);
        health.failures += 1;
        let excess = if hard { health.failures } else { health.failures.saturating_sub(FAILURES) };
        if excess == 0 {
            return;
        }
        let pause = (FIRST_PAUSE * (1 << excess.min(4))).min(LONGEST_PAUSE);
        if health.paused.is_none() {
            log::warn!(upstream:% = self.id, service:% = self.service, failures = health.failures,
                hard, ms = pause.as_millis() as u64; "an upstream fails and is passed over");
        }
        health.paused = Some(Instant::now() + pause);
    }

    /// Takes a connection: an idle one, or a new one by `by`.
    pub(crate) async fn connect(self: &Arc<Self>, by: Instant) -> Result<Lease, NoConnection> {
        if let Some(lease) = self.take_idle() {
            return Ok(lease);
        }
        let by = by.min(Instant::now() + CONNECT);
        let permit = timeout_at(by, Arc::clone(&self.open).acquire_owned()).await;
        let Ok(Ok(permit)) = permit else { return Err(NoConnection::Full) };
        if let Some(lease) = self.take_idle() {
            return Ok(lease);
        }
        let opened = timeout_at(by, open(self.address)).await;
        let (sender, task) = match opened {
            Ok(opened) => opened?,
            Err(_) => return Err(NoConnection::Silent),
        };
        Ok(Lease { upstream: Arc::clone(self), parts: Some((sender, task, permit)) })
    }

    fn take_idle(self: &Arc<Self>) -> Option<Lease> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        while let Some(it) = idle.pop() {
            if it.sender.is_ready() && now < it.until {
                let parts = Some((it.sender, it.task, it.permit));
                return Some(Lease { upstream: Arc::clone(self), parts });
            }
            it.task.abort();
        }
        None
    }

    /// Closes the idle connections that are due, or all.
    pub(crate) fn sweep(&self, all: bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        idle.retain(|it| {
            let keep = !all && now < it.until && !it.sender.is_closed();
            if !keep {
                it.task.abort();
            }
            keep
        });
    }
}

async fn open(address: SocketAddr) -> Result<(ConnectionSender, AbortHandle), NoConnection> {
    let refused = |_| NoConnection::Refused;
    let stream = TcpStream::connect(address).await.map_err(refused)?;
    let keepalive = TcpKeepalive::new().with_time(SILENT).with_interval(PROBE);
    let socket = SockRef::from(&stream);
    let tuned = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(SILENT)))
        .and_then(|()| socket.set_tcp_keepalive(&keepalive.with_retries(2)));
    tuned.map_err(refused)?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(64 << 10)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|_| NoConnection::Refused)?;
    let task = tokio::spawn(async move {
        // The sender's side sees the cause.
        let _ = connection.await;
    });
    Ok((sender, task.abort_handle()))
}

/// A connection in use. Dropped before its answer has ended, it is closed, which ends the work at
/// the upstream.
#[derive(Debug)]
pub(crate) struct Lease {
    upstream: Arc<Upstream>,
    parts: Option<(ConnectionSender, AbortHandle, OwnedSemaphorePermit)>,
}

impl Lease {
    /// The connection's sender.
    pub(crate) fn sender(&mut self) -> Option<&mut ConnectionSender> {
        self.parts.as_mut().map(|it| &mut it.0)
    }

    /// Keeps the connection for the next request, once the answer has ended as it should.
    pub(crate) fn keep(mut self, keep_alive: Option<Duration>) {
        let Some((mut sender, task, permit)) = self.parts.take() else { return };
        let upstream = Arc::clone(&self.upstream);
        let keep = match keep_alive {
            Some(it) => it.checked_sub(IDLE_MARGIN).unwrap_or(Duration::from_millis(300)),
            None => IDLE,
        };
        tokio::spawn(async move {
            // Bytes after the answer end the connection here; it is never used again.
            if sender.ready().await.is_err() || !upstream.is_open() {
                task.abort();
                return;
            }
            let until = Instant::now() + keep;
            let mut idle = upstream.idle.lock().unwrap_or_else(PoisonError::into_inner);
            idle.push(Idle { sender, task, permit, until });
        });
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some((_, task, _)) = &self.parts {
            task.abort();
        }
    }
}

/// A request at work at an upstream.
#[derive(Debug)]
pub(crate) struct Running {
    upstream: Arc<Upstream>,
    tokens: u64,
}

impl Running {
    /// Notes that the prompt is read.
    pub(crate) fn started(&mut self) {
        self.upstream.tokens.fetch_sub(self.tokens, Ordering::Relaxed);
        self.tokens = 0;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.upstream.tokens.fetch_sub(self.tokens, Ordering::Relaxed);
        self.upstream.running.fetch_sub(1, Ordering::Relaxed);
    }
}
