//! The task that holds the session.

mod offers;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval, sleep, sleep_until};
use types::{Digest, Document, StepError, StepResult, Version};
use wire::loads::LoadNames;
use wire::session::{ControlMessage, EntryMessage, Ticket, UsageReport};
use wire::{Connection, Datagrams, Hello, Kind, LogThrottle, Secret, Sender};

use crate::link::{Order, Shared};
use crate::outbox::Outbox;
use crate::questions::Questions;
use crate::requests::{Answer, Claimed, Requests};
use crate::{
    CONFIRM_PATIENCE, Choice, DigestGate, Event, FollowerConfig, LoadDelta, Patience, Snapshot,
    Versions, merge_usage,
};

/// How often a quorum is asked for the version in force.
const CONFIRM_PERIOD: Duration = Duration::from_millis(1_000);

/// How often failures to connect are logged at most.
const FAULT_PERIOD: Duration = Duration::from_secs(5);

/// Why a session ended.
enum End {
    /// The handle was dropped.
    Dropped,
    /// The member drains.
    Left,
    /// The connection ended, or the member is of no use.
    Failed(StepError),
}

type Out = Sender<EntryMessage>;

/// The task's state. It outlives each single session.
pub(crate) struct Task {
    config: FollowerConfig,
    secret: Secret,
    shared: Arc<Shared>,
    outbox: Outbox,
    choice: Choice,
    versions: Versions,
    requests: Requests,
    ticket: Ticket,
    questions: Questions,
    held: Option<Arc<Snapshot>>,
    kept_out: Option<(Version, String)>,
    /// The document that this session sent last, which its edits change.
    document: Option<(Version, Document)>,
    usage: UsageReport,
    draining: bool,
    load: LoadDelta,
    gate: DigestGate,
    names: LoadNames,
    faults: LogThrottle,
}

impl Task {
    pub(crate) fn new(
        config: FollowerConfig,
        secret: Secret,
        shared: Arc<Shared>,
        events: mpsc::Sender<Event>,
    ) -> Self {
        Self {
            choice: Choice::new(&config.control),
            load: LoadDelta::new(config.vm.clone(), config.owner),
            config,
            secret,
            shared,
            outbox: Outbox::new(events),
            versions: Versions::default(),
            requests: Requests::default(),
            ticket: 0,
            questions: Questions::default(),
            held: None,
            kept_out: None,
            document: None,
            usage: UsageReport::default(),
            draining: false,
            gate: DigestGate::default(),
            names: LoadNames::default(),
            faults: LogThrottle::new(FAULT_PERIOD),
        }
    }

    /// Follows one member after the other until the handle is dropped.
    pub(crate) async fn run(mut self, mut orders: mpsc::Receiver<Order>, datagrams: Datagrams) {
        while let Some((member, wait)) = self.choice.next(Instant::now()) {
            let Some(connected) = self.connect(member, wait, &mut orders).await else {
                return;
            };
            let end = match connected {
                Ok(connection) => self.follow(connection, &mut orders, &datagrams).await,
                Err(error) => End::Failed(error),
            };
            match end {
                End::Dropped => return,
                End::Left => self.choice.left(member, Instant::now()),
                End::Failed(error) => self.failed(member, &error),
            }
        }
        log::error!("no control member is configured; name some in `members`");
    }

    /// Connects after `wait` while orders are taken in; `None` once the handle is dropped.
    async fn connect(
        &mut self,
        member: SocketAddr,
        wait: Duration,
        orders: &mut mpsc::Receiver<Order>,
    ) -> Option<StepResult<Connection>> {
        let node = self.config.owner.0;
        let me = Hello { kind: Kind::Entry, vm: self.config.vm.clone(), node };
        let secret = self.secret.clone();
        let opening = async move {
            sleep(wait).await;
            wire::connect(member, &secret, me, Kind::Member).await
        };
        tokio::pin!(opening);
        loop {
            tokio::select! {
                connected = &mut opening => return Some(connected),
                order = orders.recv() => { self.take(order?); }
            }
        }
    }

