//! One entry's session: handles its requests and pushes data to it.

use std::sync::Arc;
use std::time::Duration;

use state::{Command, Reply, State};
use tokio::sync::{Notify, Semaphore, mpsc, watch};
use tokio::time::{Instant, timeout_at};
use types::{Incarnation, StepResult, UnixMillis, Version, VmName};
use wire::session::{ControlMessage, EntryMessage, Ticket};

use crate::push::Push;
use crate::request::RequestError;
use crate::sessions::Sessions;

/// How long a confirmation may take before it is rejected.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a command may take before its result is reported as uncertain. Slow disks may need
/// several syncs.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);

/// The maximum number of concurrent requests of one entry; further ones wait on its connection.
const MAX_CONCURRENT_REQUESTS: usize = 1024;

/// The maximum number of responses that wait for the connection.
const MAX_QUEUED_RESPONSES: usize = 2 * MAX_CONCURRENT_REQUESTS;

/// How often a session checks whether the replicated state still lists its entry.
const LIVE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The delay before the next attempt to register the entry.
const ENTER_RETRY_DELAY: Duration = Duration::from_millis(200);

/// One session.
pub(crate) struct Session {
    sessions: Arc<Sessions>,
    number: u64,
    vm: VmName,
    owner: Incarnation,
    have: Version,
    /// Notified when the entry could not apply an edit and needs the full document.
    need_full: Arc<Notify>,
}

/// The data for the task of each request.
#[derive(Clone)]
struct Requests {
    sessions: Arc<Sessions>,
    responses: mpsc::Sender<ControlMessage>,
    entered: watch::Receiver<bool>,
}

impl Session {
    pub(crate) fn new(
        sessions: Arc<Sessions>,
        number: u64,
        vm: VmName,
        owner: Incarnation,
        have: Version,
    ) -> Self {
        Self { sessions, number, vm, owner, have, need_full: Arc::default() }
    }

    /// Serves the entry until its connection ends.
    ///
    /// # Errors
    /// Returns an error if the connection failed.
    pub(crate) async fn run(
        self,
        sender: wire::Sender<ControlMessage>,
        mut receiver: wire::Receiver<EntryMessage>,
    ) -> StepResult<()> {
        let (responses, queue) = mpsc::channel(MAX_QUEUED_RESPONSES);
        let (entered_sender, entered) = watch::channel(false);
        let leave = responses.clone();
        let requests = Requests { sessions: Arc::clone(&self.sessions), responses, entered };
        let need_full = Arc::clone(&self.need_full);
        let push = Push::new(Arc::clone(&self.sessions), self.vm.clone(), sender, self.have);
        let pushing = push.run(queue, need_full);
        let entering =
            enter(Arc::clone(&self.sessions), self.vm.clone(), self.owner, entered_sender, leave);
        tokio::select! {
            ended = pushing => ended,
            ended = self.read(&mut receiver, requests) => ended,
            never = entering => match never {},
        }
    }

    async fn read(
        &self,
        receiver: &mut wire::Receiver<EntryMessage>,
        requests: Requests,
    ) -> StepResult<()> {
        let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_REQUESTS));
        while let Some(message) = receiver.recv().await? {
            match message {
                EntryMessage::Follow { .. } => {}
                EntryMessage::Usage(report) => {
                    // Usage reports are sums and shares are estimates, so a report may be dropped
                    // when the queue is full.
                    let _ = self.sessions.usage.try_send((self.vm.clone(), report));
                }
                EntryMessage::NeedWhole => self.need_full.notify_one(),
                EntryMessage::Draining => self.sessions.record_draining(self.number),
                EntryMessage::VersionRejected { version, why } => {
                    self.sessions.record_rejected_version(self.number, version, why);
                }
                EntryMessage::Confirm { ticket, have } => {
                    self.sessions.record_confirm_request(self.number, have);
                    spawn(&permits, requests.clone(), |it| it.confirm(ticket)).await;
                }
                other => spawn(&permits, requests.clone(), |it| it.serve(other)).await,
            }
        }
        Ok(())
    }
}

