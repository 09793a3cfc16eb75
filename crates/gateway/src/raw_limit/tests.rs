//! What a connection may bring of a response.

use tokio::io::AsyncReadExt;

use super::*;

/// How far a response has come before its bytes are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No request was sent.
    None,
    /// The head is awaited.
    Head,
    /// The head has come.
    Body,
}

struct Case {
    name: &'static str,
    phase: Phase,
    bytes: usize,
    /// How much of each thousand bytes is data, which is handed out as it comes.
    data: usize,
    exceeded: bool,
}

const ALLOWED: usize = MAX_BYTES as usize;
const AHEAD: usize = MAX_AHEAD as usize;

const fn case(name: &'static str, phase: Phase, bytes: usize, exceeded: bool) -> Case {
    Case { name, phase, bytes, data: 0, exceeded }
}

const CASES: &[Case] = &[
    case("a head", Phase::Head, ALLOWED - 1, false),
    case("a head without end", Phase::Head, ALLOWED, true),
    case("no request", Phase::None, 4 * ALLOWED, false),
    case("framing", Phase::Body, AHEAD - 1, false),
    case("framing without end", Phase::Body, AHEAD, true),
    Case { data: 1_000, ..case("a body", Phase::Body, 64 * ALLOWED, false) },
    Case { data: 600, ..case("a body in small chunks", Phase::Body, 64 * ALLOWED, false) },
    Case { data: 300, ..case("more framing than data", Phase::Body, 64 * ALLOWED, true) },
    Case { data: 300, ..case("a short body in tiny chunks", Phase::Body, ALLOWED, false) },
];

/// Guards against reading interim responses or framing without end, and against failing a long body.
#[tokio::test]
async fn only_bytes_that_bring_no_data_are_bounded() {
    for Case { name, phase, bytes, data, exceeded } in CASES {
        let limit = RawLimit::default();
        if *phase != Phase::None {
            limit.begin();
        }
        if *phase == Phase::Body {
            limit.begin_body();
        }
        let sent = vec![0; *bytes];
        let mut stream =
            RawLimited::new(tokio::io::join(sent.as_slice(), tokio::io::sink()), limit.clone());
        let mut part = vec![0; 1_000];
        let error = loop {
            match stream.read(&mut part).await {
                Ok(0) => break None,
                Ok(read) => limit.record_data(read * data / 1_000),
                Err(error) => break Some(error),
            }
        };
        assert_eq!(error.is_some(), *exceeded, "{name}: {error:?}");
        assert_eq!(limit.is_exceeded(), *exceeded, "{name}");
    }
}

/// Guards against a connection that is used on after data that arrived before its bound was exceeded.
#[test]
fn what_is_exceeded_stays_so() {
    let limit = RawLimit::default();
    limit.begin();
    limit.begin_body();
    assert!(!limit.take(AHEAD));
    limit.record_data(AHEAD);
    assert!(limit.is_exceeded() && !limit.take(1));
}

/// Guards against counting the bytes of earlier responses on a kept connection.
#[tokio::test]
async fn each_request_counts_anew() {
    let limit = RawLimit::default();
    for _ in 0..3 {
        limit.begin();
        assert!(limit.take(ALLOWED - 1));
        limit.begin_body();
        assert!(limit.take(AHEAD - 1));
    }
    limit.begin();
    assert!(!limit.take(ALLOWED));
}
