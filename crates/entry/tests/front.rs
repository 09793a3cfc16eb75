//! The HTTP server for callers: refusals, resends that share a run, and drains.

mod support;

use std::sync::Arc;

use serde_json::json;
use support::fake::{Action, FakeUpstream, stage_ok};
use support::{
    Answer, Pools, bearer, get, next_bytes, open, open_service, post, read, request, service,
    until, wait_in_flight,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use types::Stale;

const BODY: &str = r#"{"input": 1}"#;

struct Case {
    name: &'static str,
    pipeline: &'static str,
    headers: String,
    body: String,
    status: u16,
    reason: &'static str,
}

fn case(name: &'static str, status: u16, reason: &'static str) -> Case {
    let (headers, body) = (bearer(), BODY.to_owned());
    Case { name, pipeline: "encode", headers, body, status, reason }
}

/// Guards against a status that does not match the reason, so that a caller cannot tell its own
/// mistake from a refusal, or is told "not run" with a status that means otherwise. Covers each
/// request that is refused because of its content.
#[tokio::test(flavor = "multi_thread")]
async fn what_cannot_run_is_refused_by_name() {
    let encode = FakeUpstream::spawn(|seen| stage_ok(seen, &json!(1))).await;
    let pools = Pools { encode: vec![encode.address], ..Pools::default() };
    let (entry, _session) = open(&pools).await;
    let cases = [
        Case { headers: String::new(), ..case("no bearer key", 401, "unauthorized") },
        Case {
            headers: "authorization: Bearer wrong\r\n".to_owned(),
            ..case("unknown bearer key", 401, "unauthorized")
        },
        Case { pipeline: "other", ..case("not this customer's", 403, "forbidden") },
        Case { pipeline: "nothing", ..case("no such pipeline", 404, "no-pipeline") },
        Case { pipeline: "booking", ..case("no idempotency key", 400, "key-missing") },
        Case {
            headers: format!("{}mothplank-deadline-ms: soon\r\n", bearer()),
            ..case("deadline is no number", 400, "bad-request")
        },
        Case { body: "{\"input\":".to_owned(), ..case("cut JSON", 400, "bad-request") },
        Case { body: "{\"inputs\": 1}".to_owned(), ..case("wrong field", 400, "bad-request") },
        Case { body: format!("\"{}\"", "x".repeat(5_000)), ..case("large", 413, "too-large") },
        Case {
            headers: format!("{}mothplank-deadline-ms: 0\r\n", bearer()),
            ..case("no time at all", 503, "deadline-too-short")
        },
    ];
    for case in cases {
        let mut stream = TcpStream::connect(entry.address()).await.unwrap();
        let text = request(case.pipeline, &case.headers, &case.body);
        stream.write_all(text.as_bytes()).await.unwrap();
        let answer = read(&mut stream).await;
        let reported = (answer.status, answer.outcome(), answer.reason());
        let want = (case.status, "not-run", case.reason.to_owned());
        assert_eq!(reported, want, "{}: {answer:?}", case.name);
    }
    for path in ["/v1/pipelines/encode", "/v2/pipelines/encode"] {
        let answer = get(entry.address(), path).await;
        assert_eq!(answer.outcome(), "not-run", "{path}: {answer:?}");
    }
    assert_eq!(encode.count("/v1/stage"), 0);
    entry.drain().await;
}

/// Guards against slow or broken callers that hold connections for ever, and against half a request
/// that runs. A caller announces more than it sends, then stops or closes; the HTTP library ends
/// such a body without an error.
#[tokio::test(flavor = "multi_thread")]
async fn half_a_request_never_runs() {
    let encode = FakeUpstream::spawn(|seen| stage_ok(seen, &json!(1))).await;
    let pools = Pools { encode: vec![encode.address], ..Pools::default() };
    let (entry, _session) = open(&pools).await;
    for (stops, status, reason) in [(true, 408, "read-timeout"), (false, 400, "request-cut")] {
        let mut stream = TcpStream::connect(entry.address()).await.unwrap();
        let text = request("encode", &bearer(), &format!("{BODY}    "));
        let sent = text.len() - 2;
        stream.write_all(&text.as_bytes()[..sent]).await.unwrap();
        if !stops {
            stream.shutdown().await.unwrap();
        }
        let answer = read(&mut stream).await;
        assert_eq!((answer.status, answer.reason().as_str()), (status, reason), "{answer:?}");
    }
    assert_eq!(encode.count("/v1/stage"), 0);
    entry.drain().await;
}

async fn send(address: std::net::SocketAddr, pipeline: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request(pipeline, &bearer(), BODY).as_bytes()).await.unwrap();
    stream
}

