//! Takes operators' orders into the log, and applies them once they are committed.

use consensus::{Payload, Role};
use tokio::sync::oneshot;
use types::{LogIndex, StepResult, Version};

use super::answers::Reader;
use super::{Answer, Driver};
use crate::plan::PutPlan;
use crate::replicated::Command;

impl Driver {
    pub(super) fn handle_put(&mut self, put: PutPlan, reply: oneshot::Sender<Answer>) {
        if put.version <= self.state.plan.version && self.accepts_orders() {
            self.handle_read(reply);
            return;
        }
        self.propose(&Command::PutPlan(put), reply);
    }

    /// Returns whether this node leads enough voters to keep an order. With fewer, the order could be
    /// acknowledged and then lost together with the disks of all voters that hold it.
    fn accepts_orders(&self) -> bool {
        let enough_voters = self.node.membership().quorum() > self.config.max_losses;
        self.node.status().role == Role::Leader && enough_voters
    }

    /// Proposes an order to the log, and answers once it is committed.
    pub(super) fn propose(&mut self, command: &Command, reply: oneshot::Sender<Answer>) {
        // The operator has given up and sends the order again. Meanwhile the opposite one may have been
        // acknowledged, and a late copy must not undo that.
        if reply.is_closed() {
            return;
        }
        if self.node.status().role != Role::Leader {
            self.answer_not_leader(reply);
            return;
        }
        if !self.accepts_orders() {
            let _ = reply.send(Answer::TooFewVoters);
            return;
        }
        match self.node.propose(command.encode()) {
            Ok(position) => self.pending_orders.push((position, reply)),
            Err(_) => self.answer_not_leader(reply),
        }
    }

    /// Proposes a change that nobody waits for.
    pub(super) fn store(&mut self, command: &Command) {
        // Members of earlier releases would take the command for the first plan.
        if self.state.plan.version > Version(0) {
            // Fails on a node that does not lead any more; the next leader decides on it.
            let _ = self.node.propose(command.encode());
        }
    }

    pub(super) fn handle_read(&mut self, reply: oneshot::Sender<Answer>) {
        self.next_read += 1;
        let id = self.next_read;
        if self.node.read(id).is_err() {
            self.answer_not_leader(reply);
            return;
        }
        self.pending_reads.insert(id, Reader::Operator(reply));
    }

    /// Applies a committed log entry.
    pub(super) fn apply(&mut self, payload: Payload) -> StepResult<()> {
        match payload {
            Payload::Empty => {}
            Payload::Command(bytes) => {
                let command = Command::decode(&bytes)?;
                if self.state.apply(&command) {
                    log_applied(&command, self.applied);
                }
            }
            Payload::Membership(it) => {
                log::info!(voters = it.voters.len(), learners = it.learners.len(),
                    index:% = self.applied; "the membership changed");
            }
        }
        Ok(())
    }
}

/// Logs a command that changed the state, for the audit trail.
fn log_applied(command: &Command, index: LogIndex) {
    match command {
        Command::PutPlan(put) => {
            log::info!(version:% = put.version, index:% = index; "stored a new plan");
        }
        Command::Hold(hold) => {
            log::info!(digest:% = hold.digest, ends = hold.ends, relapses = hold.relapses,
                until_ms = hold.until_ms, index:% = index; "stored a held request");
        }
        Command::Release(digest) => {
            log::info!(digest:% = digest, index:% = index; "removed a request that is not held any more");
        }
        Command::Evacuation(order) => {
            log::info!(domain = order.domain.as_str(), action:% = order.action,
                operator = order.operator.as_str(), ordered_ms = order.at_ms, index:% = index;
                "stored an order for a failure domain");
        }
    }
}
