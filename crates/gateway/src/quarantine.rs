//! Quarantine of requests that terminate the upstreams that run them: collects this entry's
//! evidence, and decides whether a request may be sent.
//!
//! Without it, a caller could repeat a request that terminates each upstream that runs it. One
//! upstream after the other would go down, with everything that others had in flight there.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use registry::RequestDigest;
use registry::quarantine::{Admission, Evidence, QuarantineView, RunSeen};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::exchange::Cause;
use crate::request::CallerRequest;
use crate::upstream::Upstream;

mod parts;
mod probe;
#[cfg(test)]
mod tests;

pub(crate) use self::parts::part_digests;

use self::parts::PartHistory;
use self::probe::{EndProbe, LostRuns};

/// A run whose first event is older than this is not suspected: a request that terminates its
/// upstream does so as it begins.
const SUSPECT_WINDOW: Duration = Duration::from_secs(1);

/// How often streams whose callers left are asked about for one part, at most: one word for all of them.
const SOUND_INTERVAL: Duration = Duration::from_millis(500);

/// How often, and at which interval, it is checked whether the upstream of such a stream lives on. One that
/// serves others is heard all the time; of one that serves nobody nothing is known.
const SOUND_CHECKS: u32 = 5;
const SOUND_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// How long a request waits for the leader to grant a trial.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(300);

/// The times of a run at an upstream that matter if the upstream ends.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunTimes {
    /// When the request was sent.
    pub(crate) sent: Instant,
    /// When the first event came, if it did.
    pub(crate) first: Option<Instant>,
}

/// A request that may not be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Quarantined {
    /// The time after which it may be tried.
    pub(crate) after: Duration,
}

/// The quarantine as this entry knows it, and the evidence that it collects.
#[derive(Debug)]
pub(crate) struct Quarantine {
    known: watch::Receiver<Arc<QuarantineView>>,
    evidence: mpsc::Sender<Evidence>,
    own: SocketAddr,
    start: Instant,
    /// Runs lost at upstreams that may have terminated, until the probe of the upstream has
    /// finished.
    lost: Arc<Mutex<HashMap<Arc<str>, LostRuns>>>,
    /// The parts of prompts with which requests have completed.
    history: Arc<Mutex<PartHistory>>,
    /// The number of the last trial used of each request.
    trials: Mutex<HashMap<RequestDigest, u32>>,
}

impl Quarantine {
    pub(crate) fn new(
        known: watch::Receiver<Arc<QuarantineView>>,
        evidence: mpsc::Sender<Evidence>,
        own: SocketAddr,
    ) -> Self {
        let start = Instant::now();
        let (lost, history, trials) = Default::default();
        Self { known, evidence, own, start, lost, history, trials }
    }

    /// Returns the number of requests in quarantine.
    pub(crate) fn held_count(&self) -> usize {
        self.known.borrow().count()
    }

    /// Checks whether a request may be sent to an upstream of a service now. A request sent as a trial
    /// already has permission.
    pub(crate) fn check(&self, request: &CallerRequest, service: &str) -> Result<(), Quarantined> {
        if request.is_trial() {
            return Ok(());
        }
        match self.strictest(request, service).1 {
            Admission::Allowed | Admission::Watched => Ok(()),
            Admission::Held(after) => Err(Quarantined { after }),
            Admission::TrialDue => Err(Quarantined { after: TRIAL_TIMEOUT }),
        }
    }

    /// Returns how a request or one of the parts of its prompt is handled, whichever is handled most
    /// strictly.
    fn strictest(&self, request: &CallerRequest, service: &str) -> (RequestDigest, Admission) {
        let known = self.known.borrow();
        if known.is_empty() {
            return (RequestDigest::default(), Admission::Allowed);
        }
        let suspects = [request.digest()].into_iter().chain(request.parts(service).iter().copied());
        let admissions = suspects.map(|it| (it, self.admission(&known, &it)));
        let strictest = admissions.max_by_key(|it| match it.1 {
            Admission::Allowed => (0, Duration::ZERO),
            Admission::Watched => (1, Duration::ZERO),
            Admission::TrialDue => (2, Duration::ZERO),
            Admission::Held(after) => (3, after),
        });
        strictest.unwrap_or_default()
    }

    /// Returns whether a request may not be sent to upstreams now.
    pub(crate) fn is_quarantined(&self, digest: &RequestDigest) -> bool {
        let known = self.known.borrow();
        matches!(self.admission(&known, digest), Admission::Held(_))
    }

    /// Returns whether upstreams terminated while they ran a request, so that what is sent together
    /// with it may be lost.
    pub(crate) fn is_suspected(&self, digest: &RequestDigest) -> bool {
        let known = self.known.borrow();
        self.admission(&known, digest) != Admission::Allowed
    }

    /// Returns whether a request whose call failed so is to be sent to no other upstream within the same
    /// attempt: it was lost, and other upstreams have terminated while they ran it.
    pub(crate) fn is_suspect(&self, request: &CallerRequest, cause: Cause) -> bool {
        cause == Cause::Lost && self.is_suspected(&request.digest())
    }

    fn admission(&self, known: &QuarantineView, digest: &RequestDigest) -> Admission {
        if known.is_empty() {
            return Admission::Allowed;
        }
        known.admission(digest, Instant::now().into_std())
    }

