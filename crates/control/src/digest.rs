//! The load digest that the leader distributes to the entries.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::broadcast;
use types::{Digest, UpstreamLoad, UpstreamName};

/// The number of deltas by which a session may lag before it is sent the full table again.
const MAX_QUEUED_DELTAS: usize = 64;

/// The latest load of every upstream, and a channel for the deltas.
pub(crate) struct DigestTable {
    table: Mutex<Table>,
    deltas: broadcast::Sender<Arc<Digest>>,
}

#[derive(Default)]
struct Table {
    loads: BTreeMap<UpstreamName, UpstreamLoad>,
    sequence: u64,
    entries: u32,
}

impl DigestTable {
    pub(crate) fn new() -> Self {
        Self { table: Mutex::default(), deltas: broadcast::channel(MAX_QUEUED_DELTAS).0 }
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a delta from the leader and passes it on with this process's own sequence number,
    /// because the sequence numbers of two leaders are not comparable.
    pub(crate) fn apply(&self, digest: Digest) {
        let delta = {
            let mut table = self.lock();
            table.sequence += 1;
            table.entries = digest.entries;
            for load in &digest.loads {
                table.loads.insert(load.upstream.clone(), load.clone());
            }
            Digest { sequence: table.sequence, ..digest }
        };
        let _ = self.deltas.send(Arc::new(delta));
    }

    /// Returns the latest load of every upstream.
    pub(crate) fn loads(&self) -> Vec<UpstreamLoad> {
        self.lock().loads.values().cloned().collect()
    }

    /// Returns the full table and a receiver of the deltas that follow it.
    pub(crate) fn subscribe(&self) -> (Digest, broadcast::Receiver<Arc<Digest>>) {
        let table = self.lock();
        let loads = table.loads.values().cloned().collect();
        let full = Digest { sequence: table.sequence, loads, entries: table.entries };
        (full, self.deltas.subscribe())
    }
}
