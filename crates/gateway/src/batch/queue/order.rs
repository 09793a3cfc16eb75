//! Decides in which order pieces are made.
//!
//! Each piece goes by the latest moment at which its result serves its caller: when it is due, or, if that
//! can't be met, its deadline. All that can be made by then are, and the one whose moment comes first goes
//! first. Where the calls until then don't suffice for all, the lower rank has the first claim, and
//! within a rank what can be in time. A late piece follows these at once: it does not wait for its last moment
//! so that those of higher ranks are in time.

use std::cmp::Reverse;
use std::collections::HashSet;
use std::ops::Range;
use std::time::Duration;

use tokio::time::Instant;

use super::{JobKey, Piece, RANKS};
use crate::dialect::PieceInput;

/// The number of turns that are told apart; later ones count as the last.
const MAX_TURNS: usize = 48;

/// The calls that the upstreams can make from now on: in each turn, one at each of them.
#[derive(Clone, Copy, Debug)]
pub(super) struct Capacity {
    /// When the first turn ends.
    pub(super) end: Instant,
    /// How long each turn takes.
    pub(super) turn: Duration,
    /// The pieces made in a turn.
    pub(super) pieces: usize,
    /// The pieces of each rank and those before it that arrive in a second and can be in time.
    pub(super) arriving: [f64; RANKS],
    /// For how long they are expected to arrive: as long as an overload is expected to last.
    pub(super) horizon: Duration,
}

impl Capacity {
    /// Returns how many pieces of ranks before `rank` are expected to arrive by the end of a turn.
    fn arrivals_before(&self, rank: u8, turn: usize) -> i64 {
        let before = usize::from(rank).min(RANKS - 1).checked_sub(1);
        let rate = before.map_or(0.0, |it| self.arriving[it]);
        let time = (self.turn * (turn as u32 + 1)).min(self.horizon);
        (rate * time.as_secs_f64()) as i64
    }
}

/// How a piece stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Standing {
    /// Others of its job were sent; their results take space until the last one is made.
    Begun,
    /// It can be made by this turn, when it is due.
    Timely(usize),
    /// It can be made while its caller waits, in this turn.
    Late(usize),
    /// There is no call for it in its time.
    Hopeless,
}

impl Standing {
    /// Returns whether the piece can't be in time.
    pub(super) fn is_late(self) -> bool {
        matches!(self, Self::Late(_) | Self::Hopeless)
    }

    /// Returns the turn by which the piece is made.
    fn turn(self) -> usize {
        match self {
            Self::Begun => 0,
            Self::Timely(turn) | Self::Late(turn) => turn,
            Self::Hopeless => MAX_TURNS,
        }
    }
}

/// The pieces that can still be made by the end of each turn, beside those that have claimed a place.
struct Claims {
    capacity: Capacity,
    free: Vec<i64>,
    /// What was free before the rank that claims now.
    before: Vec<i64>,
    /// The pieces that are expected to arrive and go before that rank; they are not free.
    expected: Vec<i64>,
    /// The last turn of a piece that can be in time.
    timely: usize,
}

impl Claims {
    fn new(capacity: Capacity) -> Self {
        let free: Vec<i64> = (1..=MAX_TURNS).map(|it| (it * capacity.pieces) as i64).collect();
        Self { capacity, before: free.clone(), expected: vec![0; MAX_TURNS], free, timely: 0 }
    }

    /// Begins with the claims of another rank. During an overload, pieces of ranks before it that are about to
    /// arrive come first as well: a place that is given away now would be missing then.
    fn begin_rank(&mut self, rank: u8) {
        for (turn, free) in self.free.iter_mut().enumerate() {
            *free -= self.capacity.arrivals_before(rank, turn) - self.expected[turn];
            self.expected[turn] = self.capacity.arrivals_before(rank, turn);
        }
        self.before.clone_from(&self.free);
    }

    /// Claims places for `count` pieces that are due then; returns the turn by which they are made if higher
    /// ranks leave room for them. Among those of its own rank, the one that is due first goes first, whether
    /// there is room for all or not.
    fn claim_timely(&mut self, due: Instant, count: usize) -> Option<usize> {
        let turn = self.turn(due)?;
        if !has_room(&self.before[turn..], count) {
            return None;
        }
        if has_room(&self.free[turn..], count) {
            self.take(turn, count);
        }
        self.timely = self.timely.max(turn);
        Some(turn)
    }

