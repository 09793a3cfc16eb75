//! Streams whose engine dies while they run.

mod env;
mod requests;

use std::thread;

use env::{Plan, TestEnv, wait_for, wait_until};
use requests::{Answer, Caller, Outcome, PipelineRequest, size};
use serde_json::json;

/// The number of tokens of a stream; at 20 ms each, a stream lasts long enough to be interrupted in
/// the middle.
const TOKENS: u64 = 60;

/// The number of concurrent streams.
const STREAMS: usize = 4;

/// The arguments of an engine.
const ENGINE: [&str; 7] =
    ["engine", "--first-us", "2000", "--token-us", "20000", "--capacity", "16"];

fn request(marker: &str, stream: bool) -> PipelineRequest<'_> {
    let deadline = std::time::Duration::from_secs(20);
    PipelineRequest {
        stream,
        deadline,
        tokens: Some(TOKENS),
        ..PipelineRequest::new("tell", marker)
    }
}

/// Starts an environment with two additional slow engines.
fn start() -> TestEnv {
    let mut env = TestEnv::start(Plan { entries: 1, ..Plan::default() });
    for i in 1..=2 {
        let name = format!("tellers-{i}");
        let address = env.start_standin(&name, &ENGINE);
        env.document.upstream("tellers", "generate", &name, address);
    }
    let base = &mut env.document.base;
    let stage = json!({"name": "tell", "pool": "tellers", "tokens": TOKENS, "expected": 1_500});
    base["pipelines"]["tell"] = json!({"deadline": 20_000, "stages": [stage]});
    base["customers"]["yards"]["pipelines"] = json!(["appraise", "encode", "note", "tell"]);
    base["policy"] = json!({"retries": 1.0});
    let document = env.document.clone();
    env.apply(&document);
    env
}

fn count(env: &TestEnv, name: &str, what: &str) -> u64 {
    env.http.counts(env.standin_address(name))[what].as_u64().unwrap_or_default()
}

/// Checks an interrupted stream against an uninterrupted stream of the same request.
fn compare(cut: &Answer, whole: &Answer) {
    assert_eq!(cut.outcome, Outcome::Complete, "{cut:?}");
    assert_eq!(whole.outcome, Outcome::Complete, "{whole:?}");
    assert_eq!(whole.tokens.len(), TOKENS as usize);
    assert_eq!(cut.tokens, whole.tokens, "token by token");
    assert_eq!(cut.json()["output"], whole.json()["output"]);
}

/// Guards against streamed answers that repeat or lack a token or end early: the engine is killed
/// in the middle of its streams, and they must continue at the other engine after the last
/// delivered token. The second engine must not begin anew, and tokens that it repeats or skips must
/// not be passed on.
#[test]
fn a_stream_whose_engine_is_killed_goes_on_token_by_token() {
    let mut env = start();
    let caller = Caller::open(env.runtime.handle().clone(), 0);
    let entry = env.entry_address(1);
    for round in 0..size(2, 20) {
        let markers: Vec<String> = (0..STREAMS).map(|i| format!("lot-{round}-{i}")).collect();
        let before = [1, 2].map(|i| count(&env, &format!("tellers-{i}"), "tokens"));
        let resumed = [1, 2].map(|i| count(&env, &format!("tellers-{i}"), "resumed"));
        let streams: Vec<_> = markers
            .iter()
            .cloned()
            .map(|marker| {
                let caller = caller.clone();
                thread::spawn(move || caller.send_blocking(entry, &request(&marker, true)))
            })
            .collect();
        // An engine that has generated more than 10 tokens is in the middle of a stream.
        let victim = wait_for("an engine in the middle of a stream", || {
            (1..=2).find(|i| count(&env, &format!("tellers-{i}"), "tokens") > before[i - 1] + 10)
        });
        let name = format!("tellers-{victim}");
        let address = env.standin_address(&name).to_string();
        env.kill(&name);
        let cut: Vec<Answer> = streams.into_iter().map(|it| it.join().unwrap()).collect();
        let other = 3 - victim;
        assert!(
            count(&env, &format!("tellers-{other}"), "resumed") > resumed[other - 1],
            "no stream was resumed"
        );
        let args = [&ENGINE[..], &["--listen", &address]].concat();
        env.spawn(&name, &[&["standin"], &args[..]].concat());
        wait_until("the engine is back", || {
            env.http.counts(env.standin_address(&name)).is_object()
        });
        for (marker, cut) in markers.iter().zip(&cut) {
            compare(cut, &caller.send_blocking(entry, &request(marker, true)));
        }
    }
    assert_eq!(count(&env, "tellers-1", "mismatched") + count(&env, "tellers-2", "mismatched"), 0);
}

/// Guards against the same fault with only one engine: it interrupts every second stream, by an
/// error or by an end that looks regular, and is asked to continue. A regular end must not be taken
/// for a complete answer, and tokens that the engine repeats must not be passed on.
#[test]
fn a_stream_goes_on_at_the_same_engine() {
    let mut env = start();
    let only = env.document.base["pools"]["tellers"]["upstreams"]["tellers-1"].clone();
    env.document.base["pools"]["tellers"]["upstreams"] = json!({"tellers-1": only});
    let document = env.document.clone();
    env.apply(&document);
    let caller = Caller::open(env.runtime.handle().clone(), 0);
    let entry = env.entry_address(1);
    let engine = env.standin_address("tellers-1");
    env.http.faults(engine, &json!({"cut": 0.5}));
    let cut: Vec<(String, Answer)> = (0..size(5, 80))
        .map(|i| format!("lot-{i}"))
        .map(|marker| {
            let answer = caller.send_blocking(entry, &request(&marker, true));
            (marker, answer)
        })
        .collect();
    assert!(count(&env, "tellers-1", "resumed") > 0, "no stream was resumed");
    env.http.faults(engine, &json!({}));
    let mut complete = 0;
    for (marker, cut) in &cut {
        let whole = caller.send_blocking(entry, &request(marker, true));
        if cut.outcome == Outcome::Complete {
            complete += 1;
            compare(cut, &whole);
        } else {
            // Interrupted too often to continue: it is reported as failed after correct tokens.
            assert_eq!(cut.outcome, Outcome::Failed, "{cut:?}");
            assert!(whole.tokens.starts_with(&cut.tokens), "{cut:?}");
        }
    }
    assert!(complete > cut.len() / 2, "only {complete} of {} streams were completed", cut.len());
    assert_eq!(count(&env, "tellers-1", "mismatched"), 0);
}
