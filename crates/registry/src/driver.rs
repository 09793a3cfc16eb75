//! The thread that owns the replicated log and the plan; another one writes to the data folder.
//!
//! A slow disk holds up what is to be written, and neither heartbeats nor the confirmation of reads.
//! The HTTP side runs elsewhere.

mod answers;
mod confirm;
mod membership;
mod view;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender};
use std::time::{Duration, Instant};

use consensus::{Config, Membership, Message, Node, Payload, Position, Role, Snapshot};
use replica::Journal;
use tokio::sync::{oneshot, watch};
use types::{LogIndex, NodeId, StepResult};

use crate::folder::{Folder, LOG_LIMIT, Opened, decode, encode};
use crate::message::PeerMessage;
use crate::peers::Peers;
use crate::plan::{Held, Put};
use crate::repair::{address_bytes, address_of};

use self::answers::Reader;
use self::confirm::Confirms;
pub(crate) use self::view::View;

/// The log's unit of time.
const TICK: Duration = Duration::from_millis(50);

/// The shortest election timeout in ticks; the longest is twice this. Far above a usual sync of
/// 5 ms, and low enough that an operator's order finds a new leader within its 4 s.
const ELECTION_TICKS: u32 = 14;

/// The shortest first election timeout after a start, in ticks: members that start together need some
/// 100 ms to reach each other, and the draws must differ by more than a vote takes.
const FIRST_TICKS: u32 = 5;

/// The time between two heartbeats, in ticks.
const HEARTBEAT_TICKS: u32 = 3;

/// How often the leader looks at the membership, and a node without a leader asks to take part.
const REPAIR_PERIOD: Duration = Duration::from_millis(150);

/// A write that takes longer is logged.
const SLOW_WRITE: Duration = Duration::from_millis(300);

/// After how long a leader hands over whose disk lacks what others hold, in ticks.
const LAG_TICKS: u32 = 60;

/// After how long a member counts as silent whose disk does not answer, in ticks.
const STALL_TICKS: u32 = 60;

/// How long a handover may take while the heir answers, in ticks.
const TRANSFER_TICKS: u32 = 40;

/// The pause before a data folder that failed is opened again.
const REOPEN_PAUSE: Duration = Duration::from_millis(400);

/// The part of a snapshot that one message carries, in bytes.
const SNAPSHOT_PART: usize = 256 << 10;

/// What the driver is asked.
pub(crate) enum Input {
    /// A message of another member.
    Step(Message, SocketAddr),
    /// A node asks to take part.
    Join { node: NodeId, address: SocketAddr, relayed: bool },
    /// An order to hold a plan; answered once it is committed.
    Put(Put, oneshot::Sender<Answer>),
    /// A read that must not be older than anything acknowledged before.
    Read(oneshot::Sender<Answer>),
    /// Asks whether the plan that is shown is the newest that was acknowledged; answered once a quorum
    /// has confirmed so after the question, and the plan is shown.
    ConfirmView(oneshot::Sender<()>),
    /// Another member asks the same of the leader.
    Confirm { ticket: u64, from: SocketAddr },
    /// The leader's answer to this member's question.
    Confirmed { ticket: u64, index: LogIndex },
    /// Hands leadership over, before the process ends.
    Resign,
    /// A write to the data folder has ended.
    Written,
}

/// The driver's answer to an order or a read.
#[derive(Clone, Debug)]
pub(crate) enum Answer {
    /// Committed, or confirmed by a quorum: the plan that is held.
    Held(Arc<Held>),
    /// This member does not lead; the leader's address, if known.
    Elsewhere(Option<SocketAddr>),
    /// Too few voters hold the log for the losses that must be borne.
    Thin,
}

/// What the driver needs.
pub(crate) struct DriverConfig {
    pub(crate) data_dir: PathBuf,
    pub(crate) address: SocketAddr,
    /// Whether this member begins a new cluster in an empty folder.
    pub(crate) founds: bool,
    /// How many members may be lost at once.
    pub(crate) losses: usize,
}

