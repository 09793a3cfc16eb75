//! Tells the body of an answer whether its connection has written what the body handed out.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// What one connection has taken of its answers and not written yet.
///
/// The connection and the body are polled by the same task, one after the other.
#[derive(Clone, Debug, Default)]
pub(crate) struct Unwritten(Arc<State>);

#[derive(Debug, Default)]
struct State {
    any: AtomicBool,
    awaited: AtomicBool,
}

impl Unwritten {
    /// Notes that the connection took bytes to write.
    pub(crate) fn note(&self) {
        self.0.any.store(true, Ordering::Relaxed);
    }

    /// Whether bytes are not written yet; if so, the next [`clear`](Self::clear) says that they were
    /// awaited.
    pub(crate) fn wait(&self) -> bool {
        let any = self.0.any.load(Ordering::Relaxed);
        self.0.awaited.store(any, Ordering::Relaxed);
        any
    }

    /// Notes that all is written; returns whether a body waits for it and must be polled again.
    pub(crate) fn clear(&self) -> bool {
        self.0.any.store(false, Ordering::Relaxed);
        self.0.awaited.swap(false, Ordering::Relaxed)
    }
}
