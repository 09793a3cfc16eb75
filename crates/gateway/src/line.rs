//! Decides who waits for room at the upstreams of a service, and in which order. Time is passed in; there is
//! no I/O.
//!
//! A request waits only if its turn is expected to come while it can still be served; any other is refused
//! at once. Requests of a lower rank go first; among those of one rank the one whose time ends first does,
//! unless another one that waits already would lose its turn by that.

use std::time::Duration;

use tokio::time::Instant;

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Waiter {
    number: u64,
    rank: u8,
    latest: Instant,
}

/// When there is room for the requests that wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pace {
    /// The present moment.
    pub now: Instant,
    /// The next moments at which this entry's own share has room, the earliest first.
    pub own: Vec<Instant>,
    /// The expected time between two loans of room by other entries; zero if nothing is known of it, `None`
    /// if there are none.
    pub loans: Option<Duration>,
}

impl Pace {
    /// Returns when a request is expected to have room that has `ahead` others before it; `None` if never.
    pub fn turn(&self, ahead: usize) -> Option<Instant> {
        let needed = ahead + 1;
        let with_own = |own: usize| {
            let owned = match own {
                0 => self.now,
                _ => *self.own.get(own - 1)?,
            };
            let lent = match needed - own {
                0 => Duration::ZERO,
                count => self.loans? * count as u32,
            };
            Some(owned.max(self.now + lent))
        };
        (0..=needed).filter_map(with_own).min()
    }
}

/// The requests that wait, in the order in which they get room.
#[derive(Clone, Debug, Default)]
pub struct Line {
    waiters: Vec<Waiter>,
    last: u64,
}

impl Line {
    /// Adds a request that must have room by `latest`; returns its number.
    ///
    /// # Errors
    /// Returns when there would be room for one more of its rank, if that is too late for it, or if one that
    /// waits would lose its turn; `None` if never.
    pub fn join(&mut self, rank: u8, latest: Instant, pace: &Pace) -> Result<u64, Option<Instant>> {
        let begin = self.waiters.partition_point(|it| it.rank < rank);
        let end = self.waiters.partition_point(|it| it.rank <= rank);
        let peers = &self.waiters[begin..end];
        let first = begin + peers.iter().position(|it| it.latest > latest).unwrap_or(peers.len());
        let at = (first..=end)
            .take_while(|at| pace.turn(*at).is_some_and(|it| it <= latest))
            .find(|at| self.all_keep_turns(*at, end, pace))
            .ok_or_else(|| pace.turn(end))?;
        self.last += 1;
        self.waiters.insert(at, Waiter { number: self.last, rank, latest });
        Ok(self.last)
    }

    /// Returns whether all of the waiters from `at` to `end` that have a turn in time keep it if one more
    /// goes before them.
    fn all_keep_turns(&self, at: usize, end: usize, pace: &Pace) -> bool {
        let in_time = |turn: usize, it: &Waiter| pace.turn(turn).is_some_and(|at| at <= it.latest);
        let waiters = self.waiters.iter().enumerate().take(end).skip(at);
        waiters.into_iter().all(|(turn, it)| !in_time(turn, it) || in_time(turn + 1, it))
    }

    /// Returns how many wait.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Removes a request.
    pub fn leave(&mut self, number: u64) {
        self.waiters.retain(|it| it.number != number);
    }

    /// Returns how many go before the request.
    pub fn ahead(&self, number: u64) -> usize {
        self.waiters.iter().position(|it| it.number == number).unwrap_or(self.waiters.len())
    }

    /// Returns how many go before a request of `rank` that has just come.
    pub fn ahead_of_rank(&self, rank: u8) -> usize {
        self.waiters.partition_point(|it| it.rank <= rank)
    }
}
