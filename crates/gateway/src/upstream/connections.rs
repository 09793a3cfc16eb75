//! The connections of this entry to an upstream.

use std::sync::atomic::Ordering;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use super::Upstream;
use super::lending::{KEEP_TIME, Permit};
use crate::partition::Cut;
use crate::path::relay::{Reach, RelayState};
use crate::path::state::Path;
use crate::raw_limit::{MAX_HEAD_BYTES, RawLimit, RawLimited};
use crate::response_limit::{ResponseLimit, ResponseMeter};

/// The timeout for opening a connection. A lost SYN packet is sent again only after seconds, so a
/// second try reaches the upstream sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long opening a connection through another entry may take, where several have to be asked.
const RELAY_TIMEOUT: Duration = Duration::from_millis(900);

/// How long an idle connection is kept if the upstream announces no keep-alive time.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// How much earlier than announced an idle connection is closed, because the upstream may close it
/// while a request is being sent.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_100);

/// How long sent bytes may stay unacknowledged before a connection counts as dead. A connection can
/// go silent without a reset, and only the kernel's timer shows that to a task that waits for an
/// answer. A sound upstream may be silent for a second. With this timeout set, the kernel gives up on
/// keep-alive probes after it too, whatever their number.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_200);

/// The time before the first keep-alive probe of a silent connection, and between two of them; the
/// kernel counts in whole seconds. Two probes go out before [`TCP_USER_TIMEOUT`] is over.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

const _: () = assert!(KEEPALIVE_INTERVAL.as_millis() * 2 < TCP_USER_TIMEOUT.as_millis());

/// The request sender of an HTTP connection.
pub(crate) type ConnectionSender = SendRequest<Full<Bytes>>;

type HttpConnection<T> = http1::Connection<TokioIo<RawLimited<T>>, Full<Bytes>>;

/// An open connection.
#[derive(Debug)]
struct Opened {
    sender: ConnectionSender,
    raw_limit: RawLimit,
    task: AbortHandle,
    /// The state of the entry that relays it, if one does.
    relay: Option<Arc<RelayState>>,
    /// Whether a call was sent on it.
    is_used: bool,
}

/// A connection that no request uses.
#[derive(Debug)]
pub(super) struct Idle {
    opened: Opened,
    permit: Permit,
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

/// Which connection a call may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// One that is kept, or a new one.
    Any,
    /// A new one.
    New,
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
    /// The upstream ended new connections before the request was written, as one does that has too many.
    Ended,
}

impl Upstream {
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

    /// Returns whether this entry may send one more request without waiting for a connection.
    pub(crate) fn has_connection(&self) -> bool {
        self.running() < self.usable_connections()
    }

    /// Returns whether the requests that have begun need more connections than this entry may use.
    pub(crate) fn lacks_connections(&self) -> bool {
        self.running() > self.usable_connections()
    }

    fn usable_connections(&self) -> u32 {
        let own = self.connection_limit.load(Ordering::Relaxed);
        (own + self.borrowed_connections()).saturating_sub(self.lent_connections())
    }

    /// Returns a permit that is free, or that of an idle connection, which is closed.
    pub(super) fn free_permit(&self) -> Option<OwnedSemaphorePermit> {
        let free = Arc::clone(&self.permits).try_acquire_owned().ok();
        free.or_else(|| self.release_idle())
    }

    /// Closes an idle connection; returns the permit that it had.
    fn release_idle(&self) -> Option<OwnedSemaphorePermit> {
        let mut idle = self.lock_idle();
        let own = idle.iter().rposition(|it| matches!(it.permit, Permit::Own(_)))?;
        let Idle { opened, permit, .. } = idle.remove(own);
        opened.task.abort();
        match permit {
            Permit::Own(permit) => Some(permit),
            Permit::Borrowed(_) => None,
        }
    }

    /// Returns an idle connection if `reuse` allows it, or opens a new one before `deadline`, for a request
    /// that ends at `end`.
    pub(crate) async fn connect(
        self: &Arc<Self>,
        deadline: Instant,
        end: Instant,
        reuse: Reuse,
    ) -> Result<Lease, ConnectError> {
        let by = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let permit = loop {
            if reuse == Reuse::Any
                && let Some(lease) = self.take_idle(end)
            {
                return Ok(lease);
            }
            if reuse == Reuse::New
                && let Some(permit) = self.free_permit()
            {
                break Permit::Own(permit);
            }
            if let Some(borrowed) = self.take_borrowed(end) {
                break Permit::Borrowed(borrowed);
            }
            tokio::select! {
                permit = timeout_at(by, Arc::clone(&self.permits).acquire_owned()) => {
                    let Ok(Ok(permit)) = permit else { return Err(ConnectError::LimitReached) };
                    break Permit::Own(permit);
                }
                // The connection of a request that has just ended keeps its permit.
                () = self.idle_added.notified() => {}
            }
        };
        if reuse == Reuse::Any
            && let Some(lease) = self.take_idle(end)
        {
            return Ok(lease);
        }
        let opened = self.open(by, deadline).await?;
        let connection = Some((opened, permit));
        Ok(Lease { upstream: Arc::clone(self), connection, is_kept: false })
    }

