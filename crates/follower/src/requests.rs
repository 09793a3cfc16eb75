//! Claim operations in flight, which are numbered and sent again until their deadline.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;
use types::{ClaimAnswer, ClaimKey, ClaimRequest, ClaimTicket, StoredAnswer};
use wire::session::{EntryMessage, Ticket};

/// The delay before a rejected or uncertain operation is sent again. It doubles with each retry, so
/// that operations waiting for a new leader do not keep the members busy.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The maximum number of times that the delay doubles.
const MAX_RETRY_DOUBLINGS: u32 = 3;

/// The time without an answer after which a background operation is sent again.
const RESEND_TIMEOUT: Duration = Duration::from_secs(5);

/// The maximum number of operations in flight.
const MAX_OPERATIONS: usize = 4_096;

/// The maximum total size of answers that wait to be stored, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

const UNSENT: u8 = 0;
const SENT: u8 = 1;
const CANCELLED: u8 = 2;

/// Records whether an operation may have taken effect; shared with the caller that waits for it.
///
/// The caller's deadline may pass at the moment in which the session sends the operation. The
/// atomic state lets exactly one of them succeed: either the operation is sent and the caller
/// reports it as uncertain, or it is cancelled and never sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct SendState(Arc<AtomicU8>);

impl SendState {
    /// Cancels the operation for the caller. Returns whether it certainly has no effect.
    pub(crate) fn cancel(&self) -> bool {
        self.0.compare_exchange(UNSENT, CANCELLED, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// Marks the operation as sent. Returns `false` if it was cancelled and must not be sent.
    fn begin_send(&self) -> bool {
        let sent = self.0.compare_exchange(UNSENT, SENT, Ordering::AcqRel, Ordering::Acquire);
        sent.is_ok() || sent == Err(SENT)
    }

    /// Marks the operation as unsent, after every attempt so far was certainly without effect.
    fn reset(&self) {
        let _ = self.0.compare_exchange(SENT, UNSENT, Ordering::AcqRel, Ordering::Acquire);
    }
}

/// A claim operation.
#[derive(Clone, Debug)]
pub(crate) enum Operation {
    Claim(ClaimRequest),
    Finish { key: ClaimKey, claim_ticket: ClaimTicket, answer: StoredAnswer },
    Release { key: ClaimKey, claim_ticket: ClaimTicket },
}

impl Operation {
    fn message(&self, ticket: Ticket) -> EntryMessage {
        match self.clone() {
            Operation::Claim(request) => EntryMessage::Claim { ticket, request },
            Operation::Finish { key, claim_ticket, answer } => {
                EntryMessage::Finish { ticket, key, proof: claim_ticket, answer }
            }
            Operation::Release { key, claim_ticket } => {
                EntryMessage::Release { ticket, key, proof: claim_ticket }
            }
        }
    }

    /// Returns whether the operation continues after its caller stopped waiting. If an answer were
    /// not stored, every resend of the request would miss it.
    pub(crate) fn is_background(&self) -> bool {
        matches!(self, Operation::Finish { .. })
    }

    fn answer_bytes(&self) -> usize {
        match self {
            Operation::Finish { answer, .. } => answer.body.as_ref().map_or(0, Vec::len),
            _ => 0,
        }
    }
}

/// The answer to a claim, and whether another attempt may still change it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claimed {
    /// The answer.
    pub answer: ClaimAnswer,
    /// Whether an earlier attempt was never answered and may still reach the state. If the answer
    /// is not a grant, that attempt may be granted later.
    pub open_attempt: bool,
}

impl Claimed {
    /// Creates the result of a claim that was sent only once.
    pub fn certain(answer: ClaimAnswer) -> Self {
        Self { answer, open_attempt: false }
    }
}

/// The result of an operation.
#[derive(Debug)]
pub(crate) enum Answer {
    /// The answer to a claim.
    Claim(Claimed),
    /// The operation is committed.
    Committed,
    /// The queue is full; the operation was not sent.
    NoRoom,
}

/// An operation and the caller that waits for it.
#[derive(Debug)]
pub(crate) struct Pending {
    pub(crate) operation: Operation,
    pub(crate) send_state: SendState,
    pub(crate) reply: oneshot::Sender<Answer>,
    // Whether an earlier attempt got no answer, or an uncertain one, and may still take effect.
    open_attempt: bool,
    retries: u32,
}

impl Pending {
    pub(crate) fn new(
        operation: Operation,
        send_state: SendState,
        reply: oneshot::Sender<Answer>,
    ) -> Self {
        Self { operation, send_state, reply, open_attempt: false, retries: 0 }
    }

