//! Generated answers: resumed streams, streamed answers, and callers that leave.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use serde_json::{Value, json};
use support::fake::{
    Action, FakeUpstream, Received, done, finish, last_chunk, response, stream, stream_head, token,
};
use support::{
    Pools, SessionCall, bearer, open, open_service, post, request, service, until, wait_for_metric,
    wait_in_flight,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use types::{ClaimAnswer, Outcome, Rate, StoredAnswer};

const BODY: &str = r#"{"input": "clay"}"#;
const STREAM: &str = "accept: text/event-stream\r\n";

/// Streams the tokens from the position that the call resumes from.
fn rest(seen: &Received, to: u64) -> Vec<Action> {
    stream(&seen.id, seen.body["resume_from"].as_u64().unwrap_or(0), to)
}

fn cut(seen: &Received, from: u64, to: u64) -> Vec<Action> {
    let mut actions = vec![stream_head(&seen.id)];
    actions.extend((from..to).map(|position| token(&seen.id, position, &format!("t{position} "))));
    actions.push(Action::Close);
    actions
}

fn tokens(events: &[(String, Value)]) -> Vec<(u64, String)> {
    let tokens = events.iter().filter(|(name, _)| name == "token");
    tokens
        .map(|(_, data)| {
            let text = data["text"].as_str().unwrap().to_owned();
            (data["position"].as_u64().unwrap(), text)
        })
        .collect()
}

struct Case {
    name: &'static str,
    /// The engines' responses; calls are numbered over all engines.
    script: fn(&Received, usize) -> Vec<Action>,
    calls: usize,
}

/// Guards against a resumed stream that repeats or lacks a token, and against a cut stream that
/// passes for complete. An engine breaks off in each of these ways and the request resumes on the
/// same or another engine; the position must be carried over and checked.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_stream_equals_the_uninterrupted_one() {
    let cases = [
        Case { name: "uninterrupted", script: |seen, _| rest(seen, 6), calls: 1 },
        Case {
            name: "cut once",
            script: |seen, number| match number {
                0 => cut(seen, 0, 3),
                _ => rest(seen, 6),
            },
            calls: 2,
        },
        Case {
            name: "cut three times",
            script: |seen, number| match number {
                0 => cut(seen, 0, 2),
                1 => cut(seen, 2, 3),
                2 => cut(seen, 3, 5),
                _ => rest(seen, 6),
            },
            calls: 4,
        },
        Case {
            name: "resumed with tokens that were delivered",
            script: |seen, number| match number {
                0 => cut(seen, 0, 4),
                _ => stream(&seen.id, 1, 6),
            },
            calls: 2,
        },
        Case {
            name: "resumed with a gap, then rightly",
            script: |seen, number| match number {
                0 => cut(seen, 0, 2),
                1 => stream(&seen.id, 3, 6),
                _ => rest(seen, 6),
            },
            calls: 3,
        },
        Case {
            name: "cut before the first token",
            script: |seen, number| match number {
                0 => vec![stream_head(&seen.id), Action::Close],
                _ => rest(seen, 6),
            },
            calls: 2,
        },
    ];
    for case in cases {
        let count = Arc::new(AtomicUsize::new(0));
        let script = case.script;
        let engine = |count: Arc<AtomicUsize>| {
            FakeUpstream::spawn(move |seen| match seen.path.as_str() {
                "/v1/completions" => script(seen, count.fetch_add(1, Ordering::SeqCst)),
                _ => vec![Action::Write(response(200, &seen.id, "", "{}"))],
            })
        };
        let engines = (engine(Arc::clone(&count)).await, engine(Arc::clone(&count)).await);
        let generate = vec![engines.0.address, engines.1.address];
        let (entry, _session) = open(&Pools { generate, ..Pools::default() }).await;

        let answer = post(entry.address(), "generate", STREAM, BODY).await;

        assert!(answer.complete, "{}", case.name);
        let events = answer.events();
        let want: Vec<_> = (0..6).map(|it| (it, format!("t{it} "))).collect();
        assert_eq!(tokens(&events), want, "{}", case.name);
        let (last, data) = events.last().unwrap();
        assert_eq!((last.as_str(), events.len()), ("end", 7), "{}", case.name);
        assert_eq!(data["output"], "t0 t1 t2 t3 t4 t5 ", "{}", case.name);
        assert_eq!(count.load(Ordering::SeqCst), case.calls, "{}", case.name);
        entry.drain().await;
    }
}

