//! What this entry may send to an upstream that is cold, names a limit, is brittle, or asks for a pause.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use types::Rate;

use super::Upstream;
use crate::brittle::{self, BrittleGate, SETTLE_TIME};
use crate::cold::ColdGate;
use crate::limit::{self, LimitChange, LimitGate};
use crate::pause::Pause;
use crate::quota::{EntryList, Sharing};

/// What an upstream has said of the requests that it takes from all entries together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Need {
    /// The requests per second.
    pub limit: Option<Rate>,
    /// The requests per second that it may have to turn away.
    pub brittle: Option<u32>,
}

/// What bounds the requests to an upstream.
#[derive(Debug, Default)]
pub(super) struct Gates {
    cold: Mutex<ColdGate>,
    limit: Mutex<LimitGate>,
    brittle: Mutex<BrittleGate>,
    pause: Mutex<Pause>,
}

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

    /// Takes what an answer says of the upstream's need, to a request that was sent at `sent`.
    pub(crate) fn record_need(&self, need: Need, sent: Instant) {
        let now = Instant::now();
        let change = self.limit().record_answer(need.limit, sent, now);
        self.log_change(need.limit, change, "answer");
        if self.brittle().record_answer(need.brittle, sent, now) {
            log::info!(upstream:% = self.id, service:% = self.service, rejections = need.brittle;
                "how brittle an upstream says that it is has changed");
        }
    }

    /// Takes what another entry tells of the upstream's need.
    pub(crate) fn take_need_news(&self, need: Need) {
        if let Some(named) = need.limit {
            let change = self.limit().take_news(named, Instant::now());
            self.log_change(Some(named), change, "another entry");
        }
        if let Some(named) = need.brittle {
            self.brittle().take_news(named);
        }
    }

    fn log_change(&self, named: Option<Rate>, change: Option<LimitChange>, source: &str) {
        let Some(change) = change else { return };
        log::info!(upstream:% = self.id, service:% = self.service, source,
            limit = named.map(|it| it.0), sent = change.sent,
            ms = change.lasted.as_millis() as u64; "the limit that an upstream names has changed");
    }

    /// Returns what the upstream has said of its need.
    pub(crate) fn need(&self) -> Need {
        Need { limit: self.limit().named(), brittle: self.brittle().named() }
    }

    /// Returns the limit that the upstream named last; `None` if it names none.
    pub fn limit_named(&self) -> Option<Rate> {
        self.limit().named()
    }

    /// Records that the upstream turned a request away for want of room.
    pub(crate) fn record_rejected(&self) {
        self.brittle().record_rejected(Instant::now());
    }

    /// Returns how many requests of this entry the upstream has turned away for want of room.
    pub(crate) fn rejections(&self) -> u64 {
        self.brittle().rejections()
    }

    /// Returns whether this entry may send it a request now.
    pub fn has_room(&self, now: Instant) -> bool {
        self.pause_end(now).is_none() && self.has_cold_room(now) && self.has_shared_room(now)
    }

    /// Returns when this entry may send it a request; `None` if it may now.
    pub fn next_room(&self, now: Instant) -> Option<Instant> {
        let sharing = self.entries.load_full();
        let by = Sharing { entries: &sharing, key: self.id_hash };
        let limited = self.limit().next_room(by, now);
        let brittle = match self.is_full_and_brittle() {
            true => Some(now + SETTLE_TIME),
            false => self.brittle().next_room(by, now),
        };
        self.cold().next_room(now).max(limited).max(brittle).max(self.pause_end(now))
    }

    /// Returns the next `most` moments at which this entry's own shares allow a request; none if it has no
    /// share.
    pub(crate) fn upcoming(&self, now: Instant, most: usize) -> Vec<Instant> {
        let sharing = self.entries.load_full();
        let by = Sharing { entries: &sharing, key: self.id_hash };
        let first = self.next_room(now).unwrap_or(now);
        let cold = self.cold().upcoming(now, most);
        let limited = self.limit().upcoming(by, now, most);
        let counts = [&cold, &limited].into_iter().flatten().map(Vec::len);
        let count = counts.min().unwrap_or(most);
        let moment = |at: usize| {
            let gates = [&cold, &limited].into_iter().flatten().map(|it| it[at]);
            gates.fold(first, Instant::max)
        };
        (0..count).map(moment).collect()
    }

    /// Returns the rate at which an entry may send if all have equal shares of what the upstream takes;
    /// `None` if nothing bounds it.
    pub(crate) fn even_rate(&self, now: Instant) -> Option<Rate> {
        let rates = [self.cold().total_rate(now), self.limit().total_rate()];
        let least = rates.into_iter().flatten().map(|it| it.0).min_by(f64::total_cmp)?;
        Some(Rate(least / self.entries.load().count().max(1) as f64))
    }

    /// Counts a request that is sent now, if the upstream has room for it; returns whether it has.
    pub fn claim_room(&self, now: Instant) -> bool {
        let has_room = self.has_room(now);
        if has_room {
            self.cold().record_sent(1, now);
            self.limit().record_sent(now);
            self.brittle().record_sent(now);
        }
        has_room
    }

    /// Counts a request that another entry sends in this one's place, if there is room for it; returns
    /// whether there is.
    pub(crate) fn lend_room(&self, now: Instant) -> bool {
        let has_room = self.has_room(now);
        if has_room {
            self.cold().record_sent(1, now);
            self.limit().record_sent(now);
            self.brittle().record_lent(now);
        }
        has_room
    }

    /// Records that a request for which this entry lent room was not turned away.
    pub(crate) fn record_settled(&self) {
        self.brittle().record_settled();
    }

    /// Returns the need that keeps this entry from sending a request now, and the other entries that have
    /// a share under it; `None` if it may send one, or no other entry may be asked.
    pub(crate) fn borrowable(&self, now: Instant) -> Option<(Need, Vec<SocketAddr>)> {
        let is_blocked =
            self.pause_end(now).is_some() || !self.has_cold_room(now) || self.is_full_and_brittle();
        if is_blocked || self.has_shared_room(now) || !self.limit().may_borrow(now) {
            return None;
        }
        let need = self.need();
        let limits = [need.limit.map(limit::quota), need.brittle.map(brittle::quota)];
        let quota = limits.into_iter().flatten().min()?;
        Some((need, self.entries.load().holders(self.id_hash, quota)))
    }

    /// Records that no other entry has lent its room.
    pub(crate) fn record_no_loan(&self, now: Instant) {
        self.limit().record_no_loan(now);
    }

    /// Returns how many pieces the owner of its section may send it now; `None` for any number.
    pub fn owner_room(&self, now: Instant) -> Option<u32> {
        let limited = self.limit().owner_room(now) == Some(0);
        let brittle = self.brittle().owner_room(now) == Some(0);
        if limited || brittle || self.pause_end(now).is_some() {
            Some(0)
        } else {
            self.cold().owner_room(now)
        }
    }

    /// Counts a call with pieces that its owner sends now.
    pub fn record_call(&self, pieces: u32, now: Instant) {
        self.cold().record_sent(pieces, now);
        self.limit().record_sent(now);
        self.brittle().record_sent(now);
    }

    fn has_cold_room(&self, now: Instant) -> bool {
        self.cold().room(now).is_none_or(|it| it > 0)
    }

    /// Returns whether this entry has room left under the upstream's need.
    fn has_shared_room(&self, now: Instant) -> bool {
        let entries: Arc<EntryList> = self.entries.load_full();
        let by = Sharing { entries: &entries, key: self.id_hash };
        let limited = self.limit().room(by, now) == Some(0);
        !limited && !self.is_full_and_brittle() && self.brittle().room(by, now) != Some(0)
    }

    /// Returns whether all its slots are used, as far as this entry knows, and it is brittle: it may not
    /// even let requests wait.
    fn is_full_and_brittle(&self) -> bool {
        self.total_running() >= self.slots && self.brittle().named().is_some()
    }

    /// Takes for how long the upstream wants nothing from this entry.
    pub(crate) fn record_pause(&self, asked: Duration) {
        self.pause().record(asked, rand::random(), Instant::now());
        log::info!(upstream:% = self.id, service:% = self.service,
            ms = asked.as_millis() as u64; "an upstream asks for a pause");
    }

    /// Returns when the pause that the upstream has asked for ends; `None` if there is none.
    pub fn pause_end(&self, now: Instant) -> Option<Instant> {
        self.pause().end(now)
    }

    /// Returns how much longer the upstream wants nothing; `None` if it has asked for no pause.
    pub(crate) fn pause_left(&self, now: Instant) -> Option<Duration> {
        Some(self.pause_end(now)?.duration_since(now))
    }

    fn pause(&self) -> MutexGuard<'_, Pause> {
        lock(&self.gates.pause)
    }

    fn cold(&self) -> MutexGuard<'_, ColdGate> {
        lock(&self.gates.cold)
    }

    fn limit(&self) -> MutexGuard<'_, LimitGate> {
        lock(&self.gates.limit)
    }

    fn brittle(&self) -> MutexGuard<'_, BrittleGate> {
        lock(&self.gates.brittle)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
