//! Where streams began: the service and the version of the upstream that sent a stream's first event.
//!
//! A caller that takes an interrupted stream up may come to any entry, and names only the attempt that
//! began it. What two versions of an upstream's software write does not fit together, so the entry has
//! to know the version. The entry that sends a first event tells a few others, its keepers, which every
//! entry finds by the id of the attempt and the list of entries. No leader takes part, and the cost of a
//! stream does not depend on the number of entries. All entries may end at the same moment, so members
//! of the registry keep copies, too.

mod exchange;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use registry::RequestDigest;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use types::SoftwareVersion;

pub use self::exchange::OriginKeeper;
pub(crate) use self::exchange::Origins;
use crate::quota::EntryList;

/// The number of entries that keep an origin, besides the one that sent the first event.
pub const COPIES: usize = 4;

/// The number of entries that are asked for an origin: more than [`COPIES`], since the list of entries
/// may have changed meanwhile.
pub const ASKED: usize = 8;

/// The number of members of the registry that keep an origin besides, so that one may be lost together
/// with all entries.
const MEMBER_COPIES: u32 = 2;

/// The number of members that are asked for an origin.
const MEMBERS_ASKED: u32 = 4;

/// The longest time that an origin is kept.
const MAX_KEPT_TIME: Duration = Duration::from_secs(300);

/// The largest number of origins that an entry keeps.
const MAX_KEPT: usize = 1 << 15;

/// Identifies the attempt that brought a stream's first event, and its customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamKey(RequestDigest);

impl StreamKey {
    /// Returns the key of a customer's attempt.
    pub fn new(customer: &str, attempt: &str) -> Self {
        Self(RequestDigest::of(&[customer.as_bytes(), attempt.as_bytes()]))
    }

    /// Returns the hash by which its keepers are chosen.
    fn hash(self) -> u64 {
        self.0.short()
    }
}

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The service.
    pub service: String,
    /// The version of the upstream's software.
    pub version: SoftwareVersion,
}

/// Returns the entries that keep the origin of a stream, without the asking one.
pub fn keepers(entries: &EntryList, key: StreamKey) -> Vec<SocketAddr> {
    entries.holders(key.hash(), COPIES as u32)
}

/// Returns the entries to ask for the origin of a stream, without the asking one.
pub fn asked(entries: &EntryList, key: StreamKey) -> Vec<SocketAddr> {
    entries.holders(key.hash(), ASKED as u32)
}

/// The processes among which the keepers of origins are chosen.
#[derive(Clone, Debug)]
pub struct Holders {
    /// The entries.
    pub entries: Arc<EntryList>,
    /// The members of the registry.
    pub members: Arc<EntryList>,
}

impl Holders {
    /// Returns the processes that keep the origin of a stream, without the asking one.
    pub fn keepers(&self, key: StreamKey) -> Vec<SocketAddr> {
        let members = self.members.holders(key.hash(), MEMBER_COPIES);
        keepers(&self.entries, key).into_iter().chain(members).collect()
    }

    /// Returns the processes to ask for the origin of a stream, without the asking one.
    pub fn asked(&self, key: StreamKey) -> Vec<SocketAddr> {
        let members = self.members.holders(key.hash(), MEMBERS_ASKED);
        asked(&self.entries, key).into_iter().chain(members).collect()
    }
}

/// The origins that an entry keeps.
#[derive(Debug, Default)]
pub struct OriginTable {
    kept: HashMap<StreamKey, Kept>,
    /// The number of origins at which expired ones are removed next.
    next_sweep: usize,
}

#[derive(Debug)]
struct Kept {
    origin: Origin,
    until: Instant,
}

impl OriginTable {
    /// Keeps an origin for `time`; returns whether there is room for it.
    pub fn keep(&mut self, key: StreamKey, origin: Origin, time: Duration, now: Instant) -> bool {
        if self.kept.len() >= self.next_sweep {
            self.kept.retain(|_, it| it.until > now);
            self.next_sweep = (self.kept.len() * 2).clamp(64, MAX_KEPT);
        }
        if self.kept.len() >= MAX_KEPT && !self.kept.contains_key(&key) {
            return false;
        }
        let until = now + time.min(MAX_KEPT_TIME);
        self.kept.insert(key, Kept { origin, until });
        true
    }

    /// Returns the origin of a stream.
    pub fn get(&self, key: StreamKey, now: Instant) -> Option<&Origin> {
        self.kept.get(&key).filter(|it| it.until > now).map(|it| &it.origin)
    }

    /// Returns the number of origins, of which some may have expired.
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Returns whether it keeps none.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }
}
