//! What the command line asked for, as plain values.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use types::{ChangeId, IdempotencyKey, ModelName, PipelineName, UpstreamName, VmName};

use crate::output::Format;

/// The whole command line.
#[derive(Debug)]
pub(crate) struct Config {
    /// The form of the output.
    pub(crate) format: Format,
    /// What to do.
    pub(crate) command: Command,
}

/// What to do.
#[derive(Debug)]
pub(crate) enum Command {
    /// Show the whole path in one process.
    Demo,
    /// Run a control member with this settings file.
    Control(PathBuf),
    /// Run an entry with this settings file.
    Entry(PathBuf),
    /// Run the entry of a platform, with the platform's settings.
    Gateway,
    /// Run a member of a platform's registry, with the platform's settings.
    Registry,
    /// Start a new cluster.
    Init(Target),
    /// Check files.
    Check(Check),
    /// Bring files into force.
    Apply(Apply),
    /// Show the state; only what is not as it should be if the flag is set.
    Status(Target, bool),
    /// Print the audit trail after a record.
    Audit(Target, u64),
    /// Change the members.
    Member(Target, MemberAction),
    /// Mark an upstream.
    Mark(Mark),
    /// Show use and cost.
    Report(Report),
    /// Read logs of entries.
    Logs(Logs),
    /// Send one request.
    Call(Call),
    /// Run a fake of an outside system.
    Standin(Standin),
    /// Send many requests.
    Load(Load),
}

/// Where an operator's request goes.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// The control members.
    pub(crate) control: Vec<SocketAddr>,
    /// The operator's token.
    pub(crate) token: String,
    /// How long to try.
    pub(crate) within: Duration,
}

/// The files of a document.
#[derive(Debug)]
pub(crate) struct Files {
    /// The base file.
    pub(crate) base: PathBuf,
    /// Folders of overlays and single overlays.
    pub(crate) overlays: Vec<PathBuf>,
}

/// `check`.
#[derive(Debug)]
pub(crate) struct Check {
    /// The service's files.
    pub(crate) files: Option<Files>,
    /// Nodes' settings files.
    pub(crate) nodes: Vec<PathBuf>,
}

/// `apply`.
#[derive(Debug)]
pub(crate) struct Apply {
    /// Where to.
    pub(crate) target: Target,
    /// The service's files.
    pub(crate) files: Files,
    /// The version the change is based on; else the one in force.
    pub(crate) based_on: Option<u64>,
    /// The change's id.
    pub(crate) id: ChangeId,
    /// How long to wait until it is in force everywhere; `None` does not wait.
    pub(crate) wait: Option<Duration>,
}

/// `member`.
#[derive(Debug)]
pub(crate) enum MemberAction {
    /// Make a VM a voter.
    Add(VmName),
    /// Remove a VM.
    Remove(VmName),
    /// Hand leadership to a VM, or to any.
    Transfer(Option<VmName>),
}

/// `mark`.
#[derive(Debug)]
pub(crate) struct Mark {
    /// Where to.
    pub(crate) target: Target,
    /// The upstream.
    pub(crate) upstream: UpstreamName,
    /// Whether it is leaving.
    pub(crate) leaving: bool,
    /// The mark's id.
    pub(crate) id: ChangeId,
}

/// `report`.
#[derive(Debug)]
pub(crate) struct Report {
    /// Where to.
    pub(crate) target: Target,
    /// Start of the span, in ms since the Unix epoch.
    pub(crate) from: u64,
    /// End of the span, in ms since the Unix epoch.
    pub(crate) to: u64,
    /// Where to write CSV.
    pub(crate) csv: Option<PathBuf>,
    /// Where to draw SVG.
    pub(crate) svg: Option<PathBuf>,
}

/// `logs`.
#[derive(Debug)]
pub(crate) struct Logs {
    /// The log files.
    pub(crate) files: Vec<PathBuf>,
    /// The request whose story is told.
    pub(crate) id: Option<String>,
    /// Start of the span.
    pub(crate) from: Option<jiff::Timestamp>,
    /// End of the span.
    pub(crate) to: Option<jiff::Timestamp>,
    /// Where to draw SVG.
    pub(crate) svg: Option<PathBuf>,
}

/// `call`.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// The pipeline.
    pub(crate) pipeline: PipelineName,
    /// The entries, tried in turn.
    pub(crate) entries: Vec<SocketAddr>,
    /// The customer's key.
    pub(crate) key: String,
    /// The input.
    pub(crate) input: serde_json::Value,
    /// The deadline; else the pipeline's.
    pub(crate) deadline: Option<Duration>,
    /// The idempotency key.
    pub(crate) idempotency: Option<IdempotencyKey>,
    /// The most tokens to generate.
    pub(crate) max_tokens: Option<u64>,
    /// Whether tokens are printed as they come.
    pub(crate) stream: bool,
    /// How long to go on resending.
    pub(crate) resend: Duration,
}

/// `standin`.
#[derive(Debug)]
pub(crate) struct Standin {
    /// The kind, as written.
    pub(crate) kind: String,
    /// Where it listens.
    pub(crate) listen: SocketAddr,
    /// Where a proxy forwards to.
    pub(crate) target: Option<SocketAddr>,
    /// Where a proxy takes commands.
    pub(crate) side: Option<SocketAddr>,
    /// Calls at once.
    pub(crate) capacity: Option<u64>,
    /// Calls that wait.
    pub(crate) queue: Option<u64>,
    /// How long a call runs, in microseconds.
    pub(crate) time: Option<u64>,
    /// Time to the first token, in microseconds.
    pub(crate) first: Option<u64>,
    /// Time between tokens, in microseconds.
    pub(crate) token: Option<u64>,
    /// How long an order takes, in milliseconds.
    pub(crate) loading: Option<u64>,
    /// How long a proxy holds each chunk back, in milliseconds.
    pub(crate) delay: Option<u64>,
    /// Whether an engine ignores fencing numbers.
    pub(crate) no_fencing: bool,
    /// The model loaded at the start.
    pub(crate) model: Option<ModelName>,
    /// The VMs of a platform's list.
    pub(crate) vms: Vec<VmName>,
}

/// `load`.
#[derive(Debug)]
pub(crate) struct Load {
    /// The scenario file.
    pub(crate) scenario: PathBuf,
    /// Where to write the results in full.
    pub(crate) folder: Option<PathBuf>,
}
