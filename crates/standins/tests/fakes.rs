//! Tests that the fakes behave as the tests of other crates expect.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use standins::{engine, faults::Faults, proxy, stage};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use types::Micros;

/// How long a test waits for a condition before it fails.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

struct Answer {
    status: u16,
    call_id: String,
    body: Result<String, String>,
}

async fn post(address: SocketAddr, path: &str, call: &str, body: Value) -> Answer {
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let request = Request::post(format!("http://{address}{path}"))
        .header("x-request-id", call)
        .body(Full::new(Bytes::from(body.to_string())))
        .unwrap();
    let response = client.request(request).await.unwrap();
    let status = response.status().as_u16();
    let call_id = response.headers().get("x-request-id").map(|it| it.to_str().unwrap().to_owned());
    let body = response.into_body().collect().await;
    let body = body.map(|it| String::from_utf8(it.to_bytes().to_vec()).unwrap());
    Answer { status, call_id: call_id.unwrap_or_default(), body: body.map_err(|e| e.to_string()) }
}

/// Returns the positions and texts of a stream's events.
fn texts(stream: &str) -> Vec<(u64, String)> {
    let events = stream.split("\n\n").filter_map(|it| it.strip_prefix("data: "));
    let values = events.filter_map(|it| serde_json::from_str::<Value>(it).ok());
    let text = |it: Value| {
        let text = it["choices"][0]["text"].as_str().unwrap().to_owned();
        (it["position"].as_u64().unwrap(), text)
    };
    values.map(text).collect()
}

fn quick() -> engine::Config {
    engine::Config { first: Micros(0), token: Micros(0), ..engine::Config::default() }
}

fn completion(call: &str, resume: Option<(u64, &str)>) -> Value {
    let mut body = json!({
        "model": "m", "prompt": "{\"marker\":\"lot-7\"}", "max_tokens": 9, "stream": true,
        "priority": 0, "request_id": call,
    });
    if let Some((from, delivered)) = resume {
        body["resume_from"] = from.into();
        body["delivered"] = delivered.into();
    }
    body
}

#[tokio::test]
async fn a_resumed_stream_equals_the_uninterrupted_one() {
    // Guards against an answer with a duplicate or missing token: an engine dies in mid-stream, and
    // another one resumes after the delivered tokens but counts positions from the wrong one.
    let first = engine::spawn(quick()).await.unwrap();
    let other = engine::spawn(quick()).await.unwrap();
    let uninterrupted = post(first.address(), "/v1/completions", "a", completion("a", None)).await;
    let uninterrupted = uninterrupted.body.unwrap();
    assert!(uninterrupted.ends_with("data: [DONE]\n\n"));
    let uninterrupted = texts(&uninterrupted);
    assert_eq!(uninterrupted.len(), 9);
    assert_eq!(uninterrupted[0].1, "marker=lot-7");
    for from in 0..=9usize {
        let delivered: String = uninterrupted[..from].iter().map(|it| it.1.as_str()).collect();
        let body = completion("b", Some((from as u64, &delivered)));
        let rest = post(other.address(), "/v1/completions", "b", body).await.body.unwrap();
        let rest: Vec<_> = texts(&rest).into_iter().filter(|it| !it.1.is_empty()).collect();
        assert_eq!(rest, uninterrupted[from..], "resumed from {from}");
    }
    assert_eq!(other.counts().resumed, 10);
    assert_eq!(other.counts().mismatched, 0);
}

#[tokio::test]
async fn a_disconnect_and_a_cancel_end_a_stream() {
    let config = engine::Config { token: Micros(60_000_000), capacity: 2, ..quick() };
    let engine = engine::spawn(config).await.unwrap();
    let address = engine.address();
    let left = tokio::spawn(async move {
        post(address, "/v1/completions", "left", completion("left", None)).await
    });
    let ended = tokio::spawn(async move {
        post(address, "/v1/completions", "ended", completion("ended", None)).await
    });
    until(|| engine.counts().tokens == 2).await;
    left.abort();
    until(|| engine.counts().cancelled == 1).await;
    let body = json!({"request_id": "ended"});
    assert_eq!(post(address, "/v1/cancel", "", body).await.status, 200);
    let answer = ended.await.unwrap();
    assert!(!answer.body.is_ok_and(|it| it.contains("[DONE]")), "a cancelled stream is incomplete");
    assert_eq!(engine.counts().cancelled, 2);
}

