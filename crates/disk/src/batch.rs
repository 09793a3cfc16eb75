//! What a frame of the log holds.

use serde::{Deserialize, Serialize};
use types::LogIndex;

/// One record of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its position.
    pub index: LogIndex,
    /// Its bytes.
    pub data: Vec<u8>,
}

/// What one synced write adds to the log, as it is read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub(crate) struct Batch {
    /// In a file's first batch: the index before the first record that the file can hold.
    pub(crate) base: Option<LogIndex>,
    /// The hard state from here on.
    pub(crate) hard_state: Option<Vec<u8>>,
    /// The records.
    pub(crate) records: Vec<Record>,
}

/// What one synced write adds to the log, as it is written.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct BatchRef<'a> {
    pub(crate) base: Option<LogIndex>,
    pub(crate) hard_state: Option<&'a [u8]>,
    pub(crate) records: &'a [Record],
}

impl BatchRef<'_> {
    pub(crate) fn encode(&self) -> Vec<u8> {
        // Writing to a vector cannot fail: the types have no custom code and lengths are known.
        postcard::to_stdvec(self).unwrap_or_default()
    }
}

/// The contents of a log file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Log {
    /// The index before the first record.
    pub(crate) base: LogIndex,
    /// The latest hard state.
    pub(crate) hard_state: Option<Vec<u8>>,
    /// The records, without gaps.
    pub(crate) records: Vec<Record>,
}

impl Log {
    /// Returns the last index.
    pub(crate) fn last(&self) -> LogIndex {
        self.records.last().map_or(self.base, |record| record.index)
    }

    /// Adds a batch; `None` where it does not follow.
    pub(crate) fn add(&mut self, batch: Batch) -> Option<()> {
        if let Some(base) = batch.base {
            self.base = base;
        }
        if batch.hard_state.is_some() {
            self.hard_state = batch.hard_state;
        }
        batch.records.into_iter().try_for_each(|record| self.push(record))
    }

    fn push(&mut self, record: Record) -> Option<()> {
        if record.index <= self.base || record.index.0 > self.last().0.saturating_add(1) {
            return None;
        }
        self.records.truncate((record.index.0 - self.base.0 - 1) as usize);
        self.records.push(record);
        Some(())
    }
}

/// What a snapshot file says before its data.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SnapshotHead {
    /// The last index it covers.
    pub(crate) index: LogIndex,
    /// Logs of an older generation are void.
    pub(crate) floor: u64,
    /// Whether it was written to void the log before it.
    pub(crate) voids: bool,
    /// The hard state, where the snapshot voids the log that holds it.
    pub(crate) hard_state: Option<Vec<u8>>,
}