    /// Opens a connection: on the entry's own path before `by`, or through another entry before
    /// `deadline` while this one is cut off.
    async fn open(&self, by: Instant, deadline: Instant) -> Result<Opened, ConnectError> {
        if self.paths.path(&self.service) == Path::CutOff
            && let Some(relayed) = self.open_relayed(deadline).await
        {
            return relayed;
        }
        let opened = self.open_directly(by).await;
        match opened {
            Err(why) if self.paths.path(&self.service) != Path::Open => {
                self.open_relayed(deadline).await.unwrap_or(Err(why))
            }
            opened => opened,
        }
    }

    async fn open_directly(&self, by: Instant) -> Result<Opened, ConnectError> {
        let stream = match timeout_at(by, self.paths.dial(self.address)).await {
            Ok(Ok(stream)) => stream,
            failed => {
                self.paths.record_failure(&self.service, self.id_hash);
                return Err(match failed {
                    Ok(_) => ConnectError::Refused,
                    Err(_) => ConnectError::TimedOut,
                });
            }
        };
        self.paths.record_success(&self.service);
        configure(&stream).map_err(|_| ConnectError::Refused)?;
        let (sender, raw_limit, connection) =
            timeout_at(by, start(stream)).await.unwrap_or(Err(ConnectError::TimedOut))?;
        let paths = Arc::clone(&self.paths);
        let task = tokio::spawn(async move {
            tokio::select! {
                // The request sender reports the cause of an error.
                _ = connection => {}
                cut = paths.cut_open() => if cut == Cut::Hang {
                    // As long as the kernel takes to give up a connection without a path.
                    sleep(TCP_USER_TIMEOUT).await;
                }
            }
        });
        let task = task.abort_handle();
        Ok(Opened { sender, raw_limit, task, relay: None, is_used: false })
    }

    /// Opens a connection through another entry; returns `None` if no entry relays it.
    async fn open_relayed(&self, deadline: Instant) -> Option<Result<Opened, ConnectError>> {
        let deadline = deadline.min(Instant::now() + RELAY_TIMEOUT);
        let relayed = match self.paths.open_relayed(self.address, deadline).await? {
            Ok(relayed) => relayed,
            Err(why) => return Some(Err(why)),
        };
        let started = timeout_at(deadline, start(relayed.stream)).await;
        let (sender, raw_limit, connection) = match started.unwrap_or(Err(ConnectError::TimedOut)) {
            Ok(started) => started,
            Err(why) => return Some(Err(why)),
        };
        let task = tokio::spawn(async move {
            // The request sender reports the cause of an error.
            let _ = connection.await;
        });
        let (task, relay) = (task.abort_handle(), Some(relayed.state));
        Some(Ok(Opened { sender, raw_limit, task, relay, is_used: false }))
    }

    /// Checks in the background whether the upstream can be reached on the entry's own path, and
    /// suspects the path to its service if not.
    pub(crate) fn check_path(self: &Arc<Self>) {
        if !self.paths.begin_check(&self.service) {
            return;
        }
        let upstream = Arc::clone(self);
        tokio::spawn(async move {
            let Self { paths, service, address, .. } = &*upstream;
            if let Ok(Ok(_)) = timeout(CONNECT_TIMEOUT, paths.dial(*address)).await {
                paths.record_success(service);
                return;
            }
            paths.record_failure(service, upstream.id_hash);
            paths.suspect(service);
        });
    }

    /// Returns what is known of the entry's own path to the service of the upstream.
    pub(crate) fn path(&self) -> Path {
        self.paths.path(&self.service)
    }

    /// Tries whether the upstream accepts connections on the entry's own path.
    pub(crate) async fn reach(&self, limit: Duration) -> Reach {
        let reach = self.paths.reach(self.address, limit).await;
        if reach == Reach::Refused {
            self.paths.record_failure(&self.service, self.id_hash);
        }
        reach
    }

    /// Asks other entries whether the upstream accepts connections.
    pub(crate) async fn reach_of_others(&self) -> Reach {
        self.paths.reach_of_others(self.address).await
    }

    /// Records that a connection was lost.
    pub(crate) fn record_lost_connection(&self) {
        self.paths.record_failure(&self.service, self.id_hash);
    }

