//! Hands the plan, the upstreams and the entries to the entries that are connected.

use std::collections::{BTreeMap, HashMap};
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;
use wire::{Connection, Receiver, Sender};

use crate::driver::View;
use crate::member::Confirmer;
use crate::message::{EntrySeen, LoadReport, Stamp, ToEntry, ToMember, UpstreamList, UpstreamLoad};
use crate::texts::Texts;

/// How often entries tell their loads, and their sum is handed out, at most. What is not known yet of
/// others' prompts makes two meet at one engine: value of all answers on days under load 0.601 at 150 ms,
/// 0.604 at 75 (15 plays each).
const LOADS_PERIOD: Duration = Duration::from_millis(75);

/// What an entry may be sent for loads, in bytes a second: two thirds of the 9 kB/s that control may
/// take of a node two years on.
const LOADS_RATE: usize = 6_000;

/// What the load of one upstream takes in a message, in bytes: position, requests and tokens.
const LOAD_BYTES: usize = 5;

/// How often loads are told where so many upstreams are listed: the more there are, the less often, so
/// that what an entry is sent, and what the leader hears, stays within bounds.
pub fn loads_period(upstreams: usize) -> Duration {
    let needed = Duration::from_millis((upstreams * LOAD_BYTES * 1_000 / LOADS_RATE) as u64);
    needed.max(LOADS_PERIOD)
}

/// What is handed out besides the plan.
#[derive(Clone, Debug, Default)]
struct Handout {
    upstreams: UpstreamList,
    entries: Vec<EntrySeen>,
    count: u64,
}

/// The entries that are connected to this member.
pub(crate) struct Hub {
    handout: watch::Sender<Handout>,
    seen: Mutex<HashMap<u64, EntrySeen>>,
    loads: Mutex<HashMap<u64, LoadReport>>,
    digest: watch::Sender<Arc<LoadReport>>,
    texts: Mutex<Texts>,
}

impl Hub {
    pub(crate) fn new() -> Self {
        Self {
            handout: watch::Sender::new(Handout::default()),
            seen: Mutex::default(),
            loads: Mutex::default(),
            digest: watch::Sender::default(),
            texts: Mutex::default(),
        }
    }

    fn texts(&self) -> MutexGuard<'_, Texts> {
        self.texts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Hands out another list of upstreams.
    pub(crate) fn set_upstreams(&self, list: UpstreamList) {
        self.handout.send_modify(|it| it.upstreams = list);
    }

    /// Adds up what the entries report, for as long as the member runs.
    pub(crate) async fn add_loads(self: Arc<Self>) {
        loop {
            let count = self.handout.borrow().upstreams.upstreams.len();
            sleep(loads_period(count)).await;
            let listed = self.handout.borrow().upstreams.stamp;
            let digest = LoadReport { listed, loads: self.sum(listed) };
            self.digest.send_if_modified(|it| {
                let changed = **it != digest;
                if changed {
                    *it = Arc::new(digest);
                }
                changed
            });
        }
    }

    /// The sum of the reports that refer to one list.
    fn sum(&self, listed: Stamp) -> Vec<UpstreamLoad> {
        let reports = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
        let mut sums: BTreeMap<u32, UpstreamLoad> = BTreeMap::new();
        for load in reports.values().filter(|it| it.listed == listed).flat_map(|it| &it.loads) {
            let sum = sums.entry(load.position).or_default();
            sum.position = load.position;
            sum.running += load.running;
            sum.tokens += load.tokens;
        }
        sums.into_values().collect()
    }

    fn enter(&self, life: u64, entry: EntrySeen) {
        log::info!(entry = entry.name.as_str(), address:% = entry.address; "an entry connected");
        self.change(|seen| {
            seen.insert(life, entry);
        });
    }

    fn leave(&self, life: u64) {
        self.loads.lock().unwrap_or_else(PoisonError::into_inner).remove(&life);
        self.change(|seen| {
            if let Some(entry) = seen.remove(&life) {
                log::info!(entry = entry.name.as_str(); "an entry is gone");
            }
        });
    }

