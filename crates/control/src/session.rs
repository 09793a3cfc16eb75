//! One entry's session: its requests, and what is pushed to it.

use std::sync::Arc;
use std::time::Duration;

use state::{Command, Reply, State};
use tokio::sync::{Notify, Semaphore, mpsc, watch};
use tokio::time::{Instant, timeout_at};
use types::{Incarnation, StepResult, UnixMillis, Version, VmName};
use wire::session::{ControlMessage, EntryMessage, Ticket};

use crate::ask::Denied;
use crate::push::Push;
use crate::sessions::Sessions;

/// How long a confirmation may take before it is answered as rejected.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a command may take before it is answered as uncertain: slow disks may need several syncs.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);

/// How many requests of one entry run at once; more wait on its connection.
const REQUEST_LIMIT: usize = 1024;

/// How many answers may wait for the connection.
const ANSWER_LIMIT: usize = 2 * REQUEST_LIMIT;

/// How often a session looks whether the state still counts its entry as alive.
const LIVE_PERIOD: Duration = Duration::from_secs(1);

/// The pause before another attempt to enter.
const ENTER_PAUSE: Duration = Duration::from_millis(200);

/// One session.
pub(crate) struct Session {
    sessions: Arc<Sessions>,
    number: u64,
    vm: VmName,
    owner: Incarnation,
    have: Version,
    /// The entry cannot use an edit.
    whole: Arc<Notify>,
}

/// What each request's task needs.
#[derive(Clone)]
struct Requests {
    sessions: Arc<Sessions>,
    answers: mpsc::Sender<ControlMessage>,
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
        Self { sessions, number, vm, owner, have, whole: Arc::default() }
    }

    /// Serves the entry until its connection ends.
    ///
    /// # Errors
    /// Where the connection broke.
    pub(crate) async fn run(
        self,
        sender: wire::Sender<ControlMessage>,
        mut receiver: wire::Receiver<EntryMessage>,
    ) -> StepResult<()> {
        let (answers, queue) = mpsc::channel(ANSWER_LIMIT);
        let (entered_to, entered) = watch::channel(false);
        let leave = answers.clone();
        let requests = Requests { sessions: Arc::clone(&self.sessions), answers, entered };
        let whole = Arc::clone(&self.whole);
        let push = Push::new(Arc::clone(&self.sessions), self.vm.clone(), sender, self.have);
        let pushing = push.run(queue, whole);
        let entering =
            enter(Arc::clone(&self.sessions), self.vm.clone(), self.owner, entered_to, leave);
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
        let room = Arc::new(Semaphore::new(REQUEST_LIMIT));
        while let Some(message) = receiver.recv().await? {
            match message {
                EntryMessage::Follow { .. } => {}
                EntryMessage::Usage(report) => {
                    // Use is summed and shares are guesses: a report that finds no room is lost.
                    let _ = self.sessions.usage.try_send((self.vm.clone(), report));
                }
                EntryMessage::NeedWhole => self.whole.notify_one(),
                EntryMessage::Draining => self.sessions.draining(self.number),
                EntryMessage::Behind { version, why } => {
                    self.sessions.behind(self.number, version, why);
                }
                EntryMessage::Confirm { ticket, have } => {
                    self.sessions.asked(self.number, have);
                    spawn(&room, requests.clone(), |it| it.confirm(ticket)).await;
                }
                other => spawn(&room, requests.clone(), |it| it.serve(other)).await,
            }
        }
        Ok(())
    }
}

/// Runs a request in its own task, once there is room.
async fn spawn<F>(room: &Arc<Semaphore>, requests: Requests, run: impl FnOnce(Requests) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    let Ok(permit) = Arc::clone(room).acquire_owned().await else {
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
        let by = Instant::now() + CONFIRM_TIMEOUT;
        let answer = match self.sessions.asker.read(by).await {
            Ok(()) => {
                let version = self.sessions.asker.core.published().borrow().version;
                ControlMessage::Confirmed { ticket, version }
            }
            Err(denied) => ControlMessage::Rejected { ticket, reason: denied.to_string() },
        };
        let _ = self.answers.send(answer).await;
    }

    async fn serve(mut self, message: EntryMessage) {
        let by = Instant::now() + REQUEST_TIMEOUT;
        let Some((ticket, command)) = command(message) else {
            return;
        };
        // What goes wrong: an earlier life of the entry claimed and died. Until the state knows
        // the new life, a resend of that claim would be told that it still runs.
        let entered =
            timeout_at(by, self.entered.wait_for(|it| *it)).await.is_ok_and(|it| it.is_ok());
        let answer = match entered {
            true => match self.sessions.asker.entry_command(command, by).await {
                Ok(Reply::Claim(answer)) => ControlMessage::Claim { ticket, answer },
                Ok(_) => ControlMessage::Committed { ticket },
                Err(denied) => refusal(ticket, &denied),
            },
            false => {
                let reason = "the state does not know this entry yet: no quorum".to_owned();
                ControlMessage::Rejected { ticket, reason }
            }
        };
        let _ = self.answers.send(answer).await;
    }
}

fn refusal(ticket: Ticket, denied: &Denied) -> ControlMessage {
    let reason = denied.to_string();
    match denied {
        Denied::NotRun(_) | Denied::Refused(_) => ControlMessage::Rejected { ticket, reason },
        Denied::Uncertain(_) => ControlMessage::Uncertain { ticket, reason },
    }
}

fn command(message: EntryMessage) -> Option<(Ticket, Command)> {
    let at = UnixMillis::now();
    match message {
        EntryMessage::Claim { ticket, request } => Some((ticket, Command::Claim { request, at })),
        EntryMessage::Finish { ticket, key, proof, answer } => {
            Some((ticket, Command::Finish { key, proof, answer, at }))
        }
        EntryMessage::Release { ticket, key, proof } => {
            Some((ticket, Command::Release { key, proof }))
        }
        _ => None,
    }
}

/// Makes the state know this life of the entry, for as long as the session lasts.
///
/// What goes wrong: the leader declares the life lost in the moment in which its session opens, and
/// the state then refuses every claim of a session that is alive. So the state is looked at again.
async fn enter(
    sessions: Arc<Sessions>,
    vm: VmName,
    owner: Incarnation,
    entered: watch::Sender<bool>,
    answers: mpsc::Sender<ControlMessage>,
) -> std::convert::Infallible {
    loop {
        if sessions.is_outside() {
            // A spare holds no state: it could neither serve nor confirm a version.
            let _ = answers.send(ControlMessage::Leave).await;
            tokio::time::sleep(LIVE_PERIOD).await;
            continue;
        }
        let command = Command::Enter { vm: vm.clone(), owner };
        let by = Instant::now() + REQUEST_TIMEOUT;
        if sessions.asker.command(command, by).await.is_ok() {
            entered.send_replace(true);
            while is_live(&sessions, &vm, owner).await {
                tokio::time::sleep(LIVE_PERIOD).await;
            }
        }
        tokio::time::sleep(ENTER_PAUSE).await;
    }
}

/// Tells whether the state as applied here counts this life as alive; it may lag for a moment.
async fn is_live(sessions: &Sessions, vm: &VmName, owner: Incarnation) -> bool {
    tokio::time::sleep(LIVE_PERIOD).await;
    let vm = vm.clone();
    let look =
        move |state: &State| state.live_incarnations().any(|it| (it.0, it.1) == (&vm, owner));
    sessions.asker.core.look(look).await.unwrap_or(true)
}
