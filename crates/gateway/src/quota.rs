//! Divides a quota of requests among the entries, without messages between them.
//!
//! All entries with the same list of entries compute the same shares, which add up to the quota. An
//! entry that is not listed has none. Where there are more entries than the quota has requests, a few
//! entries, which all choose alike, have one request each, and the others may borrow from them.

use std::net::SocketAddr;

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
