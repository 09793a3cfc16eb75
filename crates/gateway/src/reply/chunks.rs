//! The bytes of an answer that come one after the other, up to an explicit end.
//!
//! Without that end, the answer is cut: its sender may have failed or panicked.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use tokio::sync::mpsc;

use super::Truncated;

/// The caller takes no more of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerLeft;

/// Returns the two ends of a channel that buffers this many chunks.
pub(crate) fn channel(capacity: usize) -> (ChunkSender, ChunkReceiver) {
    let (sender, receiver) = mpsc::channel(capacity);
    let whole = Arc::<AtomicBool>::default();
    let sender = ChunkSender { sender, whole: Arc::clone(&whole) };
    (sender, ChunkReceiver { receiver, whole })
}

/// Sends the chunks of an answer. If dropped before [`ChunkSender::finish`], the answer is cut.
#[derive(Debug)]
pub(crate) struct ChunkSender {
    sender: mpsc::Sender<Bytes>,
    whole: Arc<AtomicBool>,
}

impl ChunkSender {
    /// Sends a chunk; waits while the buffer is full.
    ///
    /// # Errors
    /// Returns an error if the caller has left.
    pub(crate) async fn send(&self, chunk: Bytes) -> Result<(), CallerLeft> {
        self.sender.send(chunk).await.map_err(|_| CallerLeft)
    }

    /// Waits until the caller has left.
    pub(crate) async fn closed(&self) {
        self.sender.closed().await;
    }

    /// Ends the answer as whole.
    pub(crate) fn finish(self) {
        self.whole.store(true, Ordering::Release);
    }
}

/// Receives the chunks of an answer.
#[derive(Debug)]
pub(crate) struct ChunkReceiver {
    receiver: mpsc::Receiver<Bytes>,
    whole: Arc<AtomicBool>,
}

impl ChunkReceiver {
    /// Returns the next chunk, `None` at the end of a whole answer, or an error at that of one that is cut.
    pub(crate) fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Truncated>>> {
        Poll::Ready(match ready!(self.receiver.poll_recv(cx)) {
            Some(chunk) => Some(Ok(chunk)),
            None if self.whole.load(Ordering::Acquire) => None,
            None => Some(Err(Truncated)),
        })
    }
}
