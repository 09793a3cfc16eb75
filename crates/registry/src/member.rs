//! A running member of the registry, and its interface for operators' requests.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use consensus::Role;
use tokio::sync::{oneshot, watch};
use tokio::time::{Instant, sleep, timeout_at};
use types::{StepError, StepResult, Version, VmName};
use wire::{Connection, Hello, Kind, Listener, Secret};

use crate::digest::RequestDigest;
use crate::driver::{self, Answer, DriverConfig, Input, View};
use crate::evacuation::{Evacuations, Order};
use crate::hub::Hub;
use crate::message::PeerMessage;
use crate::peers::Peers;
use crate::plan::{PutPlan, StoredPlan};
use crate::quarantine;
use crate::reader::{self, ListSource};

/// The maximum number of inputs that wait for the driver, to bound the memory while the disk stalls.
const MAX_QUEUED_INPUTS: usize = 4_096;

/// The timeout of an order or a read. Operators try another member after a second.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// How long an order or a read waits until a leader is known.
const LEADER_TIMEOUT: Duration = Duration::from_millis(600);

/// The pause before the driver is asked again whether the plan is the newest: as long as it waits
/// before it opens a failed data folder again.
const CONFIRM_PAUSE: Duration = Duration::from_millis(400);

/// How long a leader that shuts down waits for another one to lead.
const RESIGN_TIMEOUT: Duration = Duration::from_millis(600);

/// Validates the plans that operators send. It does not decide which plan is stored.
pub trait PlanValidator: Send + Sync + 'static {
    /// Checks a plan and returns its version.
    ///
    /// # Errors
    /// Returns a description of the fault, for the operator.
    fn check(&self, text: &[u8]) -> Result<Version, String>;
}

/// The settings of a member.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    /// The VM of the member.
    pub vm: VmName,
    /// The data folder, which no other process uses.
    pub data_dir: PathBuf,
    /// The address at which members and entries reach it.
    pub address: SocketAddr,
    /// The addresses of members at the time when the settings were written.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time; the first seed then starts a new cluster.
    pub bootstrap: bool,
    /// The number of members that may be lost at once, with their disks.
    pub max_losses: usize,
    /// The failure domains of the deployment.
    pub domains: BTreeSet<String>,
}

/// The answer to an operator's order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// A quorum stores this plan, or one with the same or a higher version. Holds the stored version.
    Accepted(Version),
    /// The plan is invalid, for this reason.
    Invalid(String),
    /// Another member leads.
    NotLeader(SocketAddr),
    /// No quorum answers, or the cluster has too few voters yet.
    Unavailable,
}

/// The answer to an operator's read.
#[derive(Clone, Debug)]
pub enum ReadOutcome {
    /// The newest plan, confirmed by a quorum.
    Plan(Version, Arc<StoredPlan>),
    /// Another member leads.
    NotLeader(SocketAddr),
    /// No quorum answers, or there is no plan yet.
    Unavailable,
}

/// The answer to an operator's order for a failure domain, or to a read of the evacuated ones.
#[derive(Clone, Debug)]
pub enum EvacuationOutcome {
    /// A quorum stores the order, or confirmed the read.
    Stored(Arc<Evacuations>),
    /// The deployment has no such failure domain.
    UnknownDomain,
    /// Another member leads.
    NotLeader(SocketAddr),
    /// No quorum answers, or the cluster has too few voters yet.
    Unavailable,
}

/// The answer to an operator's request about held requests, which only the leader knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineOutcome<T> {
    /// The leader's answer.
    Known(T),
    /// Another member leads.
    NotLeader(SocketAddr),
    /// No leader is known.
    Unavailable,
}

/// A running member.
pub struct Member<C> {
    validator: C,
    inputs: mpsc::SyncSender<Input>,
    view: watch::Receiver<View>,
    peers: Arc<Peers>,
    hub: Arc<Hub>,
    address: SocketAddr,
    /// The failure domains that the settings name.
    domains: Mutex<BTreeSet<String>>,
}

