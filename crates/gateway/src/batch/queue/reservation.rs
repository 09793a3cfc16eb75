//! Reserves space for the most urgent pieces whose results fit nowhere now.
//!
//! Without this, smaller results behind a large one take the space that becomes free, call after
//! call, and the large one waits until its caller leaves.

use tokio::time::Instant;

use super::account::Account;
use super::{Queue, Target};

/// The share of a reserved size that smaller results behind it may take in all until a result of
/// that size is sent to the upstream. They fill calls that would leave the upstream idle.
const OVERTAKING_SHARE: f64 = 0.25;

/// The space that is reserved at one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Reservation {
    /// The index in the queue of the piece that it is for. Those before it are not concerned.
    pub(super) at: usize,
    /// The bytes that all pieces behind it may take.
    pub(super) rest: u64,
}

impl Queue {
    /// Returns the space reserved at each of the `available` upstreams. Each reserves for one piece
    /// at the most; the most urgent piece gets the upstream where space will be free first. `sizes`
    /// are those of the results of the waiting pieces.
    pub(super) fn reservations(
        &self,
        available: &[&Target],
        sizes: &[u64],
        now: Instant,
    ) -> Vec<Option<Reservation>> {
        let space = self.spec.space_bytes;
        let accounts: Vec<Option<&Account>> =
            available.iter().map(|it| self.states.get(&it.id).map(|it| &it.account)).collect();
        let usable = Account::usable(space);
        let mut free: Vec<u64> =
            accounts.iter().map(|it| it.map_or(usable, |it| it.free(space, now))).collect();
        let mut reserved = vec![None; available.len()];
        let Some(mut roomiest) = roomiest(&free) else { return reserved };
        if sizes.iter().sum::<u64>() <= free[roomiest] {
            return reserved;
        }
        for (at, size) in sizes.iter().copied().enumerate() {
            if size > space {
                continue;
            }
            if size <= free[roomiest] {
                // It goes there now, or after the call in flight.
                free[roomiest] -= size;
                roomiest = self::roomiest(&free).unwrap_or(roomiest);
                continue;
            }
            // Space is free the sooner, the less is missing and the more is stored.
            let time = |it: &usize| {
                let stored = accounts[*it].map_or(0, Account::own).max(1);
                (size - free[*it]) as f64 / stored as f64
            };
            let open = (0..available.len()).filter(|it| reserved[*it].is_none());
            let Some(first) = open.min_by(|a, b| time(a).total_cmp(&time(b))) else { break };
            let state = self.states.get(&available[first].id);
            let overtaken = state.map_or(0, |it| it.overtaken);
            let rest = ((size as f64 * OVERTAKING_SHARE) as u64).saturating_sub(overtaken);
            reserved[first] = Some(Reservation { at, rest });
        }
        reserved
    }
}

/// Returns the index of the upstream with the most free bytes.
fn roomiest(free: &[u64]) -> Option<usize> {
    (0..free.len()).max_by_key(|it| free[*it])
}
