//! What an entry has seen at upstreams since its last report.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use registry::outcomes::Outcomes;
use tokio::time::Instant;

use crate::incarnation::StartTime;

/// How long outcomes are kept of services at which nobody fails. They show at once what is usual
/// when the first request fails.
const KEEP_TIME: Duration = Duration::from_secs(1);

/// The outcome of a request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A valid response in time.
    Sound,
    /// A server error, an invalid response, a lost connection or a time-out.
    Failed,
    /// No response in time.
    Slow,
}

/// The outcomes at one upstream since the last report.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The service of the upstream.
    pub service: Arc<str>,
    /// The start time of its newest known incarnation.
    pub started: Option<StartTime>,
    /// The outcomes.
    pub outcomes: Outcomes,
    since: Instant,
}

/// The outcomes that an entry has not reported yet, by the id of the upstream.
#[derive(Debug, Default)]
pub struct Tally(Mutex<HashMap<Arc<str>, Seen>>);

impl Tally {
    /// Counts an outcome at the upstream with this id. A new incarnation starts from nothing.
    pub fn record(
        &self,
        id: &Arc<str>,
        service: &Arc<str>,
        started: Option<StartTime>,
        outcome: Outcome,
        now: Instant,
    ) {
        let mut seen = self.lock();
        let fresh = || Seen {
            service: Arc::clone(service),
            started,
            outcomes: Outcomes::default(),
            since: now,
        };
        let it = seen.entry(Arc::clone(id)).or_insert_with(fresh);
        if it.started != started {
            *it = fresh();
        }
        let count = match outcome {
            Outcome::Sound => &mut it.outcomes.sound,
            Outcome::Failed => &mut it.outcomes.failed,
            Outcome::Slow => &mut it.outcomes.slow,
        };
        *count = count.saturating_add(1);
    }

    /// Takes the outcomes of the services in `watched`, and of those with a failure. Forgets others
    /// after a while: nobody needs to know that all is well.
    pub fn take(&self, watched: &HashSet<Arc<str>>, now: Instant) -> Vec<(Arc<str>, Seen)> {
        let mut seen = self.lock();
        let failing = seen.values().filter(|it| it.outcomes.bad() > 0);
        let failing: HashSet<Arc<str>> = failing.map(|it| Arc::clone(&it.service)).collect();
        let is_reported =
            |it: &Seen| watched.contains(&it.service) || failing.contains(&it.service);
        let reported = seen.extract_if(|_, it| is_reported(it)).collect();
        seen.retain(|_, it| it.since + KEEP_TIME > now);
        reported
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Arc<str>, Seen>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
