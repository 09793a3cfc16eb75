//! Connections between entries that carry stage pieces.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use registry::{ListStamps, RegistryState, Relay, Stamp};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};
use wire::{Connection, Hello, Kind, Listener, Secret};

use crate::backlog::{Backlog, Backlogs};
use crate::batch::message::{FromOwner, PiecesDone, Submission, ToOwner};
use crate::batch::owner::{Owner, OwnerEvent};
use crate::dialect::Dialect;
use crate::path::relay::{self, ToRelay};
use crate::section::Section;
use crate::shared::Shared;

/// How often an owner sends a heartbeat to a submitter with open jobs.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(60);

/// How long connecting may take.
const DIAL_TIMEOUT: Duration = Duration::from_millis(250);

/// How long the peer may take to send its protocol level after the hello. The previous release
/// sends none.
const LEVEL_TIMEOUT: Duration = Duration::from_millis(60);

/// How long a subscription to the registry's lists lasts: several of the intervals at which entries
/// without a registry member renew it.
pub(crate) const RELAY_SUBSCRIPTION_TIME: Duration = Duration::from_secs(2);

/// Where messages of owners go that belong to no single job.
#[derive(Clone)]
pub(crate) struct Sinks {
    pub(crate) backlogs: Arc<Backlogs>,
    pub(crate) relays: mpsc::Sender<Relay>,
    /// Notified when another entry has answered with its lists.
    pub(crate) relayed: Arc<Notify>,
}

impl Sinks {
    fn take_relay(&self, relay: Relay) {
        // If the channel is full, the lists that wait in it are as recent.
        let _ = self.relays.try_send(relay);
        self.relayed.notify_one();
    }
}

/// A connection to an owner.
pub(crate) struct Link {
    sender: mpsc::UnboundedSender<ToOwner>,
    state: Mutex<LinkState>,
    sinks: Sinks,
}

#[derive(Default)]
struct LinkState {
    jobs: HashMap<u64, mpsc::UnboundedSender<FromOwner>>,
    last_heard: Option<Instant>,
    refused: bool,
    ended: bool,
}

impl Link {
    /// Opens a connection. It is established in the background.
    pub(crate) fn open(address: SocketAddr, secret: Secret, me: Hello, sinks: Sinks) -> Arc<Self> {
        let (sender, outgoing) = mpsc::unbounded_channel();
        let link = Arc::new(Self { sender, state: Mutex::default(), sinks });
        tokio::spawn(run(Arc::clone(&link), address, secret, me, outgoing));
        link
    }

    /// Creates a link without a connection, and what is sent on it.
    #[cfg(test)]
    pub(crate) fn detached() -> (Arc<Self>, mpsc::UnboundedReceiver<ToOwner>) {
        let (sender, outgoing) = mpsc::unbounded_channel();
        let (relays, _) = mpsc::channel(1);
        let sinks = Sinks { backlogs: Arc::default(), relays, relayed: Arc::default() };
        (Arc::new(Self { sender, state: Mutex::default(), sinks }), outgoing)
    }

    /// Returns whether the connection has ended.
    pub(crate) fn is_ended(&self) -> bool {
        self.lock().ended
    }

    /// Returns whether the owner refused the connection, so that no message reached it.
    pub(crate) fn is_refused(&self) -> bool {
        self.lock().refused
    }

    /// Returns when the last message of the owner arrived.
    pub(crate) fn last_heard(&self) -> Option<Instant> {
        self.lock().last_heard
    }

    /// Sends a message to the owner. It is lost if the connection has ended.
    pub(crate) fn send(&self, message: ToOwner) {
        // If the connection has ended, `is_ended` shows it.
        let _ = self.sender.send(message);
    }

    /// Registers where the answers to a job go. Returns false if the connection has ended.
    pub(crate) fn register(&self, job: u64, replies: mpsc::UnboundedSender<FromOwner>) -> bool {
        let mut state = self.lock();
        if state.ended {
            return false;
        }
        state.jobs.insert(job, replies);
        true
    }

