//! A monitor of the entries: no entry may ever report a lower version than before.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::env::{Http, TestEnv};

/// The pause between two rounds of polls.
const PAUSE: Duration = Duration::from_millis(10);

/// A thread that polls `/status` of every entry.
pub struct VersionMonitor {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Observations>,
}

/// The observations of a monitor.
#[derive(Debug, Default)]
struct Observations {
    polls: u64,
    highest: BTreeMap<SocketAddr, u64>,
    regressions: Vec<String>,
}

impl Observations {
    fn observe(&mut self, entry: SocketAddr, version: u64) {
        self.polls += 1;
        let highest = self.highest.entry(entry).or_default();
        if version < *highest {
            self.regressions.push(format!("entry {entry} showed {version} after {highest}"));
        }
        *highest = version.max(*highest);
    }
}

impl VersionMonitor {
    /// Starts to monitor all entries of an environment, across their restarts.
    pub fn start(env: &TestEnv) -> Self {
        let entries: Vec<SocketAddr> =
            (1..=env.plan.entries).map(|it| env.entry_address(it)).collect();
        let (http, stop) = (env.http.clone(), Arc::new(AtomicBool::new(false)));
        let stopped = Arc::clone(&stop);
        let monitor = move || {
            let mut observations = Observations::default();
            loop {
                let is_last = stopped.load(Ordering::Relaxed);
                for entry in &entries {
                    if let Some(version) = entry_version(&http, *entry) {
                        observations.observe(*entry, version);
                    }
                }
                if is_last {
                    return observations;
                }
                std::thread::sleep(PAUSE);
            }
        };
        Self { stop, thread: std::thread::spawn(monitor) }
    }

    /// Stops the monitor.
    ///
    /// # Panics
    /// Panics if an entry reported a lower version than before.
    pub fn end(self) {
        self.stop.store(true, Ordering::Relaxed);
        let observations = self.thread.join().unwrap();
        eprintln!("entries: {} polls, highest {:?}", observations.polls, observations.highest);
        assert!(
            observations.regressions.is_empty(),
            "a version went back: {:#?}",
            observations.regressions
        );
    }
}

/// Returns the version that is in force at an entry.
pub fn entry_version(http: &Http, entry: SocketAddr) -> Option<u64> {
    http.get(entry, "/status").ok()?.json()["version"].as_u64()
}
