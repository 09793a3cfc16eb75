//! A simple load balancer that selects among the entries whose `/readyz` answers 200.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::env::Http;

/// The interval of the readiness checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A running balancer, which stops on drop.
#[derive(Debug)]
pub struct Balancer {
    entries: Arc<Vec<(SocketAddr, AtomicBool)>>,
    turn: AtomicUsize,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Balancer {
    /// Starts a balancer for `entries`, all of which are ready.
    pub fn spawn(http: &Http, entries: &[SocketAddr]) -> Self {
        let entries: Vec<_> = entries.iter().map(|it| (*it, AtomicBool::new(true))).collect();
        let (entries, stop) = (Arc::new(entries), Arc::new(AtomicBool::new(false)));
        let (known, stopped, http) = (Arc::clone(&entries), Arc::clone(&stop), http.clone());
        let thread = thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                for (entry, ready) in known.iter() {
                    let page = http.get(*entry, "/readyz");
                    ready.store(page.is_ok_and(|it| it.status == 200), Ordering::SeqCst);
                }
                thread::sleep(CHECK_INTERVAL);
            }
        });
        Self { entries, turn: AtomicUsize::new(0), stop, thread: Some(thread) }
    }

    /// Returns the next ready entry in turn.
    pub fn next(&self) -> SocketAddr {
        let ready: Vec<_> = self.entries.iter().filter(|it| it.1.load(Ordering::SeqCst)).collect();
        let turn = self.turn.fetch_add(1, Ordering::SeqCst);
        ready.get(turn % ready.len().max(1)).map_or(self.entries[0].0, |it| it.0)
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}
