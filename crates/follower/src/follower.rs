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
use crate::link::{Order, Shared};
use crate::requests::{Answer, Claimed, Operation, Pending, Trace};
use crate::session;

/// How many events wait for the entry to take them.
const EVENT_QUEUE: usize = 64;

/// How many orders wait for the session's task.
const ORDER_QUEUE: usize = 1_024;

/// Past which age of the last quorum's confirmation a claim is refused at once: there is no quorum, or it
/// cannot be reached, and a caller is better told so than kept waiting.
const QUORUM_AGE: Duration = Duration::from_secs(3);

/// What the session needs to know.
#[derive(Clone, Debug)]
pub struct FollowerConfig {
    /// This VM.
    pub vm: VmName,
    /// This VM's site.
    pub site: SiteName,
    /// The life of this process.
    pub owner: Incarnation,
    /// The wire addresses of the control members, those of this site first.
    pub control: Vec<SocketAddr>,
    /// The cluster secret.
    pub secret: Vec<u8>,
}

/// The service in force, resolved for this site.
#[derive(Debug)]
pub struct Snapshot {
    /// The service.
    pub service: Service,
}

/// What the entry passes on to its router.
#[derive(Debug)]
pub enum Event {
    /// A higher version is in force.
    Service(Arc<Snapshot>),
    /// A load digest came.
    Digest(Digest),
    /// Shares of the customers' limits came.
    Shares(Vec<CustomerShare>),
}

/// Why a claim operation has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimError {
    /// It certainly had and will have no effect.
    Rejected(String),
    /// It may have had, or may yet have, its effect.
    Uncertain(String),
    /// The key has ended, and stays so.
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

/// A running session with control. It reconnects, and moves to another member, by itself. Dropping
/// it ends the session; answers that are not stored yet are then lost.
#[derive(Debug)]
pub struct Follower {
    shared: Arc<Shared>,
    orders: mpsc::Sender<Order>,
}

impl Follower {
    /// Starts the session on the current tokio runtime; events come through the receiver.
    ///
    /// # Errors
    /// Where no socket can be opened.
    pub fn spawn(config: FollowerConfig) -> StepResult<(Arc<Self>, mpsc::Receiver<Event>)> {
        let secret = Secret::new(&config.secret)?;
        let socket = open_socket(config.control.first().copied())?;
        let datagrams = Datagrams::from_socket(socket, &secret)?;
        let shared = Arc::new(Shared::new());
        let (events, receiver) = mpsc::channel(EVENT_QUEUE);
        let (orders, taken) = mpsc::channel(ORDER_QUEUE);
        let task = session::Task::new(config, secret, Arc::clone(&shared), events);
        tokio::spawn(task.run(taken, datagrams));
        Ok((Arc::new(Self { shared, orders }), receiver))
    }

    /// Returns the service in force, or `None` before the first.
    pub fn service(&self) -> Option<Arc<Snapshot>> {
        self.shared.current.load_full()
    }

