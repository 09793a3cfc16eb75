//! Claim operations under way: numbered, sent again while their time allows.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;
use types::{ClaimAnswer, ClaimKey, ClaimRequest, ClaimTicket, StoredAnswer};
use wire::session::{EntryMessage, Ticket};

/// After how long a rejected or uncertain operation is sent again; doubles each time, so that what
/// waits for a new leader does not keep the members busy.
const RETRY: Duration = Duration::from_millis(50);

/// How often that time doubles at most.
const RETRY_DOUBLINGS: u32 = 3;

/// After how long without an answer an operation in the background is sent again.
const RESEND: Duration = Duration::from_secs(5);

/// How many operations may be under way.
const LIMIT: usize = 4_096;

/// How many bytes of answers may wait to be stored.
const BYTES_LIMIT: usize = 8 << 20;

const CLEAN: u8 = 0;
const SENT: u8 = 1;
const GIVEN_UP: u8 = 2;

/// Whether an operation can have had an effect; shared with the caller that waits for it.
///
/// The caller's time may run out at the very moment the session sends the operation. Exactly one
/// of the two gets its way: either it is sent, and the caller says that it is uncertain, or it is
/// given up, and never sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Trace(Arc<AtomicU8>);

impl Trace {
    /// The caller gives up. Returns whether the operation certainly has no effect.
    pub(crate) fn give_up(&self) -> bool {
        self.0.compare_exchange(CLEAN, GIVEN_UP, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// The session is about to send. Returns whether it may.
    fn send(&self) -> bool {
        let sent = self.0.compare_exchange(CLEAN, SENT, Ordering::AcqRel, Ordering::Acquire);
        sent.is_ok() || sent == Err(SENT)
    }

    /// All that was sent certainly had no effect.
    fn clean(&self) {
        let _ = self.0.compare_exchange(SENT, CLEAN, Ordering::AcqRel, Ordering::Acquire);
    }
}

/// An operation.
#[derive(Clone, Debug)]
pub(crate) enum Operation {
    Claim(ClaimRequest),
    Finish { key: ClaimKey, proof: ClaimTicket, answer: StoredAnswer },
    Release { key: ClaimKey, proof: ClaimTicket },
}

impl Operation {
    fn message(&self, ticket: Ticket) -> EntryMessage {
        match self.clone() {
            Operation::Claim(request) => EntryMessage::Claim { ticket, request },
            Operation::Finish { key, proof, answer } => {
                EntryMessage::Finish { ticket, key, proof, answer }
            }
            Operation::Release { key, proof } => EntryMessage::Release { ticket, key, proof },
        }
    }

    /// Whether it goes on after its caller stopped waiting: an answer that is not stored leaves
    /// every resend of the request without it.
    pub(crate) fn background(&self) -> bool {
        matches!(self, Operation::Finish { .. })
    }

    fn bytes(&self) -> usize {
        match self {
            Operation::Finish { answer, .. } => answer.body.as_ref().map_or(0, Vec::len),
            _ => 0,
        }
    }
}

/// The answer to a claim, and what may still come of its other sendings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claimed {
    /// The answer.
    pub answer: ClaimAnswer,
    /// Whether an earlier sending was never answered and may yet reach the state. Where the answer is
    /// no grant, that one may be granted later.
    pub doubt: bool,
}

impl Claimed {
    /// Takes an answer to the only sending.
    pub fn sure(answer: ClaimAnswer) -> Self {
        Self { answer, doubt: false }
    }
}

/// What came of an operation.
#[derive(Debug)]
pub(crate) enum Answer {
    /// The answer to a claim.
    Claim(Claimed),
    /// It is committed.
    Committed,
    /// There is no room for it; it was not sent.
    NoRoom,
}

/// An operation and who waits for it.
#[derive(Debug)]
pub(crate) struct Pending {
    pub(crate) operation: Operation,
    pub(crate) trace: Trace,
    pub(crate) reply: oneshot::Sender<Answer>,
    // An earlier sending was never answered, or with uncertain: it may yet have its effect.
    doubt: bool,
    tries: u32,
}

impl Pending {
    pub(crate) fn new(operation: Operation, trace: Trace, reply: oneshot::Sender<Answer>) -> Self {
        Self { operation, trace, reply, doubt: false, tries: 0 }
    }

