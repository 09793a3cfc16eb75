//! What an entry was told of requests that are not sent.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{Held, QuarantineList};
use crate::digest::RequestDigest;
use crate::message::Stamp;

/// For how long what the leader before had told counts beside the first lists of the next, which learns it
/// from the entries.
const HANDOVER: Duration = Duration::from_secs(2);

/// What becomes of a request that has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It is sent as any other.
    Free,
    /// It is sent; the leader wants to hear if it runs to its end.
    Watched,
    /// It is not sent for so long.
    Held(Duration),
    /// It may be sent once, with the leader's leave.
    Due,
}

/// What an entry was told.
#[derive(Clone, Debug, Default)]
pub struct Known {
    stamp: Stamp,
    held: HashMap<RequestDigest, (Held, Instant)>,
    watched: HashSet<RequestDigest>,
    /// What the leader before had told, and until when it counts.
    before: HashMap<RequestDigest, (Held, Instant)>,
    handover: Option<Instant>,
}

impl Known {
    /// Takes a list; returns whether it is newer than the last.
    pub fn take(&mut self, list: &QuarantineList, now: Instant) -> bool {
        if list.stamp <= self.stamp {
            return false;
        }
        if list.stamp.term > self.stamp.term {
            self.before = std::mem::take(&mut self.held);
            self.handover = Some(now + HANDOVER);
        }
        if self.handover.is_none_or(|it| it <= now) {
            self.before.clear();
        }
        self.stamp = list.stamp;
        self.held = list.held.iter().map(|it| (it.digest, (*it, now))).collect();
        self.watched = list.watched.iter().copied().collect();
        true
    }

    /// Whether nothing is suspected.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty() && self.before.is_empty() && self.watched.is_empty()
    }

    /// How many requests are held.
    pub fn count(&self) -> usize {
        self.held.len()
    }

    /// Tells what becomes of a request.
    pub fn standing(&self, digest: &RequestDigest, now: Instant) -> Standing {
        match self.find(digest, now) {
            Some((held, heard)) => match held.left(now.saturating_duration_since(*heard)) {
                Duration::ZERO => Standing::Due,
                left => Standing::Held(left),
            },
            None if self.watched.contains(digest) => Standing::Watched,
            None => Standing::Free,
        }
    }

    fn find(&self, digest: &RequestDigest, now: Instant) -> Option<&(Held, Instant)> {
        let counts = self.handover.is_some_and(|it| now < it);
        let before = || self.before.get(digest).filter(|_| counts);
        self.held.get(digest).or_else(before)
    }

    /// The number of the trial that an entry may make.
    pub fn trial(&self, digest: &RequestDigest, entry: SocketAddr) -> Option<u32> {
        let trial = self.held.get(digest)?.0.trial?;
        (trial.entry == entry).then_some(trial.number)
    }

    /// What is held, for a leader that has just begun.
    pub fn held(&self, now: Instant) -> Vec<Held> {
        let left = |held: &Held, heard: Instant| {
            held.left(now.saturating_duration_since(heard)).as_millis() as u64
        };
        let counts = self.handover.is_some_and(|it| now < it);
        let before = self.before.iter().filter(|it| counts && !self.held.contains_key(it.0));
        let all = self.held.values().chain(before.map(|it| it.1));
        all.map(|(it, heard)| Held { left_ms: left(it, *heard), ..*it }).collect()
    }
}
