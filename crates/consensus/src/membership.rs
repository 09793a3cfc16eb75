//! Quorums, and the rules for changes of the membership.

use types::{LogIndex, NodeId};

use crate::config::{ChangeError, Position};
use crate::message::{Membership, Payload, Role};
use crate::node::Node;

impl Membership {
    /// Returns whether the node is a voter.
    pub fn is_voter(&self, id: NodeId) -> bool {
        self.voters.contains_key(&id)
    }

    /// Returns whether the node is a voter or a learner.
    pub fn contains(&self, id: NodeId) -> bool {
        self.is_voter(id) || self.learners.contains_key(&id)
    }

    /// Returns the number of voters in a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns all nodes, voters first.
    pub fn nodes(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.voters.keys().chain(self.learners.keys()).copied()
    }

    /// Returns the highest value that a majority of the voters has reached; zero if there are no
    /// voters.
    pub(crate) fn quorum_value(&self, value: impl Fn(NodeId) -> u64) -> u64 {
        let mut values: Vec<u64> = self.voters.keys().map(|&id| value(id)).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied().unwrap_or(0)
    }

    /// Returns whether a majority of the voters satisfies `test`.
    pub(crate) fn has_quorum(&self, test: impl Fn(NodeId) -> bool) -> bool {
        self.voters.keys().filter(|&&id| test(id)).count() >= self.quorum()
    }

    /// Returns the size of the ids and addresses, in bytes.
    pub(crate) fn size_bytes(&self) -> usize {
        let addresses = self.voters.values().chain(self.learners.values());
        addresses.map(|address| address.len() + size_of::<NodeId>()).sum()
    }

    /// Returns the voter that `next` adds, if any, or the reason why `next` must not follow.
    fn check_next(&self, next: &Membership) -> Result<Option<NodeId>, &'static str> {
        if next.voters.is_empty() {
            return Err("a membership needs a voter");
        }
        if next.learners.keys().any(|&id| next.is_voter(id)) {
            return Err("a node is either a voter or a learner");
        }
        let mut added = next.voters.keys().filter(|&&id| !self.is_voter(id));
        let removed = self.voters.keys().filter(|&&id| !next.is_voter(id)).count();
        let first = added.next().copied();
        // Majorities of two memberships that differ by one voter always share a node. With a
        // difference of two they may not, and two leaders could commit different entries at one
        // index.
        if usize::from(first.is_some()) + added.count() + removed > 1 {
            return Err("a change may add or remove one voter only");
        }
        Ok(first)
    }
}

impl Node {
    /// Returns the newest membership in the log. It is in force, whether committed or not.
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Proposes a membership that differs from the current one by at most one voter. A new voter
    /// must be a learner that holds all committed entries, so that counting it costs no
    /// availability.
    ///
    /// # Errors
    ///
    /// Refuses on a node that does not lead, while the previous change is not committed, before an
    /// entry of the leader's own term is committed, and for a membership that must not follow the
    /// current one.
    pub fn change(&mut self, membership: Membership) -> Result<Position, ChangeError> {
        self.check_leading().map_err(ChangeError::NotLeader)?;
        if self.log.membership_index() > self.commit {
            return Err(ChangeError::InProgress);
        }
        // Without this check, a leader could change a membership while another change by an older
        // leader is not committed. The two memberships would differ by two voters, and both could
        // find a majority. This is the known error of single-server changes as first published.
        if !self.has_committed_in_term() {
            return Err(ChangeError::NotReady);
        }
        let added = self.membership().check_next(&membership).map_err(ChangeError::Invalid)?;
        if added.is_some_and(|id| !self.holds_log(id)) {
            return Err(ChangeError::NotReady);
        }
        let position = self.append(Payload::Membership(membership));
        self.membership_changed();
        Ok(position)
    }

    fn holds_log(&self, id: NodeId) -> bool {
        id == self.config.id || self.peers.get(&id).is_some_and(|peer| peer.matched >= self.commit)
    }

    /// Updates the role and the peers to the newest membership.
    pub(crate) fn membership_changed(&mut self) {
        if self.role == Role::Leader {
            self.update_peers();
            self.advance_commit();
            return;
        }
        let is_voter = self.membership().is_voter(self.config.id);
        match self.role {
            Role::Learner if is_voter => self.role = Role::Follower,
            Role::Learner => {}
            _ if !is_voter => self.role = Role::Learner,
            _ => {}
        }
    }

    /// Steps down once a membership is committed in which this node is not a voter.
    pub(crate) fn step_down_if_removed(&mut self) {
        let removed = !self.membership().is_voter(self.config.id);
        if !removed || self.log.membership_index() > self.commit {
            return;
        }
        // Sends the commit index to the others and lets the best of them campaign at once.
        // Otherwise they would start an election only after a timeout.
        self.broadcast();
        if let Some(target) = self.best_target() {
            self.send_transfer_now(target);
        }
        self.become_follower(self.term, None);
    }

    /// Returns whether this node leads and an entry of its own term is committed.
    pub(crate) fn has_committed_in_term(&self) -> bool {
        self.role == Role::Leader && self.log.term(self.commit) == Some(self.term)
    }

    /// Returns the highest index up to which a majority of the voters has the log on disk.
    pub(crate) fn quorum_index(&self) -> LogIndex {
        let own = self.log.synced();
        LogIndex(self.membership().quorum_value(|id| match self.peers.get(&id) {
            Some(peer) => peer.matched.0,
            None if id == self.config.id => own.0,
            None => 0,
        }))
    }
}