/// Guards against a stream that ends without a sign, so that its caller takes it for complete.
/// Engines cut it until no attempt is left, after tokens were passed on; the end of the connection
/// must not be the only sign.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_fails_ends_in_one_error_event() {
    let engine = FakeUpstream::spawn(|seen| match seen.body["resume_from"].as_u64() {
        None => cut(seen, 0, 2),
        Some(_) => vec![Action::Write(response(500, &seen.id, "", ""))],
    });
    let engine = engine.await;
    let generate = vec![engine.address];
    let (entry, _session) = open(&Pools { generate, ..Pools::default() }).await;
    let headers = format!("{STREAM}mothplank-deadline-ms: 1000\r\n");
    let answer = post(entry.address(), "generate", &headers, BODY).await;
    let events = answer.events();
    let names: Vec<_> = events.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(names, ["token", "token", "error"], "{answer:?}");
    assert_eq!(events[2].1["outcome"], "failed", "{answer:?}");
    entry.drain().await;
}

/// Guards against a refused stream that looks like one that began. A streamed request is refused
/// before its first token, so the response headers must not be sent before the first item is known.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_never_began_is_a_plain_problem() {
    let (entry, _session) = open(&Pools::default()).await;
    let answer = post(entry.address(), "generate", STREAM, BODY).await;
    assert_eq!((answer.status, answer.outcome()), (503, "not-run"), "{answer:?}");
    assert_eq!(answer.header("content-type"), Some("application/problem+json"));
    entry.drain().await;
}

/// Guards against an engine that works for callers that left. A caller closes its connection while
/// its answer, streamed or not, is generated, and the HTTP library does not read a connection while
/// its request runs.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_cancels_its_work() {
    for headers in ["", STREAM] {
        let engine = FakeUpstream::spawn(|seen| match seen.path.as_str() {
            "/v1/cancel" => vec![Action::Write(response(200, &seen.id, "", "{}"))],
            _ => vec![stream_head(&seen.id), token(&seen.id, 0, "a"), Action::Hang],
        });
        let engine = engine.await;
        let generate = vec![engine.address];
        let (entry, session) = open(&Pools { generate, ..Pools::default() }).await;
        let mut caller = TcpStream::connect(entry.address()).await.unwrap();
        let text = request("generate", &format!("{}{headers}", bearer()), BODY);
        caller.write_all(text.as_bytes()).await.unwrap();
        until(|| engine.count("/v1/completions") == 1).await;
        drop(caller);
        until(|| engine.count("/v1/cancel") == 1).await;
        let seen = engine.received();
        assert_eq!(seen[0].body["request_id"], seen[1].body["request_id"], "{headers:?}");
        // The metric shows that the caller's leaving ended it, not the deadline or a pause of the
        // engine.
        let gone = "outcome=\"gone\",reason=\"caller-gone\"} 1";
        wait_for_metric(entry.address(), gone).await;
        entry.drain().await;
        let stages = session.usage().into_iter().flat_map(|it| it.stages);
        assert!(stages.map(|it| it.wasted.0).sum::<u64>() > 0, "its cost is not counted as waste");
    }
}