    fn is_wanted(&self) -> bool {
        self.operation.is_background() || !self.reply.is_closed()
    }
}

/// All operations in flight.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    waiting: Vec<(Instant, Pending)>,
    sent: BTreeMap<Ticket, (Instant, Pending)>,
    answer_bytes: usize,
}

impl Requests {
    /// Adds a new operation, which is to be sent at once.
    pub(crate) fn add(&mut self, pending: Pending, now: Instant) {
        let answer_bytes = self.answer_bytes + pending.operation.answer_bytes();
        if self.waiting.len() + self.sent.len() >= MAX_OPERATIONS || answer_bytes > MAX_ANSWER_BYTES
        {
            let _ = pending.reply.send(Answer::NoRoom);
            return;
        }
        self.answer_bytes = answer_bytes;
        self.waiting.push((now, pending));
    }

    /// Sends the operations that are due with `send`, which returns whether the message was
    /// accepted.
    pub(crate) fn send_due(
        &mut self,
        now: Instant,
        ticket: &mut Ticket,
        mut send: impl FnMut(&EntryMessage) -> bool,
    ) {
        let due = self.waiting.extract_if(.., |(at, _)| *at <= now);
        let due: Vec<Pending> = due.map(|(_, pending)| pending).collect();
        for pending in due {
            if !pending.is_wanted() || !pending.send_state.begin_send() {
                self.release_bytes(&pending);
                continue;
            }
            *ticket += 1;
            if send(&pending.operation.message(*ticket)) {
                self.sent.insert(*ticket, (now, pending));
            } else {
                self.schedule_retry(pending, now);
            }
        }
    }

    /// Returns the time at which the next operation is due.
    pub(crate) fn next_due(&self) -> Option<Instant> {
        self.waiting.iter().map(|(at, _)| *at).min()
    }

    /// Delivers the answer of an operation. An answer without a waiting caller is dropped.
    pub(crate) fn answered(&mut self, ticket: Ticket, mut answer: Answer) {
        if let Some((_, pending)) = self.sent.remove(&ticket) {
            self.release_bytes(&pending);
            if let Answer::Claim(claimed) = &mut answer {
                claimed.open_attempt = pending.open_attempt;
            }
            let _ = pending.reply.send(answer);
        }
    }

    /// Handles a rejection: this attempt had and will have no effect.
    pub(crate) fn rejected(&mut self, ticket: Ticket, now: Instant) {
        if let Some((_, pending)) = self.sent.remove(&ticket) {
            self.schedule_retry(pending, now);
        }
    }

    /// Handles an uncertain result: the member does not know whether the attempt takes effect.
    pub(crate) fn uncertain(&mut self, ticket: Ticket, now: Instant) {
        if let Some((_, mut pending)) = self.sent.remove(&ticket) {
            pending.open_attempt = true;
            self.schedule_retry(pending, now);
        }
    }

    /// Handles a lost connection. Operations that were sent and not answered may still take effect;
    /// they are sent again over the next connection. The state answers the same ticket in the same
    /// way.
    pub(crate) fn connection_lost(&mut self, now: Instant) {
        for (_, (_, mut pending)) in std::mem::take(&mut self.sent) {
            pending.open_attempt = true;
            self.waiting.push((now, pending));
        }
    }

    /// Removes operations without a waiting caller, and sends background operations again that got
    /// no answer for [`RESEND_TIMEOUT`].
    pub(crate) fn sweep(&mut self, now: Instant) {
        let unwanted = |pending: &Pending| !pending.is_wanted();
        let unwanted_operations: Vec<Pending> = self
            .waiting
            .extract_if(.., |(_, pending)| unwanted(pending))
            .map(|(_, pending)| pending)
            .chain(self.sent.extract_if(.., |_, it| unwanted(&it.1)).map(|(_, (_, it))| it))
            .collect();
        unwanted_operations.iter().for_each(|pending| self.release_bytes(pending));
        let late = self.sent.extract_if(.., |_, (at, pending)| {
            pending.operation.is_background()
                && now.saturating_duration_since(*at) >= RESEND_TIMEOUT
        });
        for (_, (_, mut pending)) in late.collect::<Vec<_>>() {
            pending.open_attempt = true;
            self.waiting.push((now, pending));
        }
    }

    fn schedule_retry(&mut self, mut pending: Pending, now: Instant) {
        if !pending.open_attempt {
            pending.send_state.reset();
        }
        let delay = INITIAL_RETRY_DELAY * 2_u32.pow(pending.retries.min(MAX_RETRY_DOUBLINGS));
        pending.retries += 1;
        self.waiting.push((now + delay, pending));
    }

    fn release_bytes(&mut self, pending: &Pending) {
        self.answer_bytes -= pending.operation.answer_bytes();
    }
}
