//! What all parts of an entry read: the plan, the directory, the peers, the budget.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use registry::{EntryInfo, LoadReport, RegistryState, Stamp, loads_period};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until, timeout};

use crate::backlog::Backlogs;
use crate::budget::Budget;
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::drain::Drain;
use crate::metrics::Metrics;
use crate::pace::Paces;
use crate::plan::Plan;
use crate::room::{BODY_ROOM, Room};
use crate::section::{self, LinkRate, Section};
use crate::suspects::Suspects;

#[cfg(test)]
mod tests;

/// How often idle connections are looked at.
const SWEEP: Duration = Duration::from_millis(500);

/// How long the loads of other entries count without a new report. Older ones mislead more than none.
const DIGEST_AGE: Duration = Duration::from_millis(1_200);

/// How long a request waits for the first plan and the first lists of upstreams and entries. After a loss of all
/// power they come within about a second of the entry's start; callers give an entry a second to read.
const FIRST_NEWS: Duration = Duration::from_millis(700);

/// What all parts of an entry read.
pub(crate) struct Shared<D> {
    plan: ArcSwapOption<Plan>,
    directory: ArcSwap<Directory>,
    peers: ArcSwap<Vec<EntryInfo>>,
    entries: AtomicUsize,
    /// Whether it was told which other entries there are.
    seated: AtomicBool,
    listed: AtomicBool,
    /// Told at each news.
    known: Notify,
    own: SocketAddr,
    link: LinkRate,
    pub(crate) domain: Arc<str>,
    pub(crate) budget: Budget,
    pub(crate) metrics: Metrics,
    pub(crate) drain: Drain,
    pub(crate) backlogs: Arc<Backlogs>,
    pub(crate) paces: Paces,
    pub(crate) bodies: Room,
    pub(crate) suspects: Suspects,
    dialect: PhantomData<D>,
}

impl<D: Dialect> Shared<D> {
    pub(crate) fn new(
        own: SocketAddr,
        domain: Arc<str>,
        link: LinkRate,
        (budget, metrics): (Budget, Metrics),
        suspects: Suspects,
    ) -> Self {
        Self {
            plan: ArcSwapOption::empty(),
            directory: ArcSwap::default(),
            peers: ArcSwap::default(),
            entries: AtomicUsize::new(1),
            seated: AtomicBool::new(false),
            listed: AtomicBool::new(false),
            known: Notify::new(),
            own,
            link,
            domain,
            budget,
            metrics,
            drain: Drain::default(),
            backlogs: Arc::default(),
            paces: Paces::default(),
            bodies: Room::new(BODY_ROOM),
            suspects,
            dialect: PhantomData,
        }
    }

    /// The plan in force, once one is known.
    pub(crate) fn plan(&self) -> Option<Arc<Plan>> {
        self.plan.load_full()
    }

    /// The plan in force; waits a moment for it where the entry has just started. What goes wrong
    /// without the wait: all that comes while a deployment is starting again is refused, and comes
    /// back at once to be refused again.
    pub(crate) async fn first_plan(&self) -> Option<Arc<Plan>> {
        let known = async {
            loop {
                let told = self.known.notified();
                if self.knows_enough() {
                    return;
                }
                told.await;
            }
        };
        if !self.knows_enough() {
            // Where the time is over, what is known must do.
            let _ = timeout(FIRST_NEWS, known).await;
        }
        self.plan()
    }

    /// Whether it knows the plan, upstreams, and the other entries: one that knows none of them owns all
    /// sections, and sends calls to upstreams beside the owners that the others have chosen.
    fn knows_enough(&self) -> bool {
        self.plan.load().is_some()
            && self.directory().all().next().is_some()
            && self.seated.load(Ordering::Relaxed)
    }

    /// The upstreams.
    pub(crate) fn directory(&self) -> Arc<Directory> {
        self.directory.load_full()
    }

