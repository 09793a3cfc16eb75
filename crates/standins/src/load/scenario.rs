//! Scenario files of the load tool: JSON with comments.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use types::{Millis, PipelineName, PoolKind, Priority, Rate, StepError, StepResult};

/// The description of one run of the load tool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The name, for titles and file names.
    pub name: String,
    /// For how long requests arrive, in milliseconds.
    pub length: Millis,
    /// How long callers may continue after that, in milliseconds.
    #[serde(default = "drain")]
    pub drain: Millis,
    /// The seed of the random arrivals.
    #[serde(default = "one")]
    pub seed: u64,
    /// The addresses of the entries.
    #[serde(default)]
    pub entries: Vec<SocketAddr>,
    /// The classes of requests that arrive.
    pub classes: Vec<Class>,
    /// How long a caller waits before a resend if the answer doesn't say, in milliseconds.
    #[serde(default = "pause")]
    pub pause: Millis,
    /// Whether the entries or the load tool itself run the pipelines.
    #[serde(default)]
    pub policy: Policy,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The name of the class.
    pub name: String,
    /// The pipeline that runs the requests.
    pub pipeline: PipelineName,
    /// The customer's bearer key.
    #[serde(default)]
    pub key: String,
    /// The priority shown in the report. The service's own settings decide on the actual priority.
    #[serde(default)]
    pub priority: Priority,
    /// The arrivals per second.
    pub rate: Rate,
    /// The periods with another rate.
    #[serde(default)]
    pub bursts: Vec<Burst>,
    /// The time from the intended arrival to the deadline, in milliseconds.
    pub deadline: Millis,
    /// The number of tokens to generate; 0 if the pipeline generates none.
    #[serde(default)]
    pub tokens: u64,
    /// The length of additional text in the input, in bytes.
    #[serde(default)]
    pub padding: usize,
    /// Whether requests carry an idempotency key.
    #[serde(default)]
    pub once: bool,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
}

/// A period with another rate.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// The start of the period, in milliseconds since the start of the run.
    pub from: Millis,
    /// The end of the period, in milliseconds since the start of the run.
    pub to: Millis,
    /// The arrivals per second in the period.
    pub rate: Rate,
}

/// Who runs the pipelines.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The entries.
    #[default]
    Mothplank,
    /// The load tool itself, which calls the upstreams directly.
    Baseline(Baseline),
}

/// A simple policy for comparison: round robin, no admission control, immediate retries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Baseline {
    /// The stages of each pipeline.
    pub pipelines: BTreeMap<PipelineName, Vec<BaselineStage>>,
    /// The maximum number of attempts per stage.
    #[serde(default = "attempts")]
    pub attempts: u32,
    /// The timeout of one attempt, in milliseconds; 0 means the time left until the deadline.
    #[serde(default)]
    pub timeout: Millis,
}

/// One stage of a baseline's pipeline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BaselineStage {
    /// The name of the stage.
    pub name: String,
    /// The kind of work that its upstreams do.
    pub kind: PoolKind,
    /// The addresses of its upstreams.
    pub upstreams: Vec<SocketAddr>,
    /// The URL path of the call; plain services only.
    #[serde(default)]
    pub path: Option<String>,
}

impl Scenario {
    /// Reads a scenario file.
    ///
    /// # Errors
    /// Returns an error if the file can't be read or isn't a valid scenario.
    pub fn read(path: &Path) -> StepResult<Self> {
        let read_error = |e: eyre::Report| StepError::new("read scenario", e).at(path.display());
        let text = std::fs::read_to_string(path).map_err(|e| read_error(e.into()))?;
        let options = jsonc_parser::ParseOptions::default();
        jsonc_parser::parse_to_serde_value(&text, &options).map_err(|e| read_error(e.into()))
    }

    /// Returns for how long requests arrive.
    pub fn length(&self) -> Duration {
        self.length.into()
    }
}

impl Class {
    /// Returns the arrivals per second at a time since the start of the run.
    pub fn rate_at(&self, at: Duration) -> f64 {
        let within = |it: &&Burst| Duration::from(it.from) <= at && at < Duration::from(it.to);
        self.bursts.iter().find(within).map_or(self.rate.0, |it| it.rate.0)
    }
}

fn drain() -> Millis {
    Millis(8_000)
}

fn one() -> u64 {
    1
}

fn pause() -> Millis {
    Millis(100)
}

fn attempts() -> u32 {
    3
}
