//! Lists of entries and upstreams, as differences between one number and the next.
//!
//! What goes wrong without them: each entry that comes or goes has the whole list sent to every entry.
//! When all come back at once that is the cube of their number, at the leader and on the entries' links.

use std::collections::HashSet;
use std::hash::Hash;

use serde::{Deserialize, Serialize};

use crate::message::{EntrySeen, Stamp, Upstream};

/// Something that is listed under a key; lists are ordered by it.
pub trait Listed: Clone + PartialEq {
    /// The key, unique within a list.
    type Key: Clone + Eq + Hash + Ord;

    /// Returns the key.
    fn key(&self) -> Self::Key;
}

impl Listed for EntrySeen {
    type Key = std::net::SocketAddr;

    fn key(&self) -> Self::Key {
        self.address
    }
}

impl Listed for Upstream {
    type Key = String;

    fn key(&self) -> Self::Key {
        self.id.clone()
    }
}

/// What turns the list of one number into that of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference<T, K> {
    /// The number of the list before.
    pub base: Stamp,
    /// The number of the list after.
    pub stamp: Stamp,
    /// The keys of what is gone.
    pub gone: Vec<K>,
    /// What came or changed.
    pub come: Vec<T>,
}

/// A list and its number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Numbered<T> {
    /// Its number.
    pub stamp: Stamp,
    /// What is listed, ordered by key.
    pub list: Vec<T>,
}

impl<T> Default for Numbered<T> {
    fn default() -> Self {
        Self { stamp: Stamp::default(), list: Vec::new() }
    }
}

impl<T: Listed> Numbered<T> {
    /// Puts a list into its order; of several with one key the first stays.
    pub fn new(stamp: Stamp, list: Vec<T>) -> Self {
        let mut list = list;
        list.sort_by_key(T::key);
        list.dedup_by_key(|it| it.key());
        Self { stamp, list }
    }

    /// What turns this list into `next`.
    pub fn difference(&self, next: &Self) -> Difference<T, T::Key> {
        let kept: HashSet<T::Key> = next.list.iter().map(T::key).collect();
        let gone = self.list.iter().map(T::key).filter(|it| !kept.contains(it)).collect();
        let known = |it: &&T| {
            let at = self.list.binary_search_by_key(&it.key(), T::key);
            at.is_ok_and(|at| self.list[at] == **it)
        };
        let come = next.list.iter().filter(|it| !known(it)).cloned().collect();
        Difference { base: self.stamp, stamp: next.stamp, gone, come }
    }

    /// Gives the list after a difference; `None` where the difference is to another list.
    pub fn apply(&self, difference: Difference<T, T::Key>) -> Option<Self> {
        if difference.base != self.stamp {
            return None;
        }
        let come = difference.come.iter().map(T::key);
        let replaced: HashSet<T::Key> = difference.gone.into_iter().chain(come).collect();
        let kept = self.list.iter().filter(|it| !replaced.contains(&it.key())).cloned();
        let list = kept.chain(difference.come).collect();
        Some(Self::new(difference.stamp, list))
    }
}
