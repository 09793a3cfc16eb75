//! The one call of a claim's owner: never after its claim may be lost, and never given up early.

mod env;
mod requests;

use std::thread;
use std::time::{Duration, Instant};

use env::{Plan, Signal, TestEnv, wait_until};
use requests::{Ask, Caller, Mood, Run, Said, Stock, size};
use serde_json::json;

// Symptom: an artist is booked twice, under two keys: the caller was told that the first never runs
// any more, asked the service, found nothing, and sent a second.
// Sequence: an entry holds the claim and waits for an earlier stage; it is frozen for longer than
// the time after which it counts as lost; a resend to another entry is told `owner-lost`; the entry
// goes on, with time left.
// Cause looked for: the entry sends the call without looking whether its claim can still stand.
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
    let ask =
        |key| Ask { key: Some(key), deadline: Duration::from_secs(60), ..Ask::new("note", key) };
    for key in &["lot-1", "lot-2", "lot-3"][..size(1, 3)] {
        let calls =
            || encoders.iter().filter_map(|it| env.http.counts(*it)["calls"].as_u64()).sum::<u64>();
        let before = calls();
        let first = {
            let caller = caller.clone();
            thread::spawn(move || caller.call(entries[0], &ask(key)))
        };
        wait_until("the stage before the call", || calls() > before);
        env.signal("entry-1", Signal::STOP);
        wait_until("the word that the owner is lost", || {
            let answer = caller.call(entries[1], &ask(key));
            answer.reason() == "owner-lost"
        });
        let told = Instant::now();
        env.signal("entry-1", Signal::CONT);
        let answer = first.join().unwrap();
        let late: Vec<Run> =
            stock.runs().into_iter().filter(|it| it.key == *key && it.at > told).collect();
        assert!(late.is_empty(), "{key} ran after it was told lost, and the owner said {answer:?}");
        assert_ne!(answer.said, Said::Complete, "{answer:?}");
    }
}

// Symptom: a booking that only took a second longer than usual is reported as perhaps run, for
// good, and somebody has to look it up.
// Sequence: many quick calls teach the entry what is usual; one call is answered late, well within
// the deadline.
// Cause looked for: a call that may not be repeated is given up by the limit that is meant to find
// silent connections early, so that a call can be repeated.
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
        // The last ones are late by far more than the limit that the first ones lead to.
        let late = Duration::from_secs(if i < 58 { 0 } else { 2 });
        stock.set(Mood { late, late_share: 1.0, ..Mood::default() });
        let key = format!("key-{i}");
        let ask = Ask { key: Some(&key), deadline, ..Ask::new("note", &key) };
        let answer = caller.call(env.entry_address(1), &ask);
        assert_eq!(answer.said, Said::Complete, "{answer:?}");
    }
}