/// Guards against resends that multiply the work of slow requests, and against an answer with
/// another caller's request id. A request is in flight, the same one is sent three more times, and
/// the first caller leaves: the resends must neither run separately nor end with the first caller.
#[tokio::test(flavor = "multi_thread")]
async fn resends_join_the_run_under_way_and_outlive_its_first_caller() {
    let gate = Arc::new(Notify::new());
    let wait = Arc::clone(&gate);
    let encode = FakeUpstream::spawn(move |seen| {
        let mut actions = stage_ok(seen, &json!("own"));
        actions.insert(0, Action::Wait(Arc::clone(&wait)));
        actions
    });
    let encode = encode.await;
    let pools = Pools { encode: vec![encode.address], ..Pools::default() };
    let (entry, _session) = open(&pools).await;
    let first = send(entry.address(), "encode").await;
    until(|| encode.count("/v1/stage") == 1).await;
    let mut callers = Vec::new();
    for _ in 0..3 {
        callers.push(send(entry.address(), "encode").await);
    }
    wait_in_flight(entry.address(), 8).await;
    drop(first);
    wait_in_flight(entry.address(), 6).await;
    gate.notify_one();
    let mut answers: Vec<Answer> = Vec::new();
    for caller in &mut callers {
        answers.push(read(caller).await);
    }
    let mut ids: Vec<_> = answers.iter().map(|it| it.json()["request"].to_string()).collect();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), 3, "request ids are shared");
    assert!(answers.iter().all(|it| it.status == 200 && it.json()["output"] == "own"));
    assert_eq!(encode.count("/v1/stage"), 1);
    entry.drain().await;
}

/// Guards against a restart that cuts requests, or that fails requests from the load balancer. A
/// drain begins while one request is in flight and one connection is idle; the steps of the drain
/// must keep their order, and the process must last until the final byte.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_cuts_nothing_and_closes_everything() {
    let gate = Arc::new(Notify::new());
    let wait = Arc::clone(&gate);
    let encode = FakeUpstream::spawn(move |seen| {
        let mut actions = stage_ok(seen, &json!(1));
        actions.insert(0, Action::Wait(Arc::clone(&wait)));
        actions
    });
    let encode = encode.await;
    let pools = Pools { encode: vec![encode.address], ..Pools::default() };
    let (entry, session) = open(&pools).await;
    let address = entry.address();
    assert_eq!(get(address, "/readyz").await.status, 200);
    let mut idle = TcpStream::connect(address).await.unwrap();
    idle.write_all(b"GET /livez HTTP/1.1\r\nhost: e\r\n\r\n").await.unwrap();
    assert_eq!(read(&mut idle).await.status, 200);
    let mut running = send(address, "encode").await;
    until(|| encode.count("/v1/stage") == 1).await;

    let drain = tokio::spawn(entry.drain());
    until(|| session.drain_reported()).await;
    assert_eq!(get(address, "/readyz").await.status, 503);
    let refused = post(address, "encode", "", BODY).await;
    assert_eq!((refused.status, refused.reason().as_str()), (503, "draining"), "{refused:?}");
    assert_eq!((refused.outcome(), refused.header("connection")), ("not-run", Some("close")));
    assert_eq!(next_bytes(&mut idle).await, 0, "the idle connection stays open");
    assert!(!drain.is_finished());
    gate.notify_one();
    let answer = read(&mut running).await;
    assert_eq!((answer.status, answer.outcome(), answer.complete), (200, "complete", true));
    drain.await.unwrap();
    assert!(TcpStream::connect(address).await.is_err());
}

/// Guards against an entry that is cut off and serves an old version for hours. No quorum confirms
/// its version any more, so the version's age must be checked.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_nobody_confirms_is_served_only_where_the_policy_says_so() {
    let encode = FakeUpstream::spawn(|seen| stage_ok(seen, &json!(1))).await;
    let pools = Pools { encode: vec![encode.address], ..Pools::default() };
    for (stale, status) in [(Stale::Refuse, 503), (Stale::Serve, 200)] {
        let mut service = service(&pools);
        service.policy.stale = stale;
        let (entry, session) = open_service(service).await;
        *session.stale.lock().unwrap() = true;
        let answer = post(entry.address(), "encode", "", BODY).await;
        assert_eq!(answer.status, status, "{answer:?}");
        let headers = "idempotency-key: k\r\n";
        let once = post(entry.address(), "booking", headers, BODY).await;
        assert_eq!((once.status, once.reason().as_str()), (503, "stale-service"), "{once:?}");
        // An earlier attempt under this key may have run elsewhere.
        assert_eq!(once.outcome(), "unknown", "{once:?}");
        entry.drain().await;
    }
}

