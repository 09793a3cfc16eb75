//! Runs the thread that owns the replicated log and the plan; another thread writes to the data folder.
//!
//! A slow disk therefore delays writes, but neither heartbeats nor the confirmation of reads. HTTP
//! requests are served on other threads.

mod answers;
mod confirm;
mod membership;
mod orders;
mod view;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender};
use std::time::{Duration, Instant};

use consensus::{Config, Membership, Message, Node, Position, Snapshot};
use replica::Journal;
use tokio::sync::{oneshot, watch};
use types::{LogIndex, NodeId, StepResult};

use crate::evacuation::Order;
use crate::folder::{Folder, MAX_LOG_BYTES, Opened};
use crate::message::PeerMessage;
use crate::peers::Peers;
use crate::plan::PutPlan;
use crate::repair::{address_bytes, address_of};
use crate::replicated::{Command, Replicated};

use self::answers::Reader;
use self::confirm::Confirmations;
pub(crate) use self::view::View;

/// The time unit of the replicated log.
const TICK: Duration = Duration::from_millis(50);

/// The minimum election timeout, in ticks; the maximum is twice this. It is far above a usual disk
/// sync of 5 ms, and low enough that an operator's order finds a new leader within its 4 s.
const ELECTION_TICKS: u32 = 14;

/// The minimum first election timeout after a start, in ticks. Members that start together need some
/// 100 ms to reach each other, and their random timeouts must differ by more than a vote takes.
const FIRST_ELECTION_TICKS: u32 = 5;

/// The heartbeat interval, in ticks.
const HEARTBEAT_TICKS: u32 = 3;

/// The interval at which a leader checks the membership, and a node without a leader asks to join.
const REPAIR_INTERVAL: Duration = Duration::from_millis(150);

/// Writes that take longer are logged.
const SLOW_WRITE: Duration = Duration::from_millis(300);

/// The time after which a leader whose disk lacks entries that others hold transfers leadership, in
/// ticks.
const LAG_TICKS: u32 = 60;

/// The time after which a member whose disk does not respond counts as unresponsive, in ticks.
const STALL_TICKS: u32 = 60;

/// How long a transfer of leadership may take while its target responds, in ticks.
const TRANSFER_TICKS: u32 = 40;

/// The pause before a data folder is opened again after a failure.
const REOPEN_PAUSE: Duration = Duration::from_millis(400);

/// The size of the part of a snapshot that one message carries, in bytes.
const SNAPSHOT_PART_BYTES: usize = 256 << 10;

/// An input of the driver.
pub(crate) enum Input {
    /// A message from another member, with its address.
    Step(Message, SocketAddr),
    /// A node asks to join.
    Join { node: NodeId, address: SocketAddr, relayed: bool },
    /// An operator's order to replace the plan; answered once it is committed.
    Put(PutPlan, oneshot::Sender<Answer>),
    /// An operator's order for a failure domain; answered once it is committed.
    Evacuate(Order, oneshot::Sender<Answer>),
    /// Stores a change that this leader decided on. It is decided on again until it is stored.
    Store(Command),
    /// A linearizable read: the plan that it returns is not older than any acknowledged before.
    Read(oneshot::Sender<Answer>),
    /// Asks whether the plan in the view is the newest acknowledged one; answered once a quorum has
    /// confirmed a log index after the question, and the plan of that index is in the view.
    ConfirmView(oneshot::Sender<()>),
    /// Another member asks the leader for the confirmed log index.
    Confirm { ticket: u64, from: SocketAddr },
    /// The leader's answer to this member.
    Confirmed { ticket: u64, index: LogIndex },
    /// Transfers leadership before the process exits.
    Resign,
    /// A write to the data folder completed.
    Written,
}

/// The driver's answer to an order or a read.
#[derive(Clone, Debug)]
pub(crate) enum Answer {
    /// The replicated state: the order is committed, or a quorum confirmed the read.
    State(Replicated),
    /// This member does not lead; the leader's address, if known.
    NotLeader(Option<SocketAddr>),
    /// The cluster has too few voters to survive the configured number of losses.
    TooFewVoters,
}

/// The settings of the driver.
pub(crate) struct DriverConfig {
    pub(crate) data_dir: PathBuf,
    pub(crate) address: SocketAddr,
    /// Whether this member starts a new cluster if its data folder is empty.
    pub(crate) bootstraps: bool,
    /// The number of members that may be lost at once.
    pub(crate) max_losses: usize,
}

