//! The response bodies.

use std::time::Duration;

use serde::Serialize;
use serde_json::value::RawValue;
use types::{Cost, Micros, Outcome, RequestId, StageName, Tokens, UpstreamName};

use crate::outcome::{Ending, Problem};

/// The range of the default retry delay, in milliseconds, for refusals that have no better
/// estimate.
const RETRY_AFTER_MS: std::ops::Range<u64> = 800..1_600;

/// Returns a random retry delay, so that callers that were refused together do not come back
/// together.
pub(crate) fn retry_after() -> Duration {
    Duration::from_millis(rand::random_range(RETRY_AFTER_MS))
}

/// The time and cost of one stage.
#[derive(Clone, Debug, Serialize)]
pub struct StageSummary {
    /// The stage.
    pub stage: StageName,
    /// The upstream whose result was used.
    pub upstream: UpstreamName,
    /// The number of calls that were started for it.
    pub attempts: u32,
    /// The time it took including its queue, in milliseconds.
    pub ms: f64,
    /// The busy time of the upstream, in microseconds.
    pub busy_us: Micros,
    /// The number of tokens generated.
    pub tokens: Tokens,
    /// The cost.
    pub cost: Cost,
}

/// A complete answer, without the parts that differ for each caller.
#[derive(Debug)]
pub struct CompleteAnswer {
    /// The output of the last stage.
    pub output: Box<RawValue>,
    /// The stages in order.
    pub stages: Vec<StageSummary>,
}

#[derive(Serialize)]
struct CompleteBody<'a> {
    request: RequestId,
    outcome: Outcome,
    output: &'a RawValue,
    ms: f64,
    cost: Cost,
    stages: &'a [StageSummary],
}

#[derive(Serialize)]
struct ProblemBody<'a> {
    #[serde(rename = "type")]
    kind: String,
    title: &'static str,
    status: u16,
    detail: &'a str,
    request: RequestId,
    outcome: Outcome,
    reason: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// Returns a duration in milliseconds, with the precision of a microsecond.
pub(crate) fn millis(time: Duration) -> f64 {
    time.as_micros() as f64 / 1e3
}

impl CompleteAnswer {
    /// Returns the body for one caller.
    pub fn body(&self, request: RequestId, took: Duration) -> Vec<u8> {
        let cost = Cost(self.stages.iter().map(|it| it.cost.0).sum());
        let (output, stages, ms) = (&*self.output, &*self.stages, millis(took));
        let outcome = Outcome::Complete;
        let body = CompleteBody { request, outcome, output, ms, cost, stages };
        serde_json::to_vec(&body).unwrap_or_default()
    }
}

impl Problem {
    /// Returns the body for one caller, a problem document (RFC 9457).
    pub fn body(&self, request: RequestId) -> Vec<u8> {
        let error = self.error();
        let reason = error.reason.as_str();
        let body = ProblemBody {
            kind: format!("urn:mothplank:{reason}"),
            title: title(self.outcome()),
            status: self.status(),
            detail: &error.detail,
            request,
            outcome: self.outcome(),
            reason,
            retry_after_ms: error.retry_after.map(|it| it.as_millis() as u64),
        };
        serde_json::to_vec(&body).unwrap_or_default()
    }
}

impl Ending {
    /// Returns the outcome.
    pub fn outcome(&self) -> Outcome {
        match self {
            Ending::Complete(_) => Outcome::Complete,
            Ending::Problem(problem) => problem.outcome(),
        }
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        match self {
            Ending::Complete(_) => 200,
            Ending::Problem(problem) => problem.status(),
        }
    }

    /// Returns the reason as written in answers, logs and metrics; `ok` for a complete answer.
    pub fn reason(&self) -> &'static str {
        match self {
            Ending::Complete(_) => "ok",
            Ending::Problem(problem) => problem.error().reason.as_str(),
        }
    }

    /// Returns the body for one caller.
    pub fn body(&self, request: RequestId, took: Duration) -> Vec<u8> {
        match self {
            Ending::Complete(complete) => complete.body(request, took),
            Ending::Problem(problem) => problem.body(request),
        }
    }
}

fn title(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Complete => "The request is complete",
        Outcome::NotRun => "The request did not run",
        Outcome::Unknown => "The request may have run",
        Outcome::Failed => "The request ran and failed",
    }
}