    fn wanted(&self) -> bool {
        self.operation.background() || !self.reply.is_closed()
    }
}

/// All operations under way.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    waiting: Vec<(Instant, Pending)>,
    sent: BTreeMap<Ticket, (Instant, Pending)>,
    bytes: usize,
}

impl Requests {
    /// Takes a new operation, to be sent at once.
    pub(crate) fn add(&mut self, pending: Pending, now: Instant) {
        let bytes = self.bytes + pending.operation.bytes();
        if self.waiting.len() + self.sent.len() >= LIMIT || bytes > BYTES_LIMIT {
            let _ = pending.reply.send(Answer::NoRoom);
            return;
        }
        self.bytes = bytes;
        self.waiting.push((now, pending));
    }

    /// Sends what is due by `send`, which numbers a message and returns whether it was taken.
    pub(crate) fn send_due(
        &mut self,
        now: Instant,
        ticket: &mut Ticket,
        mut send: impl FnMut(&EntryMessage) -> bool,
    ) {
        let due = self.waiting.extract_if(.., |(at, _)| *at <= now);
        let due: Vec<Pending> = due.map(|(_, pending)| pending).collect();
        for pending in due {
            if !pending.wanted() || !pending.trace.send() {
                self.forget(&pending);
                continue;
            }
            *ticket += 1;
            if send(&pending.operation.message(*ticket)) {
                self.sent.insert(*ticket, (now, pending));
            } else {
                self.again(pending, now);
            }
        }
    }

    /// Returns when the next operation is due.
    pub(crate) fn next_due(&self) -> Option<Instant> {
        self.waiting.iter().map(|(at, _)| *at).min()
    }

    /// Takes the answer of an operation; one that nobody waits for is dropped.
    pub(crate) fn answered(&mut self, ticket: Ticket, mut answer: Answer) {
        if let Some((_, pending)) = self.sent.remove(&ticket) {
            self.forget(&pending);
            if let Answer::Claim(claimed) = &mut answer {
                claimed.doubt = pending.doubt;
            }
            let _ = pending.reply.send(answer);
        }
    }

    /// The member says that this sending had and will have no effect.
    pub(crate) fn rejected(&mut self, ticket: Ticket, now: Instant) {
        if let Some((_, pending)) = self.sent.remove(&ticket) {
            self.again(pending, now);
        }
    }

    /// The member does not know whether it has an effect.
    pub(crate) fn uncertain(&mut self, ticket: Ticket, now: Instant) {
        if let Some((_, mut pending)) = self.sent.remove(&ticket) {
            pending.doubt = true;
            self.again(pending, now);
        }
    }

    /// The connection is lost: whatever was sent and not answered may have its effect, and is sent
    /// again over the next. The state answers the same ticket the same way.
    pub(crate) fn lost(&mut self, now: Instant) {
        for (_, (_, mut pending)) in std::mem::take(&mut self.sent) {
            pending.doubt = true;
            self.waiting.push((now, pending));
        }
    }

    /// Drops what nobody waits for any more, and sends again what got no answer for long.
    pub(crate) fn sweep(&mut self, now: Instant) {
        let unwanted = |pending: &Pending| !pending.wanted();
        let gone: Vec<Pending> = self
            .waiting
            .extract_if(.., |(_, pending)| unwanted(pending))
            .map(|(_, pending)| pending)
            .chain(self.sent.extract_if(.., |_, it| unwanted(&it.1)).map(|(_, (_, it))| it))
            .collect();
        gone.iter().for_each(|pending| self.forget(pending));
        let late = self.sent.extract_if(.., |_, (at, pending)| {
            pending.operation.background() && now.saturating_duration_since(*at) >= RESEND
        });
        for (_, (_, mut pending)) in late.collect::<Vec<_>>() {
            pending.doubt = true;
            self.waiting.push((now, pending));
        }
    }

    fn again(&mut self, mut pending: Pending, now: Instant) {
        if !pending.doubt {
            pending.trace.clean();
        }
        let pause = RETRY * 2_u32.pow(pending.tries.min(RETRY_DOUBLINGS));
        pending.tries += 1;
        self.waiting.push((now + pause, pending));
    }

    fn forget(&mut self, pending: &Pending) {
        self.bytes -= pending.operation.bytes();
    }
}
