//! The invariants that must hold at every step.

use std::collections::BTreeMap;

use consensus::{Entry, Node, Payload, Role};
use types::{LogIndex, NodeId, Term};

use super::host::{Disk, Host};

/// A committed entry, and the lowest term of a node when it applied the entry.
struct Committed {
    entry: Entry,
    first_term: Term,
}

#[derive(Default)]
pub(crate) struct Checks {
    leaders: BTreeMap<Term, NodeId>,
    committed: BTreeMap<LogIndex, Committed>,
    /// Every entry that was ever on a disk, with the term of the entry before it. If each (index,
    /// term) has one payload and one predecessor, logs that agree in one entry agree in all entries
    /// before it.
    written: BTreeMap<(LogIndex, Term), (Term, Payload)>,
}

impl Checks {
    pub(crate) fn terms(&self) -> usize {
        self.leaders.len()
    }

    pub(crate) fn commits(&self) -> usize {
        self.committed.len()
    }

    /// Checks state machine safety: all members apply the same entry at an index.
    pub(crate) fn check_applied(&mut self, node: &Node, entry: &Entry) {
        let first_term = node.status().term;
        let slot = self.committed.entry(entry.index);
        let slot = slot.or_insert_with(|| Committed { entry: entry.clone(), first_term });
        slot.first_term = slot.first_term.min(first_term);
        assert_eq!(&slot.entry, entry, "two entries committed at {}", entry.index);
    }

    /// Checks log matching for everything that reached a disk.
    pub(crate) fn check_log(&mut self, disk: &Disk) {
        let (_, mut prior) = disk.base();
        for entry in &disk.entries {
            let position = (entry.index, entry.term);
            let seen = self.written.entry(position).or_insert((prior, entry.payload.clone()));
            assert_eq!(seen.1, entry.payload, "two entries at {position:?}");
            assert_eq!(seen.0, prior, "logs differ before {position:?}");
            prior = entry.term;
        }
    }

    /// Checks election safety, leader completeness, and that a quorum has committed entries on
    /// disk.
    pub(crate) fn check_leader(
        &mut self,
        hosts: &BTreeMap<NodeId, Host>,
        id: NodeId,
        before: LogIndex,
    ) {
        let host = &hosts[&id];
        let Some(node) = &host.node else { return };
        let status = node.status();
        if status.role != Role::Leader {
            return;
        }
        let fresh = !self.leaders.contains_key(&status.term);
        let leader = *self.leaders.entry(status.term).or_insert(id);
        assert_eq!(leader, id, "two leaders in term {}", status.term);
        if fresh {
            self.check_complete(host, status.term);
        }
        if status.commit > before {
            check_durable(hosts, node, status.commit);
        }
    }

    /// Checks that a new leader holds every entry that was committed in an earlier term.
    fn check_complete(&self, host: &Host, term: Term) {
        let mut log = host.disk.clone();
        if let Some(ready) = &host.pending {
            log.write(ready, None);
        }
        let earlier = self.committed.values().filter(|committed| committed.first_term < term);
        for Committed { entry, .. } in earlier {
            let held = log.holds(entry.index, entry.term);
            assert!(held, "leader of term {term} lacks committed {}", entry.index);
        }
    }
}

/// Checks that a majority of the voters has the entry at `commit` on disk.
fn check_durable(hosts: &BTreeMap<NodeId, Host>, node: &Node, commit: LogIndex) {
    let Some(term) = node.term_at(commit) else { return };
    let membership = node.membership();
    let holders = membership.voters.keys().filter(|id| hosts[id].disk.holds(commit, term)).count();
    let quorum = membership.voters.len() / 2 + 1;
    assert!(holders >= quorum, "{commit} committed on {holders} disks, quorum {quorum}");
}
