//! The slots of a fake limit how many calls run at once. Further calls wait in a queue, ordered by
//! priority and then by arrival.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

/// How long load samples are kept.
const HISTORY_WINDOW: Duration = Duration::from_secs(10);

/// The slots of one fake.
#[derive(Clone, Debug)]
pub(crate) struct Slots(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    capacity: usize,
    running: usize,
    peak: usize,
    arrivals: u64,
    busy: Duration,
    waiting: BinaryHeap<Waiter>,
    history: VecDeque<(Instant, Load)>,
}

/// The numbers of running and waiting calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Load {
    pub(crate) running: usize,
    pub(crate) waiting: usize,
}

#[derive(Debug)]
struct Waiter {
    rank: Reverse<(u8, u64)>,
    wake: oneshot::Sender<Slot>,
}

impl PartialEq for Waiter {
    fn eq(&self, other: &Self) -> bool {
        self.rank == other.rank
    }
}

impl Eq for Waiter {}

impl PartialOrd for Waiter {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Waiter {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.rank.cmp(&other.rank)
    }
}

/// An acquired slot. Dropping it passes the slot to the next call in the queue.
#[derive(Debug)]
pub(crate) struct Slot {
    slots: Slots,
    acquired_at: Instant,
}

impl Slots {
    pub(crate) fn new(capacity: usize) -> Self {
        Self(Arc::new(Mutex::new(State {
            capacity: capacity.max(1),
            running: 0,
            peak: 0,
            arrivals: 0,
            busy: Duration::ZERO,
            waiting: BinaryHeap::new(),
            history: VecDeque::new(),
        })))
    }

    /// Waits for a slot. Dropping the future leaves the queue.
    pub(crate) async fn acquire(&self, priority: u8) -> Option<Slot> {
        let wait = self.with(|it| {
            if it.running < it.capacity {
                it.start();
                return Err(self.new_slot());
            }
            let (wake, wait) = oneshot::channel();
            it.arrivals += 1;
            it.waiting.push(Waiter { rank: Reverse((priority, it.arrivals)), wake });
            it.record_load();
            Ok(wait)
        });
        match wait {
            Err(slot) => Some(slot),
            Ok(wait) => wait.await.ok(),
        }
    }

    /// Returns the load as it was `lag` ago, or no load if no sample is that old.
    pub(crate) fn load(&self, lag: Duration) -> Load {
        self.with(|it| {
            it.waiting.retain(|waiter| !waiter.wake.is_closed());
            it.record_load();
            let then = Instant::now().checked_sub(lag);
            let past = it.history.iter().rev().find(|(at, _)| then.is_some_and(|t| *at <= t));
            past.map(|(_, load)| *load).unwrap_or_default()
        })
    }

    /// Returns the total time for which slots were occupied.
    pub(crate) fn busy(&self) -> Duration {
        self.with(|it| it.busy)
    }

    /// Returns the largest number of slots that were occupied at once.
    pub(crate) fn peak(&self) -> usize {
        self.with(|it| it.peak)
    }

    fn new_slot(&self) -> Slot {
        Slot { slots: self.clone(), acquired_at: Instant::now() }
    }

    fn with<R>(&self, f: impl FnOnce(&mut State) -> R) -> R {
        f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl State {
    fn start(&mut self) {
        self.running += 1;
        self.peak = self.peak.max(self.running);
        self.record_load();
    }

    /// Adds a load sample and removes old ones.
    fn record_load(&mut self) {
        let now = Instant::now();
        let load = Load { running: self.running, waiting: self.waiting.len() };
        self.history.push_back((now, load));
        // The last sample before the window is kept: it is the load at the window's start.
        while self.history.get(1).is_some_and(|(at, _)| now.duration_since(*at) > HISTORY_WINDOW) {
            self.history.pop_front();
        }
    }
}

impl Slot {
    /// Returns how long the slot has been occupied.
    pub(crate) fn held(&self) -> Duration {
        self.acquired_at.elapsed()
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut next = None;
        self.slots.with(|it| {
            it.running -= 1;
            it.busy += self.acquired_at.elapsed();
            while let Some(waiter) = it.waiting.pop() {
                if !waiter.wake.is_closed() {
                    it.start();
                    next = Some(waiter);
                    break;
                }
            }
            it.record_load();
        });
        // This must run without the lock: if the waiter is gone, `send` drops the slot here, which
        // takes the lock again.
        if let Some(waiter) = next {
            let _ = waiter.wake.send(self.slots.new_slot());
        }
    }
}
