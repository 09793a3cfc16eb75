//! Hands the plan, the upstreams and the entries to the entries that are connected.

mod held;

use std::collections::{BTreeMap, HashMap};
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, watch};
use tokio::time::sleep;
use wire::{Connection, Receiver, Sender};

use crate::difference::Numbered;
use crate::driver::View;
use crate::handout::{Digest, Published};
use crate::member::Confirmer;
use crate::message::{
    EntrySeen, LoadReport, Stamp, ToEntry, ToMember, Upstream, UpstreamList, UpstreamLoad,
};
use crate::quarantine::Quarantine;
use crate::texts::Texts;

/// How often entries tell their loads, and their sum is handed out, at most. What is not known yet of
/// others' prompts makes two meet at one engine.
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

/// For how long entries that come and go are gathered before the others are told, so that many that
/// come at once cost a few messages to each and not one for each of them.
const GATHER: Duration = Duration::from_millis(60);

/// How long an entry may take to tell its level; one of the release before tells none.
const LEVEL_PATIENCE: Duration = Duration::from_millis(60);

/// What is handed out besides the plan.
#[derive(Clone, Debug, Default)]
struct Handout {
    upstreams: Published<Upstream>,
    entries: Published<EntrySeen>,
    /// The number of the list of requests that are not sent, which is made for each telling: the times in
    /// it run on.
    quarantine: Stamp,
}

/// The entries that are connected to this member.
pub(crate) struct Hub {
    handout: watch::Sender<Handout>,
    seen: Mutex<HashMap<u64, EntrySeen>>,
    /// Told when an entry came or went.
    moved: Notify,
    loads: Mutex<HashMap<u64, LoadReport>>,
    digest: watch::Sender<Option<Arc<Digest>>>,
    texts: Mutex<Texts>,
    quarantine: Mutex<Quarantine>,
}

impl Hub {
    pub(crate) fn new() -> Self {
        Self {
            handout: watch::Sender::new(Handout::default()),
            seen: Mutex::default(),
            moved: Notify::new(),
            loads: Mutex::default(),
            digest: watch::Sender::default(),
            texts: Mutex::default(),
            quarantine: Mutex::default(),
        }
    }

    fn texts(&self) -> MutexGuard<'_, Texts> {
        self.texts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Hands out another list of upstreams.
    pub(crate) fn set_upstreams(&self, list: UpstreamList) {
        let next = Numbered::new(list.stamp, list.upstreams);
        self.handout.send_modify(|it| report(it.upstreams.publish(next)));
    }

    /// Tells which entries are there, for as long as the member runs. The numbers of the lists go with
    /// the term in which they were made.
    pub(crate) async fn tell_entries(self: Arc<Self>, mut view: watch::Receiver<View>) {
        loop {
            let told = self.handout.borrow().entries.numbered.stamp.term;
            tokio::select! {
                () = self.moved.notified() => {}
                changed = view.wait_for(|it| it.leads() && it.term != told) => {
                    if changed.is_err() {
                        return;
                    }
                }
            }
            let entries = {
                let seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
                seen.values().cloned().collect()
            };
            let term = view.borrow().term;
            self.handout.send_modify(|it| {
                let last = it.entries.numbered.stamp;
                let count = if last.term == term { last.count + 1 } else { 1 };
                report(it.entries.publish(Numbered::new(Stamp { term, count }, entries)));
            });
            sleep(GATHER).await;
        }
    }

