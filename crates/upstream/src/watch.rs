//! Reports that a call is silent while the call goes on.

use std::future::Future;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// A call that has had no progress within its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silence {
    /// Whether an earlier call had used its connection, so that the connection rather than the
    /// upstream may be dead.
    pub reused: bool,
}

/// Watches one call for silence. A silent call goes on until it is dropped, its connection ends or
/// its deadline passes.
#[derive(Clone, Debug, Default)]
pub struct Watch(Arc<State>);

#[derive(Debug, Default)]
struct State {
    silence: Mutex<Option<Silence>>,
    wake: Arc<Notify>,
}

impl Watch {
    /// Creates the watch of a call that notifies `wake` at each silence.
    pub fn new(wake: &Arc<Notify>) -> Self {
        Self(Arc::new(State { silence: Mutex::default(), wake: Arc::clone(wake) }))
    }

    fn lock(&self) -> MutexGuard<'_, Option<Silence>> {
        self.0.silence.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the last silence.
    pub fn silence(&self) -> Option<Silence> {
        *self.lock()
    }

    /// Forgets the last silence, because the call went on.
    pub fn clear(&self) {
        *self.lock() = None;
    }

    pub(crate) fn report(&self, silence: Silence) {
        *self.lock() = Some(silence);
        self.0.wake.notify_one();
    }
}

/// Waits for the next progress of a call until its deadline; returns `None` if that passes. Calls
/// `silent` once if the time without progress reaches `limit` before.
pub(crate) async fn progress<F: Future>(
    next: F,
    limit: Duration,
    deadline: Instant,
    silent: impl FnOnce(),
) -> Option<F::Output> {
    let mut next = pin!(next);
    let silent_at = Instant::now() + limit;
    if silent_at < deadline {
        if let Ok(output) = timeout_at(silent_at, &mut next).await {
            return Some(output);
        }
        silent();
    }
    timeout_at(deadline, next).await.ok()
}
