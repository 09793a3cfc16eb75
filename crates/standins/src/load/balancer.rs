//! A load balancer that chooses a ready entry at random.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use rand::RngExt;

/// How long an entry is skipped after it refused a connection or was not ready.
const SKIP_TIME: Duration = Duration::from_millis(500);

/// Balances requests over the entries.
#[derive(Debug)]
pub(super) struct Balancer {
    start: Instant,
    /// Each entry with the time until which it is skipped, in milliseconds since `start`.
    entries: Vec<(SocketAddr, AtomicU64)>,
}

impl Balancer {
    pub(super) fn new(entries: &[SocketAddr]) -> Self {
        let entries = entries.iter().map(|it| (*it, AtomicU64::new(0))).collect();
        Self { start: Instant::now(), entries }
    }

    /// Chooses an entry that is not skipped; if all are skipped, any entry.
    pub(super) fn choose(&self) -> SocketAddr {
        let now = self.start.elapsed().as_millis() as u64;
        let ready = |it: &&(SocketAddr, AtomicU64)| it.1.load(Ordering::Relaxed) <= now;
        let ready: Vec<&(SocketAddr, AtomicU64)> = self.entries.iter().filter(ready).collect();
        let mut rng = rand::rng();
        if ready.is_empty() {
            return self.entries[rng.random_range(0..self.entries.len())].0;
        }
        ready[rng.random_range(0..ready.len())].0
    }

    /// Skips an entry for [`SKIP_TIME`].
    pub(super) fn skip(&self, entry: SocketAddr) {
        let until = (self.start.elapsed() + SKIP_TIME).as_millis() as u64;
        if let Some((_, time)) = self.entries.iter().find(|it| it.0 == entry) {
            time.store(until, Ordering::Relaxed);
        }
    }

    /// Returns the addresses of all entries.
    pub(super) fn entries(&self) -> impl Iterator<Item = SocketAddr> {
        self.entries.iter().map(|it| it.0)
    }
}
