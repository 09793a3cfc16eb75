//! Sending and receiving snapshots in parts.

use std::sync::Arc;

use types::{LogIndex, NodeId};

use crate::message::{Body, Snapshot};
use crate::node::Node;
use crate::progress::{Mode, SnapshotTransmission};

/// A snapshot of which some parts have arrived. It is continued only with parts from the node that
/// began it: two nodes may encode the same state differently, and mixed parts would install a
/// corrupt state.
#[derive(Clone, Debug)]
pub(crate) struct PartialSnapshot {
    from: NodeId,
    total: u64,
    snapshot: Snapshot,
}

impl PartialSnapshot {
    fn is_part_of(&self, from: NodeId, head: &Snapshot, total: u64) -> bool {
        let same = (self.snapshot.index, self.snapshot.term) == (head.index, head.term);
        same && self.from == from && self.total == total
    }

    fn len(&self) -> u64 {
        self.snapshot.data.len() as u64
    }
}

/// The contents of a `SnapshotPart` message.
pub(crate) struct ReceivedPart {
    pub(crate) head: Snapshot,
    pub(crate) offset: u64,
    pub(crate) data: Vec<u8>,
    pub(crate) total: u64,
}

impl Node {
    /// Starts to send the newest snapshot to a peer.
    pub(crate) fn start_snapshot(&mut self, to: NodeId) {
        let Some(snapshot) = self.log.snapshot().map(Arc::clone) else { return };
        let Some(peer) = self.peers.get_mut(&to) else { return };
        peer.mode = Mode::Snapshot(SnapshotTransmission { snapshot, offset: 0 });
        self.send_part(to);
    }

    /// Sends the part at the peer's current offset.
    pub(crate) fn send_part(&mut self, to: NodeId) {
        let Some(peer) = self.peers.get(&to) else { return };
        let Mode::Snapshot(sending) = &peer.mode else { return };
        let snapshot = &sending.snapshot;
        let size = self.config.part_bytes.max(1);
        let start = snapshot.data.len().min(sending.offset as usize);
        let end = snapshot.data.len().min(start + size);
        let body = Body::SnapshotPart {
            head: Snapshot {
                index: snapshot.index,
                term: snapshot.term,
                membership: snapshot.membership.clone(),
                data: Vec::new(),
            },
            offset: start as u64,
            part: snapshot.data[start..end].to_vec(),
            total: snapshot.data.len() as u64,
        };
        self.send_as_leader(to, body);
    }

    /// Handles the reply to a part. A part that was lost is sent again with the next heartbeat.
    pub(crate) fn on_snapshot_reply(&mut self, from: NodeId, index: LogIndex, offset: u64) {
        let Some(peer) = self.peers.get_mut(&from) else { return };
        peer.replied = true;
        let Mode::Snapshot(sending) = &mut peer.mode else { return };
        if sending.snapshot.index != index {
            return;
        }
        if offset >= sending.snapshot.data.len() as u64 {
            peer.finish_snapshot(index);
            self.advance_commit();
            return;
        }
        if offset != sending.offset {
            sending.offset = offset;
            self.send_part(from);
        }
    }

    /// Handles a part from the leader.
    pub(crate) fn on_part(&mut self, from: NodeId, part: ReceivedPart) {
        let index = part.head.index;
        let offset = self.receive_part(from, part);
        self.send(from, Body::SnapshotReply { index, offset });
    }

    /// Stores a part and returns the offset of the next one.
    fn receive_part(&mut self, from: NodeId, part: ReceivedPart) -> u64 {
        if self.log.matches(part.head.index, part.head.term) {
            self.commit_to(part.head.index);
        }
        if part.head.index <= self.commit {
            return part.total;
        }
        let known = self.partial.take();
        let mut partial = known
            .filter(|known| known.is_part_of(from, &part.head, part.total))
            .unwrap_or(PartialSnapshot { from, total: part.total, snapshot: part.head });
        let fits = partial.len() + part.data.len() as u64 <= part.total;
        if part.offset == partial.len() && fits {
            partial.snapshot.data.extend_from_slice(&part.data);
        }
        let offset = partial.len();
        if offset == part.total {
            self.install(partial.snapshot);
        } else {
            self.partial = Some(partial);
        }
        offset
    }

    fn install(&mut self, snapshot: Snapshot) {
        log::info!(
            "node {} installs the leader's snapshot at index {}",
            self.config.id,
            snapshot.index
        );
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.log.reset(Arc::new(snapshot.clone()));
        self.new_snapshot = Some(snapshot);
        self.membership_changed();
    }
}
