//! Requests under which upstreams end: what this entry saw of them, and whether one may be sent.
//!
//! What goes wrong without it: a caller brings a request back that ends each upstream that runs it, and one
//! upstream after the other ends, with all that others had under way there.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use registry::RequestDigest;
use registry::quarantine::{Admission, EndSeen, Evidence, QuarantineView, RunSeen};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout};

use crate::request::CallerRequest;
use crate::upstream::Upstream;

/// When the upstream of a lost call is asked for a connection, after the loss and after the first answer. A
/// process that ends closes its connections and its port some ms apart.
const LOOKS: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(130)];

/// How long an answer may take; none says nothing, for the way there may be cut.
const LOOK_TIME: Duration = Duration::from_millis(250);

/// A run with events for this long is not suspected: what ends its upstream does so as it begins.
const BEGINS: Duration = Duration::from_secs(1);

/// How long a request waits for the leader's leave to be tried.
const LEAVE: Duration = Duration::from_millis(300);

/// The most runs that are told of one end.
const MOST_RUNS: usize = 64;

/// A run at an upstream, as far as it matters if the upstream ends.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunTimes {
    /// When it was sent.
    pub(crate) sent: Instant,
    /// When its first event came.
    pub(crate) first: Option<Instant>,
}

/// Why a request is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NotSent {
    /// When it may be tried.
    pub(crate) after: Duration,
}

/// What an entry knows and saw.
#[derive(Debug)]
pub(crate) struct Suspects {
    known: watch::Receiver<Arc<QuarantineView>>,
    evidence: mpsc::Sender<Evidence>,
    own: SocketAddr,
    start: Instant,
    /// Runs that were lost at upstreams that may have ended, until that is known.
    lost: Arc<Mutex<HashMap<Arc<str>, Vec<RunSeen>>>>,
    /// The last trial of each request that was used.
    trials: Mutex<HashMap<RequestDigest, u32>>,
}

impl Suspects {
    pub(crate) fn new(
        known: watch::Receiver<Arc<QuarantineView>>,
        evidence: mpsc::Sender<Evidence>,
        own: SocketAddr,
    ) -> Self {
        let start = Instant::now();
        Self { known, evidence, own, start, lost: Arc::default(), trials: Mutex::default() }
    }

    /// How many requests are not sent.
    pub(crate) fn held(&self) -> usize {
        self.known.borrow().count()
    }

    /// Whether a request may go on to an upstream now. One that is tried has its leave already.
    pub(crate) fn check(&self, request: &CallerRequest) -> Result<(), NotSent> {
        let known = self.known.borrow();
        if known.is_empty() || request.is_trial() {
            return Ok(());
        }
        match known.admission(&request.digest(), Instant::now().into_std()) {
            Admission::Allowed | Admission::Watched => Ok(()),
            Admission::Held(after) => Err(NotSent { after }),
            Admission::TrialDue => Err(NotSent { after: LEAVE }),
        }
    }

    /// Whether a request is not sent to upstreams now.
    pub(crate) fn is_held(&self, digest: &RequestDigest) -> bool {
        let known = self.known.borrow();
        matches!(self.standing(&known, digest), Admission::Held(_))
    }

    /// Whether upstreams ended under a request, so that what is sent with it may be lost.
    pub(crate) fn is_suspected(&self, digest: &RequestDigest) -> bool {
        let known = self.known.borrow();
        self.standing(&known, digest) != Admission::Allowed
    }

    fn standing(&self, known: &QuarantineView, digest: &RequestDigest) -> Admission {
        if known.is_empty() {
            return Admission::Allowed;
        }
        known.admission(digest, Instant::now().into_std())
    }

    /// Decides about a request that has come; one whose time on the list is over may become a trial.
    pub(crate) async fn admit(&self, request: &CallerRequest) -> Result<(), NotSent> {
        let standing = {
            let known = self.known.borrow();
            if known.is_empty() {
                return Ok(());
            }
            known.admission(&request.digest(), Instant::now().into_std())
        };
        match standing {
            Admission::Allowed | Admission::Watched => Ok(()),
            Admission::Held(after) => Err(NotSent { after }),
            Admission::TrialDue => self.try_once(request).await,
        }
    }

