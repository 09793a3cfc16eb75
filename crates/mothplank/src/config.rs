//! The arguments of the commands as typed values.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use types::{ChangeId, IdempotencyKey, ModelName, PipelineName, UpstreamName, VmName};

use crate::output::Format;

/// The parsed command line.
#[derive(Debug)]
pub(crate) struct Config {
    /// The output format.
    pub(crate) format: Format,
    /// The command.
    pub(crate) command: Command,
}

/// A command with its arguments.
#[derive(Debug)]
pub(crate) enum Command {
    /// Runs a complete system in one process.
    Demo,
    /// Runs a control member with this settings file.
    Control(PathBuf),
    /// Runs an entry with this settings file.
    Entry(PathBuf),
    /// Runs the entry of a platform, with the platform's settings.
    Gateway,
    /// Runs a member of a platform's registry, with the platform's settings.
    Registry,
    /// Creates a new cluster.
    Init(Target),
    /// Checks settings files.
    Check(CheckArgs),
    /// Puts the service's files into force.
    Apply(ApplyArgs),
    /// Shows the state of the system; with `true` only the problems.
    Status(Target, bool),
    /// Prints the records of the audit trail after this number.
    Audit(Target, u64),
    /// Changes the members of the cluster.
    Member(Target, MemberAction),
    /// Marks an upstream.
    Mark(MarkArgs),
    /// Shows usage and cost.
    Report(ReportArgs),
    /// Summarizes logs of entries.
    Logs(LogsArgs),
    /// Sends one request.
    Call(CallArgs),
    /// Runs a simulated external system.
    Standin(StandinArgs),
    /// Runs a load test.
    Load(LoadArgs),
}

/// The destination and credentials of an operator's request.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// The addresses of control members.
    pub(crate) control: Vec<SocketAddr>,
    /// The operator's token.
    pub(crate) token: String,
    /// How long to keep trying.
    pub(crate) timeout: Duration,
}

/// The paths of a document's files.
#[derive(Debug)]
pub(crate) struct DocumentPaths {
    /// The base file.
    pub(crate) base: PathBuf,
    /// Folders of overlays and single overlays.
    pub(crate) overlays: Vec<PathBuf>,
}

/// The arguments of `check`.
#[derive(Debug)]
pub(crate) struct CheckArgs {
    /// The service's files.
    pub(crate) files: Option<DocumentPaths>,
    /// The settings files of nodes.
    pub(crate) nodes: Vec<PathBuf>,
}

/// The arguments of `apply`.
#[derive(Debug)]
pub(crate) struct ApplyArgs {
    /// The control members.
    pub(crate) target: Target,
    /// The service's files.
    pub(crate) files: DocumentPaths,
    /// The version that the change is based on; `None` for the version in force.
    pub(crate) based_on: Option<u64>,
    /// The id of the change.
    pub(crate) id: ChangeId,
    /// How long to wait until the change is in force everywhere; `None` does not wait.
    pub(crate) wait: Option<Duration>,
}

/// A change of the members.
#[derive(Debug)]
pub(crate) enum MemberAction {
    /// Makes a VM a voter.
    Add(VmName),
    /// Removes a VM.
    Remove(VmName),
    /// Hands leadership over to a VM, or to any member.
    Transfer(Option<VmName>),
}

/// The arguments of `mark`.
#[derive(Debug)]
pub(crate) struct MarkArgs {
    /// The control members.
    pub(crate) target: Target,
    /// The upstream.
    pub(crate) upstream: UpstreamName,
    /// Whether it is leaving.
    pub(crate) leaving: bool,
    /// The id of the mark.
    pub(crate) id: ChangeId,
}

/// The arguments of `report`.
#[derive(Debug)]
pub(crate) struct ReportArgs {
    /// The control members.
    pub(crate) target: Target,
    /// The start of the time range, in milliseconds since the Unix epoch.
    pub(crate) from: u64,
    /// The end of the time range, in milliseconds since the Unix epoch.
    pub(crate) to: u64,
    /// The CSV file to write.
    pub(crate) csv: Option<PathBuf>,
    /// The SVG file to write.
    pub(crate) svg: Option<PathBuf>,
}

/// The arguments of `logs`.
#[derive(Debug)]
pub(crate) struct LogsArgs {
    /// The log files.
    pub(crate) files: Vec<PathBuf>,
    /// The request whose lines are printed.
    pub(crate) id: Option<String>,
    /// The start of the time range.
    pub(crate) from: Option<jiff::Timestamp>,
    /// The end of the time range.
    pub(crate) to: Option<jiff::Timestamp>,
    /// The SVG file to write.
    pub(crate) svg: Option<PathBuf>,
}

/// The arguments of `call`.
#[derive(Clone, Debug)]
pub(crate) struct CallArgs {
    /// The pipeline.
    pub(crate) pipeline: PipelineName,
    /// The addresses of entries, tried in turn.
    pub(crate) entries: Vec<SocketAddr>,
    /// The customer's key.
    pub(crate) key: String,
    /// The input.
    pub(crate) input: serde_json::Value,
    /// The deadline; `None` for the deadline of the pipeline.
    pub(crate) deadline: Option<Duration>,
    /// The idempotency key.
    pub(crate) idempotency_key: Option<IdempotencyKey>,
    /// The maximum number of tokens to generate.
    pub(crate) max_tokens: Option<u64>,
    /// Whether to print tokens as they arrive.
    pub(crate) stream: bool,
    /// How long to keep resending.
    pub(crate) retry_for: Duration,
}

/// The arguments of `standin`.
#[derive(Debug)]
pub(crate) struct StandinArgs {
    /// The kind of system.
    pub(crate) kind: String,
    /// The address to listen on.
    pub(crate) listen: SocketAddr,
    /// The address that a proxy forwards to.
    pub(crate) target: Option<SocketAddr>,
    /// The address where a proxy accepts commands.
    pub(crate) side: Option<SocketAddr>,
    /// The maximum number of concurrent calls.
    pub(crate) capacity: Option<u64>,
    /// The maximum number of waiting calls.
    pub(crate) queue: Option<u64>,
    /// The duration of a call, in microseconds.
    pub(crate) time_us: Option<u64>,
    /// Time to the first token, in microseconds.
    pub(crate) first_us: Option<u64>,
    /// Time between tokens, in microseconds.
    pub(crate) token_us: Option<u64>,
    /// The time until an order takes effect, in milliseconds.
    pub(crate) loading_ms: Option<u64>,
    /// The delay of each chunk in a proxy, in milliseconds.
    pub(crate) delay_ms: Option<u64>,
    /// Whether an engine ignores fencing numbers.
    pub(crate) no_fencing: bool,
    /// The model that is loaded at startup.
    pub(crate) model: Option<ModelName>,
    /// The VMs in a platform's list.
    pub(crate) vms: Vec<VmName>,
}

/// The arguments of `load`.
#[derive(Debug)]
pub(crate) struct LoadArgs {
    /// The scenario file.
    pub(crate) scenario: PathBuf,
    /// The folder for the complete results.
    pub(crate) folder: Option<PathBuf>,
}
