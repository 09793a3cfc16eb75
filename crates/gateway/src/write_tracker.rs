//! Tracks whether a connection has written all bytes that the body of an answer has handed out.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use crate::drain::UnwrittenAnswer;

/// Whether a connection has taken bytes of an answer that it has not written yet.
///
/// The connection and the body are polled by the same task, one after the other.
#[derive(Clone, Debug, Default)]
pub(crate) struct WriteTracker(Arc<State>);

#[derive(Debug, Default)]
struct State {
    pending: AtomicBool,
    awaited: AtomicBool,
    /// The last answer that was handed out whole.
    answer: Mutex<Option<UnwrittenAnswer>>,
}

impl WriteTracker {
    /// Records that the connection took bytes to write.
    pub(crate) fn record_pending(&self) {
        self.0.pending.store(true, Ordering::Relaxed);
    }

    /// Returns whether bytes are still unwritten. If so, the next
    /// [`mark_written`](Self::mark_written) returns true.
    pub(crate) fn await_written(&self) -> bool {
        let pending = self.0.pending.load(Ordering::Relaxed);
        self.0.awaited.store(pending, Ordering::Relaxed);
        pending
    }

    /// Keeps an answer that was handed out whole until all bytes are written, or the connection ends.
    fn keep(&self, answer: Option<UnwrittenAnswer>) {
        *self.0.answer.lock().unwrap_or_else(PoisonError::into_inner) = answer;
    }

    /// Records that all bytes are written. Returns whether a body waits for that and must be polled
    /// again.
    pub(crate) fn mark_written(&self) -> bool {
        self.0.pending.store(false, Ordering::Relaxed);
        self.keep(None);
        self.0.awaited.swap(false, Ordering::Relaxed)
    }
}

/// The answer of a body. Once the body is dropped, the answer counts as unwritten until the connection
/// has written all bytes.
#[derive(Debug)]
pub(crate) struct TrackedAnswer {
    write_tracker: WriteTracker,
    answer: Option<UnwrittenAnswer>,
}

impl TrackedAnswer {
    pub(crate) fn new(write_tracker: WriteTracker, answer: UnwrittenAnswer) -> Self {
        Self { write_tracker, answer: Some(answer) }
    }
}

impl Drop for TrackedAnswer {
    fn drop(&mut self) {
        self.write_tracker.keep(self.answer.take());
    }
}
