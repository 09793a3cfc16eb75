//! The limits of one call.

use std::time::{Duration, Instant};

/// The default for the maximum size of a response in bytes.
const MAX_RESPONSE_BYTES: u64 = 8 << 20;

/// The default for the pause within a response after which a call counts as silent. The 95th
/// percentile of the time between two tokens of an engine is 64 ms.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// The limits of one call.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The deadline of the call.
    pub deadline: Instant,
    /// The time without a first byte of the response after which the call counts as silent.
    pub first_byte: Duration,
    /// The time without a further byte after which the call counts as silent.
    pub idle: Duration,
    /// The maximum size of the response in bytes.
    pub max_bytes: u64,
}

impl Limits {
    /// Creates limits with the default size and pause.
    pub fn new(deadline: Instant, first_byte: Duration) -> Self {
        Self { deadline, first_byte, idle: MAX_PAUSE, max_bytes: MAX_RESPONSE_BYTES }
    }
}
