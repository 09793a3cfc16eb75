//! The upstreams that are cold, as the leader reads it from the platform's list.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::message::Stamp;

/// By how much the end of an upstream's cold time must move for entries to be told. The list states
/// remaining times, and reads take different times.
const MIN_CHANGE: Duration = Duration::from_millis(300);

/// An upstream that is slow and tolerates few requests, since it has just started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdUpstream {
    /// The id of its incarnation.
    pub id: String,
    /// How much longer it is cold, in ms.
    pub left_ms: u32,
}

/// The cold upstreams, as the leader sends them to entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdList {
    /// The number of the list.
    pub stamp: Stamp,
    /// The upstreams.
    pub upstreams: Vec<ColdUpstream>,
}

/// When the cold time of each cold upstream ends.
#[derive(Clone, Debug, Default)]
pub(crate) struct ColdEnds {
    pub(crate) stamp: Stamp,
    ends: BTreeMap<String, Instant>,
}

impl ColdEnds {
    /// Takes what was read from the list at `now` in `term`; returns whether entries have to be told.
    pub(crate) fn update(&mut self, read: &[ColdUpstream], term: u64, now: Instant) -> bool {
        let end = |it: &ColdUpstream| now + Duration::from_millis(it.left_ms.into());
        let ends: BTreeMap<String, Instant> =
            read.iter().filter(|it| it.left_ms > 0).map(|it| (it.id.clone(), end(it))).collect();
        let is_new = |(id, end): (&String, &Instant)| {
            self.ends.get(id).is_none_or(|known| *end > *known + MIN_CHANGE)
        };
        let changed = ends.iter().any(is_new) || (self.stamp.term != term && !ends.is_empty());
        if changed {
            let count = if self.stamp.term == term { self.stamp.count + 1 } else { 1 };
            *self = Self { stamp: Stamp { term, count }, ends };
        }
        changed
    }

    /// Returns the list for entries, with the times that are left at `now`.
    pub(crate) fn list(&self, now: Instant) -> ColdList {
        let left = |end: &Instant| end.saturating_duration_since(now).as_millis() as u32;
        let upstreams =
            self.ends.iter().map(|(id, end)| ColdUpstream { id: id.clone(), left_ms: left(end) });
        ColdList { stamp: self.stamp, upstreams: upstreams.filter(|it| it.left_ms > 0).collect() }
    }
}

#[cfg(test)]
mod tests;
