//! Decides which pieces can no longer be made while their result is of use.

use std::time::Duration;

use tokio::time::Instant;

use super::account::Account;
use super::order::Standing;
use super::{Piece, Queue, RANKS};

/// After this time without a late piece, an overload has ended.
const OVERLOAD_MEMORY: Duration = Duration::from_secs(1);

/// How long an overload is expected to go on at the most.
const MAX_HORIZON: Duration = Duration::from_secs(2);

/// The longest wait that is computed; all longer ones are as hopeless.
const MAX_WAIT_S: f64 = 3_600.0;

/// What a piece lacks that cannot be made before its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lack {
    /// The upstreams' time.
    Time,
    /// Space for its result.
    Space,
}

impl Lack {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Time => "time",
            Self::Space => "space",
        }
    }
}

/// Since when pieces have been late.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Overload(Option<(Instant, Instant)>);

impl Overload {
    /// Records whether pieces are late now.
    fn record(&mut self, late: bool, now: Instant) {
        let known = self.0.filter(|it| now.saturating_duration_since(it.1) < OVERLOAD_MEMORY);
        self.0 = match known {
            Some((since, _)) if late => Some((since, now)),
            None if late => Some((now, now)),
            other => other,
        };
    }

    /// Returns how long it is expected to go on: as long as it has lasted.
    pub(super) fn horizon(self, now: Instant) -> Duration {
        let lasted = self.0.map_or(Duration::ZERO, |it| now.saturating_duration_since(it.0));
        lasted.min(MAX_HORIZON)
    }
}

/// Returns after how many seconds the work `ahead` is done at a `rate` per second while more work
/// that goes first arrives for `horizon` seconds.
pub(super) fn wait(ahead: f64, rate: f64, arriving: f64, horizon: f64) -> f64 {
    if ahead <= 0.0 {
        return 0.0;
    }
    let spare = rate - arriving;
    let during = if spare > 0.0 { ahead / spare } else { f64::INFINITY };
    let after = (ahead + arriving * horizon) / rate.max(f64::MIN_POSITIVE);
    if during <= horizon { during } else { after.min(MAX_WAIT_S) }
}

/// What is known of the capacity for the pieces that wait.
struct Prospect {
    now: Instant,
    /// When the next upstream becomes idle.
    start: Instant,
    /// The pieces that all upstreams make in one turn, and the time that it takes.
    turn: (usize, Duration),
    /// The time of a call of one piece.
    call: Duration,
    /// The bytes that one upstream has for results.
    total: u64,
    /// The free bytes, and the bytes released in a second if that is known.
    space: (u64, Option<f64>),
    /// The pieces and bytes that arrive in a second and go before late pieces of each rank.
    arriving: [(f64, f64); RANKS],
    horizon: f64,
}

impl Prospect {
    /// Returns what a piece with a result of `size` bytes lacks that has the given pieces and bytes
    /// `ahead` of it. If it is `late`, others that arrive go before it.
    fn lack(&self, piece: &Piece, late: bool, ahead: (usize, u64), size: u64) -> Option<Lack> {
        if size > self.total {
            return Some(Lack::Space);
        }
        let (ahead, bytes) = (ahead.0, ahead.1 + size);
        let rank = usize::from(piece.rank).min(RANKS - 1);
        let (pieces, arriving) = if late { self.arriving[rank] } else { (0.0, 0.0) };
        let rate = self.turn.0 as f64 / self.turn.1.as_secs_f64().max(0.001);
        let mut turns = (ahead / self.turn.0) as u32;
        if late && ahead >= self.turn.0 {
            let seconds = wait(ahead as f64, rate, pieces, self.horizon);
            turns = turns.max((seconds / self.turn.1.as_secs_f64().max(0.001)) as u32);
        }
        if self.start + self.turn.1 * turns + self.call > piece.deadline {
            return Some(Lack::Time);
        }
        let (free, released) = self.space;
        let missing = bytes.saturating_sub(free);
        let released = released.filter(|_| missing > 0)?;
        let seconds = wait(missing as f64, released, arriving, self.horizon);
        let start = self.now + Duration::from_secs_f64(seconds);
        (start + self.call > piece.deadline).then_some(Lack::Space)
    }
}

