//! The data folder of a member, in the terms of the replicated log.

use std::path::Path;

use consensus::{Entry, HardState, Membership, Ready, Restored, Snapshot};
use disk::{Record, Recovered, Store};
use serde::de::DeserializeOwned;
use types::{LogIndex, NodeId, StepError, StepResult, Term};

use crate::plan::Held;

/// The size of the log at which a snapshot replaces it, in bytes: a few dozen large plans, so that
/// the memory of a member stays small.
const LOG_LIMIT: u64 = 2 << 20;

/// The index of the snapshot with which a cluster begins.
const FIRST: LogIndex = LogIndex(1);

/// An open data folder.
pub(crate) struct Folder {
    store: Store,
}

/// What an opened folder held.
pub(crate) struct Opened {
    pub(crate) folder: Folder,
    pub(crate) node: NodeId,
    /// Whether it was empty.
    pub(crate) fresh: bool,
    pub(crate) restored: Restored,
}

impl Folder {
    /// Opens the folder; an empty one gets an id of its own.
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
        let restored = restore(recovered)?;
        Ok(Opened { folder: Folder { store }, node, fresh, restored })
    }

    /// Writes the beginning of a new cluster with `membership`.
    pub(crate) fn found(&mut self, membership: Membership) -> StepResult<Restored> {
        let data = encode(&Held::default());
        let snapshot = Snapshot { index: FIRST, term: Term(1), membership, data };
        self.install(&snapshot)?;
        Ok(Restored { snapshot: Some(snapshot), ..Restored::default() })
    }

    /// Writes and syncs what `ready` asks for.
    pub(crate) fn write(&mut self, ready: &Ready) -> StepResult<()> {
        if let Some(snapshot) = &ready.snapshot {
            self.install(snapshot)?;
        }
        let hard = ready.hard.map(|it| encode(&it));
        let records: Vec<Record> = ready.entries.iter().map(record).collect();
        let written = self.store.write(hard.as_deref(), &records);
        written.map_err(|e| StepError::new("write log", e))
    }

    /// Whether the log is due to be replaced by a snapshot.
    pub(crate) fn is_large(&self) -> bool {
        self.store.log_size().0 > LOG_LIMIT
    }

    /// Replaces the log up to the snapshot.
    pub(crate) fn compact(&mut self, snapshot: &Snapshot) -> StepResult<()> {
        let keep = LogIndex(snapshot.index.0 + 1);
        let done = self.store.snapshot(snapshot.index, &encode(snapshot), keep);
        done.map_err(|e| StepError::new("write snapshot", e))
    }

    fn install(&mut self, snapshot: &Snapshot) -> StepResult<()> {
        let done = self.store.install(snapshot.index, &encode(snapshot));
        done.map_err(|e| StepError::new("install snapshot", e))
    }
}

fn record(entry: &Entry) -> Record {
    Record { index: entry.index, data: encode(entry) }
}

fn restore(recovered: Recovered) -> StepResult<Restored> {
    if let Some(cut) = &recovered.cut {
        log::warn!(file:% = cut.file.display(), offset = cut.offset, bytes = cut.bytes;
            "cut a torn write that was never acknowledged");
    }
    let hard = recovered.hard.map(|it| decode::<HardState>(&it)).transpose()?;
    let snapshot = recovered.snapshot.map(|(_, it)| decode::<Snapshot>(&it)).transpose()?;
    let entries = recovered.records.iter().map(|it| decode::<Entry>(&it.data));
    let entries = entries.collect::<StepResult<Vec<Entry>>>()?;
    Ok(Restored { hard: hard.unwrap_or_default(), snapshot, entries })
}

/// Encodes a value of this crate's own types.
pub(crate) fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    // Writing plain types to a vector cannot fail.
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Decodes a value of this crate's own types.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> StepResult<T> {
    postcard::from_bytes(bytes).map_err(|e| StepError::new("decode record", e))
}
