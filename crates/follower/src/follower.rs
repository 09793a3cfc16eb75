//! The handle of a running session.

use std::fmt;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout_at;
use types::{
    ClaimAnswer, ClaimKey, ClaimRequest, ClaimTicket, Digest, Incarnation, Service, SiteName,
    StepError, StepResult, StoredAnswer, UpstreamName, VmName,
};
use wire::session::{CustomerShare, UsageReport};
use wire::{Datagrams, Secret};

use crate::SessionView;
use crate::requests::{Answer, Claimed, Operation, Pending, SendState};
use crate::session;
use crate::shared::{Command, Shared};

/// The maximum number of events that wait for the entry.
const MAX_QUEUED_EVENTS: usize = 64;

/// The maximum number of commands that wait for the session's task.
const MAX_QUEUED_COMMANDS: usize = 1_024;

/// The age of the latest quorum confirmation beyond which a claim is rejected at once. No quorum
/// exists or can be reached then, and the caller learns so without waiting.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(3);

/// The configuration of a session.
#[derive(Clone, Debug)]
pub struct FollowerConfig {
    /// This VM.
    pub vm: VmName,
    /// This VM's site.
    pub site: SiteName,
    /// The incarnation of this process.
    pub owner: Incarnation,
    /// The addresses of the control members, those of this site first.
    pub control: Vec<SocketAddr>,
    /// The cluster secret.
    pub secret: Vec<u8>,
}

/// The service in force, resolved for this site.
#[derive(Debug)]
pub struct ServiceSnapshot {
    /// The service.
    pub service: Service,
}

/// An event for the entry's router.
#[derive(Debug)]
pub enum Event {
    /// A higher version is in force.
    Service(Arc<ServiceSnapshot>),
    /// A load digest arrived.
    Digest(Digest),
    /// Shares of the customers' limits arrived.
    Shares(Vec<CustomerShare>),
}

/// Reason why a claim operation has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimError {
    /// The operation certainly had and will have no effect.
    Rejected(String),
    /// The operation may have taken effect, or may still do so.
    Uncertain(String),
    /// The key has ended and stays ended.
    Ended(ClaimAnswer),
}

impl fmt::Display for ClaimError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ClaimError::Rejected(why) => write!(f, "claim rejected: {why}"),
            ClaimError::Uncertain(why) => write!(f, "claim uncertain: {why}"),
            ClaimError::Ended(answer) => write!(f, "the key has ended: {answer:?}"),
        }
    }
}

impl std::error::Error for ClaimError {}

/// A running session with the control members. It reconnects, and moves to another member, by
/// itself. Dropping it ends the session and loses the answers that are not stored yet.
#[derive(Debug)]
pub struct Follower {
    shared: Arc<Shared>,
    commands: mpsc::Sender<Command>,
}

impl Follower {
    /// Starts the session on the current tokio runtime. Events arrive through the receiver.
    ///
    /// # Errors
    /// Returns an error if the secret is not valid or no socket can be opened.
    pub fn spawn(config: FollowerConfig) -> StepResult<(Arc<Self>, mpsc::Receiver<Event>)> {
        let secret = Secret::new(&config.secret)?;
        let socket = open_socket(config.control.first().copied())?;
        let datagrams = Datagrams::from_socket(socket, &secret)?;
        let shared = Arc::new(Shared::new());
        let (events, receiver) = mpsc::channel(MAX_QUEUED_EVENTS);
        let (commands, taken) = mpsc::channel(MAX_QUEUED_COMMANDS);
        let task = session::Task::new(config, secret, Arc::clone(&shared), events);
        tokio::spawn(task.run(taken, datagrams));
        Ok((Arc::new(Self { shared, commands }), receiver))
    }

    /// Returns the service in force, or `None` before the first.
    pub fn service(&self) -> Option<Arc<ServiceSnapshot>> {
        self.shared.current.load_full()
    }

