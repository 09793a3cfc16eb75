//! Counts the traffic between this process and mothplank's other processes.
//!
//! The control traffic of a node has a limit in bytes a second; these counts show whether it is kept.

use std::sync::atomic::{AtomicU64, Ordering};

static SENT: AtomicU64 = AtomicU64::new(0);
static RECEIVED: AtomicU64 = AtomicU64::new(0);
static QUEUED: AtomicU64 = AtomicU64::new(0);

/// Bytes over TCP and UDP since the process started, without the headers of IP and lower layers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// The number of bytes sent.
    pub sent: u64,
    /// The number of bytes received.
    pub received: u64,
    /// The bytes of the messages that are queued on all connections now. A message that is queued on
    /// several connections counts for each.
    pub queued: u64,
}

impl Traffic {
    /// Returns the counts of this process.
    pub fn read() -> Self {
        Self {
            sent: SENT.load(Ordering::Relaxed),
            received: RECEIVED.load(Ordering::Relaxed),
            queued: QUEUED.load(Ordering::Relaxed),
        }
    }
}

pub(crate) fn sent(bytes: usize) {
    SENT.fetch_add(bytes as u64, Ordering::Relaxed);
}

pub(crate) fn received(bytes: usize) {
    RECEIVED.fetch_add(bytes as u64, Ordering::Relaxed);
}

/// Counts the bytes of a queued message until it is dropped.
#[derive(Debug)]
pub(crate) struct QueuedBytes(u64);

impl QueuedBytes {
    pub(crate) fn new(bytes: usize) -> Self {
        let bytes = bytes as u64;
        QUEUED.fetch_add(bytes, Ordering::Relaxed);
        Self(bytes)
    }
}

impl Drop for QueuedBytes {
    fn drop(&mut self) {
        QUEUED.fetch_sub(self.0, Ordering::Relaxed);
    }
}