impl<C: PlanValidator> Member<C> {
    /// Starts a member.
    ///
    /// # Errors
    /// Fails if its address can't be bound or its thread can't be started.
    pub async fn spawn<L: ListSource>(
        config: MemberConfig,
        validator: C,
        list: L,
        secret: Secret,
    ) -> StepResult<Self> {
        let me = Hello { kind: Kind::Member, vm: config.vm.clone(), node: rand::random() };
        let listener = Listener::bind(config.address, &secret, me.clone()).await?;
        let address = config.address;
        let peers = Arc::new(Peers::new(secret, me, address, config.seeds.clone()));
        let (inputs, waiting) = mpsc::sync_channel(MAX_QUEUED_INPUTS);
        let (publish, view) = watch::channel(View::default());
        let bootstraps = config.bootstrap && config.seeds.first() == Some(&address);
        let driver = DriverConfig {
            data_dir: config.data_dir,
            address,
            bootstraps,
            max_losses: config.max_losses,
        };
        let driver_peers = Arc::clone(&peers);
        let waker = inputs.clone();
        std::thread::Builder::new()
            .name("driver".to_owned())
            .spawn(move || driver::run(driver, driver_peers, publish, waker, waiting))
            .map_err(|e| StepError::new("start driver", e))?;
        let hub = Arc::new(Hub::new());
        let confirmer = Confirmer { inputs: inputs.clone(), view: view.clone() };
        tokio::spawn(accept_connections(listener, inputs.clone(), Arc::clone(&hub), confirmer));
        tokio::spawn(Arc::clone(&hub).publish_loads());
        tokio::spawn(Arc::clone(&hub).publish_outcomes());
        tokio::spawn(Arc::clone(&hub).publish_entries(view.clone()));
        tokio::spawn(Arc::clone(&hub).decide_ends(view.clone(), inputs.clone()));
        tokio::spawn(reader::run(list, Arc::clone(&hub), view.clone()));
        let domains = Mutex::new(config.domains);
        Ok(Self { validator, inputs, view, peers, hub, address, domains })
    }

    /// Replaces the seed addresses and the failure domains, after the settings changed.
    pub fn apply_settings(&self, seeds: Vec<SocketAddr>, domains: BTreeSet<String>) {
        self.peers.set_seeds(seeds);
        *self.domains.lock().unwrap_or_else(PoisonError::into_inner) = domains;
    }

    /// Stores a plan, if its version is higher than the stored one.
    pub async fn put(&self, text: Vec<u8>) -> PutOutcome {
        // Checked before versions are compared, so that an invalid plan is rejected whatever its version.
        let version = match self.validator.check(&text) {
            Ok(version) => version,
            Err(why) => return PutOutcome::Invalid(why),
        };
        let put = PutPlan { version, text };
        match self.ask_driver(|reply| Input::Put(put.clone(), reply)).await {
            Some(Answer::State(held)) => PutOutcome::Accepted(held.plan.version),
            Some(Answer::NotLeader(Some(leader))) => PutOutcome::NotLeader(leader),
            Some(Answer::NotLeader(None) | Answer::TooFewVoters) | None => PutOutcome::Unavailable,
        }
    }

    /// Reads the newest plan, as confirmed by a quorum.
    pub async fn read(&self) -> ReadOutcome {
        match self.ask_driver(Input::Read).await {
            Some(Answer::State(held)) if held.plan.version > Version(0) => {
                ReadOutcome::Plan(held.plan.version, held.plan)
            }
            Some(Answer::NotLeader(Some(leader))) => ReadOutcome::NotLeader(leader),
            Some(_) | None => ReadOutcome::Unavailable,
        }
    }

    /// Stores an operator's order for a failure domain. The operator may send it again.
    pub async fn order(&self, order: Order) -> EvacuationOutcome {
        if !self.knows_domain(&order.domain) {
            return EvacuationOutcome::UnknownDomain;
        }
        self.evacuation_outcome(|reply| Input::Evacuate(order.clone(), reply)).await
    }

    /// Reads the evacuated failure domains, as confirmed by a quorum.
    pub async fn evacuations(&self) -> EvacuationOutcome {
        self.evacuation_outcome(Input::Read).await
    }

    async fn evacuation_outcome(
        &self,
        input: impl Fn(oneshot::Sender<Answer>) -> Input,
    ) -> EvacuationOutcome {
        match self.ask_driver(input).await {
            Some(Answer::State(held)) => EvacuationOutcome::Stored(held.evacuations),
            Some(Answer::NotLeader(Some(leader))) => EvacuationOutcome::NotLeader(leader),
            Some(Answer::NotLeader(None) | Answer::TooFewVoters) | None => {
                EvacuationOutcome::Unavailable
            }
        }
    }

    /// Returns whether the settings or the list of upstreams name a failure domain.
    fn knows_domain(&self, domain: &str) -> bool {
        let domains = self.domains.lock().unwrap_or_else(PoisonError::into_inner);
        domains.contains(domain) || self.hub.has_upstreams_in(domain)
    }

