//! Splits a stream into whole events, so that no event is ever forwarded in part.

use bytes::{Bytes, BytesMut};

/// The bytes that end an event.
const EVENT_END: &[u8] = b"\n\n";

/// The name of the field with an event's number.
const ID_FIELD: &[u8] = b"id:";

/// One event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The number of the event, if it has one.
    pub id: Option<u64>,
    /// The bytes as received, including the blank line that ends the event.
    pub bytes: Bytes,
}

/// Buffers bytes and returns whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanned: usize,
}

impl EventSplitter {
    /// Appends bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes the next whole event from the buffer, and returns it.
    pub fn next_event(&mut self) -> Option<Event> {
        let from = self.scanned.saturating_sub(1);
        let found = self.buffer[from..].windows(EVENT_END.len()).position(|it| it == EVENT_END);
        let Some(at) = found else {
            self.scanned = self.buffer.len();
            return None;
        };
        let bytes = self.buffer.split_to(from + at + EVENT_END.len()).freeze();
        self.scanned = 0;
        Some(Event { id: id_of(&bytes), bytes })
    }

    /// Returns how many bytes are buffered.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether bytes of an unfinished event are left.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Drops the bytes of an unfinished event.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.scanned = 0;
    }
}

fn id_of(event: &[u8]) -> Option<u64> {
    let line = event.split(|it| *it == b'\n').find(|line| line.starts_with(ID_FIELD))?;
    std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?.trim().parse().ok()
}
