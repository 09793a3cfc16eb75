//! Selects the control member to follow next.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

/// The backoff after a member's first failure.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// The maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// The number of failures that double the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

#[derive(Debug)]
struct Member {
    address: SocketAddr,
    failures: u32,
    /// The time until which other members are preferred.
    avoid_until: Option<Instant>,
    /// The time until which the member is not tried at all.
    blocked_until: Option<Instant>,
}

/// The members in order of preference, and the backoff of each.
#[derive(Debug)]
pub struct MemberSelector {
    members: Vec<Member>,
}

impl MemberSelector {
    /// Creates a selector; `members` lists those of this site first.
    pub fn new(members: &[SocketAddr]) -> Self {
        let member = |address: &SocketAddr| Member {
            address: *address,
            failures: 0,
            avoid_until: None,
            blocked_until: None,
        };
        Self { members: members.iter().map(member).collect() }
    }

    /// Returns the member to try next and how long to wait before. Selects the first member that is
    /// not to be avoided, otherwise the one that may be tried soonest. Returns `None` without
    /// members.
    pub fn next(&self, now: Instant) -> Option<(SocketAddr, Duration)> {
        let remaining = |until: Option<Instant>| {
            until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
        };
        if let Some(available) = self.members.iter().find(|it| remaining(it.avoid_until).is_zero())
        {
            return Some((available.address, Duration::ZERO));
        }
        // The first of several equal waits is selected, which keeps the order of preference.
        let soonest = self.members.iter().min_by_key(|it| remaining(it.blocked_until))?;
        Some((soonest.address, remaining(soonest.blocked_until)))
    }

    /// Avoids a member for a backoff that doubles with each consecutive failure.
    ///
    /// The backoff is randomized: when a member dies, all its entries notice it at once and would
    /// otherwise reconnect at once.
    pub fn failed(&mut self, address: SocketAddr, now: Instant, rng: &mut impl Rng) {
        let Some(member) = self.members.iter_mut().find(|it| it.address == address) else {
            return;
        };
        let backoff = MIN_BACKOFF * 2_u32.pow(member.failures.min(MAX_BACKOFF_DOUBLINGS));
        let jitter = rng.random_range(0.5..1.0);
        member.avoid_until = Some(now + backoff.min(MAX_BACKOFF).mul_f64(jitter));
        member.blocked_until = member.avoid_until;
        member.failures += 1;
    }

    /// Prefers other members to one that announced that it drains.
    ///
    /// The full backoff of a failure would be too long here. When an operator restarts all members
    /// one after the other, each of them sends its entries away, and an entry would wait for
    /// seconds without a session although all members are up again.
    pub fn drained(&mut self, address: SocketAddr, now: Instant) {
        if let Some(member) = self.members.iter_mut().find(|it| it.address == address) {
            member.avoid_until = Some(now + MAX_BACKOFF);
            member.blocked_until = Some(now + MIN_BACKOFF);
        }
    }

    /// Clears the failures of a member that confirmed a quorum.
    pub fn confirmed(&mut self, address: SocketAddr) {
        if let Some(member) = self.members.iter_mut().find(|it| it.address == address) {
            member.failures = 0;
            member.avoid_until = None;
            member.blocked_until = None;
        }
    }
}
