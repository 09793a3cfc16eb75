//! The work of this entry in a pool: running calls, queued calls and admitted requests.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

use types::CustomerName;

use crate::clock::Micros;
use crate::pool::{Counts, PoolState, sum};
use crate::queue::{Queue, QueuedCall};

/// The part of a pool that is behind a lock. The lock is held for a few hundred nanoseconds and
/// never while anything is sent.
#[derive(Debug)]
pub(crate) struct PoolWork {
    pub(crate) queue: Queue,
    /// The number of admitted requests whose last stage uses this pool, by priority and customer.
    admitted: BTreeMap<(u8, CustomerName), u32>,
}

/// The calls that leave the queue.
#[derive(Debug, Default)]
pub(crate) struct QueueChanges {
    /// Calls that may start.
    pub(crate) started: Vec<QueuedCall>,
    /// Calls that no longer have enough time.
    pub(crate) expired: Vec<QueuedCall>,
}

impl PoolWork {
    pub(crate) fn new(fair: bool) -> Self {
        Self { queue: Queue::new(fair), admitted: BTreeMap::new() }
    }

    /// Starts the calls that have a slot and removes those that no longer have enough time.
    pub(crate) fn advance(&mut self, pool: &PoolState, now: Micros) -> QueueChanges {
        let mut changes = QueueChanges::default();
        if self.queue.len() == 0 {
            return changes;
        }
        changes.expired = self.queue.expire(now);
        while let Some(priority) = self.queue.next_priority()
            && has_slot(pool, priority)
            && let Some(call) = self.queue.pop()
        {
            self.start_call(pool, call.priority, &call.customer);
            changes.started.push(call);
        }
        self.publish(pool);
        changes
    }

    /// Counts a call as running.
    pub(crate) fn start_call(&mut self, pool: &PoolState, priority: u8, customer: &CustomerName) {
        increment(&pool.running, priority);
        self.queue.call_started(customer);
    }

    /// Counts a call as ended.
    pub(crate) fn end_call(&mut self, pool: &PoolState, priority: u8) {
        pool.running[usize::from(priority)].fetch_sub(1, Ordering::Relaxed);
    }

    /// Copies the queue's counts for readers that do not hold the lock.
    pub(crate) fn publish(&self, pool: &PoolState) {
        for (priority, count) in pool.queued.iter().enumerate() {
            count.store(self.queue.count(priority as u8), Ordering::Relaxed);
        }
    }

    /// Counts a request as admitted.
    pub(crate) fn request_started(
        &mut self,
        pool: &PoolState,
        priority: u8,
        customer: &CustomerName,
    ) {
        increment(&pool.admitted, priority);
        *self.admitted.entry((priority, customer.clone())).or_insert(0) += 1;
    }

    /// Counts a request as ended.
    pub(crate) fn request_ended(
        &mut self,
        pool: &PoolState,
        priority: u8,
        customer: &CustomerName,
    ) {
        pool.admitted[usize::from(priority)].fetch_sub(1, Ordering::Relaxed);
        let key = (priority, customer.clone());
        if let Some(count) = self.admitted.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.admitted.remove(&key);
            }
        }
    }

    /// Returns the share, 0 to 1, of the admitted requests of this priority that would go before a
    /// new one of the customer if customers take turns.
    pub(crate) fn share_ahead(&self, priority: u8, customer: &CustomerName) -> f64 {
        let counts = self.admitted.iter().filter(|((it, _), _)| *it == priority);
        let counts = counts.map(|((_, name), count)| (name, *count));
        let own = counts.clone().find(|(name, _)| *name == customer).map_or(0, |(_, it)| it);
        let mut all = 0;
        let mut ahead = 0;
        for (name, count) in counts {
            all += count;
            ahead += if name == customer { count } else { count.min(own + 1) };
        }
        f64::from(ahead) / f64::from(all.max(1))
    }
}

/// Returns whether a call of this priority may start.
pub(crate) fn has_slot(pool: &PoolState, priority: u8) -> bool {
    sum(&pool.running) < pool.slots(priority)
}

fn increment(counts: &Counts, priority: u8) {
    counts[usize::from(priority)].fetch_add(1, Ordering::Relaxed);
}
