//! Bounds what all entries together send to an upstream that names a limit.
//!
//! An upstream in need names in its answers how many requests a second it takes from all entries
//! together. Each entry keeps a share of what the limit allows in a window, and the shares add up to
//! it, so the limit holds without a message between entries, also while the registry has no leader. A
//! share that grows counts only after a window: until then, entries with the list before may still use
//! what they had. An entry whose share is used up borrows from one that has some left.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;
use types::Rate;

use crate::quota::{HeldShare, Sharing, upcoming};

/// The window over which an upstream counts requests.
const COUNTED_WINDOW: Duration = Duration::from_secs(4);

/// The window over which an entry counts them: two requests that are sent this far apart may arrive
/// closer together.
pub const LIMIT_WINDOW: Duration = Duration::from_millis(4_200);

/// How many owners of a section send calls at most, while one replaces the other.
const OWNERS: u32 = 2;

/// How long an entry to which no other one lends its room waits before it asks again.
const BORROW_INTERVAL: Duration = Duration::from_secs(1);

/// How long an entry that was told by an upstream itself that the limit is lifted ignores what others
/// say of it, which may be older.
const NEWS_DELAY: Duration = Duration::from_secs(1);

/// Returns how many requests all entries together may send in a [`LIMIT_WINDOW`]. Without a single one,
/// nobody would hear that the limit is lifted.
pub fn quota(limit: Rate) -> u32 {
    ((limit.0 * COUNTED_WINDOW.as_secs_f64()) as u32).max(1)
}

/// A change of the limit that an upstream names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitChange {
    /// The requests that this entry sent in the last window.
    pub sent: u32,
    /// How long the last limit, or the time without one, lasted.
    pub lasted: Duration,
}

/// The limit that an upstream names, and what this entry sends to it.
#[derive(Debug, Default)]
pub struct LimitGate {
    named: Option<Rate>,
    /// When the limit was first named, or when it was lifted.
    since: Option<Instant>,
    /// When the newest answer with a limit arrived.
    heard: Option<Instant>,
    /// The requests of this entry within the last window, under a limit or not.
    sent: VecDeque<Instant>,
    share: HeldShare,
    /// Until when no other entry is asked for its room.
    borrow_after: Option<Instant>,
}

impl LimitGate {
    /// Takes what an answer, to a request that was sent at `sent`, names at `now`. An answer without a
    /// limit lifts it only if its request was sent after the limit was heard: answers overtake each
    /// other. Returns what changed.
    pub fn record_answer(
        &mut self,
        limit: Option<Rate>,
        sent: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        if limit.is_some() {
            self.heard = Some(now);
        } else if self.heard.is_some_and(|it| sent < it) {
            return None;
        }
        self.change(limit, now)
    }

    /// Takes the limit of which another entry tells at `now`, unless this one knows better.
    pub fn take_news(&mut self, limit: Rate, now: Instant) -> Option<LimitChange> {
        let knows_better = match self.named {
            Some(_) => true,
            None => self.since.is_some_and(|it| now < it + NEWS_DELAY),
        };
        if knows_better {
            return None;
        }
        self.heard = Some(now);
        self.change(Some(limit), now)
    }

    fn change(&mut self, limit: Option<Rate>, now: Instant) -> Option<LimitChange> {
        if self.named == limit {
            return None;
        }
        let since = self.since.replace(now).unwrap_or(now);
        if limit.is_none() || self.named.is_none() {
            self.share = HeldShare::default();
        }
        self.named = limit;
        Some(LimitChange { sent: self.count(now), lasted: now.duration_since(since) })
    }

    /// Counts a request that is sent at `now`.
    pub fn record_sent(&mut self, now: Instant) {
        self.count(now);
        self.sent.push_back(now);
    }

    /// Returns the limit that was named last.
    pub fn named(&self) -> Option<Rate> {
        self.named
    }

    /// Returns how many requests this entry may send at `now`; `None` if there is no limit.
    pub fn room(&mut self, sharing: Sharing<'_>, now: Instant) -> Option<u32> {
        let limit = self.named?;
        let share = self.share(limit, sharing, now);
        Some(share.saturating_sub(self.count(now)))
    }

    /// Returns how many calls the owner of the upstream's section may send at `now`; `None` if there is
    /// no limit. Only its owner sends it pieces.
    pub fn owner_room(&mut self, now: Instant) -> Option<u32> {
        let limit = self.named?;
        Some((quota(limit) / OWNERS).max(1).saturating_sub(self.count(now)))
    }

    /// Returns whether other entries may be asked for their room at `now`.
    pub fn may_borrow(&self, now: Instant) -> bool {
        self.borrow_after.is_none_or(|it| it <= now)
    }

    /// Records that no other entry lent its room at `now`.
    pub fn record_no_loan(&mut self, now: Instant) {
        self.borrow_after = Some(now + BORROW_INTERVAL);
    }

    /// Returns when this entry may send the next request, or ask others for their room; `None` if it may at `now`.
    pub fn next_room(&mut self, sharing: Sharing<'_>, now: Instant) -> Option<Instant> {
        if self.room(sharing, now).is_none_or(|it| it > 0) {
            return None;
        }
        let share = self.share(self.named?, sharing, now) as usize;
        let first = self.sent.len().checked_sub(share.max(1)).and_then(|it| self.sent.get(it));
        let freed = first.filter(|_| share > 0).map(|it| *it + LIMIT_WINDOW);
        let borrowed = self.borrow_after.filter(|it| *it > now).unwrap_or(now + BORROW_INTERVAL);
        Some(freed.map_or(borrowed, |it| it.min(borrowed)))
    }

    /// Returns the next `most` moments at which this entry's own share allows a request; `None` if there is
    /// no limit.
    pub fn upcoming(
        &mut self,
        sharing: Sharing<'_>,
        now: Instant,
        most: usize,
    ) -> Option<Vec<Instant>> {
        let share = self.share(self.named?, sharing, now);
        self.count(now);
        Some(upcoming(&self.sent, share, LIMIT_WINDOW, now, most))
    }

    /// Returns the rate at which all entries together may send; `None` if there is no limit.
    pub fn total_rate(&self) -> Option<Rate> {
        Some(Rate(f64::from(quota(self.named?)) / LIMIT_WINDOW.as_secs_f64()))
    }

    fn share(&mut self, limit: Rate, sharing: Sharing<'_>, now: Instant) -> u32 {
        self.share.at(quota(limit), sharing, now, LIMIT_WINDOW)
    }

    /// Returns how many requests were sent in the window that ends at `now`.
    fn count(&mut self, now: Instant) -> u32 {
        while self.sent.front().is_some_and(|it| *it + LIMIT_WINDOW <= now) {
            self.sent.pop_front();
        }
        self.sent.len() as u32
    }
}
