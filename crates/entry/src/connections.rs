//! Tracks the callers' connections outside the HTTP library.
//!
//! The HTTP library does not read a connection while a handler runs. A caller that left is
//! therefore noticed only when its answer is written, and its work runs on for nobody; nor can a
//! drain close idle connections. So the entry keeps a second handle to each socket. It never reads
//! or writes through that handle: it only watches for the caller closing its side, and shuts the
//! socket down.

use std::collections::HashMap;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest, Ready};
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::time::timeout;
use xitca_io::net::{Stream, TcpListener};
use xitca_server::net::{IntoListener, Listen};

/// How long sent bytes may stay unacknowledged by a caller before the kernel closes the connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a refused connection stays open for its caller to read the answer.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// The response to a connection beyond the limit. Its request is not read, so the outcome of other
/// attempts under its key is unknown.
const LIMIT_RESPONSE: &str = "HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
    mothplank-outcome: unknown\r\ncontent-type: application/problem+json\r\nconnection: close\r\n\
    content-length: 149\r\n\r\n{\"type\":\"urn:mothplank:connections\",\"title\":\"The request \
    was not read\",\"status\":503,\"outcome\":\"unknown\",\"reason\":\"connections\",\
    \"retry_after_ms\":1000}";

/// A connection from a caller.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    busy: AtomicUsize,
    /// The deadline of the latest request, in milliseconds since `opened`.
    deadline_ms: AtomicU64,
    opened: Instant,
}

/// Marks its connection as carrying a request until the request's answer is written.
#[derive(Debug)]
pub(crate) struct ConnectionGuard(Option<Arc<Connection>>);

impl ConnectionGuard {
    /// Marks the connection as carrying a request. `within` is the longest time until the caller
    /// has read the answer.
    pub(crate) fn begin(connection: Option<Arc<Connection>>, within: Duration) -> Self {
        if let Some(connection) = &connection {
            let deadline_ms = (connection.opened.elapsed() + within).as_millis() as u64;
            connection.deadline_ms.store(deadline_ms, Ordering::SeqCst);
            connection.busy.fetch_add(1, Ordering::SeqCst);
        }
        Self(connection)
    }

    /// Completes when the caller has closed its side; pending forever if the connection is unknown.
    pub(crate) fn poll_closed(&self, cx: &mut Context<'_>) -> Poll<()> {
        match &self.0 {
            Some(connection) => connection.poll_closed(cx),
            None => Poll::Pending,
        }
    }

    /// Closes the connection at once, so that a cut answer cannot be taken for a complete one.
    pub(crate) fn cut(&self) {
        if let Some(connection) = &self.0 {
            connection.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        if let Some(connection) = &self.0 {
            connection.busy.fetch_sub(1, Ordering::SeqCst);
        }
    }
}

impl Connection {
    /// Completes when the caller has closed its side. Leaves the bytes of a further request unread.
    fn poll_closed(&self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            let ready = ready!(self.stream.poll_read_ready(cx));
            if ready.is_err() || self.is_closed() {
                return Poll::Ready(());
            }
            let ignore = || Err::<(), _>(io::ErrorKind::WouldBlock.into());
            let _ = self.stream.try_io(Interest::READABLE, ignore);
        }
    }

    /// Returns whether the deadline of its request has passed.
    ///
    /// A caller that stops reading in the middle of its answer but keeps the connection open would
    /// otherwise block the write, and with it a drain, forever.
    fn is_stalled(&self) -> bool {
        let busy = self.busy.load(Ordering::SeqCst) > 0;
        busy && self.opened.elapsed().as_millis() as u64 > self.deadline_ms.load(Ordering::SeqCst)
    }

    fn is_closed(&self) -> bool {
        match self.stream.ready(Interest::READABLE).now_or_never() {
            Some(Ok(ready)) => is_closed(ready),
            Some(Err(_)) => true,
            None => false,
        }
    }

    fn shutdown(&self, how: Shutdown) {
        if let Err(e) = SockRef::from(&self.stream).shutdown(how) {
            log::debug!("failed to shut down a caller's connection: {e}");
        }
    }
}

fn is_closed(ready: Ready) -> bool {
    ready.is_read_closed() || ready.is_error()
}

