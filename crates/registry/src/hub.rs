//! Sends the plan's version, the upstreams and the entries to the connected entries.

mod outcomes;
mod quarantine;
mod sent;

use std::collections::{BTreeMap, HashMap};
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::{Notify, watch};
use tokio::time::sleep;
use wire::{Connection, Receiver, Sender};

use crate::capacity::EntryWithCapacity;
use crate::cold::{ColdEnds, ColdUpstream};
use crate::difference::NumberedList;
use crate::driver::View;
use crate::lists::{EncodedLoads, EncodedOutcomes, Published};
use crate::member::Confirmer;
use crate::message::{
    CAPACITIES_LEVEL, EntryInfo, LoadReport, Stamp, ToEntry, ToMember, Upstream, UpstreamList,
    UpstreamLoad,
};
use crate::outcomes::OutcomeTable;
use crate::package_cache::PackageCache;
use crate::quarantine::QuarantineTable;

use self::sent::Sent;

/// The shortest interval at which entries report their loads and the leader sends out the sum. Until
/// the sum arrives, two entries may send prompts to the same engine, since neither knows of the
/// other's.
const MIN_LOADS_INTERVAL: Duration = Duration::from_millis(75);

/// The maximum rate at which an entry is sent loads, in bytes per second: two thirds of the 9 kB/s
/// that control traffic may take of a node at the size expected in two years.
const MAX_LOADS_BYTES_PER_SECOND: usize = 6_000;

/// The size of one upstream's load in a message, in bytes: position, requests and tokens.
const LOAD_BYTES: usize = 5;

/// Returns the interval between two load reports while `loaded` upstreams have a load. It grows with
/// that number, to bound the traffic to each entry and to the leader. Upstreams without a load take
/// no space in a report, so they don't delay it.
pub fn loads_interval(loaded: usize) -> Duration {
    let needed =
        Duration::from_millis((loaded * LOAD_BYTES * 1_000 / MAX_LOADS_BYTES_PER_SECOND) as u64);
    needed.max(MIN_LOADS_INTERVAL)
}

/// How long the leader collects entries that connect and disconnect before it tells the others. Many
/// that connect at once then cost each entry a few messages instead of one per entry.
const BATCH_DELAY: Duration = Duration::from_millis(60);

/// The lists that the leader sends to entries.
#[derive(Clone, Debug, Default)]
struct ListSet {
    upstreams: Published<Upstream>,
    /// For entries that can't read capacities.
    entries: Published<EntryInfo>,
    entries_with_capacities: Published<EntryWithCapacity>,
    /// The number of the list of held requests. The list itself is made anew for each message, since it
    /// holds remaining times.
    quarantine: Stamp,
    cold: ColdEnds,
}

/// The entries that are connected to this member.
pub(crate) struct Hub {
    lists: watch::Sender<ListSet>,
    connected: Mutex<HashMap<u64, EntryInfo>>,
    /// Notified when an entry connected or disconnected.
    entries_changed: Notify,
    loads: Mutex<HashMap<u64, LoadReport>>,
    total_loads: watch::Sender<Option<Arc<EncodedLoads>>>,
    outcomes: Mutex<OutcomeTable>,
    total_outcomes: watch::Sender<Option<Arc<EncodedOutcomes>>>,
    packages: Mutex<PackageCache>,
    quarantine: Mutex<QuarantineTable>,
}

impl Hub {
    pub(crate) fn new() -> Self {
        Self {
            lists: watch::Sender::new(ListSet::default()),
            connected: Mutex::default(),
            entries_changed: Notify::new(),
            loads: Mutex::default(),
            total_loads: watch::Sender::default(),
            outcomes: Mutex::default(),
            total_outcomes: watch::Sender::default(),
            packages: Mutex::default(),
            quarantine: Mutex::default(),
        }
    }

    fn packages(&self) -> MutexGuard<'_, PackageCache> {
        self.packages.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the list of upstreams that is sent to entries.
    pub(crate) fn set_upstreams(&self, list: UpstreamList) {
        let next = NumberedList::new(list.stamp, list.upstreams);
        self.lists.send_modify(|it| log_failure(it.upstreams.publish(next)));
    }

    /// Takes the cold upstreams that were read from the list in `term`.
    pub(crate) fn set_cold(&self, read: &[ColdUpstream], term: u64) {
        self.lists.send_if_modified(|it| {
            let changed = it.cold.update(read, term, Instant::now());
            if changed {
                log::info!(stamp:% = it.cold.stamp, upstreams = read.len();
                    "upstreams are cold, or colder than before");
            }
            changed
        });
    }

    /// Returns whether the list of upstreams has one in a failure domain.
    pub(crate) fn has_upstreams_in(&self, domain: &str) -> bool {
        self.lists.borrow().upstreams.numbered.list.iter().any(|it| it.domain == domain)
    }