impl Queue {
    /// Removes and returns the pieces that cannot be completed before their deadline, by the
    /// measured rates of time and space of the `upstreams`, because of the pieces ahead of them.
    /// Otherwise, in a long burst, late requests wait in vain until their callers leave, although
    /// the callers could have retried, and the results made for them are wasted.
    ///
    /// Pieces that can be in time go before late ones also if they arrive later, so late pieces
    /// are given up if no capacity is left beside these arrivals.
    pub fn take_infeasible(&mut self, upstreams: usize, now: Instant) -> Vec<(Piece, Lack)> {
        self.tick(now);
        if upstreams == 0 || self.waiting.is_empty() {
            return Vec::new();
        }
        let standings = self.sort_by_urgency(upstreams, now);
        self.overload.record(standings.iter().any(|it| it.is_late()), now);
        let prospect = self.prospect(upstreams, now);
        let (mut ahead, mut bytes) = (0, 0);
        let mut lacks = Vec::new();
        let (sizes, total) = (&self.sizes, self.spec.space_bytes);
        let mut standings = standings.into_iter();
        let infeasible = |piece: &mut Piece| {
            let size = sizes.expected(piece.result_bytes, total);
            let late = standings.next().is_some_and(Standing::is_late);
            let lack = prospect.lack(piece, late, (ahead, bytes), size);
            match lack {
                Some(lack) => lacks.push(lack),
                None => {
                    ahead += 1;
                    bytes += size;
                }
            }
            lack.is_some()
        };
        let pieces: Vec<Piece> = self.waiting.extract_if(.., infeasible).collect();
        pieces.iter().for_each(|it| self.forget_begun(it.job));
        pieces.into_iter().zip(lacks).collect()
    }

    fn prospect(&self, upstreams: usize, now: Instant) -> Prospect {
        let slowdown = self.total_slowdown(now);
        let busy = self.states.values().filter_map(|it| it.busy_until);
        let start = match busy.clone().count() >= upstreams {
            true => busy.min().unwrap_or(now).max(now),
            false => now,
        };
        Prospect {
            now,
            start,
            turn: (
                upstreams * self.spec.batch.max(1),
                self.nominal_time(self.spec.batch).mul_f64(slowdown),
            ),
            call: self.nominal_time(1),
            total: self.spec.space_bytes,
            space: (self.free_space(upstreams), self.release_rate(upstreams)),
            arriving: std::array::from_fn(|rank| self.arrivals.rates(rank, now)),
            horizon: self.overload.horizon(now).as_secs_f64(),
        }
    }

    /// Returns by which factor all upstreams together are slower than announced.
    fn total_slowdown(&self, now: Instant) -> f64 {
        let speed: f64 = self.states.values().map(|it| 1.0 / it.slowdown(now).max(0.1)).sum();
        if self.states.is_empty() { 1.0 } else { self.states.len() as f64 / speed }
    }

    /// Returns the slowdown of the fastest upstream.
    pub(super) fn least_slowdown(&self, now: Instant) -> f64 {
        let least = self.states.values().map(|it| it.slowdown(now)).min_by(f64::total_cmp);
        least.unwrap_or(1.0)
    }

    /// Returns the bytes that are free at all of the `upstreams`. One without a state is empty.
    pub(super) fn free_space(&self, upstreams: usize) -> u64 {
        let space = self.spec.space_bytes;
        let unused = upstreams.saturating_sub(self.states.len()) as u64 * Account::usable(space);
        let Some(clock) = self.clock else { return unused };
        self.states.values().map(|it| it.account.free(space, clock)).sum::<u64>() + unused
    }

    /// Returns the bytes that all of the `upstreams` release in a second while they are full, from
    /// the measured time for which results are stored.
    pub(super) fn release_rate(&self, upstreams: usize) -> Option<f64> {
        let hold = self.hold.seconds()?;
        let call = self.call_time.unwrap_or_else(|| self.nominal_time(self.spec.batch));
        let space = (Account::usable(self.spec.space_bytes) * upstreams as u64) as f64;
        Some(space / (hold + call.as_secs_f64()).max(0.001))
    }
}