    /// Returns an idle connection for a request that ends at `end`; one of its own if there is one, so that
    /// borrowed ones go back.
    fn take_idle(self: &Arc<Self>, end: Instant) -> Option<Lease> {
        let mut idle = self.lock_idle();
        let now = Instant::now();
        let cut_off = self.paths.path(&self.service) == Path::CutOff;
        idle.retain(|it| {
            // The own path is shorter than a relay's.
            let relays = it.opened.relay.as_ref().is_none_or(|it| cut_off && it.is_usable());
            let usable = relays && it.opened.sender.is_ready() && now < it.expires;
            if !usable {
                it.opened.task.abort();
            }
            usable
        });
        let is_own = |it: &Idle| matches!(it.permit, Permit::Own(_));
        let lasts = |it: &Idle| matches!(&it.permit, Permit::Borrowed(it) if it.lasts(end));
        let found = idle.iter().rposition(is_own).or_else(|| idle.iter().rposition(lasts))?;
        let Idle { opened, permit, .. } = idle.remove(found);
        let connection = Some((opened, permit));
        Some(Lease { upstream: Arc::clone(self), connection, is_kept: true })
    }

    fn lock_idle(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes idle connections: all of them, or those whose time is over.
    pub(crate) fn close_idle(&self, all: bool) {
        let mut idle = self.lock_idle();
        let now = Instant::now();
        idle.retain(|it| {
            let keep = !all && now < it.expires && !it.opened.sender.is_closed();
            if !keep {
                it.opened.task.abort();
            }
            keep
        });
    }
}

/// Sets the socket options of a connection to an upstream.
pub(crate) fn configure(stream: &TcpStream) -> std::io::Result<()> {
    let keepalive =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    let socket = SockRef::from(stream);
    stream.set_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    socket.set_tcp_keepalive(&keepalive.with_retries(2))
}

/// Starts HTTP on a connection.
async fn start<T>(
    stream: T,
) -> Result<(ConnectionSender, RawLimit, HttpConnection<T>), ConnectError>
where
    T: AsyncRead + AsyncWrite + Unpin,
{
    let limit = RawLimit::default();
    let stream = TokioIo::new(RawLimited::new(stream, limit.clone()));
    let started = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(stream).await;
    let (sender, connection) = started.map_err(|_| ConnectError::Refused)?;
    Ok((sender, limit, connection))
}

/// A connection in use. If it is dropped before its answer has ended, it is closed, which makes the
/// upstream cancel the request.
#[derive(Debug)]
pub(crate) struct Lease {
    upstream: Arc<Upstream>,
    connection: Option<(Opened, Permit)>,
    is_kept: bool,
}

impl Lease {
    /// Records that a call is sent on the connection. Returns the request sender, and whether the call is
    /// the first one.
    pub(crate) fn begin_call(&mut self) -> Option<(&mut ConnectionSender, bool)> {
        let (opened, _) = self.connection.as_mut()?;
        let is_first = !std::mem::replace(&mut opened.is_used, true);
        Some((&mut opened.sender, is_first))
    }

    /// Returns what bounds the raw bytes of the connection's responses.
    pub(crate) fn raw_limit(&self) -> RawLimit {
        self.connection.as_ref().map_or_else(RawLimit::default, |it| it.0.raw_limit.clone())
    }

    /// Returns the meter of a response on the connection.
    pub(crate) fn meter(&self, limit: ResponseLimit) -> ResponseMeter {
        ResponseMeter::new(limit, self.raw_limit())
    }

    /// Returns whether the connection was open before the request, on the entry's own path.
    pub(crate) fn is_kept(&self) -> bool {
        self.is_kept && self.connection.as_ref().is_some_and(|it| it.0.relay.is_none())
    }

    /// Keeps the connection for later requests. To be called after the answer has ended properly.
    pub(crate) fn keep(mut self, keep_alive: Option<Duration>) {
        let Some((mut opened, permit)) = self.connection.take() else { return };
        let upstream = Arc::clone(&self.upstream);
        let keep = match keep_alive {
            Some(it) => it.checked_sub(KEEP_ALIVE_MARGIN).unwrap_or(Duration::from_millis(300)),
            None => DEFAULT_KEEP_ALIVE,
        };
        let keep = match &permit {
            Permit::Own(_) => keep,
            Permit::Borrowed(_) => keep.min(KEEP_TIME),
        };
        tokio::spawn(async move {
            // Bytes after the answer are an error: the connection ends here and is not used again.
            let relays = opened.relay.as_ref().is_none_or(|it| it.is_usable());
            let keeps = upstream.is_open() && upstream.keeps_idle.load(Ordering::Relaxed) && relays;
            if opened.sender.ready().await.is_err() || !keeps {
                opened.task.abort();
                return;
            }
            let expires = Instant::now() + keep;
            upstream.lock_idle().push(Idle { opened, permit, expires });
            upstream.idle_added.notify_one();
            sleep_until(expires).await;
            upstream.close_idle(false);
        });
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some((opened, _)) = &self.connection {
            opened.task.abort();
        }
    }
}