/// Runs a request in its own task once a permit is available.
async fn spawn<F>(permits: &Arc<Semaphore>, requests: Requests, run: impl FnOnce(Requests) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    let Ok(permit) = Arc::clone(permits).acquire_owned().await else {
        return;
    };
    let run = run(requests);
    tokio::spawn(async move {
        run.await;
        drop(permit);
    });
}

impl Requests {
    async fn confirm(self, ticket: Ticket) {
        let deadline = Instant::now() + CONFIRM_TIMEOUT;
        let answer = match self.sessions.leader_client.read(deadline).await {
            Ok(()) => {
                let version = self.sessions.leader_client.core.published().borrow().version;
                ControlMessage::Confirmed { ticket, version }
            }
            Err(error) => ControlMessage::Rejected { ticket, reason: error.to_string() },
        };
        let _ = self.responses.send(answer).await;
    }

    async fn serve(mut self, message: EntryMessage) {
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        let Some((ticket, command)) = command(message) else {
            return;
        };
        // An earlier incarnation of the entry may have claimed a key and died. Until the state
        // knows the new incarnation, a resend of that claim would be told that it is still running.
        let entered =
            timeout_at(deadline, self.entered.wait_for(|it| *it)).await.is_ok_and(|it| it.is_ok());
        let answer = match entered {
            true => match self.sessions.leader_client.entry_command(command, deadline).await {
                Ok(Reply::Claim(answer)) => ControlMessage::Claim { ticket, answer },
                Ok(_) => ControlMessage::Committed { ticket },
                Err(error) => error_message(ticket, &error),
            },
            false => {
                let reason = "the state does not know this entry yet: no quorum".to_owned();
                ControlMessage::Rejected { ticket, reason }
            }
        };
        let _ = self.responses.send(answer).await;
    }
}

fn error_message(ticket: Ticket, error: &RequestError) -> ControlMessage {
    let reason = error.to_string();
    match error {
        RequestError::NotRun(_) | RequestError::Refused(_) => {
            ControlMessage::Rejected { ticket, reason }
        }
        RequestError::Uncertain(_) => ControlMessage::Uncertain { ticket, reason },
    }
}

fn command(message: EntryMessage) -> Option<(Ticket, Command)> {
    let at = UnixMillis::now();
    match message {
        EntryMessage::Claim { ticket, request } => Some((ticket, Command::Claim { request, at })),
        EntryMessage::Finish { ticket, key, proof, answer } => {
            Some((ticket, Command::Finish { key, ticket: proof, answer, at }))
        }
        EntryMessage::Release { ticket, key, proof } => {
            Some((ticket, Command::Release { key, ticket: proof }))
        }
        _ => None,
    }
}

/// Registers this incarnation of the entry in the replicated state and keeps it registered while
/// the session lasts.
///
/// The leader may declare the incarnation lost at the moment in which its session opens, and the
/// state would then refuse every claim of a live session. The registration is therefore checked
/// periodically.
async fn enter(
    sessions: Arc<Sessions>,
    vm: VmName,
    owner: Incarnation,
    entered: watch::Sender<bool>,
    responses: mpsc::Sender<ControlMessage>,
) -> std::convert::Infallible {
    loop {
        if sessions.is_outside_cluster() {
            // A spare has no replicated state, so it can neither serve the entry nor confirm a
            // version.
            let _ = responses.send(ControlMessage::Leave).await;
            tokio::time::sleep(LIVE_CHECK_INTERVAL).await;
            continue;
        }
        let command = Command::Enter { vm: vm.clone(), owner };
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        if sessions.leader_client.command(command, deadline).await.is_ok() {
            entered.send_replace(true);
            while is_incarnation_live(&sessions, &vm, owner).await {
                tokio::time::sleep(LIVE_CHECK_INTERVAL).await;
            }
        }
        tokio::time::sleep(ENTER_RETRY_DELAY).await;
    }
}

/// Returns whether the state applied by this member lists the incarnation; that state may lag
/// behind the leader's.
async fn is_incarnation_live(sessions: &Sessions, vm: &VmName, owner: Incarnation) -> bool {
    tokio::time::sleep(LIVE_CHECK_INTERVAL).await;
    let vm = vm.clone();
    let is_known =
        move |state: &State| state.live_incarnations().any(|it| (it.0, it.1) == (&vm, owner));
    sessions.leader_client.core.inspect(is_known).await.unwrap_or(true)
}
