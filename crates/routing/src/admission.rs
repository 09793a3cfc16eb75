//! Slots in a pool: decides which calls start, wait or are refused.

use std::sync::atomic::Ordering;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use types::{CustomerName, Refusal, RefusalReason};

use crate::clock::Micros;
use crate::decisions::DecisionKind;
use crate::limits::Account;
use crate::policy::{MAX_QUEUE_LEN, MIN_QUEUE_LEN, QUEUED_PER_SLOT};
use crate::pool::{LOWEST_PRIORITY, PoolState, sum, sum_up_to};
use crate::queue::QueuedCall;
use crate::table::StageView;
use crate::work::{PoolWork, QueueChanges, has_slot};

/// A request's use of its customer's limits. Dropping it ends the use.
#[derive(Debug)]
pub struct Admission {
    pub(crate) account: Option<Arc<Account>>,
    pub(crate) last: Option<Arc<PoolState>>,
    pub(crate) priority: u8,
    pub(crate) customer: CustomerName,
}

impl Drop for Admission {
    fn drop(&mut self) {
        if let Some(account) = &self.account {
            account.release();
        }
        if let Some(pool) = &self.last {
            pool.lock().request_ended(pool, self.priority, &self.customer);
        }
    }
}

/// A slot in a pool. Dropping it returns the slot and starts the next queued call.
#[derive(Debug)]
pub struct Slot {
    pool: Arc<PoolState>,
    priority: u8,
}

impl Drop for Slot {
    fn drop(&mut self) {
        // The lock is held here. Otherwise a call that finds no slot and queues itself while this
        // slot becomes free would not be noticed until the next tick.
        let now = self.pool.clock.latest();
        let mut work = self.pool.lock();
        work.end_call(&self.pool, self.priority);
        let changes = work.advance(&self.pool, now);
        drop(work);
        self.pool.deliver(changes, now);
    }
}

/// The response to a request for a slot.
#[derive(Debug)]
pub enum SlotResponse {
    /// The stage may be called now.
    Granted(Slot),
    /// The stage is queued. The receiver gets its slot or its refusal.
    Queued(oneshot::Receiver<Result<Slot, Refusal>>),
    /// The stage is refused.
    Refused(Refusal),
}

/// A stage's request for a slot.
pub(crate) struct SlotRequest<'a> {
    pub(crate) priority: u8,
    pub(crate) customer: &'a CustomerName,
    pub(crate) deadline: Micros,
    /// The mean time of the stage.
    pub(crate) expected: Micros,
    /// The time that must be left in addition if other calls wait for the slot.
    pub(crate) margin: Micros,
}

impl PoolState {
    pub(crate) fn lock(&self) -> MutexGuard<'_, PoolWork> {
        self.work.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the queue accepts no call of this priority and customer. Requests are
    /// refused for this at admission. A later refusal would waste the work of the earlier stages,
    /// and the caller could no longer be told that nothing ran.
    pub(crate) fn is_full(&self, priority: u8, customer: &CustomerName) -> bool {
        let full = sum(&self.queued) as usize >= self.queue_target();
        priority > 0 && full && self.lock().queue.displaceable(priority, customer).is_none()
    }

    /// Starts, queues or refuses a stage.
    pub(crate) fn request_slot(
        self: &Arc<Self>,
        request: &SlotRequest<'_>,
        now: Micros,
    ) -> SlotResponse {
        let priority = request.priority;
        let idle = sum(&self.running) == 0;
        if now + request.expected > request.deadline && !(idle && now < request.deadline) {
            return SlotResponse::Refused(self.refuse(
                RefusalReason::DeadlineTooShort,
                priority,
                now,
            ));
        }
        let mut work = self.lock();
        if has_slot(self, priority) && !work.queue.has_call_before(priority) {
            work.start_call(self, priority, request.customer);
            return SlotResponse::Granted(self.slot(priority));
        }
        let ahead = work.queue.calls_ahead(priority, request.customer);
        let wait = (ahead + 1) as f64 / self.slot_rate(priority, now);
        let expected = request.expected + request.margin;
        if now + wait as Micros + expected > request.deadline {
            drop(work);
            return SlotResponse::Refused(self.refuse(
                RefusalReason::DeadlineTooShort,
                priority,
                now,
            ));
        }
        let mut displaced = None;
        if work.queue.len() >= self.queue_target() {
            displaced = work.queue.displace(priority, request.customer);
            let limit = if priority == 0 { MAX_QUEUE_LEN } else { 0 };
            if displaced.is_none() && work.queue.len() >= limit {
                drop(work);
                return SlotResponse::Refused(self.refuse(RefusalReason::QueueFull, priority, now));
            }
        }
        let (reply, receiver) = oneshot::channel();
        let deadline = request.deadline;
        let customer = request.customer.clone();
        work.queue.push(QueuedCall { priority, customer, deadline, expected, reply });
        work.publish(self);
        drop(work);
        if let Some(call) = displaced {
            let refusal = self.refuse(RefusalReason::Displaced, call.priority, now);
            let _ = call.reply.send(Err(refusal));
        }
        SlotResponse::Queued(receiver)
    }

