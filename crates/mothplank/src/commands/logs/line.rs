//! One line of a log.

use std::collections::BTreeMap;
use std::time::Duration;

use jiff::Timestamp;
use serde::Deserialize;
use serde_json::Value;

/// The message of the last line of a request.
const ANSWERED: &str = "answered a request";

/// The message of the line in which a request's stages are done.
const CHOSE: &str = "chose an engine";

/// A line of a process's log.
#[derive(Debug, Deserialize)]
pub(crate) struct Line {
    /// When it was written.
    pub(crate) time: Timestamp,
    /// What it says.
    message: String,
    /// The request that it is about.
    pub(crate) request: Option<String>,
    /// What else it says.
    #[serde(flatten)]
    fields: BTreeMap<String, Value>,
    /// What stood before the line, such as the name of its process.
    #[serde(skip)]
    prefix: String,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum End {
    /// Answered by the aim of its route.
    InAim,
    /// Answered later.
    Late,
    /// Refused as not run; it may come back.
    Refused,
    /// Failed, at an upstream or because its time was over.
    Failed,
    /// Not allowed: no route, no key, or no proper request.
    Denied,
}

/// The last line of a request.
#[derive(Debug)]
pub(crate) struct Answered<'a> {
    /// Its route.
    pub(crate) route: &'a str,
    /// What became of it.
    pub(crate) end: End,
    /// The status, or the entry's own reason.
    pub(crate) outcome: &'a str,
}

/// What the stages of a request took.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StageTimes {
    /// The stage's number.
    pub(crate) stage: u32,
    /// Waited at the owner for an upstream.
    pub(crate) wait: Duration,
    /// In the call that made it.
    pub(crate) call: Duration,
}

impl Line {
    /// Reads a line; `None` where it is none.
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

    /// The end of a request, if this is its last line.
    pub(crate) fn answered(&self) -> Option<Answered<'_>> {
        if self.message != ANSWERED {
            return None;
        }
        let outcome = self.text("outcome")?;
        let in_aim = self.number("age_ms")? <= self.number("target_ms").unwrap_or(u64::MAX);
        let end = match outcome.parse::<u16>() {
            Ok(200..300) if in_aim => End::InAim,
            Ok(200..300) => End::Late,
            Ok(429 | 503) => End::Refused,
            Ok(_) => End::Failed,
            Err(_) => reason(outcome),
        };
        Some(Answered { route: self.text("route").unwrap_or("none"), end, outcome })
    }

    /// The times of a request's stages, if they are done with this line.
    pub(crate) fn stages(&self) -> Option<Vec<StageTimes>> {
        if self.message != CHOSE {
            return None;
        }
        self.text("stages")?.split_whitespace().map(stage_times).collect()
    }

    /// The line as part of a request's story.
    pub(crate) fn told(&self) -> String {
        let fields = self.fields.iter().filter(|it| !matches!(&**it.0, "level" | "target"));
        let fields: Vec<String> = fields.map(|(name, it)| format!("{name}={it}")).collect();
        let from = if self.prefix.is_empty() { "" } else { " " };
        let (time, message) = (self.time, &self.message);
        format!("{time}{from}{} {message}: {}", self.prefix, fields.join(" "))
    }
}

/// What an entry's own reason says of a request.
fn reason(outcome: &str) -> End {
    match outcome {
        "no plan" | "ending" | "no room" | "no upstream" | "overloaded" | "no stage" | "late" => {
            End::Refused
        }
        "late, may have run" | "failed, may have run" => End::Failed,
        _ => End::Denied,
    }
}

/// Reads `stage:pieces:wait:call:whole`, the last three in ms.
fn stage_times(text: &str) -> Option<StageTimes> {
    let numbers: Option<Vec<u64>> = text.split(':').map(|it| it.parse().ok()).collect();
    let [stage, _, wait, call, _] = numbers?[..] else { return None };
    let (wait, call) = (Duration::from_millis(wait), Duration::from_millis(call));
    Some(StageTimes { stage: u32::try_from(stage).ok()?, wait, call })
}
