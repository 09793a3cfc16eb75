//! What the node has ready: written, sent, applied, answered and shown.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use consensus::{Entry, Payload, Role, Snapshot};
use types::{LogIndex, NodeId, StepError, StepResult, VmName};

use super::{Core, Outbox, published};
use crate::address::Address;
use crate::ask::{Denied, Told};
use crate::folder;
use crate::image::Image;
use crate::pending::answer;
use crate::view::View;

impl<O: Outbox> Core<O> {
    /// Writes, sends, applies and answers until the node has nothing more to do.
    pub(super) fn settle(&mut self) -> StepResult<()> {
        while self.node.has_work() {
            let ready = self.node.ready();
            let from = Instant::now();
            let writes = ready.hard.is_some() || !ready.entries.is_empty();
            folder::write(&mut self.store, &ready)?;
            if writes {
                self.config.metrics.sync(from.elapsed());
            }
            self.node.synced();
            for message in ready.messages {
                let vm = self.vm_of(message.to);
                self.config.outbox.send(message, vm);
            }
            if let Some(snapshot) = &ready.snapshot {
                self.install(snapshot)?;
            }
            self.apply(ready.committed)?;
            self.answer_reads(ready.reads, ready.lost_reads);
        }
        self.compact()?;
        self.show();
        Ok(())
    }

    fn vm_of(&self, node: NodeId) -> Option<VmName> {
        let members = self.node.membership();
        let found = members.voters.get(&node).or_else(|| members.learners.get(&node));
        found.and_then(|it| Address::decode(it))
    }

    fn install(&mut self, snapshot: &Snapshot) -> StepResult<()> {
        self.image = Image::restore(snapshot)?;
        self.saved = snapshot.data.len() as u64;
        self.pending.cover(snapshot.index);
        self.applied = snapshot.index;
        self.publish();
        log::info!(index = snapshot.index.0; "installed a snapshot");
        Ok(())
    }

    fn apply(&mut self, committed: Vec<Entry>) -> StepResult<()> {
        if committed.is_empty() {
            return Ok(());
        }
        let mut answers = Vec::new();
        for entry in committed {
            let told = match entry.payload {
                Payload::Empty | Payload::Membership(_) => Told::Done,
                Payload::Command(data) => {
                    Told::Reply(entry.index, self.image.apply(entry.index, &data)?)
                }
            };
            self.applied = entry.index;
            self.config.metrics.applied.inc();
            if let Some(responder) = self.pending.commit(entry.term, entry.index) {
                answers.push((responder, told));
            }
        }
        // Entries are told before the operator is.
        if self.is_news() {
            self.publish();
        }
        self.applied_to.send_replace(self.applied);
        for (responder, told) in answers {
            answer(responder, Ok(told));
        }
        Ok(())
    }

    fn answer_reads(&mut self, reads: Vec<(u64, LogIndex)>, lost: Vec<u64>) {
        for (read, index) in reads {
            if let Some(responder) = self.reads.remove(&read) {
                answer(responder, Ok(Told::Read(index)));
            }
        }
        for read in lost {
            if let Some(responder) = self.reads.remove(&read) {
                answer(responder, Err(Denied::NotRun("leadership was lost".to_owned())));
            }
        }
    }

    /// Replaces a log by a snapshot once it has grown beyond its limit, and beyond the last
    /// snapshot: a large state is not written anew for every few records.
    fn compact(&mut self) -> StepResult<()> {
        if self.store.log_size().0 <= self.config.log_size.max(self.saved) {
            return Ok(());
        }
        let Some(mut snapshot) = self.node.snapshot_head(self.applied) else {
            return Ok(());
        };
        snapshot.data = self.image.save()?;
        self.saved = snapshot.data.len() as u64;
        let keep = LogIndex(snapshot.index.0 + 1);
        let data = folder::encode(&snapshot)?;
        let written = self.store.snapshot(snapshot.index, &data, keep);
        written.map_err(|e| StepError::new("write snapshot", e))?;
        log::info!(index = snapshot.index.0, bytes = self.saved; "wrote a snapshot");
        self.node.compact(snapshot);
        self.config.metrics.snapshots.inc();
        Ok(())
    }

    fn is_news(&self) -> bool {
        let state = &self.image.state;
        let known = self.published.borrow();
        known.version != state.version() || !known.marks.iter().eq(state.marks().keys())
    }

    fn publish(&self) {
        self.published.send_replace(Arc::new(published(&self.image)));
        self.applied_to.send_replace(self.applied);
    }

    /// Shows that this member neither leads nor follows any more.
    pub(super) fn show_ended(&self) {
        let last = View::clone(&self.view.load());
        let role = Role::Follower;
        let view = View { role, leader: None, settled: false, active: BTreeSet::new(), ..last };
        self.config.metrics.show(&view);
        self.view.store(Arc::new(view));
    }

    pub(super) fn show(&self) {
        let status = self.node.status();
        let peers = status.peers.iter();
        let view = View {
            role: status.role,
            term: status.term,
            leader: status.leader,
            settled: status.settled,
            commit: status.commit,
            applied: self.applied,
            version: self.image.state.version(),
            membership: self.node.membership().clone(),
            progress: peers.clone().map(|(node, it)| (*node, it.matched)).collect(),
            active: peers.filter(|(_, it)| it.active).map(|(node, _)| *node).collect(),
            roll: self.image.roll.clone(),
        };
        if **self.view.load() != view {
            self.config.metrics.show(&view);
            self.view.store(Arc::new(view));
        }
    }
}