#[tokio::test]
async fn no_more_calls_run_than_the_capacity() {
    let time = stage::ServiceTime::Fixed(Micros(2_000));
    let config = stage::Config { capacity: 3, time, ..stage::Config::default() };
    let stage = stage::spawn(config).await.unwrap();
    let calls = (0..30).map(|i| {
        let call = format!("c{i}");
        let input = json!({"marker": format!("m{i}")});
        let body = json!({"call": call, "stage": "encode", "input": input, "previous": null});
        let address = stage.address();
        async move { (i, post(address, "/v1/stage", &call, body).await) }
    });
    for (i, answer) in futures_util::future::join_all(calls).await {
        assert_eq!((answer.status, answer.call_id.as_str()), (200, format!("c{i}").as_str()));
        assert!(standins::marker::has_only(&answer.body.unwrap(), &format!("m{i}")));
    }
    assert_eq!(stage.counts().peak, 3);
    assert_eq!(stage.counts().finished, 30);
}

#[tokio::test]
async fn faults_take_effect_on_command() {
    struct Case {
        name: &'static str,
        faults: Faults,
        check: fn(&Answer) -> bool,
    }
    let cases = [
        Case {
            name: "swapped echo",
            faults: Faults { swap_echo: 1.0, ..Faults::default() },
            check: |it| it.status == 200 && it.call_id != "own",
        },
        Case {
            name: "swapped body",
            faults: Faults { swap_body: 1.0, ..Faults::default() },
            check: |it| it.call_id == "own" && !it.body.as_ref().unwrap().contains("\"own\""),
        },
        Case {
            name: "cut body",
            faults: Faults { cut: 1.0, ..Faults::default() },
            check: |it| it.status == 200 && it.body.is_err(),
        },
        Case {
            name: "error",
            faults: Faults { error: 1.0, ..Faults::default() },
            check: |it| it.status == 500,
        },
        Case {
            name: "draining",
            faults: Faults { draining: true, ..Faults::default() },
            check: |it| it.status == 503,
        },
        Case { name: "none", faults: Faults::default(), check: |it| it.status == 200 },
    ];
    let stage = stage::spawn(stage::Config::default()).await.unwrap();
    for case in cases {
        stage.faults().clear();
        let body = |call: &str| json!({"call": call, "input": {"marker": call}});
        post(stage.address(), "/v1/stage", "before", body("before")).await;
        let command = serde_json::to_value(&case.faults).unwrap();
        assert_eq!(post(stage.address(), "/faults", "", command).await.status, 200);
        let answer = post(stage.address(), "/v1/stage", "own", body("own")).await;
        assert!((case.check)(&answer), "{}: {} {:?}", case.name, answer.status, answer.body);
    }
}

#[tokio::test]
async fn a_cut_silences_open_connections_while_new_ones_work() {
    // Tests of other crates rely on this: a request hangs on a pooled connection that a device
    // between the two ends has forgotten, although the upstream is healthy and new connections work.
    // Such a connection shows only by its lack of progress.
    let target = echo_server().await;
    let proxy = proxy::spawn(proxy::Config::to(target)).await.unwrap();
    let mut open = TcpStream::connect(proxy.address()).await.unwrap();
    assert_eq!(ping(&mut open).await, *b"ping");
    proxy.cut(proxy::Cut::default());
    open.write_all(b"ping").await.unwrap();
    until(|| proxy.counts().swallowed == 4).await;
    let mut fresh = TcpStream::connect(proxy.address()).await.unwrap();
    assert_eq!(ping(&mut fresh).await, *b"ping");
    let mut none = [0; 1];
    assert!(open.try_read(&mut none).is_err(), "the silent connection is neither read nor closed");
}

#[tokio::test]
async fn datagrams_pass_until_everything_is_cut() {
    let target = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let proxy = proxy::spawn(proxy::Config::to(target.local_addr().unwrap())).await.unwrap();
    let client = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    client.connect(proxy.address()).await.unwrap();
    let mut datagram = [0; 8];
    client.send(b"report").await.unwrap();
    let (length, relayed) = target.recv_from(&mut datagram).await.unwrap();
    assert_eq!(&datagram[..length], b"report");
    target.send_to(b"answer", relayed).await.unwrap();
    let length = client.recv(&mut datagram).await.unwrap();
    assert_eq!(&datagram[..length], b"answer");
    proxy.cut(proxy::Cut { scope: proxy::Scope::All, ..proxy::Cut::default() });
    client.send(b"report").await.unwrap();
    until(|| proxy.counts().swallowed == 6).await;
}

async fn ping(stream: &mut TcpStream) -> [u8; 4] {
    stream.write_all(b"ping").await.unwrap();
    let mut reply = [0; 4];
    stream.read_exact(&mut reply).await.unwrap();
    reply
}

async fn echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (mut from, mut to) = stream.into_split();
            tokio::spawn(async move { tokio::io::copy(&mut from, &mut to).await });
        }
    });
    address
}

async fn until(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(CONDITION_TIMEOUT, wait).await.expect("the condition never held");
}
