//! What a member shows of itself to its other parts.

use std::net::SocketAddr;
use std::sync::Arc;

use consensus::Role;

use super::Driver;
use crate::current::CurrentView;
use crate::plan::Held;
use crate::repair::address_of;

/// What the rest of the member sees.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    pub(crate) term: u64,
    pub(crate) role: Role,
    pub(crate) settled: bool,
    pub(crate) leader: Option<SocketAddr>,
    /// Whether the held plan is the newest acknowledged one, as far as this member knows; see
    /// [`CurrentView`].
    pub(crate) current: bool,
    pub(crate) held: Arc<Held>,
    pub(crate) members: Vec<SocketAddr>,
}

impl View {
    pub(crate) fn leads(&self) -> bool {
        self.role == Role::Leader && self.settled
    }
}

impl Driver {
    /// Shows what has changed.
    pub(super) fn publish(&mut self) {
        let status = self.node.status();
        let leader = status.leader.filter(|_| !self.resigned);
        let leader = leader.and_then(|it| self.address(it));
        let role = status.role;
        let settled = status.term_committed && !status.transferring;
        let current = CurrentView {
            term: status.term,
            led: leader.is_some(),
            member: self.node.membership().contains(self.id),
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
                && view.held.version == self.held.version
                && view.members == members;
            if same {
                return false;
            }
            if view.role != role || view.leader != leader {
                log::info!(term, role:? = role, leader:? = leader; "the leadership changed");
            }
            *view = View {
                term,
                role,
                settled,
                leader,
                current,
                held: Arc::clone(&self.held),
                members,
            };
            true
        });
    }
}
