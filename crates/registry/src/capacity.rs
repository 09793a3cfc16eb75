//! The capacity of an entry's VM, as the entry announces it.

use serde::{Deserialize, Serialize};

use crate::message::EntryInfo;

/// What an entry's VM has of a network link and of processors.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Capacity {
    /// The rate of the network link in kbit/s; 0 if not known.
    pub link_kilobits: u32,
    /// The processor time per second of running time, in thousandths; 0 if not known.
    pub millicores: u32,
}

impl Capacity {
    /// Creates a capacity from the rate of the link in Mbit/s and the number of processors, which
    /// may be a fraction.
    pub fn new(link_megabits: f64, cores: f64) -> Self {
        let thousandths = |it: f64| (it * 1e3).round() as u32;
        Self { link_kilobits: thousandths(link_megabits), millicores: thousandths(cores) }
    }

    /// Returns whether the rate of the link or the processor time is known.
    pub fn is_known(self) -> bool {
        self != Self::default()
    }
}

/// An entry with its capacity, as it is sent to peers that can read the capacity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryWithCapacity {
    info: EntryInfo,
    capacity: Capacity,
}

impl From<EntryInfo> for EntryWithCapacity {
    fn from(info: EntryInfo) -> Self {
        let capacity = info.capacity;
        Self { info, capacity }
    }
}

impl From<EntryWithCapacity> for EntryInfo {
    fn from(entry: EntryWithCapacity) -> Self {
        Self { capacity: entry.capacity, ..entry.info }
    }
}

impl EntryWithCapacity {
    /// Returns the entry.
    pub fn info(&self) -> &EntryInfo {
        &self.info
    }
}

/// What a list from a member has of each entry.
pub(crate) trait EntryElement {
    /// Returns what the list would have of an entry that is known from elsewhere.
    fn of(entry: &EntryInfo) -> Self;
}

impl EntryElement for EntryInfo {
    /// A member that sends no capacities knows none: what another one told may be outdated, and
    /// other entries don't have it.
    fn of(entry: &EntryInfo) -> Self {
        Self { capacity: Capacity::default(), ..entry.clone() }
    }
}

impl EntryElement for EntryWithCapacity {
    fn of(entry: &EntryInfo) -> Self {
        entry.clone().into()
    }
}

/// The capacities of the entries in a list, in its order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapacityList(Vec<Capacity>);

impl CapacityList {
    /// Returns the capacities of these entries.
    pub fn of(entries: &[EntryInfo]) -> Self {
        Self(entries.iter().map(|it| it.capacity).collect())
    }

    /// Sets the capacities of these entries, which must be those in the order of the list.
    pub fn fill(&self, entries: &mut [EntryInfo]) {
        for (entry, capacity) in entries.iter_mut().zip(&self.0) {
            entry.capacity = *capacity;
        }
    }
}
