//! Streams of tokens from engines that violate the protocol.

mod support;

use std::time::{Duration, Instant};

use support::{
    Action, FakeUpstream, Received, done, finish, last_chunk, stream, stream_head, token,
};
use types::{CallId, Priority, Tokens};
use upstream::{
    CallError, Calls, EngineEvent, EngineStream, Fault, Generation, Limits, Silence, Target, Watch,
};

const LONG_TIMEOUT: Duration = Duration::from_secs(20);

fn limits() -> Limits {
    let mut limits = Limits::new(Instant::now() + LONG_TIMEOUT, LONG_TIMEOUT);
    (limits.idle, limits.max_bytes) = (Duration::from_millis(200), 20_000);
    limits
}

async fn generate(
    calls: &Calls,
    upstream: &FakeUpstream,
    position: u64,
    limits: Limits,
) -> Result<EngineStream, CallError> {
    generate_watched(calls, upstream, position, limits, Watch::default()).await
}

async fn generate_watched(
    calls: &Calls,
    upstream: &FakeUpstream,
    position: u64,
    limits: Limits,
    watch: Watch,
) -> Result<EngineStream, CallError> {
    let generation = Generation {
        call: CallId::random(),
        model: None,
        prompt: "p",
        tokens: Tokens(8),
        priority: Priority(0),
        position,
        delivered: if position > 0 { "before" } else { "" },
    };
    let target = Target { address: upstream.address, fresh: false };
    calls.generate(target, generation, limits, watch).await
}

/// Reads a stream to its end or to its first error.
async fn read_all(stream: &mut EngineStream) -> (Vec<u64>, Result<(), Fault>) {
    let mut positions = Vec::new();
    loop {
        match stream.next().await {
            Ok(EngineEvent::Token { position, .. }) => positions.push(position),
            Ok(EngineEvent::End(_)) => return (positions, Ok(())),
            Err(error) => return (positions, Err(error.fault)),
        }
    }
}

struct Case {
    name: &'static str,
    resume_from: u64,
    script: fn(&Received) -> Vec<Action>,
    positions: &'static [u64],
    end: fn(&Result<(), Fault>) -> bool,
}

fn is_truncated(end: &Result<(), Fault>) -> bool {
    matches!(end, Err(Fault::Truncated(_)))
}

/// Guards against passing on duplicate tokens, skipped tokens, tokens of another call, or a truncated
/// stream as if it were complete because the connection was closed.
#[tokio::test]
async fn only_whole_streams_in_order_pass() {
    let cases = [
        Case {
            name: "whole",
            resume_from: 0,
            script: |it| stream(&it.id, 0, 3),
            positions: &[0, 1, 2],
            end: Result::is_ok,
        },
        Case {
            name: "resumed, with tokens that were delivered before",
            resume_from: 2,
            script: |it| stream(&it.id, 0, 4),
            positions: &[2, 3],
            end: Result::is_ok,
        },
        Case {
            name: "a token twice",
            resume_from: 0,
            script: |it| {
                let mut actions = stream(&it.id, 0, 2);
                actions.insert(2, token(&it.id, 0, "again"));
                actions
            },
            positions: &[0, 1],
            end: Result::is_ok,
        },
        Case {
            name: "a position skipped",
            resume_from: 0,
            script: |it| {
                let mut actions = stream(&it.id, 0, 3);
                actions.remove(2);
                actions
            },
            positions: &[0],
            end: |it| *it == Err(Fault::Gap(1, 2)),
        },
        Case {
            name: "the last position skipped",
            resume_from: 0,
            script: |it| {
                let mut actions = stream(&it.id, 0, 3);
                actions.remove(3);
                actions
            },
            positions: &[0, 1],
            end: |it| *it == Err(Fault::Gap(2, 3)),
        },
        Case {
            name: "another call's event",
            resume_from: 0,
            script: |it| {
                let mut actions = stream(&it.id, 0, 2);
                actions[2] = token(&CallId::random().to_string(), 1, "other");
                actions
            },
            positions: &[0],
            end: |it| *it == Err(Fault::IdMismatch),
        },
        Case {
            name: "closed after a token",
            resume_from: 0,
            script: |it| vec![stream_head(&it.id), token(&it.id, 0, "a"), Action::Close],
            positions: &[0],
            end: is_truncated,
        },
        Case {
            name: "properly ended without a finish reason",
            resume_from: 0,
            script: |it| vec![stream_head(&it.id), token(&it.id, 0, "a"), last_chunk()],
            positions: &[0],
            end: is_truncated,
        },
        Case {
            name: "the end event without a finish reason",
            resume_from: 0,
            script: |it| vec![stream_head(&it.id), token(&it.id, 0, "a"), done(), last_chunk()],
            positions: &[0],
            end: is_truncated,
        },
        Case {
            name: "a finish reason without the end event",
            resume_from: 0,
            script: |it| {
                let (token, finish) = (token(&it.id, 0, "a"), finish(&it.id, 1));
                vec![stream_head(&it.id), token, finish, last_chunk()]
            },
            positions: &[0],
            end: is_truncated,
        },
        Case {
            name: "a token after the finish reason",
            resume_from: 0,
            script: |it| {
                let mut actions = stream(&it.id, 0, 1);
                actions.insert(3, token(&it.id, 1, "more"));
                actions
            },
            positions: &[0],
            end: |it| matches!(it, Err(Fault::Malformed(_))),
        },
        Case {
            name: "longer than the limit",
            resume_from: 0,
            script: |it| {
                let text = "x".repeat(9_000);
                let token = |position| token(&it.id, position, &text);
                vec![stream_head(&it.id), token(0), token(1), token(2), Action::Hang]
            },
            positions: &[0, 1],
            end: |it| *it == Err(Fault::TooLarge(20_000)),
        },
    ];
    for case in cases {
        let upstream = FakeUpstream::spawn(case.script).await;
        let mut stream =
            generate(&Calls::new(), &upstream, case.resume_from, limits()).await.unwrap();
        let (positions, end) = read_all(&mut stream).await;
        assert_eq!(positions, case.positions, "{}", case.name);
        assert!((case.end)(&end), "{}: {end:?}", case.name);
        assert!(stream.next().await.is_err(), "{}: an event after the end", case.name);
    }
}

