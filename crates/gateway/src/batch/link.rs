//! Connections between entries for stage pieces.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use registry::{RegistryState, Relay, Stamp};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};
use wire::{Connection, Hello, Kind, Listener, Secret};

use crate::backlog::{Backlog, Backlogs};
use crate::batch::message::{FromOwner, Submission, ToOwner};
use crate::batch::owner::{Owner, OwnerEvent};
use crate::section::Section;

/// How often an owner shows a submitter with open jobs that it lives.
pub(crate) const PULSE: Duration = Duration::from_millis(60);

/// How long a dial may take.
const DIAL_TIMEOUT: Duration = Duration::from_millis(250);

/// How long the other side may take to tell its level after the hello; one of the release before tells
/// none.
const LEVEL_PATIENCE: Duration = Duration::from_millis(60);

/// For how long news are passed on after they were asked for; some of the periods in which entries
/// without a member ask.
pub(crate) const FOLLOW: Duration = Duration::from_secs(2);

/// Where what owners tell of all jobs goes.
#[derive(Clone)]
pub(crate) struct Inlets {
    pub(crate) backlogs: Arc<Backlogs>,
    pub(crate) relays: mpsc::Sender<Relay>,
}

/// A connection to an owner.
pub(crate) struct Link {
    sender: mpsc::UnboundedSender<ToOwner>,
    waiting: Mutex<Waiting>,
    inlets: Inlets,
}

#[derive(Default)]
struct Waiting {
    jobs: HashMap<u64, mpsc::UnboundedSender<FromOwner>>,
    heard: Option<Instant>,
    refused: bool,
    ended: bool,
}

impl Link {
    /// Opens a connection; it comes up in the background.
    pub(crate) fn open(
        address: SocketAddr,
        secret: Secret,
        me: Hello,
        inlets: Inlets,
    ) -> Arc<Self> {
        let (sender, outgoing) = mpsc::unbounded_channel();
        let link = Arc::new(Self { sender, waiting: Mutex::default(), inlets });
        tokio::spawn(drive(Arc::clone(&link), address, secret, me, outgoing));
        link
    }

    /// Whether the connection has ended.
    pub(crate) fn is_ended(&self) -> bool {
        self.lock().ended
    }

    /// Whether the owner refused the connection: nothing told has reached it.
    pub(crate) fn is_refused(&self) -> bool {
        self.lock().refused
    }

    /// When the owner was heard last.
    pub(crate) fn heard(&self) -> Option<Instant> {
        self.lock().heard
    }

    /// Tells the owner something; lost where the connection has ended.
    pub(crate) fn tell(&self, message: ToOwner) {
        // A link that ended is seen by `is_ended`.
        let _ = self.sender.send(message);
    }

    /// Registers where the answers to a job go; false where the connection has ended.
    pub(crate) fn wait(&self, job: u64, replies: mpsc::UnboundedSender<FromOwner>) -> bool {
        let mut waiting = self.lock();
        if waiting.ended {
            return false;
        }
        waiting.jobs.insert(job, replies);
        true
    }

