//! Has a quorum confirm that the plan in the view is the newest acknowledged one.
//!
//! A member applies a change some ms after the leader; until then it knows of no later commit and
//! believes that it is up to date. If it reported its plan as current on that basis alone, an entry
//! that starts after version 2 was acknowledged would serve version 1. So a member asks the leader,
//! which answers with a log index that a quorum confirmed after the question. The member reports its
//! plan as current once it has applied that index.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;
use types::{LogIndex, NodeId, Term};

use super::Driver;
use super::answers::Reader;
use crate::message::PeerMessage;

/// The pause before the same leader is asked again: many times a quorum's round trip between failure
/// domains (some 3 ms), and a fraction of the time that an election takes (700 ms and more).
const RESEND_PAUSE: Duration = Duration::from_millis(200);

/// How often that pause is doubled at most, to 3.2 s. A leader that does not answer for longer than an
/// election takes runs a release that doesn't know the question, and closes the connection each time.
const MAX_DOUBLINGS: u32 = 4;

/// A leader and its term.
type LeaderTerm = (NodeId, Term);

/// A question to the leader that is not answered yet.
#[derive(Clone, Copy, Debug)]
struct Question {
    leader: LeaderTerm,
    at: Instant,
    /// How often it was resent.
    resends: u32,
}

/// The connections that wait for a confirmation; they share one question to the leader.
#[derive(Debug)]
pub(super) struct Confirmations {
    /// The number of the last question. The first is random, so that an answer to an earlier
    /// incarnation of this process is not taken for an answer to this one.
    ticket: u64,
    /// The question to the leader that is in flight.
    question: Option<Question>,
    /// The connections that its answer is for.
    in_flight: Vec<oneshot::Sender<()>>,
    /// Connections that came after it was sent: its answer may predate them.
    waiting: Vec<oneshot::Sender<()>>,
    /// Connections to answer once the log index is applied.
    confirmed: Vec<(LogIndex, oneshot::Sender<()>)>,
}

impl Confirmations {
    pub(super) fn new() -> Self {
        Self {
            ticket: rand::random(),
            question: None,
            in_flight: Vec::new(),
            waiting: Vec::new(),
            confirmed: Vec::new(),
        }
    }

    pub(super) fn add(&mut self, reply: oneshot::Sender<()>) {
        self.waiting.push(reply);
    }

    /// Returns whether no connection waits for the leader's answer.
    fn is_idle(&self) -> bool {
        self.question.is_none() && self.waiting.is_empty()
    }

    /// Returns the ticket of the question to send now, if any. A question without an answer is resent
    /// with the same ticket, so that a late answer counts; after a change of the leader at once.
    fn next_question(&mut self, now: Instant, leader: LeaderTerm) -> Option<u64> {
        let mut resends = 0;
        if let Some(question) = self.question {
            if question.leader == leader {
                let pause = RESEND_PAUSE * 2_u32.pow(question.resends.min(MAX_DOUBLINGS));
                if now.duration_since(question.at) < pause {
                    return None;
                }
                resends = question.resends + 1;
            }
        } else {
            self.waiting.retain(|it| !it.is_closed());
            if self.waiting.is_empty() {
                return None;
            }
            self.in_flight = std::mem::take(&mut self.waiting);
            self.ticket = self.ticket.wrapping_add(1);
        }
        self.question = Some(Question { leader, at: now, resends });
        Some(self.ticket)
    }

    /// Records the leader's answer.
    pub(super) fn record_answer(&mut self, ticket: u64, index: LogIndex) {
        if ticket == self.ticket && self.question.take().is_some() {
            self.confirmed.extend(self.in_flight.drain(..).map(|it| (index, it)));
        }
    }

    /// Answers the connections whose log index is applied.
    pub(super) fn answer_applied(&mut self, applied: LogIndex) {
        for (_, reply) in self.confirmed.extract_if(.., |(index, _)| *index <= applied) {
            // The entry may have disconnected.
            let _ = reply.send(());
        }
    }
}

impl Driver {
    /// Asks the leader for the confirmation that connections wait for.
    pub(super) fn ask_leader(&mut self, now: Instant) {
        if self.confirmations.is_idle() {
            return;
        }
        let status = self.node.status();
        let Some(leader) = status.leader else { return };
        let Some(address) = self.address(leader) else { return };
        let Some(ticket) = self.confirmations.next_question(now, (leader, status.term)) else {
            return;
        };
        let from = self.config.address;
        if leader == self.id {
            self.read_for(ticket, from);
        } else {
            self.peers.send(address, PeerMessage::Confirm { ticket, from });
        }
    }

    /// Starts a read for a member. If this member does not lead, the other one asks again.
    pub(super) fn read_for(&mut self, ticket: u64, at: SocketAddr) {
        self.next_read += 1;
        if self.node.read(self.next_read).is_ok() {
            self.pending_reads.insert(self.next_read, Reader::Member { ticket, at });
        }
    }

    /// Sends the confirmed log index to a member.
    pub(super) fn send_confirmation(&mut self, ticket: u64, at: SocketAddr, index: LogIndex) {
        if at == self.config.address {
            self.confirmations.record_answer(ticket, index);
        } else {
            self.peers.send(at, PeerMessage::Confirmed { ticket, index });
        }
    }
}

#[cfg(test)]
mod tests;
