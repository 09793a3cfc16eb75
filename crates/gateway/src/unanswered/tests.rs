//! Which ends of a connection count as a request without a whole answer.

use std::convert::Infallible;
use std::future;

use bytes::Bytes;
use http::Response;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt, duplex};

use super::*;
use crate::drain::Drain;
use crate::guard::GuardedStream;
use crate::reply::ReplyBody;
use crate::reply::chunks::{self, ChunkSender};
use crate::write_tracker::WriteTracker;

/// What a handler does.
#[derive(Clone, Copy, Debug)]
enum Handler {
    Empty,
    Length,
    /// Streams three events, and an error after them if the field is set.
    Stream(bool),
    /// Streams three events, and says no more.
    Pauses,
    /// Never answers.
    Waits,
}

struct Case {
    name: &'static str,
    method: &'static str,
    handler: Handler,
    /// How many bytes the caller reads before it leaves; `None` for all.
    reads: Option<usize>,
    /// Whether a part had been handed out, if it counts as a request without a whole answer.
    dropped: Option<bool>,
}

const fn case(
    name: &'static str,
    handler: Handler,
    reads: Option<usize>,
    dropped: Option<bool>,
) -> Case {
    Case { name, method: "GET", handler, reads, dropped }
}

const CASES: &[Case] = &[
    case("an empty answer", Handler::Empty, None, None),
    case("an answer with a length", Handler::Length, None, None),
    case("a streamed answer", Handler::Stream(false), None, None),
    Case { method: "HEAD", ..case("an answer without its body", Handler::Length, None, None) },
    Case { method: "HEAD", ..case("a stream's head", Handler::Stream(false), None, None) },
    case("a stream that is cut", Handler::Stream(true), None, Some(true)),
    case("a caller that leaves amid a stream", Handler::Pauses, Some(40), Some(true)),
    case("a caller that leaves before an answer", Handler::Waits, Some(0), Some(false)),
];

impl Handler {
    /// Returns the body, and what keeps a stream open.
    async fn body(self) -> (ReplyBody, Option<ChunkSender>) {
        let (sender, receiver) = chunks::channel(4);
        match self {
            Handler::Empty => return (ReplyBody::whole(Bytes::new()), None),
            Handler::Length => return (ReplyBody::whole(Bytes::from_static(b"an answer")), None),
            Handler::Waits => future::pending::<()>().await,
            Handler::Stream(_) | Handler::Pauses => {
                for _ in 0..3 {
                    let sent = sender.send(Bytes::from_static(b"event;")).await;
                    sent.expect("a receiver");
                }
            }
        }
        let open = match self {
            Handler::Pauses => Some(sender),
            Handler::Stream(false) => {
                sender.finish();
                None
            }
            _ => None,
        };
        (ReplyBody::stream(receiver), open)
    }
}

/// Plays a case, and returns what was dropped.
async fn play(case: &Case) -> Option<Dropped> {
    let (mut caller, entry) = duplex(1 << 16);
    let unanswered = Unanswered::default();
    let (watched, handler) = (unanswered.clone(), case.handler);
    let write_tracker = WriteTracker::default();
    let (heads, reads) = Default::default();
    let stream = GuardedStream::new(entry, heads, reads, write_tracker.clone());
    let opened = Arc::new(Mutex::new(None));
    let service = service_fn(move |request: http::Request<hyper::body::Incoming>| {
        let (mut guard, opened) = (watched.watch(), Arc::clone(&opened));
        let write_tracker = write_tracker.clone();
        guard.set_attempt("a1");
        async move {
            let (mut body, open) = handler.body().await;
            *opened.lock().expect("the sender") = open;
            body.track_writes(write_tracker, Drain::default().track_answer());
            body.watch_answer(guard, request.method());
            Ok::<_, Infallible>(Response::new(body))
        }
    });
    let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let asks = async {
        let ask = format!("{} / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", case.method);
        caller.write_all(ask.as_bytes()).await.expect("asked");
        match case.reads {
            Some(count) => {
                caller.read_exact(&mut vec![0; count]).await.expect("the first bytes");
            }
            None => {
                caller.read_to_end(&mut Vec::new()).await.expect("the answer");
            }
        }
        if case.reads == Some(0) {
            // The handler has begun before its caller leaves.
            tokio::task::yield_now().await;
        }
        drop(caller);
    };
    // The server returns an error if an answer is cut short.
    let _ = tokio::join!(async { served.await.is_ok() }, asks);
    unanswered.take()
}

/// Guards against a line that names whole answers as missing, and against one that doesn't come.
#[tokio::test]
async fn a_request_counts_as_unanswered_only_without_a_whole_answer() {
    for case in CASES {
        let dropped = play(case).await;
        let Case { name, handler, .. } = case;
        assert_eq!(dropped.as_ref().map(|it| it.begun), case.dropped, "{name}, {handler:?}");
        let attempt = dropped.and_then(|it| it.attempt);
        assert_eq!(attempt.as_deref(), case.dropped.map(|_| "a1"), "{name}");
    }
}
