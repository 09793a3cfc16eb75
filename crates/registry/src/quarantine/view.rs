//! An entry's view of the leader's list of held requests.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{Held, QuarantineList};
use crate::digest::RequestDigest;
use crate::message::Stamp;

/// How long the previous leader's list stays valid beside the first lists of the new leader, which
/// learns the held requests from the entries.
const HANDOVER_TIME: Duration = Duration::from_secs(2);

/// How an entry handles a request that has arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Admission {
    /// It is sent like any other.
    #[default]
    Allowed,
    /// It is sent, and the entry reports to the leader when it completes.
    Watched,
    /// It is not sent for this long.
    Held(Duration),
    /// It may be sent once, if the leader permits it.
    TrialDue,
}

/// The lists that an entry received last.
#[derive(Clone, Debug, Default)]
pub struct QuarantineView {
    stamp: Stamp,
    held: HashMap<RequestDigest, (Held, Instant)>,
    watched: HashSet<RequestDigest>,
    /// The held requests of the previous leader, with the times at which they were received. They are
    /// valid until `handover`.
    previous: HashMap<RequestDigest, (Held, Instant)>,
    handover: Option<Instant>,
}

impl QuarantineView {
    /// Replaces the list; returns `false` if `list` is not newer than the current one.
    pub fn update(&mut self, list: &QuarantineList, now: Instant) -> bool {
        if list.stamp <= self.stamp {
            return false;
        }
        if list.stamp.term > self.stamp.term {
            self.previous = std::mem::take(&mut self.held);
            self.handover = Some(now + HANDOVER_TIME);
        }
        if self.handover.is_none_or(|it| it <= now) {
            self.previous.clear();
        }
        self.stamp = list.stamp;
        self.held = list.held.iter().map(|it| (it.digest, (*it, now))).collect();
        self.watched = list.watched.iter().copied().collect();
        true
    }

    /// Returns whether no request is held or watched.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty() && self.previous.is_empty() && self.watched.is_empty()
    }

    /// Returns how many requests are held.
    pub fn count(&self) -> usize {
        self.held.len()
    }

    /// Returns how a request is handled at `now`.
    pub fn admission(&self, digest: &RequestDigest, now: Instant) -> Admission {
        match self.find(digest, now) {
            Some((held, received)) => match held.left(now.saturating_duration_since(*received)) {
                Duration::ZERO => Admission::TrialDue,
                left => Admission::Held(left),
            },
            None if self.watched.contains(digest) => Admission::Watched,
            None => Admission::Allowed,
        }
    }

    fn find(&self, digest: &RequestDigest, now: Instant) -> Option<&(Held, Instant)> {
        let in_handover = self.handover.is_some_and(|it| now < it);
        let previous = || self.previous.get(digest).filter(|_| in_handover);
        self.held.get(digest).or_else(previous)
    }

    /// Returns the number of the trial that `entry` is permitted to make, if any.
    pub fn trial(&self, digest: &RequestDigest, entry: SocketAddr) -> Option<u32> {
        let trial = self.held.get(digest)?.0.trial?;
        (trial.entry == entry).then_some(trial.number)
    }

    /// Returns the held requests with their remaining times, to report to a new leader.
    pub fn held(&self, now: Instant) -> Vec<Held> {
        let left = |held: &Held, received: Instant| {
            held.left(now.saturating_duration_since(received)).as_millis() as u64
        };
        let in_handover = self.handover.is_some_and(|it| now < it);
        let previous =
            self.previous.iter().filter(|it| in_handover && !self.held.contains_key(it.0));
        let all = self.held.values().chain(previous.map(|it| it.1));
        all.map(|(it, received)| Held { left_ms: left(it, *received), ..*it }).collect()
    }
}
