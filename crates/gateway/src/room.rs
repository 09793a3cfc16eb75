//! Bounds the memory that callers' bodies take together.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The memory that bodies may take, in bytes: a quarter of the smallest VM of the deployments known,
/// which leaves the rest to connections and to answers that wait for slow callers.
pub const BODY_ROOM: usize = 64 << 20;

/// Room that is handed out in bytes.
#[derive(Clone, Debug)]
pub struct Room {
    left: Arc<AtomicUsize>,
}

impl Room {
    /// Makes room for so many bytes.
    pub fn new(bytes: usize) -> Self {
        Self { left: Arc::new(AtomicUsize::new(bytes)) }
    }

    /// Holds nothing yet.
    pub fn hold(&self) -> Held {
        Held { left: Arc::clone(&self.left), bytes: 0 }
    }
}

/// Room that is taken until this is dropped.
#[derive(Debug)]
pub struct Held {
    left: Arc<AtomicUsize>,
    bytes: usize,
}

impl Held {
    /// Takes more room; returns whether there was enough.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let take = |left: usize| left.checked_sub(bytes);
        let taken = self.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok();
        if taken {
            self.bytes += bytes;
        }
        taken
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.left.fetch_add(self.bytes, Ordering::Relaxed);
    }
}
