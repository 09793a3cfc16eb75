//! What a caller reads of an answer that breaks off.

use std::convert::Infallible;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt, duplex};

use super::*;
use crate::guard::{Conflict, Guarded};
use crate::head_time::Readings;
use crate::unwritten::Unwritten;

struct Case {
    name: &'static str,
    /// The bytes that fit between the entry and its caller.
    pipe: usize,
    events: usize,
    broken: bool,
}

const CASES: &[Case] = &[
    Case { name: "all at once", pipe: 1 << 16, events: 3, broken: true },
    Case { name: "a caller that reads slowly", pipe: 16, events: 3, broken: true },
    Case { name: "many events, read slowly", pipe: 64, events: 30, broken: true },
    Case { name: "a break before any event", pipe: 1 << 16, events: 0, broken: true },
    Case { name: "a whole answer", pipe: 16, events: 3, broken: false },
];

/// Symptom: a caller gets the first events of a stream, or none, and the end of its connection; the
/// events that the engine had sent before it broke off are missing.
/// Sequence: the server takes several events and the break from the channel in one turn.
/// Cause: on the break the server drops the connection, and with it what it has taken and not
/// written.
#[tokio::test]
async fn events_before_a_break_reach_the_caller() {
    for case in CASES {
        let read = read_answer(case).await;
        for at in 0..case.events {
            assert!(read.contains(&format!("event {at};")), "{}: {at} is lost: {read}", case.name);
        }
        assert_eq!(read.ends_with("0\r\n\r\n"), !case.broken, "{}: {read}", case.name);
    }
}

/// Serves one answer, all of which is there before the server asks for it, and reads it.
async fn read_answer(case: &Case) -> String {
    let (caller, entry) = duplex(case.pipe);
    let unwritten = Unwritten::default();
    let guarded = Guarded::new(entry, Conflict::default(), Readings::default(), unwritten.clone());
    let (events, broken) = (case.events, case.broken);
    let service = service_fn(move |_| {
        let unwritten = unwritten.clone();
        async move { Ok::<_, Infallible>(ready_answer(events, broken, unwritten).await) }
    });
    let server = http1::Builder::new().serve_connection(TokioIo::new(guarded), service);
    let (mut reader, mut writer) = tokio::io::split(caller);
    let asks = writer.write_all(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    let mut read = Vec::new();
    let reads = async {
        asks.await.expect("asked");
        reader.read_to_end(&mut read).await.expect("read");
    };
    // The server ends with an error where the answer breaks off.
    let _ = tokio::join!(async { server.await.is_ok() }, reads);
    String::from_utf8(read).expect("text")
}

async fn ready_answer(events: usize, broken: bool, unwritten: Unwritten) -> Reply {
    let (sender, receiver) = mpsc::channel(events + 1);
    for at in 0..events {
        let event = Bytes::from(format!("event {at};"));
        sender.send(Ok(event)).await.expect("room");
    }
    if broken {
        sender.send(Err(Broken)).await.expect("room");
    }
    let mut body = ReplyBody::stream(receiver);
    body.watch(unwritten);
    Response::new(body)
}
