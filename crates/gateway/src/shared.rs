//! The state that all parts of an entry share: the plan, the directory, the peers and the budget.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use registry::{EntryInfo, LoadReport, RegistryState, Stamp, loads_interval};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until, timeout};

use crate::backlog::Backlogs;
use crate::body_memory::{BODY_MEMORY_BYTES, MemoryBudget};
use crate::budget::Budget;
use crate::caller_limits::CallerLimits;
use crate::cold::ColdTolerance;
use crate::crowd::Crowd;
use crate::dialect::Dialect;
use crate::directory::{ColdRules, Directory};
use crate::drain::Drain;
use crate::health::Mix;
use crate::metrics::Metrics;
use crate::overrun::{Overruns, ServiceOverruns};
use crate::path::Paths;
use crate::path::relay::RelayPermits;
use crate::plan::Plan;
use crate::prefill::PrefillTimes;
use crate::quarantine::Quarantine;
use crate::room::Lines;
use crate::section::{self, LinkRate, Section};
use crate::spread::ServiceTimes;
use crate::turns::ServiceTurns;
use crate::upstream::AnswerCounters;

mod capacity;
mod crowd;
mod health;
mod path;
#[cfg(test)]
mod tests;

/// The interval at which metrics are updated that change without a message.
const METRICS_INTERVAL: Duration = Duration::from_millis(500);

/// How long the loads of other entries are valid without a new report, at least. Older ones mislead
/// more than none.
const TOTAL_LOADS_LIFETIME: Duration = Duration::from_millis(1_200);

/// The number of intervals between reports after which the loads of other entries are invalid, where
/// that is longer than [`TOTAL_LOADS_LIFETIME`].
const TOTAL_LOADS_INTERVALS: u32 = 3;

/// How long a request waits for the first plan and the first lists of upstreams and entries. After
/// a power loss of the whole deployment they arrive within about a second of the entry's start;
/// callers give an entry a second to read a request.
const STARTUP_TIMEOUT: Duration = Duration::from_millis(700);

/// The state that all parts of an entry share.
pub(crate) struct Shared<D> {
    plan: ArcSwapOption<Plan>,
    /// The limits on callers of the plan in force.
    pub(crate) caller_limits: CallerLimits,
    directory: ArcSwap<Directory>,
    pub(crate) paths: Arc<Paths>,
    pub(crate) relays: RelayPermits,
    peers: ArcSwap<Vec<EntryInfo>>,
    entries: AtomicUsize,
    /// Whether the list of entries has been received.
    entries_known: AtomicBool,
    listed: AtomicBool,
    /// Whether the loads of the other entries have been received lately.
    loads_known: AtomicBool,
    /// Notified after each update.
    updated: Notify,
    own: SocketAddr,
    /// This entry as it describes itself.
    announced: EntryInfo,
    /// This entry as it is listed.
    own_entry: ArcSwap<EntryInfo>,
    cold: ColdTolerance,
    pub(crate) domain: Arc<str>,
    pub(crate) budget: Budget,
    pub(crate) metrics: Metrics,
    pub(crate) drain: Drain,
    pub(crate) backlogs: Arc<Backlogs>,
    pub(crate) prefill_times: PrefillTimes,
    /// How much longer stages take than forecast.
    pub(crate) overruns: Overruns,
    /// How much longer first events take than expected.
    pub(crate) late_starts: ServiceOverruns,
    /// How long upstreams of plain services take to answer.
    pub(crate) answer_times: ServiceTimes,
    /// The requests that wait for room at upstreams.
    pub(crate) lines: Lines,
    /// When refused callers are told to come back.
    pub(crate) turns: ServiceTurns,
    pub(crate) body_memory: MemoryBudget,
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) crowd: Crowd,
    pub(crate) mix: Mix,
    dialect: PhantomData<D>,
}

impl<D: Dialect> Shared<D> {
    pub(crate) fn new(
        (entry, paths): (EntryInfo, Arc<Paths>),
        cold: ColdTolerance,
        (budget, metrics): (Budget, Metrics),
        quarantine: Quarantine,
    ) -> Self {
        Self {
            plan: ArcSwapOption::empty(),
            caller_limits: CallerLimits::default(),
            directory: ArcSwap::from_pointee(
                Directory::new(Arc::clone(&paths)).with_counters(AnswerCounters::new(&metrics)),
            ),
            paths,
            relays: RelayPermits::default(),
            peers: ArcSwap::default(),
            entries: AtomicUsize::new(1),
            entries_known: AtomicBool::new(false),
            listed: AtomicBool::new(false),
            loads_known: AtomicBool::new(false),
            updated: Notify::new(),
            own: entry.address,
            domain: entry.domain.as_str().into(),
            own_entry: ArcSwap::from_pointee(entry.clone()),
            announced: entry,
            cold,
            budget,
            metrics,
            drain: Drain::default(),
            backlogs: Arc::default(),
            prefill_times: PrefillTimes::default(),
            overruns: Overruns::default(),
            late_starts: ServiceOverruns::default(),
            answer_times: ServiceTimes::default(),
            lines: Lines::default(),
            turns: ServiceTurns::default(),
            body_memory: MemoryBudget::new(BODY_MEMORY_BYTES),
            quarantine: Arc::new(quarantine),
            crowd: Crowd::new(Instant::now()),
            mix: Mix::default(),
            dialect: PhantomData,
        }
    }

