//! The single call that the owner of a claim makes: never after the claim may be lost, and never
//! abandoned early.

mod env;
mod requests;

use std::thread;
use std::time::{Duration, Instant};

use env::{Plan, Signal, TestEnv, wait_until};
use requests::{Behavior, Caller, Outcome, PipelineRequest, Run, Stock, size};
use serde_json::json;

/// Guards against a booking that is made twice with two keys, because the caller was told that the
/// first request can never run, found nothing at the service, and sent a second one. An entry holds
/// the claim and waits for an earlier stage while it is stopped for longer than the time after
/// which it counts as lost. A resend to another entry gets `owner-lost`; then the entry continues
/// before the deadline. It must check that its claim is still valid before it sends the call.
#[test]
fn a_frozen_owner_does_not_run_what_was_told_lost() {
    let mut env = TestEnv::start(Plan { controls: 3, ..Plan::default() });
    let runtime = env.runtime.handle().clone();
    let stock = Stock::spawn(&runtime, env.ports.reserve());
    let address = json!(stock.address());
    let upstreams = &mut env.document.base["pools"]["stock"]["upstreams"];
    ["stock-1", "stock-2"].iter().for_each(|it| upstreams[it]["address"] = address.clone());
    env.document.base["pipelines"]["note"]["deadline"] = 60_000.into();
    let document = env.document.clone();
    env.apply(&document);
    let encoders = ["encoders-1", "encoders-2"].map(|it| env.standin_address(it));
    encoders.iter().for_each(|it| env.http.faults(*it, &json!({"late": 1_000})));
    let (caller, entries) =
        (Caller::open(runtime, 0), [env.entry_address(1), env.entry_address(2)]);
    let request = |key| PipelineRequest {
        key: Some(key),
        deadline: Duration::from_secs(60),
        ..PipelineRequest::new("note", key)
    };
    for key in &["lot-1", "lot-2", "lot-3"][..size(1, 3)] {
        let calls =
            || encoders.iter().filter_map(|it| env.http.counts(*it)["calls"].as_u64()).sum::<u64>();
        let before = calls();
        let first = {
            let caller = caller.clone();
            thread::spawn(move || caller.send_blocking(entries[0], &request(key)))
        };
        wait_until("the stage before the call", || calls() > before);
        env.signal("entry-1", Signal::STOP);
        wait_until("the answer owner-lost", || {
            let answer = caller.send_blocking(entries[1], &request(key));
            answer.reason() == "owner-lost"
        });
        let told = Instant::now();
        env.signal("entry-1", Signal::CONT);
        let answer = first.join().unwrap();
        let late: Vec<Run> =
            stock.runs().into_iter().filter(|it| it.key == *key && it.at > told).collect();
        assert!(
            late.is_empty(),
            "{key} ran after it was reported as lost, and the owner answered {answer:?}"
        );
        assert_ne!(answer.outcome, Outcome::Complete, "{answer:?}");
    }
}

/// Guards against a booking that is reported as unknown for good, which somebody has to look up,
/// although it only took a second longer than usual: after many quick calls, one call is answered
/// late, well within the deadline. The limit that detects silent connections early, so that a call
/// can be repeated, must not apply to a call that may not be repeated.
#[test]
fn a_late_answer_to_a_call_that_runs_once_is_waited_for() {
    let mut env = TestEnv::start(Plan { entries: 1, ..Plan::default() });
    let runtime = env.runtime.handle().clone();
    let stock = Stock::spawn(&runtime, env.ports.reserve());
    let address = json!(stock.address());
    let upstreams = &mut env.document.base["pools"]["stock"]["upstreams"];
    ["stock-1", "stock-2"].iter().for_each(|it| upstreams[it]["address"] = address.clone());
    env.document.base["pipelines"]["note"]["deadline"] = 20_000.into();
    let document = env.document.clone();
    env.apply(&document);
    let caller = Caller::open(runtime, 0);
    let deadline = Duration::from_secs(20);
    for i in 0..60 {
        // The last two are late by much more than the limit that the first ones lead to.
        let late = Duration::from_secs(if i < 58 { 0 } else { 2 });
        stock.set_behavior(Behavior { late, late_share: 1.0, ..Behavior::default() });
        let key = format!("key-{i}");
        let request =
            PipelineRequest { key: Some(&key), deadline, ..PipelineRequest::new("note", &key) };
        let answer = caller.send_blocking(env.entry_address(1), &request);
        assert_eq!(answer.outcome, Outcome::Complete, "{answer:?}");
    }
}
