//! The node: its state, and the entry points for ticks, messages and proposals.

use std::collections::BTreeMap;

use types::{LogIndex, NodeId, Term};

use crate::config::{Config, NotLeader, Position, Restored};
use crate::election::LogEnd;
use crate::lag::DiskLag;
use crate::log::Log;
use crate::message::{Body, HardState, Message, Payload, Role, Snapshot};
use crate::progress::Progress;
use crate::random::Random;
use crate::reads::Reads;
use crate::replication::Append;
use crate::snapshot::{PartialSnapshot, ReceivedPart};
use crate::sync::DiskSync;
use crate::transfer::Transfer;

/// A member of the cluster that replicates the log.
#[derive(Clone, Debug)]
pub struct Node {
    pub(crate) config: Config,
    pub(crate) term: Term,
    pub(crate) vote: Option<NodeId>,
    pub(crate) role: Role,
    pub(crate) leader: Option<NodeId>,
    pub(crate) log: Log,
    pub(crate) commit: LogIndex,
    /// The last index handed to the driver to apply.
    pub(crate) applied: LogIndex,
    /// The ticks since the last message from the leader. On a leader, the ticks since the last
    /// quorum check.
    pub(crate) elapsed: u32,
    /// The current election timeout, in ticks.
    pub(crate) timeout: u32,
    /// The ticks that slow disks add to the timeout during an election.
    pub(crate) timeout_extension: u32,
    /// The ticks since the leader sent its last heartbeat.
    pub(crate) heartbeat_elapsed: u32,
    pub(crate) random: Random,
    pub(crate) votes: BTreeMap<NodeId, bool>,
    /// The leader's view of the other nodes.
    pub(crate) peers: BTreeMap<NodeId, Progress>,
    pub(crate) transfer: Option<Transfer>,
    /// The last index of the leader's log when it was elected.
    pub(crate) election_last: LogIndex,
    pub(crate) reads: Reads,
    pub(crate) partial: Option<PartialSnapshot>,
    /// An installed snapshot that was not handed to the driver yet.
    pub(crate) new_snapshot: Option<Snapshot>,
    /// Messages that must wait for the writes before them.
    pub(crate) outbox: Vec<Message>,
    /// Messages that may be sent at once.
    pub(crate) immediate: Vec<Message>,
    /// The hard state that was handed to the driver last.
    pub(crate) written_state: HardState,
    pub(crate) sync: DiskSync,
    pub(crate) lag: DiskLag,
}

impl Node {
    /// Creates a node from the contents of its data folder.
    pub fn new(config: Config, restored: Restored) -> Self {
        let Restored { hard_state, snapshot, entries } = restored;
        let log = Log::new(snapshot, entries);
        let applied = log.base();
        let mut random = Random::new(config.seed, config.id);
        let timeout = random.timeout(config.first_ticks.min(config.election_ticks));
        let is_voter = log.membership().is_voter(config.id);
        Self {
            term: hard_state.term.max(log.last_term()),
            vote: if hard_state.term >= log.last_term() { hard_state.vote } else { None },
            role: if is_voter { Role::Follower } else { Role::Learner },
            leader: None,
            commit: hard_state.commit.clamp(applied, log.last()),
            applied,
            elapsed: 0,
            timeout,
            timeout_extension: 0,
            heartbeat_elapsed: 0,
            random,
            votes: BTreeMap::new(),
            peers: BTreeMap::new(),
            transfer: None,
            election_last: LogIndex(0),
            reads: Reads::default(),
            partial: None,
            new_snapshot: None,
            outbox: Vec::new(),
            immediate: Vec::new(),
            written_state: hard_state,
            sync: DiskSync::new(&hard_state),
            lag: DiskLag::default(),
            log,
            config,
        }
    }

    /// Advances the node's time by one tick.
    pub fn tick(&mut self) {
        self.sync.tick();
        // While a vote is being written it can't be given to another candidate, and the node must
        // not campaign again before that vote is sent: on slow disks no election would ever end.
        if self.role != Role::Leader && !self.is_term_durable() {
            return;
        }
        self.elapsed = self.elapsed.saturating_add(1);
        if self.role == Role::Leader {
            self.tick_leader();
            return;
        }
        if self.elapsed < self.timeout.saturating_add(self.timeout_extension) {
            return;
        }
        if self.can_campaign() {
            self.start_pre_vote();
        } else {
            self.leader = None;
        }
    }

    /// Proposes a command. It is accepted once the entry committed at the returned index has the
    /// returned term.
    ///
    /// # Errors
    ///
    /// Refuses on a node that does not lead or that is transferring its leadership.
    pub fn propose(&mut self, data: Vec<u8>) -> Result<Position, NotLeader> {
        self.check_leading()?;
        Ok(self.append(Payload::Command(data)))
    }

