//! The node's output to its driver.

use types::LogIndex;

use crate::message::{HardState, Ready, Role, Snapshot};
use crate::node::Node;

impl Node {
    /// Takes all pending work. The driver may take the next `Ready` while it writes this one: until
    /// the driver calls [`Node::synced`], further ones have neither writes nor `messages`.
    pub fn ready(&mut self) -> Ready {
        if self.role == Role::Leader {
            self.start_round();
            self.replicate();
        }
        let mut ready = Ready {
            immediate: std::mem::take(&mut self.immediate),
            reads: self.reads.take_confirmed(),
            failed_reads: self.reads.take_failed(),
            ..Ready::default()
        };
        if !self.sync.is_writing() {
            self.take_writes(&mut ready);
        }
        // Entries after a snapshot are applied to the state in that snapshot, so it is handed out
        // first.
        if self.new_snapshot.is_none() {
            ready.committed = self.log.between(self.applied, self.commit);
            self.applied = self.commit;
        }
        ready
    }

    fn take_writes(&mut self, ready: &mut Ready) {
        ready.snapshot = self.new_snapshot.take();
        ready.entries = self.log.take_unwritten();
        ready.hard_state =
            self.take_hard_state(ready.snapshot.is_some() || !ready.entries.is_empty());
        ready.messages = std::mem::take(&mut self.outbox);
        if ready.has_writes() {
            self.sync.begin();
        }
    }

    /// Returns the hard state to write. Its commit index covers only entries that are already on
    /// disk: a crash may come between this write and the write of the entries, and a commit index
    /// ahead of the log would mark as committed the older entries that the new ones replace.
    fn hard_state(&self) -> HardState {
        let commit = self.commit.min(self.log.synced());
        HardState { term: self.term, vote: self.vote, commit }
    }

    /// Returns whether term or vote must be written. A newer commit index alone is not worth a
    /// sync: the next leader determines it again.
    fn must_write_hard_state(&self) -> bool {
        (self.term, self.vote) != (self.written_state.term, self.written_state.vote)
    }

    fn take_hard_state(&mut self, writes: bool) -> Option<HardState> {
        let hard_state = self.hard_state();
        let due = self.must_write_hard_state() || writes && hard_state != self.written_state;
        if due {
            self.written_state = hard_state;
        }
        due.then_some(hard_state)
    }

    /// Records that the writes handed out last are on disk. Only now do the leader's own entries
    /// count towards the quorum: if it counted them earlier, it could commit entries that a crash
    /// then removes.
    pub fn synced(&mut self) {
        self.log.mark_synced();
        let was_durable = self.is_term_durable();
        let ticks = self.sync.end(&self.written_state);
        if self.role == Role::Leader {
            self.advance_commit();
        } else if !was_durable && self.is_term_durable() {
            self.extend_timeout(ticks);
        }
    }

    /// Returns whether [`Node::ready`] would return any work.
    pub fn has_work(&self) -> bool {
        !self.immediate.is_empty()
            || self.new_snapshot.is_none() && self.applied < self.commit
            || self.reads.has_answers()
            || self.can_start_round()
            || self.has_appends()
            || !self.sync.is_writing() && self.has_writes()
    }

    fn has_writes(&self) -> bool {
        !self.outbox.is_empty()
            || self.new_snapshot.is_some()
            || self.must_write_hard_state()
            || self.log.has_unwritten()
    }

    /// Returns whether the current term, and the vote in it, are on disk.
    pub(crate) fn is_term_durable(&self) -> bool {
        self.sync.is_durable(self.term, self.vote)
    }

    /// Takes a snapshot of the applied state. The log up to it is dropped, and peers that lack
    /// those entries are sent the snapshot. A snapshot is ignored if it is older than the current
    /// one, or beyond what was handed out to apply or what is on this node's disk.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let is_stored = snapshot.index <= self.applied.min(self.log.synced());
        if snapshot.index > self.log.base() && is_stored {
            self.log.compact(snapshot);
        }
    }

    /// Returns the last index that is on this node's disk. Committed and applied entries may lie
    /// beyond it.
    pub fn synced_index(&self) -> LogIndex {
        self.log.synced()
    }

    /// Returns index, term and membership for a snapshot of the state at `index`, without data;
    /// `None` if the index is not in the log or was not handed out to apply.
    pub fn snapshot_head(&self, index: LogIndex) -> Option<Snapshot> {
        if index > self.applied {
            return None;
        }
        let term = self.log.term(index)?;
        let membership = self.log.membership_at(index).clone();
        Some(Snapshot { index, term, membership, data: Vec::new() })
    }
}