    /// Returns how long ago, on this VM's clock, the question was asked whose quorum-confirmed
    /// answer is the latest; `None` before the first. Only an answer that names the version in
    /// force here counts: an entry that knows it is behind is not fresh.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.shared.freshness.age(now)
    }

    /// Tells whether control cannot have declared this entry lost between `since` and `now`: the
    /// session was confirmed all the while, without a gap. A confirmation after a gap says nothing
    /// of claims from before it.
    pub fn is_steady(&self, since: Instant, now: Instant) -> bool {
        self.shared.freshness.is_steady(since, now)
    }

    /// Returns what can be seen of the session.
    pub fn view(&self) -> Arc<SessionView> {
        self.shared.view.load_full()
    }

    /// Asks for a claim, answered by `by`. It is sent again, over new connections too, while there
    /// is time.
    ///
    /// # Errors
    /// `Uncertain` where the answer is lost: the claim may then stand, or come to stand, in the
    /// state. `Rejected` where it was certainly never taken, at once where no quorum was heard of
    /// lately.
    pub async fn claim(&self, request: ClaimRequest, by: Instant) -> Result<Claimed, ClaimError> {
        if self.age(Instant::now()).is_none_or(|age| age > QUORUM_AGE) {
            let why = format!("no quorum has answered for {QUORUM_AGE:?}");
            return Err(ClaimError::Rejected(why));
        }
        match self.request(Operation::Claim(request), by).await? {
            Answer::Claim(claimed) => Ok(claimed),
            // The member answered another question; whether the claim stands is not known.
            answer => Err(ClaimError::Uncertain(format!("unexpected answer {answer:?}"))),
        }
    }

    /// Stores the answer of a claim; goes on in the background past `by` until it is committed.
    ///
    /// # Errors
    /// `Uncertain` where it is not known to be committed by then; `Rejected` where too many answers
    /// wait already and this one will not be stored.
    pub async fn finish(
        &self,
        key: ClaimKey,
        proof: ClaimTicket,
        answer: StoredAnswer,
        by: Instant,
    ) -> Result<(), ClaimError> {
        self.commit(Operation::Finish { key, proof, answer }, by).await
    }

    /// Gives up a claim whose call was never sent; returns once that is committed.
    ///
    /// # Errors
    /// `Ended` where the key has ended, by whichever attempt; else where the release is not known to
    /// be committed by then. The caller must not say `not-run`.
    pub async fn release(
        &self,
        key: ClaimKey,
        proof: ClaimTicket,
        by: Instant,
    ) -> Result<(), ClaimError> {
        self.commit(Operation::Release { key, proof }, by).await
    }

    /// Reports use; kept until the session takes it.
    pub fn usage(&self, report: UsageReport) {
        if self.orders.try_send(Order::Usage(report)).is_err() {
            log::warn!("use not reported: too many orders wait for the session");
        }
    }

    /// Reports calls in flight by upstream.
    pub fn load(&self, in_flight: &[(UpstreamName, u32)]) {
        // The next report replaces one for which there is no room.
        let _ = self.orders.try_send(Order::Load(in_flight.to_vec()));
    }

    /// Tells control that this entry drains.
    pub fn draining(&self) {
        if self.orders.try_send(Order::Drain).is_err() {
            log::warn!("drain not told to control: too many orders wait for the session");
        }
    }

    async fn commit(&self, operation: Operation, by: Instant) -> Result<(), ClaimError> {
        match self.request(operation, by).await? {
            Answer::Committed => Ok(()),
            Answer::Claim(claimed) => Err(ClaimError::Ended(claimed.answer)),
            answer @ Answer::NoRoom => {
                Err(ClaimError::Uncertain(format!("unexpected answer {answer:?}")))
            }
        }
    }

    async fn request(&self, operation: Operation, by: Instant) -> Result<Answer, ClaimError> {
        let background = operation.background();
        let trace = Trace::default();
        let (reply, answer) = oneshot::channel();
        let order = Order::Request(Pending::new(operation, trace.clone(), reply));
        match timeout_at(by.into(), self.orders.send(order)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return Err(ClaimError::Rejected("the session has ended".to_owned())),
            Err(_) => return Err(ClaimError::Rejected("the session is overloaded".to_owned())),
        }
        let ended = match timeout_at(by.into(), answer).await {
            Ok(Ok(Answer::NoRoom)) => {
                let why = "too many claim operations are under way";
                return Err(ClaimError::Rejected(why.to_owned()));
            }
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(_)) => "the session has ended",
            Err(_) => "no answer in time",
        };
        // What goes on in the background is never given up, and so never certain.
        if !background && trace.give_up() {
            return Err(ClaimError::Rejected(format!("{ended}, and it certainly has no effect")));
        }
        Err(ClaimError::Uncertain(ended.to_owned()))
    }
}

/// Opens the socket for datagrams on the address from which control is reached.
///
/// A socket on the unspecified address takes its port on every address of the VM. The system may
/// draw the very port that a control member on this VM is about to bind, and the member then does
/// not start: "bind datagrams: Address already in use". On one address the two differ, except
/// where control listens on that address itself; its settings should name a port that the system
/// does not draw.
fn open_socket(control: Option<SocketAddr>) -> StepResult<UdpSocket> {
    let any: SocketAddr = match control {
        Some(SocketAddr::V6(_)) => (Ipv6Addr::UNSPECIFIED, 0).into(),
        _ => (Ipv4Addr::UNSPECIFIED, 0).into(),
    };
    let fault = |e| StepError::new("bind datagrams", e).at(any);
    let socket = UdpSocket::bind(any).map_err(fault)?;
    // Connecting a datagram socket sends nothing; it only asks for the route.
    let routed = control.map(|to| socket.connect(to).and_then(|()| socket.local_addr()));
    match routed {
        Some(Ok(from)) => {
            drop(socket);
            UdpSocket::bind((from.ip(), 0)).map_err(fault)
        }
        // Without a route yet, any address must do.
        Some(Err(_)) | None => UdpSocket::bind(any).map_err(fault),
    }
}
