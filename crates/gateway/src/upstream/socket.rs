//! The socket of a connection to an upstream, and how long its kernel may acknowledge nothing.

use std::io;
use std::net::Shutdown;
use std::pin::{Pin, pin};
use std::sync::{Arc, Weak};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use super::window::{self, Sending};

#[cfg(test)]
mod tests;

/// How long sent bytes may stay unacknowledged before a connection counts as dead. A connection can
/// go silent without a reset, and only the kernel's timer shows that to a task that waits for an
/// answer. A sound upstream may be silent for a second. With this timeout set, the kernel gives up on
/// keep-alive probes after it too, whatever their number.
pub(super) const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_200);

/// The time before the first keep-alive probe of a silent connection, and between two of them; the
/// kernel counts in whole seconds. Two probes go out before [`TCP_USER_TIMEOUT`] is over.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

const _: () = assert!(KEEPALIVE_INTERVAL.as_millis() * 2 < TCP_USER_TIMEOUT.as_millis());

/// The pause between two questions to the kernel about a request that has no answer.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);

/// Sets the socket options of a connection to an upstream.
pub(crate) fn configure(stream: &TcpStream) -> std::io::Result<()> {
    let keepalive =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    let socket = SockRef::from(stream);
    stream.set_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    socket.set_tcp_keepalive(&keepalive.with_retries(2))
}

/// A TCP stream whose socket can be looked at while a connection uses it.
pub(super) struct SharedStream(Arc<TcpStream>);

impl SharedStream {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self(Arc::new(stream))
    }

    /// Returns a reference that doesn't keep the socket open.
    pub(super) fn socket(&self) -> Weak<TcpStream> {
        Arc::downgrade(&self.0)
    }
}

/// Repeats `act` until it would not block or the stream isn't ready.
fn poll_io<T>(
    mut poll_ready: impl FnMut() -> Poll<io::Result<()>>,
    mut act: impl FnMut() -> io::Result<T>,
) -> Poll<io::Result<T>> {
    loop {
        ready!(poll_ready())?;
        match act() {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            done => return Poll::Ready(done),
        }
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let stream = &self.0;
        poll_io(|| stream.poll_read_ready(context), || stream.try_read_buf(buffer).map(drop))
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let stream = &self.0;
        poll_io(|| stream.poll_write_ready(context), || stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let stream = &self.0;
        poll_io(|| stream.poll_write_ready(context), || stream.try_write_vectored(buffers))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }
}

/// Keeps a connection whose peer has no room for what is sent, as long as the peer's kernel says so: the
/// user timeout would end it. Where the kernel gives no account, its own timeout stays in force.
#[derive(Debug)]
pub(crate) struct Patience {
    socket: Weak<TcpStream>,
    lifted: bool,
}

impl Patience {
    pub(super) fn new(socket: Weak<TcpStream>) -> Self {
        Self { socket, lifted: false }
    }

    /// Waits for the answer to a request that is being sent.
    pub(crate) async fn hold<T>(mut self, answer: impl Future<Output = T>) -> T {
        let mut answer = pin!(answer);
        let begun = Instant::now();
        let mut before = self.query();
        while let Some(sending) = before {
            // The kernel counts from when there was no room first, which may have been in an earlier request.
            self.set_lifted(true);
            if let Ok(answered) = timeout(QUERY_INTERVAL, &mut answer).await {
                return answered;
            }
            before = self.query();
            if before.is_some_and(|it| is_lost(sending, it, begun.elapsed())) {
                self.close();
                break;
            }
        }
        self.set_lifted(false);
        answer.await
    }

    fn query(&self) -> Option<Sending> {
        let stream = self.socket.upgrade()?;
        let query = || window::query(stream.local_addr()?, stream.peer_addr()?);
        query().inspect_err(|error| log::debug!(cause:% = error; "no account of a connection")).ok()
    }

    /// Ends a connection whose peer can't be reached, as the kernel does after its timeout.
    fn close(&self) {
        let Some(stream) = self.socket.upgrade() else { return };
        // The connection may have ended meanwhile.
        let _ = SockRef::from(&*stream).shutdown(Shutdown::Both);
    }

    fn set_lifted(&mut self, lifted: bool) {
        let Some(stream) = self.socket.upgrade().filter(|_| lifted != self.lifted) else { return };
        self.lifted = lifted;
        let limit = if lifted { None } else { Some(TCP_USER_TIMEOUT) };
        if let Err(error) = SockRef::from(&*stream).set_tcp_user_timeout(limit) {
            log::warn!(cause:% = error; "failed to set the timeout of a connection");
        }
    }
}

impl Drop for Patience {
    fn drop(&mut self) {
        self.set_lifted(false);
    }
}

/// Returns whether the peer can't be reached any more, by two looks at a request that was begun `waited` ago.
/// What was sent just before a single look has no answer yet.
fn is_lost(before: Sending, now: Sending, waited: Duration) -> bool {
    match (before, now) {
        (Sending::Unanswered(_), Sending::Unanswered(silent)) => {
            silent.min(waited) >= TCP_USER_TIMEOUT
        }
        _ => false,
    }
}
