//! The held requests in the replicated state, which outlasts the processes that found them out.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::MAX_LISTED;
use crate::digest::RequestDigest;

/// A held request, as members store it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// The request, or the part of prompts.
    pub digest: RequestDigest,
    /// How many upstreams had terminated while they ran it.
    pub ends: u32,
    /// How many trials had terminated an upstream.
    pub relapses: u32,
    /// When it may be tried, in Unix ms by the clock of the leader that held it.
    pub until_ms: u64,
}

/// The held requests that members store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holds {
    /// The number of committed changes.
    number: u64,
    held: BTreeMap<RequestDigest, Hold>,
}

impl Holds {
    /// Stores a held request. If there are too many, the one that may be tried first is dropped.
    pub fn hold(&mut self, hold: Hold) {
        self.number += 1;
        self.held.insert(hold.digest, hold);
        if self.held.len() > MAX_LISTED {
            let first = self.held.values().min_by_key(|it| (it.until_ms, it.digest));
            if let Some(digest) = first.map(|it| it.digest) {
                self.held.remove(&digest);
            }
        }
    }

    /// Removes a request that is not held any more.
    pub fn release(&mut self, digest: RequestDigest) {
        self.number += 1;
        self.held.remove(&digest);
    }

    /// Returns the number of committed changes.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns what is stored of a request.
    pub fn get(&self, digest: &RequestDigest) -> Option<&Hold> {
        self.held.get(digest)
    }

    /// Returns all held requests.
    pub fn iter(&self) -> impl Iterator<Item = &Hold> {
        self.held.values()
    }
}