/// All connections from callers.
#[derive(Debug)]
pub(crate) struct Connections {
    connections: Mutex<HashMap<SocketAddr, Arc<Connection>>>,
    limit: usize,
    runtime: Handle,
}

impl Connections {
    pub(crate) fn new(limit: usize, runtime: Handle) -> Self {
        Self { connections: Mutex::default(), limit, runtime }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Connection>>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn get(&self, address: &SocketAddr) -> Option<Arc<Connection>> {
        self.lock().get(address).map(Arc::clone)
    }

    pub(crate) fn len(&self) -> usize {
        self.lock().len()
    }

    /// Returns whether the limit of connections is reached. Closed connections count until they are
    /// swept, so they are swept first: callers that open one connection per request would otherwise
    /// reach the limit between two sweeps.
    fn is_full(&self) -> bool {
        if self.len() < self.limit {
            return false;
        }
        self.sweep();
        self.len() >= self.limit
    }

    fn refuse(&self, stream: std::net::TcpStream) {
        self.runtime.spawn(timeout(REFUSAL_TIMEOUT, refuse(stream)));
    }

    fn add(&self, stream: &std::net::TcpStream, address: SocketAddr) -> io::Result<()> {
        let _context = self.runtime.enter();
        let stream = TcpStream::from_std(stream.try_clone()?)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
        stream.set_nodelay(true)?;
        let (busy, deadline_ms, opened) = (AtomicUsize::new(0), AtomicU64::new(0), Instant::now());
        let connection = Arc::new(Connection { stream, busy, deadline_ms, opened });
        self.lock().insert(address, connection);
        Ok(())
    }

    /// Closes connections whose caller does not read, and removes those that are closed. Called
    /// every few hundred milliseconds, because a socket is freed only when both handles are gone.
    pub(crate) fn sweep(&self) {
        let mut connections = self.lock();
        connections
            .values()
            .filter(|it| it.is_stalled())
            .for_each(|it| it.shutdown(Shutdown::Both));
        connections.retain(|_, connection| !connection.is_closed());
    }

    /// Closes the connections that carry no request. What a caller has already sent is still read.
    pub(crate) fn close_idle(&self) {
        let connections: Vec<_> = self.lock().values().map(Arc::clone).collect();
        let idle = connections.iter().filter(|it| it.busy.load(Ordering::SeqCst) == 0);
        idle.for_each(|it| it.shutdown(Shutdown::Read));
    }
}

/// A listener for callers that keeps a second handle to each connection.
pub(crate) struct TrackingAcceptor {
    pub(crate) listener: std::net::TcpListener,
    pub(crate) connections: Arc<Connections>,
}

/// A [`TrackingAcceptor`] on the server's runtime.
pub(crate) struct TrackingListener {
    listener: TcpListener,
    connections: Arc<Connections>,
}

impl IntoListener for TrackingAcceptor {
    type Listener = TrackingListener;

    fn into_listener(self) -> io::Result<TrackingListener> {
        let listener = IntoListener::into_listener(self.listener)?;
        Ok(TrackingListener { listener, connections: self.connections })
    }
}

impl Listen for TrackingListener {
    async fn accept(&self) -> io::Result<Stream> {
        loop {
            let (stream, address) = self.listener.accept().await?;
            let stream = stream.into_std()?;
            if self.connections.is_full() {
                self.connections.refuse(stream);
                continue;
            }
            match self.connections.add(&stream, address) {
                Ok(()) => return Ok(Stream::Tcp(stream, address)),
                Err(e) => log::warn!(
                    "failed to track a caller's connection from {address}, closing it: {e}"
                ),
            }
        }
    }
}

/// Sends [`LIMIT_RESPONSE`] and closes. What the caller sends meanwhile is read and dropped:
/// closing with unread bytes would reset the connection and discard the answer.
async fn refuse(stream: std::net::TcpStream) -> io::Result<()> {
    let mut stream = TcpStream::from_std(stream)?;
    stream.write_all(LIMIT_RESPONSE.as_bytes()).await?;
    stream.shutdown().await?;
    let mut rest = [0; 4096];
    while stream.read(&mut rest).await? > 0 {}
    Ok(())
}