/// Guards against ending a stream because its engine is silent for a while, and against a silence
/// that nobody hears of.
#[tokio::test]
async fn a_silent_stream_goes_on_until_its_deadline_and_says_so() {
    const DEADLINE: Duration = Duration::from_secs(1);
    const SILENCE: Duration = Duration::from_millis(400);
    struct Silent {
        name: &'static str,
        script: fn(&Received) -> Vec<Action>,
        positions: &'static [u64],
        end: Result<(), Fault>,
        silence: Option<Silence>,
    }
    let silence = Some(Silence { reused: false });
    fn paused(received: &Received, index: usize) -> Vec<Action> {
        let mut actions = stream(&received.id, 0, 3);
        actions.insert(index, Action::Pause(SILENCE));
        actions
    }
    let goes_on = |name, script, silence| Silent {
        name,
        script,
        positions: &[0, 1, 2],
        end: Ok(()),
        silence,
    };
    let cases = [
        goes_on("never silent", |it| stream(&it.id, 0, 3), None),
        goes_on("before the head", |it| paused(it, 0), silence),
        goes_on("before the first token", |it| paused(it, 1), silence),
        goes_on("after a token", |it| paused(it, 2), silence),
        goes_on("before the end event", |it| paused(it, 5), silence),
        Silent {
            name: "for good after a token",
            script: |it| vec![stream_head(&it.id), token(&it.id, 0, "a"), Action::Hang],
            positions: &[0],
            end: Err(Fault::Deadline),
            silence,
        },
    ];
    for case in cases {
        let upstream = FakeUpstream::spawn(case.script).await;
        let (calls, watch) = (Calls::new(), Watch::default());
        let mut limits = Limits::new(Instant::now() + DEADLINE, Duration::from_millis(200));
        limits.idle = Duration::from_millis(200);
        let stream = generate_watched(&calls, &upstream, 0, limits, watch.clone()).await;
        let (positions, end) = read_all(&mut stream.unwrap()).await;
        assert_eq!((positions.as_slice(), &end), (case.positions, &case.end), "{}", case.name);
        assert_eq!(watch.silence(), case.silence, "{}", case.name);
    }
}

/// Guards against engines that keep working on calls that nobody waits for: a stream is dropped
/// before its end or before its first byte, and an engine notices a closed connection only at its
/// next write.
#[tokio::test]
async fn a_dropped_stream_is_cancelled_at_the_engine() {
    struct Cancelled {
        name: &'static str,
        head: bool,
    }
    for case in [
        Cancelled { name: "after a token", head: true },
        Cancelled { name: "before the head", head: false },
    ] {
        let head = case.head;
        let upstream = FakeUpstream::spawn(move |received| match received.path.as_str() {
            "/v1/cancel" => vec![Action::Write(support::response(200, &received.id, "", "{}"))],
            _ if head => vec![stream_head(&received.id), token(&received.id, 0, "a"), Action::Hang],
            _ => vec![Action::Hang],
        });
        let (upstream, calls) = (upstream.await, Calls::new());
        let short = Limits::new(Instant::now() + Duration::from_millis(100), LONG_TIMEOUT);
        if head {
            let mut stream = generate(&calls, &upstream, 0, limits()).await.unwrap();
            stream.next().await.unwrap();
        } else {
            generate(&calls, &upstream, 0, short).await.unwrap_err();
        }
        let cancelled = async {
            while upstream.count("/v1/cancel") == 0 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        tokio::time::timeout(LONG_TIMEOUT, cancelled).await.expect(case.name);
        let received = upstream.received();
        assert_eq!(received[1].body["request_id"], received[0].body["request_id"], "{}", case.name);
    }
}

/// Guards against cancelling a finished call, if the cancellation stays armed after the end, and
/// against a new connection for each call.
#[tokio::test]
async fn a_whole_stream_is_not_cancelled_and_its_connection_is_kept() {
    let upstream = FakeUpstream::spawn(|received| stream(&received.id, 0, 2)).await;
    let calls = Calls::new();
    for _ in 0..3 {
        let mut stream = generate(&calls, &upstream, 0, limits()).await.unwrap();
        let (positions, end) = read_all(&mut stream).await;
        assert_eq!((positions, end), (vec![0, 1], Ok(())));
    }
    assert_eq!(upstream.count("/v1/cancel"), 0);
    assert_eq!(upstream.connections(), 1);
}
