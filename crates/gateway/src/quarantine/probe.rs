//! Finds out whether an upstream that lost calls has ended, and reports what was in flight there.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use registry::RequestDigest;
use registry::quarantine::{EndSeen, Evidence, PartSeen, RunSeen};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

use super::parts::PartHistory;
use super::{lock, report};
use crate::path::relay::Reach;
use crate::path::state::Path;
use crate::upstream::Upstream;

/// The delays after which the upstream of a lost call is probed: the first after the loss, the
/// second after the first probe. A process that ends closes its connections and its port some
/// milliseconds apart.
const PROBE_DELAYS: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(130)];

/// How long a probe waits for an answer. No answer proves nothing, because the network path may be
/// cut.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// How long the probes of other upstreams, whose calls were lost at the same moment, may take longer.
const OTHER_PROBES_TIME: Duration = Duration::from_millis(20);

/// How long a suspicion that the entry has no path takes to be checked.
const SUSPICION_TIME: Duration = Duration::from_millis(300);

/// The maximum number of runs that are reported with one termination of an upstream.
const MAX_RUNS: usize = 64;

/// The runs that were lost at one upstream.
#[derive(Debug, Default)]
pub(super) struct LostRuns {
    runs: Vec<RunSeen>,
    /// The shared parts of their prompts, with the positions of the runs that have them.
    parts: Vec<(RequestDigest, Vec<u8>)>,
}

impl LostRuns {
    pub(super) fn add(&mut self, run: RunSeen, parts: &[RequestDigest]) {
        if self.runs.len() >= MAX_RUNS {
            return;
        }
        let position = self.runs.len() as u8;
        self.runs.push(run);
        for part in parts {
            match self.parts.iter_mut().find(|it| it.0 == *part) {
                Some((_, runs)) => runs.push(position),
                None => self.parts.push((*part, vec![position])),
            }
        }
    }

    /// Returns the parts with when requests with them completed last.
    fn parts_seen(self, history: &PartHistory) -> Vec<PartSeen> {
        let seen = |(part, runs)| {
            let completed = history.since_completion(part, Instant::now());
            PartSeen { part, runs, completed_ms: completed.map(|it| it.as_millis() as u32) }
        };
        self.parts.into_iter().map(seen).collect()
    }
}

/// Probes whether an upstream has terminated.
pub(super) struct EndProbe {
    pub(super) upstream: Arc<Upstream>,
    /// When the entry started.
    pub(super) start: Instant,
    pub(super) at: Instant,
    pub(super) lost: Arc<Mutex<HashMap<Arc<str>, LostRuns>>>,
    pub(super) history: Arc<Mutex<PartHistory>>,
    pub(super) evidence: mpsc::Sender<Evidence>,
}

impl EndProbe {
    pub(super) async fn run(self) {
        let mut reach = Reach::Unknown;
        for delay in PROBE_DELAYS {
            sleep(delay).await;
            reach = self.upstream.reach(PROBE_TIMEOUT).await;
            if reach == Reach::Refused {
                break;
            }
        }
        let ended = self.has_ended(reach).await;
        let mut lost = lock(&self.lost).remove(&self.upstream.id).unwrap_or_default();
        let runs = std::mem::take(&mut lost.runs);
        let parts = lost.parts_seen(&lock(&self.history));
        log::info!(upstream:% = self.upstream.id, ended, runs = runs.len(), parts = parts.len();
            "probed whether an upstream that lost calls has ended");
        if !ended {
            return;
        }
        let ago_ms = self.at.elapsed().as_millis() as u32;
        let upstream = self.upstream.id.to_string();
        let seen = EndSeen { upstream, ago_ms, runs, clock: None, parts: Vec::new() };
        let at_ms = self.at.duration_since(self.start).as_millis() as u64;
        report(&self.evidence, Evidence::EndedWithParts(at_ms, seen, parts));
    }

    /// Returns whether the upstream has ended, by this entry's own probe and that of others. Alone, an
    /// entry can't tell: a path that is cut may refuse all connections at the same moment, as if the
    /// upstreams had ended, and all upstreams of a service may end at the same moment, as if the path
    /// were cut.
    async fn has_ended(&self, own: Reach) -> bool {
        if own == Reach::Accepted {
            return false;
        }
        sleep(OTHER_PROBES_TIME).await;
        match self.upstream.reach_of_others().await {
            Reach::Refused => true,
            Reach::Accepted => false,
            Reach::Unknown => own == Reach::Refused && self.has_path().await,
        }
    }

    /// Returns whether this entry has a path to the service of the upstream, as far as it knows.
    async fn has_path(&self) -> bool {
        if self.upstream.path() == Path::Suspected {
            sleep(SUSPICION_TIME).await;
        }
        self.upstream.path() == Path::Open
    }
}
