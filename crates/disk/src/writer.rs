//! Writes to a data folder on a thread of its own, so that whoever orders them need not wait.

use std::fmt;
use std::io;
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use types::{ByteSize, LogIndex};

use crate::batch::Record;
use crate::error::DiskError;
use crate::files::{Files, OsFiles};
use crate::store::Store;

/// One write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// Hard state and records, as [`Store::write`] takes them.
    Log {
        /// The hard state, if it changed.
        hard_state: Option<Vec<u8>>,
        /// The records.
        records: Vec<Record>,
    },
    /// A snapshot from the leader in place of the whole log, and what comes with it.
    Install {
        /// The hard state, if it changed. It is written first: a snapshot of a later term must not
        /// outlive a vote of that term.
        hard_state: Option<Vec<u8>>,
        /// The last index that the snapshot covers.
        index: LogIndex,
        /// The snapshot.
        data: Vec<u8>,
        /// The records after it.
        records: Vec<Record>,
    },
    /// A snapshot of the own state, after which the log before `keep` is dropped.
    Snapshot {
        /// The last index that the snapshot covers.
        index: LogIndex,
        /// The snapshot.
        data: Vec<u8>,
        /// The first index that stays in the log.
        keep: LogIndex,
    },
}

/// What became of a write.
#[derive(Debug)]
pub struct Written {
    /// Whether all of it is on the disk; after a failure the store takes nothing more.
    pub result: Result<(), DiskError>,
    /// How long it took.
    pub took: Duration,
    /// The length of the log after it.
    pub log_size: ByteSize,
}

/// The thread has ended, so nothing is written any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ended;

impl fmt::Display for Ended {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the thread that writes to the data folder has ended")
    }
}

impl std::error::Error for Ended {}

type Call<F> = Box<dyn FnOnce(&mut Store<F>) + Send>;

enum Job<F: Files> {
    Write(Write),
    Call(Call<F>),
}

/// The thread that owns a store. Dropping it waits until what was ordered is written.
#[derive(Debug)]
pub struct Writer<F: Files = OsFiles> {
    jobs: Option<Sender<Job<F>>>,
    thread: Option<JoinHandle<()>>,
}

impl<F> Writer<F>
where
    F: Files + Send + 'static,
    F::File: Send,
{
    /// Starts the thread; `written` is called there after each write, in the order of the orders.
    ///
    /// # Errors
    /// Where no thread can be started.
    pub fn spawn(store: Store<F>, written: impl Fn(Written) + Send + 'static) -> io::Result<Self> {
        let (jobs, orders) = mpsc::channel();
        let thread = std::thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || run(store, &orders, written))?;
        Ok(Self { jobs: Some(jobs), thread: Some(thread) })
    }

    /// Orders a write.
    ///
    /// # Errors
    /// Where the thread has ended.
    pub fn submit(&self, write: Write) -> Result<(), Ended> {
        self.send(Job::Write(write))
    }

    /// Runs `call` on the store after all that was ordered before, and waits for it.
    ///
    /// # Errors
    /// Where the thread has ended.
    pub fn call<T: Send + 'static>(
        &self,
        call: impl FnOnce(&mut Store<F>) -> T + Send + 'static,
    ) -> Result<T, Ended> {
        let (reply, result) = mpsc::channel();
        self.send(Job::Call(Box::new(move |store| {
            // The asker waits for it below.
            let _ = reply.send(call(store));
        })))?;
        result.recv().map_err(|_| Ended)
    }

    fn send(&self, job: Job<F>) -> Result<(), Ended> {
        let jobs = self.jobs.as_ref().ok_or(Ended)?;
        jobs.send(job).map_err(|_| Ended)
    }
}

impl<F: Files> Drop for Writer<F> {
    fn drop(&mut self) {
        drop(self.jobs.take());
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!(
                "the thread that writes to the data folder ended by a fault of the program"
            );
        }
    }
}

fn run<F: Files>(mut store: Store<F>, orders: &Receiver<Job<F>>, written: impl Fn(Written)) {
    while let Ok(job) = orders.recv() {
        let began = Instant::now();
        let result = match job {
            Job::Write(write) => store.apply(&write),
            Job::Call(call) => {
                call(&mut store);
                continue;
            }
        };
        written(Written { result, took: began.elapsed(), log_size: store.log_size() });
    }
}

impl<F: Files> Store<F> {
    /// Carries out a write.
    ///
    /// # Errors
    /// As the operation that it names.
    pub fn apply(&mut self, write: &Write) -> Result<(), DiskError> {
        match write {
            Write::Log { hard_state, records } => self.write(hard_state.as_deref(), records),
            Write::Install { hard_state, index, data, records } => {
                self.write(hard_state.as_deref(), &[])?;
                self.install(*index, data)?;
                self.write(None, records)
            }
            Write::Snapshot { index, data, keep } => self.snapshot(*index, data, *keep),
        }
    }
}
