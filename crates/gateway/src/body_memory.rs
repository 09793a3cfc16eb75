//! Limits the memory that all request bodies take together.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The memory that request bodies may take, in bytes: a quarter of the memory of the smallest known
/// VM. The rest is for connections and for answers that wait for slow callers.
pub const BODY_MEMORY_BYTES: usize = 64 << 20;

/// A limited number of bytes that can be reserved.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    left: Arc<AtomicUsize>,
}

impl MemoryBudget {
    /// Creates a budget of `bytes` bytes.
    pub fn new(bytes: usize) -> Self {
        Self { left: Arc::new(AtomicUsize::new(bytes)) }
    }

    /// Creates an empty reservation.
    pub fn reserve(&self) -> Reservation {
        Reservation { left: Arc::clone(&self.left), bytes: 0 }
    }
}

/// Bytes that are reserved until this is dropped.
#[derive(Debug)]
pub struct Reservation {
    left: Arc<AtomicUsize>,
    bytes: usize,
}

impl Reservation {
    /// Reserves more bytes, and returns whether enough were left.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let take = |left: usize| left.checked_sub(bytes);
        let taken = self.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok();
        if taken {
            self.bytes += bytes;
        }
        taken
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.left.fetch_add(self.bytes, Ordering::Relaxed);
    }
}
