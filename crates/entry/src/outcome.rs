//! Types that allow an outcome to be reported only with the evidence for it.
//!
//! Without them, an error path far from the socket can report `not-run` because the error looks
//! like a refusal although a call has already left: the caller sends the work again and it runs
//! twice. Or an entry that does not know about the attempt that did run refuses a resend as
//! `not-run`. `not-run` therefore takes two proofs by value. [`NothingSent`] shows that no byte of
//! any stage call of this attempt can have left, and comes only from a [`Progress`] whose every
//! call has returned its evidence. [`Unclaimed`] shows that no other attempt under the request's
//! key ran or holds its claim.

use std::sync::Arc;
use std::time::Duration;

use types::{ClaimAnswer, IdempotencyKey, Outcome, Refusal, RefusalReason};
use upstream::{Declined, Unsent};

use crate::answer::CompleteAnswer;

/// The reason why a request did not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// Admission, a queue or the choice of an upstream refused it.
    Refused(RefusalReason),
    /// The request is malformed.
    BadRequest,
    /// The bearer key is missing or unknown.
    Unauthorized,
    /// The customer is not allowed to use the pipeline.
    Forbidden,
    /// The pipeline or path does not exist.
    NoPipeline,
    /// The caller took too long to send the request.
    ReadTimeout,
    /// The connection closed before the end of the request.
    RequestCut,
    /// The body is too large.
    TooLarge,
    /// The pipeline needs an idempotency key.
    KeyMissing,
    /// The idempotency key was used with another body.
    KeyMismatch,
    /// The idempotency key has expired.
    KeyExpired,
    /// The limit of idempotency keys is reached.
    KeysFull,
    /// Another attempt under the same key is in flight.
    Running,
    /// The request has ended and its answer is not stored yet.
    Storing,
    /// The entry that ran the request is lost.
    OwnerLost,
    /// It is unknown whether the claim is still held.
    ClaimLost,
    /// A call was sent and its answer is lost.
    CallLost,
    /// An upstream failed.
    Upstream,
    /// Every upstream that was called declined.
    Declined,
    /// The deadline passed.
    Deadline,
    /// The caller closed its connection.
    CallerGone,
}

impl Reason {
    /// Returns whether the content of the request itself is the reason, so that every attempt with
    /// the same content is refused as well.
    pub fn is_inherent(self) -> bool {
        matches!(
            self,
            Reason::BadRequest
                | Reason::Unauthorized
                | Reason::Forbidden
                | Reason::NoPipeline
                | Reason::TooLarge
                | Reason::KeyMissing
        )
    }

    /// Returns the reason as written in answers, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Refused(reason) => reason.as_str(),
            Reason::BadRequest => "bad-request",
            Reason::Unauthorized => "unauthorized",
            Reason::Forbidden => "forbidden",
            Reason::NoPipeline => "no-pipeline",
            Reason::ReadTimeout => "read-timeout",
            Reason::RequestCut => "request-cut",
            Reason::TooLarge => "too-large",
            Reason::KeyMissing => "key-missing",
            Reason::KeyMismatch => "key-mismatch",
            Reason::KeyExpired => "key-expired",
            Reason::KeysFull => "keys-full",
            Reason::Running => "running",
            Reason::Storing => "storing",
            Reason::OwnerLost => "owner-lost",
            Reason::ClaimLost => "claim-lost",
            Reason::CallLost => "call-lost",
            Reason::Upstream => "upstream",
            Reason::Declined => "declined",
            Reason::Deadline => "deadline",
            Reason::CallerGone => "caller-gone",
        }
    }
}

/// Why a request stopped, before it is decided which outcome that means for the caller.
#[derive(Clone, Debug)]
pub struct RequestError {
    /// The reason.
    pub reason: Reason,
    /// What happened, as a sentence for the caller.
    pub detail: String,
    /// The time after which the caller may retry, where a retry makes sense.
    pub retry_after: Option<Duration>,
}