    /// Publishes the list of connected entries whenever it changes, for as long as the member runs. The
    /// lists of a term are numbered within the term.
    pub(crate) async fn publish_entries(self: Arc<Self>, mut view: watch::Receiver<View>) {
        loop {
            let sent = self.lists.borrow().entries.numbered.stamp.term;
            tokio::select! {
                () = self.entries_changed.notified() => {}
                changed = view.wait_for(|it| it.leads() && it.term != sent) => {
                    if changed.is_err() {
                        return;
                    }
                }
            }
            let entries = {
                let connected = self.connected.lock().unwrap_or_else(PoisonError::into_inner);
                connected.values().cloned().collect()
            };
            let term = view.borrow().term;
            self.lists.send_modify(|it| {
                let last = it.entries.numbered.stamp;
                let count = if last.term == term { last.count + 1 } else { 1 };
                let next = NumberedList::new(Stamp { term, count }, entries);
                log_failure(it.entries_with_capacities.publish(next.clone().convert()));
                log_failure(it.entries.publish(next));
            });
            sleep(BATCH_DELAY).await;
        }
    }

    /// Publishes the sum of the loads that entries report, for as long as the member runs.
    pub(crate) async fn publish_loads(self: Arc<Self>) {
        loop {
            let loaded = self.total_loads.borrow().as_ref().map_or(0, |it| it.report.loads.len());
            sleep(loads_interval(loaded)).await;
            let stamp = self.lists.borrow().upstreams.numbered.stamp;
            let report = LoadReport { upstreams_stamp: stamp, loads: self.sum(stamp) };
            if self.total_loads.borrow().as_ref().is_some_and(|it| it.report == report) {
                continue;
            }
            match EncodedLoads::new(report) {
                Ok(total_loads) => drop(self.total_loads.send_replace(Some(Arc::new(total_loads)))),
                Err(error) => log::error!(cause:% = error;
                    "the sum of the loads can't be encoded; entries keep the last one"),
            }
        }
    }

    /// Sums the reports whose positions refer to the list numbered `stamp`.
    fn sum(&self, stamp: Stamp) -> Vec<UpstreamLoad> {
        let reports = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
        let mut sums: BTreeMap<u32, UpstreamLoad> = BTreeMap::new();
        for load in
            reports.values().filter(|it| it.upstreams_stamp == stamp).flat_map(|it| &it.loads)
        {
            let sum = sums.entry(load.position).or_default();
            sum.position = load.position;
            sum.running += load.running;
            sum.tokens += load.tokens;
        }
        sums.into_values().collect()
    }

    fn add_entry(&self, incarnation: u64, entry: EntryInfo) {
        log::info!(entry = entry.name.as_str(), address:% = entry.address,
            link_kilobits = entry.capacity.link_kilobits, millicores = entry.capacity.millicores;
            "an entry connected");
        let mut connected = self.connected.lock().unwrap_or_else(PoisonError::into_inner);
        // A connection from before the entry's restart may still be open, with another capacity.
        let replaced = connected.extract_if(|_, it| it.address == entry.address);
        let replaced: Vec<u64> = replaced.map(|it| it.0).filter(|it| *it != incarnation).collect();
        connected.insert(incarnation, entry);
        drop(connected);
        for old in replaced {
            self.forget_outcomes(old);
            self.loads.lock().unwrap_or_else(PoisonError::into_inner).remove(&old);
        }
        self.entries_changed.notify_one();
    }

    fn remove_entry(&self, incarnation: u64) {
        self.forget_outcomes(incarnation);
        self.loads.lock().unwrap_or_else(PoisonError::into_inner).remove(&incarnation);
        let gone =
            self.connected.lock().unwrap_or_else(PoisonError::into_inner).remove(&incarnation);
        if let Some(entry) = gone {
            log::info!(entry = entry.name.as_str(); "an entry disconnected or is leaving");
            self.entries_changed.notify_one();
        }
    }

    /// Serves one entry until its connection ends.
    pub(crate) async fn serve(
        &self,
        incarnation: u64,
        connection: Connection,
        confirmer: Confirmer,
    ) {
        let (sender, receiver) = connection.split::<ToEntry, ToMember>();
        if let Err(error) = self.exchange_messages(incarnation, &sender, receiver, &confirmer).await
        {
            log::info!(cause:% = error; "the connection to an entry ended");
        }
        self.remove_entry(incarnation);
    }