/// Guards against a cut stream whose text is wrong although its positions are right. The engine is
/// told which text was delivered and continues after it, so that text must lack no token.
#[tokio::test(flavor = "multi_thread")]
async fn a_resume_carries_all_that_was_delivered() {
    let engine = FakeUpstream::spawn(|seen| match seen.body["resume_from"].as_u64() {
        None => cut(seen, 0, 3),
        Some(from) => {
            let head = stream_head(&seen.id);
            vec![head, token(&seen.id, from, "z"), finish(&seen.id, 4), done(), last_chunk()]
        }
    });
    let engine = engine.await;
    let generate = vec![engine.address];
    let (entry, _session) = open(&Pools { generate, ..Pools::default() }).await;
    let answer = post(entry.address(), "generate", "", BODY).await;
    assert_eq!(answer.json()["output"], "t0 t1 t2 z", "{answer:?}");
    let resumed =
        &engine.received().into_iter().find(|it| !it.body["resume_from"].is_null()).unwrap();
    assert_eq!(resumed.body["delivered"], json!("t0 t1 t2 "));
    assert_eq!(resumed.body["resume_from"], json!(3));
    entry.drain().await;
}

/// Guards against a stream under a key that lacks tokens or ends before its answer is stored, and
/// against a resend that gets another answer. The run under a claim outlives the caller's
/// connection, and its tokens must still reach the caller.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_under_a_key_is_whole_and_stored() {
    let engine = FakeUpstream::spawn(|seen| rest(seen, 300)).await;
    let generate = vec![engine.address];
    let (entry, session) = open(&Pools { generate, ..Pools::default() }).await;
    let headers = format!("{STREAM}idempotency-key: k1\r\n");
    let body = r#"{"input": "clay", "max_tokens": 300}"#;
    let answer = post(entry.address(), "generate", &headers, body).await;
    let events = answer.events();
    let want: Vec<_> = (0..300).map(|it| (it, format!("t{it} "))).collect();
    assert_eq!(tokens(&events), want);
    let (last, end) = events.last().unwrap();
    assert_eq!((last.as_str(), events.len()), ("end", 301));
    let received = session.received();
    let Some(SessionCall::Finish(_, stored)) = received.last() else {
        panic!("not stored: {received:?}")
    };
    assert!(stored.body.is_none() && stored.outcome == Outcome::Complete, "{stored:?}");

    // Until no request is in flight, the entry itself still knows the answer.
    wait_in_flight(entry.address(), 0).await;
    let small = json!({"output": "as stored"}).to_string();
    let kept = StoredAnswer { body: Some(small.into_bytes()), ..stored.clone() };
    session.claims.lock().unwrap().push_back(Ok(ClaimAnswer::Done(kept)));
    let resend = post(entry.address(), "generate", &headers, body).await.events();
    assert_eq!(resend, [("end".to_owned(), json!({"output": "as stored"}))]);
    assert_eq!(end["stages"][0]["tokens"], 300);
    assert_eq!(engine.count("/v1/completions"), 1);
    entry.drain().await;
}

/// Guards against a customer that generates more tokens than its limit. The limit is a hundredth of
/// a token per second; after one complete answer of six tokens the next request must be refused.
/// The number of generated tokens has to reach admission.
#[tokio::test(flavor = "multi_thread")]
async fn generated_tokens_count_against_the_limit() {
    let engine = FakeUpstream::spawn(|seen: &Received| rest(seen, 6)).await;
    let mut service = service(&Pools { generate: vec![engine.address], ..Pools::default() });
    for customer in service.customers.values_mut() {
        customer.limits.tokens = Some(Rate(0.01));
    }
    let (entry, _session) = open_service(service).await;
    let first = post(entry.address(), "generate", "", BODY).await;
    assert_eq!(first.outcome(), "complete", "{first:?}");
    let second = post(entry.address(), "generate", "", BODY).await;
    assert_eq!(second.status, 429, "{second:?}");
    assert_eq!(second.json()["reason"], "customer-tokens", "{second:?}");
    entry.drain().await;
}
