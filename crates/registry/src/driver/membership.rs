//! Repairs the membership on the leader, and asks to join on other nodes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use consensus::Role;
use types::NodeId;

use super::Driver;
use crate::message::PeerMessage;
use crate::repair::{PeerView, RepairView, address_of, next_membership};

/// How long a request to join is valid.
const JOIN_VALIDITY: Duration = Duration::from_millis(1_200);

/// How long a voter may be without a leader before it asks to join: a leader may have removed it
/// from the membership.
const LEADERLESS_TIMEOUT: Duration = Duration::from_millis(1_500);

impl Driver {
    pub(super) fn handle_join(&mut self, node: NodeId, address: SocketAddr, relayed: bool) {
        let status = self.node.status();
        if status.role == Role::Leader {
            self.joins.insert(address, (node, Instant::now()));
            return;
        }
        let leader = status.leader.and_then(|it| self.address(it));
        if let Some(leader) = leader.filter(|_| !relayed) {
            self.peers.send(leader, PeerMessage::Join { node, address, relayed: true });
        }
    }

    /// As leader, changes the membership where needed; otherwise asks to join if this node is no voter or
    /// hears no leader.
    pub(super) fn repair(&mut self, now: Instant) {
        let status = self.node.status();
        self.joins.retain(|_, (_, at)| now.duration_since(*at) < JOIN_VALIDITY);
        if status.role != Role::Leader {
            if status.leader.is_some() && self.node.membership().is_voter(self.id) {
                self.leader_seen = now;
            }
            let leaderless = now.duration_since(self.leader_seen) >= LEADERLESS_TIMEOUT;
            if leaderless || !self.node.membership().is_voter(self.id) {
                self.ask_to_join();
            }
            return;
        }
        self.leader_seen = now;
        let silent = |id: &NodeId| match self.last_heard.get(id) {
            Some(at) => now.duration_since(*at),
            None => Duration::ZERO,
        };
        let peers = status.peers.iter().map(|(id, peer)| {
            let caught_up = peer.matched >= status.commit && peer.active;
            (*id, PeerView { silent: silent(id), caught_up })
        });
        let peers: BTreeMap<NodeId, PeerView> = peers.collect();
        let joins = self.joins.iter().map(|(address, (id, _))| (*address, *id)).collect();
        let next = next_membership(&RepairView {
            me: self.id,
            membership: self.node.membership(),
            peers: &peers,
            joins: &joins,
            target_voters: 2 * self.config.max_losses + 1,
        });
        // The silence of a peer that was never heard is counted from the first repair as leader.
        for id in status.peers.keys() {
            self.last_heard.entry(*id).or_insert(now);
        }
        let Some(next) = next else { return };
        let (voters, learners) = (next.voters.len(), next.learners.len());
        match self.node.change(next) {
            Ok(position) => log::info!(voters, learners, index:% = position.index;
                "proposed a change of the membership"),
            Err(error) => log::debug!(cause:% = error;
                "the membership can't be changed yet; the next check tries again"),
        }
    }

    fn ask_to_join(&self) {
        let join =
            PeerMessage::Join { node: self.id, address: self.config.address, relayed: false };
        self.peers.send_seeds(&join);
        for bytes in self.node.membership().voters.values() {
            if let Some(address) = address_of(bytes).filter(|it| *it != self.config.address) {
                self.peers.send(address, join.clone());
            }
        }
    }
}
