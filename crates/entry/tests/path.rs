//! Runs complete pipelines against scripted upstreams.

mod support;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use serde_json::{Value, json};
use support::fake::{Action, FakeUpstream, Received, response, stage_ok, stream};
use support::{Pools, get, open, post, until};
use tokio::sync::Notify;
use types::CallId;

#[tokio::test(flavor = "multi_thread")]
async fn four_stages_give_one_answer_with_time_and_cost() {
    let stage = |name: &'static str| {
        FakeUpstream::spawn(move |seen| {
            stage_ok(seen, &json!({"by": name, "after": seen.body["previous"]["by"]}))
        })
    };
    let (encode, retrieve, rerank) = (stage("e").await, stage("r").await, stage("k").await);
    let engine = FakeUpstream::spawn(|seen| stream(&seen.id, 0, 3)).await;
    let pools = Pools {
        encode: vec![encode.address],
        retrieve: vec![retrieve.address],
        rerank: vec![rerank.address],
        generate: vec![engine.address],
        ..Pools::default()
    };
    let (entry, _session) = open(&pools).await;

    let answer = post(entry.address(), "appraise", "", r#"{"input": {"lot": 7}}"#).await;

    assert_eq!((answer.status, answer.outcome()), (200, "complete"), "{answer:?}");
    let body = answer.json();
    assert_eq!(body["output"], "t0 t1 t2 ");
    assert_eq!(body["request"], answer.header("mothplank-request").unwrap());
    let stages = body["stages"].as_array().unwrap();
    let names: Vec<_> = stages.iter().map(|it| it["stage"].as_str().unwrap()).collect();
    assert_eq!(names, ["encode", "retrieve", "rerank", "generate"]);
    assert_eq!(stages[3]["tokens"], 3);
    // 1 ms busy in each of three stages and 5 ms in the engine, at a cost of 2 per second.
    assert!((body["cost"].as_f64().unwrap() - 0.016).abs() < 1e-9, "{body}");
    assert_eq!(rerank.received()[0].body["previous"], json!({"by": "r", "after": "e"}));
    assert_eq!(engine.received()[0].body["prompt"].as_str().unwrap().matches("lot").count(), 1);
    entry.drain().await;
}

/// Answers correctly, or in one of the ways that could hand one request's result to another
/// request.
fn mix_up_answers(seen: &Received, last: &Mutex<Option<Received>>) -> Vec<Action> {
    let other = last.lock().unwrap().replace(seen.clone());
    let right = stage_ok(seen, &seen.body["input"]);
    match (seen.number % 6, other) {
        // The complete answer of the previous call, with that call's id or with this call's header.
        (1, Some(other)) => stage_ok(&other, &other.body["input"]),
        (3, Some(other)) => {
            let body = format!("{{\"call\":\"{}\",\"output\":{}}}", other.id, other.body["input"]);
            vec![Action::Write(response(200, &seen.id, "", &body))]
        }
        (5, _) => match right.into_iter().next() {
            Some(Action::Write(mut bytes)) => {
                bytes.truncate(bytes.len() - 3);
                vec![Action::Write(bytes), Action::Close]
            }
            _ => vec![Action::Close],
        },
        _ => right,
    }
}

/// Guards against a request that gets another request's result. Of 300 marked requests from 30
/// callers, half the calls get another call's answer or half an answer. An entry that takes any
/// answer on a connection for that of the waiting call would pass them on.
#[tokio::test(flavor = "multi_thread")]
async fn a_whole_answer_is_always_the_request_s_own() {
    let fakes = async || {
        let last = Mutex::new(None);
        FakeUpstream::spawn(move |seen| mix_up_answers(seen, &last)).await
    };
    let stages = [fakes().await, fakes().await, fakes().await];
    let encode = stages.iter().map(|it| it.address).collect();
    let (entry, _session) = open(&Pools { encode, ..Pools::default() }).await;
    let address = entry.address();
    let caller = |caller: usize| async move {
        let mut complete = 0;
        for number in 0..10 {
            let mark = format!("m{caller}-{number}-{}", CallId::random());
            let answer = post(address, "encode", "", &json!({"input": mark}).to_string()).await;
            if answer.outcome() == "complete" {
                complete += 1;
                assert_eq!(answer.json()["output"], Value::from(mark), "{answer:?}");
            } else {
                assert!(!answer.body.contains("output"), "{answer:?}");
            }
        }
        complete
    };
    let callers: Vec<_> = (0..30).map(|it| tokio::spawn(caller(it))).collect();
    let mut complete = 0;
    for caller in callers {
        complete += caller.await.unwrap();
    }
    assert!(complete > 0);
    entry.drain().await;
}

