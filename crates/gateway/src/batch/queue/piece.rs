//! A piece that waits, and its place among others.

use std::sync::Arc;
use std::time::Duration;

use registry::RequestDigest;
use tokio::time::Instant;

use crate::dialect::{PieceCall, PieceInput};

/// How much later a piece counts as due for each step of lower rank.
const RANK_DELAY: Duration = Duration::from_millis(400);

/// Names a job: the connection it came by and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct JobKey {
    /// The connection.
    pub origin: u64,
    /// The number.
    pub id: u64,
}

/// A piece that waits.
#[derive(Clone, Debug)]
pub struct Piece {
    /// Its job.
    pub job: JobKey,
    /// The caller's id of the attempt.
    pub attempt: Arc<str>,
    /// The number of the stage.
    pub stage: u32,
    /// The number of the piece.
    pub segment: u32,
    /// What it works on.
    pub input: PieceInput,
    /// The rank of its request; 0 goes first.
    pub rank: u8,
    /// The size of its result in bytes.
    pub size: u64,
    /// The failure domain in which its inputs are, or its result is used.
    pub domain: Option<Arc<str>>,
    /// The bytes that cross domains if it is made in another one.
    pub weight: u64,
    /// When the result should be there.
    pub due: Instant,
    /// When it is of no use any more.
    pub deadline: Instant,
    /// Since when it waits.
    pub since: Instant,
    /// How often it was sent to an upstream.
    pub sent: u32,
    /// The request, where the submitter tells it.
    pub request: Option<RequestDigest>,
    /// Whether it is called with pieces of its own job only: calls with it were lost, and their other
    /// pieces must not be lost again, nor be taken for the cause.
    pub alone: bool,
    /// How many calls with it lost their connection.
    pub lost: u32,
}

impl Piece {
    /// Gives the piece as an upstream is told it.
    pub fn call(&self, now: Instant) -> PieceCall {
        PieceCall {
            attempt: Arc::clone(&self.attempt),
            stage: self.stage,
            segment: self.segment,
            left: self.deadline.saturating_duration_since(now),
            input: self.input.clone(),
        }
    }

    /// Whether it may go into the same call as another piece.
    pub(super) fn goes_with(&self, other: &Piece) -> bool {
        self.alone == other.alone && (!self.alone || self.job == other.job)
    }

    /// The order of pieces whose results will be there at `ready` at the soonest: those that can still
    /// be in time, by when they are due; then those that can't. Under overload the late ones must not
    /// make the others late, too. Among them the later stages go first, for their requests cost the most
    /// already.
    pub(super) fn urgency(&self, ready: Instant) -> (bool, std::cmp::Reverse<u32>, Instant) {
        let late = self.due <= ready;
        let stage = if late { self.stage } else { 0 };
        (late, std::cmp::Reverse(stage), self.due + RANK_DELAY * u32::from(self.rank))
    }
}