    /// Adds up what the entries report, for as long as the member runs.
    pub(crate) async fn add_loads(self: Arc<Self>) {
        loop {
            let count = self.handout.borrow().upstreams.numbered.list.len();
            sleep(loads_period(count)).await;
            let listed = self.handout.borrow().upstreams.numbered.stamp;
            let report = LoadReport { listed, loads: self.sum(listed) };
            if self.digest.borrow().as_ref().is_some_and(|it| it.report == report) {
                continue;
            }
            match Digest::new(report) {
                Ok(digest) => drop(self.digest.send_replace(Some(Arc::new(digest)))),
                Err(error) => log::error!(cause:% = error; "loads can't be handed out"),
            }
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
        self.seen.lock().unwrap_or_else(PoisonError::into_inner).insert(life, entry);
        self.moved.notify_one();
    }

    fn leave(&self, life: u64) {
        self.loads.lock().unwrap_or_else(PoisonError::into_inner).remove(&life);
        let gone = self.seen.lock().unwrap_or_else(PoisonError::into_inner).remove(&life);
        if let Some(entry) = gone {
            log::info!(entry = entry.name.as_str(); "an entry is gone");
            self.moved.notify_one();
        }
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
        sender.wait_level(LEVEL_PATIENCE).await;
        let mut told = Told::default();
        let mut behind = true;
        loop {
            tokio::select! {
                // News of a state wait here, not in the queue: who reads slowly gets the newest alone, and
                // what is held for one connection is bounded by what one telling takes.
                drained = sender.drained(), if behind => {
                    drained?;
                    behind = false;
                    let seen = view.borrow_and_update().clone();
                    if told.held.is_none_or(|it| it.0 < seen.held.version) {
                        self.texts().note(&seen.held);
                    }
                    told.tell_view(sender, &seen, confirmed).await?;
                    let current = handout.borrow_and_update().clone();
                    if seen.leads() {
                        // Before the upstreams: an entry without them sends nothing.
                        self.tell_quarantine(sender, &mut told, seen.term, &current).await?;
                        told.tell_handout(sender, seen.term, &current).await?;
                        let loads = digest.borrow_and_update().clone();
                        told.tell_loads(sender, loads).await?;
                    }
                }
                () = &mut confirming, if !confirmed => (confirmed, behind) = (true, true),
                changed = view.changed(), if !behind => {
                    if changed.is_err() {
                        return Ok(());
                    }
                    behind = true;
                }
                changed = digest.changed(), if !behind => {
                    if changed.is_err() {
                        return Ok(());
                    }
                    behind = true;
                }
                changed = handout.changed(), if !behind => {
                    if changed.is_err() {
                        return Ok(());
                    }
                    behind = true;
                }
                message = receiver.recv() => match message? {
                    Some(ToMember::Hello(entry)) => self.enter(life, entry),
                    Some(ToMember::Leave) => self.leave(life),
                    Some(ToMember::Loads(report)) => {
                        let mut loads = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
                        loads.insert(life, report);
                    }
                    Some(ToMember::Evidence(evidence)) => {
                        let seen = view.borrow().clone();
                        self.take_evidence(life, evidence, &seen);
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

/// Logs what can't be handed out.
fn report(published: types::StepResult<()>) {
    if let Err(error) = published {
        log::error!(cause:% = error; "a list can't be handed out; the one before stays");
    }
}

/// What one entry was told.
#[derive(Default)]
struct Told {
    held: Option<(types::Version, bool)>,
    members: Vec<std::net::SocketAddr>,
    upstreams: Stamp,
    entries: Stamp,
    loads: Option<Arc<Digest>>,
    quarantine: Stamp,
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
        loads: Option<Arc<Digest>>,
    ) -> types::StepResult<()> {
        let Some(loads) = loads else { return Ok(()) };
        if self.loads.as_ref().is_some_and(|it| Arc::ptr_eq(it, &loads)) {
            return Ok(());
        }
        let sent = sender.send_encoded(&loads.message).await;
        self.loads = Some(loads);
        sent
    }

    async fn tell_handout(
        &mut self,
        sender: &Sender<ToEntry>,
        term: u64,
        handout: &Handout,
    ) -> types::StepResult<()> {
        if handout.upstreams.numbered.stamp.term == term {
            handout.upstreams.tell(sender, &mut self.upstreams).await?;
        }
        if handout.entries.numbered.stamp.term == term {
            handout.entries.tell(sender, &mut self.entries).await?;
        }
        Ok(())
    }
}