    /// Returns the plan in force, if one is known.
    pub(crate) fn plan(&self) -> Option<Arc<Plan>> {
        self.plan.load_full()
    }

    /// Returns the plan in force, and waits a moment for it if the entry has just started. Without
    /// the wait, all requests that arrive while a deployment restarts would be refused, be retried
    /// at once, and be refused again.
    pub(crate) async fn wait_for_plan(&self) -> Option<Arc<Plan>> {
        let known = async {
            loop {
                let updated = self.updated.notified();
                if self.is_initialized() {
                    return;
                }
                updated.await;
            }
        };
        if !self.is_initialized() {
            // After the timeout, the request goes on with what is known.
            let _ = timeout(STARTUP_TIMEOUT, known).await;
        }
        self.plan()
    }

    /// Returns whether the plan, some upstreams and the list of entries are known. An entry that
    /// doesn't know the others would own all sections, and send calls to upstreams in competition
    /// with the owners that the others have chosen.
    fn is_initialized(&self) -> bool {
        self.plan.load().is_some()
            && self.directory().all().next().is_some()
            && self.entries_known.load(Ordering::Relaxed)
    }

    /// Returns the current upstreams.
    pub(crate) fn directory(&self) -> Arc<Directory> {
        self.directory.load_full()
    }

    /// Returns the section in which a job of `rank` is best run; in `domain` if one is given, else
    /// in the entry's own.
    pub(crate) fn section(&self, service: &Arc<str>, domain: Option<&str>, rank: u8) -> Section {
        let sections = self.directory().sections(service);
        let wait = |it: &Section| self.backlogs.timely_wait(it, rank);
        let near = domain.unwrap_or(&self.domain);
        let chosen = section::choose(&sections, Some(near), wait, rand::random());
        chosen.cloned().unwrap_or_else(|| Section::whole(service))
    }

    /// Returns the section in which this entry queues a job that was submitted to it: the one that
    /// its submitter named, else one that this entry owns, else the one of its failure domain, else
    /// one with a short wait. It is one of the sections that this entry knows: a queue for another
    /// one would send calls to the same upstreams as theirs, and neither would count the results of
    /// the other.
    pub(crate) fn job_section(
        &self,
        service: &Arc<str>,
        domain: Option<&str>,
        rank: u8,
    ) -> Section {
        let sections = self.directory().sections(service);
        let find = |domain| sections.iter().find(|it| it.domain.as_deref() == domain);
        let known = find(domain)
            .or_else(|| sections.iter().find(|it| self.owns(it)))
            .or_else(|| find(Some(&self.domain)));
        known.cloned().unwrap_or_else(|| self.section(service, None, rank))
    }

    /// Returns whether this entry is the owner of a section by the list of entries.
    pub(crate) fn owns(&self, section: &Section) -> bool {
        let (directory, peers, own) = (self.directory(), self.peers(), self.own_entry());
        self.is_listed() && directory.candidates().is_first(section, &own, peers.iter())
    }

    /// Returns the other entries.
    pub(crate) fn peers(&self) -> Arc<Vec<EntryInfo>> {
        self.peers.load_full()
    }

    /// Returns this entry as the others know it from the list; as it describes itself if it is not
    /// listed.
    pub(crate) fn own_entry(&self) -> Arc<EntryInfo> {
        self.own_entry.load_full()
    }

    /// Returns whether the loads of the other entries are known.
    pub(crate) fn knows_loads(&self) -> bool {
        self.loads_known.load(Ordering::Relaxed)
    }

    /// Returns whether the list of entries includes this one.
    pub(crate) fn is_listed(&self) -> bool {
        self.listed.load(Ordering::Relaxed)
    }

    /// Returns the largest number of entries known so far, including this one.
    pub(crate) fn entries(&self) -> usize {
        self.entries.load(Ordering::Relaxed)
    }

    /// Returns whether the entry may get new connections.
    pub(crate) fn is_ready(&self) -> bool {
        self.is_initialized() && !self.drain.is_ending()
    }