    /// Returns the term of the entry at `index`, or `None` if the entry was compacted or lies
    /// beyond the end.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        self.log.term(index)
    }

    /// Refuses unless the node leads and is not transferring its leadership.
    pub(crate) fn check_leading(&self) -> Result<(), NotLeader> {
        if self.role != Role::Leader {
            return Err(NotLeader { leader: self.leader });
        }
        // The target of a transfer must hold the whole log, so the log must not grow meanwhile.
        if self.transfer.is_some() {
            return Err(NotLeader { leader: None });
        }
        Ok(())
    }

    /// Queues a message in the current term, to be sent once the writes before it are on disk.
    pub(crate) fn send(&mut self, to: NodeId, body: Body) {
        self.send_in(self.term, to, body);
    }

    /// Queues a message that depends on no pending write, to be sent at once.
    pub(crate) fn send_immediate(&mut self, to: NodeId, body: Body) {
        self.send_immediate_in(self.term, to, body);
    }

    /// Queues a message with the given term, to be sent at once.
    pub(crate) fn send_immediate_in(&mut self, term: Term, to: NodeId, body: Body) {
        self.immediate.push(Message { from: self.config.id, to, term, body });
    }

    /// Queues a leader's message. It waits while the current term is not on disk, which happens
    /// where this node is the sole voter: a crash could undo the term, and another log could be
    /// written in it.
    pub(crate) fn send_as_leader(&mut self, to: NodeId, body: Body) {
        if self.is_term_durable() {
            self.send_immediate(to, body);
        } else {
            self.send(to, body);
        }
    }

    /// Queues a message with the given term, to be sent once the writes before it are on disk.
    pub(crate) fn send_in(&mut self, term: Term, to: NodeId, body: Body) {
        self.outbox.push(Message { from: self.config.id, to, term, body });
    }

    /// Handles a received message. Messages for other nodes are ignored.
    pub fn step(&mut self, message: Message) {
        let Message { from, to, term, body } = message;
        if to != self.config.id || from == to {
            return;
        }
        if let Body::PreVote { index, term: last } = body {
            self.on_pre_vote(from, term, LogEnd { index, term: last });
            return;
        }
        if let Body::PreVoteReply { granted: true } = body {
            // The term of the reply is the requested one, which no node has entered yet.
            if term.0 == self.term.0 + 1 {
                self.on_pre_vote_reply(from, true);
            }
            return;
        }
        if term < self.term {
            if !self.answer_in_durable_term(from, term, &body) {
                self.reject_stale(from, &body);
            }
            return;
        }
        if term > self.term {
            if self.is_disruptive(&body) {
                return;
            }
            self.become_follower(term, None);
        }
        self.dispatch(from, body);
    }

    /// Tells a sender with an older term the current term, so that it steps down.
    fn reject_stale(&mut self, from: NodeId, body: &Body) {
        let reply = match body {
            Body::Append { round, .. } => {
                Body::AppendReply { accepted: false, index: self.commit, round: *round }
            }
            Body::SnapshotPart { head, .. } => Body::SnapshotReply { index: head.index, offset: 0 },
            Body::Vote { .. } => Body::VoteReply { granted: false },
            _ => return,
        };
        self.send(from, reply);
    }

    /// Handles a message of the current term.
    fn dispatch(&mut self, from: NodeId, body: Body) {
        match body {
            Body::Append { prior, prior_term, entries, commit, round } => {
                if self.follow(from) {
                    self.on_append(from, Append { prior, prior_term, entries, commit, round });
                }
            }
            Body::SnapshotPart { head, offset, part, total } => {
                if self.follow(from) {
                    self.on_part(from, ReceivedPart { head, offset, data: part, total });
                }
            }
            Body::Vote { index, term, .. } => self.on_vote(from, LogEnd { index, term }),
            Body::VoteReply { granted } => self.on_vote_reply(from, granted),
            Body::PreVoteReply { granted } => self.on_pre_vote_reply(from, granted),
            Body::AppendReply { accepted, index, round } => {
                self.on_append_reply(from, accepted, index, round);
            }
            Body::SnapshotReply { index, offset } => self.on_snapshot_reply(from, index, offset),
            Body::TransferNow => self.on_transfer_now(),
            Body::PreVote { .. } => {}
        }
    }

    /// Records `from` as the leader of the current term, after a message that only a leader sends.
    /// Returns whether to handle the message; false if this node leads the same term.
    fn follow(&mut self, from: NodeId) -> bool {
        if self.role == Role::Leader {
            log::error!(
                "node {} ignores a message from node {from}: both lead term {}",
                self.config.id,
                self.term
            );
            return false;
        }
        if matches!(self.role, Role::Candidate | Role::PreCandidate) {
            self.become_follower(self.term, Some(from));
        }
        self.leader = Some(from);
        self.elapsed = 0;
        self.timeout_extension = 0;
        true
    }
}
