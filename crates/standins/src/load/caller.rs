//! A caller sends its request, and resends it until it gets a final answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::Value;
use types::Outcome;

use super::record::{Record, RequestResult};
use super::verify::{Verdict, verify};
use super::{CallerRequest, Transport};

/// The result of sending a request once.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptResult {
    /// The answer arrived in full and its outcome is `complete`.
    Complete(Value),
    /// An answer with another outcome arrived in full.
    Other {
        /// The outcome of the request.
        outcome: Outcome,
        /// The HTTP status.
        status: u16,
        /// How long to wait before a resend, if the answer says so.
        retry_after: Option<Duration>,
    },
    /// The connection was refused; nothing was sent.
    Refused,
    /// No answer arrived in full.
    Broken,
}

/// What a caller does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerAction {
    /// The caller stops: it has a final answer, or knows that there will be none.
    Done(RequestResult),
    /// The caller resends the request after this time.
    Resend(Duration),
}

/// The counters of one caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerStats {
    /// The attempts.
    pub attempts: u32,
    /// The answers with the outcome `not-run`.
    pub refusals: u32,
    /// The answers with the outcome `unknown`.
    pub unknown: u32,
    /// The answers with the outcome `failed`.
    pub failed: u32,
    /// The attempts whose answer didn't arrive in full.
    pub broken: u32,
}

impl CallerStats {
    /// Counts an attempt and returns what the caller does next. `late` is whether the deadline has
    /// passed; `pause` is the time before a resend if the answer doesn't set one.
    pub fn record(
        &mut self,
        request: &CallerRequest,
        attempt: &AttemptResult,
        late: bool,
        pause: Duration,
    ) -> CallerAction {
        self.attempts += 1;
        match attempt {
            AttemptResult::Complete(output) => {
                CallerAction::Done(check_output(request, output, late))
            }
            AttemptResult::Refused => CallerAction::Resend(pause),
            AttemptResult::Broken => {
                self.broken += 1;
                CallerAction::Resend(pause)
            }
            AttemptResult::Other { outcome, status, retry_after } => {
                self.count_outcome(*outcome);
                if is_final(request, *outcome, *status) {
                    return CallerAction::Done(RequestResult::Other(*outcome));
                }
                CallerAction::Resend(retry_after.unwrap_or(pause))
            }
        }
    }

    fn count_outcome(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::NotRun => self.refusals += 1,
            Outcome::Unknown => self.unknown += 1,
            Outcome::Failed | Outcome::Complete => self.failed += 1,
        }
    }
}

/// Checks a complete answer.
fn check_output(request: &CallerRequest, output: &Value, late: bool) -> RequestResult {
    match (verify(output, &request.marker, request.class.tokens), late) {
        (Verdict::Own, false) => RequestResult::InTime,
        (Verdict::Own, true) => RequestResult::Late,
        (Verdict::Crossed, _) => RequestResult::Crossed,
        (Verdict::Incomplete, _) => RequestResult::Incomplete,
    }
}

/// Returns whether resending the request is useless. A refusal that is due to the request itself
/// (4xx except 408, 409 and 429) stays the same. For a request that runs at most once, the outcome
/// `failed` and the status 504 are final too.
fn is_final(request: &CallerRequest, outcome: Outcome, status: u16) -> bool {
    match outcome {
        Outcome::NotRun => matches!(status, 400..=407 | 410..=428),
        Outcome::Unknown => request.class.once && status == 504,
        Outcome::Failed => request.class.once,
        Outcome::Complete => true,
    }
}

/// A caller with one request.
#[derive(Debug)]
pub(super) struct Caller<P> {
    pub(super) transport: Arc<P>,
    /// The intended arrival of its request.
    pub(super) due: Instant,
    /// The end of the run, when it gives up.
    pub(super) end: Instant,
    /// How long it waits before a resend if the answer doesn't say.
    pub(super) pause: Duration,
}

impl<P: Transport> Caller<P> {
    /// Sends the request until it gets a final answer or the run ends. After its deadline it
    /// continues with a new one.
    pub(super) async fn run(self, mut request: CallerRequest) -> Record {
        let allowed = Duration::from(request.class.deadline);
        let deadline = self.due + allowed;
        let mut stats = CallerStats::default();
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            request.budget = if left.is_zero() { allowed } else { left };
            let wait = self.end.saturating_duration_since(Instant::now());
            let Ok(attempt) =
                tokio::time::timeout(wait, self.transport.send(request.clone())).await
            else {
                return Record::new(RequestResult::Unanswered, self.due.elapsed(), stats);
            };
            let late = Instant::now() > deadline;
            match stats.record(&request, &attempt, late, self.pause) {
                CallerAction::Done(result) => {
                    return Record::new(result, self.due.elapsed(), stats);
                }
                CallerAction::Resend(after) if Instant::now() + after >= self.end => {
                    return Record::new(RequestResult::Unanswered, self.due.elapsed(), stats);
                }
                CallerAction::Resend(after) => tokio::time::sleep(after).await,
            }
        }
    }
}
