//! The claim tasks of this entry: one per idempotency key, which runs on when its caller leaves.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::watch;
use types::{ClaimKey, Fingerprint};

use crate::reply::Reply;

/// The maximum number of claim tasks. Without a quorum each waits until its end is committed, so
/// callers that keep sending new keys would otherwise exhaust the memory.
const MAX_CLAIMS: usize = 8_192;

/// A request under a key, as other attempts on this entry see it.
#[derive(Debug)]
struct ClaimTask {
    fingerprint: Fingerprint,
    reply: watch::Receiver<Option<Reply>>,
}

/// The result of looking up a key.
#[derive(Debug)]
pub(crate) enum ClaimLookup {
    /// No task exists for the key. The caller starts one, and sends its reply through the sender.
    Start(watch::Sender<Option<Reply>>, watch::Receiver<Option<Reply>>),
    /// The same request is in flight on this entry.
    Join(watch::Receiver<Option<Reply>>),
    /// A request with another body is in flight under this key.
    Mismatch,
    /// The table is full.
    Full,
}

/// The time since which claims are rejected, in milliseconds after the first rejection plus one; 0
/// while they are accepted.
#[derive(Debug, Default)]
pub(crate) struct QuorumLoss {
    epoch: OnceLock<Instant>,
    rejected_since: AtomicU64,
}

impl QuorumLoss {
    /// Records that a claim was rejected, and returns for how long claims have been rejected.
    pub(crate) fn record_rejection(&self) -> Duration {
        let now = self.epoch.get_or_init(Instant::now).elapsed().as_millis() as u64 + 1;
        let since =
            self.rejected_since.compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed);
        Duration::from_millis(now.saturating_sub(since.err().unwrap_or(now)))
    }

    /// Records that a claim was answered.
    pub(crate) fn clear(&self) {
        self.rejected_since.store(0, Ordering::Relaxed);
    }
}

/// The claim tasks of this entry by key.
#[derive(Debug, Default)]
pub(crate) struct ClaimTable {
    tasks: Mutex<HashMap<ClaimKey, ClaimTask>>,
}

impl ClaimTable {
    fn lock(&self) -> MutexGuard<'_, HashMap<ClaimKey, ClaimTask>> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn lookup_or_insert(&self, key: &ClaimKey, fingerprint: Fingerprint) -> ClaimLookup {
        let mut tasks = self.lock();
        if let Some(task) = tasks.get(key) {
            let same = task.fingerprint == fingerprint;
            return if same {
                ClaimLookup::Join(task.reply.clone())
            } else {
                ClaimLookup::Mismatch
            };
        }
        if tasks.len() >= MAX_CLAIMS {
            return ClaimLookup::Full;
        }
        let (sender, reply) = watch::channel(None);
        tasks.insert(key.clone(), ClaimTask { fingerprint, reply: reply.clone() });
        ClaimLookup::Start(sender, reply)
    }

    /// Removes a finished task. Its result is in the replicated state.
    pub(crate) fn remove(&self, key: &ClaimKey) {
        self.lock().remove(key);
    }

    pub(crate) fn len(&self) -> usize {
        self.lock().len()
    }
}
