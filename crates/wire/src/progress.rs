//! Finds connections that went silent, by bytes that move and not by the state of the socket.

use std::future::Future;
use std::io;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::timeout;

use crate::{SILENCE, WireError, traffic};

/// How many times in [`SILENCE`] progress is looked for.
const SLICES: u32 = 4;

/// Counts the bytes that moved in one direction.
#[derive(Clone, Debug, Default)]
pub(crate) struct Meter(Arc<AtomicU64>);

impl Meter {
    fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns how many bytes have moved.
    pub(crate) fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Runs `work` for as long as bytes move.
    ///
    /// A device between the two ends may lose track of a connection: writes are accepted by the
    /// kernel, reads wait for good, and no error ever comes. Heartbeats make bytes move on a
    /// healthy connection, so that none in [`SILENCE`] means that it is dead. Counting bytes in
    /// place of frames lets a large frame take its time.
    pub(crate) async fn watch<T>(&self, work: impl Future<Output = T>) -> Result<T, WireError> {
        let mut work = pin!(work);
        let mut seen = self.get();
        let mut idle = 0;
        while idle < SLICES {
            if let Ok(done) = timeout(SILENCE / SLICES, &mut work).await {
                return Ok(done);
            }
            let now = self.get();
            idle = if now == seen { idle + 1 } else { 0 };
            seen = now;
        }
        Err(WireError::Silent)
    }
}

/// One half of a socket whose bytes are counted.
#[derive(Debug)]
pub(crate) struct Metered<S> {
    inner: S,
    meter: Meter,
}

impl<S> Metered<S> {
    pub(crate) fn new(inner: S) -> Self {
        Self { inner, meter: Meter::default() }
    }

    pub(crate) fn meter(&self) -> Meter {
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
