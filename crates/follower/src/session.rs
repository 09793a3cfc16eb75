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

use crate::confirm_requests::ConfirmRequests;
use crate::outbox::Outbox;
use crate::requests::{Answer, Claimed, Requests};
use crate::shared::{Command, Shared};
use crate::{
    CONFIRM_TIMEOUT, ConfirmTimer, DigestFilter, Event, FollowerConfig, LoadReporter,
    MemberSelector, ServiceSnapshot, Versions, merge_usage,
};

/// How often the entry requests a confirmation of the version in force.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(1_000);

/// The minimum interval between log lines about failed sessions.
const FAILURE_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Why a session ended.
enum SessionEnd {
    /// The handle was dropped.
    Dropped,
    /// The member drains.
    Drained,
    /// The connection ended, or the member does not confirm a quorum.
    Failed(StepError),
}

type EntrySender = Sender<EntryMessage>;

/// The state of the task, which outlives the individual sessions.
pub(crate) struct Task {
    config: FollowerConfig,
    secret: Secret,
    shared: Arc<Shared>,
    outbox: Outbox,
    member_selector: MemberSelector,
    versions: Versions,
    requests: Requests,
    ticket: Ticket,
    confirm_requests: ConfirmRequests,
    held_snapshot: Option<Arc<ServiceSnapshot>>,
    rejected_version: Option<(Version, String)>,
    /// The document that this session received last, to which edits apply.
    document: Option<(Version, Document)>,
    usage: UsageReport,
    draining: bool,
    load_reporter: LoadReporter,
    digest_filter: DigestFilter,
    load_names: LoadNames,
    failure_log: LogThrottle,
}

impl Task {
    pub(crate) fn new(
        config: FollowerConfig,
        secret: Secret,
        shared: Arc<Shared>,
        events: mpsc::Sender<Event>,
    ) -> Self {
        Self {
            member_selector: MemberSelector::new(&config.control),
            load_reporter: LoadReporter::new(config.vm.clone(), config.owner),
            config,
            secret,
            shared,
            outbox: Outbox::new(events),
            versions: Versions::default(),
            requests: Requests::default(),
            ticket: 0,
            confirm_requests: ConfirmRequests::default(),
            held_snapshot: None,
            rejected_version: None,
            document: None,
            usage: UsageReport::default(),
            draining: false,
            digest_filter: DigestFilter::default(),
            load_names: LoadNames::default(),
            failure_log: LogThrottle::new(FAILURE_LOG_INTERVAL),
        }
    }

    /// Follows one member after another until the handle is dropped.
    pub(crate) async fn run(mut self, mut commands: mpsc::Receiver<Command>, datagrams: Datagrams) {
        while let Some((member, wait)) = self.member_selector.next(Instant::now()) {
            let Some(connected) = self.connect(member, wait, &mut commands).await else {
                return;
            };
            let end = match connected {
                Ok(connection) => self.follow(connection, &mut commands, &datagrams).await,
                Err(error) => SessionEnd::Failed(error),
            };
            match end {
                SessionEnd::Dropped => return,
                SessionEnd::Drained => self.member_selector.drained(member, Instant::now()),
                SessionEnd::Failed(error) => self.failed(member, &error),
            }
        }
        log::error!("no control member is configured; add one to `members` in the settings");
    }

