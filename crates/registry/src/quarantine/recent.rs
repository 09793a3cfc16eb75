//! Evidence that a leader may not have taken: there was none, or the one that was told leads no more.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::Evidence;

/// For how long evidence is kept: an election takes a fraction of it. Of older ends a new leader can't
/// know which requests have run to their end since, and would take sound ones for the cause.
const KEEP: Duration = Duration::from_secs(10);

/// The most that is kept.
const MOST: usize = 64;

/// What an entry saw lately of requests under which upstreams end, in its order.
#[derive(Debug, Default)]
pub struct Recent {
    seen: VecDeque<Seen>,
}

#[derive(Debug)]
struct Seen {
    at: Instant,
    evidence: Evidence,
    told: bool,
}

impl Recent {
    /// Notes evidence; `told` where a leader was told it.
    pub fn add(&mut self, evidence: Evidence, told: bool, now: Instant) {
        // What was asked of a leader, and what one told, is told anew by itself.
        if matches!(evidence, Evidence::Try(_) | Evidence::Known(_)) {
            return;
        }
        self.forget(now);
        if self.seen.len() == MOST {
            self.seen.pop_front();
        }
        self.seen.push_back(Seen { at: now, evidence, told });
    }

    /// Returns what no leader was told, as of now; it then counts as told.
    pub fn untold(&mut self, now: Instant) -> Vec<Evidence> {
        self.forget(now);
        let untold = self.seen.iter_mut().filter(|it| !it.told);
        untold.map(|it| it.tell(now)).collect()
    }

    /// Returns all of it, as of now, for a leader that has just begun to lead.
    pub fn all(&mut self, now: Instant) -> Vec<Evidence> {
        self.forget(now);
        self.seen.iter_mut().map(|it| it.tell(now)).collect()
    }

    fn forget(&mut self, now: Instant) {
        self.seen.retain(|it| now.saturating_duration_since(it.at) < KEEP);
    }
}

impl Seen {
    fn tell(&mut self, now: Instant) -> Evidence {
        self.told = true;
        let mut evidence = self.evidence.clone();
        if let Evidence::Ended(seen) | Evidence::EndedAt(_, seen) = &mut evidence {
            let waited = now.saturating_duration_since(self.at).as_millis() as u32;
            seen.ago_ms = seen.ago_ms.saturating_add(waited);
        }
        evidence
    }
}
