//! The writes of a node, in their order, and what waits for them.

use std::collections::VecDeque;
use std::sync::mpsc::{self, Receiver};
use std::time::Duration;

use consensus::{Entry, Message, Node, Ready, Snapshot};
use disk::{DiskError, Ended, Record, Store, Write, Writer, Written};
use types::{ByteSize, LogIndex, StepError, StepResult};

use crate::codec::encode;

/// An ordered write that is not on the disk yet.
#[derive(Debug)]
enum Order {
    /// What a `Ready` asked for, and the messages that wait for it.
    Ready(Vec<Message>),
    /// A snapshot of the own state.
    Snapshot(Snapshot),
}

/// What came of a write.
#[derive(Debug, Default)]
pub struct Saved {
    /// The messages that may go out now.
    pub messages: Vec<Message>,
    /// How long the write took.
    pub took: Duration,
    /// Whether it was a snapshot of the own state.
    pub compacted: bool,
}

/// A node's data folder while the node runs.
///
/// The node goes on while its writes are under way: a heartbeat, the answer to one and the confirmation
/// of a read need no disk, and a slow one must not hold them up.
#[derive(Debug)]
pub struct Journal {
    writer: Writer,
    written: Receiver<Written>,
    orders: VecDeque<Order>,
    /// A snapshot of a state that is ahead of the log on the disk.
    early: Option<Snapshot>,
    log_size: ByteSize,
}

impl Journal {
    /// Starts to write to a folder. After each write `wake` is called on another thread; then
    /// [`Journal::saved`] has something to tell.
    ///
    /// # Errors
    /// Where no thread can be started.
    pub fn spawn(store: Store, wake: impl Fn() + Send + 'static) -> StepResult<Self> {
        let log_size = store.log_size();
        let (done, written) = mpsc::channel();
        let writer = Writer::spawn(store, move |it| {
            // The journal may be about to end.
            let _ = done.send(it);
            wake();
        });
        let writer = writer.map_err(|e| StepError::new("start disk thread", e))?;
        Ok(Self { writer, written, orders: VecDeque::new(), early: None, log_size })
    }

    /// Orders the writes of `ready`, and returns the messages that wait for none.
    ///
    /// # Errors
    /// Where an entry cannot be encoded, or the disk failed.
    pub fn write(&mut self, ready: &mut Ready) -> StepResult<Vec<Message>> {
        let messages = std::mem::take(&mut ready.messages);
        if !ready.writes() {
            return Ok(messages);
        }
        let hard_state = ready.hard_state.as_ref().map(encode).transpose()?;
        let records = ready.entries.iter().map(record).collect::<StepResult<Vec<_>>>()?;
        let write = match &ready.snapshot {
            None => Write::Log { hard_state, records },
            Some(it) => Write::Install { hard_state, index: it.index, data: encode(it)?, records },
        };
        self.writer.submit(write).map_err(ended)?;
        self.orders.push_back(Order::Ready(messages));
        Ok(Vec::new())
    }

    /// Takes a snapshot of the own state; it is written once the log on the disk has reached it. One that
    /// comes while another is under way is dropped.
    ///
    /// # Errors
    /// Where it cannot be encoded, or the disk failed.
    pub fn snapshot(&mut self, node: &Node, snapshot: Snapshot) -> StepResult<()> {
        if self.compacts() {
            return Ok(());
        }
        self.early = Some(snapshot);
        self.order_snapshot(node)
    }

    /// Whether a snapshot of the own state is under way.
    pub fn compacts(&self) -> bool {
        self.early.is_some() || self.orders.iter().any(|it| matches!(it, Order::Snapshot(_)))
    }

    /// Returns the length of the log file after the last write.
    pub fn log_size(&self) -> ByteSize {
        self.log_size
    }

    /// Returns what came of the next write that has ended, if any, and tells the node.
    ///
    /// # Errors
    /// Where it failed. The member must stop then: the log in memory and the log on the disk differ from
    /// then on, and a vote or an acknowledgement given from memory could be forgotten by a restart.
    pub fn saved(&mut self, node: &mut Node) -> StepResult<Option<Saved>> {
        let Ok(written) = self.written.try_recv() else { return Ok(None) };
        let order = self.orders.pop_front();
        let step = match &order {
            Some(Order::Snapshot(_)) => "write snapshot",
            _ => "write log",
        };
        written.result.map_err(|e| StepError::new(step, e))?;
        self.log_size = written.log_size;
        let mut saved = Saved { took: written.took, ..Saved::default() };
        match order {
            Some(Order::Ready(messages)) => {
                node.synced();
                saved.messages = messages;
            }
            Some(Order::Snapshot(snapshot)) => {
                log::info!(index = snapshot.index.0, bytes = snapshot.data.len(); "wrote a snapshot");
                node.compact(snapshot);
                saved.compacted = true;
            }
            None => {}
        }
        self.order_snapshot(node)?;
        Ok(Some(saved))
    }

    /// Runs `call` on the folder after the writes that were ordered, and waits for it. It is for what a
    /// node does before it takes part.
    ///
    /// # Errors
    /// As `call`, and where the disk failed before.
    pub fn call<T: Send + 'static>(
        &self,
        step: &'static str,
        call: impl FnOnce(&mut Store) -> Result<T, DiskError> + Send + 'static,
    ) -> StepResult<T> {
        let result = self.writer.call(call).map_err(ended)?;
        result.map_err(|e| StepError::new(step, e))
    }

    fn order_snapshot(&mut self, node: &Node) -> StepResult<()> {
        let Some(snapshot) = self.early.take_if(|it| it.index <= node.synced_index()) else {
            return Ok(());
        };
        let (index, data) = (snapshot.index, encode(&snapshot)?);
        let keep = LogIndex(index.0 + 1);
        self.writer.submit(Write::Snapshot { index, data, keep }).map_err(ended)?;
        self.orders.push_back(Order::Snapshot(snapshot));
        Ok(())
    }
}

fn ended(e: Ended) -> StepError {
    StepError::new("write log", e)
}

fn record(entry: &Entry) -> StepResult<Record> {
    Ok(Record { index: entry.index, data: encode(entry)? })
}
