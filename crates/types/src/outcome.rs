//! Outcomes of requests and reasons for refusals, as callers see them.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The complete answer was delivered.
    Complete,
    /// The request did not run: no byte of any stage call can have reached an upstream.
    NotRun,
    /// The request may have run; its result is unknown.
    Unknown,
    /// The request ran and ended in an error.
    Failed,
}

impl Outcome {
    /// All outcomes, in the order of the metrics' labels.
    pub const ALL: [Outcome; 4] =
        [Outcome::Complete, Outcome::NotRun, Outcome::Unknown, Outcome::Failed];

    /// Returns the word used in answers, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Complete => "complete",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
            Outcome::Failed => "failed",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Why work was refused before it was sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The customer exceeds its request rate.
    CustomerRate,
    /// The customer exceeds its limit of concurrent requests.
    CustomerConcurrency,
    /// The customer exceeds its limit of generated tokens per second.
    CustomerTokens,
    /// The backlog leaves too little time before the request's deadline.
    DeadlineTooShort,
    /// The queue is full, and none of the queued work ranks below this work.
    QueueFull,
    /// Work of a higher rank took this work's place in the queue.
    Displaced,
    /// No upstream of the pool takes new work.
    NoUpstream,
    /// The retry budget is spent.
    RetryBudget,
    /// The VM is draining.
    Draining,
    /// The VM has no service description yet, or cannot tell whether its version is in force.
    StaleService,
    /// The claim of a non-repeatable request cannot be committed without a quorum.
    NoQuorum,
}

impl RefusalReason {
    /// Returns the word used in answers, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::CustomerRate => "customer-rate",
            RefusalReason::CustomerConcurrency => "customer-concurrency",
            RefusalReason::CustomerTokens => "customer-tokens",
            RefusalReason::DeadlineTooShort => "deadline-too-short",
            RefusalReason::QueueFull => "queue-full",
            RefusalReason::Displaced => "displaced",
            RefusalReason::NoUpstream => "no-upstream",
            RefusalReason::RetryBudget => "retry-budget",
            RefusalReason::Draining => "draining",
            RefusalReason::StaleService => "stale-service",
            RefusalReason::NoQuorum => "no-quorum",
        }
    }
}

/// A refusal, with the time after which the caller may retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the work was refused.
    pub reason: RefusalReason,
    /// How long the caller should wait before it retries.
    pub retry_after: Duration,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}, retry after {:?}", self.reason.as_str(), self.retry_after)
    }
}
