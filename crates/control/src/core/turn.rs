//! What the node has ready: ordered to be written, sent, applied, answered and shown.

use std::collections::BTreeSet;
use std::sync::Arc;

use consensus::{Entry, Message, Payload, Role, Snapshot};
use types::{LogIndex, NodeId, StepResult, VmName};

use super::{Core, Outbox, published};
use crate::address::Address;
use crate::ask::{Denied, Told};
use crate::image::Image;
use crate::pending::answer;
use crate::view::View;

impl<O: Outbox> Core<O> {
    /// Orders writes, sends, applies and answers until the node has nothing more to do.
    pub(super) fn settle(&mut self) -> StepResult<()> {
        while self.node.has_work() {
            let mut ready = self.node.ready();
            let messages = self.journal.write(&mut ready)?;
            self.send(std::mem::take(&mut ready.immediate));
            self.send(messages);
            if let Some(snapshot) = &ready.snapshot {
                self.install(snapshot)?;
            }
            self.apply(ready.committed)?;
            self.answer_reads(ready.reads, ready.failed_reads);
        }
        self.compact()?;
        self.show();
        Ok(())
    }

    /// Goes on after writes that have ended: what waited for them may go out.
    pub(super) fn take_written(&mut self) -> StepResult<()> {
        while let Some(saved) = self.journal.next_saved(&mut self.node)? {
            if saved.compacted {
                self.config.metrics.snapshots.inc();
            } else {
                self.config.metrics.sync(saved.took);
            }
            self.send(saved.messages);
        }
        Ok(())
    }

    fn send(&self, messages: Vec<Message>) {
        for message in messages {
            let vm = self.vm_of(message.to);
            self.config.outbox.send(message, vm);
        }
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
        let due = self.journal.log_size().0 > self.config.log_size.max(self.saved);
        if !due || self.journal.is_compacting() {
            return Ok(());
        }
        let Some(mut snapshot) = self.node.snapshot_head(self.applied) else {
            return Ok(());
        };
        snapshot.data = self.image.save()?;
        self.saved = snapshot.data.len() as u64;
        self.journal.snapshot(&self.node, snapshot)
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
            settled: status.term_committed,
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
