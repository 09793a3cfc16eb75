//! Commands that change something, where the answer is 503 and says more or less clearly what happened.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

struct Case {
    name: &'static str,
    body: &'static str,
    /// The exit code: 5 for "not run", 6 for "unknown".
    code: i32,
}

/// Starts a stand-in of a member that answers each request with 503 and `body`. Returns its address, and how
/// many requests it got.
fn spawn(body: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&requests);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut reader = BufReader::new(stream.unwrap());
            let mut length = 0;
            loop {
                let mut line = String::new();
                reader.read_line(&mut line).unwrap();
                let line = line.trim().to_lowercase();
                if let Some(text) = line.strip_prefix("content-length: ") {
                    length = text.parse().unwrap();
                }
                if line.is_empty() {
                    break;
                }
            }
            reader.read_exact(&mut vec![0; length]).unwrap();
            counted.fetch_add(1, Ordering::SeqCst);
            let size = body.len();
            let answer = format!("HTTP/1.1 503 X\r\ncontent-length: {size}\r\n\r\n{body}");
            reader.into_inner().write_all(answer.as_bytes()).unwrap();
        }
    });
    (address, requests)
}

/// Guards against a command that tells its operator "not run", and is sent again although it may run once,
/// where no answer states that it did not run: only the outcome in the body does.
#[test]
fn only_a_stated_outcome_is_not_run() {
    let cases = [
        Case { name: "not run", body: r#"{"outcome": "not-run", "detail": "no leader"}"#, code: 5 },
        Case { name: "unknown", body: r#"{"outcome": "unknown", "detail": "lost"}"#, code: 6 },
        Case { name: "no outcome", body: r#"{"detail": "busy"}"#, code: 6 },
        Case { name: "another outcome", body: r#"{"outcome": "accepted"}"#, code: 6 },
        Case { name: "no JSON", body: "<html>away</html>", code: 6 },
        Case { name: "no body", body: "", code: 6 },
    ];
    let mut wrong = Vec::new();
    for case in cases {
        let (address, requests) = spawn(case.body);
        let status = Command::new(env!("CARGO_BIN_EXE_mothplank"))
            .args(["init", "--within-ms", "900", "--control", &address.to_string()])
            .env("MOTHPLANK_TOKEN", "token")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .status()
            .unwrap();
        let sent = requests.load(Ordering::SeqCst);
        let is_repeated = sent > 1;
        if status.code() != Some(case.code) || is_repeated != (case.code == 5) {
            wrong.push(format!("{}: {status}, sent {sent} times", case.name));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}
