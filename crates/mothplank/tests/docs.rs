//! The operating page explains every settings key and every metric.

mod env;

use env::{Plan, TestEnv};
use serde_json::json;

const PAGE: &str = include_str!("../../../docs/OPERATING.md");

#[test]
fn every_key_of_the_settings_is_explained() {
    for key in settings::node_keys() {
        assert!(PAGE.contains(&format!("| `{}` |", key.path)), "{}", key.path);
    }
    for key in settings::service_keys() {
        let start = format!("| `{}` |", key.path);
        let row = PAGE.lines().find(|it| it.starts_with(&start));
        let row = row.unwrap_or_else(|| panic!("{} is not explained", key.path));
        let by_site = row.split('|').nth(4).unwrap().trim() == "site";
        assert_eq!(by_site, key.overridable, "{row}");
    }
}

#[test]
fn every_metric_is_explained() {
    let env = TestEnv::start(Plan { entries: 1, ..Plan::default() });
    let reply = env.call(1, "note", json!(1), &[("idempotency-key", "note-1")]);
    assert_eq!(reply.outcome(), "complete", "{}", reply.text());
    for address in [env.entry_address(1), env.control_address(1)] {
        let text = env.http.get(address, "/metrics").unwrap().text();
        let names = text.lines().filter_map(|it| it.strip_prefix("# TYPE "));
        let names: Vec<&str> = names.filter_map(|it| it.split(' ').next()).collect();
        assert!(names.len() > 5, "{text}");
        let explained = |name: &&str| PAGE.contains(&format!("| `{name}` |"));
        let own = names.into_iter().filter(|it| !it.starts_with("process_"));
        let missing: Vec<&str> = own.filter(|it| !explained(it)).collect();
        assert!(missing.is_empty(), "docs/OPERATING.md does not explain {missing:?}");
    }
}
