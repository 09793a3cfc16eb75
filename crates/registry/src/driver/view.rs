//! The view of the driver's state that the other parts of a member read.

use std::net::SocketAddr;

use consensus::Role;

use super::Driver;
use crate::current::CurrentView;
use crate::repair::address_of;
use crate::replicated::Replicated;

/// The driver's state, as the rest of the member reads it.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    pub(crate) term: u64,
    pub(crate) role: Role,
    pub(crate) settled: bool,
    pub(crate) leader: Option<SocketAddr>,
    /// Whether the stored plan is the newest acknowledged one, as far as this member knows; see
    /// [`CurrentView`].
    pub(crate) current: bool,
    pub(crate) state: Replicated,
    pub(crate) members: Vec<SocketAddr>,
}

impl View {
    pub(crate) fn leads(&self) -> bool {
        self.role == Role::Leader && self.settled
    }
}

impl Driver {
    /// Publishes the view if it changed.
    pub(super) fn publish(&mut self) {
        let status = self.node.status();
        let leader = status.leader.filter(|_| !self.resigned);
        let leader = leader.and_then(|it| self.address(it));
        let role = status.role;
        let settled = status.term_committed && !status.transferring;
        let current = CurrentView {
            term: status.term,
            has_leader: leader.is_some(),
            is_member: self.node.membership().contains(self.id),
            commit: status.commit,
            commit_term: self.node.term_at(status.commit),
            applied: self.applied,
        };
        let current = current.is_current() && (role != Role::Leader || settled);
        let term = status.term.0;
        let members = self.node.membership().voters.values().filter_map(|it| address_of(it));
        let members: Vec<SocketAddr> = members.collect();
        self.view.send_if_modified(|view| {
            let same = view.term == term
                && view.role == role
                && view.settled == settled
                && view.leader == leader
                && view.current == current
                && view.state.plan.version == self.state.plan.version
                && view.state.evacuations.number() == self.state.evacuations.number()
                && view.state.holds.number() == self.state.holds.number()
                && view.members == members;
            if same {
                return false;
            }
            if view.role != role || view.leader != leader {
                log::info!(term, role:? = role, leader:? = leader; "the leadership changed");
            }
            *view =
                View { term, role, settled, leader, current, state: self.state.clone(), members };
            true
        });
    }
}
