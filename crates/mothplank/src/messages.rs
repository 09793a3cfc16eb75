//! The JSON bodies of the responses to operators and callers, as specified in docs/PROTOCOLS.md.
//!
//! Parsing is lenient, so that an operator's commands work during a rolling restart: keys that a
//! newer release adds are ignored, and keys that an older release lacks get their default.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use settings::Fault;

/// The answer to a change.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct ChangeAnswer {
    /// `accepted`, `conflict`, `reused`, `refused`, `not-run` or `unknown`.
    pub(crate) outcome: String,
    /// The version that the change became, or in a conflict the version in force.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) version: Option<u64>,
    /// In a conflict, the id of the change that is in force.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) winner: Option<String>,
    /// In a conflict, the operator who made that change.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) operator: Option<String>,
    /// The faults of the document.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) faults: Vec<Fault>,
    /// The reason why the change did not run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) detail: Option<String>,
}

/// The service in force.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct ServiceAnswer {
    /// The version; 0 before the first change.
    pub(crate) version: u64,
    /// The document.
    pub(crate) document: types::Document,
}

/// The state of the system as one member sees it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Status {
    /// The VM of the member.
    pub(crate) vm: String,
    /// The incarnation of its data folder.
    pub(crate) node: serde_json::Value,
    /// Its role.
    pub(crate) role: String,
    /// Its term.
    pub(crate) term: u64,
    /// The leader that it knows, if any.
    pub(crate) leader: serde_json::Value,
    /// The last committed log index.
    pub(crate) commit: u64,
    /// The last applied log index.
    pub(crate) applied: u64,
    /// The version of the service.
    pub(crate) version: u64,
    /// The members.
    pub(crate) members: Vec<MemberStatus>,
    /// The entries.
    pub(crate) entries: Vec<EntryStatus>,
    /// The upstreams.
    pub(crate) upstreams: Vec<UpstreamStatus>,
    /// Descriptions of the problems.
    pub(crate) why: Vec<String>,
}

/// The status of a member.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct MemberStatus {
    /// Its VM.
    pub(crate) vm: String,
    /// The incarnation of its data folder.
    pub(crate) node: serde_json::Value,
    /// `voter`, `learner` or `spare`.
    pub(crate) kind: String,
    /// The last log index that it is known to have stored.
    #[serde(rename = "match")]
    pub(crate) matched: Option<u64>,
}

/// The status of an entry.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct EntryStatus {
    /// Its VM.
    pub(crate) vm: String,
    /// Its site.
    pub(crate) site: String,
    /// The version that is in force at the entry.
    pub(crate) version: u64,
    /// The time since it last asked for a confirmation, in milliseconds.
    pub(crate) age_ms: Option<u64>,
    /// A description of the problem, if there is one.
    pub(crate) why: Option<String>,
}

/// The status of an upstream.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct UpstreamStatus {
    /// Its name.
    pub(crate) upstream: String,
    /// `live` or `leaving`.
    pub(crate) standing: String,
    /// The number of calls in flight from all entries.
    pub(crate) in_flight: u64,
    /// The number of calls that the upstream itself reported.
    pub(crate) reported: Option<u64>,
    /// A description of the problem, if there is one.
    pub(crate) why: Option<String>,
}

/// Usage and cost by customer, stage and pool.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct UsageReport {
    /// The rows.
    pub(crate) rows: Vec<UsageRow>,
    /// The members that gave no rows.
    pub(crate) unheard: Vec<String>,
}

/// The answer to `init`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct InitAnswer {
    /// `started`.
    pub(crate) outcome: String,
    /// The members that could not be asked whether they belong to a cluster.
    pub(crate) unheard: Vec<String>,
}

/// A row of a usage report.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct UsageRow {
    /// The customer.
    pub(crate) customer: String,
    /// The stage.
    pub(crate) stage: String,
    /// The pool.
    pub(crate) pool: String,
    /// The number of calls whose result was used.
    pub(crate) calls: u64,
    /// The busy time of these calls, in microseconds.
    pub(crate) busy_us: u64,
    /// The tokens of these calls.
    pub(crate) tokens: u64,
    /// The busy time of calls whose result was not used, in microseconds.
    pub(crate) wasted_us: u64,
    /// The cost of all calls.
    pub(crate) cost: Option<f64>,
}

/// A complete answer or a problem document, with the keys that the command uses.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct CallAnswer {
    /// The id of the request.
    pub(crate) request: String,
    /// The outcome.
    pub(crate) outcome: String,
    /// The output of the last stage.
    pub(crate) output: serde_json::Value,
    /// The time from arrival to the answer, in milliseconds.
    pub(crate) ms: f64,
    /// The cost of all stages.
    pub(crate) cost: f64,
    /// The stages in order.
    pub(crate) stages: Vec<StageAnswer>,
    /// A description of why there is no complete answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) detail: Option<String>,
    /// The reason as one word.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) reason: Option<String>,
    /// The delay before the next attempt, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) retry_after_ms: Option<u64>,
    /// All other keys of the answer.
    #[serde(flatten)]
    pub(crate) rest: BTreeMap<String, serde_json::Value>,
}

/// The result of one stage.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct StageAnswer {
    /// The stage.
    pub(crate) stage: String,
    /// The upstream that ran the stage.
    pub(crate) upstream: String,
    /// The number of calls.
    pub(crate) attempts: u64,
    /// The duration, in milliseconds.
    pub(crate) ms: f64,
    /// The busy time of the upstream, in microseconds.
    pub(crate) busy_us: u64,
    /// The number of generated tokens.
    pub(crate) tokens: u64,
    /// The cost.
    pub(crate) cost: f64,
}
