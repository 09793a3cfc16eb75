//! `mothplank apply`: puts the service's files into force.

use std::time::{Duration, Instant};

use eyre::{Result, eyre};
use serde::Serialize;
use types::{ChangeId, Document};

use crate::commands::check::load_checked;
use crate::config::ApplyArgs;
use crate::error::ExitError;
use crate::exit_codes::ExitCode;
use crate::messages::{ChangeAnswer, EntryStatus, ServiceAnswer, Status};
use crate::operator::{OperatorClient, RetryPolicy, refusal_error};
use crate::output::{Format, note};

/// The interval between two checks of where a version is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The body of `POST /v1/changes`.
#[derive(Debug, Serialize)]
struct Change<'a> {
    id: ChangeId,
    base: u64,
    document: &'a Document,
}

/// The output of the command.
#[derive(Debug, Serialize)]
struct Applied {
    id: ChangeId,
    base: u64,
    #[serde(flatten)]
    answer: ChangeAnswer,
    /// The entries where the version is not in force yet; `None` if the command did not wait.
    #[serde(skip_serializing_if = "Option::is_none")]
    missing: Option<Vec<String>>,
}

/// Runs the command.
///
/// # Errors
/// Returns an error if the files have faults, or if no member decides on the change in time.
pub(crate) async fn run(format: Format, args: ApplyArgs) -> Result<ExitCode> {
    let document = load_checked(&args.files)?;
    let operator = OperatorClient::new(args.target);
    let base = match args.based_on {
        Some(base) => base,
        None => operator.get::<ServiceAnswer>("/v1/service").await?.version,
    };
    let id = args.id;
    note(&format!("change {id} based on version {base}"));
    let answer = send(&operator, &document, base, id).await?;
    let mut applied = Applied { id, base, answer, missing: None };
    let mut code = exit_code(&applied.answer);
    if let (ExitCode::Success, Some(wait)) = (code, args.wait) {
        let version = applied.answer.version.unwrap_or_default();
        let missing = wait_in_force(&operator, version, wait).await;
        if !missing.is_empty() {
            code = ExitCode::Pending;
        }
        applied.missing = Some(missing);
    }
    format.print(&applied, || applied.format())?;
    Ok(code)
}

/// Sends a change, resends it if the answer is lost, and returns the answer.
///
/// # Errors
/// Returns an error if no member decides on the change in time.
pub(crate) async fn send(
    operator: &OperatorClient,
    document: &Document,
    base: u64,
    id: ChangeId,
) -> Result<ChangeAnswer> {
    let change = Change { id, base, document };
    let response = operator.post("/v1/changes", &change, RetryPolicy::Always).await;
    let response = response.map_err(|e| with_resend_hint(e, id, base))?;
    if !matches!(response.status.as_u16(), 200 | 409 | 422) {
        return Err(refusal_error(&response).into());
    }
    response.parse()
}

/// Adds the arguments for resending the change to the error message.
fn with_resend_hint(error: eyre::Report, id: ChangeId, base: u64) -> eyre::Report {
    let Some(exit_error) = error.downcast_ref::<ExitError>() else { return error };
    let resend = format!("resend with --change-id {id} --based-on {base}");
    eyre!(ExitError::new(exit_error.code, format!("{}; {resend}", exit_error.message)))
}

fn exit_code(answer: &ChangeAnswer) -> ExitCode {
    match answer.outcome.as_str() {
        "accepted" => ExitCode::Success,
        "conflict" | "reused" | "forgotten" => ExitCode::Conflict,
        "refused" => ExitCode::Faults,
        "not-run" => ExitCode::NotRun,
        "unknown" => ExitCode::Unknown,
        _ => ExitCode::Failed,
    }
}

/// Waits until the version is in force at every entry, or until the timeout, and returns the
/// entries where it is not.
pub(crate) async fn wait_in_force(
    operator: &OperatorClient,
    version: u64,
    wait: Duration,
) -> Vec<String> {
    let deadline = Instant::now() + wait;
    loop {
        let missing = match operator.get::<Status>("/v1/status").await {
            Ok(status) => outdated_entries(&status, version),
            Err(e) => vec![format!("no status: {e:#}")],
        };
        if missing.is_empty() || Instant::now() >= deadline {
            return missing;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn outdated_entries(status: &Status, version: u64) -> Vec<String> {
    // A status without entries means that the member knows no entry, not that all are up to date.
    if status.entries.is_empty() {
        return vec!["no entry has a session with control".to_owned()];
    }
    let outdated = status.entries.iter().filter(|it| it.version < version);
    outdated.map(describe).collect()
}

fn describe(entry: &EntryStatus) -> String {
    let why = entry.why.as_ref().map(|it| format!(", {it}")).unwrap_or_default();
    let age = entry.age_ms.map_or_else(|| "never".to_owned(), |it| format!("{it} ms ago"));
    format!("{} ({}): version {}, heard {age}{why}", entry.vm, entry.site, entry.version)
}

impl Applied {
    fn format(&self) -> String {
        let version = self.answer.version.unwrap_or_default();
        let summary = match self.answer.outcome.as_str() {
            "accepted" => format!("accepted as version {version}"),
            "conflict" => format!(
                "conflict: version {version} is in force, made by {} as change {}",
                self.answer.operator.as_deref().unwrap_or("somebody"),
                self.answer.winner.as_deref().unwrap_or("unknown"),
            ),
            "reused" => "conflict: this id was already used with a different content".to_owned(),
            "forgotten" => format!(
                "conflict: version {version} is in force, and the base version is older \
                 than the stored answers"
            ),
            other => format!("{other}: {}", self.answer.detail.as_deref().unwrap_or_default()),
        };
        let faults = self.answer.faults.iter().map(ToString::to_string);
        let mut lines: Vec<String> = std::iter::once(summary).chain(faults).collect();
        match &self.missing {
            Some(missing) if missing.is_empty() => lines.push("in force everywhere".to_owned()),
            Some(missing) => {
                lines.push("not in force at:".to_owned());
                lines.extend(missing.iter().map(|it| format!("  {it}")));
            }
            None => {}
        }
        lines.join("\n")
    }
}
