//! Reads that are confirmed by a quorum.
//!
//! A leader that was partitioned away or paused does not know whether another leader has committed
//! entries since, and a clock can't tell it. So a read is answered only after a majority has
//! replied, in the leader's term, to a round that began after the read was requested.

use types::LogIndex;

use crate::config::NotLeader;
use crate::message::Role;
use crate::node::Node;

/// A round in flight and the reads that it confirms.
#[derive(Clone, Debug)]
struct Round {
    index: LogIndex,
    ids: Vec<u64>,
}

/// The reads requested from a leader.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reads {
    /// The number of the latest round. It never decreases, so a late reply confirms no later round.
    number: u64,
    waiting: Vec<u64>,
    round: Option<Round>,
    confirmed: Vec<(u64, LogIndex)>,
    failed: Vec<u64>,
}

impl Reads {
    /// Returns the number of the latest round, which every `Append` carries.
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    /// Returns whether reads wait and no round is in flight.
    pub(crate) fn can_start(&self) -> bool {
        self.round.is_none() && !self.waiting.is_empty()
    }

    /// Returns whether there are results to hand out.
    pub(crate) fn has_answers(&self) -> bool {
        !self.confirmed.is_empty() || !self.failed.is_empty()
    }

    /// Fails all reads, because leadership is lost.
    pub(crate) fn fail_all(&mut self) {
        if let Some(round) = self.round.take() {
            self.failed.extend(round.ids);
        }
        self.failed.append(&mut self.waiting);
        self.failed.extend(self.confirmed.drain(..).map(|(id, _)| id));
    }

    /// Removes and returns the confirmed reads.
    pub(crate) fn take_confirmed(&mut self) -> Vec<(u64, LogIndex)> {
        std::mem::take(&mut self.confirmed)
    }

    /// Removes and returns the ids of the failed reads.
    pub(crate) fn take_failed(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.failed)
    }
}

impl Node {
    /// Requests an index at which a read may be answered. The result is in `Ready::reads` or
    /// `Ready::failed_reads`, under `id`. All waiting reads share one round.
    ///
    /// # Errors
    ///
    /// Refuses on a node that does not lead.
    pub fn read(&mut self, id: u64) -> Result<(), NotLeader> {
        if self.role != Role::Leader {
            return Err(NotLeader { leader: self.leader });
        }
        self.reads.waiting.push(id);
        Ok(())
    }

    /// Returns whether a round of reads can begin. A new leader holds all entries that earlier
    /// leaders committed, but learns which of them are committed only when it commits an entry of
    /// its own term, unless it already knew that its whole log is committed.
    pub(crate) fn can_start_round(&self) -> bool {
        let leads = self.role == Role::Leader;
        self.reads.can_start() && leads && self.commit >= self.election_last
    }

    /// Begins a round for all waiting reads.
    pub(crate) fn start_round(&mut self) {
        if !self.can_start_round() {
            return;
        }
        self.reads.number += 1;
        let ids = std::mem::take(&mut self.reads.waiting);
        self.reads.round = Some(Round { index: self.commit, ids });
        self.broadcast();
        self.finish_round();
    }

    /// Confirms the reads of the round if a majority has replied to it.
    pub(crate) fn finish_round(&mut self) {
        let number = self.reads.number;
        let answered = |id| match self.peers.get(&id) {
            Some(peer) => peer.round >= number,
            None => id == self.config.id,
        };
        if self.reads.round.is_none() || !self.membership().has_quorum(answered) {
            return;
        }
        if let Some(round) = self.reads.round.take() {
            let reads = round.ids.into_iter().map(|id| (id, round.index));
            self.reads.confirmed.extend(reads);
        }
    }
}
