//! `mothplank status`: shows members, entries, upstreams and the problems of the system.

use eyre::Result;
use serde_json::{Value, json};

use crate::config::Target;
use crate::exit_codes::ExitCode;
use crate::messages::Status;
use crate::operator::OperatorClient;
use crate::output::Format;
use crate::table::Table;

/// Runs the command.
///
/// # Errors
/// Returns an error if no member answers.
pub(crate) async fn run(format: Format, target: Target, why: bool) -> Result<ExitCode> {
    let status: Status = OperatorClient::new(target).get("/v1/status").await?;
    if why {
        let reasons = reasons(&status);
        format.print(&json!({"why": reasons}), || match reasons.is_empty() {
            true => "all is as it should be".to_owned(),
            false => reasons.join("\n"),
        })?;
        return Ok(ExitCode::Success);
    }
    format.print(&status, || describe(&status))?;
    Ok(ExitCode::Success)
}

fn reasons(status: &Status) -> Vec<String> {
    let entries = status.entries.iter();
    let entries = entries.filter_map(|it| Some(format!("entry {}: {}", it.vm, it.why.as_ref()?)));
    let upstreams = status.upstreams.iter();
    let upstreams =
        upstreams.filter_map(|it| Some(format!("upstream {}: {}", it.upstream, it.why.as_ref()?)));
    status.why.iter().cloned().chain(entries).chain(upstreams).collect()
}

fn describe(status: &Status) -> String {
    let head = format!(
        "{} is {} in term {}, leader {}; version {}, committed {}, applied {}",
        status.vm,
        status.role,
        status.term,
        format_value(&status.leader),
        status.version,
        status.commit,
        status.applied,
    );
    let mut members = Table::with_heading(&["member", "kind", "node", "holds"]);
    for it in &status.members {
        members.add(vec![
            it.vm.clone(),
            it.kind.clone(),
            format_value(&it.node),
            format_number(it.matched),
        ]);
    }
    let mut entries = Table::with_heading(&["entry", "site", "version", "asked ms ago"]);
    for it in &status.entries {
        let version = it.version.to_string();
        entries.add(vec![it.vm.clone(), it.site.clone(), version, format_number(it.age_ms)]);
    }
    let mut upstreams = Table::with_heading(&["upstream", "standing", "in flight", "reported"]);
    for it in &status.upstreams {
        let flight = it.in_flight.to_string();
        let cells =
            vec![it.upstream.clone(), it.standing.clone(), flight, format_number(it.reported)];
        upstreams.add(cells);
    }
    let tables = [members, entries, upstreams].map(|it| it.format()).join("\n\n");
    let reasons = reasons(status);
    let why =
        if reasons.is_empty() { "all is as it should be".to_owned() } else { reasons.join("\n") };
    format!("{head}\n\n{tables}\n\n{why}")
}

fn format_value(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(it) => it.clone(),
        other => other.to_string(),
    }
}

fn format_number(value: Option<u64>) -> String {
    value.map_or_else(|| "-".to_owned(), |it| it.to_string())
}
