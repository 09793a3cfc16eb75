//! Answers orders and reads, once it is certain what became of them.

use std::net::SocketAddr;
use std::sync::Arc;

use consensus::Position;
use tokio::sync::oneshot;
use types::LogIndex;

use super::{Answer, Driver};

/// Who asked for a position that a quorum confirms.
#[derive(Debug)]
pub(super) enum Reader {
    /// An operator; answered with the plan.
    Operator(oneshot::Sender<Answer>),
    /// A member that vouches for its plan, this one included; answered with the position.
    Member { ticket: u64, at: SocketAddr },
}

impl Driver {
    /// Answers the orders up to a position that is committed: one that another leader's entry
    /// replaced is answered elsewhere.
    pub(super) fn answer_put(&mut self, position: Position) {
        let held = &self.held;
        self.puts.retain_mut(|(at, reply)| {
            if at.index > position.index {
                return true;
            }
            let reply = std::mem::replace(reply, oneshot::channel().0);
            let committed = *at == position;
            let answer =
                if committed { Answer::Held(Arc::clone(held)) } else { Answer::Elsewhere(None) };
            // The asker may have given up.
            let _ = reply.send(answer);
            false
        });
    }

    /// Takes what became of reads. A member that lost its read asks again.
    pub(super) fn take_reads(&mut self, confirmed: Vec<(u64, LogIndex)>, lost: Vec<u64>) {
        for (id, index) in confirmed {
            match self.reads.get(&id) {
                Some(&Reader::Member { ticket, at }) => self.confirm_to(ticket, at, index),
                Some(Reader::Operator(_)) => {
                    self.confirmed.push((id, index));
                    continue;
                }
                None => {}
            }
            self.reads.remove(&id);
        }
        for id in lost {
            if let Some(Reader::Operator(reply)) = self.reads.remove(&id) {
                self.answer_elsewhere(reply);
            }
        }
    }

    /// Answers the reads whose confirmed position is applied.
    pub(super) fn answer_reads(&mut self) {
        let applied = self.applied;
        for (id, _) in self.confirmed.extract_if(.., |(_, index)| *index <= applied) {
            if let Some(Reader::Operator(reply)) = self.reads.remove(&id) {
                let _ = reply.send(Answer::Held(Arc::clone(&self.held)));
            }
        }
    }

    /// Names the leader, if another one is known.
    pub(super) fn answer_elsewhere(&self, reply: oneshot::Sender<Answer>) {
        let leader = self.node.status().leader.filter(|it| *it != self.id);
        // The asker may have given up.
        let _ = reply.send(Answer::Elsewhere(leader.and_then(|it| self.address(it))));
    }
}