    /// Starts the calls that have a slot and refuses those that no longer have enough time.
    pub(crate) fn advance(self: &Arc<Self>, now: Micros) {
        if sum(&self.queued) == 0 {
            return;
        }
        let changes = self.lock().advance(self, now);
        self.deliver(changes, now);
    }

    /// Sends the queued calls their slots or refusals.
    fn deliver(self: &Arc<Self>, changes: QueueChanges, now: Micros) {
        for call in changes.expired {
            if !call.reply.is_closed() {
                let refusal = self.refuse(RefusalReason::DeadlineTooShort, call.priority, now);
                let _ = call.reply.send(Err(refusal));
            }
        }
        for call in changes.started {
            // If the receiver is gone, the slot returns in the error, and dropping it starts the
            // next call.
            let _ = call.reply.send(Ok(self.slot(call.priority)));
        }
    }

    /// Records a refusal and computes the time after which to retry.
    pub(crate) fn refuse(&self, reason: RefusalReason, priority: u8, now: Micros) -> Refusal {
        let backlog = f64::from(sum(&self.queued));
        let ahead = f64::from(sum_up_to(&self.queued, priority));
        let time =
            self.refusals.retry_after(priority, ahead, self.slot_rate(LOWEST_PRIORITY, now), now);
        self.log.record(DecisionKind::Refused(reason), self.name.as_str(), now, || {
            let running = sum(&self.running);
            let limit = self.limit.load(Ordering::Relaxed);
            format!("{running} of {limit} calls running, {backlog} queued")
        });
        Refusal { reason, retry_after: Duration::from_micros(time) }
    }

    /// Returns how long a new request of this priority waits for this pool as its last stage, in
    /// microseconds: behind all admitted requests of at least its priority, whichever stage they
    /// are at. If `fair_share` is given, customers take turns, and only this share of its own
    /// priority is ahead of it.
    pub(crate) fn backlog_wait(&self, priority: u8, fair_share: Option<f64>, now: Micros) -> f64 {
        let admitted = f64::from(sum_up_to(&self.admitted, priority));
        let running = f64::from(sum_up_to(&self.running, priority));
        let equal = f64::from(self.admitted[usize::from(priority)].load(Ordering::Relaxed));
        let skipped = equal * fair_share.map_or(0.0, |it| 1.0 - it);
        self.wait((admitted - running - skipped).max(0.0), priority, now)
    }

    /// Returns how long a new call of this priority waits in this pool's queue, in microseconds.
    pub(crate) fn queue_wait(&self, priority: u8, now: Micros) -> f64 {
        self.wait(f64::from(sum_up_to(&self.queued, priority)), priority, now)
    }

    fn wait(&self, ahead: f64, priority: u8, now: Micros) -> f64 {
        let free = f64::from(self.slots(priority).saturating_sub(sum(&self.running)));
        if ahead < free {
            return 0.0;
        }
        (ahead - free + 1.0) / self.slot_rate(priority, now)
    }

    /// Returns the queue length from which a call is only accepted if it displaces another one. The
    /// queue only has to keep the upstreams busy until refused callers retry; with a longer queue
    /// all answers are late. Calls of priority 0 are limited by their deadlines instead.
    fn queue_target(&self) -> usize {
        let limit = self.limit.load(Ordering::Relaxed);
        (limit * QUEUED_PER_SLOT).max(MIN_QUEUE_LEN) as usize
    }

    fn slot(self: &Arc<Self>, priority: u8) -> Slot {
        Slot { pool: Arc::clone(self), priority }
    }
}

/// Returns whether a request can pass all its stages in time. Work that starts and fails at a later
/// stage is the most expensive, because it took a slot from work that could have completed. The
/// margin only counts if there is a backlog, because an idle slot costs nothing. A pool without
/// admitted requests accepts one whatever the estimates say, because only calls correct them.
pub(crate) fn fits_deadline(
    stages: &[StageView],
    request: &SlotRequest<'_>,
    margin: f64,
    fair: bool,
    now: Micros,
) -> bool {
    let Some((last, before)) = stages.split_last() else {
        return true;
    };
    let left = request.deadline.saturating_sub(now) as f64;
    let priority = request.priority;
    let mut start = 0.0;
    let mut variance = 0.0;
    for stage in before {
        let (time, deviation) = stage.time(now);
        start += stage.pool.queue_wait(priority, now) + time;
        variance += deviation * deviation;
    }
    let (time, deviation) = last.time(now);
    variance += deviation * deviation;
    let margin = margin * f64::sqrt(variance);
    let ends = |backlog: f64| {
        let margin = if backlog > 0.0 { margin } else { 0.0 };
        start.max(backlog) + time + margin
    };
    if left > 0.0 && sum(&last.pool.admitted) == 0 {
        return true;
    }
    if ends(last.pool.backlog_wait(priority, None, now)) <= left {
        return true;
    }
    if !fair || ends(0.0) > left {
        return false;
    }
    let fair_share = last.pool.lock().share_ahead(priority, request.customer);
    ends(last.pool.backlog_wait(priority, Some(fair_share), now)) <= left
}
