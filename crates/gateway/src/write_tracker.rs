//! Tracks whether a connection has written all bytes that the body of an answer has handed out.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Whether a connection has taken bytes of an answer that it has not written yet.
///
/// The connection and the body are polled by the same task, one after the other.
#[derive(Clone, Debug, Default)]
pub(crate) struct WriteTracker(Arc<State>);

#[derive(Debug, Default)]
struct State {
    pending: AtomicBool,
    awaited: AtomicBool,
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

    /// Records that all bytes are written. Returns whether a body waits for that and must be polled
    /// again.
    pub(crate) fn mark_written(&self) -> bool {
        self.0.pending.store(false, Ordering::Relaxed);
        self.0.awaited.swap(false, Ordering::Relaxed)
    }
}
