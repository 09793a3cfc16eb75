//! The log in memory: the newest snapshot, the entries after it, and the memberships in them.

use std::collections::VecDeque;
use std::sync::Arc;

use types::{LogIndex, Term};

use crate::message::{Entry, Membership, Payload, Snapshot};

/// The size that an entry counts for besides its payload, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 24;

/// A membership and the index from which it is in force.
#[derive(Clone, Debug)]
struct MembershipEntry {
    start: LogIndex,
    membership: Membership,
}

/// The log, with the indexes up to which it was handed to the driver and synced.
#[derive(Clone, Debug)]
pub(crate) struct Log {
    snapshot: Option<Arc<Snapshot>>,
    base: LogIndex,
    base_term: Term,
    entries: VecDeque<Entry>,
    /// The memberships in the log, by index. Never empty; the first is the membership at `base`.
    memberships: Vec<MembershipEntry>,
    /// The last index handed to the driver for writing.
    handed_out: LogIndex,
    /// The last index of the `Ready` that is being written, lowered when the log is truncated.
    /// Entries that arrive during that write must not count as written.
    writing: LogIndex,
    /// The last index known to be on disk.
    synced: LogIndex,
}

impl Log {
    /// Builds the log from the contents of the data folder.
    pub(crate) fn new(snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            snapshot: None,
            base: LogIndex(0),
            base_term: Term(0),
            entries: VecDeque::new(),
            memberships: vec![MembershipEntry {
                start: LogIndex(0),
                membership: Membership::default(),
            }],
            handed_out: LogIndex(0),
            writing: LogIndex(0),
            synced: LogIndex(0),
        };
        if let Some(snapshot) = snapshot {
            log.reset(Arc::new(snapshot));
        }
        // A crash may come after a snapshot was written and before the log that it replaces was
        // cleared. If the snapshot contradicts the entry at its index, the entries after that one
        // were never committed.
        let (base, term) = (log.base, log.base_term);
        let contradicted = entries.iter().any(|entry| entry.index == base && entry.term != term);
        let follows = entries.into_iter().filter(|entry| !contradicted && entry.index > base);
        for entry in follows {
            log.push(entry);
        }
        log.handed_out = log.last();
        log.writing = log.last();
        log.synced = log.last();
        log
    }

    /// Returns the index of the newest snapshot. Entries up to it are gone.
    pub(crate) fn base(&self) -> LogIndex {
        self.base
    }

    /// Returns the newest snapshot.
    pub(crate) fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    /// Returns the index of the first entry in the log.
    pub(crate) fn first(&self) -> LogIndex {
        LogIndex(self.base.0 + 1)
    }

    /// Returns the last index.
    pub(crate) fn last(&self) -> LogIndex {
        LogIndex(self.base.0 + self.entries.len() as u64)
    }

    /// Returns the term of the last index.
    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// Returns the last index that is on this node's disk.
    pub(crate) fn synced(&self) -> LogIndex {
        self.synced
    }

    fn offset(&self, index: LogIndex) -> Option<usize> {
        let offset = index.0.checked_sub(self.base.0 + 1)?;
        usize::try_from(offset).ok().filter(|&offset| offset < self.entries.len())
    }

    /// Returns the term at `index`, or `None` if the entry was compacted or lies beyond the end.
    pub(crate) fn term(&self, index: LogIndex) -> Option<Term> {
        if index == self.base {
            return Some(self.base_term);
        }
        self.offset(index).map(|offset| self.entries[offset].term)
    }

    /// Returns whether the entry at `index` has `term`.
    pub(crate) fn matches(&self, index: LogIndex, term: Term) -> bool {
        self.term(index) == Some(term)
    }

    /// Returns whether a log that ends at `index` and `term` is at least as up to date as this one,
    /// so that it holds every entry that this one may have committed.
    pub(crate) fn is_up_to_date(&self, index: LogIndex, term: Term) -> bool {
        (term, index) >= (self.last_term(), self.last())
    }

    /// Returns the newest membership, committed or not.
    pub(crate) fn membership(&self) -> &Membership {
        &self.memberships[self.memberships.len() - 1].membership
    }

    /// Returns the index of the entry with the newest membership.
    pub(crate) fn membership_index(&self) -> LogIndex {
        self.memberships[self.memberships.len() - 1].start
    }

    /// Returns the membership in force at `index`.
    pub(crate) fn membership_at(&self, index: LogIndex) -> &Membership {
        let it = self.memberships.iter().rev().find(|it| it.start <= index);
        &it.unwrap_or(&self.memberships[0]).membership
    }

    /// Appends an entry.
    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index.0, self.last().0 + 1);
        if let Payload::Membership(membership) = &entry.payload {
            self.memberships
                .push(MembershipEntry { start: entry.index, membership: membership.clone() });
        }
        self.entries.push_back(entry);
    }

    /// Removes the entries from `index` on, and the memberships in them.
    pub(crate) fn truncate(&mut self, index: LogIndex) {
        let Some(offset) = self.offset(index) else { return };
        self.entries.truncate(offset);
        // A membership that is not committed may be rolled back; the previous one is then in force
        // again.
        while self.memberships.len() > 1 && self.membership_index() >= index {
            self.memberships.pop();
        }
        self.handed_out = self.handed_out.min(self.last());
        self.writing = self.writing.min(self.last());
        self.synced = self.synced.min(self.last());
    }

    /// Replaces the whole log by a snapshot that is not written yet.
    pub(crate) fn reset(&mut self, snapshot: Arc<Snapshot>) {
        self.base = snapshot.index;
        self.base_term = snapshot.term;
        self.entries.clear();
        self.memberships = vec![MembershipEntry {
            start: snapshot.index,
            membership: snapshot.membership.clone(),
        }];
        self.handed_out = snapshot.index;
        self.writing = LogIndex(0);
        self.synced = LogIndex(0);
        self.snapshot = Some(snapshot);
    }

    /// Drops the entries covered by a snapshot of this node's own state. Term and membership of the
    /// snapshot are taken from the log.
    pub(crate) fn compact(&mut self, mut snapshot: Snapshot) {
        let Some(term) = self.term(snapshot.index) else { return };
        let membership = self.membership_at(snapshot.index).clone();
        let dropped = (snapshot.index.0 - self.base.0) as usize;
        self.entries.drain(..dropped);
        self.memberships.retain(|it| it.start > snapshot.index);
        self.memberships
            .insert(0, MembershipEntry { start: snapshot.index, membership: membership.clone() });
        self.base = snapshot.index;
        self.base_term = term;
        snapshot.term = term;
        snapshot.membership = membership;
        self.snapshot = Some(Arc::new(snapshot));
    }

    /// Copies entries from `from` on: at most `count` entries and `bytes` bytes, but at least one
    /// entry.
    pub(crate) fn batch(&self, from: LogIndex, count: usize, bytes: usize) -> Vec<Entry> {
        let Some(offset) = self.offset(from) else { return Vec::new() };
        let mut size = 0;
        let fits = |entry: &&Entry| {
            let first = size == 0;
            size += size_bytes(entry);
            first || size <= bytes
        };
        self.entries.range(offset..).take(count.max(1)).take_while(fits).cloned().collect()
    }

    /// Copies the entries after `from` up to and including `to`.
    pub(crate) fn between(&self, from: LogIndex, to: LogIndex) -> Vec<Entry> {
        let start = from.0.saturating_sub(self.base.0) as usize;
        let end = to.0.saturating_sub(self.base.0) as usize;
        if start >= end {
            return Vec::new();
        }
        self.entries.range(start..end).cloned().collect()
    }

    /// Returns whether any entry was not handed to the driver yet.
    pub(crate) fn has_unwritten(&self) -> bool {
        self.handed_out < self.last()
    }

    /// Returns the entries that were not handed to the driver yet, and records them as being
    /// written.
    pub(crate) fn take_unwritten(&mut self) -> Vec<Entry> {
        let entries = self.between(self.handed_out, self.last());
        self.handed_out = self.last();
        self.writing = self.last();
        entries
    }

    /// Records that the entries handed out last are on disk.
    pub(crate) fn mark_synced(&mut self) {
        self.synced = self.writing;
    }
}

/// Returns the size that an entry counts for, in bytes.
fn size_bytes(entry: &Entry) -> usize {
    let payload = match &entry.payload {
        Payload::Empty => 0,
        Payload::Command(data) => data.len(),
        Payload::Membership(membership) => membership.size_bytes(),
    };
    ENTRY_OVERHEAD_BYTES + payload
}
