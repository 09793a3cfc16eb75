//! The latest decisions with their reasons, and counters by reason.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Instant;

use arc_swap::ArcSwapOption;
use types::RefusalReason;

use crate::clock::{Clock, Micros};

/// The number of decisions kept.
const MAX_DECISIONS: usize = 256;

/// The minimum time between two refusals that are kept. Under overload there are thousands a
/// second; keeping them would cost more than refusing and would displace everything else. All are
/// counted.
const REFUSAL_GAP_US: Micros = 20_000;

/// One refusal, ejection, hedge or retry, and its reason.
#[derive(Clone, Debug)]
pub struct Decision {
    /// When the decision was made.
    pub at: Instant,
    /// What was decided: `refuse`, `eject`, `keep` (in spite of failures), `return`, `hedge`,
    /// `retry`.
    pub what: &'static str,
    /// The upstream, pool or customer that it concerns.
    pub subject: String,
    /// The reason, with details.
    pub why: String,
}

/// How often something was decided for a reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Counter {
    /// What was decided, as in [`Decision`].
    pub what: &'static str,
    /// The reason.
    pub reason: &'static str,
    /// How often, since the start.
    pub count: u64,
}

/// A kind of decision with its reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DecisionKind {
    Refused(RefusalReason),
    EjectErrors,
    EjectSilent,
    Leaving,
    TooManyEjected,
    ProbeSucceeded,
    LiveAgain,
    Hedge,
    Retry,
}

const REASONS: [RefusalReason; 11] = [
    RefusalReason::CustomerRate,
    RefusalReason::CustomerConcurrency,
    RefusalReason::CustomerTokens,
    RefusalReason::DeadlineTooShort,
    RefusalReason::QueueFull,
    RefusalReason::Displaced,
    RefusalReason::NoUpstream,
    RefusalReason::RetryBudget,
    RefusalReason::Draining,
    RefusalReason::StaleService,
    RefusalReason::NoQuorum,
];

const OTHER_KINDS: [DecisionKind; 8] = [
    DecisionKind::EjectErrors,
    DecisionKind::EjectSilent,
    DecisionKind::Leaving,
    DecisionKind::TooManyEjected,
    DecisionKind::ProbeSucceeded,
    DecisionKind::LiveAgain,
    DecisionKind::Hedge,
    DecisionKind::Retry,
];

const KIND_COUNT: usize = REASONS.len() + OTHER_KINDS.len();

impl DecisionKind {
    fn index(self) -> usize {
        let known = match self {
            DecisionKind::Refused(reason) => REASONS.iter().position(|it| *it == reason),
            other => OTHER_KINDS.iter().position(|it| *it == other).map(|it| it + REASONS.len()),
        };
        known.unwrap_or(0)
    }

    fn from_index(index: usize) -> Self {
        match REASONS.get(index) {
            Some(reason) => DecisionKind::Refused(*reason),
            None => OTHER_KINDS[index - REASONS.len()],
        }
    }

    fn what(self) -> &'static str {
        match self {
            DecisionKind::Refused(_) => "refuse",
            DecisionKind::EjectErrors | DecisionKind::EjectSilent | DecisionKind::Leaving => {
                "eject"
            }
            DecisionKind::TooManyEjected => "keep",
            DecisionKind::ProbeSucceeded | DecisionKind::LiveAgain => "return",
            DecisionKind::Hedge => "hedge",
            DecisionKind::Retry => "retry",
        }
    }

    fn reason(self) -> &'static str {
        match self {
            DecisionKind::Refused(reason) => reason.as_str(),
            DecisionKind::EjectErrors => "errors",
            DecisionKind::EjectSilent => "silent",
            DecisionKind::Leaving => "leaving",
            DecisionKind::TooManyEjected => "too-many-ejected",
            DecisionKind::ProbeSucceeded => "probe-succeeded",
            DecisionKind::LiveAgain => "live-again",
            DecisionKind::Hedge => "late-first-byte",
            DecisionKind::Retry => "call-failed",
        }
    }
}

/// A ring of decisions, and counters. Readers see a decision completely or not at all; writers
/// never wait.
#[derive(Debug)]
pub(crate) struct DecisionLog {
    clock: Arc<Clock>,
    ring: Box<[ArcSwapOption<Decision>]>,
    next: AtomicUsize,
    counts: [AtomicU64; KIND_COUNT],
    last_refusal: AtomicU64,
}

impl DecisionLog {
    pub(crate) fn new(clock: Arc<Clock>) -> Self {
        Self {
            clock,
            ring: (0..MAX_DECISIONS).map(|_| ArcSwapOption::empty()).collect(),
            next: AtomicUsize::new(0),
            counts: [const { AtomicU64::new(0) }; KIND_COUNT],
            last_refusal: AtomicU64::new(0),
        }
    }

    /// Counts a decision and keeps it. `detail` is only called if it is kept.
    pub(crate) fn record(
        &self,
        kind: DecisionKind,
        subject: &str,
        now: Micros,
        detail: impl FnOnce() -> String,
    ) {
        self.counts[kind.index()].fetch_add(1, Ordering::Relaxed);
        if matches!(kind, DecisionKind::Refused(_)) && !self.is_refusal_due(now) {
            return;
        }
        let Some(at) = self.clock.to_instant(now) else {
            return;
        };
        let why_text = format!("{}: {}", kind.reason(), detail());
        let decision =
            Decision { at, what: kind.what(), subject: subject.to_owned(), why: why_text };
        let index = self.next.fetch_add(1, Ordering::Relaxed) % MAX_DECISIONS;
        self.ring[index].store(Some(Arc::new(decision)));
    }

    /// Returns the decisions that are kept, newest first.
    pub(crate) fn latest(&self) -> Vec<Decision> {
        let next = self.next.load(Ordering::Relaxed);
        let indices =
            (0..MAX_DECISIONS).map(|back| (next + MAX_DECISIONS - 1 - back) % MAX_DECISIONS);
        let kept = indices.filter_map(|index| self.ring[index].load_full());
        kept.map(|it| Decision::clone(&it)).collect()
    }

    /// Returns the counters that are not zero.
    pub(crate) fn counters(&self) -> Vec<Counter> {
        let all = self.counts.iter().enumerate().map(|(index, count)| {
            let kind = DecisionKind::from_index(index);
            let count = count.load(Ordering::Relaxed);
            Counter { what: kind.what(), reason: kind.reason(), count }
        });
        all.filter(|it| it.count > 0).collect()
    }

    fn is_refusal_due(&self, now: Micros) -> bool {
        let last = self.last_refusal.load(Ordering::Relaxed);
        if now < last.saturating_add(REFUSAL_GAP_US) {
            return false;
        }
        let swap =
            self.last_refusal.compare_exchange(last, now, Ordering::Relaxed, Ordering::Relaxed);
        swap.is_ok()
    }
}
