//! Decides which upstreams are passed over.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use registry::outcomes::{OUTCOME_WINDOW, Outcomes, UpstreamTotal};
use tokio::time::Instant;

use super::evidence::{Excess, Kind, Rate, Recovery};
use super::trials::Trials;

/// Of this many upstreams of a service, one may be passed over.
const UPSTREAMS_PER_PASSED: usize = 3;

/// How long an upstream is passed over without any outcome. Where no request may be a trial, it
/// gets its share back then.
const UNTRIED_TIME: Duration = Duration::from_secs(10);

/// A service, as the sums of all entries show it.
#[derive(Clone, Debug)]
pub struct ServiceView<'a> {
    /// Its name.
    pub service: &'a Arc<str>,
    /// How many of its upstreams are open.
    pub open: usize,
    /// The outcomes at all its upstreams.
    pub total: Outcomes,
    /// Its upstreams in the sums.
    pub candidates: Vec<Candidate>,
}

/// An upstream in the sums.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Its id.
    pub id: Arc<str>,
    /// Its sums.
    pub total: UpstreamTotal,
}

/// A change of the upstreams that are passed over.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// An upstream is passed over from now on.
    Passed {
        /// Its id.
        id: Arc<str>,
        /// The share of its requests that fail.
        rate: Rate,
        /// The share at the others of the service.
        usual: Rate,
        /// Its outcomes.
        outcomes: Outcomes,
    },
    /// An upstream gets its share again.
    Returned {
        /// Its id.
        id: Arc<str>,
        /// Why.
        why: Return,
    },
}

/// Why an upstream gets its share again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Return {
    /// Trials succeeded.
    Sound,
    /// It has started again.
    Restarted,
    /// No request was tried for a while.
    Untried,
    /// Too many of its service would be passed over.
    Needed,
    /// The sums are not known any more.
    Unknown,
}

impl fmt::Display for Return {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Sound => "trials succeeded",
            Self::Restarted => "it has started again",
            Self::Untried => "no request was tried",
            Self::Needed => "too few others of its service are open",
            Self::Unknown => "the outcomes of all entries are not known",
        })
    }
}

/// An upstream that is passed over.
#[derive(Clone, Debug)]
struct PassedOver {
    service: Arc<str>,
    excess: Excess,
    /// How many outcomes its history had when it was passed over.
    count: u32,
    started_ms: u64,
    /// How many outcomes its history had last, and since when.
    last: (u32, Instant),
    trials: Trials,
}

/// The upstreams that are passed over.
#[derive(Debug, Default)]
pub struct Judge {
    passed: HashMap<Arc<str>, PassedOver>,
}

impl Judge {
    /// Judges a service by new sums; returns what has changed.
    pub fn judge(&mut self, view: &ServiceView<'_>, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        let limit = view.open / UPSTREAMS_PER_PASSED;
        let rate = f64::from(view.total.count()) / OUTCOME_WINDOW.as_secs_f64();
        for candidate in &view.candidates {
            if let Some(it) = self.passed.get_mut(&candidate.id)
                && let Some(why) = it.update(&candidate.total, rate, now)
            {
                self.remove(&candidate.id, why, &mut changes);
            }
        }
        self.enforce(view.service, limit, &mut changes);
        let mut found: Vec<(&Candidate, Excess)> = view
            .candidates
            .iter()
            .filter(|it| !self.passed.contains_key(&it.id))
            .filter_map(|it| Some((it, excess(&it.total, view.total)?)))
            .collect();
        found.sort_by(|a, b| b.1.over.total_cmp(&a.1.over).then_with(|| a.0.id.cmp(&b.0.id)));
        let room = limit.saturating_sub(self.count(view.service));
        for (candidate, excess) in found.into_iter().take(room) {
            changes.push(self.pass(view.service, candidate, excess, rate, now));
        }
        changes
    }

