//! The JSON bodies of the operators' API, as listed in `docs/PROTOCOLS.md`.

use std::sync::Arc;

use http::StatusCode;
use serde::{Deserialize, Serialize};
use settings::Fault;
use types::{
    ChangeId, Document, OperatorName, Term, UnixMillis, UpstreamAvailability, UpstreamName,
    Version, VmName,
};

/// An HTTP response: status, content type and body.
#[derive(Clone, Debug)]
pub(crate) struct HttpResponse {
    pub(crate) status: StatusCode,
    pub(crate) kind: &'static str,
    pub(crate) body: String,
}

impl HttpResponse {
    /// Creates a plain text response.
    pub(crate) fn text(text: &str) -> Self {
        Self { status: StatusCode::OK, kind: "text/plain; charset=utf-8", body: text.to_owned() }
    }

    /// Creates a JSON response.
    pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Self {
        match serde_json::to_string(value) {
            Ok(body) => Self { status, kind: "application/json", body },
            Err(e) => {
                let status = StatusCode::INTERNAL_SERVER_ERROR;
                Self { status, kind: "text/plain; charset=utf-8", body: e.to_string() }
            }
        }
    }

    /// Creates an error response with the reason.
    pub(crate) fn error(status: StatusCode, detail: &str) -> Self {
        let outcome = if status.is_server_error() { "not-run" } else { "refused" };
        Self::outcome(status, outcome, detail)
    }

    /// Creates a response with an outcome and its reason.
    pub(crate) fn outcome(status: StatusCode, outcome: &'static str, detail: &str) -> Self {
        Self::json(status, &Outcome { outcome, detail })
    }
}

#[derive(Serialize)]
struct Outcome<'a> {
    outcome: &'static str,
    detail: &'a str,
}

/// The response to `init`.
#[derive(Serialize)]
pub(crate) struct InitResponse {
    pub(crate) outcome: &'static str,
    /// The members that could not be asked whether they belong to a cluster.
    pub(crate) unheard: Vec<VmName>,
}

/// The request body of a change.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ChangeBody {
    pub(crate) id: ChangeId,
    pub(crate) base: Version,
    pub(crate) document: Document,
}

/// The response to a change that was decided.
#[derive(Serialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub(crate) enum ChangeOutcome {
    Accepted { version: Version },
    Conflict { version: Version, winner: Option<ChangeId>, operator: Option<OperatorName> },
    Reused,
    Forgotten { version: Version },
}

/// The response to a change whose document has errors.
#[derive(Serialize)]
pub(crate) struct RefusedChange {
    pub(crate) outcome: &'static str,
    pub(crate) faults: Vec<FaultRow>,
}

/// One error in a document.
#[derive(Serialize)]
pub(crate) struct FaultRow {
    file: String,
    line: usize,
    message: String,
    mend: String,
}

impl From<Fault> for FaultRow {
    fn from(it: Fault) -> Self {
        Self { file: it.file, line: it.line, message: it.message, mend: it.mend }
    }
}

/// The service in force.
#[derive(Serialize)]
pub(crate) struct ServiceResponse {
    pub(crate) version: Version,
    pub(crate) document: Arc<Document>,
}

/// The request body of a mark.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct MarkBody {
    pub(crate) id: ChangeId,
    pub(crate) upstream: UpstreamName,
    pub(crate) leaving: bool,
}

/// The requested change of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum MemberAction {
    Add,
    Remove,
}

/// The request body of a change of members.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct MemberBody {
    pub(crate) action: MemberAction,
    pub(crate) vm: VmName,
}

/// The request body of a leadership transfer.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct TransferBody {
    pub(crate) vm: Option<VmName>,
}

/// A member's status.
#[derive(Serialize)]
pub(crate) struct Status {
    pub(crate) vm: VmName,
    pub(crate) node: String,
    pub(crate) role: consensus::Role,
    pub(crate) term: Term,
    pub(crate) leader: Option<VmName>,
    pub(crate) commit: u64,
    pub(crate) applied: u64,
    pub(crate) version: Version,
    pub(crate) members: Vec<MemberRow>,
    pub(crate) entries: Vec<EntryRow>,
    pub(crate) upstreams: Vec<UpstreamRow>,
    pub(crate) why: Vec<String>,
}

/// One member of the cluster.
#[derive(Serialize)]
pub(crate) struct MemberRow {
    pub(crate) vm: VmName,
    pub(crate) node: String,
    pub(crate) kind: &'static str,
    /// The highest index that the member is known to have stored; known to the leader only.
    #[serde(rename = "match")]
    pub(crate) matched: Option<u64>,
}

/// One entry.
#[derive(Serialize)]
pub(crate) struct EntryRow {
    pub(crate) vm: VmName,
    pub(crate) site: String,
    pub(crate) version: Version,
    /// Milliseconds since the entry last requested a confirmation.
    pub(crate) age_ms: Option<u64>,
    /// Why the entry is behind, if it is.
    pub(crate) why: Option<String>,
}

/// One upstream.
#[derive(Serialize)]
pub(crate) struct UpstreamRow {
    pub(crate) upstream: UpstreamName,
    #[serde(rename = "standing")]
    pub(crate) availability: UpstreamAvailability,
    pub(crate) in_flight: u32,
    pub(crate) reported: Option<u32>,
    pub(crate) why: Option<String>,
}

/// Records of the audit trail.
#[derive(Serialize)]
pub(crate) struct AuditResponse {
    pub(crate) records: Vec<RecordRow>,
}

/// One record of the audit trail.
#[derive(Serialize)]
pub(crate) struct RecordRow {
    number: u64,
    at: UnixMillis,
    operator: Option<OperatorName>,
    kind: &'static str,
    base: Option<Version>,
    version: Version,
    what: String,
    outcome: &'static str,
    prior: String,
    hash: String,
}

impl From<state::AuditRecord> for RecordRow {
    fn from(it: state::AuditRecord) -> Self {
        Self {
            number: it.number,
            at: it.at,
            operator: it.operator,
            kind: it.kind.as_str(),
            base: it.base,
            version: it.version,
            what: it.what,
            outcome: it.outcome.as_str(),
            prior: it.prior.to_string(),
            hash: it.hash.to_string(),
        }
    }
}

/// The response to a usage report.
#[derive(Serialize)]
pub(crate) struct UsageResponse {
    pub(crate) rows: Vec<UsageReportRow>,
    /// The members that did not reply.
    pub(crate) unheard: Vec<VmName>,
}

/// The usage of one customer's stage in one pool.
#[derive(Serialize)]
pub(crate) struct UsageReportRow {
    pub(crate) customer: String,
    pub(crate) stage: String,
    pub(crate) pool: String,
    pub(crate) calls: u64,
    pub(crate) busy_us: u64,
    pub(crate) tokens: u64,
    pub(crate) wasted_us: u64,
    /// The cost of used and wasted busy time, in the service's unit of account; none where this member
    /// does not know the pool, or not yet.
    pub(crate) cost: Option<f64>,
}
