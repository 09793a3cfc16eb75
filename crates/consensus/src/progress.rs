//! The leader's view of one peer.

use std::collections::VecDeque;
use std::sync::Arc;

use types::LogIndex;

use crate::message::Snapshot;
use crate::status::PeerStatus;

/// The maximum number of `Append` messages in flight to one peer.
const MAX_IN_FLIGHT: usize = 32;

/// A snapshot in flight to a peer. It is kept until the peer has received all of it, even if a
/// newer one exists: with a switch to the newer one, a slow peer might start over forever.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotTransmission {
    pub(crate) snapshot: Arc<Snapshot>,
    pub(crate) offset: u64,
}

/// The way in which a peer receives the log.
#[derive(Clone, Debug)]
pub(crate) enum Mode {
    /// The matching index is unknown, so one `Append` is sent at a time.
    Probe {
        /// Whether the reply to that `Append` is still missing.
        waiting: bool,
    },
    /// Several `Append`s may be in flight. Holds the last index of each.
    Stream(VecDeque<LogIndex>),
    /// The peer needs entries that were compacted, so it receives a snapshot.
    Snapshot(SnapshotTransmission),
}

/// The replication progress of a peer.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// The highest index known to be on the peer's disk.
    pub(crate) matched: LogIndex,
    /// The index of the next entry to send.
    pub(crate) next: LogIndex,
    /// The highest commit index sent.
    pub(crate) sent_commit: LogIndex,
    /// The number of the latest read round that the peer answered.
    pub(crate) round: u64,
    /// Whether the peer replied since the last quorum check.
    pub(crate) replied: bool,
    /// Whether the peer replied in the period before the last quorum check.
    pub(crate) replied_before: bool,
    pub(crate) mode: Mode,
}

impl Progress {
    pub(crate) fn new(next: LogIndex) -> Self {
        Self {
            matched: LogIndex(0),
            next,
            sent_commit: LogIndex(0),
            round: 0,
            replied: false,
            replied_before: false,
            mode: Mode::Probe { waiting: false },
        }
    }

    /// Returns whether the peer replied in the current or the previous quorum check period.
    pub(crate) fn is_active(&self) -> bool {
        self.replied || self.replied_before
    }

    /// Returns whether another `Append` with entries may be sent.
    pub(crate) fn has_room(&self) -> bool {
        match &self.mode {
            Mode::Probe { waiting } => !waiting,
            Mode::Stream(inflight) => inflight.len() < MAX_IN_FLIGHT,
            Mode::Snapshot(_) => false,
        }
    }

    /// Records that entries up to `last` were sent.
    pub(crate) fn on_sent(&mut self, last: LogIndex) {
        match &mut self.mode {
            Mode::Probe { waiting } => *waiting = true,
            Mode::Stream(inflight) => {
                inflight.push_back(last);
                self.next = LogIndex(last.0 + 1);
            }
            Mode::Snapshot(_) => {}
        }
    }

    /// Handles an `Append` that was accepted up to `index`.
    pub(crate) fn on_accepted(&mut self, index: LogIndex) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(LogIndex(self.matched.0 + 1));
        match &mut self.mode {
            Mode::Stream(inflight) => {
                while inflight.front().is_some_and(|&last| last <= self.matched) {
                    inflight.pop_front();
                }
            }
            Mode::Snapshot(sending) if self.matched < sending.snapshot.index => {}
            Mode::Probe { .. } | Mode::Snapshot(_) => self.mode = Mode::Stream(VecDeque::new()),
        }
    }

    /// Handles a rejected `Append`; `hint` is the last index that may match.
    pub(crate) fn on_rejected(&mut self, hint: LogIndex) {
        let next = LogIndex(hint.0.max(self.matched.0) + 1);
        // A rejection that moves `next` no further back is a late or duplicate one. Acting on it
        // would send the same entries once per copy.
        if next >= self.next || matches!(self.mode, Mode::Snapshot(_)) {
            return;
        }
        self.next = next;
        self.mode = Mode::Probe { waiting: false };
    }

    /// Allows another `Append` in place of one whose reply may be lost.
    pub(crate) fn retry(&mut self) {
        if let Mode::Probe { waiting } = &mut self.mode {
            *waiting = false;
        }
    }

    /// Ends the transmission of a snapshot that the peer has installed.
    pub(crate) fn finish_snapshot(&mut self, index: LogIndex) {
        self.matched = self.matched.max(index);
        self.next = LogIndex(self.matched.0 + 1);
        self.mode = Mode::Probe { waiting: false };
    }

    /// Starts a new quorum check period.
    pub(crate) fn start_period(&mut self) {
        self.replied_before = self.replied;
        self.replied = false;
    }

    pub(crate) fn status(&self) -> PeerStatus {
        PeerStatus {
            matched: self.matched,
            active: self.is_active(),
            snapshot: matches!(self.mode, Mode::Snapshot(_)),
        }
    }
}
