//! A pool's queue, ordered by priority, then evenly over customers, then by deadline.

use std::collections::BTreeMap;

use tokio::sync::oneshot;
use types::{CustomerName, Refusal};

use crate::admission::Slot;
use crate::clock::Micros;

/// The channel on which a queued call gets its slot or its refusal.
pub(crate) type Reply = oneshot::Sender<Result<Slot, Refusal>>;

/// The number of started calls between two clean-ups of the customers' start tags.
const CLEANUP_INTERVAL_CALLS: u32 = 256;

/// A queued call.
#[derive(Debug)]
pub(crate) struct QueuedCall {
    pub(crate) priority: u8,
    pub(crate) customer: CustomerName,
    /// When the stage must have ended.
    pub(crate) deadline: Micros,
    /// The expected time of the call once it has started, with its margin.
    pub(crate) expected: Micros,
    pub(crate) reply: Reply,
}

/// The queue, and the start tag of each customer's next call (start-time fair queueing). The tag is
/// one more than that of the customer's last call, but at least the virtual time. The lowest tag
/// goes first. So a customer with many calls waits behind one with few, and a customer that is idle
/// accumulates no credit.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    calls: Vec<QueuedCall>,
    next_starts: BTreeMap<CustomerName, u64>,
    virtual_time: u64,
    since_cleanup: u32,
    /// Whether customers share the pool evenly.
    fair: bool,
}

impl Queue {
    pub(crate) fn new(fair: bool) -> Self {
        Self { fair, ..Self::default() }
    }

    pub(crate) fn len(&self) -> usize {
        self.calls.len()
    }

    pub(crate) fn push(&mut self, call: QueuedCall) {
        self.calls.push(call);
    }

    /// Returns the number of queued calls of this priority.
    pub(crate) fn count(&self, priority: u8) -> u32 {
        self.calls.iter().filter(|it| it.priority == priority).count() as u32
    }

    /// Returns whether a queued call goes before a new one of this priority.
    pub(crate) fn has_call_before(&self, priority: u8) -> bool {
        self.calls.iter().any(|it| it.priority <= priority)
    }

    /// Returns how many queued calls start before a new one of this priority and customer.
    pub(crate) fn calls_ahead(&self, priority: u8, customer: &CustomerName) -> usize {
        let higher = self.calls.iter().filter(|it| it.priority < priority).count();
        let counts = self.calls_by_customer(priority);
        let own = counts.get(customer).copied().unwrap_or(0);
        if !self.fair {
            return higher + counts.values().sum::<usize>();
        }
        let others = counts.iter().filter(|(name, _)| **name != customer);
        higher + own + others.map(|(_, count)| (*count).min(own + 1)).sum::<usize>()
    }

    /// Returns the priority of the next call.
    pub(crate) fn next_priority(&self) -> Option<u8> {
        self.calls.iter().map(|it| it.priority).min()
    }

    /// Removes the next call.
    pub(crate) fn pop(&mut self) -> Option<QueuedCall> {
        let key = |it: &QueuedCall| (it.priority, self.start_tag(&it.customer), it.deadline);
        let (index, _) = self.calls.iter().enumerate().min_by_key(|(_, it)| key(it))?;
        Some(self.calls.swap_remove(index))
    }

    /// Records that a call of the customer starts.
    pub(crate) fn call_started(&mut self, customer: &CustomerName) {
        if !self.fair {
            return;
        }
        let tag = self.start_tag(customer);
        self.virtual_time = self.virtual_time.max(tag);
        self.next_starts.insert(customer.clone(), tag + 1);
        self.since_cleanup += 1;
        if self.since_cleanup >= CLEANUP_INTERVAL_CALLS {
            self.since_cleanup = 0;
            let virtual_time = self.virtual_time;
            self.next_starts.retain(|_, tag| *tag > virtual_time);
        }
    }

    /// Removes the call that a new one of this priority and customer displaces: one of a lower
    /// priority, or of a customer with more queued calls.
    pub(crate) fn displace(&mut self, priority: u8, customer: &CustomerName) -> Option<QueuedCall> {
        let index = self.displaceable(priority, customer)?;
        Some(self.calls.swap_remove(index))
    }

    /// Returns the index of the call that a new one of this priority and customer displaces.
    pub(crate) fn displaceable(&self, priority: u8, customer: &CustomerName) -> Option<usize> {
        let lowest = self.calls.iter().map(|it| it.priority).max()?;
        if lowest < priority {
            return None;
        }
        let counts = self.calls_by_customer(lowest);
        let (longest, count) = counts.iter().max_by_key(|(_, count)| **count)?;
        let own = counts.get(customer).copied().unwrap_or(0);
        if lowest == priority && (!self.fair || *count <= own + 1) {
            return None;
        }
        let matches =
            |it: &QueuedCall| it.priority == lowest && (!self.fair || it.customer == **longest);
        let candidates = self.calls.iter().enumerate().filter(|(_, it)| matches(it));
        candidates.max_by_key(|(_, it)| it.deadline).map(|(index, _)| index)
    }

    /// Removes calls that cannot end in time even if they started now, and calls whose caller is
    /// gone.
    pub(crate) fn expire(&mut self, now: Micros) -> Vec<QueuedCall> {
        let late = |it: &mut QueuedCall| now + it.expected > it.deadline || it.reply.is_closed();
        self.calls.extract_if(.., late).collect()
    }

    fn start_tag(&self, customer: &CustomerName) -> u64 {
        if !self.fair {
            return 0;
        }
        self.next_starts.get(customer).copied().unwrap_or(0).max(self.virtual_time)
    }

    fn calls_by_customer(&self, priority: u8) -> BTreeMap<&CustomerName, usize> {
        let mut counts = BTreeMap::new();
        for call in self.calls.iter().filter(|it| it.priority == priority) {
            *counts.entry(&call.customer).or_insert(0) += 1;
        }
        counts
    }
}