impl RequestError {
    /// Creates an error without a retry delay.
    pub fn new(reason: Reason, detail: impl Into<String>) -> Self {
        Self { reason, detail: detail.into(), retry_after: None }
    }

    /// Appends advice for the caller to the detail.
    pub fn with_detail(mut self, more: &str) -> Self {
        self.detail.push_str("; ");
        self.detail.push_str(more);
        self
    }

    /// Sets the time after which the caller may retry.
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}

impl From<Refusal> for RequestError {
    fn from(refusal: Refusal) -> Self {
        let detail = format!("refused: {}", refusal.reason.as_str());
        Self::new(Reason::Refused(refusal.reason), detail).retry_after(refusal.retry_after)
    }
}

/// Proof that no byte of any stage call of a request can have reached an upstream.
#[derive(Debug)]
pub struct NothingSent(());

/// Proof that no other attempt under the request's key ran, and that none holds its claim.
#[derive(Debug)]
pub struct Unclaimed(());

impl Unclaimed {
    /// Returns the proof for a request without a key, which other attempts cannot concern.
    pub fn keyless(key: Option<&IdempotencyKey>) -> Option<Self> {
        key.is_none().then_some(Self(()))
    }

    /// Returns the proof for a request that is refused before a claim was asked for. A refusal
    /// under a key says nothing about other attempts, unless the request's own content is the
    /// reason: then no attempt was ever accepted.
    pub fn of_refusal(has_key: bool, reason: Reason) -> Option<Self> {
        (!has_key || reason.is_inherent()).then_some(Self(()))
    }
}

/// A claim that was asked for, whose state only an answer tells.
#[derive(Debug)]
pub struct ClaimRequested(());

impl ClaimRequested {
    /// Records that a claim is asked for.
    pub fn now() -> Self {
        Self(())
    }

    /// Returns the proof that this request never ran under this key: the key belongs to another
    /// request, or it is unknown and there is no room for it.
    pub fn denied(self, answer: &ClaimAnswer) -> Option<Unclaimed> {
        let never = matches!(answer, ClaimAnswer::Mismatch | ClaimAnswer::Full);
        never.then_some(Unclaimed(()))
    }

    /// Returns the proof that the claim was granted. The replicated state grants a key only while
    /// no attempt under it has run.
    pub fn granted(self, answer: &ClaimAnswer) -> Option<Granted> {
        matches!(answer, ClaimAnswer::Granted).then_some(Granted(()))
    }
}

/// Proof that the claim was granted to this attempt.
#[derive(Debug)]
pub struct Granted(());

impl Granted {
    /// Returns the proof that the claim was given up, if its release succeeded.
    pub fn released<E>(self, result: &Result<(), E>) -> Option<Unclaimed> {
        result.is_ok().then_some(Unclaimed(()))
    }
}

/// What is known about the calls of a request.
#[derive(Debug, Default)]
pub struct Progress {
    /// The number of calls that are not proven unsent.
    calls: u32,
    /// Whether an upstream answered a call.
    answered: bool,
    /// Whether the non-repeatable call may have run.
    once_sent: bool,
}

impl Progress {
    /// Creates the record of a request that has sent nothing.
    pub fn at_arrival() -> Self {
        Self::default()
    }

    /// Records that a call starts. Must be called before its first byte can leave.
    pub fn call_started(&mut self, repeatable: bool) {
        self.calls += 1;
        self.once_sent |= !repeatable;
    }

    /// Records that a call was never sent.
    pub fn call_unsent(&mut self, repeatable: bool, _evidence: Unsent) {
        self.calls = self.calls.saturating_sub(1);
        self.once_sent &= repeatable;
    }

    /// Records that the upstream declined the call. Bytes left, so the proof that nothing was sent
    /// is lost, but the non-repeatable call did not run.
    pub fn call_declined(&mut self, repeatable: bool, _evidence: &Declined) {
        self.once_sent &= repeatable;
    }

