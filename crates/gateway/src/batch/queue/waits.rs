//! How long pieces wait in a queue, as its owner tells the entries.

use std::time::Duration;

use tokio::time::Instant;

use super::feasible::wait;
use super::{EFFICIENCY, Piece, Queue, RANKS};

/// The longest wait that is told.
const MAX_WAIT_S: f64 = 60.0;

/// Work of admitted requests whose pieces are expected but have not arrived, by rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BookedWork {
    /// The number of pieces.
    pub pieces: [u32; RANKS],
    /// The size of their results in bytes.
    pub bytes: [u64; RANKS],
}

/// The work that arrives and goes before a piece.
#[derive(Clone, Copy, Debug, Default)]
struct Arriving {
    /// The pieces in a second.
    pieces: f64,
    /// The bytes of their results in a second.
    bytes: f64,
    /// For how long, in seconds.
    horizon: f64,
}

impl Queue {
    /// Returns, for each rank, how long a piece that is late is expected to wait behind the pieces of its rank
    /// and of those before it, including `booked` ones: for the calls of these, or for space for
    /// their results and one large one, whichever is longer. While an overload goes on, pieces of these
    /// ranks that can be in time arrive and go before it as well. If they did not count, it would be admitted, wait, and be
    /// given up.
    pub fn backlog(
        &self,
        upstreams: usize,
        booked: &BookedWork,
        now: Instant,
    ) -> [Duration; RANKS] {
        let horizon = self.overload.horizon(now).as_secs_f64();
        let arriving = |rank| {
            let (pieces, bytes) = self.arrivals.rates(rank, now);
            Arriving { pieces, bytes, horizon }
        };
        self.waits_by_rank(upstreams, booked, arriving, |_| true)
    }

    /// Like [`backlog`](Self::backlog), but for a piece that can still be on time: late pieces of its rank go
    /// after it and do not count, nor do those of its rank that arrive later. If they did, requests that would
    /// be on time would be refused after a burst for as long as late ones wait.
    pub fn timely_backlog(
        &self,
        upstreams: usize,
        booked: &BookedWork,
        now: Instant,
    ) -> [Duration; RANKS] {
        let end = self.batch_end(now);
        let horizon = self.overload.horizon(now).as_secs_f64();
        let arriving = |rank: usize| {
            let (pieces, bytes) =
                rank.checked_sub(1).map_or((0.0, 0.0), |it| self.arrivals.rates(it, now));
            Arriving { pieces, bytes, horizon }
        };
        self.waits_by_rank(upstreams, booked, arriving, |it| it.due > end)
    }

    fn waits_by_rank(
        &self,
        upstreams: usize,
        booked: &BookedWork,
        arriving: impl Fn(usize) -> Arriving,
        counts_in_rank: impl Fn(&Piece) -> bool,
    ) -> [Duration; RANKS] {
        let mut work = *booked;
        // What counts for later ranks alone.
        let mut passed = BookedWork::default();
        for piece in &self.waiting {
            let rank = usize::from(piece.rank).min(RANKS - 1);
            let work = if counts_in_rank(piece) { &mut work } else { &mut passed };
            work.pieces[rank] += 1;
            work.bytes[rank] += self.expected_size(piece.result_bytes);
        }
        let call = self.nominal_time(self.spec.batch).as_secs_f64();
        let rate = upstreams.max(1) as f64 * self.spec.batch as f64 / call.max(0.001) * EFFICIENCY;
        let free = self.free_space(upstreams);
        let released = self.release_rate(upstreams.max(1));
        let largest = self.largest.map_or(0, |it| it.0);
        let (mut before, mut bytes) = (0, 0);
        std::array::from_fn(|rank| {
            before += u64::from(work.pieces[rank]);
            bytes += work.bytes[rank];
            let missing = (bytes + largest).saturating_sub(free);
            let arriving = arriving(rank);
            let time = wait(before as f64, rate, arriving.pieces, arriving.horizon);
            // Without work ahead, the space is not short for long.
            let space = released
                .filter(|_| bytes > 0)
                .map_or(0.0, |it| wait(missing as f64, it, arriving.bytes, arriving.horizon));
            before += u64::from(passed.pieces[rank]);
            bytes += passed.bytes[rank];
            Duration::from_secs_f64(time.max(space).min(MAX_WAIT_S))
        })
    }

    /// Returns the time that a piece needs even if it goes first: one call at the present call
    /// time, and the wait until the next of the `upstreams` becomes idle.
    pub fn min_latency(&self, upstreams: usize) -> Duration {
        let call = self.call_time.unwrap_or_else(|| self.nominal_time(1));
        call + call / upstreams.max(1) as u32
    }
}
