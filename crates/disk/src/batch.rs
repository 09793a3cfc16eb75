//! The contents of log frames and snapshot headers.

use serde::{Deserialize, Serialize};
use types::LogIndex;

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The index of the record.
    pub index: LogIndex,
    /// The contents.
    pub data: Vec<u8>,
}

/// The part of the log that one synced write adds, as read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub(crate) struct Batch {
    /// In the first batch of a file, the index before the first record that the file can hold.
    pub(crate) base: Option<LogIndex>,
    /// The new hard state, if it changed.
    pub(crate) hard_state: Option<Vec<u8>>,
    /// The records.
    pub(crate) records: Vec<Record>,
}

/// The part of the log that one synced write adds, as written.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct BatchRef<'a> {
    pub(crate) base: Option<LogIndex>,
    pub(crate) hard_state: Option<&'a [u8]>,
    pub(crate) records: &'a [Record],
}

impl BatchRef<'_> {
    pub(crate) fn encode(&self) -> Vec<u8> {
        // Encoding to a vector can't fail: the types have no custom serializers and all lengths are
        // known.
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
    /// Returns the last index of the log.
    pub(crate) fn last(&self) -> LogIndex {
        self.records.last().map_or(self.base, |record| record.index)
    }

    /// Adds a batch; returns `None` if its records do not follow the log.
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

/// The header of a snapshot file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SnapshotHeader {
    /// The last index that the snapshot covers.
    pub(crate) index: LogIndex,
    /// Logs of an older generation are void.
    pub(crate) min_generation: u64,
    /// Whether the snapshot was installed in place of the log, which is then void.
    pub(crate) voids_log: bool,
    /// The hard state, if the snapshot voids the log that holds it.
    pub(crate) hard_state: Option<Vec<u8>>,
}
