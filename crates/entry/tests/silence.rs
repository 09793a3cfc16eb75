//! Upstreams that are silent for a while and go on, and upstreams that are silent for good.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use serde_json::json;
use support::fake::{
    Action, FakeUpstream, Received, response, stage_ok, stream, stream_head, token,
};
use support::{Answer, Pools, open, post};

const BODY: &str = r#"{"input": "clay"}"#;
const STREAM: &str = "accept: text/event-stream\r\n";

/// The deadline of the pipelines of `support::service`.
const DEADLINE: Duration = Duration::from_secs(7);

/// A silence that a sound upstream may have.
const SILENCE: Duration = Duration::from_millis(1_700);

/// The number of calls from which a pool knows how long its upstreams take.
const KNOWN_CALLS: usize = 40;

/// Returns the actions with a pause before the one at `index`.
fn paused(mut actions: Vec<Action>, index: usize) -> Vec<Action> {
    actions.insert(index, Action::Pause(SILENCE));
    actions
}

/// Returns an answer with a pause in the middle of its body.
fn half_body(seen: &Received) -> Vec<Action> {
    let Some(Action::Write(mut head)) = stage_ok(seen, &json!(1)).pop() else {
        panic!("not one write")
    };
    let rest = head.split_off(head.len() - 9);
    vec![Action::Write(head), Action::Pause(SILENCE), Action::Write(rest)]
}

fn from(seen: &Received) -> u64 {
    seen.body["resume_from"].as_u64().unwrap_or(0)
}

/// Answers a call as a sound upstream does.
fn sound(seen: &Received) -> Vec<Action> {
    match seen.path.as_str() {
        "/v1/completions" => stream(&seen.id, from(seen), 6),
        "/v1/cancel" => vec![Action::Write(response(200, &seen.id, "", "{}"))],
        _ => stage_ok(seen, &json!(1)),
    }
}

fn is_call(seen: &Received) -> bool {
    seen.path != "/v1/cancel"
}

fn pools(pipeline: &str, addresses: Vec<SocketAddr>) -> Pools {
    match pipeline {
        "generate" => Pools { generate: addresses, ..Pools::default() },
        _ => Pools { encode: addresses, ..Pools::default() },
    }
}

fn assert_whole(name: &str, answer: &Answer) {
    assert!(answer.complete, "{name}: {answer:?}");
    if answer.header("content-type") == Some("text/event-stream") {
        let events = answer.events();
        let names: Vec<_> = events.iter().map(|(name, _)| name.as_str()).collect();
        assert_eq!(names, ["token", "token", "token", "token", "token", "token", "end"], "{name}");
        assert_eq!(events[6].1["output"], "t0 t1 t2 t3 t4 t5 ", "{name}");
    } else {
        assert_eq!(answer.status, 200, "{name}: {answer:?}");
    }
}

struct Case {
    name: &'static str,
    pipeline: &'static str,
    headers: &'static str,
    upstreams: usize,
    /// Whether the upstreams answered promptly before.
    known: bool,
    script: fn(&Received) -> Vec<Action>,
}

/// Guards against ending a request whose upstreams are all silent for a while and go on.
#[tokio::test(flavor = "multi_thread")]
async fn a_silence_that_ends_ends_no_request() {
    let engine = |name, upstreams, known, script| {
        let (pipeline, headers) = ("generate", STREAM);
        Case { name, pipeline, headers, upstreams, known, script }
    };
    let stage = |name, upstreams, known, script| {
        let (pipeline, headers) = ("encode", "");
        Case { name, pipeline, headers, upstreams, known, script }
    };
    let cases = [
        engine("before the head of a stream", 1, false, |it| paused(sound(it), 0)),
        engine("before the head of a stream", 1, true, |it| paused(sound(it), 0)),
        engine("before the head of a stream", 2, true, |it| paused(sound(it), 0)),
        engine("before the first token", 1, true, |it| paused(sound(it), 1)),
        engine("before the first token", 2, true, |it| paused(sound(it), 1)),
        engine("after the first token", 1, false, |it| paused(sound(it), 2)),
        engine("after the first token", 1, true, |it| paused(sound(it), 2)),
        engine("after the first token", 2, true, |it| paused(sound(it), 2)),
        engine("before the finish reason", 1, true, |it| {
            let actions = sound(it);
            let index = actions.len() - 3;
            paused(actions, index)
        }),
        engine("before the end event", 1, true, |it| {
            let actions = sound(it);
            let index = actions.len() - 2;
            paused(actions, index)
        }),
        stage("before the head of an answer", 1, false, |it| paused(sound(it), 0)),
        stage("before the head of an answer", 1, true, |it| paused(sound(it), 0)),
        stage("before the head of an answer", 2, true, |it| paused(sound(it), 0)),
        stage("within an answer", 1, false, half_body),
        stage("within an answer", 1, true, half_body),
        stage("within an answer", 2, true, half_body),
    ];
    let ended = join_all(cases.iter().map(play)).await;
    let ended: Vec<_> = ended.into_iter().flatten().collect();
    assert!(ended.is_empty(), "{} of {}:\n{}", ended.len(), cases.len(), ended.join("\n"));
}

