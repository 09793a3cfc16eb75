//! Connections to upstreams through another entry.
//!
//! An entry that is partitioned from all upstreams still has callers, and reaches the other entries. It
//! opens a connection to one of these for each connection to an upstream; that one opens the
//! connection to the upstream, and passes the bytes on in both directions. All else, such as limits,
//! retries and what a failure proves, stays with the entry that has the request.

mod client;
mod reach;
mod server;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub(crate) use self::client::{RelayClient, Relayed};
pub(crate) use self::reach::{Reach, tell_reach};
pub(crate) use self::server::{RelayPermits, serve};

/// The number of bytes passed on in one message at most.
const MAX_CHUNK_BYTES: usize = 32 << 10;

/// How long an entry at the other end of a relayed connection may be silent. A sound one may stand still
/// for a second or so, while the upstream works on the request. If its VM is gone, sent bytes stay
/// unacknowledged, which ends the connection sooner.
const MAX_SILENCE: Duration = Duration::from_secs(10);

/// A message to the entry that relays.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum ToRelay {
    /// Opens the connection to the upstream at this address.
    Open(SocketAddr),
    /// Bytes for the upstream.
    Data(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Asks whether the upstream at this address accepts connections.
    Reach(SocketAddr),
}

/// A message from the entry that relays.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum FromRelay {
    /// The connection is open.
    Opened,
    /// The connection could not be opened. No byte reached the upstream.
    Failed(RelayFailure),
    /// Bytes from the upstream.
    Data(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The upstream has closed the connection; `false` if it was reset. A connection to the relaying
    /// entry that ends without this message counts as reset.
    Ended(bool),
    /// The relaying entry is shutting down; the connection must not be used for another request.
    Leaving,
    /// The answer to [`ToRelay::Reach`].
    Reach(Reach),
}

/// Why an entry does not relay a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RelayFailure {
    /// The upstream refused the connection.
    Refused,
    /// The upstream did not accept the connection in time.
    TimedOut,
    /// The entry reaches no upstream, is shutting down, relays too many connections, or does not know
    /// the upstream.
    Unable,
}

/// Whether the entry that relays a connection is shutting down.
#[derive(Debug, Default)]
pub(crate) struct RelayState {
    leaving: AtomicBool,
}

impl RelayState {
    /// Returns whether the connection may be used for another request.
    pub(crate) fn is_usable(&self) -> bool {
        !self.leaving.load(Ordering::Relaxed)
    }

    fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }
}
