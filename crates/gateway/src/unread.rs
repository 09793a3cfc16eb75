//! What callers still send after a request was refused or a connection is about to close.
//!
//! If a socket is closed while bytes are unread, the kernel resets the connection, and the caller may
//! lose the answer that it has not read yet.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use http::{HeaderMap, header};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::io::{AsyncRead, ReadBuf};
use tokio::time::{Instant, Sleep, sleep, timeout_at};

/// How much of a refused body is read to keep its connection, in bytes: about what a caller has sent
/// before it could see the refusal.
const REST_BYTES: u64 = 256 << 10;

/// How long a refusal waits for the rest of its body.
const REST_TIME: Duration = Duration::from_millis(250);

/// How long a closed connection is still read.
const LINGER_TIME: Duration = Duration::from_secs(2);

/// How much is read from a closed connection, in bytes.
const LINGER_BYTES: usize = 64 << 20;

/// Reads the rest of a refused body and drops it, unless its caller waits for permission to send it.
/// Returns whether it came to its end.
pub(crate) async fn drop_rest(waits: bool, body: &mut Incoming) -> bool {
    if body.is_end_stream() {
        return true;
    }
    if waits || body.size_hint().lower() > REST_BYTES {
        return false;
    }
    let deadline = Instant::now() + REST_TIME;
    let mut left = REST_BYTES;
    loop {
        match timeout_at(deadline, body.frame()).await {
            Ok(None) => return true,
            Ok(Some(Ok(frame))) => {
                let bytes = frame.data_ref().map_or(0, |it| it.len() as u64);
                let Some(rest) = left.checked_sub(bytes) else { return false };
                left = rest;
            }
            Ok(Some(Err(_))) | Err(_) => return false,
        }
    }
}

/// Returns whether a caller waits for permission to send its body.
pub(crate) fn expects_permission(headers: &HeaderMap) -> bool {
    headers.contains_key(header::EXPECT)
}

/// Reads what comes on a connection whose own side is closed, within limits.
#[derive(Debug)]
pub(crate) struct Linger {
    until: Pin<Box<Sleep>>,
    left: usize,
}

impl Linger {
    /// Begins to read.
    pub(crate) fn begin() -> Self {
        Self { until: Box::pin(sleep(LINGER_TIME)), left: LINGER_BYTES }
    }

    /// Reads until the caller closes its side too, or a limit is reached.
    pub(crate) fn poll(
        &mut self,
        cx: &mut Context<'_>,
        stream: &mut (impl AsyncRead + Unpin),
    ) -> Poll<io::Result<()>> {
        let mut space = [0; 8 << 10];
        while self.until.as_mut().poll(cx).is_pending() {
            let mut buffer = ReadBuf::new(&mut space);
            ready!(Pin::new(&mut *stream).poll_read(cx, &mut buffer))?;
            let read = buffer.filled().len();
            if read == 0 || read > self.left {
                break;
            }
            self.left -= read;
        }
        Poll::Ready(Ok(()))
    }
}
