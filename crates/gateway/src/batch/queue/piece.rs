//! A waiting piece.

use std::sync::Arc;

use registry::RequestDigest;
use tokio::time::Instant;

use crate::budget::RetryPermit;
use crate::dialect::{PieceCall, PieceInput};

/// Identifies a job by the connection that submitted it and its number on that connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobKey {
    /// The connection's number; 0 for jobs of this entry.
    pub origin: u64,
    /// The job's number, chosen by the submitter.
    pub id: u64,
}

/// A piece that waits for a call.
#[derive(Clone, Debug)]
pub struct Piece {
    /// The job that the piece belongs to.
    pub job: JobKey,
    /// The caller's id of the attempt.
    pub attempt: Arc<str>,
    /// The index of the stage.
    pub stage: u32,
    /// The index of the piece in its stage.
    pub segment: u32,
    /// The input to work on.
    pub input: PieceInput,
    /// The rank of the request; 0 goes first.
    pub rank: u8,
    /// The size of the result in bytes.
    pub result_bytes: u64,
    /// The failure domain that stores the inputs or uses the result.
    pub domain: Option<Arc<str>>,
    /// The bytes that cross failure domains if another domain's upstream makes the result.
    pub transfer_bytes: u64,
    /// When the result is due.
    pub due: Instant,
    /// When the result becomes useless.
    pub deadline: Instant,
    /// When the piece was queued.
    pub queued_at: Instant,
    /// How often the piece was sent to an upstream.
    pub sends: u32,
    /// The digest of the request, if the submitter sent it.
    pub request: Option<RequestDigest>,
    /// Whether the piece only shares a call with pieces of its own job. Calls with it were lost;
    /// pieces of other jobs must not be lost with it again, nor be suspected as the cause.
    pub isolated: bool,
    /// How many calls with this piece lost their connection.
    pub lost_calls: u32,
    /// The permit by which it is sent again.
    pub permit: Option<Arc<RetryPermit>>,
}

impl Piece {
    /// Returns the piece in the form that is sent to an upstream.
    pub fn to_call(&self, now: Instant) -> PieceCall {
        PieceCall {
            attempt: Arc::clone(&self.attempt),
            stage: self.stage,
            segment: self.segment,
            left: self.deadline.saturating_duration_since(now),
            input: self.input.clone(),
        }
    }

    /// Returns whether this is the same piece, in another call or queued again.
    pub(crate) fn is_same(&self, other: &Piece) -> bool {
        self.job == other.job && self.segment == other.segment
    }

    /// Returns whether the piece may share a call with another one.
    pub(super) fn can_join(&self, other: &Piece) -> bool {
        self.isolated == other.isolated && (!self.isolated || self.job == other.job)
    }
}
