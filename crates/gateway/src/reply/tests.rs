//! What a caller receives of an answer that is cut short.

use std::convert::Infallible;
use std::sync::Mutex;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt, duplex};

use super::*;
use crate::drain::Drain;
use crate::guard::{GuardedStream, SoundHeads};
use crate::head_timeout::ReadCounter;
use crate::write_tracker::WriteTracker;

struct Case {
    name: &'static str,
    /// The size of the buffer between the entry and its caller, in bytes.
    pipe: usize,
    events: usize,
    truncated: bool,
}

const CASES: &[Case] = &[
    Case { name: "all at once", pipe: 1 << 16, events: 3, truncated: true },
    Case { name: "a caller that reads slowly", pipe: 16, events: 3, truncated: true },
    Case { name: "many events, read slowly", pipe: 64, events: 30, truncated: true },
    Case { name: "cut short before any event", pipe: 1 << 16, events: 0, truncated: true },
    Case { name: "a whole answer", pipe: 16, events: 3, truncated: false },
];

/// Guards against losing events that the engine sent before it failed: the caller would get only
/// the first events of a stream, or none. The server takes several events and the error from the
/// channel in one turn; on the error it drops the connection with everything that it has not
/// written yet.
#[tokio::test]
async fn events_before_a_truncation_reach_the_caller() {
    for case in CASES {
        let read = read_answer(case).await;
        for at in 0..case.events {
            assert!(read.contains(&format!("event {at};")), "{}: {at} is lost: {read}", case.name);
        }
        assert_eq!(read.ends_with("0\r\n\r\n"), !case.truncated, "{}: {read}", case.name);
    }
}

/// Serves the answer of a case, which is complete before the server asks for it, and returns what the caller
/// reads.
async fn read_answer(case: &Case) -> String {
    let body = ready_body(case.events, case.truncated).await;
    read_body(case.pipe, body).await
}

/// Serves one answer through a buffer of `pipe` bytes, and returns what the caller reads.
async fn read_body(pipe: usize, mut body: ReplyBody) -> String {
    let (caller, entry) = duplex(pipe);
    let write_tracker = WriteTracker::default();
    let stream = GuardedStream::new(
        entry,
        SoundHeads::default(),
        ReadCounter::default(),
        write_tracker.clone(),
    );
    body.track_writes(write_tracker, Drain::default().track_answer());
    let reply = Mutex::new(Some(Response::new(body)));
    let service = service_fn(move |_| {
        let reply = reply.lock().expect("the answer").take().expect("one request");
        async move { Ok::<_, Infallible>(reply) }
    });
    let server = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let (mut reader, mut writer) = tokio::io::split(caller);
    let asks = writer.write_all(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    let mut read = Vec::new();
    let reads = async {
        asks.await.expect("asked");
        reader.read_to_end(&mut read).await.expect("read");
    };
    // The server returns an error if the answer is cut short.
    let _ = tokio::join!(async { server.await.is_ok() }, reads);
    String::from_utf8(read).expect("text")
}

async fn ready_body(events: usize, truncated: bool) -> ReplyBody {
    let (sender, receiver) = chunks::channel(events + 1);
    for at in 0..events {
        let event = Bytes::from(format!("event {at};"));
        sender.send(event).await.expect("the channel is open");
    }
    if !truncated {
        sender.finish();
    }
    ReplyBody::stream(receiver)
}

/// Guards against an answer without a length that looks complete because the task that forwards it panicked.
#[tokio::test]
async fn an_answer_whose_forwarding_panics_is_cut() {
    let (sender, receiver) = chunks::channel(4);
    let task = tokio::spawn(async move {
        sender.send(Bytes::from_static(b"event 0;")).await.expect("the channel is open");
        panic!("a fault");
    });
    assert!(task.await.is_err_and(|it| it.is_panic()));
    let read = read_body(1 << 16, ReplyBody::stream(receiver)).await;
    assert!(read.contains("event 0;") && !read.ends_with("0\r\n\r\n"), "{read}");
}

/// A large answer, in bytes: more than a caller's pipe takes, and less than the server buffers.
const LARGE_BYTES: usize = 100 << 10;

fn whole_body() -> ReplyBody {
    ReplyBody::whole(Bytes::from(vec![b'x'; LARGE_BYTES]))
}

async fn stream_body() -> ReplyBody {
    let (sender, receiver) = chunks::channel(8);
    for _ in 0..8 {
        let sent = sender.send(Bytes::from(vec![b'x'; LARGE_BYTES / 8])).await;
        sent.expect("a receiver");
    }
    sender.finish();
    ReplyBody::stream(receiver)
}

/// Guards against a process that ends while a slow caller has not got all of an answer: one that was
/// handed out whole to the server still counts until its bytes are written.
#[tokio::test]
async fn an_answer_counts_until_all_its_bytes_are_written() {
    for (name, body) in [("whole", whole_body()), ("stream", stream_body().await)] {
        let (mut caller, entry) = duplex(64);
        let (drain, write_tracker) = (Drain::default(), WriteTracker::default());
        let stream = GuardedStream::new(
            entry,
            SoundHeads::default(),
            ReadCounter::default(),
            write_tracker.clone(),
        );
        let (tracked, body) = (drain.clone(), Mutex::new(Some(body)));
        let service = service_fn(move |_| {
            let body = body.lock().expect("the answer").take().expect("one request");
            let mut reply = Response::new(body);
            reply.body_mut().track_writes(write_tracker.clone(), tracked.track_answer());
            reply.body_mut().hold_in_flight(tracked.track_request());
            async move { Ok::<_, Infallible>(reply) }
        });
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        let ask = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        caller.write_all(ask).await.expect("asked");
        let mut first = [0; 32];
        caller.read_exact(&mut first).await.expect("the first bytes");
        while drain.in_flight() > 0 {
            tokio::task::yield_now().await;
        }
        assert!(!drain.is_idle(), "{name}: the process may end, and its caller has 32 bytes");
        caller.read_to_end(&mut Vec::new()).await.expect("the rest");
        assert!(drain.is_idle(), "{name}: it counts still");
    }
}
