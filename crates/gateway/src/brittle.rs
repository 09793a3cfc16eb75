//! Bounds how often all entries together are turned away by an upstream that says that it is brittle.
//!
//! A brittle upstream falls over when it has to turn away more requests in a second than it names, and
//! lets fewer wait than usual. A request that is sent to it may be turned away until shortly after it
//! was sent. Each entry has a share of the number named, and counts against it what was turned away
//! and what is still open. An entry without a share borrows: the lender counts the request until the
//! borrower has told that it was not turned away.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::quota::{HeldShare, Sharing};

/// The window in which an upstream counts what it turns away, and some time more: two rejections that
/// are heard this far apart may have happened closer together.
pub const BRITTLE_WINDOW: Duration = Duration::from_millis(1_200);

/// How long after it was sent a request counts as one that may be turned away: many times the way there
/// and back. One that is turned away later counts from then on.
pub const SETTLE_TIME: Duration = Duration::from_millis(100);

/// Returns how many requests all entries together may have turned away in a [`BRITTLE_WINDOW`]. It is
/// half of what the upstream bears, so that entries with two different lists of entries keep it too.
pub fn quota(named: u32) -> u32 {
    (named / 2).max(1)
}

/// What an upstream says of its brittleness, and what this entry risks there.
#[derive(Debug, Default)]
pub struct BrittleGate {
    named: Option<u32>,
    /// When the newest answer that names it arrived.
    heard: Option<Instant>,
    /// When requests were turned away, or room was lent for them, within the last window.
    rejected: VecDeque<Instant>,
    /// When the requests that may still be turned away were sent.
    open: VecDeque<Instant>,
    share: HeldShare,
    /// How many requests of this entry were turned away so far.
    rejections: u64,
}

impl BrittleGate {
    /// Takes what an answer, to a request that was sent at `sent`, says at `now`. As with limits, one that
    /// names nothing counts only if its request was sent after the newest that does. Returns whether the
    /// number named has changed.
    pub fn record_answer(&mut self, named: Option<u32>, sent: Instant, now: Instant) -> bool {
        if named.is_some() {
            self.heard = Some(now);
        } else if self.heard.is_some_and(|it| sent < it) {
            return false;
        }
        std::mem::replace(&mut self.named, named) != named
    }

    /// Takes what another entry tells of an upstream that this one knows nothing of.
    pub fn take_news(&mut self, named: u32) {
        self.named.get_or_insert(named);
    }

    /// Returns the number that was named last.
    pub fn named(&self) -> Option<u32> {
        self.named
    }

    /// Counts a request that is sent at `now`.
    pub fn record_sent(&mut self, now: Instant) {
        self.forget(now);
        self.open.push_back(now);
    }

    /// Counts a request that is turned away at `now`. It was open until then.
    pub fn record_rejected(&mut self, now: Instant) {
        self.forget(now);
        self.open.pop_front();
        self.rejected.push_back(now);
        self.rejections += 1;
    }

    /// Returns how many requests of this entry were turned away so far.
    pub fn rejections(&self) -> u64 {
        self.rejections
    }

    /// Counts room that is lent at `now` as if its request were turned away.
    pub fn record_lent(&mut self, now: Instant) {
        self.forget(now);
        self.rejected.push_back(now);
    }

    /// Records that a request for which room was lent has not been turned away.
    pub fn record_settled(&mut self) {
        self.rejected.pop_back();
    }

    /// Returns how many requests this entry may send at `now`; `None` if the upstream is not brittle.
    pub fn room(&mut self, sharing: Sharing<'_>, now: Instant) -> Option<u32> {
        let share = self.share.at(quota(self.named?), sharing, now, BRITTLE_WINDOW);
        Some(share.saturating_sub(self.risked(now)))
    }

    /// Returns how many calls the owner of the upstream's section may send at `now`; `None` if the
    /// upstream is not brittle.
    pub fn owner_room(&mut self, now: Instant) -> Option<u32> {
        Some(quota(self.named?).saturating_sub(self.risked(now)))
    }

    /// Returns when the next request is no longer at risk; `None` if none is.
    pub fn next_room(&mut self, sharing: Sharing<'_>, now: Instant) -> Option<Instant> {
        if self.room(sharing, now).is_none_or(|it| it > 0) {
            return None;
        }
        let settled = self.open.front().map(|it| *it + SETTLE_TIME);
        let forgotten = self.rejected.front().map(|it| *it + BRITTLE_WINDOW);
        [settled, forgotten].into_iter().flatten().min().or(Some(now + BRITTLE_WINDOW))
    }

    fn risked(&mut self, now: Instant) -> u32 {
        self.forget(now);
        (self.rejected.len() + self.open.len()) as u32
    }

    fn forget(&mut self, now: Instant) {
        while self.open.front().is_some_and(|it| *it + SETTLE_TIME <= now) {
            self.open.pop_front();
        }
        while self.rejected.front().is_some_and(|it| *it + BRITTLE_WINDOW <= now) {
            self.rejected.pop_front();
        }
    }
}