    /// The section in which a job of `rank` is best made, near `domain` if there is a reason for it.
    pub(crate) fn section(&self, service: &Arc<str>, domain: Option<&str>, rank: u8) -> Section {
        let sections = self.directory().sections(service);
        let wait = |it: &Section| self.backlogs.timely_wait(it, rank);
        let near = domain.unwrap_or(&self.domain);
        let chosen = section::choose(&sections, Some(near), wait, rand::random());
        chosen.cloned().unwrap_or_else(|| Section::whole(service))
    }

    /// The other entries.
    pub(crate) fn peers(&self) -> Arc<Vec<EntryInfo>> {
        self.peers.load_full()
    }

    /// Whether the other entries count this one among them.
    pub(crate) fn is_listed(&self) -> bool {
        self.listed.load(Ordering::Relaxed)
    }

    /// How many entries there are, this one included; never less than there were.
    pub(crate) fn entries(&self) -> usize {
        self.entries.load(Ordering::Relaxed)
    }

    /// Whether the entry may get new connections.
    pub(crate) fn is_ready(&self) -> bool {
        self.knows_enough() && !self.drain.is_ending()
    }

    /// Takes the registry's news for as long as they come.
    pub(crate) async fn follow(self: Arc<Self>, mut news: watch::Receiver<RegistryState>) {
        let mut sweep = interval(SWEEP);
        sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                changed = news.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let news = news.borrow_and_update().clone();
                    self.take(&news);
                }
                _ = sweep.tick() => {
                    self.directory().all().for_each(|it| it.sweep(false));
                    self.metrics.held.set(self.suspects.held() as i64);
                }
            }
        }
    }

    /// Exchanges loads with the other entries for as long as the process lives.
    pub(crate) async fn share_loads(
        self: Arc<Self>,
        reports: mpsc::Sender<LoadReport>,
        mut digest: watch::Receiver<Arc<LoadReport>>,
    ) {
        let mut next = Instant::now();
        let mut told = LoadReport::default();
        let mut heard = Instant::now();
        loop {
            tokio::select! {
                () = sleep_until(next) => {
                    let directory = self.directory();
                    next = Instant::now() + loads_period(directory.len());
                    if heard.elapsed() > DIGEST_AGE {
                        directory.all().for_each(|it| it.set_others(0, 0));
                    }
                    let report = directory.report();
                    if report != told && reports.try_send(report.clone()).is_ok() {
                        told = report;
                    }
                }
                changed = digest.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    heard = Instant::now();
                    let digest = Arc::clone(&digest.borrow_and_update());
                    self.directory().take_digest(&digest, &told);
                }
            }
        }
    }

    fn take(&self, news: &RegistryState) {
        let others = news.entries.iter().filter(|it| it.address != self.own).cloned();
        let others: Vec<EntryInfo> = others.collect();
        let listed = others.len() < news.entries.len();
        if self.listed.swap(listed, Ordering::Relaxed) != listed {
            log::info!(listed, others = others.len(), seated:% = news.entries_stamp;
                "other entries count this one or not");
        }
        self.entries.fetch_max(others.len() + 1, Ordering::Relaxed);
        self.peers.store(Arc::new(others));
        if news.entries_stamp > Stamp::default() {
            self.seated.store(true, Ordering::Relaxed);
        }
        if let Some((version, text)) = &news.plan {
            let held = self.plan.load().as_ref().map(|it| it.version);
            if held.is_none_or(|it| it < *version) {
                self.take_plan(text);
            }
        }
        let plan = self.plan().unwrap_or_default();
        let next = self.directory().next(news, &plan, self.entries(), self.link);
        self.directory.store(Arc::new(next));
        self.known.notify_waiters();
    }

    fn take_plan(&self, text: &[u8]) {
        match D::plan(text) {
            Ok(plan) => {
                log::info!(version:% = plan.version, routes = plan.routes.len(),
                    services = plan.services.len(); "a plan is in force");
                self.metrics.version.set(plan.version.0 as i64);
                self.plan.store(Some(Arc::new(plan)));
            }
            Err(why) => log::error!(cause = why.as_str();
                "the plan that was committed can't be read; the last one stays in force"),
        }
    }
}
