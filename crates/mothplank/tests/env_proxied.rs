//! Tests of the test environment: three members and two entries behind proxies.

mod env;

use env::{Plan, Signal, TestEnv, wait_until};
use serde_json::json;
use standins::proxy::Cut;

#[test]
fn three_members_behind_proxies_survive_a_cut_and_a_kill() {
    let mut env = TestEnv::start(Plan { controls: 3, proxied: true, ..Plan::default() });
    let leader = env.wait_leader(&[1, 2, 3]);
    let others: Vec<usize> = (1..=3).filter(|it| *it != leader).collect();
    for other in &others {
        env.link(leader, *other).cut(Cut::default());
        env.link(*other, leader).cut(Cut::default());
    }
    let next = env.wait_leader(&others);
    assert_ne!(next, leader);
    for other in &others {
        env.link(leader, *other).heal();
        env.link(*other, leader).heal();
    }
    env.document.base["policy"] = json!({"retries": 0.2});
    let document = env.document.clone();
    assert_eq!(env.apply(&document), 2);
    env.kill(&format!("control-{next}"));
    env.start_control(next);
    wait_until("the killed member is back with version 2", || {
        env.status(next).is_some_and(|it| it["version"] == 2)
    });
    env.signal("control-1", Signal::STOP);
    env.signal("control-1", Signal::CONT);
    let reply = env.call(1, "appraise", json!({"marker": "after"}), &[]);
    assert_eq!(reply.outcome(), "complete", "{}", reply.text());
}
