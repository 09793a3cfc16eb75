//! The lines of a server-sent event stream.

use bytes::{Buf, Bytes, BytesMut};

use crate::fault::Fault;

/// The maximum length of a line in bytes.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Splits the data of a body into the `data` lines of events.
#[derive(Debug, Default)]
pub(crate) struct DataLines {
    buf: BytesMut,
}

impl DataLines {
    pub(crate) fn push(&mut self, data: &[u8]) {
        self.buf.extend_from_slice(data);
    }

    /// Returns the data of the next complete `data` line, or `None` until there is one.
    pub(crate) fn next(&mut self) -> Result<Option<Bytes>, Fault> {
        loop {
            let Some(end) = self.buf.iter().position(|b| *b == b'\n') else {
                return if self.buf.len() > MAX_LINE_BYTES {
                    Err(Fault::TooLarge(MAX_LINE_BYTES as u64))
                } else {
                    Ok(None)
                };
            };
            let mut line = self.buf.split_to(end + 1).freeze();
            line.truncate(line.trim_ascii_end().len());
            if line.starts_with(b"data:") {
                line.advance(b"data:".len());
                let blank = line.len() - line.trim_ascii_start().len();
                line.advance(blank);
                return Ok(Some(line));
            }
        }
    }

    /// Returns whether only blank lines are left.
    pub(crate) fn is_empty(&self) -> bool {
        self.buf.trim_ascii().is_empty()
    }
}
