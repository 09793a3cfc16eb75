//! The entries among which the burst is divided.
//!
//! Entries that see different lists must not take more than the whole together. So an entry counts all that
//! were listed in the last hour: those that are gone from its list may be cut off, and use their shares. A
//! share that grows, and that of a process that starts again, holds only once the retries that were
//! sent before have left the window.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::quota::EntryHash;

/// How long an entry that is no longer listed keeps its share.
const ABSENT_SHARE_TIME: Duration = Duration::from_secs(3_600);

/// How long the smaller of two shares holds, in windows: one, and the time that lists may take to arrive.
const HOLD_WINDOWS: f64 = 1.5;

/// How many entries hold the burst at most once an equal share is less than one retry.
const MAX_LENDERS: usize = 8;

/// The key by which all entries rank themselves alike.
const RANK_KEY: u64 = 0;

/// Whether a process may have had predecessors that have sent retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// The whole deployment starts for the first time.
    First,
    /// It may have run before.
    Again,
}

/// The position of an entry among those that it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Place {
    entries: usize,
    rank: usize,
}

impl Place {
    /// Returns the share of `burst` retries: an equal one while that is a whole retry, else the whole among
    /// a few entries that lend it to the others.
    fn share(self, burst: f64) -> f64 {
        match lenders(burst, self.entries) {
            count if count == self.entries => burst / self.entries as f64,
            count if self.rank < count => burst / count as f64,
            _ => 0.0,
        }
    }
}

/// Returns how many of `entries` hold the burst.
fn lenders(burst: f64, entries: usize) -> usize {
    match burst / entries as f64 >= 1.0 {
        true => entries,
        false => (burst as usize).clamp(1, MAX_LENDERS).min(entries),
    }
}

/// The order of the entries, the same at all of them.
type Rank = (u64, EntryHash);

fn rank(address: SocketAddr) -> Rank {
    EntryHash::from(address).rank(RANK_KEY)
}

/// An entry that is listed, or was.
#[derive(Clone, Copy, Debug)]
struct Listed {
    rank: Rank,
    /// When it was on a list last.
    last: Instant,
}

/// What an entry knows of the entries of its deployment.
#[derive(Debug)]
pub(super) struct Roster {
    own: SocketAddr,
    start: Start,
    started: Instant,
    hold: Duration,
    own_rank: Rank,
    listed: HashMap<SocketAddr, Listed>,
    /// The places since the start of the hold time, and from when on each holds.
    places: VecDeque<(Instant, Place)>,
    /// The other entries that are listed now, the first in rank first.
    others: Vec<SocketAddr>,
}

impl Roster {
    pub(super) fn new(own: SocketAddr, start: Start, window: Duration, now: Instant) -> Self {
        Self {
            own,
            own_rank: rank(own),
            start,
            started: now,
            hold: window.mul_f64(HOLD_WINDOWS),
            listed: HashMap::new(),
            places: VecDeque::new(),
            others: Vec::new(),
        }
    }

    /// Takes a list of the entries.
    pub(super) fn learn(&mut self, addresses: impl Iterator<Item = SocketAddr>, now: Instant) {
        for address in &self.others {
            // Those that are gone now were listed until now.
            self.listed.entry(*address).and_modify(|it| it.last = now);
        }
        let mut others: Vec<(Rank, SocketAddr)> = Vec::new();
        for address in addresses.filter(|it| *it != self.own) {
            let known = self.listed.entry(address);
            let known = known.or_insert_with(|| Listed { rank: rank(address), last: now });
            known.last = now;
            others.push((known.rank, address));
        }
        others.sort_unstable();
        self.others = others.into_iter().map(|it| it.1).collect();
        self.listed.retain(|_, it| now < it.last + ABSENT_SHARE_TIME);
        let before = self.listed.values().filter(|it| it.rank < self.own_rank).count();
        let place = Place { entries: self.listed.len() + 1, rank: before };
        if self.places.back().is_none_or(|it| it.1 != place) {
            self.places.push_back((now, place));
        }
    }

    /// Returns whether retries of a process before this one may still count.
    pub(super) fn is_new(&self, now: Instant) -> bool {
        self.start == Start::Again && now < self.started + self.hold
    }

    /// Returns this entry's share of `burst` retries: the least that it had within the hold time.
    pub(super) fn share(&mut self, burst: f64, now: Instant) -> f64 {
        while self.places.get(1).is_some_and(|it| it.0 + self.hold <= now) {
            self.places.pop_front();
        }
        if self.is_new(now) || self.places.is_empty() {
            return 0.0;
        }
        self.places.iter().map(|it| it.1.share(burst)).fold(f64::INFINITY, f64::min)
    }

    /// Returns the number of entries that have a share.
    pub(super) fn entries(&self) -> usize {
        self.listed.len() + 1
    }

    /// Returns the other entries that hold the burst.
    pub(super) fn lenders(&self, burst: f64) -> Vec<SocketAddr> {
        let count = lenders(burst, self.entries());
        self.others.iter().copied().take(count).collect()
    }
}
