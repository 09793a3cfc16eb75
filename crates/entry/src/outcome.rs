//! Outcomes as types: what a caller is told can only be built from the evidence for it.
//!
//! What goes wrong without this: an error path far from the socket says `not-run` because it looks
//! like a refusal, though a call already left; the caller sends the work again and it runs twice.
//! Or a resend is refused as `not-run` by an entry that never heard of the attempt that did run.
//! Here `not-run` takes two proofs by value. [`Untouched`] says that no byte of any stage call of
//! this attempt can have left, and comes only from a [`Progress`] whose every call gave its evidence
//! back. [`Unclaimed`] says that no other attempt under the request's key ran or holds its claim.

use std::sync::Arc;
use std::time::Duration;

use types::{ClaimAnswer, IdempotencyKey, Outcome, Refusal, RefusalReason};
use upstream::{Declined, Unsent};

use crate::answer::Whole;

/// Why a request has no answer of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// Refused by admission, a queue or the choice of an upstream.
    Refused(RefusalReason),
    /// The request is malformed.
    BadRequest,
    /// The bearer key is missing or unknown.
    Unauthorized,
    /// The customer may not use the pipeline.
    Forbidden,
    /// There is no such pipeline or path.
    NoPipeline,
    /// The caller took too long to send the request.
    ReadTimeout,
    /// The request broke off before its end.
    RequestCut,
    /// The body is too large.
    TooLarge,
    /// The pipeline needs an idempotency key.
    KeyMissing,
    /// The idempotency key was used with another body.
    KeyMismatch,
    /// The idempotency key is too old.
    KeyExpired,
    /// There is no room for another idempotency key.
    KeysFull,
    /// Another attempt under the same key is under way.
    Running,
    /// The answer exists and is being stored.
    Storing,
    /// The entry that ran the request is lost.
    OwnerLost,
    /// Whether the claim stands is not known.
    ClaimLost,
    /// The call was sent and its answer is lost.
    CallLost,
    /// An upstream failed.
    Upstream,
    /// Every upstream that was asked declined.
    Declined,
    /// The deadline passed.
    Deadline,
    /// The caller left.
    CallerGone,
}

impl Reason {
    /// Tells whether a request is refused for what it says, so that every attempt with the same
    /// content is.
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

    /// Returns the word used in answers, logs and metrics.
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

/// Why a run stopped, before it is known what that means for the caller.
#[derive(Clone, Debug)]
pub struct Halt {
    /// The reason.
    pub reason: Reason,
    /// What happened, in a sentence for the caller.
    pub detail: String,
    /// When the caller may come back, where that makes sense.
    pub retry_after: Option<Duration>,
}

impl Halt {
    /// Makes a halt that names no time to come back.
    pub fn new(reason: Reason, detail: impl Into<String>) -> Self {
        Self { reason, detail: detail.into(), retry_after: None }
    }

    /// Adds what the caller should know besides.
    pub fn with(mut self, more: &str) -> Self {
        self.detail.push_str("; ");
        self.detail.push_str(more);
        self
    }

    /// Adds the time after which to come back.
    pub fn after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}

impl From<Refusal> for Halt {
    fn from(refusal: Refusal) -> Self {
        let detail = format!("refused: {}", refusal.reason.as_str());
        Self::new(Reason::Refused(refusal.reason), detail).after(refusal.retry_after)
    }
}

/// Proof that no byte of any stage call of a request can have reached an upstream.
#[derive(Debug)]
pub struct Untouched(());

/// Proof that no other attempt under the request's key ran, and that none holds its claim.
#[derive(Debug)]
pub struct Unclaimed(());

impl Unclaimed {
    /// Takes a request without a key: what other requests did is not its own.
    pub fn keyless(key: Option<&IdempotencyKey>) -> Option<Self> {
        key.is_none().then_some(Self(()))
    }

    /// Takes a refusal before a claim was asked for. Under a key it proves nothing of other
    /// attempts, unless it is for what the request itself says: then none was ever accepted.
    pub fn of_refusal(keyed: bool, reason: Reason) -> Option<Self> {
        (!keyed || reason.is_inherent()).then_some(Self(()))
    }
}

/// A claim that was asked for: only an answer tells how it stands.
#[derive(Debug)]
pub struct Asked(());

impl Asked {
    /// Notes that a claim is asked for.
    pub fn now() -> Self {
        Self(())
    }

    /// Takes an answer that says that this request never ran under this key: the key is held by
    /// another request, or it is not known and found no room.
    pub fn denied(self, answer: &ClaimAnswer) -> Option<Unclaimed> {
        let never = matches!(answer, ClaimAnswer::Mismatch | ClaimAnswer::Full);
        never.then_some(Unclaimed(()))
    }

