//! Sends an operator's requests to the control members.

use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::{Result, eyre};
use http::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::client::{Client, HttpRequest, HttpResponse, SendError};
use crate::config::Target;
use crate::error::ExitError;
use crate::exit_codes::ExitCode;

/// The pause before the next member is tried.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The timeout of one member's response, after which the next member is tried.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(4);

/// Whether a request may be sent again although a member may have received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryPolicy {
    /// Yes: the request carries an id, or changes nothing.
    Always,
    /// No: the request could take effect twice.
    IfNotSent,
}

/// A client for the operators' API of the control members.
#[derive(Debug)]
pub(crate) struct OperatorClient {
    client: Client,
    target: Target,
}

impl OperatorClient {
    /// Creates a client for the members of `target`.
    pub(crate) fn new(target: Target) -> Self {
        Self { client: Client::new(), target }
    }

    /// Sends a `GET` request for `path` and parses the response.
    ///
    /// # Errors
    /// Returns an error if no member answers in time or the status is not 200.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let response = self.send(Method::GET, path, Bytes::new(), RetryPolicy::Always).await?;
        if response.status != StatusCode::OK {
            return Err(refusal_error(&response).into());
        }
        response.parse()
    }

    /// Posts `body` to `path` and returns the first response that is not a 503.
    ///
    /// # Errors
    /// Returns an error if no member gives such a response in time: with
    /// [`ExitCode::NotRun`] if certainly nothing happened, otherwise with [`ExitCode::Unknown`].
    pub(crate) async fn post<T: Serialize>(
        &self,
        path: &str,
        body: &T,
        retry: RetryPolicy,
    ) -> Result<HttpResponse> {
        let body = Bytes::from(serde_json::to_vec(body)?);
        self.send(Method::POST, path, body, retry).await
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        retry: RetryPolicy,
    ) -> Result<HttpResponse> {
        let deadline = Instant::now() + self.target.timeout;
        let mut maybe_received = false;
        let mut last_error = String::from("no member was tried");
        for member in self.target.control.iter().cycle() {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let request = HttpRequest {
                method: method.clone(),
                path: path.to_owned(),
                bearer: Some(self.target.token.clone()),
                headers: Vec::new(),
                body: body.clone(),
                timeout: left.min(ATTEMPT_TIMEOUT),
            };
            match self.client.send(*member, &request).await {
                Ok(response) if response.status != StatusCode::SERVICE_UNAVAILABLE => {
                    return Ok(response);
                }
                Ok(response) => {
                    maybe_received |= !states_not_run(&response);
                    last_error = format!("{member}: {}", detail(&response));
                }
                Err(e) => {
                    maybe_received |= matches!(e, SendError::Lost(_));
                    last_error = format!("{member}: {e}");
                }
            }
            if maybe_received && retry == RetryPolicy::IfNotSent {
                break;
            }
            tokio::time::sleep(RETRY_PAUSE.min(left)).await;
        }
        let is_read = method == Method::GET;
        let code = if maybe_received && !is_read { ExitCode::Unknown } else { ExitCode::NotRun };
        Err(eyre!(ExitError::new(
            code,
            format!("no control member answered {path} ({last_error})")
        )))
    }
}

/// Converts the response to a refused request into an error.
pub(crate) fn refusal_error(response: &HttpResponse) -> ExitError {
    let code = match response.status {
        StatusCode::CONFLICT => ExitCode::Conflict,
        StatusCode::UNPROCESSABLE_ENTITY => ExitCode::Faults,
        _ => ExitCode::Failed,
    };
    ExitError::new(code, format!("refused with status {}: {}", response.status, detail(response)))
}

/// Returns whether a response states that its request did not run. Members state the outcome in each 503; one
/// without it may come from something else on the way, which says nothing of the request.
fn states_not_run(response: &HttpResponse) -> bool {
    let body: serde_json::Value = serde_json::from_slice(&response.body).unwrap_or_default();
    body["outcome"] == "not-run"
}

fn detail(response: &HttpResponse) -> String {
    const MAX_CHARS: usize = 400;
    let body: serde_json::Value = serde_json::from_slice(&response.body).unwrap_or_default();
    if let Some(detail) = body["detail"].as_str() {
        return detail.to_owned();
    }
    let text = String::from_utf8_lossy(&response.body);
    text.chars().take(MAX_CHARS).collect()
}
