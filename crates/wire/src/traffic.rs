//! What this process has sent to and received from the system's other processes.
//!
//! A node's share for control is bounded in bytes a second; these counts are how one sees that it
//! holds.

use std::sync::atomic::{AtomicU64, Ordering};

static SENT: AtomicU64 = AtomicU64::new(0);
static RECEIVED: AtomicU64 = AtomicU64::new(0);
static QUEUED: AtomicU64 = AtomicU64::new(0);

/// Bytes over TCP and UDP since the process started, without the headers of IP and below.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
    /// Bytes of messages in the queues of all connections now. A message that is queued for several
    /// connections counts for each.
    pub queued: u64,
}

impl Traffic {
    /// Reads the counts of this process.
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

/// The bytes of a message in a queue, counted until it is dropped.
#[derive(Debug)]
pub(crate) struct Held(u64);

impl Held {
    pub(crate) fn new(bytes: usize) -> Self {
        let bytes = bytes as u64;
        QUEUED.fetch_add(bytes, Ordering::Relaxed);
        Self(bytes)
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        QUEUED.fetch_sub(self.0, Ordering::Relaxed);
    }
}