    /// Takes the grant. The state grants a key only while no attempt under it has run.
    pub fn granted(self, answer: &ClaimAnswer) -> Option<Granted> {
        matches!(answer, ClaimAnswer::Granted).then_some(Granted(()))
    }
}

/// Proof that the claim was granted to this attempt.
#[derive(Debug)]
pub struct Granted(());

impl Granted {
    /// Takes the result of the claim's release.
    pub fn released<E>(self, result: &Result<(), E>) -> Option<Unclaimed> {
        result.is_ok().then_some(Unclaimed(()))
    }
}

/// What is known of a request's calls.
#[derive(Debug, Default)]
pub struct Progress {
    /// Calls that cannot be proven unsent.
    calls: u32,
    /// Whether an upstream answered a call.
    heard: bool,
    /// Whether the non-repeatable call cannot be proven not to have run.
    once: bool,
}

impl Progress {
    /// Starts a request of which nothing was sent.
    pub fn at_arrival() -> Self {
        Self::default()
    }

    /// Notes that a call starts. To be called before its first byte can leave.
    pub fn sending(&mut self, repeatable: bool) {
        self.calls += 1;
        self.once |= !repeatable;
    }

    /// Takes a call's evidence that it was never sent.
    pub fn unsent(&mut self, repeatable: bool, _evidence: Unsent) {
        self.calls = self.calls.saturating_sub(1);
        self.once &= repeatable;
    }

    /// Takes the upstream's statement that it did not take the call. Bytes left, so the request is no
    /// longer untouched, but the non-repeatable call did not run.
    pub fn declined(&mut self, repeatable: bool, _evidence: &Declined) {
        self.once &= repeatable;
    }

    /// Notes that an upstream answered a call.
    pub fn heard(&mut self) {
        self.heard = true;
    }

    /// Tells whether the non-repeatable call may have run.
    pub fn is_once_sent(&self) -> bool {
        self.once
    }

    /// Turns into the proof that nothing was sent, if that is so.
    pub fn untouched(&self) -> Option<Untouched> {
        (self.calls == 0).then_some(Untouched(()))
    }
}

/// How a request ended.
#[derive(Clone, Debug)]
pub enum Ending {
    /// With its whole answer.
    Complete(Arc<Whole>),
    /// Without.
    Problem(Problem),
}

/// Any answer but a complete one.
#[derive(Clone, Debug)]
pub struct Problem {
    outcome: Outcome,
    status: u16,
    halt: Halt,
}

impl Problem {
    /// Says that nothing ran.
    pub fn not_run(_sent: Untouched, _claim: Unclaimed, halt: Halt) -> Self {
        let status = not_run_status(halt.reason);
        Self { outcome: Outcome::NotRun, status, halt }
    }

    /// Says that it may have run and that this attempt ends here.
    pub fn unknown(halt: Halt) -> Self {
        Self { outcome: Outcome::Unknown, status: 504, halt }
    }

    /// Says that it may have run and that the caller should come back for the answer.
    pub fn under_way(halt: Halt) -> Self {
        Self { outcome: Outcome::Unknown, status: 409, halt }
    }

    /// Says that it ran and ended in an error.
    pub fn failed(halt: Halt) -> Self {
        let status = if halt.reason == Reason::Deadline { 504 } else { 502 };
        Self { outcome: Outcome::Failed, status, halt }
    }

    /// Says that this attempt did nothing, and that an earlier one under the same key may have run.
    ///
    /// What goes wrong without it: the first attempt runs and its answer is lost; the resend reaches
    /// an entry that is full, draining or without a quorum, and is refused as "not run". The caller
    /// believes it and sends the booking under a new key.
    pub fn unasked(_sent: Untouched, halt: Halt) -> Self {
        let status = not_run_status(halt.reason);
        Self { outcome: Outcome::Unknown, status, halt }
    }

    /// Says what is true of a run that stopped.
    pub fn of(progress: &Progress, unclaimed: Option<Unclaimed>, halt: Halt) -> Self {
        match (progress.untouched(), unclaimed) {
            (Some(proof), Some(unclaimed)) => Self::not_run(proof, unclaimed, halt),
            (Some(proof), None) => Self::unasked(proof, halt),
            (None, _) => Self::touched(progress, halt),
        }
    }

    /// Says what is true of a run that sent at least one call and stopped.
    pub fn touched(progress: &Progress, halt: Halt) -> Self {
        if progress.heard || halt.reason == Reason::Declined {
            Self::failed(halt)
        } else {
            Self::unknown(halt)
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

    /// Returns why.
    pub fn halt(&self) -> &Halt {
        &self.halt
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