    /// Handles an entry's messages and sends it updates until the connection ends.
    async fn exchange_messages(
        &self,
        incarnation: u64,
        sender: &Sender<ToEntry>,
        mut receiver: Receiver<ToMember>,
        confirmer: &Confirmer,
    ) -> types::StepResult<()> {
        let mut view = confirmer.view.clone();
        let mut confirming = pin!(confirmer.confirm());
        let mut confirmed = false;
        let mut lists = self.lists.subscribe();
        let mut total_loads = self.total_loads.subscribe();
        let mut total_outcomes = self.total_outcomes.subscribe();
        // An entry that serves requests must know the evacuations and the cold upstreams. Which
        // messages it can read is known with its first frame, which may be late.
        sender.level_known().await?;
        let mut sent = Sent::default();
        // An entry that has not announced its capacity yet.
        let mut greeted = None;
        let mut outdated = true;
        loop {
            tokio::select! {
                // Updates wait here until the queue is empty: an entry that reads slowly gets only the
                // newest state, and the memory per connection is bounded by the size of one update.
                drained = sender.flushed(), if outdated => {
                    drained?;
                    outdated = false;
                    let current_view = view.borrow_and_update().clone();
                    if sent.plan.is_none_or(|it| it.0 < current_view.state.plan.version) {
                        self.packages().add_plan(&current_view.state.plan);
                    }
                    sent.send_view(sender, &current_view, confirmed).await?;
                    let current_lists = lists.borrow_and_update().clone();
                    if current_view.leads() {
                        // Sent before the upstreams: without those an entry sends no requests yet.
                        self.send_quarantine(sender, &mut sent, current_view.term, &current_lists)
                            .await?;
                        sent.send_cold(sender, current_view.term, &current_lists.cold).await?;
                        sent.send_lists(sender, current_view.term, &current_lists).await?;
                        let loads = total_loads.borrow_and_update().clone();
                        sent.send_loads(sender, loads).await?;
                        let outcomes = total_outcomes.borrow_and_update().clone();
                        sent.send_outcomes(sender, outcomes).await?;
                    }
                }
                () = &mut confirming, if !confirmed => (confirmed, outdated) = (true, true),
                changed = view.changed(), if !outdated => {
                    if changed.is_err() {
                        return Ok(());
                    }
                    outdated = true;
                }
                changed = total_loads.changed(), if !outdated => {
                    if changed.is_err() {
                        return Ok(());
                    }
                    outdated = true;
                }
                changed = total_outcomes.changed(), if !outdated => {
                    if changed.is_err() {
                        return Ok(());
                    }
                    outdated = true;
                }
                changed = lists.changed(), if !outdated => {
                    if changed.is_err() {
                        return Ok(());
                    }
                    outdated = true;
                }
                message = receiver.recv() => match message? {
                    // Listed without the capacity that it announces next, an entry would count as
                    // another VM for a moment, and owners would change twice.
                    Some(ToMember::Hello(entry)) if sender.level() >= CAPACITIES_LEVEL => {
                        greeted = Some(entry);
                    }
                    Some(ToMember::Hello(entry)) => self.add_entry(incarnation, entry),
                    Some(ToMember::Capacity(capacity)) => {
                        if let Some(entry) = greeted.take() {
                            self.add_entry(incarnation, EntryInfo { capacity, ..entry });
                        }
                    }
                    Some(ToMember::Leave) => {
                        greeted = None;
                        self.remove_entry(incarnation);
                    }
                    Some(ToMember::Loads(report)) => {
                        let mut loads = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
                        loads.insert(incarnation, report);
                    }
                    Some(ToMember::Outcomes(report)) => self.take_outcomes(incarnation, &report),
                    Some(ToMember::Evidence(evidence)) => {
                        let current_view = view.borrow().clone();
                        self.take_evidence(incarnation, evidence, &current_view);
                    }
                    Some(ToMember::UpstreamsHeld(offered, held)) => {
                        let upstreams = self.lists.borrow().upstreams.clone();
                        let to = &mut sent.upstreams;
                        outdated |= upstreams.answer(sender, to, offered, held).await?;
                    }
                    Some(ToMember::EntriesHeld(offered, held)) => {
                        let lists = self.lists.borrow().clone();
                        let to = &mut sent.entries;
                        outdated |= if sender.level() >= CAPACITIES_LEVEL {
                            lists.entries_with_capacities.answer(sender, to, offered, held).await?
                        } else {
                            lists.entries.answer(sender, to, offered, held).await?
                        };
                    }
                    Some(ToMember::FetchPlan(version)) => {
                        let plan = view.borrow().state.plan.clone();
                        if plan.version >= version {
                            let (version, text) = (plan.version, plan.text.clone());
                            sender.send(&ToEntry::Plan { version, text }).await?;
                        }
                    }
                    Some(ToMember::FetchPart(request)) => {
                        let part = self.packages().answer(&request);
                        if let Some(part) = part {
                            sender.send(&ToEntry::Part(part)).await?;
                        }
                    }
                    None => return Ok(()),
                },
            }
        }
    }
}

/// Logs that a list can't be encoded.
fn log_failure(published: types::StepResult<()>) {
    if let Err(error) = published {
        log::error!(cause:% = error; "a list can't be encoded; entries keep the previous one");
    }
}
