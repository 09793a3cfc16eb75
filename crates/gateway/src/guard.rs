//! Watches the bytes of a connection for heads that give a body two lengths.
//!
//! What goes wrong: a head with both `Content-Length` and `Transfer-Encoding` is read by one side
//! by the one, by the other side by the other, and the rest of the body is taken for a request
//! that its caller never made. The HTTP library resolves the conflict before a handler sees it,
//! so the raw bytes are watched here. Such a connection is refused and closed.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::head_time::Readings;
use crate::unwritten::Unwritten;

const LENGTH: &[u8] = b"content-length:";
const ENCODING: &[u8] = b"transfer-encoding:";
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The bytes that are kept from one reading to the next, so that a name cut in two is found.
const OVERLAP: usize = 20;

/// Whether a connection showed two lengths.
#[derive(Clone, Debug, Default)]
pub struct Conflict(Arc<AtomicBool>);

impl Conflict {
    /// Whether a head with two lengths was seen.
    pub fn is_seen(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Looks for heads with two lengths in a series of readings.
#[derive(Debug, Default)]
pub struct Scanner {
    tail: Vec<u8>,
    length: bool,
    encoding: bool,
}

impl Scanner {
    /// Takes bytes; returns whether one head shows both lengths.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let mut text = std::mem::take(&mut self.tail);
        text.extend(bytes.iter().map(u8::to_ascii_lowercase));
        let mut conflict = false;
        let mut parts = split_heads(&text).into_iter().peekable();
        while let Some(part) = parts.next() {
            self.length |= contains(part, LENGTH);
            self.encoding |= contains(part, ENCODING);
            conflict |= self.length && self.encoding;
            if parts.peek().is_some() {
                (self.length, self.encoding) = (false, false);
            }
        }
        let keep = text.len().saturating_sub(OVERLAP);
        self.tail = text.split_off(keep);
        conflict
    }
}

fn split_heads(text: &[u8]) -> Vec<&[u8]> {
    let mut parts = Vec::new();
    let mut rest = text;
    while let Some(at) = find(rest, HEAD_END) {
        parts.push(&rest[..at]);
        rest = &rest[at + HEAD_END.len()..];
    }
    parts.push(rest);
    parts
}

fn find(text: &[u8], word: &[u8]) -> Option<usize> {
    text.windows(word.len()).position(|it| it == word)
}

fn contains(text: &[u8], word: &[u8]) -> bool {
    find(text, word).is_some()
}

/// A connection whose bytes are watched.
pub(crate) struct Guarded<S> {
    stream: S,
    scanner: Scanner,
    conflict: Conflict,
    readings: Readings,
    unwritten: Unwritten,
}

impl<S> Guarded<S> {
    pub(crate) fn new(
        stream: S,
        conflict: Conflict,
        readings: Readings,
        unwritten: Unwritten,
    ) -> Self {
        Self { stream, scanner: Scanner::default(), conflict, readings, unwritten }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Guarded<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let read = &buffer.filled()[before..];
        if read.is_empty() {
            return polled;
        }
        self.readings.note();
        if self.scanner.push(read) {
            self.conflict.0.store(true, Ordering::Relaxed);
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Guarded<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The server flushes only once it has written all that it took.
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        if self.unwritten.clear() {
            cx.waker().wake_by_ref();
        }
        Poll::Ready(Ok(()))
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
