//! Divides a quota of requests among the entries, without messages between them.
//!
//! All entries with the same list of entries compute the same shares, which add up to the quota. An
//! entry that is not listed has none. Where there are more entries than the quota has requests, a few
//! entries, which all choose alike, have one request each, and the others may borrow from them.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::place::{mix, score};

/// The hash of an entry's address, the same at every entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryHash(u64);

impl From<SocketAddr> for EntryHash {
    fn from(address: SocketAddr) -> Self {
        Self(score(0, &address.to_string()))
    }
}

impl EntryHash {
    /// Returns the rank of the entry for `key`; the lowest goes first.
    pub fn rank(self, key: u64) -> (u64, Self) {
        (mix(key ^ self.0), self)
    }
}

/// The entries among which quotas are divided.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EntryList {
    own: Option<EntryHash>,
    entries: Vec<(EntryHash, SocketAddr)>,
}

impl EntryList {
    /// Creates the list of the entries at these addresses, as the entry at `own` sees it.
    pub fn new(own: SocketAddr, addresses: impl Iterator<Item = SocketAddr>) -> Self {
        let entries = addresses.map(|it| (it.into(), it)).collect();
        Self { own: Some(own.into()), entries }
    }

    /// Returns how many of `quota` requests this entry may send; `key` chooses the entries that get one
    /// more than others.
    pub fn share(&self, key: u64, quota: u32) -> u32 {
        let Some(own) = self.own else { return 0 };
        if !self.entries.iter().any(|it| it.0 == own) {
            return 0;
        }
        let count = self.entries.len() as u32;
        let (each, rest) = (quota / count, quota % count);
        if rest == 0 {
            return each;
        }
        let own_rank = own.rank(key);
        let before = self.entries.iter().filter(|it| it.0.rank(key) < own_rank).count();
        each + u32::from((before as u32) < rest)
    }

    /// Returns the number of entries.
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// Returns the other entries that have a share of `quota`, in any order.
    pub fn holders(&self, key: u64, quota: u32) -> Vec<SocketAddr> {
        let mut ranked: Vec<_> = self.entries.iter().map(|it| (it.0.rank(key), *it)).collect();
        if (quota as usize) < ranked.len() {
            ranked.select_nth_unstable(quota as usize);
            ranked.truncate(quota as usize);
        }
        let others = ranked.into_iter().filter(|it| Some(it.1.0) != self.own);
        others.map(|it| it.1.1).collect()
    }
}

/// The entries that an entry knows, and the key by which they divide the quota of one upstream.
#[derive(Clone, Copy, Debug)]
pub struct Sharing<'a> {
    /// The entries.
    pub entries: &'a Arc<EntryList>,
    /// The hash of the upstream's id.
    pub key: u64,
}

/// This entry's share of a quota while lists of entries and the quota change: the least one within a
/// hold time. Until that is over, entries with the list before may still use what they had.
#[derive(Debug, Default)]
pub struct HeldShare {
    /// The shares since the start of the hold time, and from when on each holds.
    shares: VecDeque<(Instant, u32)>,
    /// What the newest share was computed from.
    basis: Option<(u32, Arc<EntryList>)>,
}

impl HeldShare {
    /// Returns the share of `quota` at `now`; one that grows counts after `hold`.
    pub fn at(&mut self, quota: u32, sharing: Sharing<'_>, now: Instant, hold: Duration) -> u32 {
        let known = self.basis.as_ref();
        if known.is_none_or(|it| it.0 != quota || !Arc::ptr_eq(&it.1, sharing.entries)) {
            self.shares.push_back((now, sharing.entries.share(sharing.key, quota)));
            self.basis = Some((quota, Arc::clone(sharing.entries)));
        }
        while self.shares.get(1).is_some_and(|it| it.0 + hold <= now) {
            self.shares.pop_front();
        }
        self.shares.iter().map(|it| it.1).min().unwrap_or(0)
    }
}

/// Returns the next `most` moments at which an entry may send one more request, if it may send `share` in
/// each `window` and has `sent` these in the last one.
pub(crate) fn upcoming(
    sent: &VecDeque<Instant>,
    share: u32,
    window: Duration,
    now: Instant,
    most: usize,
) -> Vec<Instant> {
    let share = share as usize;
    if share == 0 {
        return Vec::new();
    }
    let mut moments: Vec<Instant> = Vec::with_capacity(most);
    let free = share.saturating_sub(sent.len());
    let over = sent.len().saturating_sub(share);
    while moments.len() < most {
        let at = moments.len();
        let moment = match at.checked_sub(share) {
            // The request that was sent a window before.
            Some(before) => moments[before] + window,
            None if at < free => now,
            None => sent[over + at - free] + window,
        };
        moments.push(moment.max(now));
    }
    moments
}