/// Guards against a request that is late because one call hangs while other upstreams are free.
/// Once the pool's call times are known, one call hangs; without a hedge, only the call's own limit
/// would end it.
#[tokio::test(flavor = "multi_thread")]
async fn a_straggler_is_hedged_and_its_call_closed() {
    let hung = Arc::new(AtomicBool::new(false));
    let fake = async || {
        let hung = Arc::clone(&hung);
        let script = move |seen: &Received| {
            let hangs = seen.body["input"] == "hang" && !hung.swap(true, Ordering::SeqCst);
            if hangs { vec![Action::Hang] } else { stage_ok(seen, &seen.body["input"]) }
        };
        FakeUpstream::spawn(script).await
    };
    let stages = [fake().await, fake().await, fake().await];
    let encode = stages.iter().map(|it| it.address).collect();
    let (entry, _session) = open(&Pools { encode, ..Pools::default() }).await;
    for number in 0..200 {
        let body = json!({"input": number}).to_string();
        let answer = post(entry.address(), "encode", "", &body).await;
        assert_eq!(answer.outcome(), "complete", "{number}: {answer:?}");
    }
    let answer = post(entry.address(), "encode", "", r#"{"input": "hang"}"#).await;
    assert_eq!((answer.outcome(), &answer.json()["output"]), ("complete", &json!("hang")));
    assert_eq!(answer.json()["stages"][0]["attempts"], 2, "{answer:?}");
    let metrics = get(entry.address(), "/metrics").await.body;
    assert!(metrics.contains("kind=\"hedge\",pool=\"encode\"}"), "{metrics}");
    entry.drain().await;
}

/// Guards against a minute of late requests after a middlebox between entry and upstream has lost
/// the state of its connections. Eight connections are open and all go silent at once, while new
/// ones work. One request finds that out; six more follow at once. They would be late if each took
/// another of the kept connections and waited out its limit.
#[tokio::test(flavor = "multi_thread")]
async fn only_one_request_meets_a_silent_connection() {
    let (dead, gate) = (Arc::new(AtomicUsize::new(0)), Arc::new(Notify::new()));
    let (limit, wait) = (Arc::clone(&dead), Arc::clone(&gate));
    let encode = FakeUpstream::spawn(move |seen| {
        if seen.connection < limit.load(Ordering::SeqCst) {
            return vec![Action::Hang];
        }
        let mut actions = stage_ok(seen, &seen.body["input"]);
        if seen.number < 8 {
            actions.insert(0, Action::Wait(Arc::clone(&wait)));
        }
        actions
    });
    let encode = encode.await;
    let pools = Pools { encode: vec![encode.address], ..Pools::default() };
    let (entry, _session) = open(&pools).await;
    let address = entry.address();
    let ask = |number: usize, deadline: u64| async move {
        let headers = format!("mothplank-deadline-ms: {deadline}\r\n");
        let body = json!({"input": number}).to_string();
        let answer = post(address, "encode", &headers, &body).await;
        assert_eq!(answer.outcome(), "complete", "{answer:?}");
    };
    let first: Vec<_> = (0..8).map(|it| tokio::spawn(ask(it, 7_000))).collect();
    until(|| encode.received().len() == 8).await;
    gate.notify_waiters();
    for one in first {
        one.await.unwrap();
    }
    dead.store(encode.connections(), Ordering::SeqCst);
    ask(100, 7_000).await;
    // The first-byte limit of a pool with few samples, two seconds, does not fit into this
    // deadline.
    let then: Vec<_> = (101..107).map(|it| tokio::spawn(ask(it, 1_500))).collect();
    for one in then {
        one.await.unwrap();
    }
    entry.drain().await;
}
