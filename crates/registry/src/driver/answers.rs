//! Answers operators' orders and reads once their outcome is known.

use std::net::SocketAddr;

use consensus::Position;
use tokio::sync::oneshot;
use types::LogIndex;

use super::{Answer, Driver};

/// Who started a read that a quorum must confirm.
#[derive(Debug)]
pub(super) enum Reader {
    /// An operator; answered with the state.
    Operator(oneshot::Sender<Answer>),
    /// A member, possibly this one, that checks whether its plan is current; answered with the log index.
    Member { ticket: u64, at: SocketAddr },
}

impl Driver {
    /// Answers the orders up to a committed position. An order whose entry another leader's entry
    /// replaced is answered with [`Answer::NotLeader`].
    pub(super) fn answer_order(&mut self, position: Position) {
        let state = &self.state;
        self.pending_orders.retain_mut(|(at, reply)| {
            if at.index > position.index {
                return true;
            }
            let reply = std::mem::replace(reply, oneshot::channel().0);
            let committed = *at == position;
            let answer =
                if committed { Answer::State(state.clone()) } else { Answer::NotLeader(None) };
            // The caller may have given up.
            let _ = reply.send(answer);
            false
        });
    }

    /// Handles confirmed and lost reads. A member whose read was lost asks again.
    pub(super) fn handle_reads(&mut self, confirmed: Vec<(u64, LogIndex)>, lost: Vec<u64>) {
        for (id, index) in confirmed {
            match self.pending_reads.get(&id) {
                Some(&Reader::Member { ticket, at }) => self.send_confirmation(ticket, at, index),
                Some(Reader::Operator(_)) => {
                    self.confirmed_reads.push((id, index));
                    continue;
                }
                None => {}
            }
            self.pending_reads.remove(&id);
        }
        for id in lost {
            if let Some(Reader::Operator(reply)) = self.pending_reads.remove(&id) {
                self.answer_not_leader(reply);
            }
        }
    }

    /// Answers the reads whose confirmed log index is applied.
    pub(super) fn answer_reads(&mut self) {
        let applied = self.applied;
        for (id, _) in self.confirmed_reads.extract_if(.., |(_, index)| *index <= applied) {
            if let Some(Reader::Operator(reply)) = self.pending_reads.remove(&id) {
                let _ = reply.send(Answer::State(self.state.clone()));
            }
        }
    }

    /// Answers with the leader's address, if another node is known to lead.
    pub(super) fn answer_not_leader(&self, reply: oneshot::Sender<Answer>) {
        let leader = self.node.status().leader.filter(|it| *it != self.id);
        // The caller may have given up.
        let _ = reply.send(Answer::NotLeader(leader.and_then(|it| self.address(it))));
    }
}
