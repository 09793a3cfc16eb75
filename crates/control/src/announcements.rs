//! The latest announcements of the other members.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use types::{NodeId, VmName};

use crate::protocol::{Announce, ClusterId, EntryStatus};

/// How often a member announces itself.
pub(crate) const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// The maximum age of an announcement that counts as current.
pub(crate) const MAX_ANNOUNCEMENT_AGE: Duration = Duration::from_secs(3);

/// An announcement and the time of its arrival.
#[derive(Clone, Debug)]
pub(crate) struct PeerAnnouncement {
    pub(crate) announce: Announce,
    pub(crate) at: Instant,
    /// The entries that the member last listed.
    entries: Vec<EntryStatus>,
    listed_at: Instant,
}

impl PeerAnnouncement {
    /// Returns whether the announcement is current.
    pub(crate) fn is_fresh(&self) -> bool {
        self.at.elapsed() < MAX_ANNOUNCEMENT_AGE
    }
}

/// The latest announcement of each other member.
#[derive(Default)]
pub(crate) struct PeerAnnouncements {
    latest: Mutex<BTreeMap<VmName, PeerAnnouncement>>,
}

impl PeerAnnouncements {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<VmName, PeerAnnouncement>> {
        self.latest.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an announcement. If it contains no list of entries, the previous list of the same
    /// node stays.
    pub(crate) fn record(&self, mut announce: Announce) {
        let (vm, at) = (announce.vm.clone(), Instant::now());
        let mut latest = self.lock();
        let previous = latest.remove(&vm).filter(|it| it.announce.node == announce.node);
        let (entries, listed_at) = match (announce.entries.take(), previous) {
            (Some(entries), _) => (entries, at),
            (None, Some(previous)) => (previous.entries, previous.listed_at),
            (None, None) => (Vec::new(), at),
        };
        latest.insert(vm, PeerAnnouncement { announce, at, entries, listed_at });
    }

    /// Returns the VM whose data folder has this node id.
    pub(crate) fn vm_of(&self, node: NodeId) -> Option<VmName> {
        let latest = self.lock();
        latest.values().find(|it| it.announce.node == node).map(|it| it.announce.vm.clone())
    }

    /// Returns the latest announcement of every other member.
    pub(crate) fn all(&self) -> Vec<PeerAnnouncement> {
        self.lock().values().cloned().collect()
    }

    /// Returns a cluster to which another member belongs.
    pub(crate) fn cluster(&self) -> Option<ClusterId> {
        self.lock().values().filter(|it| it.is_fresh()).find_map(|it| it.announce.cluster)
    }

    /// Returns the leader that the other members announce in the highest term. A member that is
    /// joining or was removed learns of the leader only in this way.
    pub(crate) fn leader(&self) -> Option<VmName> {
        let latest = self.lock();
        let fresh = latest.values().filter(|it| it.is_fresh() && it.announce.leader.is_some());
        let latest = fresh.max_by_key(|it| it.announce.term)?;
        latest.announce.leader.clone()
    }

    /// Returns the entries that have a session with a member whose announcement is current.
    pub(crate) fn entries(&self) -> Vec<EntryStatus> {
        let latest = self.lock();
        let fresh = latest.values().filter(|it| it.is_fresh());
        fresh.flat_map(with_current_ages).collect()
    }
}

fn with_current_ages(latest: &PeerAnnouncement) -> impl Iterator<Item = EntryStatus> {
    let elapsed_ms = latest.listed_at.elapsed().as_millis() as u64;
    latest.entries.iter().cloned().map(move |mut it| {
        it.age_ms = it.age_ms.map(|age| age.saturating_add(elapsed_ms));
        it
    })
}
