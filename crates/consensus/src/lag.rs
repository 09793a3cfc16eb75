//! Transfers leadership away from a leader whose own disk falls behind the commit index.

use types::LogIndex;

use crate::node::Node;

/// A commit index of the past that this node's disk has not reached.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DiskLag {
    /// The commit index at that time.
    index: LogIndex,
    /// The ticks since that time.
    ticks: u32,
}

impl Node {
    /// Transfers leadership when this node's disk has lacked, for too long, entries that a quorum
    /// of other voters holds.
    ///
    /// Until then the other voters commit the log without this disk, so no caller waits for it; but
    /// this copy does not count if another voter fails. When all disks are equally slow, no entry
    /// is committed long before it is on this disk, so the leader stays.
    pub(crate) fn tick_lag(&mut self) {
        if self.log.synced() >= self.lag.index {
            self.lag = DiskLag { index: self.commit, ticks: 0 };
            return;
        }
        self.lag.ticks += 1;
        if self.lag.ticks < self.config.lag_ticks || self.transfer.is_some() {
            return;
        }
        log::warn!(
            "node {} transfers its leadership: its disk lacks committed entries",
            self.config.id
        );
        self.lag.ticks = 0;
        // Only a leader gets here, so the call is not refused.
        let _ = self.transfer(None);
    }
}