    /// Decides on an arriving request. One whose time in quarantine is over may become a trial.
    pub(crate) async fn admit(
        &self,
        request: &CallerRequest,
        service: &str,
    ) -> Result<(), Quarantined> {
        let (digest, admission) = self.strictest(request, service);
        let admitted = match admission {
            Admission::Allowed | Admission::Watched => Ok(()),
            Admission::Held(after) => Err(Quarantined { after }),
            Admission::TrialDue => self.request_trial(request, digest).await,
        };
        admitted.inspect_err(|it| {
            log::info!(request = request.head.attempt.as_str(), digest:% = digest,
                parts = request.shared_parts_text(), after_ms = it.after.as_millis() as u64;
                "refused a quarantined request: upstreams terminated while they ran it");
        })
    }

    /// Asks for the trial of a request, or of the part of its prompt, with this digest.
    async fn request_trial(
        &self,
        request: &CallerRequest,
        digest: RequestDigest,
    ) -> Result<(), Quarantined> {
        self.report(Evidence::Try(digest));
        let mut known = self.known.clone();
        let granted = known.wait_for(|it| self.claim_trial(it, &digest));
        match timeout(TRIAL_TIMEOUT, granted).await {
            Ok(Ok(_)) => {
                log::info!(request = request.head.attempt.as_str(), digest:% = digest;
                    "trying a quarantined request once");
                request.set_trial();
                Ok(())
            }
            Ok(Err(_)) | Err(_) => Err(Quarantined { after: TRIAL_TIMEOUT }),
        }
    }

    /// Claims the trial that the leader granted to this entry, if no request has used it yet.
    fn claim_trial(&self, known: &QuarantineView, digest: &RequestDigest) -> bool {
        let Some(number) = known.trial(digest, self.own) else { return false };
        let mut trials = lock(&self.trials);
        if trials.get(digest).is_some_and(|it| *it >= number) {
            return false;
        }
        trials.insert(*digest, number);
        true
    }

    /// Records that a run ended with the complete answer of its upstream.
    pub(crate) fn record_completed(&self, request: &CallerRequest) {
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
        self.report(Evidence::Completed(digest));
    }

    /// Records that a stream ended whole, so that the parts of its prompt terminate no upstream.
    pub(crate) fn record_whole_stream(&self, request: &CallerRequest, service: &str) {
        self.record_completed(request);
        self.record_sound(request.parts(service));
    }

    /// Records a stream whose caller left after its first event. The parts of its prompt terminate no
    /// upstream if its own one lives on past the time in which one that reads them would terminate.
    pub(crate) fn record_left_stream(
        self: &Arc<Self>,
        parts: &[RequestDigest],
        upstream: Arc<Upstream>,
        times: RunTimes,
    ) {
        let Some(first) = times.first else { return };
        let parts = {
            let history = lock(&self.history);
            let now = Instant::now();
            let is_due = |it: &&RequestDigest| {
                let since = history.since_completion(**it, now);
                since.is_none_or(|it| it >= SOUND_INTERVAL)
            };
            parts.iter().filter(is_due).copied().collect::<Vec<_>>()
        };
        if parts.is_empty() {
            return;
        }
        let quarantine = Arc::clone(self);
        tokio::spawn(async move {
            let survived = first + SUSPECT_WINDOW;
            sleep_until(survived).await;
            for _ in 0..SOUND_CHECKS {
                if upstream.has_been_heard_since(survived) {
                    quarantine.record_sound(&parts);
                    return;
                }
                sleep(SOUND_CHECK_INTERVAL).await;
            }
        });
    }

    /// Records that parts of prompts terminate no upstream, and reports it for those that are suspected.
    fn record_sound(&self, parts: &[RequestDigest]) {
        lock(&self.history).record(parts, Instant::now());
        let known = self.known.borrow();
        let suspected = |it: &&RequestDigest| self.admission(&known, it) != Admission::Allowed;
        let suspected: Vec<RequestDigest> = parts.iter().filter(suspected).copied().collect();
        drop(known);
        suspected.into_iter().for_each(|it| self.report(Evidence::Completed(it)));
    }

    /// Records that a run lost its connection, and probes whether its upstream has terminated. `parts`
    /// are the shared parts of the request's prompt.
    pub(crate) fn record_lost_run(
        &self,
        (digest, parts): (RequestDigest, &[RequestDigest]),
        upstream: &Arc<Upstream>,
        times: RunTimes,
    ) {
        let now = Instant::now();
        if times.first.is_some_and(|it| now.duration_since(it) > SUSPECT_WINDOW) {
            lock(&self.history).record(parts, now);
            return;
        }
        let age = now.duration_since(times.sent);
        let run = RunSeen { digest, age_ms: age.as_millis() as u32 };
        let mut lost = lock(&self.lost);
        let is_first = !lost.contains_key(&upstream.id);
        lost.entry(Arc::clone(&upstream.id)).or_default().add(run, parts);
        drop(lost);
        if is_first {
            let probe = EndProbe {
                upstream: Arc::clone(upstream),
                start: self.start,
                at: now,
                lost: Arc::clone(&self.lost),
                history: Arc::clone(&self.history),
                evidence: self.evidence.clone(),
            };
            tokio::spawn(probe.run());
        }
    }

    fn report(&self, evidence: Evidence) {
        report(&self.evidence, evidence);
    }
}

fn report(sender: &mpsc::Sender<Evidence>, evidence: Evidence) {
    if let Err(error) = sender.try_send(evidence) {
        log::warn!(cause:% = error;
            "dropped the evidence against a request: it could not be queued");
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
