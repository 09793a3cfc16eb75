//! What this entry may send to an upstream that is cold or names a limit.

use std::net::SocketAddr;
use std::sync::{Arc, MutexGuard, PoisonError};

use tokio::time::Instant;
use types::Rate;

use super::Upstream;
use crate::cold::ColdGate;
use crate::limit::{self, LimitChange, LimitGate};
use crate::quota::{EntryList, Sharing};

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

    /// Takes the limit that an answer names, if it names one, to a request that was sent at `sent`.
    pub(crate) fn record_limit(&self, named: Option<Rate>, sent: Instant) {
        let change = self.limit().record_answer(named, sent, Instant::now());
        self.log_change(named, change, "answer");
    }

    /// Takes the limit of which another entry tells.
    pub(crate) fn take_limit_news(&self, named: Rate) {
        let change = self.limit().take_news(named, Instant::now());
        self.log_change(Some(named), change, "another entry");
    }

    fn log_change(&self, named: Option<Rate>, change: Option<LimitChange>, source: &str) {
        let Some(change) = change else { return };
        log::info!(upstream:% = self.id, service:% = self.service, source,
            limit = named.map(|it| it.0), sent = change.sent,
            ms = change.lasted.as_millis() as u64; "the limit that an upstream names has changed");
    }

    /// Returns the limit that the upstream named last; `None` if it names none.
    pub fn limit_named(&self) -> Option<Rate> {
        self.limit().named()
    }

    /// Returns whether this entry may send it a request now.
    pub fn has_room(&self, now: Instant) -> bool {
        self.has_cold_room(now)
            && self.with_limit(|it, by| it.room(by, now)).is_none_or(|it| it > 0)
    }

    /// Returns when this entry may send it a request; `None` if it may now.
    pub fn next_room(&self, now: Instant) -> Option<Instant> {
        let limited = self.with_limit(|it, by| it.next_room(by, now));
        self.cold().next_room(now).max(limited)
    }

    /// Counts a request that is sent now, if the upstream has room for it; returns whether it has.
    pub fn claim_room(&self, now: Instant) -> bool {
        let has_room = self.has_room(now);
        if has_room {
            self.record_sent(now);
        }
        has_room
    }

    /// Counts a request that is sent now.
    pub(crate) fn record_sent(&self, now: Instant) {
        self.cold().record_sent(1, now);
        self.limit().record_sent(now);
    }

    /// Returns the limit that keeps this entry from sending a request now, if another entry may have
    /// room left under it.
    pub(crate) fn borrowable_limit(&self, now: Instant) -> Option<Rate> {
        let limit = self.with_limit(|it, by| it.borrowable(by, now));
        limit.filter(|_| self.has_cold_room(now))
    }

    /// Records that no other entry has lent its room.
    pub(crate) fn record_no_loan(&self, now: Instant) {
        self.limit().record_no_loan(now);
    }

    /// Returns the other entries that have a share under the limit.
    pub(crate) fn limit_holders(&self, named: Rate) -> Vec<SocketAddr> {
        self.entries.load().holders(self.id_hash, limit::quota(named))
    }

    /// Returns how many pieces the owner of its section may send it now; `None` for any number.
    pub fn owner_room(&self, now: Instant) -> Option<u32> {
        let may_call = self.limit().owner_room(now).is_none_or(|it| it > 0);
        if may_call { self.cold().owner_room(now) } else { Some(0) }
    }

    /// Counts a call with pieces that its owner sends now.
    pub fn record_call(&self, pieces: u32, now: Instant) {
        self.cold().record_sent(pieces, now);
        self.limit().record_sent(now);
    }

    fn has_cold_room(&self, now: Instant) -> bool {
        self.cold().room(now).is_none_or(|it| it > 0)
    }

    fn with_limit<T>(&self, act: impl FnOnce(&mut LimitGate, Sharing<'_>) -> T) -> T {
        let entries: Arc<EntryList> = self.entries.load_full();
        act(&mut self.limit(), Sharing { entries: &entries, key: self.id_hash })
    }

    fn cold(&self) -> MutexGuard<'_, ColdGate> {
        self.cold.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn limit(&self) -> MutexGuard<'_, LimitGate> {
        self.limit.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
