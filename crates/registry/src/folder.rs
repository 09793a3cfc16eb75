//! Opens a member's data folder, which holds its node id and its part of the replicated log.

use std::path::Path;

use consensus::{Membership, Restored, Snapshot};
use disk::Store;
use replica::Journal;
use serde::de::DeserializeOwned;
use types::{LogIndex, NodeId, StepError, StepResult, Term};

use crate::replicated::Replicated;

/// The size of the log at which a snapshot replaces it, in bytes. It holds a few dozen large plans,
/// which keeps the memory of a member small.
pub(crate) const MAX_LOG_BYTES: u64 = 2 << 20;

/// The log index of the first snapshot of a new cluster.
const FIRST_INDEX: LogIndex = LogIndex(1);

/// An open data folder.
pub(crate) struct Folder {
    store: Store,
}

/// The contents of a data folder.
pub(crate) struct Opened {
    pub(crate) folder: Folder,
    pub(crate) node: NodeId,
    /// Whether it was empty.
    pub(crate) fresh: bool,
    pub(crate) restored: Restored,
}

impl Folder {
    /// Opens the folder; an empty one gets a new random node id.
    pub(crate) fn open(path: &Path) -> StepResult<Opened> {
        let fault = |e| StepError::new("open data folder", e).at(path.display());
        let (mut store, recovered) = Store::open(path).map_err(fault)?;
        let (node, fresh) = match &recovered.identity {
            Some(bytes) => (decode::<NodeId>(bytes)?, false),
            None => {
                let node = NodeId(rand::random());
                store.set_identity(&encode(&node)).map_err(fault)?;
                (node, true)
            }
        };
        let restored = replica::restore(&recovered)?;
        Ok(Opened { folder: Folder { store }, node, fresh, restored })
    }

    /// Writes the first snapshot of a new cluster with `membership`.
    pub(crate) fn bootstrap(&mut self, membership: Membership) -> StepResult<Restored> {
        let data = Replicated::default().encode();
        let snapshot = Snapshot { index: FIRST_INDEX, term: Term(1), membership, data };
        let installed = self.store.install(snapshot.index, &replica::encode(&snapshot)?);
        installed.map_err(|e| StepError::new("install snapshot", e))?;
        Ok(Restored { snapshot: Some(snapshot), ..Restored::default() })
    }

    /// Starts the thread that writes; it calls `wake` after each write.
    pub(crate) fn spawn(self, wake: impl Fn() + Send + 'static) -> StepResult<Journal> {
        Journal::spawn(self.store, wake)
    }
}

/// Encodes a value of this crate's own types.
pub(crate) fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    // Serializing these types to a vector cannot fail.
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Decodes a value of this crate's own types.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> StepResult<T> {
    postcard::from_bytes(bytes).map_err(|e| StepError::new("decode record", e))
}
