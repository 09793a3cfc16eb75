//! Differences between successive lists of entries and of upstreams.
//!
//! Without them, each entry that connects or disconnects would cause the whole list to be sent to every
//! entry. When all n entries connect at once, that traffic grows with n³, at the leader and in sum on
//! the entries' links.

use std::cmp::Ordering;
use std::collections::HashSet;
use std::hash::Hash;

use serde::{Deserialize, Serialize};

use crate::capacity::EntryWithCapacity;
use crate::message::{EntryInfo, Stamp, Upstream};

/// An element of a list that has a key. Lists are ordered by key.
pub trait Listed: Clone + PartialEq + Serialize {
    /// The type of the key. Keys are unique within a list.
    type Key: Clone + Eq + Hash + Ord + Serialize;

    /// Returns the key.
    fn key(&self) -> Self::Key;

    /// Compares the keys of two elements, without a copy of them.
    fn compare(&self, other: &Self) -> Ordering;
}

impl Listed for EntryInfo {
    type Key = std::net::SocketAddr;

    fn key(&self) -> Self::Key {
        self.address
    }

    fn compare(&self, other: &Self) -> Ordering {
        self.address.cmp(&other.address)
    }
}

impl Listed for EntryWithCapacity {
    type Key = std::net::SocketAddr;

    fn key(&self) -> Self::Key {
        self.info().key()
    }

    fn compare(&self, other: &Self) -> Ordering {
        self.info().compare(other.info())
    }
}

impl Listed for Upstream {
    type Key = String;

    fn key(&self) -> Self::Key {
        self.id.clone()
    }

    fn compare(&self, other: &Self) -> Ordering {
        self.id.cmp(&other.id)
    }
}

/// The difference between two lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference<T, K> {
    /// The number of the old list.
    pub base: Stamp,
    /// The number of the new list.
    pub stamp: Stamp,
    /// The keys of the removed elements.
    pub removed: Vec<K>,
    /// The added and changed elements.
    pub updated: Vec<T>,
}

impl<T, K> Difference<T, K> {
    /// Converts the elements.
    pub(crate) fn convert<U: From<T>>(self) -> Difference<U, K> {
        let Self { base, stamp, removed, updated } = self;
        Difference { base, stamp, removed, updated: updated.into_iter().map(U::from).collect() }
    }
}

/// A list with its number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NumberedList<T> {
    /// The number of the list.
    pub stamp: Stamp,
    /// The elements, ordered by key.
    pub list: Vec<T>,
}

impl<T> Default for NumberedList<T> {
    fn default() -> Self {
        Self { stamp: Stamp::default(), list: Vec::new() }
    }
}

impl<T> NumberedList<T> {
    /// Converts the elements, which keep their keys.
    pub(crate) fn convert<U: From<T>>(self) -> NumberedList<U> {
        NumberedList { stamp: self.stamp, list: self.list.into_iter().map(U::from).collect() }
    }
}

impl<T: Listed> NumberedList<T> {
    /// Creates a list, sorted by key; of elements with the same key the first one is kept.
    pub fn new(stamp: Stamp, list: Vec<T>) -> Self {
        let mut list = list;
        list.sort_by(T::compare);
        list.dedup_by(|a, b| a.compare(b).is_eq());
        Self { stamp, list }
    }

    /// Returns the difference from this list to `next`.
    pub fn difference(&self, next: &Self) -> Difference<T, T::Key> {
        let kept: HashSet<T::Key> = next.list.iter().map(T::key).collect();
        let removed = self.list.iter().map(T::key).filter(|it| !kept.contains(it)).collect();
        let known = |it: &&T| {
            let at = self.list.binary_search_by(|known| known.compare(it));
            at.is_ok_and(|at| self.list[at] == **it)
        };
        let updated = next.list.iter().filter(|it| !known(it)).cloned().collect();
        Difference { base: self.stamp, stamp: next.stamp, removed, updated }
    }

    /// Returns this list with a difference applied; `None` if the difference is from another list.
    pub fn apply(&self, difference: Difference<T, T::Key>) -> Option<Self> {
        if difference.base != self.stamp {
            return None;
        }
        let updated = difference.updated.iter().map(T::key);
        let replaced: HashSet<T::Key> = difference.removed.into_iter().chain(updated).collect();
        let kept = self.list.iter().filter(|it| !replaced.contains(&it.key())).cloned();
        let list = kept.chain(difference.updated).collect();
        Some(Self::new(difference.stamp, list))
    }
}
