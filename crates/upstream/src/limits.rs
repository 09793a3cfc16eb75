//! The limits of one call.

use std::time::{Duration, Instant};

/// The default for the maximum size of a response in bytes.
const MAX_RESPONSE_BYTES: u64 = 8 << 20;

/// The default for the longest pause within a response. The 95th percentile of the time between two
/// tokens of an engine is 64 ms; a pause of fifteen times that is not normal.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// The limits of one call.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The deadline of the call.
    pub deadline: Instant,
    /// The timeout of the first byte of the response, after which the connection counts as silent.
    pub first_byte: Duration,
    /// The timeout of each further byte.
    pub idle: Duration,
    /// The maximum size of the response in bytes.
    pub max_bytes: u64,
}

impl Limits {
    /// Creates limits with the default size and idle timeout.
    pub fn new(deadline: Instant, first_byte: Duration) -> Self {
        Self { deadline, first_byte, idle: IDLE_TIMEOUT, max_bytes: MAX_RESPONSE_BYTES }
    }
}