    /// Claims places for `count` pieces that are late, and of use until `deadline`; returns the turn in which
    /// they are made: as soon as there is room behind those of their rank and before it that can be in time.
    fn claim_late(&mut self, deadline: Instant, count: usize) -> Option<usize> {
        let latest = self.turn(deadline)?;
        let first = self.timely.min(latest);
        let turn = (first..=latest).find(|it| has_room(&self.free[*it..], count))?;
        self.take(turn, count);
        Some(turn)
    }

    /// Returns the last turn that ends before then.
    fn turn(&self, by: Instant) -> Option<usize> {
        let after = by.checked_duration_since(self.capacity.end).filter(|it| !it.is_zero())?;
        let turns = after.as_secs_f64() / self.capacity.turn.as_secs_f64().max(0.001);
        Some((turns as usize).min(MAX_TURNS - 1))
    }

    fn take(&mut self, turn: usize, count: usize) {
        self.free[turn..].iter_mut().for_each(|it| *it -= count as i64);
    }
}

fn has_room(free: &[i64], count: usize) -> bool {
    free.iter().all(|it| *it >= count as i64)
}

/// Sorts pieces by the order in which they are made, those of one job together; returns how each stands.
pub(super) fn sort(
    pieces: &mut Vec<Piece>,
    begun: &HashSet<JobKey>,
    capacity: Capacity,
) -> Vec<Standing> {
    pieces.sort_by_key(|it| (!begun.contains(&it.job), it.rank, it.due, it.job));
    let standings = stand(pieces, begun, capacity);
    let mut both: Vec<(Standing, Piece)> = standings.into_iter().zip(pieces.drain(..)).collect();
    both.sort_by_key(|(standing, piece)| key(*standing, piece));
    let (standings, sorted) = both.into_iter().unzip();
    *pieces = sorted;
    standings
}

/// Returns how pieces stand that are sorted by rank, due time and job.
fn stand(pieces: &[Piece], begun: &HashSet<JobKey>, capacity: Capacity) -> Vec<Standing> {
    let mut claims = Claims::new(capacity);
    let mut standings = vec![Standing::Hopeless; pieces.len()];
    let mut late: Vec<Range<usize>> = Vec::new();
    let (mut start, mut rank) = (0, 0);
    for job in pieces.chunk_by(|a, b| a.job == b.job) {
        let range = start..start + job.len();
        start = range.end;
        let first = &job[0];
        if first.rank != rank {
            rank = first.rank;
            claim_late(pieces, &mut late, &mut claims, &mut standings);
            claims.begin_rank(rank);
        }
        if begun.contains(&first.job) {
            claims.take(0, job.len());
            standings[range].fill(Standing::Begun);
        } else if let Some(turn) = claims.claim_timely(first.due, job.len()) {
            standings[range].fill(Standing::Timely(turn));
        } else {
            late.push(range);
        }
    }
    claim_late(pieces, &mut late, &mut claims, &mut standings);
    standings
}

/// Claims places for the late jobs of a rank. Those with the least work left go first: with it, more callers
/// are served in their time.
fn claim_late(
    pieces: &[Piece],
    late: &mut Vec<Range<usize>>,
    claims: &mut Claims,
    standings: &mut [Standing],
) {
    late.sort_by_key(|it| (Reverse(pieces[it.start].stage), pieces[it.start].deadline));
    for job in late.drain(..) {
        if let Some(turn) = claims.claim_late(pieces[job.start].deadline, job.len()) {
            standings[job].fill(Standing::Late(turn));
        }
    }
}

/// Returns the key by which pieces are sorted. In one turn, pieces whose inputs are results of earlier stages
/// go first: the results take space until then.
fn key(
    standing: Standing,
    piece: &Piece,
) -> (bool, usize, bool, Reverse<u32>, bool, Instant, JobKey) {
    let is_late = standing.is_late();
    let made = matches!(piece.input, PieceInput::Results(_));
    let (stage, by) = if is_late { (piece.stage, piece.deadline) } else { (0, piece.due) };
    (standing != Standing::Begun, standing.turn(), is_late, Reverse(stage), !made, by, piece.job)
}
