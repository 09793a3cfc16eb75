//! Watches the bytes of a connection for heads that give a body two lengths (request smuggling).
//!
//! If a head has both `Content-Length` and `Transfer-Encoding`, one side may read it by the one and
//! the other side by the other. The rest of the body is then taken for a request that the caller
//! never made. The HTTP library resolves the conflict before a handler sees it, so the raw bytes
//! are watched here. Such a connection is refused and closed.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::head_timeout::ReadCounter;
use crate::unread::Linger;
use crate::write_tracker::WriteTracker;

const CONTENT_LENGTH: &[u8] = b"content-length:";
const TRANSFER_ENCODING: &[u8] = b"transfer-encoding:";
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The number of bytes kept from one read to the next, so that a header name split across reads is
/// found.
const OVERLAP_BYTES: usize = 20;

/// Whether a connection has sent a head with two lengths.
#[derive(Clone, Debug, Default)]
pub struct LengthConflict(Arc<AtomicBool>);

impl LengthConflict {
    /// Returns whether a head with two lengths was seen.
    pub fn is_seen(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Searches a series of reads for heads with two lengths.
#[derive(Debug, Default)]
pub struct HeadScanner {
    tail: Vec<u8>,
    has_length: bool,
    has_encoding: bool,
}

impl HeadScanner {
    /// Scans more bytes, and returns whether one head has both lengths.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let mut text = std::mem::take(&mut self.tail);
        text.extend(bytes.iter().map(u8::to_ascii_lowercase));
        let mut conflict = false;
        let mut parts = split_heads(&text).into_iter().peekable();
        while let Some(part) = parts.next() {
            self.has_length |= contains(part, CONTENT_LENGTH);
            self.has_encoding |= contains(part, TRANSFER_ENCODING);
            conflict |= self.has_length && self.has_encoding;
            if parts.peek().is_some() {
                (self.has_length, self.has_encoding) = (false, false);
            }
        }
        let keep = text.len().saturating_sub(OVERLAP_BYTES);
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

/// A connection whose incoming bytes are scanned.
pub(crate) struct GuardedStream<S> {
    stream: S,
    scanner: HeadScanner,
    conflict: LengthConflict,
    reads: ReadCounter,
    write_tracker: WriteTracker,
    /// Whether the caller has closed its side.
    ended: bool,
    linger: Option<Linger>,
}

impl<S> GuardedStream<S> {
    pub(crate) fn new(
        stream: S,
        conflict: LengthConflict,
        reads: ReadCounter,
        write_tracker: WriteTracker,
    ) -> Self {
        let scanner = HeadScanner::default();
        Self { stream, scanner, conflict, reads, write_tracker, ended: false, linger: None }
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
        if self.scanner.push(read) {
            self.conflict.0.store(true, Ordering::Relaxed);
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
