//! The entries that do not lend connections at the moment. Without them, an entry that is late asks for
//! more the later it is.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// How long an entry is not asked again that has not answered in time.
const LATE_TIME: Duration = Duration::from_secs(1);

/// How long an entry is not asked again for connections to an upstream of which it has none left.
const REFUSED_TIME: Duration = Duration::from_millis(300);

/// The number of lenders from which those are forgotten that may be asked again.
const MANY_LENDERS: usize = 1_024;

/// What an entry does not lend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Refused {
    Anything,
    /// Connections to the upstream with this hash of its id.
    Upstream(u64),
}

/// The entries that do not lend connections, and until when.
#[derive(Debug, Default)]
pub(super) struct UnwillingLenders(Mutex<HashMap<(SocketAddr, Refused), Instant>>);

impl UnwillingLenders {
    /// Returns whether an entry is not to be asked for a connection to an upstream.
    pub(super) fn contains(&self, lender: SocketAddr, upstream: u64, now: Instant) -> bool {
        let lenders = self.lock();
        let refuses = |what| lenders.get(&(lender, what)).is_some_and(|it| now < *it);
        refuses(Refused::Anything) || refuses(Refused::Upstream(upstream))
    }

    /// Adds an entry that has not answered in time.
    pub(super) fn add_late(&self, lender: SocketAddr, now: Instant) {
        self.add((lender, Refused::Anything), now, LATE_TIME);
    }

    /// Adds an entry that has no connection to an upstream left.
    pub(super) fn add_refused(&self, lender: SocketAddr, upstream: u64, now: Instant) {
        self.add((lender, Refused::Upstream(upstream)), now, REFUSED_TIME);
    }

    fn add(&self, key: (SocketAddr, Refused), now: Instant, time: Duration) {
        let mut lenders = self.lock();
        if lenders.len() >= MANY_LENDERS {
            lenders.retain(|_, until| now < *until);
        }
        lenders.insert(key, now + time);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<(SocketAddr, Refused), Instant>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
