//! Follows the framing of the requests on a connection, without I/O: which bytes are heads, and which are
//! bodies.
//!
//! Heads are parsed by the parser beneath the HTTP library, and chunks are told apart as the library does.
//! Bytes of bodies are only counted.

use std::mem::{self, MaybeUninit};
use std::str;

use httparse::{Header, ParserConfig, Request, Status};

use super::chunks::{Chunk, Step};

/// The largest number of header lines of a head, as in the HTTP library.
const MAX_HEADERS: usize = 100;

const CONTENT_LENGTH: &str = "content-length";
const TRANSFER_ENCODING: &str = "transfer-encoding";

/// Follows a series of reads.
#[derive(Debug, Default)]
pub struct Framing {
    sound: u64,
    state: State,
    /// The bytes of a head whose end has not been read.
    part: Vec<u8>,
    end: HeadEnd,
}

/// What the next byte belongs to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// A head.
    #[default]
    Head,
    /// A body with this number of bytes left.
    Body(u64),
    /// A body in chunks.
    Chunks(Chunk),
    /// Unknown: a head or a chunk was not sound. No later request is one that the caller is known to have
    /// made.
    Lost,
}

impl Framing {
    /// Takes the bytes of a read.
    pub fn push(&mut self, bytes: &[u8]) {
        let mut rest = bytes;
        while !rest.is_empty() {
            rest = match self.state {
                State::Head => self.push_head(rest),
                State::Body(left) => self.push_body(rest, left),
                State::Chunks(chunk) => self.push_chunks(rest, chunk),
                State::Lost => return,
            };
        }
    }

    /// Returns how many heads were sound, up to the first one that was not.
    pub fn sound(&self) -> u64 {
        self.sound
    }

    /// Returns whether a head or a body was not sound, so that nothing after it is.
    pub fn is_lost(&self) -> bool {
        self.state == State::Lost
    }

    /// Takes the bytes of a head, and returns those after it.
    fn push_head<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let Some(length) = self.end.find(bytes) else {
            self.part.extend_from_slice(bytes);
            return &[];
        };
        let (last, rest) = bytes.split_at(length);
        self.end = HeadEnd::default();
        let mut part = mem::take(&mut self.part);
        let head = match part.is_empty() {
            true => last,
            false => {
                part.extend_from_slice(last);
                &part
            }
        };
        let body = body_after(head);
        self.sound += u64::from(body.is_some());
        self.state = body.unwrap_or(State::Lost);
        rest
    }

    fn push_body<'a>(&mut self, bytes: &'a [u8], left: u64) -> &'a [u8] {
        let taken = left.min(bytes.len() as u64);
        self.state = match left - taken {
            0 => State::Head,
            left => State::Body(left),
        };
        &bytes[taken as usize..]
    }

    fn push_chunks<'a>(&mut self, bytes: &'a [u8], chunk: Chunk) -> &'a [u8] {
        let (mut chunk, mut rest) = (chunk, bytes);
        while !rest.is_empty() {
            let (step, after) = chunk.take(rest);
            rest = after;
            match step {
                Step::Next(next) => chunk = next,
                Step::End => {
                    self.state = State::Head;
                    return rest;
                }
                Step::Invalid => {
                    self.state = State::Lost;
                    return &[];
                }
            }
        }
        self.state = State::Chunks(chunk);
        rest
    }
}

/// Finds the end of a head: the first empty line after one that is not.
#[derive(Clone, Copy, Debug)]
struct HeadEnd {
    /// Whether a line that is not empty has begun.
    begun: bool,
    /// Whether the line is empty so far.
    empty: bool,
}

impl Default for HeadEnd {
    fn default() -> Self {
        Self { begun: false, empty: true }
    }
}

impl HeadEnd {
    /// Returns the number of bytes up to the end, if it is among them.
    fn find(&mut self, bytes: &[u8]) -> Option<usize> {
        for (at, byte) in bytes.iter().enumerate() {
            match byte {
                b'\n' if self.begun && self.empty => return Some(at + 1),
                b'\n' => self.empty = true,
                b'\r' => {}
                _ => (self.begun, self.empty) = (true, false),
            }
        }
        None
    }
}

/// Returns what follows a head. Returns `None` if the head is refused by the HTTP library, or if it gives
/// its body two lengths, also in a spelling that a lenient reader takes for them.
fn body_after(head: &[u8]) -> Option<State> {
    let mut headers = [const { MaybeUninit::<Header<'_>>::uninit() }; MAX_HEADERS];
    let mut request = Request::new(&mut []);
    let parsed =
        ParserConfig::default().parse_request_with_uninit_headers(&mut request, head, &mut headers);
    if parsed != Ok(Status::Complete(head.len())) {
        return None;
    }
    let has_like = |name| request.headers.iter().any(|it| is_like(it.name, name));
    if has_like(CONTENT_LENGTH) && has_like(TRANSFER_ENCODING) {
        return None;
    }
    let values = |name: &'static str| {
        let named = request.headers.iter().filter(move |it| it.name.eq_ignore_ascii_case(name));
        named.map(|it| it.value)
    };
    if let Some(encoding) = values(TRANSFER_ENCODING).next_back() {
        let is_chunked = request.version == Some(1) && ends_chunked(encoding);
        return is_chunked.then(|| State::Chunks(Chunk::default()));
    }
    let mut lengths = values(CONTENT_LENGTH).map(length);
    match lengths.next() {
        None => Some(State::Head),
        Some(first) if lengths.all(|it| it == first) => Some(match first? {
            0 => State::Head,
            length => State::Body(length),
        }),
        Some(_) => None,
    }
}

/// Returns whether a header name is this one, or looks like it to a reader that takes underscores for
/// hyphens.
fn is_like(name: &str, known: &str) -> bool {
    let lenient = |it: u8| if it == b'_' { b'-' } else { it.to_ascii_lowercase() };
    name.bytes().map(lenient).eq(known.bytes())
}

/// Returns whether the last encoding in a value is the chunked one.
fn ends_chunked(value: &[u8]) -> bool {
    let last = value.rsplit(|it| *it == b',').next().unwrap_or_default();
    last.trim_ascii().eq_ignore_ascii_case(b"chunked")
}

fn length(value: &[u8]) -> Option<u64> {
    let digits = value.iter().all(u8::is_ascii_digit).then_some(value)?;
    str::from_utf8(digits).ok()?.parse().ok()
}
