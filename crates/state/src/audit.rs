//! The audit trail: a chain of records, each with the hash of the record before it.

use std::collections::VecDeque;
use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use types::{OperatorName, UnixMillis, Version};

/// The SHA-256 hash of a record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditHash(pub [u8; 32]);

impl fmt::Display for AuditHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// The subject of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AuditKind {
    /// A change of the service.
    Change,
    /// An operator's mark on an upstream.
    Mark,
    /// A change of members.
    Member,
    /// An order to an upstream.
    Order,
    /// New limits of the state.
    Limits,
}

impl AuditKind {
    /// Returns the word for the kind in answers.
    pub fn as_str(self) -> &'static str {
        match self {
            AuditKind::Change => "change",
            AuditKind::Mark => "mark",
            AuditKind::Member => "member",
            AuditKind::Order => "order",
            AuditKind::Limits => "limits",
        }
    }
}

/// The outcome of the recorded action.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AuditOutcome {
    /// The action took effect.
    Accepted,
    /// Another change won.
    Conflict,
    /// The id was already used with another content.
    Reused,
    /// The base is older than the oldest answer that is kept.
    Forgotten,
}

impl AuditOutcome {
    /// Returns the word for the outcome in answers.
    pub fn as_str(self) -> &'static str {
        match self {
            AuditOutcome::Accepted => "accepted",
            AuditOutcome::Conflict => "conflict",
            AuditOutcome::Reused => "reused",
            AuditOutcome::Forgotten => "forgotten",
        }
    }
}

/// A record of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// The number of the record, from 1.
    pub number: u64,
    /// The time of the request, on the proposer's clock.
    pub at: UnixMillis,
    /// The operator; `None` for the system itself.
    pub operator: Option<OperatorName>,
    /// The subject.
    pub kind: AuditKind,
    /// For changes, the version that the operator saw.
    pub base: Option<Version>,
    /// The version in force after the action.
    pub version: Version,
    /// A description of the action.
    pub what: String,
    /// The outcome.
    pub outcome: AuditOutcome,
    /// The hash of the record before this one; zeros for the first.
    pub prior: AuditHash,
    /// The hash of all the fields above.
    pub hash: AuditHash,
}

impl AuditRecord {
    /// Computes the hash of the record, which `hash` must equal.
    pub fn compute_hash(&self) -> AuditHash {
        let bare = Self { hash: AuditHash::default(), ..self.clone() };
        // Writing to a vector cannot fail.
        let bytes = postcard::to_stdvec(&bare).unwrap_or_default();
        AuditHash(Sha256::digest(bytes).into())
    }
}

/// The place where a chain of records is broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditBreak {
    /// The number of the first record that does not fit.
    pub number: u64,
    /// The reason why it does not fit.
    pub why: &'static str,
}

impl fmt::Display for AuditBreak {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "audit record {}: {}", self.number, self.why)
    }
}

impl std::error::Error for AuditBreak {}

/// Verifies consecutive records. Records before the first of them are assumed to be valid, unless
/// the first has number 1.
///
/// # Errors
/// Returns the first record that was changed, left out or moved.
pub fn verify(records: &[AuditRecord]) -> Result<(), AuditBreak> {
    let mut prior: Option<&AuditRecord> = None;
    for record in records {
        let number = record.number;
        let fault = |why| Err(AuditBreak { number, why });
        if record.hash != record.compute_hash() {
            return fault("its content does not match its hash");
        }
        if number == 1 && record.prior != AuditHash::default() {
            return fault("it is the first record but has the hash of a record before it");
        }
        if let Some(prior) = prior {
            if number != prior.number + 1 {
                return fault("its number does not follow that of the record before it");
            }
            if record.prior != prior.hash {
                return fault("it does not have the hash of the record before it");
            }
        }
        prior = Some(record);
    }
    Ok(())
}

/// The contents of a new record.
pub(crate) struct NewRecord {
    pub(crate) at: UnixMillis,
    pub(crate) operator: Option<OperatorName>,
    pub(crate) kind: AuditKind,
    pub(crate) base: Option<Version>,
    pub(crate) version: Version,
    pub(crate) what: String,
    pub(crate) outcome: AuditOutcome,
}

/// The latest records, and the hash of the last one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AuditTrail {
    records: VecDeque<AuditRecord>,
    count: u64,
    last: AuditHash,
}

impl AuditTrail {
    pub(crate) fn push(&mut self, new_record: NewRecord, max_records: u32) {
        let NewRecord { at, operator, kind, base, version, what, outcome } = new_record;
        self.count += 1;
        let (number, prior, hash) = (self.count, self.last, AuditHash::default());
        let mut record =
            AuditRecord { number, at, operator, kind, base, version, what, outcome, prior, hash };
        record.hash = record.compute_hash();
        self.last = record.hash;
        self.records.push_back(record);
        let excess = self.records.len().saturating_sub(max_records as usize);
        self.records.drain(..excess);
    }

    pub(crate) fn after(&self, after: u64, limit: usize) -> Vec<AuditRecord> {
        let first = self.records.front().map_or(0, |record| record.number);
        let skip = after.saturating_add(1).saturating_sub(first) as usize;
        self.records.iter().skip(skip).take(limit).cloned().collect()
    }

    pub(crate) fn len(&self) -> u64 {
        self.records.len() as u64
    }
}
