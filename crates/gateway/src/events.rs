//! Splits a stream into whole events, so that none is ever passed on in part.

use bytes::{Bytes, BytesMut};

/// What ends an event.
const END: &[u8] = b"\n\n";

/// The field with an event's number.
const ID: &[u8] = b"id:";

/// One event as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its number, if it has one.
    pub id: Option<u64>,
    /// Its bytes, with the blank line that ends it.
    pub bytes: Bytes,
}

/// Collects bytes and gives out whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    seen: usize,
}

impl Splitter {
    /// Takes bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Gives the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let from = self.seen.saturating_sub(1);
        let found = self.buffer[from..].windows(END.len()).position(|it| it == END);
        let Some(at) = found else {
            self.seen = self.buffer.len();
            return None;
        };
        let bytes = self.buffer.split_to(from + at + END.len()).freeze();
        self.seen = 0;
        Some(Event { id: id_of(&bytes), bytes })
    }

    /// Whether bytes of an unfinished event are left.
    pub fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Drops the bytes of an unfinished event.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.seen = 0;
    }
}

fn id_of(event: &[u8]) -> Option<u64> {
    let line = event.split(|it| *it == b'\n').find(|line| line.starts_with(ID))?;
    std::str::from_utf8(&line[ID.len()..]).ok()?.trim().parse().ok()
}
