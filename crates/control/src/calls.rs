//! The operators' calls, one function each.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use serde::de::DeserializeOwned;
use state::{ChangeReply, Command, Reply};
use tokio::time::Instant;
use types::{NodeId, OperatorName, UnixMillis, UpstreamName, VmName};

use crate::answers::{
    ChangeBody, Decided, FaultRow, InForce, MarkBody, MemberAction, MemberBody, Page, RecordRow,
    Records, Refused, ReportRow, ReportRows, Started, TransferBody,
};
use crate::ask::{Ask, Denied};
use crate::keeper;
use crate::member::Member;
use crate::protocol::{Span, UseRow};
use crate::report::Rows;
use crate::status;

/// How long a call may take; the command line tries another member after 4 s.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// How many audit records one answer holds.
const RECORD_LIMIT: usize = 500;

fn limit() -> Instant {
    Instant::now() + CALL_TIMEOUT
}

fn denied(denied: &Denied) -> Page {
    let detail = denied.to_string();
    match denied {
        Denied::NotRun(_) => Page::outcome(StatusCode::SERVICE_UNAVAILABLE, "not-run", &detail),
        Denied::Refused(_) => Page::outcome(StatusCode::CONFLICT, "refused", &detail),
        Denied::Uncertain(_) => Page::outcome(StatusCode::SERVICE_UNAVAILABLE, "unknown", &detail),
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Page> {
    serde_json::from_slice(body).map_err(|e| Page::fault(StatusCode::BAD_REQUEST, &e.to_string()))
}

/// Starts a cluster.
pub(crate) async fn init(member: &Member) -> Page {
    match member.init().await {
        Ok(unheard) => {
            if !unheard.is_empty() {
                log::warn!("init did not hear: {unheard:?}");
            }
            Page::json(StatusCode::OK, &Started { outcome: "started", unheard })
        }
        Err(why) => Page::outcome(StatusCode::CONFLICT, "refused", &why),
    }
}

/// Changes the service.
pub(crate) async fn change(member: &Member, operator: OperatorName, body: &[u8]) -> Page {
    let body: ChangeBody = match parse(body) {
        Ok(body) => body,
        Err(page) => return page,
    };
    if let Err(faults) = settings::check(&body.document) {
        let faults = faults.0.into_iter().map(FaultRow::from).collect();
        let refused = Refused { outcome: "refused", faults };
        return Page::json(StatusCode::UNPROCESSABLE_ENTITY, &refused);
    }
    let ChangeBody { id, base, document } = body;
    let command = Command::Change { id, base, operator, document, at: UnixMillis::now() };
    decided(member.asker.command(command, limit()).await.map(|it| it.1))
}

/// Tells whether the service in force names the upstream; where that cannot be learned the mark
/// is let through.
async fn knows(member: &Member, upstream: &UpstreamName) -> bool {
    if member.asker.read(limit()).await.is_err() {
        return true;
    }
    let published = Arc::clone(&member.core.published().borrow());
    let service = settings::resolve(&published.document, &member.settings.site);
    service.is_ok_and(|it| it.upstream(upstream).is_some())
}

fn decided(reply: Result<Reply, Denied>) -> Page {
    let reply = match reply {
        Ok(Reply::Change(reply)) => reply,
        Ok(_) => return Page::outcome(StatusCode::SERVICE_UNAVAILABLE, "unknown", "odd reply"),
        Err(e) => return denied(&e),
    };
    match reply {
        ChangeReply::Accepted(version) => {
            Page::json(StatusCode::OK, &Decided::Accepted { version })
        }
        ChangeReply::Conflict { version, winner, operator } => {
            Page::json(StatusCode::CONFLICT, &Decided::Conflict { version, winner, operator })
        }
        ChangeReply::Reused => Page::json(StatusCode::CONFLICT, &Decided::Reused),
        ChangeReply::Forgotten { version } => {
            Page::json(StatusCode::CONFLICT, &Decided::Forgotten { version })
        }
    }
}

/// Gives the service in force, confirmed by a quorum.
pub(crate) async fn service(member: &Member) -> Page {
    if let Err(e) = member.asker.read(limit()).await {
        return denied(&e);
    }
    let published = Arc::clone(&member.core.published().borrow());
    let (version, document) = (published.version, published.document.clone());
    Page::json(StatusCode::OK, &InForce { version, document })
}

/// Gives what this member knows of members, entries and upstreams.
pub(crate) fn status(member: &Member) -> Page {
    Page::json(StatusCode::OK, &status::status(member))
}

/// Gives records of the audit trail, as applied by this member.
pub(crate) async fn audit(member: &Member, query: &str) -> Page {
    let after = number(query, "after").unwrap_or(0);
    let records = member.core.look(move |state| state.audit(after, RECORD_LIMIT)).await;
    match records {
        Some(records) => {
            let records = records.into_iter().map(RecordRow::from).collect();
            Page::json(StatusCode::OK, &Records { records })
        }
        None => Page::fault(StatusCode::SERVICE_UNAVAILABLE, "member is busy or stopped"),
    }
}

/// Marks an upstream as leaving, or takes the mark back.
pub(crate) async fn mark(member: &Member, operator: OperatorName, body: &[u8]) -> Page {
    let body: MarkBody = match parse(body) {
        Ok(body) => body,
        Err(page) => return page,
    };
    let MarkBody { id, upstream, leaving } = body;
    // A mark on a mistyped name would look accepted and do nothing.
    if leaving && !knows(member, &upstream).await {
        let why = format!("the service in force names no upstream {upstream}");
        return Page::outcome(StatusCode::UNPROCESSABLE_ENTITY, "refused", &why);
    }
    let command = Command::Mark { id, upstream, leaving, operator, at: UnixMillis::now() };
    decided(member.asker.command(command, limit()).await.map(|it| it.1))
}

/// Adds a VM to those that should be members, or removes it. The leader carries it out.
pub(crate) async fn members(member: &Member, operator: OperatorName, body: &[u8]) -> Page {
    let MemberBody { action, vm } = match parse(body) {
        Ok(body) => body,
        Err(page) => return page,
    };
    let view = member.core.view();
    if !view.membership.learners.is_empty() {
        let why = "another change of members is under way";
        return Page::outcome(StatusCode::CONFLICT, "refused", why);
    }
    if !member.settings.members.iter().any(|it| it.vm == vm) {
        let why = format!("the settings name no member on {vm}; add it there on every VM first");
        return Page::outcome(StatusCode::CONFLICT, "refused", &why);
    }
    let voter =
        view.membership.voters.keys().copied().find(|it| view.vm(*it).as_ref() == Some(&vm));
    let command = match action {
        MemberAction::Add => keeper::add(vm, voter.unwrap_or_default(), operator),
        MemberAction::Remove if view.membership.voters.len() == 1 && voter.is_some() => {
            let why = "the last voter cannot be removed";
            return Page::outcome(StatusCode::CONFLICT, "refused", why);
        }
        MemberAction::Remove => keeper::remove(vm, voter.unwrap_or(NodeId(0)), operator),
    };
    match member.asker.command(command, limit()).await {
        Ok(_) => Page::outcome(StatusCode::OK, "accepted", "status shows when it is done"),
        Err(e) => denied(&e),
    }
}

/// Hands leadership over.
pub(crate) async fn transfer(member: &Member, body: &[u8]) -> Page {
    let body: TransferBody = match parse(if body.is_empty() { b"{}" } else { body }) {
        Ok(body) => body,
        Err(page) => return page,
    };
    match member.asker.ask(Ask::Transfer(body.vm), limit()).await {
        Ok(_) => Page::outcome(StatusCode::OK, "accepted", "status shows when it is done"),
        Err(e) => denied(&e),
    }
}

/// Sums the use by stage that entries reported to all members.
pub(crate) async fn report(member: &Member, query: &str) -> Page {
    let from = UnixMillis(number(query, "from").unwrap_or(0));
    let to = UnixMillis(number(query, "to").unwrap_or(u64::MAX));
    let span = Span { from, to };
    let mut rows = Rows::default();
    rows.extend(member.report.rows(span));
    let mut unheard: Vec<VmName> = Vec::new();
    let by = limit();
    let others = member.peers.connected().into_iter().map(|(vm, _)| async move {
        let reply = member.peers.report(&vm, span, by).await;
        (vm, reply)
    });
    for (vm, reply) in futures_util::future::join_all(others).await {
        match reply {
            Ok(more) => rows.extend(more),
            Err(_) => unheard.push(vm),
        }
    }
    let rows = rows.into_rows().into_iter().map(|it| priced(member, it)).collect();
    Page::json(StatusCode::OK, &ReportRows { rows, unheard })
}

fn priced(member: &Member, row: UseRow) -> ReportRow {
    let service = member.services.get(&member.settings.site);
    let pool = service.as_ref().and_then(|it| it.pools.get(&row.pool));
    let rate = pool.map_or(0.0, |it| it.cost.0);
    let seconds = (row.busy.0 + row.wasted.0) as f64 / 1e6;
    ReportRow {
        customer: row.customer.to_string(),
        stage: row.stage.to_string(),
        pool: row.pool.to_string(),
        calls: row.calls,
        busy_us: row.busy.0,
        tokens: row.tokens.0,
        wasted_us: row.wasted.0,
        cost: rate * seconds,
    }
}

fn number(query: &str, name: &str) -> Option<u64> {
    let pairs = query.split('&').filter_map(|it| it.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}
