//! Tells which request was in progress when a caller's connection ended.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// The request that was dropped without a whole answer on one connection, if there was one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Unanswered(Arc<Mutex<Option<Dropped>>>);

/// A request that was dropped without a whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Dropped {
    /// The caller's id of the attempt, if the head was decoded.
    pub(crate) attempt: Option<String>,
    /// Whether a part of the answer had been handed out.
    pub(crate) begun: bool,
    /// How long the request had been in progress.
    pub(crate) age: Duration,
}

impl Unanswered {
    /// Watches a request until it has a whole answer.
    pub(crate) fn watch(&self) -> AnswerGuard {
        AnswerGuard {
            unanswered: self.clone(),
            arrived: Instant::now(),
            attempt: None,
            begun: false,
            whole: false,
        }
    }

    /// Takes the request that was dropped.
    pub(crate) fn take(&self) -> Option<Dropped> {
        self.lock().take()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Dropped>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reports its request as unanswered if it is dropped before [`AnswerGuard::set_whole`].
#[derive(Debug)]
pub(crate) struct AnswerGuard {
    unanswered: Unanswered,
    arrived: Instant,
    attempt: Option<String>,
    begun: bool,
    whole: bool,
}

impl AnswerGuard {
    /// Sets the caller's id of the attempt.
    pub(crate) fn set_attempt(&mut self, attempt: &str) {
        self.attempt = Some(attempt.to_owned());
    }

    /// Records that the answer is being handed out.
    pub(crate) fn set_begun(&mut self) {
        self.begun = true;
    }

    /// Records that the answer was handed out whole.
    pub(crate) fn set_whole(&mut self) {
        self.whole = true;
    }
}

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        if self.whole {
            return;
        }
        let dropped = Dropped {
            attempt: self.attempt.take(),
            begun: self.begun,
            age: self.arrived.elapsed(),
        };
        *self.unanswered.lock() = Some(dropped);
    }
}
