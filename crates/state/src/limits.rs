//! Limits on the size and age of what the state keeps.

use serde::{Deserialize, Serialize};
use types::{ByteSize, ClaimLimits, Millis};

const DAY_MS: u64 = 24 * 3_600_000;

/// The limits of the state. All replicas take them from the same `Expire` command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// The operators' limits on claims.
    pub claims: ClaimLimits,
    /// How long a dated key, and the digest of any answer, is kept.
    pub key_retention: Millis,
    /// The memory for answers that are kept whole, in bytes. The oldest are dropped first.
    pub body_memory: ByteSize,
    /// The number of change ids whose first reply is kept.
    pub max_changes: u32,
    /// The number of audit records that are kept.
    pub max_records: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            claims: ClaimLimits::default(),
            key_retention: Millis(7 * DAY_MS),
            body_memory: ByteSize(16 << 20),
            max_changes: 1 << 20,
            max_records: 50_000,
        }
    }
}

// `ClaimLimits` holds whole numbers only, so equality is total.
impl Eq for Limits {}

impl From<ClaimLimits> for Limits {
    fn from(claims: ClaimLimits) -> Self {
        Self { claims, ..Self::default() }
    }
}