    /// Follows one member until that ends.
    async fn follow(
        &mut self,
        connection: Connection,
        orders: &mut mpsc::Receiver<Order>,
        datagrams: &Datagrams,
    ) -> End {
        let member = connection.address();
        let (sender, mut receiver) = connection.split::<EntryMessage, ControlMessage>();
        self.opened(member, &sender);
        let mut patience = Patience::new(Instant::now(), receiver.received());
        let mut ticks = interval(CONFIRM_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let end = loop {
            let now = Instant::now();
            if patience.is_over(now, receiver.received()) {
                let why = format!("no quorum confirmed for {CONFIRM_PATIENCE:?}");
                break End::Failed(StepError::new("confirm version", why).at(member));
            }
            self.send_due(&sender, now);
            let due = self.requests.next_due().unwrap_or(now + CONFIRM_PERIOD);
            let wake = due.min(patience.deadline());
            tokio::select! {
                message = receiver.recv() => match message {
                    Ok(Some(ControlMessage::Leave)) => break End::Left,
                    Ok(Some(message)) => {
                        if self.message(message, &sender) {
                            self.choice.good(member);
                            patience = Patience::new(Instant::now(), receiver.received());
                        }
                    }
                    Ok(None) => break End::Failed(StepError::new("follow", "closed").at(member)),
                    Err(error) => break End::Failed(error),
                },
                order = orders.recv() => match order {
                    Some(order) => self.order(order, member, &sender, datagrams).await,
                    None => break End::Dropped,
                },
                digest = datagrams.recv::<Digest>() => self.datagram(digest, member),
                _ = ticks.tick() => self.tick(&sender),
                () = sleep_until(wake.into()) => {}
            }
        };
        // Without this the member would keep the session until it finds it silent.
        sender.abort();
        self.requests.lost(Instant::now());
        self.shared.show(|view| view.member = None);
        end
    }

    fn opened(&mut self, member: SocketAddr, sender: &Out) {
        log::info!(peer = member.to_string(); "follows control");
        self.shared.show(|view| {
            view.member = Some(member);
            view.sessions += 1;
        });
        self.questions.clear();
        self.outbox.opened();
        self.names.clear();
        self.document = None;
        self.load.reset();
        let FollowerConfig { vm, site, owner, .. } = self.config.clone();
        let have = self.versions.have();
        send(sender, &EntryMessage::Follow { vm, site, owner, have });
        if self.draining {
            send(sender, &EntryMessage::Draining);
        }
        self.tell_behind(sender);
    }

    fn failed(&mut self, member: SocketAddr, error: &StepError) {
        self.choice.failed(member, Instant::now(), &mut rand::rng());
        if let Some(held) = self.faults.allow() {
            log::warn!(peer = member.to_string(), held; "control session ended: {error}");
        }
    }

    /// Asks a quorum, and does what is due about once a second.
    fn tick(&mut self, sender: &Out) {
        self.ticket += 1;
        let (ticket, have) = (self.ticket, self.versions.have());
        self.questions.ask(ticket, have);
        send(sender, &EntryMessage::Confirm { ticket, have });
        if self.usage != UsageReport::default() && sender.try_send(&self.usage()).is_ok() {
            self.usage = UsageReport::default();
        }
        self.requests.sweep(Instant::now());
        self.outbox.flush();
    }

    fn usage(&self) -> EntryMessage {
        EntryMessage::Usage(self.usage.clone())
    }

    fn send_due(&mut self, sender: &Out, now: Instant) {
        let send = |message: &EntryMessage| sender.try_send(message).is_ok();
        self.requests.send_due(now, &mut self.ticket, send);
    }

    /// Takes in an order while there is no session.
    fn take(&mut self, order: Order) {
        match order {
            Order::Request(pending) => self.requests.add(pending, Instant::now()),
            Order::Usage(report) => merge_usage(&mut self.usage, report),
            Order::Load(_) => {}
            Order::Drain => self.draining = true,
        }
    }

    async fn order(
        &mut self,
        order: Order,
        member: SocketAddr,
        sender: &Out,
        datagrams: &Datagrams,
    ) {
        match order {
            Order::Load(in_flight) => {
                let report = self.load.report(&in_flight, Instant::now());
                if let Err(error) = datagrams.send(member, &report).await {
                    log::debug!("load not reported: {error}");
                }
            }
            Order::Drain => {
                self.draining = true;
                send(sender, &EntryMessage::Draining);
            }
            order => self.take(order),
        }
    }

    /// Takes a message, and returns whether it is a quorum's confirmation.
    fn message(&mut self, message: ControlMessage, sender: &Out) -> bool {
        let now = Instant::now();
        match message {
            ControlMessage::Service { version, document } => {
                self.offer(version, &document, sender);
                self.document = Some((version, document));
            }
            ControlMessage::Edit { version, base, edit } => {
                self.edit(version, base, &edit, sender);
            }
            ControlMessage::Confirmed { ticket, version } => {
                return self.confirmed(ticket, version);
            }
            ControlMessage::Claim { ticket, answer } => {
                self.requests.answered(ticket, Answer::Claim(Claimed::sure(answer)));
            }
            ControlMessage::Committed { ticket } => {
                self.requests.answered(ticket, Answer::Committed);
            }
            ControlMessage::Rejected { ticket, reason } => {
                log::debug!("operation rejected: {reason}");
                self.requests.rejected(ticket, now);
            }
            ControlMessage::Uncertain { ticket, reason } => {
                log::debug!("operation uncertain: {reason}");
                self.requests.uncertain(ticket, now);
            }
            ControlMessage::Digest(digest) => {
                self.gate.stream(digest.sequence, now);
                self.outbox.digest(digest);
            }
            ControlMessage::Loads(numbered) => {
                if let Some(digest) = self.names.decode(numbered) {
                    self.gate.stream(digest.sequence, now);
                    self.outbox.digest(digest);
                }
                let dropped = self.names.dropped();
                if self.shared.view.load().dropped != dropped {
                    self.shared.show(|view| view.dropped = dropped);
                }
            }
            ControlMessage::Shares(shares) => self.outbox.shares(shares),
            ControlMessage::Leave => {}
        }
        false
    }

    fn datagram(&mut self, received: StepResult<(SocketAddr, Digest)>, member: SocketAddr) {
        match received {
            Ok((from, digest)) if from == member => {
                if self.gate.datagram(digest.sequence, Instant::now()) {
                    self.outbox.digest(digest);
                }
            }
            Ok(_) => {}
            Err(error) => log::debug!("{error}"),
        }
    }
}

/// Sends what is said again in time: a full queue or an ended connection is found elsewhere.
fn send(sender: &Out, message: &EntryMessage) {
    if let Err(error) = sender.try_send(message) {
        log::debug!("{error}");
    }
}
