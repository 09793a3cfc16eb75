//! Log replication on the leader and on the followers.

use types::{LogIndex, NodeId, Term};

use crate::config::Position;
use crate::message::{Body, Entry, Message, Payload};
use crate::node::Node;
use crate::progress::Mode;

/// The contents of an `Append` message.
pub(crate) struct Append {
    pub(crate) prior: LogIndex,
    pub(crate) prior_term: Term,
    pub(crate) entries: Vec<Entry>,
    pub(crate) commit: LogIndex,
    pub(crate) round: u64,
}

impl Node {
    /// Appends an entry of the current term to the leader's log.
    pub(crate) fn append(&mut self, payload: Payload) -> Position {
        let index = LogIndex(self.log.last().0 + 1);
        self.log.push(Entry { term: self.term, index, payload });
        Position { term: self.term, index }
    }

    /// Sends every peer the entries and the commit index that it lacks, within its in-flight limit.
    pub(crate) fn replicate(&mut self) {
        let peers: Vec<NodeId> = self.peers.keys().copied().collect();
        for to in peers {
            while self.needs_append(to) {
                self.send_entries(to);
            }
        }
    }

    /// Returns whether any peer needs an `Append`.
    pub(crate) fn has_appends(&self) -> bool {
        self.peers.keys().any(|&to| self.needs_append(to))
    }

    fn needs_append(&self, to: NodeId) -> bool {
        let Some(peer) = self.peers.get(&to) else { return false };
        peer.has_room() && (peer.next <= self.log.last() || peer.sent_commit < self.commit)
    }

    fn send_entries(&mut self, to: NodeId) {
        let Some(peer) = self.peers.get(&to) else { return };
        let prior = LogIndex(peer.next.0 - 1);
        let Some(prior_term) = self.log.term(prior) else {
            self.start_snapshot(to);
            return;
        };
        let entries = self.log.batch(peer.next, self.config.max_entries, self.config.max_bytes);
        let last = LogIndex(prior.0 + entries.len() as u64);
        self.send_append(to, Append { prior, prior_term, entries, ..self.empty_append() });
        let commit = self.commit;
        if let Some(peer) = self.peers.get_mut(&to) {
            peer.sent_commit = commit;
            peer.on_sent(last);
        }
    }

    fn empty_append(&self) -> Append {
        Append {
            prior: LogIndex(0),
            prior_term: Term(0),
            entries: Vec::new(),
            commit: self.commit,
            round: self.reads.number(),
        }
    }

    /// Sends an `Append`. Followers may write the entries while this node does: this node's copy
    /// counts only once it is synced.
    fn send_append(&mut self, to: NodeId, append: Append) {
        let Append { prior, prior_term, entries, commit, round } = append;
        self.send_as_leader(to, Body::Append { prior, prior_term, entries, commit, round });
    }

    /// Sends every peer an `Append` without entries, as a heartbeat or for a round of reads. A peer
    /// that lacks entries rejects it, and is then sent the entries.
    pub(crate) fn broadcast(&mut self) {
        let peers: Vec<NodeId> = self.peers.keys().copied().collect();
        for to in peers {
            self.send_heartbeat(to);
        }
    }

    pub(crate) fn send_heartbeat(&mut self, to: NodeId) {
        let Some(peer) = self.peers.get(&to) else { return };
        let prior = match &peer.mode {
            Mode::Snapshot(sending) => sending.snapshot.index,
            _ => LogIndex(peer.next.0 - 1),
        };
        let prior = prior.max(self.log.base());
        let Some(prior_term) = self.log.term(prior) else { return };
        self.send_append(to, Append { prior, prior_term, ..self.empty_append() });
    }

    /// Resends messages that may have been lost to peers that reply. A silent peer gets heartbeats
    /// only.
    fn resend_to_active(&mut self) {
        let active = self.peers.iter_mut().filter(|(_, peer)| peer.is_active());
        let mut ids = Vec::new();
        for (&id, peer) in active {
            peer.retry();
            ids.push(id);
        }
        for to in ids {
            self.send_part(to);
        }
    }

    /// Handles a follower's reply.
    pub(crate) fn on_append_reply(
        &mut self,
        from: NodeId,
        accepted: bool,
        index: LogIndex,
        round: u64,
    ) {
        let last = self.log.last();
        let Some(peer) = self.peers.get_mut(&from) else { return };
        peer.replied = true;
        peer.round = peer.round.max(round);
        if accepted {
            peer.on_accepted(index.min(last));
        } else {
            peer.on_rejected(index);
        }
        self.finish_round();
        self.advance_commit();
        self.continue_transfer(from);
    }

    /// Commits the entries that a majority of the newest membership's voters has on disk, if the
    /// last of them is of the current term. An entry of an older term on a majority may still be
    /// overwritten by a leader that lacks it. An entry of the current term rules such leaders out,
    /// and commits the entries before it.
    pub(crate) fn advance_commit(&mut self) {
        let index = self.quorum_index();
        if index <= self.commit || self.log.term(index) != Some(self.term) {
            return;
        }
        self.commit = index;
        self.step_down_if_removed();
    }

