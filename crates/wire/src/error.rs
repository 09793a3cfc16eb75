//! The errors of the transport.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Kind;

/// Why one side refused the handshake of the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalCause {
    /// The other side does not hold the cluster secret, or replayed an old proof.
    Proof,
    /// The other side uses another version of the protocol; this is the version of the refusing side.
    Protocol(u16),
}

/// The cause of a [`types::StepError`] that this crate returns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WireError {
    /// No byte was read, or none could be written, for [`crate::SILENCE_TIMEOUT`].
    Silent,
    /// The connection is closed.
    Closed,
    /// The send queue is full.
    Full,
    /// A message is larger than the limit in bytes.
    TooLarge(usize),
    /// The bytes are not a message of the expected type.
    Malformed(String),
    /// This side refused the handshake of the other.
    Refused(RefusalCause),
    /// The other side refused the handshake of this side.
    RefusedBy(RefusalCause),
    /// The other side is of this kind instead of the expected one.
    Unexpected(Kind),
    /// Opening the connection or the handshake timed out.
    Timeout,
    /// The socket failed.
    Io(std::io::ErrorKind),
}

impl fmt::Display for RefusalCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RefusalCause::Proof => {
                f.write_str("no proof of the cluster secret; compare `secret` in both settings")
            }
            RefusalCause::Protocol(version) => {
                write!(f, "another protocol version, not {version}; run the same release on both")
            }
        }
    }
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Silent => write!(f, "silent: no progress for {:?}", crate::SILENCE_TIMEOUT),
            WireError::Closed => f.write_str("connection closed"),
            WireError::Full => f.write_str("send queue full"),
            WireError::TooLarge(limit) => write!(f, "message larger than {limit} bytes"),
            WireError::Malformed(why) => write!(f, "not a message: {why}"),
            WireError::Refused(cause) => write!(f, "refused the peer: {cause}"),
            WireError::RefusedBy(cause) => write!(f, "refused by the peer: {cause}"),
            WireError::Unexpected(kind) => write!(f, "peer is {kind}; check the address"),
            WireError::Timeout => f.write_str("timed out"),
            WireError::Io(kind) => write!(f, "{kind}"),
        }
    }
}

impl std::error::Error for WireError {}

impl From<std::io::Error> for WireError {
    fn from(error: std::io::Error) -> Self {
        // The codec reports a frame above its limit with this inner error.
        let inner = error.get_ref();
        if inner.is_some_and(|e| e.is::<tokio_util::codec::LengthDelimitedCodecError>()) {
            return WireError::TooLarge(crate::MAX_FRAME_BYTES);
        }
        match error.kind() {
            // The TCP user timeout expired: the kernel detected that the other side is silent.
            std::io::ErrorKind::TimedOut => WireError::Silent,
            kind => WireError::Io(kind),
        }
    }
}
