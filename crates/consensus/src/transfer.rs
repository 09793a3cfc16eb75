//! Transfer of leadership to another voter.

use types::NodeId;

use crate::config::NotLeader;
use crate::message::{Body, Role};
use crate::node::Node;

/// A transfer in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Transfer {
    to: NodeId,
    /// The ticks since it began.
    ticks: u32,
    /// The ticks since the transfer began or the target last replied.
    silent_ticks: u32,
    /// Whether the target was told to campaign; from then on only ticks repeat the message.
    notified: bool,
}

impl Node {
    /// Transfers leadership to `to`; if `to` is `None` and no transfer is in progress, to the most
    /// advanced voter. Proposals are refused until the transfer has succeeded or was given up. The
    /// call has no effect if `to` is not another voter, or if there is no other voter.
    ///
    /// # Errors
    ///
    /// Refuses on a node that does not lead.
    pub fn transfer(&mut self, to: Option<NodeId>) -> Result<(), NotLeader> {
        if self.role != Role::Leader {
            return Err(NotLeader { leader: self.leader });
        }
        let target = match to {
            Some(to) => Some(to).filter(|to| self.is_other_voter(*to)),
            None if self.transfer.is_some() => None,
            None => self.best_target(),
        };
        let Some(to) = target else { return Ok(()) };
        self.transfer = Some(Transfer { to, ticks: 0, silent_ticks: 0, notified: false });
        self.continue_transfer(to);
        Ok(())
    }

    fn is_other_voter(&self, id: NodeId) -> bool {
        id != self.config.id && self.membership().is_voter(id)
    }

    /// Returns the other voter with the longest log on disk, of those that replied recently if
    /// there are any.
    pub(crate) fn best_target(&self) -> Option<NodeId> {
        let voters = self.peers.iter().filter(|(id, _)| self.is_other_voter(**id));
        voters.max_by_key(|(_, peer)| (peer.is_active(), peer.matched)).map(|(id, _)| *id)
    }

    /// Records that the target replied, and tells it to campaign as soon as it holds the whole log.
    pub(crate) fn continue_transfer(&mut self, from: NodeId) {
        let Some(transfer) = self.transfer.as_mut().filter(|it| it.to == from) else { return };
        transfer.silent_ticks = 0;
        // The target replies to each such message, and that reply must not trigger another one.
        if !transfer.notified {
            self.try_transfer_now(from);
        }
    }

    /// Tells the target to campaign if it holds the whole log and all of that is committed.
    fn try_transfer_now(&mut self, to: NodeId) {
        let target = self.peers.get(&to);
        let last = self.log.last();
        if target.is_none_or(|peer| peer.matched < last) || self.commit < last {
            return;
        }
        if let Some(transfer) = &mut self.transfer {
            transfer.notified = true;
        }
        self.send_transfer_now(to);
    }

    /// Sends the commit index before `TransferNow`, so that the target can confirm reads as soon as
    /// it leads.
    pub(crate) fn send_transfer_now(&mut self, to: NodeId) {
        self.send_heartbeat(to);
        self.send_as_leader(to, Body::TransferNow);
    }

    /// Counts a tick, and gives up a transfer that takes too long. Otherwise proposals would be
    /// refused for as long as the target is down or its disk is stalled.
    pub(crate) fn tick_transfer(&mut self) {
        let Some(transfer) = &mut self.transfer else { return };
        transfer.ticks += 1;
        transfer.silent_ticks += 1;
        let Transfer { to, ticks, silent_ticks, .. } = *transfer;
        let late =
            ticks >= self.config.transfer_ticks || silent_ticks >= self.config.election_ticks;
        if late || !self.is_other_voter(to) {
            self.transfer = None;
        } else if ticks.is_multiple_of(self.config.heartbeat_ticks.max(1)) {
            self.try_transfer_now(to);
        }
    }

    /// Starts an election at the leader's request.
    pub(crate) fn on_transfer_now(&mut self) {
        if self.can_campaign() {
            self.campaign(true);
        }
    }
}