    fn change(&self, change: impl FnOnce(&mut HashMap<u64, EntrySeen>)) {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut seen);
        let mut entries: Vec<EntrySeen> = seen.values().cloned().collect();
        entries.sort_by(|a, b| a.name.cmp(&b.name));
        entries.dedup_by(|a, b| a.address == b.address);
        drop(seen);
        self.handout.send_modify(|it| {
            it.entries = entries;
            it.count += 1;
        });
    }

    /// Serves one entry until its connection ends.
    pub(crate) async fn serve(&self, life: u64, connection: Connection, confirmer: Confirmer) {
        let (sender, receiver) = connection.split::<ToEntry, ToMember>();
        if let Err(error) = self.talk(life, &sender, receiver, &confirmer).await {
            log::info!(cause:% = error; "the connection to an entry ended");
        }
        self.leave(life);
    }

    async fn talk(
        &self,
        life: u64,
        sender: &Sender<ToEntry>,
        mut receiver: Receiver<ToMember>,
        confirmer: &Confirmer,
    ) -> types::StepResult<()> {
        let mut view = confirmer.view.clone();
        let mut confirming = pin!(confirmer.confirm());
        let mut confirmed = false;
        let mut handout = self.handout.subscribe();
        let mut digest = self.digest.subscribe();
        let mut told = Told::default();
        loop {
            let seen = view.borrow_and_update().clone();
            if told.held.is_none_or(|it| it.0 < seen.held.version) {
                self.texts().note(&seen.held);
            }
            told.tell_view(sender, &seen, confirmed).await?;
            let current = handout.borrow_and_update().clone();
            if seen.leads() {
                told.tell_handout(sender, seen.term, current).await?;
                let loads = Arc::clone(&digest.borrow_and_update());
                told.tell_loads(sender, &loads).await?;
            }
            tokio::select! {
                () = &mut confirming, if !confirmed => confirmed = true,
                changed = view.changed() => if changed.is_err() { return Ok(()) },
                changed = digest.changed() => if changed.is_err() { return Ok(()) },
                changed = handout.changed() => if changed.is_err() { return Ok(()) },
                message = receiver.recv() => match message? {
                    Some(ToMember::Hello(entry)) => self.enter(life, entry),
                    Some(ToMember::Leave) => self.leave(life),
                    Some(ToMember::Loads(report)) => {
                        let mut loads = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
                        loads.insert(life, report);
                    }
                    Some(ToMember::Fetch(version)) => {
                        let held = view.borrow().held.clone();
                        if held.version >= version {
                            let (version, text) = (held.version, held.text.clone());
                            sender.send(&ToEntry::Plan { version, text }).await?;
                        }
                    }
                    Some(ToMember::Ask(question)) => {
                        let part = self.texts().answer(&question);
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

/// What one entry was told.
#[derive(Default)]
struct Told {
    held: Option<(types::Version, bool)>,
    members: Vec<std::net::SocketAddr>,
    upstreams: Stamp,
    entries: Stamp,
    loads: Option<Arc<LoadReport>>,
}

impl Told {
    async fn tell_view(
        &mut self,
        sender: &Sender<ToEntry>,
        view: &View,
        confirmed: bool,
    ) -> types::StepResult<()> {
        let (version, current) = (view.held.version, confirmed && view.current);
        if self.held != Some((version, current)) {
            self.held = Some((version, current));
            sender.send(&ToEntry::Held { version, current }).await?;
        }
        if !view.members.is_empty() && self.members != view.members {
            self.members.clone_from(&view.members);
            sender.send(&ToEntry::Members(view.members.clone())).await?;
        }
        Ok(())
    }

    async fn tell_loads(
        &mut self,
        sender: &Sender<ToEntry>,
        loads: &Arc<LoadReport>,
    ) -> types::StepResult<()> {
        if self.loads.as_ref().is_some_and(|it| Arc::ptr_eq(it, loads)) {
            return Ok(());
        }
        self.loads = Some(Arc::clone(loads));
        sender.send(&ToEntry::Loads(LoadReport::clone(loads))).await
    }

    async fn tell_handout(
        &mut self,
        sender: &Sender<ToEntry>,
        term: u64,
        handout: Handout,
    ) -> types::StepResult<()> {
        if handout.upstreams.stamp.term == term && self.upstreams < handout.upstreams.stamp {
            self.upstreams = handout.upstreams.stamp;
            sender.send(&ToEntry::Upstreams(handout.upstreams)).await?;
        }
        let stamp = Stamp { term, count: handout.count };
        if self.entries < stamp {
            self.entries = stamp;
            sender.send(&ToEntry::Entries(stamp, handout.entries)).await?;
        }
        Ok(())
    }
}
