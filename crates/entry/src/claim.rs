//! Runs requests that may run at most once.
//!
//! The claim is committed when the request starts, before any stage: a resend then finds the
//! request in flight instead of running the stages before the non-repeatable one again. Each
//! request runs in its own task, because a caller that leaves must not abandon a granted claim. The
//! task reports its end only once that end is committed, so every resend, to any entry, gets the
//! same answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use follower::{ClaimError, Claimed};
use tokio::sync::mpsc;
use tokio::time::sleep;
use types::{ClaimAnswer, ClaimKey, ClaimRequest, ClaimTicket, RefusalReason};

use crate::answer::retry_after;
use crate::core::Core;
use crate::outcome::{ClaimRequested, Ending, Granted, Problem, Progress, Reason, RequestError};
use crate::reply::Reply;
use crate::request::Request;
use crate::run;
use crate::session::Session;
use crate::sink::{DetachedSink, Item};

/// The timeout of one attempt to commit a claim. An attempt that times out leaves its command in
/// the log, so the timeout is far longer than slow disks need.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(6);

/// How long after the first rejected claim other requests wait for a new leader.
const FAILOVER_WAIT: Duration = Duration::from_millis(1_500);

/// The timeout of one attempt to commit the end of a claim.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(6);

/// The delay between two attempts to commit.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// How long a draining entry keeps retrying to commit.
const DRAIN_RETRY_TIMEOUT: Duration = Duration::from_secs(10);

/// One claim and the ticket that proves its ownership.
struct Claim<'a, S> {
    core: &'a Core<S>,
    key: ClaimKey,
    ticket: ClaimTicket,
}

/// Runs a request under its key and returns its reply once its end is committed.
pub(crate) async fn execute<S: Session>(
    core: Arc<Core<S>>,
    mut request: Request,
    key: ClaimKey,
    events: Option<mpsc::Sender<Item>>,
) -> Reply {
    request.claimed = Some(Instant::now());
    let claim = Claim { core: &core, key, ticket: core.ticket() };
    let requested = ClaimRequested::now();
    let answer = match claim.acquire(&request).await {
        Ok(Claimed { answer, open_attempt }) => {
            if open_attempt && !answer.is_settled() {
                claim.revoke().await;
            }
            answer
        }
        Err(ClaimError::Rejected(why)) => return claim.no_quorum(&request, &why),
        Err(error) => {
            claim.revoke().await;
            return claim.no_quorum(&request, &error.to_string());
        }
    };
    match answer {
        ClaimAnswer::Done(answer) => Reply::restored(answer, request.id),
        ClaimAnswer::Granted => match requested.granted(&answer) {
            Some(granted) => claim.run_pipeline(&request, granted, events).await,
            None => claim.no_quorum(&request, "no grant"),
        },
        _ => {
            let problem = denial(requested, &answer);
            Reply::new(&Ending::Problem(problem), request.id, request.arrived.elapsed())
        }
    }
}

/// Returns the problem for an answer that is neither a grant nor a stored result.
fn denial(requested: ClaimRequested, answer: &ClaimAnswer) -> Problem {
    let (reason, detail) = match answer {
        ClaimAnswer::OwnerLost => {
            let detail = "the entry that ran this request is lost. Whether the call that may not \
                          be repeated ran is not known, and it never runs again under this key: \
                          ask the service it was meant for, and send a new key if it did not run";
            return Problem::unknown(RequestError::new(Reason::OwnerLost, detail));
        }
        ClaimAnswer::Mismatch => {
            (Reason::KeyMismatch, "this Idempotency-Key was used with another body; send a new key")
        }
        ClaimAnswer::Expired => {
            let detail = "this Idempotency-Key is too old for its record to exist still. Whether a \
                          request under it ran is not known: ask the service it was meant for, and \
                          send a new key if it did not run";
            (Reason::KeyExpired, detail)
        }
        ClaimAnswer::Full => {
            let detail = "there is no room for another Idempotency-Key; send it again later";
            (Reason::KeysFull, detail)
        }
        ClaimAnswer::Running | ClaimAnswer::Granted | ClaimAnswer::Done(_) => {
            let detail = "another attempt under this key is under way; send it again later";
            return Problem::in_flight(
                RequestError::new(Reason::Running, detail).retry_after(retry_after()),
            );
        }
    };
    let error = RequestError::new(reason, detail);
    let error = if reason == Reason::KeysFull { error.retry_after(retry_after()) } else { error };
    Problem::from_progress(&Progress::at_arrival(), requested.denied(answer), error)
}

