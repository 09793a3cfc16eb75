//! The data folder as consensus sees it: records are log entries, and what was recovered becomes
//! a node and an image.

use std::path::Path;
use std::time::Duration;

use consensus::{Config, Membership, Node, Snapshot};
use disk::Store;
use types::{LogIndex, NodeId, StepError, StepResult, Term, VmName};

use crate::address::Address;
use crate::identity::{Identity, draw_node};
use crate::image::Image;

/// The length of one tick of the consensus node.
pub(crate) const TICK: Duration = Duration::from_millis(50);

/// The shortest election timeout, in ticks: far above a usual sync, and short enough that a
/// leader's death is over within two seconds.
const ELECTION_TICKS: u32 = 14;

/// The time between heartbeats, in ticks.
const HEARTBEAT_TICKS: u32 = 2;

/// After how long a leader hands over whose disk lacks what others hold, in ticks.
const LAG_TICKS: u32 = 100;

/// After how long a member counts as silent whose disk does not answer, in ticks.
const STALL_TICKS: u32 = 200;

/// How long a handover may take while the heir answers, in ticks: the heir's disk may have to write
/// what is on the way to it, and its vote.
const TRANSFER_TICKS: u32 = 300;

/// The most entries in one message.
const MAX_ENTRIES: usize = 1024;

/// The most bytes of entries in one message.
const MAX_BYTES: usize = 1 << 20;

/// The size of one part of a snapshot, in bytes.
const SNAPSHOT_PART: usize = 256 << 10;

/// What an opened folder gives.
pub(crate) struct Opened {
    pub(crate) store: Store,
    pub(crate) identity: Option<Identity>,
    pub(crate) id: NodeId,
    pub(crate) node: Node,
    pub(crate) image: Image,
    pub(crate) applied: LogIndex,
}

/// Opens the data folder and restores what it holds.
///
/// # Errors
/// Where the folder is damaged, locked, another VM's, or lost its log.
pub(crate) fn open(folder: &Path, vm: &VmName) -> StepResult<Opened> {
    let peer = folder.display();
    let (store, found) =
        Store::open(folder).map_err(|e| StepError::new("open data folder", e).at(&peer))?;
    let identity = found.identity.as_deref().map(|it| Identity::decode(it, vm)).transpose()?;
    let restored = replica::restore(&found)?;
    let empty = restored.snapshot.is_none() && restored.entries.is_empty();
    if empty && identity.as_ref().is_some_and(|it| it.founder) {
        // What goes wrong: starting over here would make a second cluster under the same name.
        let why = "the folder that started the cluster holds no log: init was cut short, or the \
                   log is lost; empty the folder and start again";
        return Err(StepError::new("open data folder", why).at(&peer));
    }
    let id = identity.as_ref().map_or_else(draw_node, |it| it.node);
    let image = match &restored.snapshot {
        Some(snapshot) => Image::restore(snapshot)?,
        None => Image::default(),
    };
    let applied = restored.snapshot.as_ref().map_or(LogIndex(0), |it| it.index);
    let node = Node::new(config(id), restored);
    Ok(Opened { store, identity, id, node, image, applied })
}

/// Returns the parameters of a node.
pub(crate) fn config(id: NodeId) -> Config {
    Config {
        id,
        election_ticks: ELECTION_TICKS,
        first_ticks: ELECTION_TICKS,
        heartbeat_ticks: HEARTBEAT_TICKS,
        lag_ticks: LAG_TICKS,
        stall_ticks: STALL_TICKS,
        transfer_ticks: TRANSFER_TICKS,
        max_entries: MAX_ENTRIES,
        max_bytes: MAX_BYTES,
        part_bytes: SNAPSHOT_PART,
        seed: rand::random(),
    }
}

/// Returns the beginning of a cluster whose only voter is `id`.
pub(crate) fn beginning(id: NodeId, vm: &VmName) -> Snapshot {
    let voters = [(id, Address::encode(vm))].into();
    let membership = Membership { voters, ..Membership::default() };
    Snapshot { index: LogIndex(1), term: Term(1), membership, data: Vec::new() }
}

#[cfg(test)]
mod tests;
