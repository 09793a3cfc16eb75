//! Who takes part: mends the membership as leader, asks to take part otherwise.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use consensus::Role;
use types::NodeId;

use super::Driver;
use crate::message::PeerMessage;
use crate::repair::{PeerView, RepairView, address_of, next_membership};

/// For how long a request to take part counts.
const JOIN_FRESH: Duration = Duration::from_millis(1_200);

/// For how long a node may be without a leader before it asks to take part: another leader may
/// have removed it.
const LEADERLESS: Duration = Duration::from_millis(1_500);

impl Driver {
    pub(super) fn take_join(&mut self, node: NodeId, address: SocketAddr, relayed: bool) {
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

    /// Mends the membership as leader; asks to take part where no leader is heard.
    pub(super) fn repair(&mut self, now: Instant) {
        let status = self.node.status();
        self.joins.retain(|_, (_, at)| now.duration_since(*at) < JOIN_FRESH);
        if status.role != Role::Leader {
            if status.leader.is_some() && self.node.membership().is_voter(self.id) {
                self.led_since = now;
            }
            let leaderless = now.duration_since(self.led_since) >= LEADERLESS;
            if leaderless || !self.node.membership().is_voter(self.id) {
                self.ask_to_join();
            }
            return;
        }
        self.led_since = now;
        let silent = |id: &NodeId| match self.heard.get(id) {
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
            voters: 2 * self.config.losses + 1,
        });
        // A peer that was never heard counts from the moment this node leads.
        for id in status.peers.keys() {
            self.heard.entry(*id).or_insert(now);
        }
        let Some(next) = next else { return };
        let (voters, learners) = (next.voters.len(), next.learners.len());
        match self.node.change(next) {
            Ok(position) => log::info!(voters, learners, index:% = position.index;
                "proposed a change of the membership"),
            Err(error) => log::debug!(cause:% = error; "the membership can't change yet"),
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
