//! Writes to a data folder on a separate thread, so that the caller need not wait.

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

/// A write to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// The hard state and records, as in [`Store::write`].
    Log {
        /// The hard state, if it changed.
        hard_state: Option<Vec<u8>>,
        /// The records.
        records: Vec<Record>,
    },
    /// A snapshot from the leader that replaces the whole log, with the hard state and the records
    /// after it.
    Install {
        /// The hard state, if it changed. It is written first: a snapshot of a later term must not
        /// survive a crash without the vote of that term.
        hard_state: Option<Vec<u8>>,
        /// The last index that the snapshot covers.
        index: LogIndex,
        /// The encoded snapshot.
        data: Vec<u8>,
        /// The records after the snapshot.
        records: Vec<Record>,
    },
    /// A snapshot of this node's own state. After it, the log before `keep` is dropped.
    Snapshot {
        /// The last index that the snapshot covers.
        index: LogIndex,
        /// The encoded snapshot.
        data: Vec<u8>,
        /// The first index to keep in the log.
        keep: LogIndex,
    },
}

/// The result of a write.
#[derive(Debug)]
pub struct WriteResult {
    /// Whether all of the write is on disk. After a failure the store accepts no further writes.
    pub result: Result<(), DiskError>,
    /// The duration of the write.
    pub took: Duration,
    /// The length of the log file after the write, in bytes.
    pub log_size: ByteSize,
}

/// The error of a call after the thread has stopped. Nothing is written any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriterStopped;

impl fmt::Display for WriterStopped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the thread that writes to the data folder has stopped")
    }
}

impl std::error::Error for WriterStopped {}

type Call<F> = Box<dyn FnOnce(&mut Store<F>) + Send>;

enum Job<F: Files> {
    Write(Write),
    Call(Call<F>),
}

/// The thread that owns a store. Dropping the writer waits until all submitted jobs are done.
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
    /// Starts the thread. It calls `on_written` after each write, in the order of submission.
    ///
    /// # Errors
    /// Fails if the thread can't be started.
    pub fn spawn(
        store: Store<F>,
        on_written: impl Fn(WriteResult) + Send + 'static,
    ) -> io::Result<Self> {
        let (jobs, receiver) = mpsc::channel();
        let thread = std::thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || run_jobs(store, &receiver, on_written))?;
        Ok(Self { jobs: Some(jobs), thread: Some(thread) })
    }

    /// Submits a write.
    ///
    /// # Errors
    /// Fails if the thread has stopped.
    pub fn submit(&self, write: Write) -> Result<(), WriterStopped> {
        self.send(Job::Write(write))
    }

    /// Runs `call` on the store after all jobs submitted before, and waits for it.
    ///
    /// # Errors
    /// Fails if the thread has stopped.
    pub fn call<T: Send + 'static>(
        &self,
        call: impl FnOnce(&mut Store<F>) -> T + Send + 'static,
    ) -> Result<T, WriterStopped> {
        let (reply, result) = mpsc::channel();
        self.send(Job::Call(Box::new(move |store| {
            // Can't fail: the caller waits for the result below.
            let _ = reply.send(call(store));
        })))?;
        result.recv().map_err(|_| WriterStopped)
    }

    fn send(&self, job: Job<F>) -> Result<(), WriterStopped> {
        let jobs = self.jobs.as_ref().ok_or(WriterStopped)?;
        jobs.send(job).map_err(|_| WriterStopped)
    }
}

impl<F: Files> Drop for Writer<F> {
    fn drop(&mut self) {
        drop(self.jobs.take());
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("the thread that writes to the data folder panicked");
        }
    }
}

fn run_jobs<F: Files>(
    mut store: Store<F>,
    receiver: &Receiver<Job<F>>,
    on_written: impl Fn(WriteResult),
) {
    while let Ok(job) = receiver.recv() {
        let began = Instant::now();
        let result = match job {
            Job::Write(write) => store.apply(&write),
            Job::Call(call) => {
                call(&mut store);
                continue;
            }
        };
        on_written(WriteResult { result, took: began.elapsed(), log_size: store.log_size() });
    }
}

impl<F: Files> Store<F> {
    /// Carries out a write.
    ///
    /// # Errors
    /// Fails like the operation that the write names.
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
