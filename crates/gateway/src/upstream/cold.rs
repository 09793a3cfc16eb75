//! What this entry may send to an upstream while that is cold.

use std::sync::{MutexGuard, PoisonError};

use tokio::time::Instant;

use super::Upstream;
use crate::cold::ColdGate;

impl Upstream {
    /// Marks the upstream as cold until `until`.
    pub fn extend_cold(&self, until: Instant) {
        self.cold().extend(until);
    }

    /// Returns whether the upstream is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold().is_cold(now)
    }

    /// Sets how many requests this entry, and all entries together, may send while it is cold.
    pub fn set_cold_share(&self, share: u32, quota: u32) {
        self.cold().set_share(share, quota);
    }

    /// Returns whether this entry may send it a request now, so far as that depends on its being cold.
    pub fn has_room(&self, now: Instant) -> bool {
        self.cold().room(now).is_none_or(|it| it > 0)
    }

    /// Returns when this entry may send it a request; `None` if it may now.
    pub fn next_room(&self, now: Instant) -> Option<Instant> {
        self.cold().next_room(now)
    }

    /// Counts a request that is sent now, if the upstream has room for it; returns whether it has.
    pub fn claim_room(&self, now: Instant) -> bool {
        let mut cold = self.cold();
        let has_room = cold.room(now).is_none_or(|it| it > 0);
        if has_room {
            cold.record_sent(1, now);
        }
        has_room
    }

    /// Returns how many pieces the owner of its section may send it now; `None` for any number.
    pub fn owner_room(&self, now: Instant) -> Option<u32> {
        self.cold().owner_room(now)
    }

    /// Counts pieces that its owner sends now.
    pub fn record_pieces(&self, count: u32, now: Instant) {
        self.cold().record_sent(count, now);
    }

    fn cold(&self) -> MutexGuard<'_, ColdGate> {
        self.cold.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
