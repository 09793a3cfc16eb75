//! Requests with unique markers, sent while upstreams have faults and entries are killed: no caller
//! may get the answer of another request, a duplicate or an incomplete answer.

mod env;
mod requests;

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use env::{Plan, TestEnv};
use rand::RngExt;
use requests::{Answer, Caller, Outcome, PipelineRequest, run_at_milestones, size};
use serde_json::{Value, json};

const CALLERS: usize = 64;
const ENTRIES: usize = 3;

/// The number of tokens of a generated answer.
const TOKENS: u64 = 8;

/// The stages before the engine.
const STAGES: [&str; 3] = ["encode", "retrieve", "rerank"];

/// The counts of all callers.
#[derive(Default)]
struct Tally {
    complete: AtomicUsize,
    resent: AtomicUsize,
    broken: AtomicUsize,
    ids: Mutex<BTreeSet<String>>,
}

/// Returns the expected output of the last stage before the engine, which contains the outputs of
/// the stages before it.
fn expected_chain(marker: &str) -> Value {
    let links: Vec<Value> =
        STAGES.iter().map(|it| json!({"stage": it, "marker": marker})).collect();
    json!({"stage": "rerank", "marker": marker, "chain": links})
}

/// Returns the expected output of the engine. Each token after the first contains a hash of the
/// prompt, and so depends on the outputs of all stages before.
fn expected_text(marker: &str) -> String {
    let prompt = json!({"input": {"marker": marker}, "previous": expected_chain(marker)});
    standins::engine::full_text(&prompt.to_string(), TOKENS)
}

/// Checks that a complete answer belongs to the request at every stage, is complete, and was given
/// only once.
fn verify(answer: &Answer, pipeline: &str, marker: &str, tally: &Tally) {
    let body = answer.json();
    let expected =
        if pipeline == "look" { expected_chain(marker) } else { expected_text(marker).into() };
    assert_eq!(body["output"], expected, "not the answer to {marker}: {body}");
    let stages = body["stages"].as_array().map_or(0, Vec::len);
    assert_eq!(stages, if pipeline == "look" { 3 } else { 4 }, "{body}");
    assert_eq!(body["request"], answer.request.as_str(), "{body}");
    assert!(tally.ids.lock().unwrap().insert(answer.request.clone()), "answered twice: {body}");
    if !answer.tokens.is_empty() {
        let positions: Vec<u64> = answer.tokens.iter().map(|it| it.0).collect();
        assert_eq!(positions, (0..TOKENS).collect::<Vec<_>>(), "{marker}: {:?}", answer.tokens);
        let joined: String = answer.tokens.iter().map(|it| it.1.as_str()).collect();
        assert_eq!(body["output"], joined.as_str(), "{marker}");
    }
}

/// Guards against callers that get the result of another request, two results, or a partial result
/// as a complete one. Upstreams answer late and out of order, with the id of another call, with the
/// body of another call under the right id, with bodies and streams that end early, or never, while
/// entries are killed and restarted and callers resend. An answer must not be matched to a call by
/// its connection alone, a broken stream must not be taken for a complete one, and a resumed stream
/// must not repeat what was delivered.
#[test]
fn marked_requests_are_never_crossed_doubled_or_cut() {
    let total = size(2_000, 20_000);
    let mut env = start_faulty();
    let caller = Caller::open(env.runtime.handle().clone(), 0);
    let entries: Vec<_> = (1..=ENTRIES).map(|n| env.entry_address(n)).collect();
    let (tally, next) = (Tally::default(), AtomicUsize::new(0));
    let run = || {
        loop {
            let i = next.fetch_add(1, Ordering::SeqCst);
            if i >= total {
                return;
            }
            let marker = format!("lot-{i}");
            let pipeline = if i.is_multiple_of(4) { "look" } else { "appraise" };
            let stream = i % 4 == 1;
            let request = PipelineRequest { stream, ..PipelineRequest::new(pipeline, &marker) };
            loop {
                let entry = entries[rand::rng().random_range(0..ENTRIES)];
                let answer = caller.send_blocking(entry, &request);
                if answer.outcome == Outcome::Complete {
                    verify(&answer, pipeline, &marker, &tally);
                    tally.complete.fetch_add(1, Ordering::SeqCst);
                    break;
                }
                let counter =
                    if answer.outcome == Outcome::NoAnswer { &tally.broken } else { &tally.resent };
                counter.fetch_add(1, Ordering::SeqCst);
                // The callers of a dead entry must not busy-loop on its closed port.
                thread::sleep(std::time::Duration::from_millis(20));
            }
        }
    };
    thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS).map(|_| scope.spawn(run)).collect();
        let done = || {
            // A failed check ends its caller, and the total would never be reached.
            let failed =
                callers.iter().any(|it| it.is_finished()) && next.load(Ordering::SeqCst) < total;
            if failed { total } else { tally.complete.load(Ordering::SeqCst) }
        };
        let kills = (0..6).map(|k| k % ENTRIES + 1);
        let env = Mutex::new(&mut env);
        let steps = kills.map(|n| {
            let env = &env;
            move || {
                let mut env = env.lock().unwrap();
                env.kill(&format!("entry-{n}"));
                env.start_entry(n);
                env.wait_ready(env.entry_address(n));
            }
        });
        run_at_milestones(total, done, steps.collect());
    });
    assert_eq!(tally.complete.load(Ordering::SeqCst), total);
    let (resent, broken) = (tally.resent.into_inner(), tally.broken.into_inner());
    eprintln!("{total} complete, {resent} refused or failed and {broken} broken off on the way");
    assert!(broken > 0, "no kill was noticed by any caller");
    check_faults_met(&env);
}

/// Starts an environment whose upstreams have all kinds of faults at once.
fn start_faulty() -> TestEnv {
    let mut env = TestEnv::start(Plan { entries: ENTRIES, ..Plan::default() });
    let stages: Vec<Value> = STAGES
        .iter()
        .zip(["encoders", "retrievers", "rerankers"])
        .map(|(name, pool)| json!({"name": name, "pool": pool, "expected": 5}))
        .collect();
    env.document.base["pipelines"]["look"] = json!({"deadline": 5_000, "stages": stages});
    let allowed = json!(["appraise", "encode", "look", "note"]);
    env.document.base["customers"]["yards"]["pipelines"] = allowed;
    env.document.base["policy"] = json!({"retries": 1.0});
    let document = env.document.clone();
    env.apply(&document);
    let faults = json!({
        "late": 60, "late_share": 0.2, "swap_echo": 0.03, "swap_body": 0.03, "cut": 0.03, "hang": 0.002,
    });
    for pool in ["encoders", "retrievers", "rerankers", "engines"] {
        for i in 1..=2 {
            env.http.faults(env.standin_address(&format!("{pool}-{i}")), &faults);
        }
    }
    env
}

/// Checks by the metrics that the entries have met the faults.
fn check_faults_met(env: &TestEnv) {
    let pages: Vec<String> = (1..=ENTRIES)
        .map(|n| env.http.get(env.entry_address(n), "/metrics").unwrap().text())
        .collect();
    let lines: Vec<&str> = pages.iter().flat_map(|it| it.lines()).collect();
    for end in ["echo", "cut"] {
        let met = |it: &str| it.starts_with("mothplank_") && it.contains(&format!("\"{end}\""));
        assert!(lines.iter().any(|it| met(it)), "no call ended in {end}");
    }
}
