//! `mothplank member`: changes the members of the cluster.

use eyre::Result;
use http::StatusCode;
use serde_json::json;

use crate::config::{MemberAction, Target};
use crate::exit_codes::ExitCode;
use crate::operator::{OperatorClient, RetryPolicy, refusal_error};
use crate::output::Format;

/// Runs the command.
///
/// # Errors
/// Returns an error if no member answers or another change of the members is in progress.
pub(crate) async fn run(format: Format, target: Target, action: MemberAction) -> Result<ExitCode> {
    let (path, body, done) = match action {
        MemberAction::Add(vm) => {
            let done = format!("{vm} becomes a voter as soon as it has caught up");
            ("/v1/members", json!({"action": "add", "vm": vm}), done)
        }
        MemberAction::Remove(vm) => {
            let done = format!("{vm} is removed");
            ("/v1/members", json!({"action": "remove", "vm": vm}), done)
        }
        MemberAction::Transfer(Some(vm)) => {
            ("/v1/transfer", json!({"vm": vm}), format!("leadership goes to {vm}"))
        }
        MemberAction::Transfer(None) => {
            ("/v1/transfer", json!({}), "leadership goes to another member".to_owned())
        }
    };
    let response = OperatorClient::new(target).post(path, &body, RetryPolicy::IfNotSent).await?;
    if response.status != StatusCode::OK {
        return Err(refusal_error(&response).into());
    }
    format.print(&json!({"outcome": "accepted"}), || done)?;
    Ok(ExitCode::Success)
}