/// Guards against a cost by stage that does not add up. A call fails and its retry succeeds: the
/// failed call must be counted, but apart from the one whose result was used.
#[tokio::test(flavor = "multi_thread")]
async fn use_is_reported_with_waste_apart() {
    let encode = FakeUpstream::spawn(|seen| match seen.number {
        0 => vec![Action::Close],
        _ => stage_ok(seen, &json!(1)),
    });
    let encode = encode.await;
    let pools = Pools { encode: vec![encode.address], ..Pools::default() };
    let (entry, session) = open(&pools).await;
    let answer = post(entry.address(), "encode", "", BODY).await;
    assert_eq!(answer.json()["stages"][0]["attempts"], 2, "{answer:?}");
    entry.drain().await;
    let stages: Vec<_> = session.usage().into_iter().flat_map(|it| it.stages).collect();
    assert_eq!(stages.iter().map(|it| it.calls).sum::<u32>(), 1);
    assert_eq!(stages.iter().map(|it| it.busy.0).sum::<u64>(), 1_000);
    assert!(stages.iter().map(|it| it.wasted.0).sum::<u64>() > 0);
}

/// Guards against an entry that runs out of file descriptors, or that refuses callers although none
/// is connected. Opens more connections than the limit, and as many one after the other within a
/// moment: there must be a limit, and closed connections must not count.
#[tokio::test(flavor = "multi_thread")]
async fn connections_beyond_the_limit_are_refused_and_those_that_are_over_do_not_count() {
    let (entry, _session) = open(&Pools::default()).await;
    for _ in 0..200 {
        assert_eq!(get(entry.address(), "/livez").await.status, 200);
    }
    let mut open = Vec::new();
    let refused = loop {
        let mut stream = TcpStream::connect(entry.address()).await.unwrap();
        stream.write_all(b"GET /livez HTTP/1.1\r\nhost: e\r\n\r\n").await.unwrap();
        let answer = read(&mut stream).await;
        if answer.status != 200 {
            break answer;
        }
        open.push(stream);
    };
    assert_eq!((open.len(), refused.status, refused.complete), (64, 503, true), "{refused:?}");
    assert_eq!((refused.outcome(), refused.reason().as_str()), ("unknown", "connections"));
    drop(open);
    while get(entry.address(), "/livez").await.status != 200 {}
    entry.drain().await;
}

/// Guards against clients that get no answer, or the answer to another request, because only the
/// plainest form of HTTP/1.1 is served. Sends a chunked body, a body announced with `Expect:
/// 100-continue`, and two requests at once on one connection.
#[tokio::test(flavor = "multi_thread")]
async fn other_forms_of_requests_are_served() {
    let encode = FakeUpstream::spawn(|seen| stage_ok(seen, &seen.body["input"])).await;
    let pools = Pools { encode: vec![encode.address], ..Pools::default() };
    let (entry, _session) = open(&pools).await;
    let head = format!("POST /v1/pipelines/encode HTTP/1.1\r\nhost: e\r\n{}", bearer());

    let mut stream = TcpStream::connect(entry.address()).await.unwrap();
    let chunked = "transfer-encoding: chunked\r\n\r\n6\r\n{\"inpu\r\n6\r\nt\": 1}\r\n0\r\n\r\n";
    stream.write_all(format!("{head}{chunked}").as_bytes()).await.unwrap();
    assert_eq!(read(&mut stream).await.json()["output"], 1);

    let mut stream = TcpStream::connect(entry.address()).await.unwrap();
    let expects = "expect: 100-continue\r\ncontent-length: 12\r\n\r\n";
    stream.write_all(format!("{head}{expects}").as_bytes()).await.unwrap();
    let mut line = [0; 25];
    stream.read_exact(&mut line).await.unwrap();
    assert_eq!(&line, b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(b"{\"input\": 2}").await.unwrap();
    assert_eq!(read(&mut stream).await.json()["output"], 2);

    let mut stream = TcpStream::connect(entry.address()).await.unwrap();
    let one = request("encode", &bearer(), r#"{"input": 3}"#);
    let two = request("encode", &bearer(), r#"{"input": 4}"#);
    stream.write_all(format!("{one}{two}").as_bytes()).await.unwrap();
    let mut text = String::new();
    while !text.contains("\"output\":4") {
        let mut bytes = [0; 1024];
        let count = stream.read(&mut bytes).await.unwrap();
        assert!(count > 0, "closed after {text}");
        text.push_str(&String::from_utf8_lossy(&bytes[..count]));
    }
    assert!(text.find("\"output\":3") < text.find("\"output\":4"), "{text}");
    entry.drain().await;
}