struct Driver {
    config: DriverConfig,
    peers: Arc<Peers>,
    view: watch::Sender<View>,
    id: NodeId,
    node: Node,
    journal: Journal,
    state: Replicated,
    applied: LogIndex,
    pending_orders: Vec<(Position, oneshot::Sender<Answer>)>,
    pending_reads: HashMap<u64, Reader>,
    confirmations: Confirmations,
    confirmed_reads: Vec<(u64, LogIndex)>,
    next_read: u64,
    joins: BTreeMap<SocketAddr, (NodeId, Instant)>,
    last_heard: HashMap<NodeId, Instant>,
    /// The addresses of members that sent messages.
    sender_addresses: HashMap<NodeId, SocketAddr>,
    leader_seen: Instant,
    last_repair: Instant,
    resigned: bool,
}

/// Runs the driver until its inputs end. After a failure of the data folder it opens the folder again
/// until that succeeds; meanwhile the member doesn't take part, and others lead.
pub(crate) fn run(
    config: DriverConfig,
    peers: Arc<Peers>,
    view: watch::Sender<View>,
    waker: SyncSender<Input>,
    inputs: Receiver<Input>,
) {
    let mut config = config;
    loop {
        let opened = Driver::open(config, Arc::clone(&peers), view.clone(), waker.clone());
        let ended = match opened {
            Ok(mut driver) => {
                let ended = driver.run(&inputs);
                config = driver.config;
                // A folder that was opened once belongs to a cluster already.
                config.bootstraps = false;
                ended
            }
            Err((given, error)) => {
                config = *given;
                Err(error)
            }
        };
        let Err(error) = ended else { return };
        log::error!(cause:% = error;
            "the data folder failed; the member takes no part until it can be opened again");
        view.send_modify(|it| {
            *it = View { state: it.state.clone(), members: it.members.clone(), ..View::default() };
        });
        std::thread::sleep(REOPEN_PAUSE);
        while let Ok(input) = inputs.try_recv() {
            drop(input);
        }
    }
}

impl Driver {
    fn open(
        config: DriverConfig,
        peers: Arc<Peers>,
        view: watch::Sender<View>,
        waker: SyncSender<Input>,
    ) -> Result<Self, (Box<DriverConfig>, types::StepError)> {
        let opened = match Folder::open(&config.data_dir) {
            Ok(opened) => opened,
            Err(error) => return Err((Box::new(config), error)),
        };
        let Opened { mut folder, node: id, fresh, mut restored } = opened;
        if fresh && config.bootstraps {
            let voters = BTreeMap::from([(id, address_bytes(config.address))]);
            let membership = Membership { voters, learners: BTreeMap::new() };
            restored = match folder.bootstrap(membership) {
                Ok(restored) => restored,
                Err(error) => return Err((Box::new(config), error)),
            };
            log::info!(node:% = id; "started a new cluster");
        }
        let state = restored.snapshot.as_ref().map(|it| Replicated::decode(&it.data));
        let state = match state.transpose() {
            Ok(state) => state.unwrap_or_default(),
            Err(error) => return Err((Box::new(config), error)),
        };
        let applied = restored.snapshot.as_ref().map_or(LogIndex(0), |it| it.index);
        log::info!(node:% = id, fresh, version:% = state.plan.version, applied:% = applied;
            "opened the data folder");
        // If the queue is full, the driver is awake and checks for completed writes anyway.
        let journal = folder.spawn(move || drop(waker.try_send(Input::Written)));
        let journal = match journal {
            Ok(journal) => journal,
            Err(error) => return Err((Box::new(config), error)),
        };
        let node = Node::new(node_config(id), restored);
        let now = Instant::now();
        Ok(Self {
            config,
            peers,
            view,
            id,
            node,
            journal,
            state,
            applied,
            pending_orders: Vec::new(),
            pending_reads: HashMap::new(),
            confirmations: Confirmations::new(),
            confirmed_reads: Vec::new(),
            next_read: 0,
            joins: BTreeMap::new(),
            last_heard: HashMap::new(),
            sender_addresses: HashMap::new(),
            leader_seen: now,
            last_repair: now,
            resigned: false,
        })
    }

