//! The entries that had a session recently, for the operators' status.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use types::VmName;

use crate::protocol::EntryStatus;

/// The last status of each entry that had a session, and when it was recorded.
#[derive(Default)]
pub(crate) struct EntryHistory {
    seen: Mutex<BTreeMap<VmName, (EntryStatus, Instant)>>,
}

impl EntryHistory {
    /// Records the entries that have a session now.
    pub(crate) fn record(&self, entries: &[EntryStatus]) {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        for entry in entries {
            seen.insert(entry.vm.clone(), (entry.clone(), Instant::now()));
        }
    }

    /// Returns the last status of every entry and its age.
    pub(crate) fn all(&self) -> Vec<(EntryStatus, Duration)> {
        let seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.values().map(|(entry, at)| (entry.clone(), at.elapsed())).collect()
    }
}
