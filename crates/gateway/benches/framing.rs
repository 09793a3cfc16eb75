//! Measures what following the framing of a connection costs.
//! Run it with `cargo bench -p mothplank-gateway --bench framing`.
//!
//! It prints the time in which a body of 4 MB is copied out of reads of 64 KiB, with and without being
//! followed, and the same of small requests.

#![allow(clippy::print_stdout)] // It is a program that prints.

use std::hint::black_box;
use std::time::{Duration, Instant};

use gateway::guard::Framing;

const BODY_BYTES: usize = 4 << 20;

const READ_BYTES: usize = 64 << 10;

const ROUNDS: u32 = 400;

struct Case {
    name: &'static str,
    text: Vec<u8>,
}

fn cases() -> [Case; 3] {
    let body = vec![b'a'; BODY_BYTES];
    let head = "POST /a HTTP/1.1\r\nHost: a\r\n";
    let length = format!("{head}Content-Length: {BODY_BYTES}\r\n\r\n");
    let mut chunks = format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
    for chunk in body.chunks(READ_BYTES) {
        chunks.extend(format!("{:x}\r\n", chunk.len()).bytes());
        chunks.extend(chunk);
        chunks.extend(b"\r\n");
    }
    chunks.extend(b"0\r\n\r\n");
    let small = format!("{head}X-A: b\r\nContent-Length: 0\r\n\r\n").repeat(1_000);
    [
        Case { name: "a length", text: [length.as_bytes(), &body].concat() },
        Case { name: "chunks", text: chunks },
        Case { name: "1,000 small requests", text: small.into_bytes() },
    ]
}

/// Returns the mean time in which all reads of a text are copied.
fn measure(text: &[u8], follows: bool) -> Duration {
    let mut buffer = vec![0; READ_BYTES];
    let begun = Instant::now();
    for _ in 0..ROUNDS {
        let mut framing = Framing::default();
        for read in text.chunks(READ_BYTES) {
            buffer[..read.len()].copy_from_slice(black_box(read));
            if follows {
                framing.push(&buffer[..read.len()]);
            }
        }
        black_box(&framing);
    }
    begun.elapsed() / ROUNDS
}

fn main() {
    // `cargo test --all-targets` also runs this program, but without the argument.
    if !std::env::args().any(|it| it == "--bench") {
        return;
    }
    for Case { name, text } in cases() {
        let (without, with) = (measure(&text, false), measure(&text, true));
        println!("{name}: {without:?} without, {with:?} with");
    }
}
