//! The cluster secret and the MACs that are computed with it.

use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use types::{StepError, StepResult};

/// The minimum length of a secret in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// The length of a MAC in bytes.
pub(crate) const TAG_LENGTH: usize = 32;

/// An HMAC-SHA256.
pub(crate) type Tag = [u8; TAG_LENGTH];

/// The purpose of a MAC; part of its input, so that a MAC for one purpose is invalid for another.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Purpose {
    /// The proof of the side that opens a connection.
    Dialer,
    /// The proof of the side that accepts a connection.
    Acceptor,
    /// A datagram.
    Datagram,
}

/// The secret that mothplank's own processes prove to each other.
#[derive(Clone)]
pub struct Secret(Hmac<Sha256>);

impl Secret {
    /// Creates a secret from bytes.
    ///
    /// # Errors
    /// Returns an error where there are fewer than [`MIN_SECRET_BYTES`] bytes.
    pub fn new(bytes: &[u8]) -> StepResult<Self> {
        if bytes.len() < MIN_SECRET_BYTES {
            let why = format!(
                "the secret has fewer than {MIN_SECRET_BYTES} bytes; generate a longer one"
            );
            return Err(StepError::new("take cluster secret", why));
        }
        Hmac::new_from_slice(bytes).map(Self).map_err(|e| StepError::new("take cluster secret", e))
    }

    pub(crate) fn tag(&self, purpose: Purpose, data: &[u8]) -> Tag {
        self.mac(purpose, data).finalize().into_bytes().into()
    }

    /// Returns whether `tag` is valid. Compares in constant time.
    pub(crate) fn verify(&self, purpose: Purpose, data: &[u8], tag: &[u8]) -> bool {
        self.mac(purpose, data).verify_slice(tag).is_ok()
    }

    fn mac(&self, purpose: Purpose, data: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.0.clone();
        mac.update(&[purpose as u8]);
        mac.update(data);
        mac
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}