    /// Returns the requests that are held.
    pub fn held_requests(&self) -> QuarantineOutcome<Vec<quarantine::Held>> {
        self.as_leader(|term| self.hub.held(term))
    }

    /// Releases a held request; returns whether it was held.
    pub fn release(&self, digest: RequestDigest) -> QuarantineOutcome<bool> {
        self.as_leader(|term| self.hub.release(digest, term))
    }

    fn as_leader<T>(&self, act: impl FnOnce(u64) -> T) -> QuarantineOutcome<T> {
        let (leads, term, leader) = {
            let view = self.view.borrow();
            (view.leads(), view.term, view.leader)
        };
        match leader {
            _ if leads => QuarantineOutcome::Known(act(term)),
            Some(leader) if leader != self.address => QuarantineOutcome::NotLeader(leader),
            _ => QuarantineOutcome::Unavailable,
        }
    }

    /// Transfers leadership, and waits up to [`RESIGN_TIMEOUT`] for another leader.
    pub async fn resign(&self) {
        let mut view = self.view.clone();
        if !view.borrow().leads() || self.inputs.try_send(Input::Resign).is_err() {
            return;
        }
        let deadline = Instant::now() + RESIGN_TIMEOUT;
        // If the transfer fails, the others elect a leader later.
        let _ = timeout_at(deadline, view.wait_for(|it| it.role != Role::Leader)).await;
    }

    /// Sends an input to the driver once a leader is known, and waits for the answer.
    async fn ask_driver(&self, input: impl Fn(oneshot::Sender<Answer>) -> Input) -> Option<Answer> {
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        let mut view = self.view.clone();
        let known = view.wait_for(|it| it.leader.is_some());
        timeout_at(Instant::now() + LEADER_TIMEOUT, known).await.ok()?.ok()?;
        let (reply, answer) = oneshot::channel();
        self.inputs.try_send(input(reply)).ok()?;
        let answer = timeout_at(deadline, answer).await.ok()?.ok()?;
        match answer {
            // The leader's address is this member's own: leadership is being transferred right now.
            Answer::NotLeader(Some(it)) if it == self.address => None,
            answer => Some(answer),
        }
    }
}

/// Gives an entry's connection access to the driver's view, and has a quorum confirm it.
#[derive(Clone)]
pub(crate) struct Confirmer {
    inputs: mpsc::SyncSender<Input>,
    pub(crate) view: watch::Receiver<View>,
}

impl Confirmer {
    /// Returns once a quorum has confirmed, after the call, that no plan newer than the one in the view
    /// had been acknowledged.
    pub(crate) async fn confirm(&self) {
        loop {
            let (reply, confirmed) = oneshot::channel();
            let asked = self.inputs.try_send(Input::ConfirmView(reply)).is_ok();
            if asked && confirmed.await.is_ok() {
                return;
            }
            // The driver's queue is full, or the driver is opening its data folder again.
            sleep(CONFIRM_PAUSE).await;
        }
    }
}

/// Accepts connections from other members and from entries.
async fn accept_connections(
    mut listener: Listener,
    inputs: mpsc::SyncSender<Input>,
    hub: Arc<Hub>,
    confirmer: Confirmer,
) {
    loop {
        let (hello, connection) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::error!(cause:% = error;
                    "the listener for members and entries failed; no further connections are accepted");
                return;
            }
        };
        match hello.kind {
            Kind::Member => {
                tokio::spawn(receive_messages(connection, inputs.clone()));
            }
            Kind::Entry => {
                let (hub, confirmer) = (Arc::clone(&hub), confirmer.clone());
                tokio::spawn(async move { hub.serve(hello.node, connection, confirmer).await });
            }
        }
    }
}

/// Passes another member's messages to the driver.
async fn receive_messages(connection: Connection, inputs: mpsc::SyncSender<Input>) {
    let (_sender, mut receiver) = connection.split::<PeerMessage, PeerMessage>();
    while let Ok(Some(message)) = receiver.recv().await {
        let input = match message {
            PeerMessage::Log(message, from) => Input::Step(message, from),
            PeerMessage::Join { node, address, relayed } => Input::Join { node, address, relayed },
            PeerMessage::Confirm { ticket, from } => Input::Confirm { ticket, from },
            PeerMessage::Confirmed { ticket, index } => Input::Confirmed { ticket, index },
        };
        if let Err(mpsc::TrySendError::Disconnected(_)) = inputs.try_send(input) {
            return;
        }
    }
}