    /// Handles inputs and ticks until the inputs end.
    fn run(&mut self, inputs: &Receiver<Input>) -> StepResult<()> {
        let mut tick = Instant::now() + TICK;
        loop {
            let wait = tick.saturating_duration_since(Instant::now());
            match inputs.recv_timeout(wait) {
                Ok(input) => self.handle(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            while let Ok(input) = inputs.try_recv() {
                self.handle(input);
            }
            self.handle_writes()?;
            let now = Instant::now();
            if now >= tick {
                self.node.tick();
                // After a stall only one tick counts: heartbeats may be waiting in the queue.
                tick = now + TICK;
            }
            self.ask_leader(now);
            self.process_ready()?;
            if now.duration_since(self.last_repair) >= REPAIR_INTERVAL {
                self.last_repair = now;
                self.repair(now);
                self.process_ready()?;
            }
            self.publish();
            self.confirmations.answer_applied(self.applied);
        }
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Step(message, from) => {
                self.last_heard.insert(message.from, Instant::now());
                self.sender_addresses.insert(message.from, from);
                self.node.step(message);
            }
            Input::Join { node, address, relayed } => self.handle_join(node, address, relayed),
            Input::Put(put, reply) => self.handle_put(put, reply),
            Input::Evacuate(order, reply) => {
                self.propose(&Command::Evacuation(order), reply);
            }
            Input::Store(command) => self.store(&command),
            Input::Read(reply) => self.handle_read(reply),
            Input::ConfirmView(reply) => self.confirmations.add(reply),
            Input::Confirm { ticket, from } => self.read_for(ticket, from),
            Input::Confirmed { ticket, index } => self.confirmations.record_answer(ticket, index),
            Input::Resign => {
                self.resigned = true;
                // Fails on a node that does not lead: it has no leadership to transfer.
                let _ = self.node.transfer(None);
            }
            Input::Written => {}
        }
    }

    /// Sends the messages that waited for writes that have completed.
    fn handle_writes(&mut self) -> StepResult<()> {
        while let Some(saved) = self.journal.next_saved(&mut self.node)? {
            if saved.took > SLOW_WRITE {
                log::warn!(ms = saved.took.as_millis() as u64; "the disk was slow to sync");
            }
            for message in saved.messages {
                self.send(message);
            }
        }
        Ok(())
    }

    fn address(&self, id: NodeId) -> Option<SocketAddr> {
        let membership = self.node.membership();
        let bytes = membership.voters.get(&id).or_else(|| membership.learners.get(&id));
        bytes.and_then(|it| address_of(it)).or_else(|| self.sender_addresses.get(&id).copied())
    }

    /// Starts writes, sends messages, applies committed entries and answers callers until nothing is
    /// left to do.
    fn process_ready(&mut self) -> StepResult<()> {
        while self.node.has_work() {
            let mut ready = self.node.ready();
            let messages = self.journal.write(&mut ready)?;
            if let Some(snapshot) = &ready.snapshot {
                self.state = Replicated::decode(&snapshot.data)?;
                self.applied = snapshot.index;
            }
            for message in ready.immediate.into_iter().chain(messages) {
                self.send(message);
            }
            let mut committed = Vec::new();
            for entry in ready.committed {
                self.applied = entry.index;
                self.apply(entry.payload)?;
                committed.push(Position { term: entry.term, index: entry.index });
            }
            // Published before it is acknowledged. In the other order an entry that asks for a plan
            // right after its acknowledgement gets no answer (in 4 of 4 test runs with 400 plans each).
            if !committed.is_empty() {
                self.publish();
            }
            for position in committed {
                self.answer_order(position);
            }
            self.handle_reads(ready.reads, ready.failed_reads);
            self.answer_reads();
        }
        if self.journal.log_size().0 > MAX_LOG_BYTES && !self.journal.is_compacting() {
            self.compact()?;
        }
        Ok(())
    }

    fn send(&self, message: Message) {
        if let Some(address) = self.address(message.to) {
            self.peers.send(address, PeerMessage::Log(message, self.config.address));
        }
    }

    fn compact(&mut self) -> StepResult<()> {
        let Some(head) = self.node.snapshot_head(self.applied) else { return Ok(()) };
        let snapshot = Snapshot { data: self.state.encode(), ..head };
        self.journal.snapshot(&self.node, snapshot)
    }
}

fn node_config(id: NodeId) -> Config {
    Config {
        id,
        election_ticks: ELECTION_TICKS,
        first_ticks: FIRST_ELECTION_TICKS,
        heartbeat_ticks: HEARTBEAT_TICKS,
        lag_ticks: LAG_TICKS,
        stall_ticks: STALL_TICKS,
        transfer_ticks: TRANSFER_TICKS,
        max_entries: 64,
        max_bytes: 1 << 20,
        part_bytes: SNAPSHOT_PART_BYTES,
        seed: rand::random(),
    }
}
