//! The connections that this member opens to the other members.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use consensus::Message;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout_at};
use types::{StepResult, VmName};
use wire::session::Ticket;
use wire::{Hello, Kind, Secret};

use crate::announcements::PeerAnnouncements;
use crate::core::Outbox;
use crate::protocol::{Announce, MemberMessage, MemberReply, Reply, TimeSpan, UsageRow};
use crate::request::{LeaderRequest, LeaderResult, RequestError};

/// The shortest delay before the next attempt to connect. It doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// The longest delay before the next attempt to connect.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// The connections to all other members.
pub(crate) struct Peers {
    links: BTreeMap<VmName, Arc<Link>>,
    announcements: Arc<PeerAnnouncements>,
}

/// The connection to one other member.
struct Link {
    address: SocketAddr,
    sender: ArcSwapOption<wire::Sender<MemberMessage>>,
    waiting: Mutex<HashMap<Ticket, oneshot::Sender<Reply>>>,
    next: AtomicU64,
    /// The number of connections established so far.
    connections: AtomicU64,
}

/// The data for opening connections to the other members.
pub(crate) struct Dialer {
    pub(crate) secret: Secret,
    pub(crate) me: Hello,
    /// Creates the member's current announcement.
    pub(crate) announce: Box<dyn Fn() -> Announce + Send + Sync>,
}

/// Reason why another member gave no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoReply {
    /// The request was not sent.
    NotSent,
    /// The request was sent, and no reply came.
    Lost,
}

impl Peers {
    /// Creates the links; [`Peers::dial`] connects them.
    pub(crate) fn new(others: &[settings::Member], announcements: Arc<PeerAnnouncements>) -> Self {
        let link = |it: &settings::Member| {
            let link = Link {
                address: it.wire,
                sender: ArcSwapOption::empty(),
                waiting: Mutex::default(),
                next: AtomicU64::new(1),
                connections: AtomicU64::new(0),
            };
            (it.vm.clone(), Arc::new(link))
        };
        Self { links: others.iter().map(link).collect(), announcements }
    }

    /// Connects every link and keeps it connected, in tasks on the current tokio runtime.
    pub(crate) fn dial(&self, dialer: Dialer) -> Vec<tokio::task::JoinHandle<()>> {
        let dialer = Arc::new(dialer);
        let dial = |(vm, link): (&VmName, &Arc<Link>)| {
            tokio::spawn(keep_connected(vm.clone(), Arc::clone(link), Arc::clone(&dialer)))
        };
        self.links.iter().map(dial).collect()
    }

    /// Returns the VMs of the other members and whether each is connected.
    pub(crate) fn connected(&self) -> Vec<(VmName, bool)> {
        let row = |(vm, link): (&VmName, &Arc<Link>)| (vm.clone(), link.is_connected());
        self.links.iter().map(row).collect()
    }

    /// Returns the leader that the other members announce.
    pub(crate) fn leader(&self) -> Option<VmName> {
        self.announcements.leader()
    }

    /// Returns the VMs of the other members and the number of the connection to each.
    pub(crate) fn connections(&self) -> Vec<(VmName, u64)> {
        let number = |(vm, link): (&VmName, &Arc<Link>)| {
            (vm.clone(), link.connections.load(Ordering::Acquire))
        };
        self.links.iter().map(number).collect()
    }

    /// Sends a message to one member if it is connected. Returns whether the connection accepted
    /// it.
    pub(crate) fn send(&self, vm: &VmName, message: &MemberMessage) -> bool {
        self.links.get(vm).is_some_and(|it| it.send(message))
    }

    /// Sends a message to every connected member.
    pub(crate) fn send_all(&self, message: &MemberMessage) {
        for link in self.links.values() {
            link.send(message);
        }
    }

    /// Sends a request to the member on `vm`, which must lead in order to serve it.
    pub(crate) async fn request(
        &self,
        vm: &VmName,
        request: LeaderRequest,
        deadline: Instant,
    ) -> LeaderResult {
        match self
            .call(vm, deadline, |ticket| MemberMessage::LeaderRequest { ticket, request })
            .await
        {
            Ok(Reply::LeaderResult(answer)) => answer,
            Err(NoReply::NotSent) => Err(RequestError::NotRun(format!("{vm} is not connected"))),
            Ok(_) | Err(NoReply::Lost) => {
                Err(RequestError::Uncertain(format!("the answer of {vm} was lost")))
            }
        }
    }

