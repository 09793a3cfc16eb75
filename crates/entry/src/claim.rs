//! Requests that run at most once.
//!
//! The claim is committed at the request's start, before any stage: a resend then finds it under
//! way instead of working through the stages before the non-repeatable one again. All of it runs
//! in a task of its own, since a caller that leaves must not take a granted claim with it. The task
//! says its end only once that end is committed, so every resend, to any entry, gets the same.

use std::sync::Arc;
use std::time::{Duration, Instant};

use follower::{ClaimError, Claimed};
use tokio::sync::mpsc;
use tokio::time::sleep;
use types::{ClaimAnswer, ClaimKey, ClaimRequest, ClaimTicket, RefusalReason};

use crate::answer::retry_after;
use crate::core::Core;
use crate::outcome::{Asked, Ending, Granted, Halt, Problem, Progress, Reason};
use crate::reply::Reply;
use crate::request::Request;
use crate::run;
use crate::session::Session;
use crate::sink::{DetachedSink, Item};

/// How long one try to commit a claim may take. A try that is given up leaves its command in the log, so
/// it is far longer than slow disks need.
const CLAIM: Duration = Duration::from_secs(6);

/// How long after the first rejected claim others wait for a new leader.
const FAILOVER: Duration = Duration::from_millis(1_500);

/// How long one try to commit a claim's end may take.
const COMMIT: Duration = Duration::from_secs(6);

/// The pause between such tries.
const PAUSE: Duration = Duration::from_millis(200);

/// How long a draining entry goes on trying.
const DRAIN: Duration = Duration::from_secs(10);

/// One claim and its proof.
struct Claim<'a, S> {
    core: &'a Core<S>,
    key: ClaimKey,
    ticket: ClaimTicket,
}

/// Runs a request under its key and returns its end, which is committed.
pub(crate) async fn live<S: Session>(
    core: Arc<Core<S>>,
    mut request: Request,
    key: ClaimKey,
    events: Option<mpsc::Sender<Item>>,
) -> Reply {
    request.claimed = Some(Instant::now());
    let claim = Claim { core: &core, key, ticket: core.ticket() };
    let asked = Asked::now();
    let answer = match claim.ask(&request).await {
        Ok(Claimed { answer, open_attempt }) => {
            if open_attempt && !answer.is_settled() {
                claim.keep_out().await;
            }
            answer
        }
        Err(ClaimError::Rejected(why)) => return claim.unasked(&request, &why),
        Err(error) => {
            claim.keep_out().await;
            return claim.unasked(&request, &error.to_string());
        }
    };
    match answer {
        ClaimAnswer::Done(answer) => Reply::restored(answer, request.id),
        ClaimAnswer::Granted => match asked.granted(&answer) {
            Some(granted) => claim.run(&request, granted, events).await,
            None => claim.unasked(&request, "no grant"),
        },
        _ => {
            let problem = refused(asked, &answer);
            Reply::new(&Ending::Problem(problem), request.id, request.arrived.elapsed())
        }
    }
}

/// Says what an answer means that is neither a grant nor the end of the request.
fn refused(asked: Asked, answer: &ClaimAnswer) -> Problem {
    let (reason, detail) = match answer {
        ClaimAnswer::OwnerLost => {
            let detail = "the entry that ran this request is lost. Whether the call that may not \
                          be repeated ran is not known, and it never runs again under this key: \
                          ask the service it was meant for, and send a new key if it did not run";
            return Problem::unknown(Halt::new(Reason::OwnerLost, detail));
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
            return Problem::under_way(Halt::new(Reason::Running, detail).after(retry_after()));
        }
    };
    let halt = Halt::new(reason, detail);
    let halt = if reason == Reason::KeysFull { halt.after(retry_after()) } else { halt };
    Problem::of(&Progress::at_arrival(), asked.denied(answer), halt)
}