    /// Handles entries, or a heartbeat, from the leader of this term.
    pub(crate) fn on_append(&mut self, from: NodeId, append: Append) {
        let round = append.round;
        let is_heartbeat = append.entries.is_empty();
        match self.append_entries(append) {
            Ok(index) if is_heartbeat => self.answer_heartbeat(from, index, round),
            Ok(index) => self.send(from, Body::AppendReply { accepted: true, index, round }),
            Err(index) => {
                self.send_immediate(from, Body::AppendReply { accepted: false, index, round })
            }
        }
    }

    /// Answers a heartbeat of the older term that is on disk, while the current term is not yet. No
    /// other node has heard of the current term from this one, so the older leader's reads may
    /// still count the reply; and a leader that transfers to this node learns that it is alive.
    /// Returns whether the heartbeat was answered.
    pub(crate) fn answer_in_durable_term(&mut self, from: NodeId, term: Term, body: &Body) -> bool {
        let Body::Append { prior, prior_term, entries, round, .. } = body else { return false };
        let durable = !self.is_term_durable() && self.sync.durable_term() == term;
        if !durable || !entries.is_empty() || !self.log.matches(*prior, *prior_term) {
            return false;
        }
        let index = (*prior).min(self.log.synced());
        let body = Body::AppendReply { accepted: true, index, round: *round };
        self.immediate.push(Message { from: self.config.id, to: from, term, body });
        true
    }

    /// Answers a heartbeat without waiting for the disk, and acknowledges only entries that are on
    /// disk. Reads may count the reply even before the term is on disk: the voters that elected the
    /// leader have the term on disk, and no entry can be committed without them in an older term.
    fn answer_heartbeat(&mut self, from: NodeId, index: LogIndex, round: u64) {
        if self.sync.is_stalled(self.config.stall_ticks) {
            return;
        }
        let index = index.min(self.log.synced());
        self.send_immediate(from, Body::AppendReply { accepted: true, index, round });
    }

    /// Stores the entries of an `Append` and returns the last index that matches.
    ///
    /// # Errors
    ///
    /// Returns a hint at the last index that may match if the logs do not match at `prior`.
    fn append_entries(&mut self, append: Append) -> Result<LogIndex, LogIndex> {
        let Append { prior, prior_term, mut entries, commit, .. } = append;
        let last = LogIndex(prior.0 + entries.len() as u64);
        let base = self.log.base();
        let gapless =
            entries.iter().zip(prior.0 + 1..).all(|(entry, index)| entry.index.0 == index);
        if !gapless {
            return Err(self.commit);
        }
        if prior < base {
            // Entries up to the snapshot are committed, so they match.
            entries.retain(|entry| entry.index > base);
        } else if !self.log.matches(prior, prior_term) {
            return Err(self.conflict_hint(prior, prior_term));
        }
        if !self.store_entries(entries) {
            return Err(self.commit);
        }
        // This message commits only entries that it confirms to match: entries beyond `last` may be
        // of an older leader.
        self.commit_to(commit.min(last));
        Ok(last)
    }

    /// Appends the entries that the log lacks. The log is truncated at the first conflict. Returns
    /// false, and stores nothing more, at an entry that contradicts a committed one.
    fn store_entries(&mut self, entries: Vec<Entry>) -> bool {
        let mut changed = false;
        for entry in entries {
            if self.log.matches(entry.index, entry.term) {
                continue;
            }
            if entry.index <= self.commit {
                log::error!(
                    "node {} refuses an entry that conflicts with the committed one at {}",
                    self.config.id,
                    entry.index
                );
                return false;
            }
            self.log.truncate(entry.index);
            self.log.push(entry);
            changed = true;
        }
        if changed {
            self.membership_changed();
        }
        true
    }

    /// Raises the commit index to `index`, at most to the end of the log.
    pub(crate) fn commit_to(&mut self, index: LogIndex) {
        self.commit = self.commit.max(index.min(self.log.last()));
    }

    /// Returns the last index that may match a leader whose entry at `prior` has `prior_term`.
    /// Skips all entries of terms newer than the leader can hold there, or all entries of the
    /// conflicting term, at once; never skips committed entries.
    fn conflict_hint(&self, prior: LogIndex, prior_term: Term) -> LogIndex {
        let mut index = prior.min(self.log.last());
        let conflict = if index == prior { self.log.term(index) } else { None };
        while index > self.commit {
            let Some(term) = self.log.term(index) else { break };
            if term <= prior_term && Some(term) != conflict {
                break;
            }
            index.0 -= 1;
        }
        index
    }

    /// Handles a tick on the leader: sends heartbeats, and checks that a quorum still replies.
    pub(crate) fn tick_leader(&mut self) {
        self.heartbeat_elapsed += 1;
        self.tick_transfer();
        self.tick_lag();
        if self.heartbeat_elapsed >= self.config.heartbeat_ticks {
            self.heartbeat_elapsed = 0;
            self.broadcast();
            self.resend_to_active();
        }
        if self.elapsed < self.config.election_ticks {
            return;
        }
        self.elapsed = 0;
        let replied = |id| id == self.config.id || self.peers.get(&id).is_some_and(|p| p.replied);
        // A leader without a quorum commits nothing, and its callers would wait for it in vain.
        if !self.membership().has_quorum(replied) {
            log::info!("node {} steps down as leader: no quorum replies", self.config.id);
            self.become_follower(self.term, None);
            return;
        }
        for peer in self.peers.values_mut() {
            peer.start_period();
        }
    }
}
