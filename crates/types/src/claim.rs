//! Idempotency claims: what entries ask of the replicated state so that a non-repeatable request
//! runs at most once.

use serde::{Deserialize, Serialize};

use crate::{CustomerName, IdempotencyKey, Incarnation, Outcome, VmName};

/// The SHA-256 of a request's pipeline and body. A resend must carry the same.
pub type Fingerprint = [u8; 32];

/// The scope in which a key is unique.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The customer whose caller sent the key.
    pub customer: CustomerName,
    /// The caller's key.
    pub key: IdempotencyKey,
}

/// Proof of one granted claim: the entry process that holds it and its attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimTicket {
    /// The VM of the entry that asked.
    pub vm: VmName,
    /// The life of the entry process that asked.
    pub owner: Incarnation,
    /// Drawn at random by the owner for each request it receives, so that a command sent twice is
    /// told from a second request.
    pub attempt: u64,
}

/// A request for a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// What is claimed.
    pub key: ClaimKey,
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Who claims.
    pub ticket: ClaimTicket,
}

/// The answer kept for resends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The request's outcome.
    pub outcome: Outcome,
    /// The HTTP status of the answer.
    pub status: u16,
    /// The whole body, or `None` where it exceeded the limit; then only `digest` is known.
    pub body: Option<Vec<u8>>,
    /// The SHA-256 of the whole body.
    pub digest: [u8; 32],
}

/// What the replicated state says to a request for a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The claim is committed; its owner, and nobody else ever, may send the call.
    Granted,
    /// Another attempt holds the claim and its owner is alive.
    Running,
    /// The request has ended; this is its answer.
    Done(StoredAnswer),
    /// The owner of the claim is lost: whether the call ran is not known, and it never runs again.
    OwnerLost,
    /// The key is held by a request with another fingerprint.
    Mismatch,
    /// The key is too old for its record to exist still; the request is refused, not run.
    Expired,
    /// There is no room for another key; the request is refused, not run.
    Full,
}

impl ClaimAnswer {
    /// Tells whether an earlier sending of the same claim gets this answer too, whenever it reaches
    /// the state. Else it may find the key free by then, and be granted.
    pub fn is_settled(&self) -> bool {
        match self {
            ClaimAnswer::Granted | ClaimAnswer::Done(_) | ClaimAnswer::Expired => true,
            ClaimAnswer::Running
            | ClaimAnswer::OwnerLost
            | ClaimAnswer::Mismatch
            | ClaimAnswer::Full => false,
        }
    }
}
