//! `mothplank audit`: prints the audit trail and verifies its hash chain.

use eyre::{Result, eyre};
use jiff::Timestamp;
use serde::{Deserialize, Serialize};
use serde_json::json;
use state::{AuditHash, AuditKind, AuditOutcome, AuditRecord};
use types::{OperatorName, UnixMillis, Version};

use crate::config::Target;
use crate::error::ExitError;
use crate::exit_codes::ExitCode;
use crate::operator::OperatorClient;
use crate::output::Format;

/// All kinds of records.
const KINDS: [AuditKind; 5] =
    [AuditKind::Change, AuditKind::Mark, AuditKind::Member, AuditKind::Order, AuditKind::Limits];

/// All outcomes of records.
const OUTCOMES: [AuditOutcome; 4] =
    [AuditOutcome::Accepted, AuditOutcome::Conflict, AuditOutcome::Reused, AuditOutcome::Forgotten];

/// A page of the audit trail.
#[derive(Debug, Default, Deserialize)]
struct Page {
    records: Vec<Row>,
}

/// A record in the JSON form that control members send.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Row {
    number: u64,
    at: UnixMillis,
    operator: Option<OperatorName>,
    kind: String,
    base: Option<Version>,
    version: Version,
    what: String,
    outcome: String,
    prior: String,
    hash: String,
}

/// Runs the command.
///
/// # Errors
/// Returns an error if no member answers or the trail does not verify.
pub(crate) async fn run(format: Format, target: Target, after: u64) -> Result<ExitCode> {
    let operator = OperatorClient::new(target);
    let mut last: Option<AuditRecord> = None;
    let mut next = after;
    loop {
        let page: Page = operator.get(&format!("/v1/audit?after={next}")).await?;
        if page.records.is_empty() {
            break;
        }
        for row in page.records {
            let record = row.to_record()?;
            next = record.number;
            last = Some(verify(last, record)?);
            print(format, &row)?;
        }
    }
    let verdict = json!({"verified": true, "last": next});
    let text = || format!("verified up to record {next}");
    format.print(&verdict, text)?;
    Ok(ExitCode::Success)
}

/// Verifies that a record follows the previous one, and returns it.
fn verify(last: Option<AuditRecord>, record: AuditRecord) -> Result<AuditRecord> {
    let pair: Vec<AuditRecord> = last.into_iter().chain([record.clone()]).collect();
    state::verify(&pair)
        .map_err(|e| eyre!(ExitError::new(ExitCode::AuditInvalid, e.to_string())))?;
    Ok(record)
}

impl Row {
    fn to_record(&self) -> Result<AuditRecord> {
        let kind = KINDS.into_iter().find(|it| it.as_str() == self.kind);
        let outcome = OUTCOMES.into_iter().find(|it| it.as_str() == self.outcome);
        Ok(AuditRecord {
            number: self.number,
            at: self.at,
            operator: self.operator.clone(),
            kind: kind.ok_or_else(|| eyre!("unknown kind of audit record {:?}", self.kind))?,
            base: self.base,
            version: self.version,
            what: self.what.clone(),
            outcome: outcome
                .ok_or_else(|| eyre!("unknown outcome of audit record {:?}", self.outcome))?,
            prior: parse_hash(&self.prior)?,
            hash: parse_hash(&self.hash)?,
        })
    }
}

fn parse_hash(text: &str) -> Result<AuditHash> {
    let mut hash = AuditHash::default();
    let digits = text.as_bytes();
    if digits.len() != 2 * hash.0.len() || !text.is_ascii() {
        return Err(eyre!("{text:?} is not a SHA-256 hash in hexadecimal"));
    }
    for (byte, pair) in hash.0.iter_mut().zip(digits.chunks(2)) {
        *byte = u8::from_str_radix(std::str::from_utf8(pair)?, 16)?;
    }
    Ok(hash)
}

fn print(format: Format, row: &Row) -> Result<()> {
    format.print(row, || {
        let operator = row.operator.as_ref().map_or("-", OperatorName::as_str);
        let base = row.base.map_or_else(String::new, |it| format!("base {it} "));
        format!(
            "{:>5}  {}  {operator:<10} {:<7} {base}version {} {}: {}",
            row.number,
            utc(row.at),
            row.kind,
            row.version,
            row.outcome,
            row.what,
        )
    })
}

/// Formats a time in UTC.
fn utc(at: UnixMillis) -> String {
    let time = i64::try_from(at.0).ok().and_then(|it| Timestamp::from_millisecond(it).ok());
    time.map_or_else(|| at.to_string(), |it| it.to_string())
}