fn word(claimed: &Result<Claimed, ClaimError>) -> &'static str {
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
    /// Asks for the claim. Where the answer is lost it asks again with the same ticket, by which
    /// the state knows the repeated command from a second request.
    ///
    /// A rejected claim is asked for again too while the quorum was lost a moment ago: a leader that
    /// falls is replaced well within a request's deadline. Once that has not come about, requests
    /// are refused at once.
    async fn ask(&self, request: &Request) -> Result<Claimed, ClaimError> {
        let mut lost = None;
        let has_time = || Instant::now() + PAUSE < request.by();
        loop {
            let by = request.by().min(Instant::now() + CLAIM);
            match self.claim(request, by).await {
                Ok(Claimed { answer, open_attempt }) => {
                    self.core.quorum.found();
                    return Ok(Claimed { answer, open_attempt: open_attempt || lost.is_some() });
                }
                Err(ClaimError::Uncertain(why)) => lost = Some(why),
                Err(ended @ ClaimError::Ended(_)) => lost = Some(ended.to_string()),
                Err(ClaimError::Rejected(why)) => {
                    let short = self.core.quorum.lost() < FAILOVER && has_time();
                    // Certain of this try only: one before may yet come to stand.
                    if lost.is_none() && !short {
                        return Err(ClaimError::Rejected(why));
                    }
                }
            }
            if !has_time() {
                return Err(ClaimError::Uncertain(lost.unwrap_or_default()));
            }
            sleep(PAUSE).await;
        }
    }

    async fn claim(&self, request: &Request, by: Instant) -> Result<Claimed, ClaimError> {
        let (key, ticket) = (self.key.clone(), self.ticket.clone());
        let ask = ClaimRequest { key, fingerprint: request.fingerprint, ticket };
        let began = Instant::now();
        let answer = self.core.session.claim(ask, by).await;
        self.core.metrics.commit("claim", began.elapsed());
        self.core.metrics.claim(word(&answer));
        answer
    }

    /// Has the state refuse what is left of this attempt's claim.
    ///
    /// What goes wrong otherwise: a sending of the claim that was never answered is held back by a
    /// link or a member; the attempt ends without a grant; the key is free again by the time the
    /// sending arrives, and it is granted to an attempt that is gone. Every resend is then told that
    /// the request is under way, until this process ends.
    async fn keep_out(&self) {
        if let Err(error) = self.release().await {
            let key = &self.key.key;
            log::info!(key:% = key, peer = "control"; "no release of what was not granted: {error}");
        }
    }

    /// Says that the state could not be asked.
    fn unasked(&self, request: &Request, why: &str) -> Reply {
        let reason = Reason::Refused(RefusalReason::NoQuorum);
        let halt = Halt::new(reason, format!("the request could not be claimed: {why}"));
        Reply::refuse(halt.after(retry_after()), true, request.id)
    }

    /// Runs the pipeline inside the granted claim.
    async fn run(
        &self,
        request: &Request,
        granted: Granted,
        events: Option<mpsc::Sender<Item>>,
    ) -> Reply {
        let mut progress = Progress::at_arrival();
        let mut sink = DetachedSink::new(events);
        let result = run::run(self.core, request, &mut progress, &mut sink).await;
        let ending = match result {
            Ok(whole) => Ending::Complete(Arc::new(whole)),
            Err(halt) if !progress.is_once_sent() => {
                return self.give_up(request, granted, &progress, halt).await;
            }
            Err(halt) if halt.reason == Reason::CallLost => Ending::Problem(lost(halt)),
            Err(halt) => Ending::Problem(Problem::failed(halt)),
        };
        let reply = Reply::new(&ending, request.id, request.arrived.elapsed());
        match self.finish(request, &reply).await {
            Ok(()) => reply,
            // Not said: were this entry lost before the commit, resends would be told otherwise.
            Err(_) => {
                let detail = "the request has ended and its answer is not stored yet";
                let halt = Halt::new(Reason::Storing, detail).after(retry_after());
                let ending = Ending::Problem(Problem::under_way(halt));
                Reply::new(&ending, request.id, request.arrived.elapsed())
            }
        }
    }

    /// Stores the answer; returns once it is committed.
    ///
    /// # Errors
    /// Where a drain left no time for it.
    async fn finish(&self, request: &Request, reply: &Reply) -> Result<(), ClaimError> {
        let limit = request.view.service().claims.answer.0;
        let answer = reply.stored(limit);
        loop {
            let stored = self
                .until_committed("finish", || {
                    let (key, ticket, by) = self.parts();
                    self.core.session.finish(key, ticket, answer.clone(), by)
                })
                .await;
            if stored.is_ok() || self.is_drained() {
                return stored;
            }
            sleep(PAUSE).await;
        }
    }

    /// Ends a request whose non-repeatable call was never sent, or did not run.
    ///
    /// What goes wrong without the release: the claim stays with this entry, and the caller that
    /// was told "not run" finds it under way at every resend, until this process dies and it turns
    /// into "unknown". So nothing is said before the release is committed.
    async fn give_up(
        &self,
        request: &Request,
        granted: Granted,
        progress: &Progress,
        halt: Halt,
    ) -> Reply {
        let released = self.release().await;
        let problem = match granted.released(&released) {
            Some(unclaimed) => Problem::of(progress, Some(unclaimed), again(halt)),
            None => Problem::under_way(doubtful(&halt)),
        };
        Reply::new(&Ending::Problem(problem), request.id, request.arrived.elapsed())
    }

    /// Gives the claim up; returns once that is committed.
    ///
    /// A rejected release had no effect, so it is tried again, whoever holds the key meanwhile: only
    /// a committed one keeps out a sending of the claim that is still on its way.
    ///
    /// # Errors
    /// Where the key has ended, or a drain left no time.
    async fn release(&self) -> Result<(), ClaimError> {
        loop {
            let released = self
                .until_committed("release", || {
                    let (key, ticket, by) = self.parts();
                    self.core.session.release(key, ticket, by)
                })
                .await;
            match released {
                Err(ClaimError::Rejected(_)) if !self.is_drained() => sleep(PAUSE).await,
                released => return released,
            }
        }
    }

    fn parts(&self) -> (ClaimKey, ClaimTicket, Instant) {
        (self.key.clone(), self.ticket.clone(), Instant::now() + COMMIT)
    }

    /// Tries until the claim's end is committed, rejected or too late, or a drain leaves no more
    /// time.
    async fn until_committed<F, C>(&self, step: &str, commit: C) -> Result<(), ClaimError>
    where
        F: Future<Output = Result<(), ClaimError>> + Send,
        C: Fn() -> F,
    {
        loop {
            let began = Instant::now();
            let result = commit().await;
            self.core.metrics.commit(step, began.elapsed());
            match &result {
                Ok(()) | Err(ClaimError::Rejected(_) | ClaimError::Ended(_)) => return result,
                Err(_) if self.is_drained() => return result,
                Err(error) => {
                    let key = &self.key.key;
                    log::warn!(step, key:% = key, peer = "control"; "not committed yet: {error}");
                }
            }
            sleep(PAUSE).await;
        }
    }

    /// Tells whether a drain has waited long enough for a quorum.
    fn is_drained(&self) -> bool {
        self.core.drain.refusing_for().is_some_and(|it| it > DRAIN)
    }
}

/// Says that the call left, that its answer is lost, and what the caller should do.
fn lost(halt: Halt) -> Problem {
    Problem::unknown(halt.with(
        "it may have run, and it never runs again under this key: ask the service it was meant \
         for, and send a new key if it did not run",
    ))
}

fn again(halt: Halt) -> Halt {
    halt.with("nothing that may not be repeated ran, send it again with the same key")
}

fn doubtful(halt: &Halt) -> Halt {
    let detail = format!("{}; whether the key is free again is not known yet", halt.detail);
    Halt::new(Reason::ClaimLost, detail).after(retry_after())
}
