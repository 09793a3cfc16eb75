//! A line of a log.

use std::collections::BTreeMap;
use std::time::Duration;

use jiff::Timestamp;
use serde::Deserialize;
use serde_json::Value;

/// The message of the last line about a request.
const ANSWERED: &str = "answered a request";

/// The message of the line that is written when the stages of a request are complete.
const CHOSE_ENGINE: &str = "chose an engine";

/// A line of a process's log.
#[derive(Debug, Deserialize)]
pub(crate) struct Line {
    /// The time when it was written.
    pub(crate) time: Timestamp,
    /// The message.
    message: String,
    /// The id of the request.
    pub(crate) request: Option<String>,
    /// All other fields.
    #[serde(flatten)]
    fields: BTreeMap<String, Value>,
    /// The text before the JSON, such as the name of the process.
    #[serde(skip)]
    prefix: String,
}

/// The result of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RequestResult {
    /// Answered within the target time of its route.
    OnTarget,
    /// Answered after the target time.
    Late,
    /// Refused without having run; the caller may retry.
    Refused,
    /// Failed at an upstream or timed out.
    Failed,
    /// Not permitted: unknown route, invalid key or invalid request.
    Denied,
}

/// The content of the last line about a request.
#[derive(Debug)]
pub(crate) struct Answered<'a> {
    /// The route.
    pub(crate) route: &'a str,
    /// The result.
    pub(crate) result: RequestResult,
    /// The HTTP status, or the reason if the entry itself ended the request.
    pub(crate) outcome: &'a str,
}

/// The times of one stage of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StageTimes {
    /// The number of the stage.
    pub(crate) stage: u32,
    /// The time that the owner of the stage waited for an upstream.
    pub(crate) wait: Duration,
    /// The duration of the call that produced the result.
    pub(crate) call: Duration,
}

impl Line {
    /// Parses a line; returns `None` if it is not a log line.
    pub(crate) fn read(text: &str, prefix: &str) -> Option<Self> {
        let line: Self = serde_json::from_str(text).ok()?;
        Some(Self { prefix: prefix.trim().to_owned(), ..line })
    }

    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field)?.as_u64()
    }

    /// Returns the result of the request, if this is its last line.
    pub(crate) fn answered(&self) -> Option<Answered<'_>> {
        if self.message != ANSWERED {
            return None;
        }
        let outcome = self.text("outcome")?;
        let on_target = self.number("age_ms")? <= self.number("target_ms").unwrap_or(u64::MAX);
        let result = match outcome.parse::<u16>() {
            Ok(200..300) if on_target => RequestResult::OnTarget,
            Ok(200..300) => RequestResult::Late,
            Ok(429 | 503) => RequestResult::Refused,
            Ok(_) => RequestResult::Failed,
            Err(_) => classify_reason(outcome),
        };
        Some(Answered { route: self.text("route").unwrap_or("none"), result, outcome })
    }

    /// Returns the times of the request's stages, if this line reports them.
    pub(crate) fn stages(&self) -> Option<Vec<StageTimes>> {
        if self.message != CHOSE_ENGINE {
            return None;
        }
        self.text("stages")?.split_whitespace().map(stage_times).collect()
    }

    /// Formats the line for humans.
    pub(crate) fn describe(&self) -> String {
        let fields = self.fields.iter().filter(|it| !matches!(&**it.0, "level" | "target"));
        let fields: Vec<String> = fields.map(|(name, it)| format!("{name}={it}")).collect();
        let from = if self.prefix.is_empty() { "" } else { " " };
        let (time, message) = (self.time, &self.message);
        format!("{time}{from}{} {message}: {}", self.prefix, fields.join(" "))
    }
}

/// Returns the result that a reason stands for.
fn classify_reason(outcome: &str) -> RequestResult {
    match outcome {
        "no plan" | "ending" | "no room" | "no upstream" | "overloaded" | "no stage" | "late" => {
            RequestResult::Refused
        }
        "late, may have run" | "failed, may have run" => RequestResult::Failed,
        _ => RequestResult::Denied,
    }
}

/// Parses `stage:pieces:wait:call:total`, where the last three are in milliseconds.
fn stage_times(text: &str) -> Option<StageTimes> {
    let numbers: Option<Vec<u64>> = text.split(':').map(|it| it.parse().ok()).collect();
    let [stage, _, wait, call, _] = numbers?[..] else { return None };
    let (wait, call) = (Duration::from_millis(wait), Duration::from_millis(call));
    Some(StageTimes { stage: u32::try_from(stage).ok()?, wait, call })
}