    async fn try_once(&self, request: &CallerRequest) -> Result<(), NotSent> {
        let digest = request.digest();
        self.tell(Evidence::Try(digest));
        let mut known = self.known.clone();
        let granted = known.wait_for(|it| self.uses_trial(it, &digest));
        match timeout(LEAVE, granted).await {
            Ok(Ok(_)) => {
                log::info!(request = request.ask.attempt.as_str(), digest:% = digest;
                    "trying a held request");
                request.set_trial();
                Ok(())
            }
            Ok(Err(_)) | Err(_) => Err(NotSent { after: LEAVE }),
        }
    }

    /// Uses the trial that the leader granted to this entry, if no request has used it yet.
    fn uses_trial(&self, known: &QuarantineView, digest: &RequestDigest) -> bool {
        let Some(number) = known.trial(digest, self.own) else { return false };
        let mut trials = lock(&self.trials);
        if trials.get(digest).is_some_and(|it| *it >= number) {
            return false;
        }
        trials.insert(*digest, number);
        true
    }

    /// Notes that a run ended with its upstream's whole answer.
    pub(crate) fn completed(&self, request: &CallerRequest) {
        let digest = {
            let known = self.known.borrow();
            if known.is_empty() {
                return;
            }
            let digest = request.digest();
            if known.admission(&digest, Instant::now().into_std()) == Admission::Allowed {
                return;
            }
            digest
        };
        self.tell(Evidence::Completed(digest));
    }

    /// Notes that a run lost its connection, and looks whether its upstream has ended.
    pub(crate) fn lost(&self, digest: RequestDigest, upstream: &Upstream, times: RunTimes) {
        let now = Instant::now();
        if times.first.is_some_and(|it| now.duration_since(it) > BEGINS) {
            return;
        }
        let age = now.duration_since(times.sent);
        let run = RunSeen { digest, age_ms: age.as_millis() as u32 };
        let mut lost = lock(&self.lost);
        let is_first = !lost.contains_key(&upstream.id);
        let runs = lost.entry(Arc::clone(&upstream.id)).or_default();
        if runs.len() < MOST_RUNS {
            runs.push(run);
        }
        drop(lost);
        if is_first {
            let look = Look {
                upstream: Arc::clone(&upstream.id),
                address: upstream.address,
                start: self.start,
                at: now,
                lost: Arc::clone(&self.lost),
                evidence: self.evidence.clone(),
            };
            tokio::spawn(look.run());
        }
    }

    fn tell(&self, evidence: Evidence) {
        tell(&self.evidence, evidence);
    }
}

/// Looks whether an upstream has ended.
struct Look {
    upstream: Arc<str>,
    address: SocketAddr,
    /// When the entry started.
    start: Instant,
    at: Instant,
    lost: Arc<Mutex<HashMap<Arc<str>, Vec<RunSeen>>>>,
    evidence: mpsc::Sender<Evidence>,
}

impl Look {
    async fn run(self) {
        let mut ended = false;
        for pause in LOOKS {
            sleep(pause).await;
            ended = is_refused(self.address).await;
            if ended {
                break;
            }
        }
        let runs = lock(&self.lost).remove(&self.upstream).unwrap_or_default();
        log::info!(upstream:% = self.upstream, ended, runs = runs.len();
            "looked whether an upstream that lost calls has ended");
        if !ended {
            return;
        }
        let ago_ms = self.at.elapsed().as_millis() as u32;
        let upstream = self.upstream.to_string();
        let seen = EndSeen { upstream, ago_ms, runs, clock: None };
        let at_ms = self.at.duration_since(self.start).as_millis() as u64;
        tell(&self.evidence, Evidence::EndedAt(at_ms, seen));
    }
}

/// Whether nobody listens at an address. A way that is cut gives no answer, which proves nothing.
async fn is_refused(address: SocketAddr) -> bool {
    match timeout(LOOK_TIME, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}

fn tell(sender: &mpsc::Sender<Evidence>, evidence: Evidence) {
    if let Err(error) = sender.try_send(evidence) {
        log::warn!(cause:% = error; "evidence against a request is lost");
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