/// Returns what the caller got if that is no whole answer.
async fn play(case: &Case) -> Option<String> {
    let Case { name, pipeline, headers, upstreams, known, script } = *case;
    let name = format!("{name}, {pipeline} of {upstreams}, known: {known}");
    let spawn = |_| {
        FakeUpstream::spawn(move |seen| match seen.body.to_string().contains("clay") {
            true if is_call(seen) => script(seen),
            _ => sound(seen),
        })
    };
    let upstreams = join_all((0..upstreams).map(spawn)).await;
    let addresses = upstreams.iter().map(|it| it.address).collect();
    let (entry, _session) = open(&pools(pipeline, addresses)).await;
    for _ in 0..(if known { KNOWN_CALLS } else { 0 }) {
        let answer = post(entry.address(), pipeline, "", r#"{"input": "loam"}"#).await;
        assert_eq!(answer.status, 200, "{name}: {answer:?}");
    }
    let answer = post(entry.address(), pipeline, headers, BODY).await;
    entry.drain().await;
    match answer.events().pop() {
        Some((event, data)) if event != "end" => Some(format!("{name}: {data}")),
        None if answer.status != 200 => Some(format!("{name}: {}", answer.body)),
        _ => {
            assert_whole(&name, &answer);
            None
        }
    }
}

struct SilentForGood {
    name: &'static str,
    pipeline: &'static str,
    headers: &'static str,
    script: fn(&Received) -> Vec<Action>,
}

/// Guards against waiting for an upstream that is silent for good while another one has time to
/// answer.
#[tokio::test(flavor = "multi_thread")]
async fn another_upstream_takes_over_from_one_that_is_silent_for_good() {
    let cases = [
        SilentForGood {
            name: "no head of a stream",
            pipeline: "generate",
            headers: STREAM,
            script: |_| vec![Action::Hang],
        },
        SilentForGood {
            name: "no first token",
            pipeline: "generate",
            headers: STREAM,
            script: |it| vec![stream_head(&it.id), Action::Hang],
        },
        SilentForGood {
            name: "no token after the first",
            pipeline: "generate",
            headers: STREAM,
            script: |it| vec![stream_head(&it.id), token(&it.id, 0, "t0 "), Action::Hang],
        },
        SilentForGood {
            name: "no head of an answer",
            pipeline: "encode",
            headers: "",
            script: |_| vec![Action::Hang],
        },
        SilentForGood {
            name: "half an answer",
            pipeline: "encode",
            headers: "",
            script: |it| {
                let mut actions = half_body(it);
                actions[1] = Action::Hang;
                actions
            },
        },
    ];
    for case in cases {
        let script = case.script;
        let silent = FakeUpstream::spawn(move |seen| match is_call(seen) {
            true => script(seen),
            false => sound(seen),
        });
        let (silent, sound) = (silent.await, FakeUpstream::spawn(sound).await);
        let (entry, _session) =
            open(&pools(case.pipeline, vec![silent.address, sound.address])).await;
        // Upstreams are drawn at random, so several requests are needed until one meets the silent
        // one.
        while silent.received().is_empty() {
            let began = Instant::now();
            let answer = post(entry.address(), case.pipeline, case.headers, BODY).await;
            assert_whole(case.name, &answer);
            assert!(began.elapsed() < DEADLINE, "{}", case.name);
        }
        entry.drain().await;
    }
}

/// Guards against calls that run twice because their upstream is silent for a while.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_may_not_be_repeated_is_sent_once_to_a_silent_upstream() {
    let encode = FakeUpstream::spawn(sound).await;
    let book = FakeUpstream::spawn(half_body).await;
    let other = FakeUpstream::spawn(half_body).await;
    let (encode_pool, book_pool) = (vec![encode.address], vec![book.address, other.address]);
    let pools = Pools { encode: encode_pool, book: book_pool, ..Pools::default() };
    let (entry, _session) = open(&pools).await;
    let answer = post(entry.address(), "booking", "idempotency-key: k1\r\n", BODY).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(book.received().len() + other.received().len(), 1);
    entry.drain().await;
}

/// Guards against taking an upstream for silent because its kept connection is: that must be found
/// long before the deadline, also where no other upstream is left.
#[tokio::test(flavor = "multi_thread")]
async fn a_kept_connection_that_is_silent_for_good_is_replaced() {
    for pipeline in ["generate", "encode"] {
        let upstream = FakeUpstream::spawn(|seen| match (seen.connection, seen.number) {
            (0, number) if number >= KNOWN_CALLS => vec![Action::Hang],
            _ => sound(seen),
        });
        let upstream = upstream.await;
        let (entry, _session) = open(&pools(pipeline, vec![upstream.address])).await;
        for _ in 0..KNOWN_CALLS {
            let answer = post(entry.address(), pipeline, "", BODY).await;
            assert_eq!(answer.status, 200, "{pipeline}: {answer:?}");
        }
        assert_eq!(upstream.connections(), 1, "{pipeline}");
        let began = Instant::now();
        let answer = post(entry.address(), pipeline, "", BODY).await;
        assert_eq!(answer.status, 200, "{pipeline}: {answer:?}");
        assert!(began.elapsed() < DEADLINE / 2, "{pipeline}: {:?}", began.elapsed());
        entry.drain().await;
    }
}
