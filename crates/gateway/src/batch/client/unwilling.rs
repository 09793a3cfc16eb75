//! The entries that do not lend at the moment: connections, retries, room. Without them, a lender that
//! stands still costs each request the whole time to wait for it, and an entry that is late asks for more
//! the later it is.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::budget::Spender;

#[cfg(test)]
mod tests;

/// How long an entry is not asked again that has not answered in time.
const LATE_TIME: Duration = Duration::from_secs(1);

/// How long an entry is not asked again for as much of what it has refused.
const REFUSED_TIME: Duration = Duration::from_millis(300);

/// The number of lenders from which those are forgotten that may be asked again.
const MANY_LENDERS: usize = 1_024;

/// What an entry may lend.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Item {
    /// Connections to the upstream with this hash of its id.
    Connections(u64),
    /// Room at the upstream with this hash of its id.
    Room(u64),
    /// Retries for a service.
    Retries(Arc<str>, Spender),
}

/// A refusal, which holds for this much and more.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    least: u32,
    until: Instant,
}

/// The entries that do not lend, and until when.
#[derive(Debug, Default)]
struct Lenders {
    late: HashMap<SocketAddr, Instant>,
    refused: HashMap<(SocketAddr, Item), Refusal>,
}

/// The entries that do not lend at the moment.
#[derive(Debug, Default)]
pub(super) struct UnwillingLenders(Mutex<Lenders>);

impl UnwillingLenders {
    /// Returns those of the `lenders` that may be asked for an amount of something.
    pub(super) fn without(
        &self,
        mut lenders: Vec<SocketAddr>,
        item: &Item,
        amount: u32,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let unwilling = self.lock();
        lenders.retain(|it| !unwilling.contains(*it, item, amount, now));
        lenders
    }

    /// Adds an entry that has not answered in time. It is not asked for anything.
    pub(super) fn add_late(&self, lender: SocketAddr, now: Instant) {
        let mut lenders = self.lock();
        if lenders.late.len() >= MANY_LENDERS {
            lenders.late.retain(|_, until| now < *until);
        }
        lenders.late.insert(lender, now + LATE_TIME);
    }

    /// Adds an entry that has not as much left of something.
    pub(super) fn add_refused(&self, lender: SocketAddr, item: Item, amount: u32, now: Instant) {
        let mut lenders = self.lock();
        if lenders.refused.len() >= MANY_LENDERS {
            lenders.refused.retain(|_, it| now < it.until);
        }
        let refusal = Refusal { least: amount, until: now + REFUSED_TIME };
        lenders.refused.insert((lender, item), refusal);
    }

    fn lock(&self) -> MutexGuard<'_, Lenders> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Lenders {
    fn contains(&self, lender: SocketAddr, item: &Item, amount: u32, now: Instant) -> bool {
        let late = self.late.get(&lender).is_some_and(|until| now < *until);
        let refused = self.refused.get(&(lender, item.clone()));
        late || refused.is_some_and(|it| now < it.until && amount >= it.least)
    }
}
