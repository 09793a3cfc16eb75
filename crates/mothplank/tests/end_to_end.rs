//! End-to-end tests with separate processes: entries, a control member, stand-ins for upstreams.

mod env;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use env::{Plan, Signal, TestEnv, wait_until};
use serde_json::{Value, json};

/// The stages of the pipeline `appraise`, in order.
const STAGES: [&str; 4] = ["encode", "retrieve", "rerank", "generate"];

#[test]
fn four_stages_through_either_entry() {
    let env = TestEnv::start(Plan::default());
    for n in [1, 2] {
        let marker = format!("lot-{n}");
        let deadline = [("mothplank-deadline-ms", "4000")];
        let reply = env.call(n, "appraise", json!({"marker": marker}), &deadline);
        let answer = reply.json();
        assert_eq!((reply.status, reply.outcome().as_str()), (200, "complete"), "{answer}");
        let stages = answer["stages"].as_array().unwrap();
        let names: Vec<&str> = stages.iter().filter_map(|it| it["stage"].as_str()).collect();
        assert_eq!(names, STAGES, "{answer}");
        for stage in stages {
            assert!(stage["cost"].as_f64().unwrap() > 0.0, "{stage}");
            assert_eq!(stage["attempts"], 1, "{stage}");
        }
        assert_eq!(stages[3]["tokens"], 8, "{answer}");
        assert_eq!(reply.header("mothplank-request"), answer["request"].as_str().unwrap());
        assert_eq!(reply.header("mothplank-outcome"), "complete");
        assert!(standins::marker::has_only(&answer["output"].to_string(), &marker), "{answer}");
    }
}

struct Refusal {
    name: &'static str,
    pipeline: &'static str,
    headers: &'static [(&'static str, &'static str)],
    status: u16,
}

#[test]
fn what_cannot_run_is_refused_as_not_run() {
    let env = TestEnv::start(Plan { entries: 1, ..Plan::default() });
    let cases = [
        Refusal { name: "unknown pipeline", pipeline: "praise", headers: &[], status: 404 },
        Refusal { name: "no key for a note", pipeline: "note", headers: &[], status: 400 },
        Refusal {
            name: "deadline is no number",
            pipeline: "appraise",
            headers: &[("mothplank-deadline-ms", "soon")],
            status: 400,
        },
    ];
    for case in cases {
        let reply = env.call(1, case.pipeline, json!(1), case.headers);
        assert_eq!(reply.status, case.status, "{}: {}", case.name, reply.text());
        assert_eq!(reply.outcome(), "not-run", "{}: {}", case.name, reply.text());
    }
    let stranger = [("authorization", "Bearer not-a-key")];
    let address = env.entry_address(1);
    let reply = env.http.send(address, "POST", "/v1/pipelines/appraise", &stranger, "{}").unwrap();
    assert_eq!((reply.status, reply.outcome().as_str()), (401, "not-run"), "{}", reply.text());
}

/// Guards against repeatable requests that get no answer after an entry is killed: callers whose
/// connection broke resend to the other entry, and state that only the dead entry had, such as
/// places in upstream queues or in limits, must not keep the resends from completing.
#[test]
fn an_entry_killed_under_load_loses_no_repeatable_request() {
    const CALLERS: usize = 8;
    const REQUESTS: usize = 25;
    let mut env = TestEnv::start(Plan::default());
    let entries = [env.entry_address(1), env.entry_address(2)];
    let complete = AtomicUsize::new(0);
    let broken = AtomicUsize::new(0);
    let caller = |caller: usize| {
        let http = env.http.clone();
        let (complete, broken) = (&complete, &broken);
        move || {
            for i in 0..REQUESTS {
                let marker = format!("lot-{caller}-{i}");
                let body = json!({"input": {"marker": marker}});
                let mut at = caller + i;
                let answer = loop {
                    match http.call(entries[at % 2], "appraise", &body, &[]) {
                        Ok(reply) if reply.status == 200 => break reply.json(),
                        Ok(reply) => assert_ne!(reply.outcome(), "failed", "{}", reply.text()),
                        Err(_) => {
                            broken.fetch_add(1, Ordering::SeqCst);
                        }
                    }
                    at += 1;
                };
                assert!(
                    standins::marker::has_only(&answer["output"].to_string(), &marker),
                    "{answer}"
                );
                complete.fetch_add(1, Ordering::SeqCst);
            }
        }
    };
    let callers: Vec<_> = (0..CALLERS).map(caller).collect();
    thread::scope(|scope| {
        callers.into_iter().for_each(|it| {
            scope.spawn(it);
        });
        wait_until("a quarter of the requests", || {
            complete.load(Ordering::SeqCst) > CALLERS * REQUESTS / 4
        });
        kill_by_id(entry_id(&env, "entry-2"));
    });
    assert_eq!(complete.load(Ordering::SeqCst), CALLERS * REQUESTS);
    assert!(broken.load(Ordering::SeqCst) > 0, "the kill was not noticed by any caller");
    assert_eq!(env.process("entry-2").wait_end(), None);
}

