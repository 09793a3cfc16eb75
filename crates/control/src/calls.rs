//! The operators' API calls, one function each.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use serde::de::DeserializeOwned;
use state::{ChangeReply, Command, Reply};
use tokio::time::Instant;
use types::{NodeId, OperatorName, UnixMillis, UpstreamName, VmName};

use crate::member::Member;
use crate::protocol::{TimeSpan, UsageRow};
use crate::reconciler;
use crate::request::{LeaderRequest, RequestError};
use crate::responses::{
    AuditResponse, ChangeBody, ChangeOutcome, FaultRow, HttpResponse, InitResponse, MarkBody,
    MemberAction, MemberBody, RecordRow, RefusedChange, ServiceResponse, TransferBody,
    UsageReportRow, UsageResponse,
};
use crate::status;
use crate::usage_store::UsageRows;

/// The timeout of a call; the command line tries another member after 4 s.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// The maximum number of audit records in one response.
const MAX_AUDIT_RECORDS: usize = 500;

fn call_deadline() -> Instant {
    Instant::now() + CALL_TIMEOUT
}

fn error_response(error: &RequestError) -> HttpResponse {
    let detail = error.to_string();
    match error {
        RequestError::NotRun(_) => {
            HttpResponse::outcome(StatusCode::SERVICE_UNAVAILABLE, "not-run", &detail)
        }
        RequestError::Refused(_) => HttpResponse::outcome(StatusCode::CONFLICT, "refused", &detail),
        RequestError::Uncertain(_) => {
            HttpResponse::outcome(StatusCode::SERVICE_UNAVAILABLE, "unknown", &detail)
        }
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, HttpResponse> {
    serde_json::from_slice(body)
        .map_err(|e| HttpResponse::error(StatusCode::BAD_REQUEST, &e.to_string()))
}

/// Starts a cluster.
pub(crate) async fn init(member: &Member) -> HttpResponse {
    match member.init().await {
        Ok(unheard) => {
            if !unheard.is_empty() {
                log::warn!("started a cluster without asking unreachable members: {unheard:?}");
            }
            HttpResponse::json(StatusCode::OK, &InitResponse { outcome: "started", unheard })
        }
        Err(reason) => HttpResponse::outcome(StatusCode::CONFLICT, "refused", &reason),
    }
}

/// Changes the service.
pub(crate) async fn change(member: &Member, operator: OperatorName, body: &[u8]) -> HttpResponse {
    let body: ChangeBody = match parse(body) {
        Ok(body) => body,
        Err(response) => return response,
    };
    if let Err(faults) = settings::check(&body.document) {
        let faults = faults.0.into_iter().map(FaultRow::from).collect();
        let refused = RefusedChange { outcome: "refused", faults };
        return HttpResponse::json(StatusCode::UNPROCESSABLE_ENTITY, &refused);
    }
    let ChangeBody { id, base, document } = body;
    let command = Command::Change { id, base, operator, document, at: UnixMillis::now() };
    change_response(member.leader_client.command(command, call_deadline()).await.map(|it| it.1))
}

/// Returns whether the service in force contains the upstream. Returns `true` if that cannot be
/// determined, so that the mark is accepted.
async fn names_upstream(member: &Member, upstream: &UpstreamName) -> bool {
    if member.leader_client.read(call_deadline()).await.is_err() {
        return true;
    }
    let published = Arc::clone(&member.core.published().borrow());
    let service = settings::resolve(&published.document, &member.settings.site);
    service.is_ok_and(|it| it.upstream(upstream).is_some())
}

fn change_response(reply: Result<Reply, RequestError>) -> HttpResponse {
    let reply = match reply {
        Ok(Reply::Change(reply)) => reply,
        Ok(_) => {
            return HttpResponse::outcome(StatusCode::SERVICE_UNAVAILABLE, "unknown", "odd reply");
        }
        Err(e) => return error_response(&e),
    };
    match reply {
        ChangeReply::Accepted(version) => {
            HttpResponse::json(StatusCode::OK, &ChangeOutcome::Accepted { version })
        }
        ChangeReply::Conflict { version, winner, operator } => HttpResponse::json(
            StatusCode::CONFLICT,
            &ChangeOutcome::Conflict { version, winner, operator },
        ),
        ChangeReply::Reused => HttpResponse::json(StatusCode::CONFLICT, &ChangeOutcome::Reused),
        ChangeReply::Forgotten { version } => {
            HttpResponse::json(StatusCode::CONFLICT, &ChangeOutcome::Forgotten { version })
        }
    }
}

/// Returns the service in force, confirmed by a quorum.
pub(crate) async fn service(member: &Member) -> HttpResponse {
    if let Err(e) = member.leader_client.read(call_deadline()).await {
        return error_response(&e);
    }
    let published = Arc::clone(&member.core.published().borrow());
    let (version, document) = (published.version, published.document.clone());
    HttpResponse::json(StatusCode::OK, &ServiceResponse { version, document })
}

/// Returns what this member knows of members, entries and upstreams.
pub(crate) fn status(member: &Member) -> HttpResponse {
    HttpResponse::json(StatusCode::OK, &status::status(member))
}

/// Returns records of the audit trail, as applied by this member.
pub(crate) async fn audit(member: &Member, query: &str) -> HttpResponse {
    let after = query_number(query, "after").unwrap_or(0);
    let records = member.core.inspect(move |state| state.audit(after, MAX_AUDIT_RECORDS)).await;
    match records {
        Some(records) => {
            let records = records.into_iter().map(RecordRow::from).collect();
            HttpResponse::json(StatusCode::OK, &AuditResponse { records })
        }
        None => HttpResponse::error(StatusCode::SERVICE_UNAVAILABLE, "member is busy or stopped"),
    }
}

/// Marks an upstream as leaving, or removes the mark.
pub(crate) async fn mark(member: &Member, operator: OperatorName, body: &[u8]) -> HttpResponse {
    let body: MarkBody = match parse(body) {
        Ok(body) => body,
        Err(response) => return response,
    };
    let MarkBody { id, upstream, leaving } = body;
    // Rejects unknown names, because a mark on a mistyped name would be accepted and have no
    // effect.
    if leaving && !names_upstream(member, &upstream).await {
        let reason = format!("the service in force names no upstream {upstream}");
        return HttpResponse::outcome(StatusCode::UNPROCESSABLE_ENTITY, "refused", &reason);
    }
    let command = Command::Mark { id, upstream, leaving, operator, at: UnixMillis::now() };
    change_response(member.leader_client.command(command, call_deadline()).await.map(|it| it.1))
}

/// Adds a VM to those that should be members, or removes it. The leader then changes the
/// membership.
pub(crate) async fn members(member: &Member, operator: OperatorName, body: &[u8]) -> HttpResponse {
    let MemberBody { action, vm } = match parse(body) {
        Ok(body) => body,
        Err(response) => return response,
    };
    let view = member.core.view();
    if !view.membership.learners.is_empty() {
        let reason = "another change of members is under way";
        return HttpResponse::outcome(StatusCode::CONFLICT, "refused", reason);
    }
    if !member.settings.members.iter().any(|it| it.vm == vm) {
        let reason = format!("the settings name no member on {vm}; add it there on every VM first");
        return HttpResponse::outcome(StatusCode::CONFLICT, "refused", &reason);
    }
    let voter =
        view.membership.voters.keys().copied().find(|it| view.vm(*it).as_ref() == Some(&vm));
    let command = match action {
        MemberAction::Add => reconciler::add(vm, voter.unwrap_or_default(), operator),
        MemberAction::Remove if view.membership.voters.len() == 1 && voter.is_some() => {
            let reason = "the last voter cannot be removed";
            return HttpResponse::outcome(StatusCode::CONFLICT, "refused", reason);
        }
        MemberAction::Remove => reconciler::remove(vm, voter.unwrap_or(NodeId(0)), operator),
    };
    match member.leader_client.command(command, call_deadline()).await {
        Ok(_) => HttpResponse::outcome(StatusCode::OK, "accepted", "status shows when it is done"),
        Err(e) => error_response(&e),
    }
}

/// Transfers leadership.
pub(crate) async fn transfer(member: &Member, body: &[u8]) -> HttpResponse {
    let body: TransferBody = match parse(if body.is_empty() { b"{}" } else { body }) {
        Ok(body) => body,
        Err(response) => return response,
    };
    match member.leader_client.request(LeaderRequest::Transfer(body.vm), call_deadline()).await {
        Ok(_) => HttpResponse::outcome(StatusCode::OK, "accepted", "status shows when it is done"),
        Err(e) => error_response(&e),
    }
}

/// Returns the stage usage that entries reported to all members.
pub(crate) async fn report(member: &Member, query: &str) -> HttpResponse {
    let from = UnixMillis(query_number(query, "from").unwrap_or(0));
    let to = UnixMillis(query_number(query, "to").unwrap_or(u64::MAX));
    let span = TimeSpan { from, to };
    let mut rows = UsageRows::default();
    rows.extend(member.usage_store.rows(span));
    let mut unheard: Vec<VmName> = Vec::new();
    let deadline = call_deadline();
    let others = member.peers.connected().into_iter().map(|(vm, _)| async move {
        let reply = member.peers.report(&vm, span, deadline).await;
        (vm, reply)
    });
    for (vm, reply) in futures_util::future::join_all(others).await {
        match reply {
            Ok(more) => rows.extend(more),
            Err(_) => unheard.push(vm),
        }
    }
    let rows = rows.into_rows().into_iter().map(|it| with_cost(member, it)).collect();
    HttpResponse::json(StatusCode::OK, &UsageResponse { rows, unheard })
}

fn with_cost(member: &Member, row: UsageRow) -> UsageReportRow {
    let service = member.services.get(&member.settings.site);
    let pool = service.as_ref().and_then(|it| it.pools.get(&row.pool));
    let rate = pool.map(|it| it.cost.0);
    let seconds = (row.busy.0 + row.wasted.0) as f64 / 1e6;
    UsageReportRow {
        customer: row.customer.to_string(),
        stage: row.stage.to_string(),
        pool: row.pool.to_string(),
        calls: row.calls,
        busy_us: row.busy.0,
        tokens: row.tokens.0,
        wasted_us: row.wasted.0,
        cost: rate.map(|it| it * seconds),
    }
}

fn query_number(query: &str, name: &str) -> Option<u64> {
    let pairs = query.split('&').filter_map(|it| it.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}
