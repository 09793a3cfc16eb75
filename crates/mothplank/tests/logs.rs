//! Logs consist of JSON lines and contain no secret.

mod env;

use env::{CUSTOMER_KEY, OPERATOR_TOKEN, Plan, SECRET, TestEnv};
use serde_json::{Value, json};

/// Guards against secrets in collected logs when the log level is raised to find a fault: neither
/// the headers of a request, nor a settings struct, nor the trace output of a library may contain
/// one.
#[test]
fn every_line_is_json_and_no_secret_is_logged_at_the_finest_level() {
    let plan = Plan { entries: 1, log: "trace".to_owned(), ..Plan::default() };
    let mut env = TestEnv::start(plan);
    let reply = env.call(1, "note", json!(1), &[("idempotency-key", "note-1")]);
    assert_eq!(reply.outcome(), "complete", "{}", reply.text());
    env.call(1, "unknown", json!(1), &[]);
    env.run_ok(&["status"]);
    for name in ["control-1", "entry-1"] {
        let log = env.process(name).log();
        assert!(!log.is_empty(), "{name} logs nothing");
        for secret in [CUSTOMER_KEY, OPERATOR_TOKEN, SECRET] {
            assert!(!log.contains(secret), "{name} logs {secret:?}");
        }
        for line in log.lines() {
            let fields: Value = serde_json::from_str(line).unwrap_or_default();
            for field in ["time", "level", "target", "message"] {
                assert!(fields[field].is_string(), "{name}: no {field} in {line}");
            }
        }
    }
}
