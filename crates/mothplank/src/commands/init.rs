//! `mothplank init`: creates a new cluster.

use eyre::Result;
use http::StatusCode;
use serde_json::json;

use crate::config::Target;
use crate::exit_codes::ExitCode;
use crate::messages::InitAnswer;
use crate::operator::{OperatorClient, RetryPolicy, refusal_error};
use crate::output::{Format, note};

/// Runs the command.
///
/// # Errors
/// Returns an error if no member answers or a cluster already exists.
pub(crate) async fn run(format: Format, target: Target) -> Result<ExitCode> {
    let operator = OperatorClient::new(target);
    let response = operator.post("/v1/init", &json!({}), RetryPolicy::IfNotSent).await?;
    if response.status != StatusCode::OK {
        return Err(refusal_error(&response).into());
    }
    let started: InitAnswer = response.parse()?;
    if !started.unheard.is_empty() {
        note(&format!(
            "no response from the members {}; start them now",
            started.unheard.join(", ")
        ));
    }
    format.print(&started, || "the cluster is created".to_owned())?;
    Ok(ExitCode::Success)
}
