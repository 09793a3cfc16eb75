//! Detects silent connections by the bytes that move, as the state of a socket does not show them.

use std::future::Future;
use std::io;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::timeout;

use crate::{SILENCE_TIMEOUT, WireError, traffic};

/// The number of checks for progress within [`SILENCE_TIMEOUT`].
const CHECKS_PER_TIMEOUT: u32 = 4;

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
    /// so none within [`SILENCE_TIMEOUT`] means that it is dead. Bytes are counted instead of frames,
    /// because a large frame may take longer.
    pub(crate) async fn watch<T>(&self, work: impl Future<Output = T>) -> Result<T, WireError> {
        let mut work = pin!(work);
        let mut seen = self.get();
        let mut idle = 0;
        while idle < CHECKS_PER_TIMEOUT {
            if let Ok(done) = timeout(SILENCE_TIMEOUT / CHECKS_PER_TIMEOUT, &mut work).await {
                return Ok(done);
            }
            let now = self.get();
            idle = if now == seen { idle + 1 } else { 0 };
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
