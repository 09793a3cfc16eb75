//! Calls with a single complete answer, to upstreams that violate the protocol.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;
use serde_json::value::RawValue;
use support::{Action, FakeUpstream, Received, response, stage_ok};
use tokio::sync::Notify;
use types::{CallId, Priority, RequestId, StageName};
use upstream::{
    CallError, Calls, Fault, Limits, Sent, Silence, StageCall, StageReply, Target, Watch,
};

const LONG_TIMEOUT: Duration = Duration::from_secs(20);
const SHORT_TIMEOUT: Duration = Duration::from_millis(60);

async fn call(
    calls: &Calls,
    address: SocketAddr,
    fresh: bool,
    deadline: Duration,
) -> Result<StageReply, CallError> {
    let limits = Limits::new(Instant::now() + deadline, LONG_TIMEOUT);
    watched(calls, address, fresh, limits, Watch::default()).await
}

async fn watched(
    calls: &Calls,
    address: SocketAddr,
    fresh: bool,
    mut limits: Limits,
    watch: Watch,
) -> Result<StageReply, CallError> {
    let input = RawValue::from_string("1".to_owned()).unwrap();
    let stage: StageName = "encode".parse().unwrap();
    let call = StageCall {
        call: CallId::random(),
        request: RequestId::random(),
        stage: &stage,
        priority: Priority(0),
        deadline_ms: 1,
        input: &input,
        previous: None,
        path: None,
        key: None,
    };
    (limits.max_bytes, limits.idle) = (2_000, limits.first_byte);
    calls.stage(Target { address, fresh }, call, limits, watch).await
}

fn sent(error: &CallError) -> &'static str {
    match error.sent {
        Sent::No(_) => "no",
        Sent::Declined(_) => "declined",
        Sent::Maybe => "maybe",
    }
}

struct Case {
    name: &'static str,
    script: fn(&Received) -> Vec<Action>,
    fault: fn(&Fault) -> bool,
    sent: &'static str,
}

fn ok_body(received: &Received) -> String {
    format!("{{\"call\":\"{}\",\"output\":1}}", received.id)
}

/// Guards against passing on a truncated answer, or that of another call, because its status is 200.
/// Each invalid response must be detected, and the next call must use another connection.
#[tokio::test]
async fn wrong_responses_never_pass_and_their_connection_is_closed() {
    let cases = [
        Case {
            name: "another call's id in the header",
            script: |it| vec![Action::Write(response(200, &other_id(), "", &ok_body(it)))],
            fault: |it| *it == Fault::IdMismatch,
            sent: "maybe",
        },
        Case {
            name: "another call's id in the body",
            script: |it| {
                let body = format!("{{\"call\":\"{}\",\"output\":1}}", other_id());
                vec![Action::Write(response(200, &it.id, "", &body))]
            },
            fault: |it| *it == Fault::IdMismatch,
            sent: "maybe",
        },
        Case {
            name: "a body shorter than announced",
            script: |it| {
                let mut bytes = response(200, &it.id, "", &ok_body(it));
                bytes.truncate(bytes.len() - 1);
                vec![Action::Write(bytes), Action::Close]
            },
            fault: |it| matches!(it, Fault::Truncated(_)),
            sent: "maybe",
        },
        Case {
            name: "a body without a length",
            script: |it| {
                let head = format!("HTTP/1.1 200 X\r\nx-request-id: {}\r\n\r\n", it.id);
                let text = head + &ok_body(it);
                vec![Action::Write(text.into_bytes()), Action::Close]
            },
            fault: |it| matches!(it, Fault::Malformed(_)),
            sent: "maybe",
        },
        Case {
            name: "a body with a missing field",
            script: |it| vec![Action::Write(response(200, &it.id, "", "{\"output\":1}"))],
            fault: |it| matches!(it, Fault::Malformed(_)),
            sent: "maybe",
        },
        Case {
            name: "a body beyond the limit",
            script: |it| vec![Action::Write(response(200, &it.id, "", &"1".repeat(2_001)))],
            fault: |it| *it == Fault::TooLarge(2_000),
            sent: "maybe",
        },
        Case {
            name: "overloaded",
            script: |it| vec![Action::Write(response(429, &it.id, "retry-after: 3\r\n", ""))],
            fault: |it| *it == Fault::Busy(Some(Duration::from_secs(3))),
            sent: "declined",
        },
        Case {
            name: "overloaded, with another call's id",
            script: |_| vec![Action::Write(response(429, &other_id(), "", ""))],
            fault: |it| *it == Fault::IdMismatch,
            sent: "maybe",
        },
        Case {
            name: "draining",
            script: |it| vec![Action::Write(response(503, &it.id, "x-draining: true\r\n", ""))],
            fault: |it| *it == Fault::Draining,
            sent: "declined",
        },
        Case {
            name: "an error",
            script: |it| vec![Action::Write(response(500, &it.id, "", ""))],
            fault: |it| matches!(it, Fault::Status(500, _)),
            sent: "maybe",
        },
        Case {
            name: "no answer at all",
            script: |_| vec![Action::Close],
            fault: |it| matches!(it, Fault::Truncated(_)),
            sent: "maybe",
        },
    ];
    for case in cases {
        let script = case.script;
        let upstream = FakeUpstream::spawn(move |received| match received.number {
            0 => script(received),
            _ => stage_ok(received, &json!(2)),
        });
        let (upstream, calls) = (upstream.await, Calls::new());
        let error = call(&calls, upstream.address, false, LONG_TIMEOUT).await.unwrap_err();
        assert!((case.fault)(&error.fault), "{}: {error}", case.name);
        assert_eq!(sent(&error), case.sent, "{}", case.name);
        let reply = call(&calls, upstream.address, false, LONG_TIMEOUT).await.unwrap();
        assert_eq!(reply.output.get(), "2", "{}", case.name);
        assert_eq!(
            upstream.received()[1].connection,
            1,
            "{}: the connection was reused",
            case.name
        );
    }
}

