//! Idempotency claims: an entry claims a request's key in the replicated state before it runs a
//! non-repeatable request, so that the request runs at most once.

use serde::{Deserialize, Serialize};

use crate::{CustomerName, IdempotencyKey, Incarnation, Outcome, VmName};

/// The SHA-256 of a request's pipeline and body. A resend must have the same fingerprint.
pub type Fingerprint = [u8; 32];

/// A caller's idempotency key, which is unique per customer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The customer whose caller sent the key.
    pub customer: CustomerName,
    /// The caller's key.
    pub key: IdempotencyKey,
}

/// Identifies one attempt to claim a key: the entry process that asks and the number it drew.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimTicket {
    /// The VM of the entry that asked.
    pub vm: VmName,
    /// The incarnation of the entry process that asked.
    pub owner: Incarnation,
    /// A number that the owner draws at random for each request it receives. It tells a command
    /// that was sent twice from a second request.
    pub attempt: u64,
}

/// A request for a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The key that is claimed.
    pub key: ClaimKey,
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The entry process that claims, and its attempt.
    pub ticket: ClaimTicket,
}

/// The answer that is stored for resends of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The request's outcome.
    pub outcome: Outcome,
    /// The HTTP status of the answer.
    pub status: u16,
    /// The complete body, or `None` if it exceeded the size limit and only `digest` was stored.
    pub body: Option<Vec<u8>>,
    /// The SHA-256 of the complete body.
    pub digest: [u8; 32],
}

/// The answer of the replicated state to a [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The claim is committed: its owner, and no other process at any time, may send the call.
    Granted,
    /// Another attempt holds the claim and its owner is alive.
    Running,
    /// The request has ended; this is its answer.
    Done(StoredAnswer),
    /// The owner of the claim is lost. It is unknown whether the call ran; it is not run again.
    OwnerLost,
    /// A request with another fingerprint holds the key.
    Mismatch,
    /// The key is too old for its record to be kept still. The request is refused and not run.
    Expired,
    /// The limit on stored keys is reached. The request is refused and not run.
    Full,
}

impl ClaimAnswer {
    /// Returns whether an earlier copy of the same claim that is still on its way gets this answer
    /// too, whenever it reaches the state. If not, that copy may find the key free and be granted.
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
