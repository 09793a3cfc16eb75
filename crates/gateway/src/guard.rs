//! Watches the heads of a caller's connection for those that give a body two lengths (request smuggling).
//!
//! If a head has both `Content-Length` and `Transfer-Encoding`, one side may read it by the one and
//! the other side by the other. The rest of the body is then taken for a request that the caller
//! never made. The HTTP library resolves the conflict before a handler sees it, so the connection is
//! followed here. Such a request is refused, and the connection is closed.

mod chunks;
mod framing;

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

pub use self::framing::Framing;
use crate::head_timeout::ReadCounter;
use crate::unread::Linger;
use crate::write_tracker::WriteTracker;

/// How many requests of a connection are sound, and how many were taken.
#[derive(Clone, Debug)]
pub struct SoundHeads(Arc<Counts>);

#[derive(Debug)]
struct Counts {
    /// The number of sound requests before the first one that is not.
    sound: AtomicU64,
    taken: AtomicU64,
}

impl Default for SoundHeads {
    fn default() -> Self {
        Self(Arc::new(Counts { sound: AtomicU64::new(u64::MAX), taken: AtomicU64::default() }))
    }
}

impl SoundHeads {
    /// Takes the connection's next request; returns whether it is sound.
    pub fn take(&self) -> bool {
        self.0.taken.fetch_add(1, Ordering::Relaxed) < self.0.sound.load(Ordering::Relaxed)
    }

    fn end(&self, sound: u64) {
        self.0.sound.store(sound, Ordering::Relaxed);
    }
}

/// A connection whose requests are followed.
pub(crate) struct GuardedStream<S> {
    stream: S,
    framing: Framing,
    heads: SoundHeads,
    reads: ReadCounter,
    write_tracker: WriteTracker,
    /// Whether the caller has closed its side.
    ended: bool,
    linger: Option<Linger>,
}

impl<S> GuardedStream<S> {
    pub(crate) fn new(
        stream: S,
        heads: SoundHeads,
        reads: ReadCounter,
        write_tracker: WriteTracker,
    ) -> Self {
        let framing = Framing::default();
        Self { stream, framing, heads, reads, write_tracker, ended: false, linger: None }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for GuardedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let has_space = buffer.remaining() > 0;
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let read = &buffer.filled()[before..];
        if read.is_empty() {
            self.ended |= polled.is_ready() && has_space;
            return polled;
        }
        self.reads.record();
        self.framing.push(read);
        if self.framing.is_lost() {
            self.heads.end(self.framing.sound());
        }
        polled
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for GuardedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The server flushes only after it has written everything that it took from the body.
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        if self.write_tracker.mark_written() {
            cx.waker().wake_by_ref();
        }
        Poll::Ready(Ok(()))
    }

    /// Closes the own side, and reads what the caller still sends, so that no reset takes the last
    /// answer from it.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.linger.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
        }
        if this.ended {
            return Poll::Ready(Ok(()));
        }
        this.linger.get_or_insert_with(Linger::begin).poll(cx, &mut this.stream)
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