    /// Forgets a job.
    pub(crate) fn forget(&self, job: u64) {
        self.lock().jobs.remove(&job);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take(&self, message: FromOwner) {
        let mut waiting = self.lock();
        waiting.heard = Some(Instant::now());
        let id = match &message {
            FromOwner::Accepted(id) | FromOwner::Refused(id) | FromOwner::Fetched(id) => *id,
            FromOwner::Results(done) => done.id,
            FromOwner::Pulse => return,
            FromOwner::Backlog(service, waits) => {
                let section = Section { service: service.as_str().into(), domain: None };
                let backlog = Backlog { waits: *waits, timely: *waits, need: 0 };
                self.inlets.backlogs.set(section, backlog);
                return;
            }
            FromOwner::Section(news) => {
                let domain = news.domain.as_deref().map(Into::into);
                let section = Section { service: news.service.as_str().into(), domain };
                self.inlets.backlogs.set(section, news.backlog);
                return;
            }
            FromOwner::News(relay) => {
                // Without room the news that wait are as new.
                let _ = self.inlets.relays.try_send(Relay::clone(relay));
                return;
            }
        };
        if let Some(job) = waiting.jobs.get(&id) {
            // The job may have been given up just now.
            let _ = job.send(message);
        }
    }

    /// Ends all jobs: their senders go, which their receivers see.
    fn end(&self) {
        let mut waiting = self.lock();
        waiting.ended = true;
        waiting.jobs.clear();
    }
}

async fn drive(
    link: Arc<Link>,
    address: SocketAddr,
    secret: Secret,
    me: Hello,
    mut outgoing: mpsc::UnboundedReceiver<ToOwner>,
) {
    let dialled = timeout(DIAL_TIMEOUT, wire::connect(address, &secret, me, Kind::Entry)).await;
    link.lock().refused = matches!(dialled, Ok(Err(_)));
    if let Ok(Ok(connection)) = dialled {
        let (sender, mut receiver) = connection.split::<ToOwner, FromOwner>();
        sender.wait_level(LEVEL_PATIENCE).await;
        loop {
            tokio::select! {
                message = outgoing.recv() => {
                    let Some(message) = message else { break };
                    if sender.send(&message.at_level(sender.level())).await.is_err() {
                        break;
                    }
                }
                message = receiver.recv() => match message {
                    Ok(Some(message)) => link.take(message),
                    Ok(None) | Err(_) => break,
                },
            }
        }
    }
    log::info!(peer:% = address; "the connection to another entry ended");
    link.end();
}

/// Takes other entries' connections.
pub(crate) async fn accept(
    mut listener: Listener,
    owner: Owner,
    news: watch::Receiver<RegistryState>,
) {
    let mut origin = 0;
    loop {
        match listener.accept().await {
            Ok((hello, connection)) if hello.kind == Kind::Entry => {
                origin += 1;
                tokio::spawn(serve(origin, connection, owner.clone(), news.clone()));
            }
            Ok(_) => {}
            Err(error) => {
                log::error!(cause:% = error; "the listener for other entries ended");
                return;
            }
        }
    }
}

/// Serves one submitter until its connection ends.
async fn serve(
    origin: u64,
    connection: Connection,
    owner: Owner,
    mut news: watch::Receiver<RegistryState>,
) {
    let (sender, mut receiver) = connection.split::<FromOwner, ToOwner>();
    sender.wait_level(LEVEL_PATIENCE).await;
    let (replies, mut answers) = mpsc::unbounded_channel();
    let mut pulse = interval(PULSE);
    pulse.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut left: HashMap<u64, usize> = HashMap::new();
    let mut passing = Passing::default();
    loop {
        let busy = !left.is_empty();
        let answer = tokio::select! {
            message = receiver.recv() => match message {
                Ok(Some(message)) => {
                    match &message {
                        ToOwner::Submit(job)
                        | ToOwner::SubmitIn(_, job)
                        | ToOwner::SubmitOf(Submission { job, .. }) => {
                            left.insert(job.id, job.segments.len());
                        }
                        ToOwner::Cancel(id) => {
                            left.remove(id);
                        }
                        ToOwner::Free(_) => {}
                        ToOwner::Follow => {
                            passing.until = Some(Instant::now() + FOLLOW);
                            news.mark_changed();
                            continue;
                        }
                    }
                    owner.tell(OwnerEvent::Told(origin, message, replies.clone()));
                    continue;
                }
                Ok(None) | Err(_) => break,
            },
            answer = answers.recv() => match answer {
                Some(answer) => answer,
                None => break,
            },
            _ = pulse.tick(), if busy => FromOwner::Pulse,
            Ok(()) = news.changed(), if passing.is_asked() => {
                match passing.next(&news.borrow_and_update()) {
                    Some(relay) => FromOwner::News(Box::new(relay)),
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
    owner.tell(OwnerEvent::Left(origin));
}

/// The news that one submitter is told.
#[derive(Default)]
struct Passing {
    until: Option<Instant>,
    told: (Stamp, Stamp),
}

impl Passing {
    fn is_asked(&self) -> bool {
        self.until.is_some_and(|it| Instant::now() < it)
    }

    /// The news to pass on, if there are any that the submitter was not told.
    fn next(&mut self, news: &RegistryState) -> Option<Relay> {
        let newest = (news.entries_stamp, news.upstreams_stamp);
        if newest == self.told {
            return None;
        }
        self.told = newest;
        Some(news.relay())
    }
}
