//! Decides whether an entry closes new connections unread because a crowd of callers keeps it from
//! serving those it has.
//!
//! The balancer may hand most new connections to one entry. A caller whose connection is closed before its
//! request is read tries another entry at once; one whose request waits for the processor is late.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// The delay of a due task from which the processor counts as overloaded: a tenth of the time within
/// which callers expect their request to be read.
pub(crate) const MAX_LAG: Duration = Duration::from_millis(100);

/// How many times its share of the work an entry must have to count as crowded. Where all entries are
/// overloaded, closing connections would only move callers around.
const CROWD_FACTOR: u64 = 3;

/// How often the load is looked at.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The load of an entry at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// How late a due task ran.
    pub lag: Duration,
    /// The requests that this entry runs at upstreams.
    pub own: u64,
    /// Those that all entries run; `None` if that is not known.
    pub total: Option<u64>,
    /// The number of entries.
    pub entries: u64,
}

impl Load {
    /// Returns whether new connections are closed unread.
    pub fn is_crowded(&self) -> bool {
        let Some(total) = self.total else { return false };
        let has_others = self.entries > CROWD_FACTOR;
        has_others && self.lag >= MAX_LAG && self.own * self.entries >= total * CROWD_FACTOR
    }
}

/// Whether the entry is crowded now.
#[derive(Debug, Default)]
pub(crate) struct Crowd(AtomicBool);

impl Crowd {
    /// Takes the load; returns whether the entry is crowded, if that has changed.
    pub(crate) fn update(&self, load: &Load) -> Option<bool> {
        let crowded = load.is_crowded();
        (self.0.swap(crowded, Ordering::Relaxed) != crowded).then_some(crowded)
    }

    /// Returns whether new connections are closed unread.
    pub(crate) fn is_crowded(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}
