//! Outlier ejection: decides which upstreams get no calls because they fail, are silent or are
//! leaving.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use crate::clock::Micros;
use crate::policy::{
    EJECT_BASE_US, EJECT_SCORE, FAILED_SCORE, LEAVING_HOLD_US, MAX_EJECT_US, REFUSED_SCORE,
    SUCCESS_SCORE,
};

/// Complete answers after which earlier ejections no longer count.
const STREAK_RESET_ANSWERS: u32 = 32;

/// Whether an upstream may get a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Availability {
    /// It may get calls.
    Available,
    /// It is ejected and due for a probe.
    Probe,
    /// It is ejected.
    Ejected,
    /// It is leaving.
    Leaving,
}

/// The kind of failure that an upstream is ejected for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    Failed,
    Refused,
    Silent,
}

/// The health of one upstream.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// Rises with failures and falls with complete answers.
    score: AtomicU32,
    /// Silent calls since the last complete answer.
    silent: AtomicU32,
    /// When the upstream may be probed; 0 while it is not ejected.
    ejected_until: AtomicU64,
    /// Ejections in a row.
    streak: AtomicU32,
    /// Complete answers since the last ejection.
    successes: AtomicU32,
    /// When the upstream was last reported as leaving; 0 if it is not leaving.
    leaving_since: AtomicU64,
    /// The sequence number of the digest that was current then.
    leaving_digest: AtomicU64,
    /// Whether a digest has reported the upstream as leaving; 1 or 0.
    digest_leaving: AtomicU32,
    /// Whether the service marks the upstream as leaving; 1 or 0.
    marked_leaving: AtomicU32,
}

/// A change of an upstream's availability that a digest reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DigestChange {
    /// It is leaving.
    Leaving,
    /// It is live again.
    Live,
}

impl Health {
    /// Sets the operator's leaving mark.
    pub(crate) fn set_operator_mark(&self, leaving: bool) {
        self.marked_leaving.store(u32::from(leaving), Ordering::Relaxed);
    }

    /// Returns whether the upstream may get a call.
    pub(crate) fn availability(&self, now: Micros) -> Availability {
        if self.is_leaving() {
            return Availability::Leaving;
        }
        match self.ejected_until.load(Ordering::Relaxed) {
            0 => Availability::Available,
            until if now >= until => Availability::Probe,
            _ => Availability::Ejected,
        }
    }

    /// Returns whether the upstream is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving_since.load(Ordering::Relaxed) != 0
            || self.marked_leaving.load(Ordering::Relaxed) != 0
    }

    /// Returns whether the upstream is ejected, due for a probe or not.
    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until.load(Ordering::Relaxed) != 0
    }

    /// Returns whether the upstream is ejected or failed recently.
    pub(crate) fn is_degraded(&self) -> bool {
        self.is_ejected() || self.score.load(Ordering::Relaxed) > 0
    }

    /// Claims the next probe: no other caller gets one before `next`. Otherwise all requests would
    /// probe at once, and an upstream that is still down would fail them all.
    pub(crate) fn claim_probe(&self, now: Micros) -> bool {
        let until = self.ejected_until.load(Ordering::Relaxed);
        if until == 0 || now < until {
            return false;
        }
        let next = now + self.eject_time();
        let swap =
            self.ejected_until.compare_exchange(until, next, Ordering::Relaxed, Ordering::Relaxed);
        swap.is_ok()
    }

    /// Records a failure, and returns whether the upstream should be ejected. A silent connection
    /// says little about the upstream, because something in between may have lost the connection.
    /// Several in a row on new connections do, so each one counts one more than the one before.
    pub(crate) fn record_failure(&self, fault: Fault) -> bool {
        let points = match fault {
            Fault::Failed => FAILED_SCORE,
            Fault::Refused => REFUSED_SCORE,
            Fault::Silent => self.silent.fetch_add(1, Ordering::Relaxed) + 1,
        };
        self.score.fetch_add(points, Ordering::Relaxed) + points >= EJECT_SCORE
    }

    /// Records a complete answer.
    pub(crate) fn record_success(&self) {
        if self.successes.fetch_add(1, Ordering::Relaxed) + 1 >= STREAK_RESET_ANSWERS {
            self.streak.store(0, Ordering::Relaxed);
        }
        self.silent.store(0, Ordering::Relaxed);
        let reduce = |score: u32| (score > 0).then_some(score.saturating_sub(SUCCESS_SCORE));
        let _ = self.score.fetch_update(Ordering::Relaxed, Ordering::Relaxed, reduce);
    }

    /// Ejects the upstream, or extends its ejection. Returns whether it was not ejected before.
    pub(crate) fn eject(&self, now: Micros) -> bool {
        self.score.store(0, Ordering::Relaxed);
        self.successes.store(0, Ordering::Relaxed);
        let before = self.ejected_until.swap(now + self.eject_time(), Ordering::Relaxed);
        self.streak.fetch_add(1, Ordering::Relaxed);
        before == 0
    }

    /// Ends the ejection. Returns whether the upstream was ejected.
    pub(crate) fn restore(&self) -> bool {
        self.score.store(0, Ordering::Relaxed);
        self.silent.store(0, Ordering::Relaxed);
        self.ejected_until.swap(0, Ordering::Relaxed) != 0
    }

    /// Records the upstream's own report that it is leaving. Returns whether this was not known
    /// before.
    pub(crate) fn mark_leaving(&self, sequence: u64, now: Micros) -> bool {
        self.digest_leaving.store(0, Ordering::Relaxed);
        self.leaving_digest.store(sequence, Ordering::Relaxed);
        self.leaving_since.swap(now, Ordering::Relaxed) == 0
    }

    /// Applies the availability that a digest reports, and returns what changed. For a few seconds
    /// the upstream's own report is newer than the sources of a digest. So a digest that reports it
    /// as live only counts if it was certainly made later: after digests that reported it as
    /// leaving, or once [`LEAVING_HOLD_US`] has passed.
    pub(crate) fn apply_digest(
        &self,
        leaving: bool,
        sequence: u64,
        now: Micros,
    ) -> Option<DigestChange> {
        let left = self.leaving_since.load(Ordering::Relaxed);
        if leaving {
            let changed = left == 0 && self.mark_leaving(sequence, now);
            self.digest_leaving.store(1, Ordering::Relaxed);
            return changed.then_some(DigestChange::Leaving);
        }
        if left == 0 {
            return None;
        }
        let newer = sequence > self.leaving_digest.load(Ordering::Relaxed);
        let known = self.digest_leaving.load(Ordering::Relaxed) != 0;
        if !newer || (!known && now < left + LEAVING_HOLD_US) {
            return None;
        }
        self.digest_leaving.store(0, Ordering::Relaxed);
        self.leaving_since.store(0, Ordering::Relaxed);
        Some(DigestChange::Live)
    }

    fn eject_time(&self) -> Micros {
        let doublings = self.streak.load(Ordering::Relaxed).min(10);
        (EJECT_BASE_US << doublings).min(MAX_EJECT_US)
    }
}