    /// Asks the member on `vm` not to start a cluster for a while.
    pub(crate) async fn reserve(
        &self,
        vm: &VmName,
        deadline: Instant,
    ) -> Result<Result<(), String>, NoReply> {
        match self.call(vm, deadline, |ticket| MemberMessage::Reserve { ticket }).await? {
            Reply::Reserve(reserved) => Ok(reserved),
            _ => Err(NoReply::Lost),
        }
    }

    /// Asks the member on `vm` for the stage usage that its entries reported.
    pub(crate) async fn report(
        &self,
        vm: &VmName,
        span: TimeSpan,
        deadline: Instant,
    ) -> Result<Vec<UsageRow>, NoReply> {
        match self.call(vm, deadline, |ticket| MemberMessage::Report { ticket, span }).await? {
            Reply::Report(rows) => Ok(rows),
            _ => Err(NoReply::Lost),
        }
    }

    async fn call(
        &self,
        vm: &VmName,
        deadline: Instant,
        message: impl FnOnce(Ticket) -> MemberMessage,
    ) -> Result<Reply, NoReply> {
        let link = self.links.get(vm).ok_or(NoReply::NotSent)?;
        let sender = link.sender.load_full().ok_or(NoReply::NotSent)?;
        let ticket = link.next.fetch_add(1, Ordering::Relaxed);
        let (responder, receiver) = oneshot::channel();
        link.waiting().insert(ticket, responder);
        if sender.try_send(&message(ticket)).is_err() {
            link.waiting().remove(&ticket);
            return Err(NoReply::NotSent);
        }
        // The connection may have ended, and its waiting requests may have been cleared, after the
        // sender was loaded and before this ticket was inserted. In that case only the deadline
        // ends the wait.
        let reply = timeout_at(deadline, receiver).await;
        link.waiting().remove(&ticket);
        match reply {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) | Err(_) => Err(NoReply::Lost),
        }
    }
}

impl Link {
    fn waiting(&self) -> MutexGuard<'_, HashMap<Ticket, oneshot::Sender<Reply>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_connected(&self) -> bool {
        self.sender.load().is_some()
    }

    fn send(&self, message: &MemberMessage) -> bool {
        self.sender.load_full().is_some_and(|it| it.try_send(message).is_ok())
    }
}

async fn keep_connected(vm: VmName, link: Arc<Link>, dialer: Arc<Dialer>) {
    let mut backoff = MIN_BACKOFF;
    loop {
        let started = Instant::now();
        if let Err(e) = serve(&vm, &link, &dialer).await {
            log::debug!(vm:% = vm; "the connection to a member ended and will be reopened: {e}");
        }
        link.sender.store(None);
        link.waiting().clear();
        backoff = if started.elapsed() > MAX_BACKOFF {
            MIN_BACKOFF
        } else {
            (backoff * 2).min(MAX_BACKOFF)
        };
        sleep(backoff).await;
    }
}

async fn serve(vm: &VmName, link: &Link, dialer: &Dialer) -> StepResult<()> {
    let connection =
        wire::connect(link.address, &dialer.secret, dialer.me.clone(), Kind::Member).await?;
    if connection.hello().vm != *vm {
        let found = connection.hello().vm.clone();
        log::error!(vm:% = vm, found:% = found;
            "another VM answers at this member's address; check the addresses in the settings");
        return Ok(());
    }
    let (sender, mut receiver) = connection.split::<MemberMessage, MemberReply>();
    // The receiver ignores consensus messages until it knows the cluster of this member.
    sender.send(&MemberMessage::Announce((dialer.announce)())).await?;
    link.connections.fetch_add(1, Ordering::AcqRel);
    link.sender.store(Some(Arc::new(sender)));
    while let Some(MemberReply { ticket, reply }) = receiver.recv().await? {
        let responder = link.waiting().remove(&ticket);
        if let Some(responder) = responder {
            let _ = responder.send(reply);
        }
    }
    Ok(())
}

/// Sends the core loop's consensus messages to the other members.
pub(crate) struct PeerOutbox(pub(crate) Arc<Peers>);

impl Outbox for PeerOutbox {
    fn send(&self, message: Message, vm: Option<VmName>) {
        // A joining node knows its leader before it knows the membership.
        let vm = vm.or_else(|| self.0.announcements.vm_of(message.to));
        if let Some(vm) = vm {
            self.0.send(&vm, &MemberMessage::Consensus(message));
        }
    }
}
