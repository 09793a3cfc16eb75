//! What makes two requests the same request.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// What a request asks, as a digest: the same for each attempt of it, at any entry.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestDigest([u8; 16]);

impl RequestDigest {
    /// Digests the parts of a request, in order. Their lengths go in, so that no part can take bytes
    /// of its neighbour; the hash is one in which nobody finds two requests that meet.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for part in parts {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let whole = hash.finalize();
        let mut digest = [0; 16];
        digest.copy_from_slice(&whole[..16]);
        Self(digest)
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl FromStr for RequestDigest {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(|it| Self(it.to_be_bytes()))
    }
}
