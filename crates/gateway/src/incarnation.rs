//! Tells the incarnations of an upstream apart by their start times.
//!
//! An upstream may start again under the same id. It has then lost all results, and reports a new
//! start time. Without this check, lost results would count as kept, so that the new incarnation
//! gets calls that are not full; and a late answer of the old incarnation would be taken for
//! results that can be fetched.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};

/// The start time of an incarnation, in Unix milliseconds of the upstream's own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StartTime(pub u64);

impl fmt::Display for StartTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for StartTime {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// The incarnation that sent a message, compared with the newest known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Incarnation {
    /// The known one. Also used if the message has no start time, or is the first one that has.
    Current,
    /// A newer one: all knowledge about the previous one is void.
    Newer,
    /// One that has ended: the message is void.
    Ended,
}

/// The start time of the newest known incarnation of an upstream; 0 if none is known.
#[derive(Debug, Default)]
pub struct LatestIncarnation(AtomicU64);

impl LatestIncarnation {
    /// Returns the start time of the newest known incarnation.
    pub fn start_time(&self) -> Option<StartTime> {
        let start_ms = self.0.load(Ordering::Relaxed);
        (start_ms > 0).then_some(StartTime(start_ms))
    }

    /// Compares the start time in a message with the known one, and keeps the newer of them.
    pub fn observe(&self, start_time: Option<StartTime>) -> Incarnation {
        let Some(StartTime(start_ms)) = start_time else { return Incarnation::Current };
        let known = self.0.fetch_max(start_ms, Ordering::Relaxed);
        match start_ms.cmp(&known) {
            _ if known == 0 => Incarnation::Current,
            std::cmp::Ordering::Less => Incarnation::Ended,
            std::cmp::Ordering::Equal => Incarnation::Current,
            std::cmp::Ordering::Greater => Incarnation::Newer,
        }
    }
}
