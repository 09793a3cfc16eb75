//! The results of single requests.

use std::time::Duration;

use types::Outcome;

use super::caller::CallerStats;

/// The result of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// Its own complete answer arrived within the deadline.
    InTime,
    /// Its own complete answer arrived after the deadline.
    Late,
    /// A final answer with an outcome other than `complete` arrived.
    Other(Outcome),
    /// No final answer arrived before the run ended.
    Unanswered,
    /// An answer with the outcome `complete` had the content of another request.
    Crossed,
    /// An answer with the outcome `complete` was not complete.
    Incomplete,
}

impl RequestResult {
    /// Returns the word for this result in reports and files.
    pub fn as_str(self) -> &'static str {
        match self {
            RequestResult::InTime => "in-time",
            RequestResult::Late => "late",
            RequestResult::Other(outcome) => outcome.as_str(),
            RequestResult::Unanswered => "unanswered",
            RequestResult::Crossed => "crossed",
            RequestResult::Incomplete => "incomplete",
        }
    }
}

/// The record of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Its intended arrival, as time since the start of the run.
    pub at: Duration,
    /// The index of its class in the scenario.
    pub class: usize,
    /// The result of the request.
    pub result: RequestResult,
    /// The time from its intended arrival to its end.
    pub latency: Duration,
    /// The counters of its caller.
    pub stats: CallerStats,
}

impl Record {
    /// Creates a record; `at` and `class` are zero and must be set.
    pub fn new(result: RequestResult, latency: Duration, stats: CallerStats) -> Self {
        Self { at: Duration::ZERO, class: 0, result, latency, stats }
    }
}