    /// Connects after `wait`, and queues commands meanwhile. Returns `None` once the handle is
    /// dropped.
    async fn connect(
        &mut self,
        member: SocketAddr,
        wait: Duration,
        commands: &mut mpsc::Receiver<Command>,
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
                command = commands.recv() => { self.queue_command(command?); }
            }
        }
    }

    /// Follows one member until the session ends.
    async fn follow(
        &mut self,
        connection: Connection,
        commands: &mut mpsc::Receiver<Command>,
        datagrams: &Datagrams,
    ) -> SessionEnd {
        let member = connection.address();
        let (sender, mut receiver) = connection.split::<EntryMessage, ControlMessage>();
        self.start_session(member, &sender);
        let mut confirm_timer = ConfirmTimer::new(Instant::now(), receiver.received());
        let mut ticks = interval(CONFIRM_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let end = loop {
            let now = Instant::now();
            if confirm_timer.has_expired(now, receiver.received()) {
                let reason = format!("no quorum confirmed for {CONFIRM_TIMEOUT:?}");
                break SessionEnd::Failed(StepError::new("confirm version", reason).at(member));
            }
            self.send_due(&sender, now);
            let next_due = self.requests.next_due().unwrap_or(now + CONFIRM_INTERVAL);
            let wake = next_due.min(confirm_timer.deadline());
            tokio::select! {
                message = receiver.recv() => match message {
                    Ok(Some(ControlMessage::Leave)) => break SessionEnd::Drained,
                    Ok(Some(message)) => {
                        if self.handle_message(message, &sender) {
                            self.member_selector.confirmed(member);
                            confirm_timer = ConfirmTimer::new(Instant::now(), receiver.received());
                        }
                    }
                    Ok(None) => break SessionEnd::Failed(
                        StepError::new("follow", "closed").at(member)
                    ),
                    Err(error) => break SessionEnd::Failed(error),
                },
                command = commands.recv() => match command {
                    Some(command) => self.handle_command(command, member, &sender, datagrams).await,
                    None => break SessionEnd::Dropped,
                },
                digest = datagrams.recv::<Digest>() => self.handle_datagram(digest, member),
                _ = ticks.tick() => self.tick(&sender),
                () = sleep_until(wake.into()) => {}
            }
        };
        // Without this, the member would keep the session until it detects the silence.
        sender.abort();
        self.requests.connection_lost(Instant::now());
        self.shared.update_view(|view| view.member = None);
        end
    }

    fn start_session(&mut self, member: SocketAddr, sender: &EntrySender) {
        log::info!(peer = member.to_string(); "started a session with a control member");
        self.shared.update_view(|view| {
            view.member = Some(member);
            view.sessions += 1;
        });
        self.confirm_requests.clear();
        self.outbox.start_session();
        self.load_names.clear();
        self.document = None;
        self.load_reporter.reset();
        let FollowerConfig { vm, site, owner, .. } = self.config.clone();
        let have = self.versions.have();
        send(sender, &EntryMessage::Follow { vm, site, owner, have });
        if self.draining {
            send(sender, &EntryMessage::Draining);
        }
        self.report_rejected_version(sender);
    }

    fn failed(&mut self, member: SocketAddr, error: &StepError) {
        self.member_selector.failed(member, Instant::now(), &mut rand::rng());
        if let Some(held) = self.failure_log.allow() {
            log::warn!(peer = member.to_string(), held;
                "the session with a control member failed; reconnecting: {error}");
        }
    }

    /// Requests a confirmation and performs the periodic work.
    fn tick(&mut self, sender: &EntrySender) {
        self.ticket += 1;
        let (ticket, have) = (self.ticket, self.versions.have());
        self.confirm_requests.add(ticket, have);
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

    fn send_due(&mut self, sender: &EntrySender, now: Instant) {
        let send = |message: &EntryMessage| sender.try_send(message).is_ok();
        self.requests.send_due(now, &mut self.ticket, send);
    }

    /// Queues a command while there is no session.
    fn queue_command(&mut self, command: Command) {
        match command {
            Command::Request(pending) => self.requests.add(pending, Instant::now()),
            Command::Usage(report) => merge_usage(&mut self.usage, report),
            Command::Load(_) => {}
            Command::Drain => self.draining = true,
        }
    }

    async fn handle_command(
        &mut self,
        command: Command,
        member: SocketAddr,
        sender: &EntrySender,
        datagrams: &Datagrams,
    ) {
        match command {
            Command::Load(in_flight) => {
                let report = self.load_reporter.report(&in_flight, Instant::now());
                if let Err(error) = datagrams.send(member, &report).await {
                    log::debug!("a load report could not be sent: {error}");
                }
            }
            Command::Drain => {
                self.draining = true;
                send(sender, &EntryMessage::Draining);
            }
            command => self.queue_command(command),
        }
    }

    /// Handles a message. Returns whether it is a confirmation by a quorum.
    fn handle_message(&mut self, message: ControlMessage, sender: &EntrySender) -> bool {
        let now = Instant::now();
        match message {
            ControlMessage::Service { version, document } => {
                self.handle_offer(version, &document, sender);
                self.document = Some((version, document));
            }
            ControlMessage::Edit { version, base, edit } => {
                self.apply_edit(version, base, &edit, sender);
            }
            ControlMessage::Confirmed { ticket, version } => {
                return self.handle_confirmation(ticket, version);
            }
            ControlMessage::Claim { ticket, answer } => {
                self.requests.answered(ticket, Answer::Claim(Claimed::certain(answer)));
            }
            ControlMessage::Committed { ticket } => {
                self.requests.answered(ticket, Answer::Committed);
            }
            ControlMessage::Rejected { ticket, reason } => {
                log::debug!("a claim operation was rejected and will be sent again: {reason}");
                self.requests.rejected(ticket, now);
            }
            ControlMessage::Uncertain { ticket, reason } => {
                log::debug!(
                    "the result of a claim operation is uncertain, it will be sent again: {reason}"
                );
                self.requests.uncertain(ticket, now);
            }
            ControlMessage::Digest(digest) => {
                self.digest_filter.record_stream(digest.sequence, now);
                self.outbox.digest(digest);
            }
            ControlMessage::Loads(numbered) => {
                if let Some(digest) = self.load_names.decode(numbered) {
                    self.digest_filter.record_stream(digest.sequence, now);
                    self.outbox.digest(digest);
                }
                let dropped = self.load_names.dropped();
                if self.shared.view.load().dropped_digests != dropped {
                    self.shared.update_view(|view| view.dropped_digests = dropped);
                }
            }
            ControlMessage::Shares(shares) => self.outbox.shares(shares),
            ControlMessage::Leave => {}
        }
        false
    }

    fn handle_datagram(&mut self, received: StepResult<(SocketAddr, Digest)>, member: SocketAddr) {
        match received {
            Ok((from, digest)) if from == member => {
                if self.digest_filter.accept_datagram(digest.sequence, Instant::now()) {
                    self.outbox.digest(digest);
                }
            }
            Ok(_) => {}
            Err(error) => log::debug!("a datagram could not be received: {error}"),
        }
    }
}

/// Sends a message that is repeated anyway. A full queue or a closed connection is detected
/// elsewhere.
fn send(sender: &EntrySender, message: &EntryMessage) {
    if let Err(error) = sender.try_send(message) {
        log::debug!("a message to the control member was not sent: {error}");
    }
}
