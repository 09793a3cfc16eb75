//! Elections: pre-votes, votes, and the change to leader or follower.

use types::{LogIndex, NodeId, Term};

use crate::lag::DiskLag;
use crate::message::{Body, Payload, Role};
use crate::node::Node;
use crate::progress::Progress;

/// The index and term of the last entry of a candidate's log.
#[derive(Clone, Copy)]
pub(crate) struct LogEnd {
    pub(crate) index: LogIndex,
    pub(crate) term: Term,
}

impl Node {
    /// Returns whether the node may campaign. Only voters of the newest membership in its log may;
    /// a node with an empty data folder knows no membership, so it never campaigns.
    pub(crate) fn can_campaign(&self) -> bool {
        self.role != Role::Leader && self.membership().is_voter(self.config.id)
    }

    /// Returns whether the node leads, or heard from a leader within the shortest election timeout.
    /// Such a node refuses votes, since an election would only disrupt the leader. This is no basis
    /// for answering reads.
    fn has_recent_leader(&self) -> bool {
        let is_recent = self.leader.is_some() && self.elapsed < self.config.election_ticks;
        self.role == Role::Leader || is_recent
    }

    /// Starts a pre-vote, which asks the other voters whether they would grant a vote. The term is
    /// not raised: otherwise a node that was partitioned away would return with a high term and
    /// depose a healthy leader.
    pub(crate) fn start_pre_vote(&mut self) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.restart_timeout();
        self.votes.clear();
        self.votes.insert(self.config.id, true);
        if self.has_won() {
            self.campaign(false);
            return;
        }
        let end = self.log_end();
        let term = Term(self.term.0 + 1);
        let body = Body::PreVote { index: end.index, term: end.term };
        for to in self.other_voters() {
            self.send_immediate_in(term, to, body.clone());
        }
    }

    /// Starts an election in the next term.
    pub(crate) fn campaign(&mut self, transfer: bool) {
        self.term = Term(self.term.0 + 1);
        self.vote = Some(self.config.id);
        self.role = Role::Candidate;
        self.leader = None;
        self.restart_timeout();
        self.votes.clear();
        self.votes.insert(self.config.id, true);
        log::debug!("node {} starts an election in term {}", self.config.id, self.term);
        if self.has_won() {
            self.become_leader();
            return;
        }
        let end = self.log_end();
        let body = Body::Vote { index: end.index, term: end.term, transfer };
        for to in self.other_voters() {
            self.send(to, body.clone());
        }
    }

    /// Extends the election timeout by twice the ticks that this node's disk took to write the
    /// vote. The other voters' disks may take as long, and may have a write in flight ahead of the
    /// vote.
    pub(crate) fn extend_timeout(&mut self, ticks: u32) {
        self.elapsed = 0;
        self.timeout_extension = if self.vote.is_some() { ticks.saturating_mul(2) } else { 0 };
    }

    fn log_end(&self) -> LogEnd {
        LogEnd { index: self.log.last(), term: self.log.last_term() }
    }

    fn other_voters(&self) -> Vec<NodeId> {
        let voters = self.membership().voters.keys().copied();
        voters.filter(|&to| to != self.config.id).collect()
    }

    fn has_won(&self) -> bool {
        self.membership().has_quorum(|id| self.votes.get(&id) == Some(&true))
    }

    /// Answers a pre-vote. The answer is no promise, and nothing is written.
    pub(crate) fn on_pre_vote(&mut self, from: NodeId, asked: Term, end: LogEnd) {
        let newer = asked > self.term;
        let granted =
            newer && !self.has_recent_leader() && self.log.is_up_to_date(end.index, end.term);
        let term = if granted { asked } else { self.term };
        self.send_immediate_in(term, from, Body::PreVoteReply { granted });
    }

    /// Returns whether a vote request with a newer term must be ignored without adopting its term.
    pub(crate) fn is_disruptive(&self, body: &Body) -> bool {
        matches!(body, Body::Vote { transfer: false, .. }) && self.has_recent_leader()
    }

    /// Answers a vote request of the current term.
    ///
    /// A node answers whether or not its own log lists it as a voter. A voter that was just added
    /// may lack the entry that adds it, and the candidate may need its vote: after {A} grows to
    /// {A, B}, A could never lead again if B refused. This is safe because the candidate counts
    /// only voters of its own newest membership, and because one id never votes twice in a term:
    /// the vote is synced before the reply is sent, and an emptied folder gets a new id.
    pub(crate) fn on_vote(&mut self, from: NodeId, end: LogEnd) {
        let free = match self.vote {
            Some(vote) => vote == from,
            None => self.leader.is_none(),
        };
        let granted = free && self.log.is_up_to_date(end.index, end.term);
        if granted {
            self.vote = Some(from);
            self.elapsed = 0;
        }
        self.send(from, Body::VoteReply { granted });
    }

    /// Counts a pre-vote reply.
    pub(crate) fn on_pre_vote_reply(&mut self, from: NodeId, granted: bool) {
        if self.role != Role::PreCandidate {
            return;
        }
        self.votes.insert(from, granted);
        if self.has_won() {
            self.campaign(false);
        }
    }

    /// Counts a vote reply.
    pub(crate) fn on_vote_reply(&mut self, from: NodeId, granted: bool) {
        if self.role != Role::Candidate {
            return;
        }
        self.votes.insert(from, granted);
        if self.has_won() {
            self.become_leader();
        }
    }

    /// Becomes a follower, or a learner, in `term`; `leader` is the leader of that term, if known.
    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<NodeId>) {
        if term > self.term {
            self.term = term;
            self.vote = None;
        }
        let is_voter = self.membership().is_voter(self.config.id);
        self.role = if is_voter { Role::Follower } else { Role::Learner };
        self.leader = leader;
        self.restart_timeout();
        self.votes.clear();
        self.peers.clear();
        self.transfer = None;
        self.reads.fail_all();
    }

    fn become_leader(&mut self) {
        log::info!("node {} became the leader of term {}", self.config.id, self.term);
        self.role = Role::Leader;
        self.leader = Some(self.config.id);
        self.elapsed = 0;
        self.heartbeat_elapsed = 0;
        self.lag = DiskLag::default();
        self.election_last = self.log.last();
        self.peers.clear();
        self.update_peers();
        // Entries of earlier terms are committed only through an entry of this term.
        self.append(Payload::Empty);
        self.advance_commit();
    }

    /// Creates a progress for every other node of the newest membership that has none, and drops
    /// the progress of nodes that are no longer members.
    pub(crate) fn update_peers(&mut self) {
        let membership = self.log.membership();
        self.peers.retain(|&id, _| membership.contains(id));
        let next = LogIndex(self.log.last().0 + 1);
        for id in membership.nodes().filter(|&id| id != self.config.id) {
            self.peers.entry(id).or_insert_with(|| Progress::new(next));
        }
    }

    /// Draws a new election timeout and restarts the timer.
    pub(crate) fn restart_timeout(&mut self) {
        self.elapsed = 0;
        self.timeout_extension = 0;
        self.timeout = self.random.timeout(self.config.election_ticks);
    }
}
