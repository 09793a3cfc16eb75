//! The incarnations of entry processes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use types::{ClaimTicket, Incarnation, VmName};

/// The number of an incarnation, unique over all VMs. Claims name their owner by it.
pub(crate) type IncarnationId = u32;

/// The incarnation that an `Enter` superseded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Superseded {
    pub(crate) owner: Incarnation,
    pub(crate) id: IncarnationId,
}

/// Every incarnation that ever entered. Superseded ones are kept forever, at a few bytes for each
/// start of an entry process: a delayed `Enter` or `Claim` of one must find it lost.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Incarnations {
    vms: BTreeMap<VmName, VmIncarnations>,
    next: IncarnationId,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct VmIncarnations {
    current: Incarnation,
    id: IncarnationId,
    /// Whether the current incarnation was silent for too long. It may come back until it is
    /// superseded.
    lost: bool,
    past: BTreeMap<Incarnation, IncarnationId>,
}

impl Incarnations {
    /// Makes an incarnation the current one of its VM, and returns the one that it supersedes.
    pub(crate) fn enter(&mut self, vm: &VmName, owner: Incarnation) -> Option<Superseded> {
        let id = self.next;
        let Some(it) = self.vms.get_mut(vm) else {
            let fresh = VmIncarnations { current: owner, id, lost: false, past: BTreeMap::new() };
            self.vms.insert(vm.clone(), fresh);
            self.next += 1;
            return None;
        };
        // The `Enter` of a superseded incarnation may be delivered late. Accepting it would declare
        // the running process lost and a dead one alive.
        if it.past.contains_key(&owner) {
            return None;
        }
        if it.current == owner {
            it.lost = false;
            return None;
        }
        let old = Superseded { owner: it.current, id: it.id };
        it.past.insert(old.owner, old.id);
        (it.current, it.id, it.lost) = (owner, id, false);
        self.next += 1;
        Some(old)
    }

    /// Marks an incarnation lost if it is current, and returns its number.
    pub(crate) fn mark_lost(&mut self, vm: &VmName, owner: Incarnation) -> Option<IncarnationId> {
        let it = self.vms.get_mut(vm).filter(|it| it.current == owner)?;
        it.lost = true;
        Some(it.id)
    }

    /// Returns the number of the ticket's incarnation if that may get claims.
    pub(crate) fn find_live(&self, ticket: &ClaimTicket) -> Option<IncarnationId> {
        let it = self.vms.get(&ticket.vm)?;
        (it.current == ticket.owner && !it.lost).then_some(it.id)
    }

    /// Returns the number of the ticket's incarnation, whether current, lost or superseded.
    pub(crate) fn find(&self, ticket: &ClaimTicket) -> Option<IncarnationId> {
        let it = self.vms.get(&ticket.vm)?;
        if it.current == ticket.owner {
            return Some(it.id);
        }
        it.past.get(&ticket.owner).copied()
    }

    /// Lists the incarnations that may get claims.
    pub(crate) fn live(&self) -> impl Iterator<Item = (&VmName, Incarnation)> {
        self.vms.iter().filter(|(_, it)| !it.lost).map(|(vm, it)| (vm, it.current))
    }

    /// Returns the number of incarnations that are kept.
    pub(crate) fn count(&self) -> u64 {
        u64::from(self.next)
    }
}
