//! Counts the bytes that a connection wrote, as evidence of whether a call was sent.
//!
//! The HTTP library reports that a call failed, but not whether any of its bytes left. A guess from
//! the kind of the error may tell a caller "not run" about a call that ran. Here the write path
//! itself gives the answer: [`WriteCounter::close`] stops all later writes and returns the number
//! of bytes that the kernel accepted before, both under one lock.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use hyper::rt::{Read, ReadBufCursor, Write};

#[derive(Debug, Default)]
struct State {
    closed: bool,
    written: u64,
}

/// Counts the written bytes of one connection and can stop its writes.
#[derive(Debug, Default)]
pub struct WriteCounter {
    state: Mutex<State>,
}

impl WriteCounter {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of bytes that the kernel accepted so far.
    pub fn written(&self) -> u64 {
        self.lock().written
    }

    /// Makes all later writes fail; returns the number of bytes that the kernel accepted before.
    pub fn close(&self) -> u64 {
        let mut state = self.lock();
        state.closed = true;
        state.written
    }
}

/// A stream whose writes a [`WriteCounter`] counts.
#[derive(Debug)]
pub struct CountedStream<T> {
    inner: T,
    counter: Arc<WriteCounter>,
}

impl<T> CountedStream<T> {
    /// Creates a stream that counts the writes of `inner`.
    pub fn new(inner: T, counter: Arc<WriteCounter>) -> Self {
        Self { inner, counter }
    }

    /// Runs one write under the counter's lock. The lock is held during a non-blocking system call,
    /// not across an await.
    fn write(
        &mut self,
        write: impl FnOnce(Pin<&mut T>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>>
    where
        T: Unpin,
    {
        let mut state = self.counter.lock();
        if state.closed {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let result = write(Pin::new(&mut self.inner));
        if let Poll::Ready(Ok(size)) = &result {
            state.written += *size as u64;
        }
        result
    }
}

impl<T: Read + Unpin> Read for CountedStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl<T: Write + Unpin> Write for CountedStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.write(|inner| inner.poll_write(cx, buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write(|inner| inner.poll_write_vectored(cx, bufs))
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
