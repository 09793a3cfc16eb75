//! Distributes shares to this member's sessions and to the other members while this member leads.

use std::collections::BTreeMap;
use std::time::Instant;

use types::{Term, VmName};
use wire::session::UsageReport;

use crate::member::Member;
use crate::protocol::MemberMessage;
use crate::shares::{ShareTable, SharesByEntry};

/// The shares, and a record of what each other member was sent.
#[derive(Debug, Default)]
pub(crate) struct ShareDistributor {
    table: ShareTable,
    term: Term,
    /// The connection on which each member received all shares and then every change.
    synced_connections: BTreeMap<VmName, u64>,
}

impl ShareDistributor {
    /// Adds an entry's usage report.
    pub(crate) fn report(&mut self, vm: &VmName, report: &UsageReport) {
        self.table.report(vm, report);
    }

    /// Updates the shares and distributes the changed ones.
    pub(crate) fn run(&mut self, member: &Member) {
        let (now, term) = (Instant::now(), member.core.view().term);
        let is_new_term = term != self.term;
        if is_new_term {
            self.term = term;
            self.table.reset();
            self.synced_connections.clear();
        }
        for entry in member.entries() {
            if entry.draining {
                self.table.remove(&entry.vm);
            } else {
                self.table.mark_seen(&entry.vm, &entry.site, now);
            }
        }
        let services = member.services.all();
        let changed = self.table.allocate(now, |site| services.get(site).map(|it| &it.customers));
        self.send_to_members(member, &changed);
        if is_new_term || !changed.is_empty() {
            member.sessions.shares.update(term, is_new_term, changed.into_iter().collect());
        }
    }

    /// Sends the shares to the other members.
    ///
    /// A change is lost when a connection fails or its queue is full, and no later message repeats
    /// it. A member that missed a change, or has a new connection, is sent all shares.
    fn send_to_members(&mut self, member: &Member, changed: &SharesByEntry) {
        for (vm, connection) in member.peers.connections() {
            let is_full = self.synced_connections.get(&vm) != Some(&connection);
            if !is_full && changed.is_empty() {
                continue;
            }
            let shares = if is_full { self.table.all() } else { changed.clone() };
            let shares = shares.into_iter().collect();
            let message = MemberMessage::Shares { term: self.term, is_full, shares };
            if member.peers.send(&vm, &message) {
                self.synced_connections.insert(vm, connection);
            } else {
                self.synced_connections.remove(&vm);
            }
        }
    }
}
