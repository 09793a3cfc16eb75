//! Identifies requests by a digest of their content.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// A digest of a request's content. All attempts of a request have the same one, at any entry.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestDigest([u8; 16]);

impl RequestDigest {
    /// Returns the digest of a request's parts, in order. The length of each part is hashed too, so that
    /// bytes moved from one part to the next change the digest. The hash is cryptographic, so that
    /// nobody can construct two requests with the same digest.
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

    /// Returns the first bytes as a number.
    pub fn short(self) -> u64 {
        (u128::from_be_bytes(self.0) >> 64) as u64
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
