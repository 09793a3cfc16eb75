//! Opens the data folder and restores the consensus node and the state machine from it.

use std::path::Path;
use std::time::Duration;

use consensus::{Config, Membership, Node, Snapshot};
use disk::Store;
use types::{LogIndex, NodeId, StepError, StepResult, Term, VmName};

use crate::address::Address;
use crate::identity::{Identity, random_node_id};
use crate::state_machine::StateMachine;

/// The duration of one tick of the consensus node.
pub(crate) const TICK_DURATION: Duration = Duration::from_millis(50);

/// The shortest election timeout, in ticks. It is far longer than a usual sync, and short enough
/// that the cluster recovers from the loss of a leader within two seconds.
const ELECTION_TICKS: u32 = 14;

/// The heartbeat interval, in ticks.
const HEARTBEAT_TICKS: u32 = 2;

/// The time, in ticks, after which a leader transfers leadership if its disk lacks entries that the
/// other members have stored.
const LAG_TICKS: u32 = 100;

/// The time, in ticks, after which a member whose disk does not respond counts as silent.
const STALL_TICKS: u32 = 200;

/// The maximum duration of a leadership transfer while the target responds, in ticks. The target's
/// disk may have to write the entries in flight and then its vote.
const TRANSFER_TICKS: u32 = 300;

/// The maximum number of entries in one message.
const MAX_ENTRIES_PER_MESSAGE: usize = 1024;

/// The maximum size of the entries in one message, in bytes.
const MAX_BYTES_PER_MESSAGE: usize = 1 << 20;

/// The size of one part of a snapshot, in bytes.
const SNAPSHOT_PART_BYTES: usize = 256 << 10;

/// The contents of an opened data folder.
pub(crate) struct Opened {
    pub(crate) store: Store,
    pub(crate) identity: Option<Identity>,
    pub(crate) id: NodeId,
    pub(crate) node: Node,
    pub(crate) machine: StateMachine,
    pub(crate) applied: LogIndex,
}

/// Opens the data folder and restores what it holds.
///
/// # Errors
/// Returns an error if the folder is damaged, is locked, belongs to another VM, or has lost its
/// log.
pub(crate) fn open(folder: &Path, vm: &VmName) -> StepResult<Opened> {
    let path = folder.display();
    let (store, recovered) =
        Store::open(folder).map_err(|e| StepError::new("open data folder", e).at(&path))?;
    let identity = recovered.identity.as_deref().map(|it| Identity::decode(it, vm)).transpose()?;
    let restored = replica::restore(&recovered)?;
    let empty = restored.snapshot.is_none() && restored.entries.is_empty();
    if empty && identity.as_ref().is_some_and(|it| it.founder) {
        // Starting without the log would create a second cluster with the same id.
        let reason = "the folder that started the cluster holds no log: init was cut short, or the \
                   log is lost; empty the folder and start again";
        return Err(StepError::new("open data folder", reason).at(&path));
    }
    let id = identity.as_ref().map_or_else(random_node_id, |it| it.node);
    let machine = match &restored.snapshot {
        Some(snapshot) => StateMachine::restore(snapshot)?,
        None => StateMachine::default(),
    };
    let applied = restored.snapshot.as_ref().map_or(LogIndex(0), |it| it.index);
    let node = Node::new(config(id), restored);
    Ok(Opened { store, identity, id, node, machine, applied })
}

/// Returns the configuration of a consensus node.
pub(crate) fn config(id: NodeId) -> Config {
    Config {
        id,
        election_ticks: ELECTION_TICKS,
        first_ticks: ELECTION_TICKS,
        heartbeat_ticks: HEARTBEAT_TICKS,
        lag_ticks: LAG_TICKS,
        stall_ticks: STALL_TICKS,
        transfer_ticks: TRANSFER_TICKS,
        max_entries: MAX_ENTRIES_PER_MESSAGE,
        max_bytes: MAX_BYTES_PER_MESSAGE,
        part_bytes: SNAPSHOT_PART_BYTES,
        seed: rand::random(),
    }
}

/// Returns the initial snapshot of a cluster whose only voter is `id`.
pub(crate) fn initial_snapshot(id: NodeId, vm: &VmName) -> Snapshot {
    let voters = [(id, Address::encode(vm))].into();
    let membership = Membership { voters, ..Membership::default() };
    Snapshot { index: LogIndex(1), term: Term(1), membership, data: Vec::new() }
}

#[cfg(test)]
mod tests;
