//! Detects silent connections by the bytes that move, as the state of a socket does not show them.

use std::future::Future;
use std::io;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::timeout;

use crate::{SILENCE_TIMEOUT, WireError, traffic};

/// The interval of checks for progress.
const CHECK_INTERVAL: Duration = SILENCE_TIMEOUT.checked_div(4).expect("not zero");

/// The time without progress after which a connection counts as silent.
#[derive(Debug)]
pub(crate) struct SilenceLimit(AtomicU64);

impl Default for SilenceLimit {
    fn default() -> Self {
        let limit = Self(AtomicU64::new(0));
        limit.set(SILENCE_TIMEOUT);
        limit
    }
}

impl SilenceLimit {
    pub(crate) fn set(&self, limit: Duration) {
        self.0.store(limit.as_millis() as u64, Ordering::Relaxed);
    }

    fn get(&self) -> Duration {
        Duration::from_millis(self.0.load(Ordering::Relaxed))
    }
}

/// Counts the bytes that move in one direction.
#[derive(Clone, Debug, Default)]
pub(crate) struct ByteMeter(Arc<AtomicU64>);

impl ByteMeter {
    fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the number of bytes that have moved.
    pub(crate) fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Runs `work` as long as bytes move; returns [`WireError::Silent`] if none do.
    ///
    /// A device between the two ends may lose track of a connection: the kernel accepts writes, reads
    /// wait forever, and no error is reported. Heartbeats keep bytes moving on a healthy connection,
    /// so none within `limit` means that it is dead. Bytes are counted instead of frames, because a
    /// large frame may take longer.
    pub(crate) async fn watch<T>(
        &self,
        limit: &SilenceLimit,
        work: impl Future<Output = T>,
    ) -> Result<T, WireError> {
        let mut work = pin!(work);
        let mut seen = self.get();
        let mut idle = Duration::ZERO;
        while idle < limit.get() {
            if let Ok(done) = timeout(CHECK_INTERVAL, &mut work).await {
                return Ok(done);
            }
            let now = self.get();
            idle = if now == seen { idle + CHECK_INTERVAL } else { Duration::ZERO };
            seen = now;
        }
        Err(WireError::Silent)
    }
}

/// One half of a socket, with a count of its bytes.
#[derive(Debug)]
pub(crate) struct Metered<S> {
    inner: S,
    meter: ByteMeter,
}

impl<S> Metered<S> {
    pub(crate) fn new(inner: S) -> Self {
        Self { inner, meter: ByteMeter::default() }
    }

    pub(crate) fn meter(&self) -> ByteMeter {
        self.meter.clone()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        let bytes = buf.filled().len() - before;
        self.meter.add(bytes);
        traffic::received(bytes);
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Metered<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(bytes)) = &polled {
            self.meter.add(*bytes);
            traffic::sent(*bytes);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
