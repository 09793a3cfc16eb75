//! The writes of a node, in their order, and the messages that wait for them.

use std::collections::VecDeque;
use std::sync::mpsc::{self, Receiver};
use std::time::Duration;

use consensus::{Entry, Message, Node, Ready, Snapshot};
use disk::{DiskError, Record, Store, Write, WriteResult, Writer, WriterStopped};
use types::{ByteSize, LogIndex, StepError, StepResult};

use crate::codec::encode;

/// A submitted write that is not on disk yet.
#[derive(Debug)]
enum PendingWrite {
    /// The writes of a `Ready`, and the messages that wait for them.
    Ready(Vec<Message>),
    /// A snapshot of this node's own state.
    Snapshot(Snapshot),
}

/// The result of a write.
#[derive(Debug, Default)]
pub struct SavedWrite {
    /// The messages that may be sent now.
    pub messages: Vec<Message>,
    /// The duration of the write.
    pub took: Duration,
    /// Whether the write was a snapshot of this node's own state.
    pub compacted: bool,
}

/// The data folder of a running node.
///
/// The node continues while its writes are in flight: heartbeats, their replies and the
/// confirmation of reads need no disk, and a slow disk must not delay them.
#[derive(Debug)]
pub struct Journal {
    writer: Writer,
    written: Receiver<WriteResult>,
    pending: VecDeque<PendingWrite>,
    /// A snapshot that waits because the log on disk has not reached its index.
    waiting: Option<Snapshot>,
    log_size: ByteSize,
}

impl Journal {
    /// Starts to write to a folder. After each write, `wake` is called on another thread;
    /// [`Journal::next_saved`] then has a result.
    ///
    /// # Errors
    /// Fails if the thread can't be started.
    pub fn spawn(store: Store, wake: impl Fn() + Send + 'static) -> StepResult<Self> {
        let log_size = store.log_size();
        let (done, written) = mpsc::channel();
        let writer = Writer::spawn(store, move |it| {
            // Fails only when the journal is being dropped, and the result is then of no use.
            let _ = done.send(it);
            wake();
        });
        let writer = writer.map_err(|e| StepError::new("start disk thread", e))?;
        Ok(Self { writer, written, pending: VecDeque::new(), waiting: None, log_size })
    }

    /// Submits the writes of `ready`. Returns the messages that wait for no write.
    ///
    /// # Errors
    /// Fails if an entry can't be encoded, or if the disk has failed.
    pub fn write(&mut self, ready: &mut Ready) -> StepResult<Vec<Message>> {
        let messages = std::mem::take(&mut ready.messages);
        if !ready.has_writes() {
            return Ok(messages);
        }
        let hard_state = ready.hard_state.as_ref().map(encode).transpose()?;
        let records = ready.entries.iter().map(encode_entry).collect::<StepResult<Vec<_>>>()?;
        let write = match &ready.snapshot {
            None => Write::Log { hard_state, records },
            Some(it) => Write::Install { hard_state, index: it.index, data: encode(it)?, records },
        };
        self.writer.submit(write).map_err(writer_stopped)?;
        self.pending.push_back(PendingWrite::Ready(messages));
        Ok(Vec::new())
    }

    /// Takes a snapshot of this node's own state. It is written once the log on disk has reached
    /// its index. A snapshot is dropped if another one is in flight.
    ///
    /// # Errors
    /// Fails if the snapshot can't be encoded, or if the disk has failed.
    pub fn snapshot(&mut self, node: &Node, snapshot: Snapshot) -> StepResult<()> {
        if self.is_compacting() {
            return Ok(());
        }
        self.waiting = Some(snapshot);
        self.submit_snapshot(node)
    }

    /// Returns whether a snapshot of this node's own state is waiting or in flight.
    pub fn is_compacting(&self) -> bool {
        self.waiting.is_some()
            || self.pending.iter().any(|it| matches!(it, PendingWrite::Snapshot(_)))
    }

    /// Returns the length of the log file after the last write, in bytes.
    pub fn log_size(&self) -> ByteSize {
        self.log_size
    }

    /// Returns the result of the next completed write, if any, and reports the write to the node.
    ///
    /// # Errors
    /// Fails if the write failed. The member must then stop: from then on the log in memory differs
    /// from the log on disk, and a restart could forget a vote or an acknowledgement that was given
    /// from memory.
    pub fn next_saved(&mut self, node: &mut Node) -> StepResult<Option<SavedWrite>> {
        let Ok(written) = self.written.try_recv() else { return Ok(None) };
        let pending_write = self.pending.pop_front();
        let step = match &pending_write {
            Some(PendingWrite::Snapshot(_)) => "write snapshot",
            _ => "write log",
        };
        written.result.map_err(|e| StepError::new(step, e))?;
        self.log_size = written.log_size;
        let mut saved = SavedWrite { took: written.took, ..SavedWrite::default() };
        match pending_write {
            Some(PendingWrite::Ready(messages)) => {
                node.synced();
                saved.messages = messages;
            }
            Some(PendingWrite::Snapshot(snapshot)) => {
                log::info!(index = snapshot.index.0, bytes = snapshot.data.len(); "wrote a snapshot");
                node.compact(snapshot);
                saved.compacted = true;
            }
            None => {}
        }
        self.submit_snapshot(node)?;
        Ok(Some(saved))
    }

    /// Runs `call` on the folder after the writes submitted before, and waits for it. Meant for the
    /// steps of a node before it takes part in the cluster.
    ///
    /// # Errors
    /// Fails if `call` fails, or if the disk has failed before.
    pub fn call<T: Send + 'static>(
        &self,
        step: &'static str,
        call: impl FnOnce(&mut Store) -> Result<T, DiskError> + Send + 'static,
    ) -> StepResult<T> {
        let result = self.writer.call(call).map_err(writer_stopped)?;
        result.map_err(|e| StepError::new(step, e))
    }

    fn submit_snapshot(&mut self, node: &Node) -> StepResult<()> {
        let Some(snapshot) = self.waiting.take_if(|it| it.index <= node.synced_index()) else {
            return Ok(());
        };
        let (index, data) = (snapshot.index, encode(&snapshot)?);
        let keep = LogIndex(index.0 + 1);
        self.writer.submit(Write::Snapshot { index, data, keep }).map_err(writer_stopped)?;
        self.pending.push_back(PendingWrite::Snapshot(snapshot));
        Ok(())
    }
}

fn writer_stopped(e: WriterStopped) -> StepError {
    StepError::new("write log", e)
}

fn encode_entry(entry: &Entry) -> StepResult<Record> {
    Ok(Record { index: entry.index, data: encode(entry)? })
}
