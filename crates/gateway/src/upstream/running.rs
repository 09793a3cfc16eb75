//! The requests of this entry that run at upstreams.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use super::Upstream;

/// The upstreams that run requests of this entry. A report of its loads then takes as long as it has
/// requests, however many upstreams are listed.
#[derive(Debug, Default)]
pub(crate) struct InUse(Mutex<HashMap<Arc<str>, Arc<Upstream>>>);

impl InUse {
    /// Returns the upstreams, in any order.
    pub(crate) fn upstreams(&self) -> Vec<Arc<Upstream>> {
        self.lock().values().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Arc<str>, Arc<Upstream>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Upstream {
    /// Counts a request with `tokens` unread prompt tokens until the returned guard is dropped.
    pub(crate) fn begin_request(self: &Arc<Self>, tokens: u64) -> RunningRequest {
        let mut in_use = self.in_use.lock();
        in_use.entry(Arc::clone(&self.id)).or_insert_with(|| Arc::clone(self));
        if self.running.fetch_add(1, Ordering::Relaxed) == 0 {
            self.busy_ms.store(self.age_ms(), Ordering::Relaxed);
        }
        self.tokens.fetch_add(tokens, Ordering::Relaxed);
        RunningRequest { upstream: Arc::clone(self), tokens }
    }

    /// Returns whether it has run requests of this entry without a break since before `then`.
    pub(crate) fn has_been_busy_since(&self, then: Instant) -> bool {
        let busy = self.listed_at + Duration::from_millis(self.busy_ms.load(Ordering::Relaxed));
        self.running() > 0 && busy < then
    }
}

/// Counts a request as running at an upstream until it is dropped.
#[derive(Debug)]
pub(crate) struct RunningRequest {
    upstream: Arc<Upstream>,
    tokens: u64,
}

impl RunningRequest {
    /// Records that the prompt has been read.
    pub(crate) fn prompt_read(&mut self) {
        self.upstream.tokens.fetch_sub(self.tokens, Ordering::Relaxed);
        self.tokens = 0;
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let mut in_use = self.upstream.in_use.lock();
        self.upstream.tokens.fetch_sub(self.tokens, Ordering::Relaxed);
        if self.upstream.running.fetch_sub(1, Ordering::Relaxed) == 1 {
            in_use.remove(&self.upstream.id);
        }
    }
}