    /// Records that an upstream answered a call.
    pub fn upstream_answered(&mut self) {
        self.answered = true;
    }

    /// Returns whether the non-repeatable call may have run.
    pub fn non_repeatable_may_have_run(&self) -> bool {
        self.once_sent
    }

    /// Returns the proof that nothing was sent, if nothing was.
    pub fn nothing_sent(&self) -> Option<NothingSent> {
        (self.calls == 0).then_some(NothingSent(()))
    }
}

/// How a request ended.
#[derive(Clone, Debug)]
pub enum Ending {
    /// With a complete answer.
    Complete(Arc<CompleteAnswer>),
    /// Without one.
    Problem(Problem),
}

/// An answer that reports that a request is not complete.
#[derive(Clone, Debug)]
pub struct Problem {
    outcome: Outcome,
    status: u16,
    error: RequestError,
}

impl Problem {
    /// Reports that nothing ran.
    pub fn not_run(_sent: NothingSent, _claim: Unclaimed, error: RequestError) -> Self {
        let status = not_run_status(error.reason);
        Self { outcome: Outcome::NotRun, status, error }
    }

    /// Reports that the request may have run, and that this attempt ends here.
    pub fn unknown(error: RequestError) -> Self {
        Self { outcome: Outcome::Unknown, status: 504, error }
    }

    /// Reports that the request may have run, and that the caller should come back for the answer.
    pub fn in_flight(error: RequestError) -> Self {
        Self { outcome: Outcome::Unknown, status: 409, error }
    }

    /// Reports that the request ran and failed.
    pub fn failed(error: RequestError) -> Self {
        let status = if error.reason == Reason::Deadline { 504 } else { 502 };
        Self { outcome: Outcome::Failed, status, error }
    }

    /// Reports that this attempt did nothing, and that an earlier one under the same key may have
    /// run.
    ///
    /// Without this case, a resend whose first answer was lost, and which reaches an entry that is
    /// full, draining or without a quorum, would be refused as "not run". The caller would believe
    /// that and send the same booking under a new key.
    pub fn earlier_unknown(_sent: NothingSent, error: RequestError) -> Self {
        let status = not_run_status(error.reason);
        Self { outcome: Outcome::Unknown, status, error }
    }

    /// Reports what is known about a run that stopped.
    pub fn from_progress(
        progress: &Progress,
        unclaimed: Option<Unclaimed>,
        error: RequestError,
    ) -> Self {
        match (progress.nothing_sent(), unclaimed) {
            (Some(proof), Some(unclaimed)) => Self::not_run(proof, unclaimed, error),
            (Some(proof), None) => Self::earlier_unknown(proof, error),
            (None, _) => Self::after_calls(progress, error),
        }
    }

    /// Reports what is known about a run that sent at least one call and stopped.
    pub fn after_calls(progress: &Progress, error: RequestError) -> Self {
        if progress.answered || error.reason == Reason::Declined {
            Self::failed(error)
        } else {
            Self::unknown(error)
        }
    }

    /// Returns the outcome.
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// Returns the error behind the problem.
    pub fn error(&self) -> &RequestError {
        &self.error
    }
}

fn not_run_status(reason: Reason) -> u16 {
    match reason {
        Reason::BadRequest | Reason::KeyMissing | Reason::RequestCut => 400,
        Reason::Unauthorized => 401,
        Reason::Forbidden => 403,
        Reason::NoPipeline => 404,
        Reason::ReadTimeout => 408,
        Reason::TooLarge => 413,
        Reason::KeyMismatch | Reason::KeyExpired => 422,
        Reason::Refused(
            RefusalReason::CustomerRate
            | RefusalReason::CustomerConcurrency
            | RefusalReason::CustomerTokens,
        ) => 429,
        _ => 503,
    }
}
