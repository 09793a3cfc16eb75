//! Processes the output of the consensus node: writes, messages, committed entries and confirmed
//! reads.

use std::collections::BTreeSet;
use std::sync::Arc;

use consensus::{Entry, Message, Payload, Role, Snapshot};
use types::{LogIndex, NodeId, StepResult, VmName};

use super::{Core, Outbox, published};
use crate::address::Address;
use crate::pending::respond;
use crate::request::{LeaderResponse, RequestError};
use crate::state_machine::StateMachine;
use crate::view::View;

impl<O: Outbox> Core<O> {
    /// Starts writes, sends messages, applies entries and responds to requests until the node has
    /// nothing left to process. Then compacts the log if necessary and publishes the new view.
    pub(super) fn process_ready(&mut self) -> StepResult<()> {
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
        self.publish_view();
        Ok(())
    }

    /// Handles finished writes: sends the messages that had to wait for them.
    pub(super) fn finish_writes(&mut self) -> StepResult<()> {
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
        self.machine = StateMachine::restore(snapshot)?;
        self.snapshot_size = snapshot.data.len() as u64;
        self.pending.fail_up_to(snapshot.index);
        self.applied = snapshot.index;
        self.publish();
        log::info!(index = snapshot.index.0; "installed a snapshot");
        Ok(())
    }

    fn apply(&mut self, committed: Vec<Entry>) -> StepResult<()> {
        if committed.is_empty() {
            return Ok(());
        }
        let mut responses = Vec::new();
        for entry in committed {
            let response = match entry.payload {
                Payload::Empty | Payload::Membership(_) => LeaderResponse::Done,
                Payload::Command(data) => {
                    LeaderResponse::Reply(entry.index, self.machine.apply(entry.index, &data)?)
                }
            };
            self.applied = entry.index;
            self.config.metrics.applied.inc();
            if let Some(responder) = self.pending.commit(entry.term, entry.index) {
                responses.push((responder, response));
            }
        }
        // Publishes to entries before responding to the operator.
        if self.has_unpublished_change() {
            self.publish();
        }
        self.applied_sender.send_replace(self.applied);
        for (responder, response) in responses {
            respond(responder, Ok(response));
        }
        Ok(())
    }

    fn answer_reads(&mut self, reads: Vec<(u64, LogIndex)>, lost: Vec<u64>) {
        for (read, index) in reads {
            if let Some(responder) = self.reads.remove(&read) {
                respond(responder, Ok(LeaderResponse::Read(index)));
            }
        }
        for read in lost {
            if let Some(responder) = self.reads.remove(&read) {
                respond(responder, Err(RequestError::NotRun("leadership was lost".to_owned())));
            }
        }
    }

    /// Replaces the log by a snapshot once the log exceeds both its size limit and the size of the
    /// last snapshot. The second condition keeps a large state from being written again after every
    /// few records.
    fn compact(&mut self) -> StepResult<()> {
        let due = self.journal.log_size().0 > self.config.log_size.max(self.snapshot_size);
        if !due || self.journal.is_compacting() {
            return Ok(());
        }
        let Some(mut snapshot) = self.node.snapshot_head(self.applied) else {
            return Ok(());
        };
        snapshot.data = self.machine.save()?;
        self.snapshot_size = snapshot.data.len() as u64;
        self.journal.snapshot(&self.node, snapshot)
    }

    fn has_unpublished_change(&self) -> bool {
        let state = &self.machine.state;
        let known = self.published.borrow();
        known.version != state.version() || !known.marks.iter().eq(state.marks().keys())
    }

    fn publish(&self) {
        self.published.send_replace(Arc::new(published(&self.machine)));
        self.applied_sender.send_replace(self.applied);
    }

    /// Publishes that this member neither leads nor follows any more.
    pub(super) fn publish_ended_view(&self) {
        let last = View::clone(&self.view.load());
        let role = Role::Follower;
        let view =
            View { role, leader: None, term_committed: false, active: BTreeSet::new(), ..last };
        self.config.metrics.set_node_state(&view);
        self.view.store(Arc::new(view));
    }

    pub(super) fn publish_view(&self) {
        let status = self.node.status();
        let peers = status.peers.iter();
        let view = View {
            role: status.role,
            term: status.term,
            leader: status.leader,
            term_committed: status.term_committed,
            commit: status.commit,
            applied: self.applied,
            version: self.machine.state.version(),
            membership: self.node.membership().clone(),
            progress: peers.clone().map(|(node, it)| (*node, it.matched)).collect(),
            active: peers.filter(|(_, it)| it.active).map(|(node, _)| *node).collect(),
            overrides: self.machine.overrides.clone(),
        };
        if **self.view.load() != view {
            self.config.metrics.set_node_state(&view);
            self.view.store(Arc::new(view));
        }
    }
}
