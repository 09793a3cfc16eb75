//! The checks at the end of a history that do not need the linearizability checker.

use std::sync::Arc;

use serde_json::Value;

use super::monitor::{VersionMonitor, entry_version};
use super::operator::Operator;
use super::record::{Answer, InForce, Record};
use crate::env::{TestEnv, wait_for, wait_until};

/// Waits until every member reports that it has applied `version`.
pub fn wait_members_applied(env: &TestEnv, version: u64) {
    for n in 1..=env.plan.controls {
        wait_until(&format!("member {n} to hold version {version}"), || {
            env.status(n).is_some_and(|it| it["version"] == version)
        });
    }
}

/// Checks a history, and the final state of members and entries against it.
///
/// # Panics
/// Panics if a guarantee is violated.
pub fn check_all(env: &TestEnv, record: &Arc<Record>, monitor: VersionMonitor) {
    let accepted = record.accepted();
    let all: Vec<usize> = (1..=env.plan.controls).collect();
    let last = Operator::new(env, 0, &all, record).read();
    assert!(accepted.keys().all(|it| *it <= last.version), "an accepted version is not reached");
    wait_members_applied(env, last.version);
    for n in all.clone() {
        let seen = Operator::new(env, 0, &[n], record).read();
        assert_eq!(seen, last, "member {n} holds another document");
        check_trail(env, n, record, last);
    }
    for n in 1..=env.plan.entries {
        wait_until(&format!("entry {n} to have version {}", last.version), || {
            entry_version(&env.http, env.entry_address(n)) == Some(last.version)
        });
    }
    monitor.end();
    record.check();
    check_resent(env, record, &all);
    let (code, _) = env.run(&["audit"]);
    assert_eq!(code, 0, "the chain of the audit trail is broken");
}

/// Checks that a member's audit trail has one accepted change for each version, in order, and that
/// it is the change whose operator was told that it was accepted.
fn check_trail(env: &TestEnv, n: usize, record: &Arc<Record>, last: InForce) {
    let trail = audit_trail(env, n);
    let rows = trail.iter().filter(|it| it["kind"] == "change" && it["outcome"] == "accepted");
    let rows: Vec<&Value> = rows.collect();
    let versions: Vec<u64> = rows.iter().filter_map(|it| it["version"].as_u64()).collect();
    let expected: Vec<u64> = (1..=last.version).collect();
    assert_eq!(versions, expected, "member {n}: the accepted versions of its trail");
    for (version, change) in record.accepted() {
        let what = rows[version as usize - 1]["what"].as_str().unwrap_or_default();
        let marker = format!("// change {change} by ");
        assert!(what.contains(&marker), "member {n}, version {version}: not {marker}in {what}");
    }
}

/// Reads the complete audit trail of a member.
pub fn audit_trail(env: &TestEnv, n: usize) -> Vec<Value> {
    let mut records: Vec<Value> = Vec::new();
    loop {
        let after = records.last().map_or(0, |it| it["number"].as_u64().unwrap());
        let path = format!("/v1/audit?after={after}");
        let more = wait_for("an audit trail", || {
            let reply = env.http.operator(env.control_address(n), "GET", &path, &Value::Null);
            reply.ok().and_then(|it| it.json()["records"].as_array().cloned())
        });
        if more.is_empty() {
            return records;
        }
        records.extend(more);
    }
}

/// Resends every answered change and checks that the answer is the same as the first one.
pub fn check_resent(env: &TestEnv, record: &Arc<Record>, members: &[usize]) {
    for (change, (_, first)) in record.changes() {
        if first != Answer::Lost {
            let mut operator =
                Operator::new(env, record.sent_change(change).operator, members, record);
            assert_eq!(operator.resend(change), first, "change {change}, resent at the end");
        }
    }
}
