//! Estimates how many refused callers will retry, and when they should.

use std::sync::atomic::{AtomicU64, Ordering};

use types::Priority;

use crate::clock::{Micros, decay};
use crate::estimate::AtomicF64;
use crate::policy::{MAX_RETRY_AFTER_US, MIN_RETRY_AFTER_US, REFUSAL_HALF_AGE_US};

/// A count that decays over time.
#[derive(Debug, Default)]
struct DecayingCount {
    count: AtomicF64,
    last_add: AtomicU64,
}

/// Counts recent refusals and spreads the retries.
#[derive(Debug, Default)]
pub(crate) struct Refusals {
    /// The recent refusals, by priority.
    refused: [DecayingCount; Priority::COUNT],
    draws: AtomicU64,
}

impl Refusals {
    /// Records a refusal and returns the time after which to retry. Refused callers form a queue of
    /// their own behind the backlog, and each is told the time at which its turn would come. So
    /// this time grows with the overload, and about as many callers retry as the pool can serve
    /// then. Only callers of the same or a higher priority count: if an urgent request had to wait
    /// for the turns of a burst of lower priority, it would retry after its deadline, at a pool
    /// that had a slot for it. The result is drawn from 0.5 to 1.5 times that time; otherwise
    /// callers refused in one burst would all retry at once.
    pub(crate) fn retry_after(&self, priority: u8, backlog: f64, rate: f64, now: Micros) -> Micros {
        let index = usize::from(priority).min(Priority::COUNT - 1);
        self.refused[index].add(now);
        let refused: f64 = self.refused[..=index].iter().map(|it| it.get(now)).sum();
        let wait = (backlog + refused) / rate;
        let wait = wait.clamp(MIN_RETRY_AFTER_US as f64, MAX_RETRY_AFTER_US as f64);
        // The spread is applied last. Clamping after it would make all callers at the bound retry
        // at once.
        (wait * (0.5 + self.random(now))) as Micros
    }

    /// Returns a number from 0 to 1, by splitmix64 over a count and the time, which differs between
    /// entries.
    fn random(&self, now: Micros) -> f64 {
        let count = self.draws.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        let mut word = count ^ now.wrapping_mul(0xff51_afd7_ed55_8ccd);
        word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((word ^ (word >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }
}

impl DecayingCount {
    fn add(&self, now: Micros) {
        let count = self.get(now) + 1.0;
        self.count.set(count);
        self.last_add.store(now, Ordering::Relaxed);
    }

    fn get(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.last_add.load(Ordering::Relaxed));
        self.count.get() * decay(age, REFUSAL_HALF_AGE_US)
    }
}
