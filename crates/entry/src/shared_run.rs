//! Lets resends of a repeatable request share the run that is in flight.
//!
//! Otherwise callers that retry would multiply the work of exactly those requests that are already
//! slow. Each caller still gets its own answer, with its own request id.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

use tokio::sync::watch;
use tokio::task::AbortHandle;
use types::{CustomerName, Fingerprint};

use crate::outcome::Ending;

/// The key by which two requests are identical.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RunKey {
    pub(crate) customer: CustomerName,
    pub(crate) fingerprint: Fingerprint,
}

/// A run that is aborted when the last caller that waits for it is gone.
#[derive(Debug)]
pub(crate) struct SharedRun {
    ending: watch::Receiver<Option<Ending>>,
    task: AbortHandle,
}

impl Drop for SharedRun {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl SharedRun {
    pub(crate) fn new(ending: watch::Receiver<Option<Ending>>, task: AbortHandle) -> Self {
        Self { ending, task }
    }

    /// Waits for the ending; returns `None` if the run stopped without one.
    pub(crate) async fn ending(&self) -> Option<Ending> {
        let mut ending = self.ending.clone();
        let ended = ending.wait_for(Option::is_some).await;
        ended.ok().and_then(|it| it.clone())
    }

    fn is_finished(&self) -> bool {
        self.ending.borrow().is_some() || self.ending.has_changed().is_err()
    }
}

/// The runs in flight that other callers may share.
#[derive(Debug, Default)]
pub(crate) struct SharedRuns {
    runs: Mutex<HashMap<RunKey, Weak<SharedRun>>>,
}

impl SharedRuns {
    fn lock(&self) -> MutexGuard<'_, HashMap<RunKey, Weak<SharedRun>>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the run in flight for this key, or starts one. The flag tells whether it was
    /// started.
    pub(crate) fn get_or_start(
        &self,
        key: &RunKey,
        start: impl FnOnce() -> SharedRun,
    ) -> (Arc<SharedRun>, bool) {
        let mut runs = self.lock();
        let entry = runs.entry(key.clone());
        if let Entry::Occupied(entry) = &entry
            && let Some(existing) = entry.get().upgrade().filter(|it| !it.is_finished())
        {
            return (existing, false);
        }
        let started = Arc::new(start());
        entry.insert_entry(Arc::downgrade(&started));
        (started, true)
    }

    /// Removes the runs whose last caller is gone. Nothing else removes them.
    pub(crate) fn remove_abandoned(&self) {
        self.lock().retain(|_, it| it.strong_count() > 0);
    }

    /// Removes a run that is finished or whose callers are gone.
    pub(crate) fn remove_finished(&self, key: &RunKey) {
        let mut runs = self.lock();
        let finished = |it: &Weak<SharedRun>| it.upgrade().is_none_or(|it| it.is_finished());
        if runs.get(key).is_some_and(finished) {
            runs.remove(key);
        }
    }
}