    /// Removes a job.
    pub(crate) fn forget(&self, job: u64) {
        self.lock().jobs.remove(&job);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn handle(&self, message: FromOwner) {
        let mut state = self.lock();
        state.last_heard = Some(Instant::now());
        let id = match &message {
            FromOwner::Accepted(id) | FromOwner::Refused(id) | FromOwner::Fetched(id) => *id,
            FromOwner::Lent(id, _) => *id,
            FromOwner::Results(done) => done.id,
            // Relayed bytes travel on connections of their own.
            FromOwner::Heartbeat | FromOwner::Relayed(_) => return,
            FromOwner::Backlog(service, waits) => {
                let section = Section { service: service.as_str().into(), domain: None };
                let backlog = Backlog { waits: *waits, timely: *waits, need: 0 };
                self.sinks.backlogs.set(section, backlog);
                return;
            }
            FromOwner::SectionBacklog(it) => {
                let domain = it.domain.as_deref().map(Into::into);
                let section = Section { service: it.service.as_str().into(), domain };
                self.sinks.backlogs.set(section, it.backlog);
                return;
            }
            FromOwner::Relay(relay) => return self.sinks.take_relay(Relay::clone(relay)),
            FromOwner::VersionedRelay(relay, versions) => {
                let mut relay = Relay::clone(relay);
                versions.fill(&mut relay.upstreams.upstreams);
                return self.sinks.take_relay(relay);
            }
            FromOwner::CompleteRelay(relay, versions, capacities) => {
                let mut relay = Relay::clone(relay);
                versions.fill(&mut relay.upstreams.upstreams);
                capacities.fill(&mut relay.entries);
                return self.sinks.take_relay(relay);
            }
        };
        let unwanted = match state.jobs.get(&id) {
            // The job may have been cancelled just now.
            Some(job) => job.send(message).err().map(|it| it.0),
            None => Some(message),
        };
        drop(state);
        if let Some(FromOwner::Results(done)) = unwanted {
            self.free(done);
        }
    }

    /// Has the owner release results that no request waits for any more.
    pub(crate) fn free(&self, done: PiecesDone) {
        if let Some(message) = release_of(done) {
            self.send(message);
        }
    }

    /// Ends all jobs by dropping their senders, which closes the receivers.
    fn close(&self) {
        let mut state = self.lock();
        state.ended = true;
        state.jobs.clear();
    }
}

/// Returns the message that releases the results of pieces, if there are any.
pub(crate) fn release_of(done: PiecesDone) -> Option<ToOwner> {
    let handles: Vec<String> = done.results.into_iter().filter_map(|it| it.1.ok()).collect();
    (!handles.is_empty()).then_some(ToOwner::Free(handles))
}

async fn run(
    link: Arc<Link>,
    address: SocketAddr,
    secret: Secret,
    me: Hello,
    mut outgoing: mpsc::UnboundedReceiver<ToOwner>,
) {
    let dialed = timeout(DIAL_TIMEOUT, wire::connect(address, &secret, me, Kind::Entry)).await;
    link.lock().refused = matches!(dialed, Ok(Err(_)));
    if let Ok(Ok(connection)) = dialed {
        let (sender, mut receiver) = connection.split::<ToOwner, FromOwner>();
        sender.wait_level(LEVEL_TIMEOUT).await;
        loop {
            tokio::select! {
                message = outgoing.recv() => {
                    let Some(message) = message else { break };
                    let Some(message) = message.at_level(sender.level()) else { continue };
                    if sender.send(&message).await.is_err() {
                        break;
                    }
                }
                message = receiver.recv() => match message {
                    Ok(Some(message)) => link.handle(message),
                    Ok(None) | Err(_) => break,
                },
            }
        }
    }
    log::info!(peer:% = address; "the connection to another entry ended");
    link.close();
}

/// Accepts connections of other entries.
pub(crate) async fn accept<D: Dialect>(
    mut listener: Listener,
    shared: Arc<Shared<D>>,
    owner: Owner,
    registry_state: watch::Receiver<RegistryState>,
) {
    let mut origin = 0;
    loop {
        match listener.accept().await {
            Ok((hello, connection)) if hello.kind == Kind::Entry => {
                origin += 1;
                let (shared, owner) = (Arc::clone(&shared), owner.clone());
                tokio::spawn(serve(
                    (origin, hello),
                    connection,
                    shared,
                    owner,
                    registry_state.clone(),
                ));
            }
            Ok(_) => {}
            Err(error) => {
                log::error!(cause:% = error;
                    "the listener for other entries failed; accepting no more connections");
                return;
            }
        }
    }
}

/// Serves one submitter until its connection ends.
async fn serve<D: Dialect>(
    (origin, hello): (u64, Hello),
    connection: Connection,
    shared: Arc<Shared<D>>,
    owner: Owner,
    mut registry_state: watch::Receiver<RegistryState>,
) {
    let (sender, mut receiver) = connection.split::<FromOwner, ToOwner>();
    sender.wait_level(LEVEL_TIMEOUT).await;
    let (replies, mut answers) = mpsc::unbounded_channel();
    let mut heartbeat = interval(HEARTBEAT_INTERVAL);
    heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut left: HashMap<u64, usize> = HashMap::new();
    let mut subscription = RelaySubscription::default();
    loop {
        let busy = !left.is_empty();
        let answer = tokio::select! {
            message = receiver.recv() => match message {
                Ok(Some(message)) => {
                    match &message {
                        ToOwner::Submit(job)
                        | ToOwner::SubmitToDomain(_, job)
                        | ToOwner::SubmitWithDigest(Submission { job, .. }) => {
                            left.insert(job.id, job.segments.len());
                        }
                        ToOwner::Cancel(id) => {
                            left.remove(id);
                        }
                        ToOwner::Free(_)
                        | ToOwner::Borrow(_)
                        | ToOwner::BorrowRest(_)
                        | ToOwner::BorrowRoom(_)
                        | ToOwner::SettleRoom(_) => {}
                        ToOwner::BorrowConnection(loan) => {
                            let (borrower, loan) = (hello.clone(), loan.clone());
                            let replies = replies.clone();
                            owner.send(OwnerEvent::BorrowConnection { borrower, loan, replies });
                            continue;
                        }
                        ToOwner::ReturnConnection(id) => {
                            owner.send(OwnerEvent::ReturnConnection(hello.clone(), *id));
                            continue;
                        }
                        ToOwner::Relayed(ToRelay::Open(address)) => {
                            return relay::serve(&shared, (sender, receiver), *address).await;
                        }
                        ToOwner::Relayed(ToRelay::Reach(address)) => {
                            return relay::tell_reach(&shared, sender, *address).await;
                        }
                        ToOwner::Relayed(ToRelay::Data(_)) => break,
                        ToOwner::SubscribeRelays => {
                            subscription.until = Some(Instant::now() + RELAY_SUBSCRIPTION_TIME);
                            registry_state.mark_changed();
                            continue;
                        }
                        ToOwner::AskLists(held) => {
                            let relay = registry_state.borrow().relay(*held);
                            // Answered without newer lists, too: the entry asks another one then.
                            let Some(relay) = FromOwner::relay(relay).at_level(sender.level()) else {
                                continue;
                            };
                            if sender.send(&relay).await.is_err() {
                                break;
                            }
                            continue;
                        }
                    }
                    owner.send(OwnerEvent::Message(origin, message, replies.clone()));
                    continue;
                }
                Ok(None) | Err(_) => break,
            },
            answer = answers.recv() => match answer {
                Some(answer) => answer,
                None => break,
            },
            _ = heartbeat.tick(), if busy => FromOwner::Heartbeat,
            Ok(()) = registry_state.changed(), if subscription.is_active() => {
                match subscription.next(&registry_state.borrow_and_update()) {
                    Some(relay) => FromOwner::relay(relay),
                    None => continue,
                }
            }
        };
        if let FromOwner::Results(done) = &answer {
            let ended = left.get_mut(&done.id).is_some_and(|it| {
                *it = it.saturating_sub(done.results.len());
                *it == 0
            });
            if ended {
                left.remove(&done.id);
            }
        }
        if let FromOwner::Refused(id) = &answer {
            left.remove(id);
        }
        let Some(answer) = answer.at_level(sender.level()) else { continue };
        if sender.send(&answer).await.is_err() {
            break;
        }
    }
    owner.send(OwnerEvent::Disconnected(origin, hello));
}

/// One submitter's subscription to the registry's lists.
#[derive(Default)]
struct RelaySubscription {
    until: Option<Instant>,
    sent: (Stamp, Stamp),
}

impl RelaySubscription {
    fn is_active(&self) -> bool {
        self.until.is_some_and(|it| Instant::now() < it)
    }

    /// Returns the lists to send, if the submitter does not have them yet.
    fn next(&mut self, registry_state: &RegistryState) -> Option<Relay> {
        let newest = (registry_state.entries_stamp, registry_state.upstreams_stamp);
        if newest == self.sent {
            return None;
        }
        self.sent = newest;
        Some(registry_state.relay(ListStamps::default()))
    }
}
