//! `mothplank mark`: marks an upstream as leaving, or removes the mark.

use eyre::Result;
use http::StatusCode;
use serde_json::json;

use crate::config::MarkArgs;
use crate::exit_codes::ExitCode;
use crate::operator::{OperatorClient, RetryPolicy, refusal_error};
use crate::output::{Format, note};

/// Runs the command.
///
/// # Errors
/// Returns an error if no member answers or the mark is refused.
pub(crate) async fn run(format: Format, args: MarkArgs) -> Result<ExitCode> {
    let MarkArgs { target, upstream, leaving, id } = args;
    note(&format!("mark {id}"));
    let body = json!({"id": id, "upstream": upstream, "leaving": leaving});
    let response =
        OperatorClient::new(target).post("/v1/marks", &body, RetryPolicy::Always).await?;
    if response.status != StatusCode::OK {
        return Err(refusal_error(&response).into());
    }
    let what = if leaving { "leaving" } else { "back" };
    format.print(&json!({"outcome": "accepted", "id": id}), || {
        format!("{upstream} is marked: {what}")
    })?;
    Ok(ExitCode::Success)
}