struct Driver {
    config: DriverConfig,
    peers: Arc<Peers>,
    view: watch::Sender<View>,
    id: NodeId,
    node: Node,
    journal: Journal,
    held: Arc<Held>,
    applied: LogIndex,
    puts: Vec<(Position, oneshot::Sender<Answer>)>,
    reads: HashMap<u64, Reader>,
    confirms: Confirms,
    confirmed: Vec<(u64, LogIndex)>,
    next_read: u64,
    joins: BTreeMap<SocketAddr, (NodeId, Instant)>,
    heard: HashMap<NodeId, Instant>,
    /// Where senders of messages are reached.
    known: HashMap<NodeId, SocketAddr>,
    led_since: Instant,
    repaired: Instant,
    resigned: bool,
}

/// Runs the driver until its inputs end. A data folder that fails is opened again and again:
/// meanwhile the member takes no part, and others lead.
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
                let ended = driver.turns(&inputs);
                config = driver.config;
                // A folder that was opened once is no new cluster's beginning.
                config.founds = false;
                ended
            }
            Err((given, error)) => {
                config = *given;
                Err(error)
            }
        };
        let Err(error) = ended else { return };
        log::error!(cause:% = error; "the data folder failed; the member steps back");
        view.send_modify(|it| {
            *it =
                View { held: Arc::clone(&it.held), members: it.members.clone(), ..View::default() };
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
        if fresh && config.founds {
            let voters = BTreeMap::from([(id, address_bytes(config.address))]);
            let membership = Membership { voters, learners: BTreeMap::new() };
            restored = match folder.found(membership) {
                Ok(restored) => restored,
                Err(error) => return Err((Box::new(config), error)),
            };
            log::info!(node:% = id; "began a new cluster");
        }
        let held = restored.snapshot.as_ref().map(|it| decode::<Held>(&it.data));
        let held = match held.transpose() {
            Ok(held) => Arc::new(held.unwrap_or_default()),
            Err(error) => return Err((Box::new(config), error)),
        };
        let applied = restored.snapshot.as_ref().map_or(LogIndex(0), |it| it.index);
        log::info!(node:% = id, fresh, version:% = held.version, applied:% = applied;
            "opened the data folder");
        // A driver with so many inputs looks by itself.
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
            held,
            applied,
            puts: Vec::new(),
            reads: HashMap::new(),
            confirms: Confirms::new(),
            confirmed: Vec::new(),
            next_read: 0,
            joins: BTreeMap::new(),
            heard: HashMap::new(),
            known: HashMap::new(),
            led_since: now,
            repaired: now,
            resigned: false,
        })
    }

    /// Takes turns until the inputs end.
    fn turns(&mut self, inputs: &Receiver<Input>) -> StepResult<()> {
        let mut tick = Instant::now() + TICK;
        loop {
            let wait = tick.saturating_duration_since(Instant::now());
            match inputs.recv_timeout(wait) {
                Ok(input) => self.take(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            while let Ok(input) = inputs.try_recv() {
                self.take(input);
            }
            self.take_written()?;
            let now = Instant::now();
            if now >= tick {
                self.node.tick();
                // After a stall one tick counts: heartbeats may wait in the queue.
                tick = now + TICK;
            }
            self.ask_leader(now);
            self.work()?;
            if now.duration_since(self.repaired) >= REPAIR_PERIOD {
                self.repaired = now;
                self.repair(now);
                self.work()?;
            }
            self.publish();
            self.confirms.applied(self.applied);
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Step(message, from) => {
                self.heard.insert(message.from, Instant::now());
                self.known.insert(message.from, from);
                self.node.step(message);
            }
            Input::Join { node, address, relayed } => self.take_join(node, address, relayed),
            Input::Put(put, reply) => self.take_put(put, reply),
            Input::Read(reply) => self.take_read(reply),
            Input::ConfirmView(reply) => self.confirms.add(reply),
            Input::Confirm { ticket, from } => self.read_for(ticket, from),
            Input::Confirmed { ticket, index } => self.confirms.answered(ticket, index),
            Input::Resign => {
                self.resigned = true;
                // A node that does not lead has nothing to hand over.
                let _ = self.node.transfer(None);
            }
            Input::Written => {}
        }
    }

    /// Goes on after writes that have ended: what waited for them may go out.
    fn take_written(&mut self) -> StepResult<()> {
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

    fn take_put(&mut self, put: Put, reply: oneshot::Sender<Answer>) {
        if self.node.status().role != Role::Leader {
            self.answer_elsewhere(reply);
            return;
        }
        // What goes wrong: an order that fewer voters hold than may be lost with their disks is
        // acknowledged and then gone.
        if self.node.membership().quorum() <= self.config.losses {
            let _ = reply.send(Answer::Thin);
            return;
        }
        if put.version <= self.held.version {
            self.take_read(reply);
            return;
        }
        match self.node.propose(encode(&put)) {
            Ok(position) => self.puts.push((position, reply)),
            Err(_) => self.answer_elsewhere(reply),
        }
    }

    fn take_read(&mut self, reply: oneshot::Sender<Answer>) {
        self.next_read += 1;
        let id = self.next_read;
        if self.node.read(id).is_err() {
            self.answer_elsewhere(reply);
            return;
        }
        self.reads.insert(id, Reader::Operator(reply));
    }

    fn address(&self, id: NodeId) -> Option<SocketAddr> {
        let membership = self.node.membership();
        let bytes = membership.voters.get(&id).or_else(|| membership.learners.get(&id));
        bytes.and_then(|it| address_of(it)).or_else(|| self.known.get(&id).copied())
    }

    /// Orders writes, sends, applies and answers until there is nothing left to do.
    fn work(&mut self) -> StepResult<()> {
        while self.node.has_work() {
            let mut ready = self.node.ready();
            let messages = self.journal.write(&mut ready)?;
            if let Some(snapshot) = &ready.snapshot {
                self.held = Arc::new(decode(&snapshot.data)?);
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
            // Shown before it is acknowledged: an entry that asked for a plan right after its
            // acknowledgement was not answered at all, in 4 of 4 runs of 400 plans.
            if !committed.is_empty() {
                self.publish();
            }
            for position in committed {
                self.answer_put(position);
            }
            self.take_reads(ready.reads, ready.failed_reads);
            self.answer_reads();
        }
        if self.journal.log_size().0 > LOG_LIMIT && !self.journal.is_compacting() {
            self.compact()?;
        }
        Ok(())
    }

    fn send(&self, message: Message) {
        if let Some(address) = self.address(message.to) {
            self.peers.send(address, PeerMessage::Log(message, self.config.address));
        }
    }

    fn apply(&mut self, payload: Payload) -> StepResult<()> {
        match payload {
            Payload::Empty => {}
            Payload::Command(bytes) => {
                let put: Put = decode(&bytes)?;
                let version = put.version;
                let mut held = Held::clone(&self.held);
                if held.apply(put) {
                    self.held = Arc::new(held);
                    log::info!(version:% = version, index:% = self.applied; "a plan is held");
                }
            }
            Payload::Membership(it) => {
                log::info!(voters = it.voters.len(), learners = it.learners.len(),
                    index:% = self.applied; "the membership changed");
            }
        }
        Ok(())
    }

    fn compact(&mut self) -> StepResult<()> {
        let Some(head) = self.node.snapshot_head(self.applied) else { return Ok(()) };
        let snapshot = Snapshot { data: encode(&*self.held), ..head };
        self.journal.snapshot(&self.node, snapshot)
    }
}

fn node_config(id: NodeId) -> Config {
    Config {
        id,
        election_ticks: ELECTION_TICKS,
        first_ticks: FIRST_TICKS,
        heartbeat_ticks: HEARTBEAT_TICKS,
        lag_ticks: LAG_TICKS,
        stall_ticks: STALL_TICKS,
        transfer_ticks: TRANSFER_TICKS,
        max_entries: 64,
        max_bytes: 1 << 20,
        part_bytes: SNAPSHOT_PART,
        seed: rand::random(),
    }
}
