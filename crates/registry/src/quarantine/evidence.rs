//! Keeps recent evidence for the next leader: there was no leader when it was observed, or the leader
//! that received it no longer leads.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::Evidence;

/// How long evidence is kept: many times the duration of an election. A new leader can't know which
/// requests completed since an older termination, and would take harmless ones for the cause.
const RETENTION: Duration = Duration::from_secs(10);

/// The maximum number of observations that are kept.
const MAX_KEPT_OBSERVATIONS: usize = 64;

/// The evidence that an entry gathered lately, in the order in which it was observed.
#[derive(Debug, Default)]
pub struct EvidenceBuffer {
    observed: VecDeque<Observation>,
}

#[derive(Debug)]
struct Observation {
    at: Instant,
    evidence: Evidence,
    sent: bool,
}

impl EvidenceBuffer {
    /// Adds evidence; `sent` tells whether a leader has received it.
    pub fn add(&mut self, evidence: Evidence, sent: bool, now: Instant) {
        // The entry repeats requests for trials and the previous leader's list by itself.
        if matches!(evidence, Evidence::Try(_) | Evidence::Known(_)) {
            return;
        }
        self.evict_old(now);
        if self.observed.len() == MAX_KEPT_OBSERVATIONS {
            self.observed.pop_front();
        }
        self.observed.push_back(Observation { at: now, evidence, sent });
    }

    /// Returns the evidence that no leader has received, with ages as of `now`, and marks it as sent.
    pub fn unsent(&mut self, now: Instant) -> Vec<Evidence> {
        self.evict_old(now);
        let unsent = self.observed.iter_mut().filter(|it| !it.sent);
        unsent.map(|it| it.send(now)).collect()
    }

    /// Returns all evidence, with ages as of `now`, for a new leader.
    pub fn all(&mut self, now: Instant) -> Vec<Evidence> {
        self.evict_old(now);
        self.observed.iter_mut().map(|it| it.send(now)).collect()
    }

    fn evict_old(&mut self, now: Instant) {
        self.observed.retain(|it| now.saturating_duration_since(it.at) < RETENTION);
    }
}

impl Observation {
    fn send(&mut self, now: Instant) -> Evidence {
        self.sent = true;
        let mut evidence = self.evidence.clone();
        let kept = now.saturating_duration_since(self.at).as_millis() as u32;
        if let Evidence::Ended(observed)
        | Evidence::EndedAt(_, observed)
        | Evidence::EndedWithParts(_, observed, _) = &mut evidence
        {
            observed.ago_ms = observed.ago_ms.saturating_add(kept);
        }
        if let Evidence::EndedWithParts(_, _, parts) = &mut evidence {
            for completed_ms in parts.iter_mut().filter_map(|it| it.completed_ms.as_mut()) {
                *completed_ms = completed_ms.saturating_add(kept);
            }
        }
        evidence
    }
}