    /// Returns the time, on this VM's clock, since the request with the latest quorum confirmation
    /// was sent; `None` before the first one. Only a confirmation of the version in force here
    /// counts: an entry that knows it is behind is not fresh.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.shared.freshness.age(now)
    }

    /// Returns whether control members cannot have declared this entry lost between `since` and
    /// `now`, because the session was confirmed without a gap. A confirmation after a gap proves
    /// nothing about claims made before it.
    pub fn is_steady(&self, since: Instant, now: Instant) -> bool {
        self.shared.freshness.is_steady(since, now)
    }

    /// Returns the state of the session.
    pub fn view(&self) -> Arc<SessionView> {
        self.shared.view.load_full()
    }

    /// Requests a claim, to be answered by `deadline`. The claim is sent again, also over new
    /// connections, while there is time.
    ///
    /// # Errors
    /// Returns `Uncertain` if the answer was lost: the claim may exist in the state, or may come to
    /// exist. Returns `Rejected` if the claim certainly never took effect; without a recent quorum
    /// confirmation it does so at once.
    pub async fn claim(
        &self,
        request: ClaimRequest,
        deadline: Instant,
    ) -> Result<Claimed, ClaimError> {
        if self.age(Instant::now()).is_none_or(|age| age > MAX_CONFIRMATION_AGE) {
            let why = format!("no quorum has answered for {MAX_CONFIRMATION_AGE:?}");
            return Err(ClaimError::Rejected(why));
        }
        match self.request(Operation::Claim(request), deadline).await? {
            Answer::Claim(claimed) => Ok(claimed),
            // The member sent the answer to another kind of operation, so the state of the claim is
            // unknown.
            answer => Err(ClaimError::Uncertain(format!("unexpected answer {answer:?}"))),
        }
    }

    /// Stores the answer of a claim. The operation continues in the background past `deadline`
    /// until it is committed.
    ///
    /// # Errors
    /// Returns `Uncertain` if the answer is not known to be committed by the deadline, and
    /// `Rejected` if too many answers already wait, so that this one will not be stored.
    pub async fn finish(
        &self,
        key: ClaimKey,
        claim_ticket: ClaimTicket,
        answer: StoredAnswer,
        deadline: Instant,
    ) -> Result<(), ClaimError> {
        self.commit(Operation::Finish { key, claim_ticket, answer }, deadline).await
    }

    /// Releases a claim whose call was never sent. Returns once the release is committed.
    ///
    /// # Errors
    /// Returns `Ended` if the key has ended, through any attempt. Returns another error if the
    /// release is not known to be committed by the deadline; the caller must not report `not-run`
    /// then.
    pub async fn release(
        &self,
        key: ClaimKey,
        claim_ticket: ClaimTicket,
        deadline: Instant,
    ) -> Result<(), ClaimError> {
        self.commit(Operation::Release { key, claim_ticket }, deadline).await
    }

    /// Reports usage, which is kept until the session sends it.
    pub fn usage(&self, report: UsageReport) {
        if self.commands.try_send(Command::Usage(report)).is_err() {
            log::warn!("dropped a usage report: too many commands wait for the session");
        }
    }

    /// Reports calls in flight by upstream.
    pub fn load(&self, in_flight: &[(UpstreamName, u32)]) {
        // If the queue is full, the next report replaces this one.
        let _ = self.commands.try_send(Command::Load(in_flight.to_vec()));
    }

    /// Tells the control members that this entry drains.
    pub fn draining(&self) {
        if self.commands.try_send(Command::Drain).is_err() {
            log::warn!("the drain could not be reported: too many commands wait for the session");
        }
    }

    async fn commit(&self, operation: Operation, deadline: Instant) -> Result<(), ClaimError> {
        match self.request(operation, deadline).await? {
            Answer::Committed => Ok(()),
            Answer::Claim(claimed) => Err(ClaimError::Ended(claimed.answer)),
            answer @ Answer::NoRoom => {
                Err(ClaimError::Uncertain(format!("unexpected answer {answer:?}")))
            }
        }
    }

    async fn request(&self, operation: Operation, deadline: Instant) -> Result<Answer, ClaimError> {
        let is_background = operation.is_background();
        let send_state = SendState::default();
        let (reply, answer) = oneshot::channel();
        let command = Command::Request(Pending::new(operation, send_state.clone(), reply));
        match timeout_at(deadline.into(), self.commands.send(command)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return Err(ClaimError::Rejected("the session has ended".to_owned())),
            Err(_) => return Err(ClaimError::Rejected("the session is overloaded".to_owned())),
        }
        let reason = match timeout_at(deadline.into(), answer).await {
            Ok(Ok(Answer::NoRoom)) => {
                let why = "too many claim operations are under way";
                return Err(ClaimError::Rejected(why.to_owned()));
            }
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(_)) => "the session has ended",
            Err(_) => "no answer in time",
        };
        // A background operation is never cancelled, so its result is never certain here.
        if !is_background && send_state.cancel() {
            return Err(ClaimError::Rejected(format!("{reason}, and it certainly has no effect")));
        }
        Err(ClaimError::Uncertain(reason.to_owned()))
    }
}

/// Opens the datagram socket on the local address from which the control member is reached.
///
/// A socket on the unspecified address occupies its port on every address of the VM. The operating
/// system could choose the port that a control member on this VM is about to bind, and that member
/// would fail to start with "bind datagrams: Address already in use". On a specific address the two
/// differ, unless the control member listens on that same address; its settings should then name a
/// port outside the system's ephemeral range.
fn open_socket(control: Option<SocketAddr>) -> StepResult<UdpSocket> {
    let any: SocketAddr = match control {
        Some(SocketAddr::V6(_)) => (Ipv6Addr::UNSPECIFIED, 0).into(),
        _ => (Ipv4Addr::UNSPECIFIED, 0).into(),
    };
    let fault = |e| StepError::new("bind datagrams", e).at(any);
    let socket = UdpSocket::bind(any).map_err(fault)?;
    // Connecting a datagram socket sends nothing; it only looks up the route.
    let local_address = control.map(|to| socket.connect(to).and_then(|()| socket.local_addr()));
    match local_address {
        Some(Ok(from)) => {
            drop(socket);
            UdpSocket::bind((from.ip(), 0)).map_err(fault)
        }
        // Without a route, the unspecified address is used.
        Some(Err(_)) | None => UdpSocket::bind(any).map_err(fault),
    }
}