    /// Applies the registry's plan and lists as they arrive, until the sender is gone.
    pub(crate) async fn follow_registry(
        self: Arc<Self>,
        mut registry_state: watch::Receiver<RegistryState>,
    ) {
        let mut metrics_tick = interval(METRICS_INTERVAL);
        metrics_tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                changed = registry_state.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let registry_state = registry_state.borrow_and_update().clone();
                    self.apply_registry_state(&registry_state);
                }
                _ = metrics_tick.tick() => {
                    self.metrics.quarantined.set(self.quarantine.held_count() as i64);
                    self.report_told_loads();
                }
            }
        }
    }

    /// Exchanges loads with the other entries for as long as the process lives.
    pub(crate) async fn exchange_loads(
        self: Arc<Self>,
        reports: mpsc::Sender<LoadReport>,
        mut total_loads: watch::Receiver<Arc<LoadReport>>,
    ) {
        let mut next = Instant::now();
        let mut reported = LoadReport::default();
        let mut received = Instant::now();
        let mut total = Arc::<LoadReport>::default();
        loop {
            tokio::select! {
                () = sleep_until(next) => {
                    let directory = self.directory();
                    let pause = loads_interval(total.loads.len());
                    next = Instant::now() + pause;
                    let lifetime = TOTAL_LOADS_LIFETIME.max(pause * TOTAL_LOADS_INTERVALS);
                    if received.elapsed() > lifetime && self.knows_loads() {
                        directory.clear_peer_loads();
                        total = Arc::default();
                        self.loads_known.store(false, Ordering::Relaxed);
                    }
                    let report = directory.report();
                    if report != reported && reports.try_send(report.clone()).is_ok() {
                        reported = report;
                    }
                }
                changed = total_loads.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    received = Instant::now();
                    let next_total = Arc::clone(&total_loads.borrow_and_update());
                    if self.directory().apply_total_loads(&total, &next_total, &reported) {
                        total = next_total;
                        self.loads_known.store(true, Ordering::Relaxed);
                    }
                }
            }
        }
    }

    fn apply_registry_state(&self, registry_state: &RegistryState) {
        let others = registry_state.entries.iter().filter(|it| it.address != self.own).cloned();
        let others: Vec<EntryInfo> = others.collect();
        let listed = others.len() < registry_state.entries.len();
        if self.listed.swap(listed, Ordering::Relaxed) != listed {
            log::info!(listed, others = others.len(), seated:% = registry_state.entries_stamp;
                "this entry was added to or removed from the list of entries");
        }
        self.entries.fetch_max(others.len() + 1, Ordering::Relaxed);
        let own = registry_state.entries.iter().find(|it| it.address == self.own);
        self.own_entry.store(Arc::new(own.unwrap_or(&self.announced).clone()));
        let is_known = registry_state.entries_stamp > Stamp::default();
        let is_first = !self.entries_known.load(Ordering::Relaxed);
        if is_known && (is_first || **self.peers.load() != others) {
            let listed = registry_state.entries.iter().map(|it| it.address);
            self.budget.learn(listed, Instant::now());
        }
        let others = Arc::new(others);
        self.paths.set_peers(&others);
        self.peers.store(others);
        if is_known {
            self.entries_known.store(true, Ordering::Relaxed);
        }
        if let Some((version, text)) = &registry_state.plan {
            let current = self.plan.load().as_ref().map(|it| it.version);
            if current.is_none_or(|it| it < *version) {
                self.apply_plan(text);
            }
        }
        self.report_evacuations(registry_state);
        let plan = self.plan().unwrap_or_default();
        let cold = ColdRules { tolerance: self.cold, own: self.own };
        let link = LinkRate::from_kilobits(self.announced.capacity.link_kilobits);
        let next = self.directory().next(registry_state, &plan, self.entries(), link, cold);
        self.directory.store(Arc::new(next));
        self.report_owners(registry_state);
        self.updated.notify_waiters();
    }

    fn report_evacuations(&self, registry_state: &RegistryState) {
        let evacuated = &registry_state.evacuated;
        self.metrics.evacuated.set(evacuated.domains.len() as i64);
        let upstreams = &registry_state.upstreams;
        let left = upstreams.iter().any(|it| !evacuated.contains(&it.domain));
        if !upstreams.is_empty() && !left {
            log::warn!(domains:? = evacuated.domains;
                "all failure domains with upstreams are evacuated: every request is refused");
        }
    }

    fn apply_plan(&self, text: &[u8]) {
        match D::decode_plan(text) {
            Ok(plan) => {
                log::info!(version:% = plan.version, routes = plan.routes.len(),
                    services = plan.services.len(); "a plan is in force");
                self.metrics.version.set(plan.version.0 as i64);
                self.caller_limits.set(plan.limits);
                self.plan.store(Some(Arc::new(plan)));
            }
            Err(why) => log::error!(cause = why.as_str();
                "failed to decode the committed plan; the previous one stays in force"),
        }
    }
}
