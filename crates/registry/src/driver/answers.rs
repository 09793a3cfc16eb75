//! Answers orders and reads, once it is certain what became of them.

use std::sync::Arc;

use consensus::Position;
use tokio::sync::oneshot;

use super::{Answer, Driver};

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

    /// Answers the reads whose confirmed position is applied.
    pub(super) fn answer_reads(&mut self) {
        let applied = self.applied;
        for (id, _) in self.confirmed.extract_if(.., |(_, index)| *index <= applied) {
            if let Some(reply) = self.reads.remove(&id) {
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
