//! Chooses the entries that own sections, by what all entries know of each other's VMs.
//!
//! An owner batches the pieces of all entries, so its processor and its link bound a whole section.
//! Where VMs differ, only the most capable ones are candidates. The choice depends on the list of
//! entries alone: entries that hold the same list agree, whichever VMs they run on. Two entries
//! that disagreed would be two owners of the same upstreams that don't know of each other's calls.

use std::net::SocketAddr;

use registry::{Capacity, EntryInfo};

use crate::place::score;
use crate::section::{LinkRate, Section};

/// The part of the most processor time and link that a candidate must have. VMs of the same size
/// announce slightly different values where the processor time is measured.
const CANDIDATE_SHARE: f64 = 0.9;

/// Which of the listed entries are candidates to own sections.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidates {
    /// What an entry that announced nothing counts as.
    usual: Capacity,
    most: Capacity,
    /// The least strength of a candidate.
    least: f64,
    link: LinkRate,
}

impl Candidates {
    /// Determines the candidates among the entries of a list. `own` is the rate of this entry's
    /// link, which counts where no entry has announced one.
    pub fn among(entries: &[EntryInfo], own: LinkRate) -> Self {
        let usual = Capacity {
            link_kilobits: median(entries.iter().map(|it| it.capacity.link_kilobits)),
            millicores: median(entries.iter().map(|it| it.capacity.millicores)),
        };
        let mut candidates = Self { usual, ..Self::default() };
        let each = || entries.iter().map(|it| candidates.known(it.capacity));
        let most = Capacity {
            link_kilobits: each().map(|it| it.link_kilobits).max().unwrap_or(0),
            millicores: each().map(|it| it.millicores).max().unwrap_or(0),
        };
        candidates.most = most;
        let strengths = entries.iter().map(|it| candidates.strength(it.capacity));
        candidates.least = strengths.fold(0.0, f64::max) * CANDIDATE_SHARE;
        let admitted = entries.iter().filter(|it| candidates.admits(it.capacity));
        let links = admitted.map(|it| candidates.known(it.capacity).link_kilobits);
        let least = links.min().filter(|it| *it > 0);
        candidates.link = least.map_or(own, LinkRate::from_kilobits);
        candidates
    }

    /// Returns the least rate that the link of a candidate has.
    pub fn link(&self) -> LinkRate {
        self.link
    }

    /// Returns whether an entry with this capacity is a candidate.
    pub fn admits(&self, capacity: Capacity) -> bool {
        self.strength(capacity) >= self.least
    }

    /// Returns the owner of a section among these entries: a candidate, else another entry; in the
    /// section's failure domain, else in another one; the first by hash of the section.
    pub fn first<'a>(
        &self,
        section: &Section,
        entries: impl Iterator<Item = &'a EntryInfo>,
    ) -> Option<SocketAddr> {
        let rank = self.rank(section);
        entries.max_by_key(|it| rank(it)).map(|it| it.address)
    }

    /// Returns whether an entry is the owner of a section among itself and these others.
    pub fn is_first<'a>(
        &self,
        section: &Section,
        entry: &EntryInfo,
        mut others: impl Iterator<Item = &'a EntryInfo>,
    ) -> bool {
        let rank = self.rank(section);
        let own = rank(entry);
        others.all(|it| rank(it) < own)
    }

    /// Returns the rank of entries for a section; the highest owns it.
    fn rank(&self, section: &Section) -> impl Fn(&EntryInfo) -> (bool, bool, u64) {
        let key = score(0, &section.service);
        let key = section.domain.as_ref().map_or(key, |it| score(key, it));
        move |it| {
            let near = section.domain.as_deref().is_none_or(|domain| domain == it.domain);
            (self.admits(it.capacity), near, score(key, &it.address.to_string()))
        }
    }

    /// Returns a capacity with what is usual in place of what is not known.
    fn known(&self, capacity: Capacity) -> Capacity {
        let or = |value, usual| if value == 0 { usual } else { value };
        Capacity {
            link_kilobits: or(capacity.link_kilobits, self.usual.link_kilobits),
            millicores: or(capacity.millicores, self.usual.millicores),
        }
    }

    /// Returns what part an entry has of the most processor time and link, whichever is less.
    fn strength(&self, capacity: Capacity) -> f64 {
        let known = self.known(capacity);
        let part = |value: u32, most: u32| match most {
            0 => 1.0,
            _ => f64::from(value) / f64::from(most),
        };
        let link = part(known.link_kilobits, self.most.link_kilobits);
        link.min(part(known.millicores, self.most.millicores))
    }
}

/// Returns the lower median of the values that are known; 0 if none is.
fn median(values: impl Iterator<Item = u32>) -> u32 {
    let mut known: Vec<u32> = values.filter(|it| *it > 0).collect();
    known.sort_unstable();
    known.get(known.len().saturating_sub(1) / 2).copied().unwrap_or(0)
}
