//! Has a quorum confirm that the plan shown here is the newest that was acknowledged.
//!
//! A member that applies a change some ms after the leader has heard of no later commit, and takes
//! itself to be up to date. If it vouched for its plan by that alone, an entry that starts after the
//! acknowledgement of version 2 would serve version 1. So a member asks the leader, who answers with
//! a position that a quorum confirmed after the question, and vouches once it has applied that.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;
use types::{LogIndex, NodeId, Term};

use super::Driver;
use super::answers::Reader;
use crate::message::PeerMessage;

/// The pause before the same leader is asked again: many times a quorum's round trip between domains
/// (some 3 ms), and a fraction of the time in which another leader is elected (700 ms and more).
const ASK_AGAIN: Duration = Duration::from_millis(200);

/// How often that pause is doubled at most, to 3.2 s. A leader that does not answer for longer than an
/// election takes is of a release that doesn't know the question: it ends the connection on each one.
const DOUBLINGS: u32 = 4;

/// A leader and its term.
type Led = (NodeId, Term);

/// A question to the leader that has no answer yet.
#[derive(Clone, Copy, Debug)]
struct Asked {
    leader: Led,
    at: Instant,
    /// How often it was sent again.
    again: u32,
}

/// The questions of entries' connections; all that wait share one question to the leader.
#[derive(Debug)]
pub(super) struct Confirms {
    /// The number of the question that was sent last. The first is random: the answer to a question of
    /// an earlier run of this process must not count for one of this run.
    ticket: u64,
    /// Whom it was sent to, while it has no answer.
    asked: Option<Asked>,
    /// Those that its answer is for.
    open: Vec<oneshot::Sender<()>>,
    /// Those that came later: an answer to it may be older than they are.
    waiting: Vec<oneshot::Sender<()>>,
    /// Those that are answered once the position is applied.
    confirmed: Vec<(LogIndex, oneshot::Sender<()>)>,
}

impl Confirms {
    pub(super) fn new() -> Self {
        Self {
            ticket: rand::random(),
            asked: None,
            open: Vec::new(),
            waiting: Vec::new(),
            confirmed: Vec::new(),
        }
    }

    pub(super) fn add(&mut self, reply: oneshot::Sender<()>) {
        self.waiting.push(reply);
    }

    /// Tells whether nobody waits for the leader's answer.
    fn is_idle(&self) -> bool {
        self.asked.is_none() && self.waiting.is_empty()
    }

    /// Returns the ticket of the question to send now. One without an answer is sent again under the
    /// same ticket, so that a late answer counts; to another leader at once.
    fn due(&mut self, now: Instant, leader: Led) -> Option<u64> {
        let mut again = 0;
        if let Some(asked) = self.asked {
            if asked.leader == leader {
                let pause = ASK_AGAIN * 2_u32.pow(asked.again.min(DOUBLINGS));
                if now.duration_since(asked.at) < pause {
                    return None;
                }
                again = asked.again + 1;
            }
        } else {
            self.waiting.retain(|it| !it.is_closed());
            if self.waiting.is_empty() {
                return None;
            }
            self.open = std::mem::take(&mut self.waiting);
            self.ticket = self.ticket.wrapping_add(1);
        }
        self.asked = Some(Asked { leader, at: now, again });
        Some(self.ticket)
    }

    /// Takes the leader's answer.
    pub(super) fn answered(&mut self, ticket: u64, index: LogIndex) {
        if ticket == self.ticket && self.asked.take().is_some() {
            self.confirmed.extend(self.open.drain(..).map(|it| (index, it)));
        }
    }

    /// Answers those whose position is applied.
    pub(super) fn applied(&mut self, applied: LogIndex) {
        for (_, reply) in self.confirmed.extract_if(.., |(index, _)| *index <= applied) {
            // The entry's connection may have ended.
            let _ = reply.send(());
        }
    }
}

impl Driver {
    /// Asks the leader for what entries' connections wait for.
    pub(super) fn ask_leader(&mut self, now: Instant) {
        if self.confirms.is_idle() {
            return;
        }
        let status = self.node.status();
        let Some(leader) = status.leader else { return };
        let Some(address) = self.address(leader) else { return };
        let Some(ticket) = self.confirms.due(now, (leader, status.term)) else { return };
        let from = self.config.address;
        if leader == self.id {
            self.read_for(ticket, from);
        } else {
            self.peers.send(address, PeerMessage::Confirm { ticket, from });
        }
    }

    /// Begins a read for a member. Where this one does not lead, the other asks again.
    pub(super) fn read_for(&mut self, ticket: u64, at: SocketAddr) {
        self.next_read += 1;
        if self.node.read(self.next_read).is_ok() {
            self.reads.insert(self.next_read, Reader::Member { ticket, at });
        }
    }

    /// Answers a member.
    pub(super) fn confirm_to(&mut self, ticket: u64, at: SocketAddr, index: LogIndex) {
        if at == self.config.address {
            self.confirms.answered(ticket, index);
        } else {
            self.peers.send(at, PeerMessage::Confirmed { ticket, index });
        }
    }
}

#[cfg(test)]
mod tests;
