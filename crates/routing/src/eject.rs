//! Which upstreams take no work for now: failing ones, stragglers, leaving ones.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use crate::clock::Us;
use crate::policy::{
    EJECT_FIRST, EJECT_LONGEST, EJECT_SCORE, FAILED_SCORE, LEAVING_HOLD, OK_SCORE, REFUSED_SCORE,
};

/// Whole answers after which an upstream's earlier ejections no longer count.
const FORGIVEN: u32 = 32;

/// Whether an upstream may get a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fit {
    /// It may.
    Yes,
    /// It is ejected and due for a probe.
    Probe,
    /// It is ejected.
    Ejected,
    /// It is leaving.
    Leaving,
}

/// Why an upstream is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    Failed,
    Refused,
    Silent,
}

/// The health of one upstream.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// Rises with failures and falls with whole answers.
    score: AtomicU32,
    /// Silent calls since the last byte of anything.
    silent: AtomicU32,
    /// When it may be probed; 0 while it is not ejected.
    until: AtomicU64,
    /// Ejections in a row.
    streak: AtomicU32,
    /// Whole answers since the last ejection.
    good: AtomicU32,
    /// When it was last seen to be leaving; 0 for never.
    left: AtomicU64,
    /// The digest current at that time.
    left_seen: AtomicU64,
    /// Whether a digest called it leaving; 1 or 0.
    told: AtomicU32,
    /// Whether the service marks it as leaving; 1 or 0.
    marked: AtomicU32,
}

/// What a digest changed about an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Told {
    /// It leaves.
    Left,
    /// It is back.
    Back,
}

impl Health {
    /// Takes the operator's mark.
    pub(crate) fn mark(&self, leaving: bool) {
        self.marked.store(u32::from(leaving), Ordering::Relaxed);
    }

    /// Tells whether the upstream may get a call.
    pub(crate) fn fit(&self, now: Us) -> Fit {
        if self.leaving() {
            return Fit::Leaving;
        }
        match self.until.load(Ordering::Relaxed) {
            0 => Fit::Yes,
            until if now >= until => Fit::Probe,
            _ => Fit::Ejected,
        }
    }

    /// Tells whether it is leaving.
    pub(crate) fn leaving(&self) -> bool {
        self.left.load(Ordering::Relaxed) != 0 || self.marked.load(Ordering::Relaxed) != 0
    }

    /// Tells whether it is ejected, due for a probe or not.
    pub(crate) fn ejected(&self) -> bool {
        self.until.load(Ordering::Relaxed) != 0
    }

    /// Tells whether it is ejected or failed lately.
    pub(crate) fn troubled(&self) -> bool {
        self.ejected() || self.score.load(Ordering::Relaxed) > 0
    }

    /// Takes the next probe for the caller: no other gets it until `next`. Without this every
    /// request would probe at once and an upstream that is still down would fail them all.
    pub(crate) fn claim(&self, now: Us) -> bool {
        let until = self.until.load(Ordering::Relaxed);
        if until == 0 || now < until {
            return false;
        }
        let next = now + self.pause();
        let swap = self.until.compare_exchange(until, next, Ordering::Relaxed, Ordering::Relaxed);
        swap.is_ok()
    }

    /// Takes a failure; returns whether the upstream should be ejected. A silent connection says
    /// little of the upstream, for something between may have lost track of it; a row of them over
    /// new connections does, so each counts one more than the one before.
    pub(crate) fn failed(&self, fault: Fault) -> bool {
        let points = match fault {
            Fault::Failed => FAILED_SCORE,
            Fault::Refused => REFUSED_SCORE,
            Fault::Silent => self.silent.fetch_add(1, Ordering::Relaxed) + 1,
        };
        self.score.fetch_add(points, Ordering::Relaxed) + points >= EJECT_SCORE
    }

    /// Takes a whole answer.
    pub(crate) fn worked(&self) {
        if self.good.fetch_add(1, Ordering::Relaxed) + 1 >= FORGIVEN {
            self.streak.store(0, Ordering::Relaxed);
        }
        self.silent.store(0, Ordering::Relaxed);
        let less = |score: u32| (score > 0).then_some(score.saturating_sub(OK_SCORE));
        let _ = self.score.fetch_update(Ordering::Relaxed, Ordering::Relaxed, less);
    }

    /// Ejects it, or keeps an ejected one out for longer; returns whether it was in.
    pub(crate) fn eject(&self, now: Us) -> bool {
        self.score.store(0, Ordering::Relaxed);
        self.good.store(0, Ordering::Relaxed);
        let was = self.until.swap(now + self.pause(), Ordering::Relaxed);
        self.streak.fetch_add(1, Ordering::Relaxed);
        was == 0
    }

    /// Lets it back in; returns whether it was out.
    pub(crate) fn restore(&self) -> bool {
        self.score.store(0, Ordering::Relaxed);
        self.silent.store(0, Ordering::Relaxed);
        self.until.swap(0, Ordering::Relaxed) != 0
    }

    /// Takes the upstream's own report that it is leaving; returns whether that is news.
    pub(crate) fn leave(&self, sequence: u64, now: Us) -> bool {
        self.told.store(0, Ordering::Relaxed);
        self.left_seen.store(sequence, Ordering::Relaxed);
        self.left.swap(now, Ordering::Relaxed) == 0
    }

    /// Takes what a digest says. The upstream's own report is newer than what a digest's sources know
    /// for a few seconds, so a digest that calls it live counts only if it was made after, which
    /// is sure once digests have called it leaving in between, or once the hold is over; returns
    /// what changed.
    pub(crate) fn told(&self, leaving: bool, sequence: u64, now: Us) -> Option<Told> {
        let left = self.left.load(Ordering::Relaxed);
        if leaving {
            let news = left == 0 && self.leave(sequence, now);
            self.told.store(1, Ordering::Relaxed);
            return news.then_some(Told::Left);
        }
        if left == 0 {
            return None;
        }
        let newer = sequence > self.left_seen.load(Ordering::Relaxed);
        let known = self.told.load(Ordering::Relaxed) != 0;
        if !newer || (!known && now < left + LEAVING_HOLD) {
            return None;
        }
        self.told.store(0, Ordering::Relaxed);
        self.left.store(0, Ordering::Relaxed);
        Some(Told::Back)
    }

    fn pause(&self) -> Us {
        let doublings = self.streak.load(Ordering::Relaxed).min(10);
        (EJECT_FIRST << doublings).min(EJECT_LONGEST)
    }
}
