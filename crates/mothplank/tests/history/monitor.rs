//! A watch on entries: no entry may ever show a lower version than before.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::env::{Http, TestEnv};

/// The pause between two looks.
const PAUSE: Duration = Duration::from_millis(10);

/// A thread that asks every entry's `/status` all the time.
pub struct Watch {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Sights>,
}

/// What a watch saw.
#[derive(Debug, Default)]
struct Sights {
    looks: u64,
    highest: BTreeMap<SocketAddr, u64>,
    falls: Vec<String>,
}

impl Sights {
    fn see(&mut self, entry: SocketAddr, version: u64) {
        self.looks += 1;
        let highest = self.highest.entry(entry).or_default();
        if version < *highest {
            self.falls.push(format!("entry {entry} showed {version} after {highest}"));
        }
        *highest = version.max(*highest);
    }
}

impl Watch {
    /// Watches all entries of an environment, across their restarts.
    pub fn start(env: &TestEnv) -> Self {
        let entries: Vec<SocketAddr> =
            (1..=env.plan.entries).map(|it| env.entry_address(it)).collect();
        let (http, stop) = (env.http.clone(), Arc::new(AtomicBool::new(false)));
        let stopped = Arc::clone(&stop);
        let watch = move || {
            let mut sights = Sights::default();
            loop {
                let is_last = stopped.load(Ordering::Relaxed);
                for entry in &entries {
                    if let Some(version) = version(&http, *entry) {
                        sights.see(*entry, version);
                    }
                }
                if is_last {
                    return sights;
                }
                std::thread::sleep(PAUSE);
            }
        };
        Self { stop, thread: std::thread::spawn(watch) }
    }

    /// Ends the watch.
    ///
    /// # Panics
    /// Where an entry showed a lower version than before.
    pub fn end(self) {
        self.stop.store(true, Ordering::Relaxed);
        let sights = self.thread.join().unwrap();
        eprintln!("entries: {} looks, highest {:?}", sights.looks, sights.highest);
        assert!(sights.falls.is_empty(), "a version went back: {:#?}", sights.falls);
    }
}

/// Returns the version that an entry has in force.
pub fn version(http: &Http, entry: SocketAddr) -> Option<u64> {
    http.get(entry, "/status").ok()?.json()["version"].as_u64()
}
