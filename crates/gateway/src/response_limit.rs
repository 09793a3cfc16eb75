//! Bounds what a response of an upstream may bring, without I/O.
//!
//! The bytes of a response may have no end, and small frames cost far more processor time than
//! their bytes warrant. A response beyond a bound is cut, and its connection is closed.

#[cfg(test)]
mod tests;

use std::fmt;

use prometheus::IntCounterVec;

use crate::raw_limit::RawLimit;

/// How much longer than the largest body of a request the response of a plain service may be, in
/// bytes.
const PLAIN_MARGIN_BYTES: usize = 4 << 20;

/// The longest stream of one engine, in bytes: a hundred thousand events of 160 bytes.
const MAX_STREAM_BYTES: usize = 16 << 20;

/// The largest event of a stream, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// The number of frames that may be small.
const SMALL_FRAMES: u64 = 16_384;

/// The mean size of the frames of a response beyond [`SMALL_FRAMES`], in bytes.
const MEAN_FRAME_BYTES: u64 = 32;

/// The same of a stream, whose engine may send each event in a frame of its own.
const MEAN_EVENT_BYTES: u64 = 16;

/// Why a response is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Excess {
    /// Too many bytes came before the end of its head.
    Head,
    /// Its body is too long, or announced to be.
    Length,
    /// Its body comes in too many small frames.
    Frames,
    /// It brings more framing than data.
    Framing,
    /// An event of a stream is too long.
    Event,
}

impl Excess {
    /// Returns the name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Excess::Head => "head too long",
            Excess::Length => "body too long",
            Excess::Frames => "too many small frames",
            Excess::Framing => "too much framing",
            Excess::Event => "event too long",
        }
    }
}

impl fmt::Display for Excess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The bounds of one response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseLimit {
    /// The longest body, in bytes.
    pub bytes: u64,
    /// The mean size of its frames beyond [`SMALL_FRAMES`], in bytes.
    frame_bytes: u64,
    /// The largest event, in bytes.
    event_bytes: usize,
}

impl ResponseLimit {
    /// Returns the bounds of a response that is read whole, of at most this many bytes.
    pub fn whole(bytes: usize) -> Self {
        Self { bytes: bytes as u64, frame_bytes: MEAN_FRAME_BYTES, event_bytes: usize::MAX }
    }

    /// Returns the bounds of a plain service whose callers may send bodies of this many bytes.
    pub fn plain(body_bytes: usize) -> Self {
        Self::whole(body_bytes.saturating_add(PLAIN_MARGIN_BYTES))
    }

    /// Returns the bounds of the stream of an engine.
    pub fn stream() -> Self {
        Self {
            bytes: MAX_STREAM_BYTES as u64,
            frame_bytes: MEAN_EVENT_BYTES,
            event_bytes: MAX_EVENT_BYTES,
        }
    }
}

/// Counts what a response has brought.
#[derive(Clone, Debug)]
pub struct ResponseMeter {
    limit: ResponseLimit,
    /// What bounds the raw bytes of its connection.
    raw: RawLimit,
    bytes: u64,
    frames: u64,
}

impl ResponseMeter {
    /// Creates the meter of a response that has brought nothing yet, on a connection whose raw bytes `raw`
    /// bounds.
    pub fn new(limit: ResponseLimit, raw: RawLimit) -> Self {
        Self { limit, raw, bytes: 0, frames: 0 }
    }

    /// Returns why the response broke off if its connection was cut.
    pub fn cut(&self) -> Option<Excess> {
        self.raw.is_exceeded().then_some(Excess::Framing)
    }

    /// Takes the least length that the head announces.
    ///
    /// # Errors
    /// Returns an error if that is beyond the bound.
    pub fn announce(&self, length: u64) -> Result<(), Excess> {
        if length > self.limit.bytes { Err(Excess::Length) } else { Ok(()) }
    }

    /// Counts a frame of the body.
    ///
    /// # Errors
    /// Returns an error if the response is beyond a bound with it.
    pub fn add(&mut self, bytes: usize) -> Result<(), Excess> {
        self.raw.record_data(bytes);
        self.bytes += bytes as u64;
        self.frames += 1;
        if self.bytes > self.limit.bytes {
            return Err(Excess::Length);
        }
        let frames = SMALL_FRAMES + self.bytes / self.limit.frame_bytes;
        if self.frames > frames { Err(Excess::Frames) } else { Ok(()) }
    }

    /// Takes how many bytes of an event have come that has not ended.
    ///
    /// # Errors
    /// Returns an error if that is beyond the bound.
    pub fn check_event(&self, bytes: usize) -> Result<(), Excess> {
        if bytes > self.limit.event_bytes { Err(Excess::Event) } else { Ok(()) }
    }
}

/// Counts responses that were cut, by cause.
#[derive(Clone, Debug, Default)]
pub(crate) struct CutCounter(Option<IntCounterVec>);

impl CutCounter {
    pub(crate) fn new(counts: &IntCounterVec) -> Self {
        Self(Some(counts.clone()))
    }

    pub(crate) fn record(&self, excess: Excess) {
        if let Some(counts) = &self.0 {
            counts.with_label_values(&[excess.name()]).inc();
        }
    }
}