fn other_id() -> String {
    CallId::random().to_string()
}

/// Guards against giving a call the answer of the previous one: call A times out, and its late answer
/// arrives on the same connection after call B was sent. A connection with an abandoned response must
/// not be reused.
#[tokio::test]
async fn a_late_answer_finds_no_receiver() {
    let late_answer = Arc::new(Notify::new());
    let release = Arc::clone(&late_answer);
    let upstream = FakeUpstream::spawn(move |received| {
        let mut actions = stage_ok(received, &json!(received.number));
        if received.number == 1 {
            actions.insert(0, Action::Wait(Arc::clone(&release)));
        }
        actions
    });
    let (upstream, calls) = (upstream.await, Calls::new());
    call(&calls, upstream.address, false, LONG_TIMEOUT).await.unwrap();
    let error = call(&calls, upstream.address, false, SHORT_TIMEOUT).await.unwrap_err();
    assert_eq!(error.fault, Fault::Deadline);
    late_answer.notify_one();
    let reply = call(&calls, upstream.address, false, LONG_TIMEOUT).await.unwrap();
    assert_eq!(reply.output.get(), "2");
    let connections: Vec<_> = upstream.received().iter().map(|it| it.connection).collect();
    assert_eq!(connections, [0, 0, 1]);
}

/// Guards against one timeout for each stage or attempt of a request: all open connections go
/// silent at once while new ones work, and each call takes the next idle connection, which is
/// silent, too.
#[tokio::test]
async fn one_silent_call_drops_the_idle_connections_not_used_since() {
    let release = Arc::new(Notify::new());
    let release_answers = Arc::clone(&release);
    let upstream =
        FakeUpstream::spawn(move |received| match (received.connection, received.number) {
            (0 | 1, 0 | 1) => {
                let mut actions = stage_ok(received, &json!(0));
                actions.insert(0, Action::Wait(Arc::clone(&release_answers)));
                actions
            }
            (0 | 1, _) => vec![Action::Hang],
            _ => stage_ok(received, &json!("new")),
        });
    let (upstream, calls) = (upstream.await, Calls::new());
    let release = async {
        while upstream.received().len() < 2 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        // `Notify` stores a permit for a connection that does not wait yet, but only one.
        release.notify_one();
        tokio::task::yield_now().await;
        release.notify_one();
    };
    let (one, two, ()) = tokio::join!(
        call(&calls, upstream.address, false, LONG_TIMEOUT),
        call(&calls, upstream.address, false, LONG_TIMEOUT),
        release
    );
    one.and(two).unwrap();
    let wake = Arc::new(Notify::new());
    let watch = Watch::new(&wake);
    let limits = Limits::new(Instant::now() + LONG_TIMEOUT, SHORT_TIMEOUT);
    let silent = watched(&calls, upstream.address, false, limits, watch.clone());
    let next = async {
        wake.notified().await;
        assert_eq!(watch.silence(), Some(Silence { reused: true }));
        call(&calls, upstream.address, false, LONG_TIMEOUT).await.unwrap()
    };
    tokio::select! {
        ended = silent => panic!("a silent call ended: {ended:?}"),
        reply = next => assert_eq!(reply.output.get(), "\"new\""),
    }
}

/// Guards against reporting "may have run" for a call that was never sent: nothing listens at the
/// address of the upstream.
#[tokio::test]
async fn a_refused_connection_is_evidence_that_nothing_was_sent() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let gone = listener.local_addr().unwrap();
    drop(listener);
    let error = call(&Calls::new(), gone, true, LONG_TIMEOUT).await.unwrap_err();
    assert!(matches!(error.fault, Fault::Connect(_)), "{error}");
    assert_eq!(sent(&error), "no");
}

/// Guards against reporting "may have run" for at-most-once calls at every restart of an upstream: it
/// closes an idle connection while the call is written, and nobody can tell whether it was read.
#[tokio::test]
async fn a_fresh_call_never_takes_a_kept_connection() {
    let upstream = FakeUpstream::spawn(|received| stage_ok(received, &json!(1))).await;
    let calls = Calls::new();
    for _ in 0..3 {
        call(&calls, upstream.address, true, LONG_TIMEOUT).await.unwrap();
    }
    assert_eq!(upstream.connections(), 3);
    call(&calls, upstream.address, false, LONG_TIMEOUT).await.unwrap();
    assert_eq!(upstream.connections(), 3);
}

/// Guards against reporting "not run" for a call that ran: the upstream reads it on a reused
/// connection and closes that without an answer, which looks like a close before the call was
/// written.
#[tokio::test]
async fn a_kept_connection_closed_after_reading_is_not_evidence() {
    let upstream = FakeUpstream::spawn(|received| match received.number {
        0 => stage_ok(received, &json!(1)),
        _ => vec![Action::Close],
    });
    let (upstream, calls) = (upstream.await, Calls::new());
    call(&calls, upstream.address, false, LONG_TIMEOUT).await.unwrap();
    let error = call(&calls, upstream.address, false, LONG_TIMEOUT).await.unwrap_err();
    assert_eq!((&error.fault, sent(&error)), (&Fault::Stale, "maybe"));
    assert_eq!(upstream.count("/v1/stage"), 2);
}
