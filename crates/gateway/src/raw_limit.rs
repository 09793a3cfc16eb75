//! Bounds the raw bytes of a response, whatever the HTTP library makes of them.
//!
//! The HTTP library bounds a head, but neither the interim responses before it nor what stands between the
//! chunks of a body, such as zeros before the size of a chunk.

#[cfg(test)]
mod tests;

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The largest head of a response, in bytes.
pub const MAX_HEAD_BYTES: usize = 64 << 10;

/// The bytes that may come between a request and the end of the head of its response: a head, and
/// as much again of interim responses. The library reads up to two buffers of the body before the
/// end of the head is known here.
const MAX_BYTES: u64 = 4 * MAX_HEAD_BYTES as u64;

/// The bytes of a body, with its framing, that may come ahead of its data. The library holds up to three
/// buffers of [`MAX_HEAD_BYTES`] that were not handed out as data.
const MAX_AHEAD: u64 = 4 * MAX_HEAD_BYTES as u64;

/// How many raw bytes may come for each byte of data: its framing is at most as long as it is.
const RAW_PER_DATA: u64 = 2;

/// The state in which no response is awaited.
const UNLIMITED: u64 = u64::MAX;

/// The bytes that a connection may still bring.
#[derive(Clone, Debug)]
pub struct RawLimit(Arc<AtomicU64>);

impl Default for RawLimit {
    fn default() -> Self {
        Self(Arc::new(AtomicU64::new(UNLIMITED)))
    }
}

impl RawLimit {
    /// Begins to count when a request is sent.
    pub fn begin(&self) {
        self.0.store(MAX_BYTES, Ordering::Relaxed);
    }

    /// Bounds the body from now on, when the head of the response has come.
    pub fn begin_body(&self) {
        self.0.store(MAX_AHEAD, Ordering::Relaxed);
    }

    /// Records data of the body that the library has handed out.
    pub fn record_data(&self, bytes: usize) {
        let more = RAW_PER_DATA * bytes as u64;
        // What is exceeded stays so.
        let left = |it: u64| (it != UNLIMITED && it != 0).then(|| it.saturating_add(more));
        let _ = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, left);
    }

    /// Returns whether too many bytes have come.
    pub fn is_exceeded(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }

    /// Counts bytes that were read; returns whether more may come.
    fn take(&self, bytes: usize) -> bool {
        let left = |it: u64| (it != UNLIMITED).then(|| it.saturating_sub(bytes as u64));
        let counted = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, left);
        counted.is_err() || !self.is_exceeded()
    }
}

/// A connection whose reads fail once too many bytes of a response have come.
#[derive(Debug)]
pub struct RawLimited<S> {
    stream: S,
    limit: RawLimit,
}

impl<S> RawLimited<S> {
    /// Creates a connection that counts with `limit`.
    pub fn new(stream: S, limit: RawLimit) -> Self {
        Self { stream, limit }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for RawLimited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let read = buffer.filled().len() - before;
        if self.limit.take(read) {
            return Poll::Ready(Ok(()));
        }
        // A failed read must not have filled the buffer.
        buffer.set_filled(before);
        let error = "a response brings too many bytes";
        Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for RawLimited<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }
}
