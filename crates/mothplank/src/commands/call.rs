//! `mothplank call`: sends one request and resends it until it is answered.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::{Result, eyre};
use http::Method;
use http::header::{ACCEPT, HeaderName};
use serde_json::json;

use crate::client::{Client, HttpRequest, HttpResponse, SendError};
use crate::config::CallArgs;
use crate::error::ExitError;
use crate::exit_codes::ExitCode;
use crate::messages::CallAnswer;
use crate::output::{Format, note};
use crate::table::Table;

mod stream;

/// The header for the deadline, in milliseconds.
const DEADLINE_HEADER: HeaderName = HeaderName::from_static("mothplank-deadline-ms");
/// The header for the idempotency key.
const IDEMPOTENCY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// The timeout of a request without a deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(125);
/// The time added to the deadline, for the answer to arrive.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// The pause before a resend if the answer does not specify one.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The result of one attempt.
#[derive(Debug)]
enum AttemptResult {
    /// The final answer.
    Answered(Box<CallAnswer>, ExitCode),
    /// The request may be sent again after a pause. Also holds the exit code in case there is no
    /// time left, and the reason.
    Retry(Duration, ExitCode, String),
}

/// Runs the command.
///
/// # Errors
/// Returns an error if there is no answer in time.
pub(crate) async fn run(format: Format, call: CallArgs) -> Result<ExitCode> {
    let answer = send(&call, format).await?;
    format.print(&answer.0, || describe(&answer.0))?;
    Ok(answer.1)
}

/// Sends a request, and resends it until it is answered or the time for resends is over.
///
/// # Errors
/// Returns an error if there is no answer in time; its exit code tells whether the request may have
/// run.
pub(crate) async fn send(call: &CallArgs, format: Format) -> Result<(CallAnswer, ExitCode)> {
    let client = Client::new();
    let deadline = Instant::now() + call.retry_for;
    let mut may_have_run = false;
    for entry in call.entries.iter().cycle() {
        let result = match call.stream {
            true => stream::try_once(&client, *entry, call, format).await?,
            false => try_once(&client, *entry, call).await,
        };
        let (pause, code, why) = match result {
            AttemptResult::Answered(answer, code) => return Ok((*answer, code)),
            AttemptResult::Retry(pause, code, why) => (pause, code, why),
        };
        may_have_run |= code == ExitCode::Unknown;
        if Instant::now() + pause >= deadline {
            let code = if may_have_run { ExitCode::Unknown } else { ExitCode::NotRun };
            return Err(eyre!(ExitError::new(
                code,
                format!("no answer; the last attempt was at {entry}: {why}")
            )));
        }
        note(&format!("{entry}: {why}; sending again"));
        tokio::time::sleep(pause).await;
    }
    Err(eyre!("no address of an entry is given"))
}

async fn try_once(client: &Client, entry: SocketAddr, call: &CallArgs) -> AttemptResult {
    match client.send(entry, &build_request(call)).await {
        Ok(response) => classify(&response),
        Err(SendError::NotSent(why)) => AttemptResult::Retry(RETRY_PAUSE, ExitCode::NotRun, why),
        Err(SendError::Lost(why)) => AttemptResult::Retry(RETRY_PAUSE, ExitCode::Unknown, why),
    }
}

/// Decides whether a response is final or the request is to be sent again, as specified in
/// docs/PROTOCOLS.md.
fn classify(response: &HttpResponse) -> AttemptResult {
    let Ok(body) = response.parse::<CallAnswer>() else {
        let why = format!("the response with status {} cannot be parsed", response.status);
        return AttemptResult::Retry(RETRY_PAUSE, ExitCode::Unknown, why);
    };
    let status = response.status.as_u16();
    let named = body.retry_after_ms.map(Duration::from_millis).or_else(|| response.retry_after());
    let pause = named.unwrap_or(RETRY_PAUSE);
    let why = format!(
        "{} with status {status}{}",
        body.outcome,
        body.detail.as_ref().map(|it| format!(": {it}")).unwrap_or_default()
    );
    match (body.outcome.as_str(), status) {
        ("complete", _) => AttemptResult::Answered(Box::new(body), ExitCode::Success),
        ("not-run", 408 | 429 | 503) => AttemptResult::Retry(pause, ExitCode::NotRun, why),
        ("unknown", _) => AttemptResult::Retry(pause, ExitCode::Unknown, why),
        _ => AttemptResult::Answered(Box::new(body), ExitCode::Failed),
    }
}

fn build_request(call: &CallArgs) -> HttpRequest {
    let mut headers = Vec::new();
    if let Some(deadline) = call.deadline {
        headers.push((DEADLINE_HEADER, deadline.as_millis().to_string()));
    }
    if let Some(key) = &call.idempotency_key {
        headers.push((IDEMPOTENCY_HEADER, key.to_string()));
    }
    if call.stream {
        headers.push((ACCEPT, "text/event-stream".to_owned()));
    }
    let mut body = json!({"input": call.input});
    if let Some(tokens) = call.max_tokens {
        body["max_tokens"] = tokens.into();
    }
    HttpRequest {
        method: Method::POST,
        path: format!("/v1/pipelines/{}", call.pipeline),
        bearer: Some(call.key.clone()),
        headers,
        body: Bytes::from(body.to_string()),
        timeout: call.deadline.map_or(DEFAULT_TIMEOUT, |it| it + TIMEOUT_MARGIN),
    }
}

/// Formats an answer for humans: the outcome, the stages and the output.
pub(crate) fn describe(answer: &CallAnswer) -> String {
    if answer.outcome != "complete" {
        let detail = answer.detail.as_deref().unwrap_or("no detail");
        return format!("request {}: {}: {detail}", answer.request, answer.outcome);
    }
    let head = format!(
        "request {}: complete in {:.1} ms, cost {:.6}",
        answer.request, answer.ms, answer.cost
    );
    let mut stages =
        Table::with_heading(&["stage", "upstream", "attempts", "ms", "busy ms", "tokens", "cost"]);
    for it in &answer.stages {
        stages.add(vec![
            it.stage.clone(),
            it.upstream.clone(),
            it.attempts.to_string(),
            format!("{:.1}", it.ms),
            format!("{:.1}", it.busy_us as f64 / 1_000.0),
            it.tokens.to_string(),
            format!("{:.6}", it.cost),
        ]);
    }
    format!("{head}\n{}\noutput: {}", stages.format(), answer.output)
}