fn entry_id(env: &TestEnv, name: &str) -> u32 {
    env.process_id(name)
}

fn kill_by_id(id: u32) {
    let id = rustix::process::Pid::from_raw(id as i32).unwrap();
    rustix::process::kill_process(id, Signal::KILL).unwrap();
}

/// Guards against connections that break when an entry is restarted: a supervisor sends SIGTERM
/// twice while a request is in flight, and the second signal must not kill the process by its
/// default action.
#[test]
fn a_drain_cuts_nothing_even_if_signalled_twice() {
    let mut env = TestEnv::start(Plan { entries: 1, ..Plan::default() });
    for name in ["engines-1", "engines-2"] {
        let late = json!({"late": 1_000});
        env.http.faults(env.standin_address(name), &late);
    }
    let (http, entry) = (env.http.clone(), env.entry_address(1));
    let call = thread::spawn(move || {
        http.call(entry, "appraise", &json!({"input": {"marker": "slow"}}), &[])
    });
    let engines = ["engines-1", "engines-2"].map(|it| env.standin_address(it));
    wait_until("the request is at an engine", || {
        engines.iter().any(|it| env.http.counts(*it)["calls"].as_u64() > Some(0))
    });
    env.signal("entry-1", Signal::TERM);
    wait_until("the entry is not ready", || {
        env.http.get(entry, "/readyz").is_ok_and(|it| it.status == 503)
    });
    env.signal("entry-1", Signal::TERM);
    let reply = call.join().unwrap().unwrap();
    assert_eq!(reply.outcome(), "complete", "{}", reply.text());
    assert_eq!(env.process("entry-1").wait_end(), Some(0));
}

#[test]
fn an_operator_applies_resends_and_reads_back() {
    let mut env = TestEnv::start(Plan { entries: 1, ..Plan::default() });
    let (base, _) = env.document.write(&env.data_folder(1).with_extension("files"));
    let base = base.to_str().unwrap().to_owned();
    let id = uuid::Uuid::new_v4().to_string();
    env.document.base["policy"] = json!({"retries": 0.2});
    env.document.write(&env.data_folder(1).with_extension("files"));
    let apply = ["apply", &base, "--based-on", "1", "--change-id", &id, "--wait"];
    let first = env.run_ok(&apply);
    assert_eq!((&first["outcome"], &first["version"]), (&json!("accepted"), &json!(2)), "{first}");
    assert_eq!(first["missing"], json!([]), "{first}");
    let again = env.run_ok(&apply);
    assert_eq!(again["version"], 2, "the same id gets the first answer again: {again}");
    let (code, rival) = env.run(&["apply", &base, "--based-on", "1"]);
    assert_eq!((code, &rival["outcome"]), (4, &json!("conflict")), "{rival}");
    assert_eq!(rival["winner"], id, "{rival}");
    assert_eq!(rival["operator"], "ines", "{rival}");

    let status = env.run_ok(&["status"]);
    assert_eq!((&status["version"], &status["role"]), (&json!(2), &json!("leader")), "{status}");
    assert_eq!(status["entries"][0]["vm"], "vm-1", "{status}");
    let trail = env.run_ok(&["audit"]);
    let records = trail.as_array().unwrap();
    let outcomes: Vec<&Value> =
        records.iter().filter(|it| it["kind"] == "change").map(|it| &it["outcome"]).collect();
    assert_eq!(outcomes, ["accepted", "accepted", "conflict"], "{trail}");
    assert_eq!(records.last().unwrap()["verified"], true, "{trail}");
}