    fn pass(
        &mut self,
        service: &Arc<str>,
        candidate: &Candidate,
        excess: Excess,
        rate: f64,
        now: Instant,
    ) -> Change {
        let Candidate { id, total } = candidate;
        let count = total.history.count();
        let passed = PassedOver {
            service: Arc::clone(service),
            excess,
            count,
            started_ms: total.started_ms,
            last: (count, now),
            trials: Trials::new(0.0, now, rate),
        };
        self.passed.insert(Arc::clone(id), passed);
        let Excess { rate, usual, .. } = excess;
        Change::Passed { id: Arc::clone(id), rate, usual, outcomes: total.total }
    }

    /// Returns upstreams of which nothing was heard, and those that are not listed any more.
    pub fn expire(&mut self, listed: impl Fn(&str) -> bool, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        let untried = |it: &PassedOver| it.last.1 + UNTRIED_TIME <= now;
        let due = self.passed.iter().filter(|(id, it)| !listed(id) || untried(it));
        for id in due.map(|it| Arc::clone(it.0)).collect::<Vec<_>>() {
            self.remove(&id, Return::Untried, &mut changes);
        }
        changes
    }

    /// Returns all upstreams, since the sums are not known any more.
    pub fn clear(&mut self) -> Vec<Change> {
        let passed = std::mem::take(&mut self.passed).into_keys();
        passed.map(|id| Change::Returned { id, why: Return::Unknown }).collect()
    }

    /// Returns the trials at an upstream if it is passed over.
    pub fn trials(&self, id: &str) -> Option<Trials> {
        self.passed.get(id).map(|it| it.trials)
    }

    /// Returns the ids of the upstreams that are passed over.
    pub fn passed(&self) -> impl Iterator<Item = &Arc<str>> {
        self.passed.keys()
    }

    fn count(&self, service: &Arc<str>) -> usize {
        self.passed.values().filter(|it| it.service == *service).count()
    }

    /// Returns those that fail least while more are passed over than `limit`.
    fn enforce(&mut self, service: &Arc<str>, limit: usize, changes: &mut Vec<Change>) {
        while self.count(service) > limit {
            let ours = self.passed.iter().filter(|it| it.1.service == *service);
            let least = ours.min_by(|a, b| {
                a.1.excess.over.total_cmp(&b.1.excess.over).then_with(|| b.0.cmp(a.0))
            });
            let Some(id) = least.map(|it| Arc::clone(it.0)) else { return };
            self.remove(&id, Return::Needed, changes);
        }
    }

    fn remove(&mut self, id: &Arc<str>, why: Return, changes: &mut Vec<Change>) {
        self.passed.remove(id);
        changes.push(Change::Returned { id: Arc::clone(id), why });
    }
}

impl PassedOver {
    /// Takes new sums; returns why the upstream gets its share again, if it does.
    fn update(&mut self, total: &UpstreamTotal, rate: f64, now: Instant) -> Option<Return> {
        if total.started_ms > self.started_ms && self.started_ms > 0 {
            return Some(Return::Restarted);
        }
        let count = total.history.count();
        if count < self.count {
            // A new leader begins to count anew.
            self.count = 0;
        }
        if count != self.last.0 {
            self.last = (count, now);
        }
        let Excess { rate: failing, usual, .. } = self.excess;
        let recovery = Recovery::of(total.history, self.count, failing, usual);
        self.trials = Trials::new(recovery.progress(), self.last.1, rate);
        recovery.is_sound().then_some(Return::Sound)
    }
}

/// Returns by how much an upstream fails more often than the others of its service, without the
/// entry that adds most failures: evidence from one entry alone does not count.
fn excess(total: &UpstreamTotal, service: Outcomes) -> Option<Excess> {
    let own = total.total.without(total.largest);
    let others = service.without(total.total);
    let kinds = [Kind::Failed, Kind::Bad].into_iter();
    let found = kinds.filter_map(|it| it.excess(own, others, total.moments));
    found.max_by(|a, b| a.over.total_cmp(&b.over))
}
