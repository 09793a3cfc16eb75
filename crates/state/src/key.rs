//! Short forms of keys and fingerprints.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use types::{ClaimKey, Fingerprint};
use uuid::{Uuid, Version};

/// The first half of a SHA-256 hash. 16 bytes make a collision by chance practically impossible.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct ShortHash(pub(crate) [u8; 16]);

impl ShortHash {
    pub(crate) fn of_key(key: &ClaimKey) -> Self {
        let mut hash = Sha256::new();
        hash.update(key.customer.as_str());
        // A name holds no zero byte, so no two pairs give the same text.
        hash.update([0]);
        hash.update(key.key.as_str());
        Self::truncate(&hash.finalize())
    }

    pub(crate) fn of_fingerprint(fingerprint: &Fingerprint) -> Self {
        Self::truncate(fingerprint)
    }

    fn truncate(bytes: &[u8]) -> Self {
        let mut short = [0; 16];
        short.copy_from_slice(&bytes[..16]);
        Self(short)
    }
}

/// Returns the time in a UUIDv7 key, in milliseconds since the Unix epoch; `None` for other keys.
pub(crate) fn key_date(key: &ClaimKey) -> Option<u64> {
    let id = Uuid::try_parse(key.key.as_str()).ok()?;
    if id.get_version() != Some(Version::SortRand) {
        return None;
    }
    let (seconds, nanos) = id.get_timestamp()?.to_unix();
    Some(seconds * 1_000 + u64::from(nanos) / 1_000_000)
}