fn answer_label(claimed: &Result<Claimed, ClaimError>) -> &'static str {
    match claimed.as_ref().map(|it| &it.answer) {
        Ok(ClaimAnswer::Granted) => "granted",
        Ok(ClaimAnswer::Running) => "running",
        Ok(ClaimAnswer::Done(_)) => "done",
        Ok(ClaimAnswer::OwnerLost) => "owner-lost",
        Ok(ClaimAnswer::Mismatch) => "mismatch",
        Ok(ClaimAnswer::Expired) => "expired",
        Ok(ClaimAnswer::Full) => "full",
        Err(ClaimError::Rejected(_)) => "rejected",
        Err(ClaimError::Uncertain(_)) => "uncertain",
        Err(ClaimError::Ended(_)) => "ended",
    }
}

impl<S: Session> Claim<'_, S> {
    /// Asks for the claim. If the answer is lost, it asks again with the same ticket, by which the
    /// replicated state tells the repeated command from a second request.
    ///
    /// A rejected claim is also asked for again while the quorum has been lost only briefly: a
    /// failed leader is replaced well within a request's deadline. Once that time has passed
    /// without a new leader, requests are refused at once.
    async fn acquire(&self, request: &Request) -> Result<Claimed, ClaimError> {
        let mut lost = None;
        let has_time = || Instant::now() + RETRY_DELAY < request.deadline();
        loop {
            let deadline = request.deadline().min(Instant::now() + CLAIM_TIMEOUT);
            match self.claim_once(request, deadline).await {
                Ok(Claimed { answer, open_attempt }) => {
                    self.core.quorum_loss.clear();
                    return Ok(Claimed { answer, open_attempt: open_attempt || lost.is_some() });
                }
                Err(ClaimError::Uncertain(why)) => lost = Some(why),
                Err(ended @ ClaimError::Ended(_)) => lost = Some(ended.to_string()),
                Err(ClaimError::Rejected(why)) => {
                    let short =
                        self.core.quorum_loss.record_rejection() < FAILOVER_WAIT && has_time();
                    // The rejection concerns this attempt only; the command of an earlier one may
                    // still be committed.
                    if lost.is_none() && !short {
                        return Err(ClaimError::Rejected(why));
                    }
                }
            }
            if !has_time() {
                return Err(ClaimError::Uncertain(lost.unwrap_or_default()));
            }
            sleep(RETRY_DELAY).await;
        }
    }

    async fn claim_once(
        &self,
        request: &Request,
        deadline: Instant,
    ) -> Result<Claimed, ClaimError> {
        let (key, ticket) = (self.key.clone(), self.ticket.clone());
        let claim_request = ClaimRequest { key, fingerprint: request.fingerprint, ticket };
        let began = Instant::now();
        let answer = self.core.session.claim(claim_request, deadline).await;
        self.core.metrics.claim_step("claim", began.elapsed());
        self.core.metrics.claim_answer(answer_label(&answer));
        answer
    }

    /// Releases the claim, so that the replicated state refuses any command of this attempt that is
    /// still in transit.
    ///
    /// Otherwise a claim command that was never answered can be delayed by a link or a member while
    /// the attempt ends without a grant. Once the key is free again, the late command is granted to
    /// an attempt that no longer exists, and every resend is told that the request is in flight
    /// until this process ends.
    async fn revoke(&self) {
        if let Err(error) = self.release().await {
            let key = &self.key.key;
            log::info!(key:% = key, peer = "control";
                "could not release a claim that was not granted: {error}");
        }
    }

    /// Returns the refusal for a claim that could not be asked for.
    fn no_quorum(&self, request: &Request, why: &str) -> Reply {
        let reason = Reason::Refused(RefusalReason::NoQuorum);
        let error = RequestError::new(reason, format!("the request could not be claimed: {why}"));
        Reply::refuse(error.retry_after(retry_after()), true, request.id)
    }

    /// Runs the pipeline under the granted claim.
    async fn run_pipeline(
        &self,
        request: &Request,
        granted: Granted,
        events: Option<mpsc::Sender<Item>>,
    ) -> Reply {
        let mut progress = Progress::at_arrival();
        let mut sink = DetachedSink::new(events);
        let result = run::run(self.core, request, &mut progress, &mut sink).await;
        let ending = match result {
            Ok(complete) => Ending::Complete(Arc::new(complete)),
            Err(error) if !progress.non_repeatable_may_have_run() => {
                return self.give_up(request, granted, &progress, error).await;
            }
            Err(error) if error.reason == Reason::CallLost => Ending::Problem(call_lost(error)),
            Err(error) => Ending::Problem(Problem::failed(error)),
        };
        let reply = Reply::new(&ending, request.id, request.arrived.elapsed());
        match self.finish(request, &reply).await {
            Ok(()) => reply,
            // The outcome is withheld: if this entry were lost before the commit, resends would get
            // another one.
            Err(_) => {
                let detail = "the request has ended and its answer is not stored yet";
                let error = RequestError::new(Reason::Storing, detail).retry_after(retry_after());
                let ending = Ending::Problem(Problem::in_flight(error));
                Reply::new(&ending, request.id, request.arrived.elapsed())
            }
        }
    }

    /// Stores the answer and returns once it is committed.
    ///
    /// # Errors
    /// Returns an error if a drain leaves no time for it.
    async fn finish(&self, request: &Request, reply: &Reply) -> Result<(), ClaimError> {
        let limit = request.view.service().claims.answer.0;
        let answer = reply.stored(limit);
        loop {
            let stored = self
                .retry_until_committed("finish", || {
                    let (key, ticket, deadline) = self.commit_args();
                    self.core.session.finish(key, ticket, answer.clone(), deadline)
                })
                .await;
            if stored.is_ok() || self.is_drained() {
                return stored;
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Ends a request whose non-repeatable call was never sent, or did not run.
    ///
    /// Nothing is reported before the release is committed. Otherwise the claim would stay with
    /// this entry: the caller that was told "not run" would find its request in flight at every
    /// resend, until this process ends and the outcome turns into "unknown".
    async fn give_up(
        &self,
        request: &Request,
        granted: Granted,
        progress: &Progress,
        error: RequestError,
    ) -> Reply {
        let released = self.release().await;
        let problem = match granted.released(&released) {
            Some(unclaimed) => {
                Problem::from_progress(progress, Some(unclaimed), with_resend_hint(error))
            }
            None => Problem::in_flight(release_uncertain(&error)),
        };
        Reply::new(&Ending::Problem(problem), request.id, request.arrived.elapsed())
    }

    /// Releases the claim and returns once the release is committed.
    ///
    /// A rejected release had no effect, so it is retried even if another attempt holds the key
    /// meanwhile: only a committed release keeps out a claim command that is still in transit.
    ///
    /// # Errors
    /// Returns an error if the key has ended, or if a drain leaves no time.
    async fn release(&self) -> Result<(), ClaimError> {
        loop {
            let released = self
                .retry_until_committed("release", || {
                    let (key, ticket, deadline) = self.commit_args();
                    self.core.session.release(key, ticket, deadline)
                })
                .await;
            match released {
                Err(ClaimError::Rejected(_)) if !self.is_drained() => sleep(RETRY_DELAY).await,
                released => return released,
            }
        }
    }

    fn commit_args(&self) -> (ClaimKey, ClaimTicket, Instant) {
        (self.key.clone(), self.ticket.clone(), Instant::now() + COMMIT_TIMEOUT)
    }

    /// Retries until the claim's end is committed, rejected or too late, or until a drain leaves no
    /// time.
    async fn retry_until_committed<F, C>(&self, step: &str, commit: C) -> Result<(), ClaimError>
    where
        F: Future<Output = Result<(), ClaimError>> + Send,
        C: Fn() -> F,
    {
        loop {
            let began = Instant::now();
            let result = commit().await;
            self.core.metrics.claim_step(step, began.elapsed());
            match &result {
                Ok(()) | Err(ClaimError::Rejected(_) | ClaimError::Ended(_)) => return result,
                Err(_) if self.is_drained() => return result,
                Err(error) => {
                    let key = &self.key.key;
                    log::warn!(step, key:% = key, peer = "control";
                        "claim step not committed yet, retrying: {error}");
                }
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Returns whether a drain has waited long enough for a quorum.
    fn is_drained(&self) -> bool {
        self.core.drain.refusing_for().is_some_and(|it| it > DRAIN_RETRY_TIMEOUT)
    }
}

/// Adds to the error that the call was sent and its answer lost, and what the caller should do.
fn call_lost(error: RequestError) -> Problem {
    Problem::unknown(error.with_detail(
        "it may have run, and it never runs again under this key: ask the service it was meant \
         for, and send a new key if it did not run",
    ))
}

fn with_resend_hint(error: RequestError) -> RequestError {
    error.with_detail("nothing that may not be repeated ran, send it again with the same key")
}

fn release_uncertain(error: &RequestError) -> RequestError {
    let detail = format!("{}; whether the key is free again is not known yet", error.detail);
    RequestError::new(Reason::ClaimLost, detail).retry_after(retry_after())
}
