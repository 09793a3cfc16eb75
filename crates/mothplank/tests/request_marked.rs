//! Marked requests through faulty upstreams and dying entries: none crossed, doubled or cut.

mod env;
mod requests;

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use env::{Plan, TestEnv};
use rand::RngExt;
use requests::{Answer, Ask, Caller, Said, at_each, size};
use serde_json::{Value, json};

const CALLERS: usize = 64;
const ENTRIES: usize = 3;

/// Tokens of a generated answer.
const TOKENS: u64 = 8;

/// The stages before the engine.
const STAGES: [&str; 3] = ["encode", "retrieve", "rerank"];

/// What the callers saw in all.
#[derive(Default)]
struct Seen {
    complete: AtomicUsize,
    resent: AtomicUsize,
    broken: AtomicUsize,
    ids: Mutex<BTreeSet<String>>,
}

/// Returns the outputs of the stages before the engine, as the last of them gives them.
fn chain(marker: &str) -> Value {
    let links: Vec<Value> =
        STAGES.iter().map(|it| json!({"stage": it, "marker": marker})).collect();
    json!({"stage": "rerank", "marker": marker, "chain": links})
}

/// Returns the text that an engine gives: each token after the first holds a hash of the prompt, and
/// so of the output of every stage before it.
fn text(marker: &str) -> String {
    let prompt = json!({"input": {"marker": marker}, "previous": chain(marker)});
    standins::engine::full_text(&prompt.to_string(), TOKENS)
}

/// Checks a complete answer: its own at every stage, whole, and told once.
fn verify(answer: &Answer, pipeline: &str, marker: &str, seen: &Seen) {
    let body = answer.json();
    let want = if pipeline == "look" { chain(marker) } else { text(marker).into() };
    assert_eq!(body["output"], want, "not the answer to {marker}: {body}");
    let stages = body["stages"].as_array().map_or(0, Vec::len);
    assert_eq!(stages, if pipeline == "look" { 3 } else { 4 }, "{body}");
    assert_eq!(body["request"], answer.request.as_str(), "{body}");
    assert!(seen.ids.lock().unwrap().insert(answer.request.clone()), "told twice: {body}");
    if !answer.tokens.is_empty() {
        let positions: Vec<u64> = answer.tokens.iter().map(|it| it.0).collect();
        assert_eq!(positions, (0..TOKENS).collect::<Vec<_>>(), "{marker}: {:?}", answer.tokens);
        let joined: String = answer.tokens.iter().map(|it| it.1.as_str()).collect();
        assert_eq!(body["output"], joined.as_str(), "{marker}");
    }
}

// Symptom: a caller gets another request's result, two results, or a part of one as a whole.
// Sequence: upstreams answer late and out of order, with another call's id, with another call's
// body under the right id, with bodies and streams that end early, or never; meanwhile entries are
// killed and started again, and callers resend.
// Cause looked for: an answer is matched to a call by its connection alone, a cut is taken for an
// end, or a resumed stream repeats what was delivered.
#[test]
fn marked_requests_are_never_crossed_doubled_or_cut() {
    let total = size(2_000, 20_000);
    let mut env = faulty();
    let caller = Caller::open(env.runtime.handle().clone(), 0);
    let entries: Vec<_> = (1..=ENTRIES).map(|n| env.entry_address(n)).collect();
    let (seen, next) = (Seen::default(), AtomicUsize::new(0));
    let run = || {
        loop {
            let i = next.fetch_add(1, Ordering::SeqCst);
            if i >= total {
                return;
            }
            let marker = format!("lot-{i}");
            let pipeline = if i.is_multiple_of(4) { "look" } else { "appraise" };
            let stream = i % 4 == 1;
            let ask = Ask { stream, ..Ask::new(pipeline, &marker) };
            loop {
                let entry = entries[rand::rng().random_range(0..ENTRIES)];
                let answer = caller.call(entry, &ask);
                if answer.said == Said::Complete {
                    verify(&answer, pipeline, &marker, &seen);
                    seen.complete.fetch_add(1, Ordering::SeqCst);
                    break;
                }
                let counter =
                    if answer.said == Said::Nothing { &seen.broken } else { &seen.resent };
                counter.fetch_add(1, Ordering::SeqCst);
                // The callers that a dead entry leaves must not spin on its closed port.
                thread::sleep(std::time::Duration::from_millis(20));
            }
        }
    };
    thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS).map(|_| scope.spawn(run)).collect();
        let done = || {
            // A failed check ends its caller: nothing is left to wait for.
            let failed =
                callers.iter().any(|it| it.is_finished()) && next.load(Ordering::SeqCst) < total;
            if failed { total } else { seen.complete.load(Ordering::SeqCst) }
        };
        let kills = (0..6).map(|k| k % ENTRIES + 1);
        let env = Mutex::new(&mut env);
        let steps = kills.map(|n| {
            let env = &env;
            move || {
                let mut env = env.lock().unwrap();
                env.kill(&format!("entry-{n}"));
                env.entry(n);
                env.wait_ready(env.entry_address(n));
            }
        });
        at_each(total, done, steps.collect());
    });
    assert_eq!(seen.complete.load(Ordering::SeqCst), total);
    let (resent, broken) = (seen.resent.into_inner(), seen.broken.into_inner());
    eprintln!("{total} complete, {resent} refused or failed and {broken} broken off on the way");
    assert!(broken > 0, "no kill was noticed by any caller");
    assert_seen(&env);
}

/// Starts an environment whose upstreams show every fault at once.
fn faulty() -> TestEnv {
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

/// Checks that the entries met what the test is about.
fn assert_seen(env: &TestEnv) {
    let pages: Vec<String> = (1..=ENTRIES)
        .map(|n| env.http.get(env.entry_address(n), "/metrics").unwrap().text())
        .collect();
    let lines: Vec<&str> = pages.iter().flat_map(|it| it.lines()).collect();
    for end in ["echo", "cut"] {
        let met = |it: &str| it.starts_with("mothplank_") && it.contains(&format!("\"{end}\""));
        assert!(lines.iter().any(|it| met(it)), "no call ended in {end}");
    }
}
