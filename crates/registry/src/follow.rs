//! An entry's side: follows every member it can reach.
//!
//! All members are followed at once, so that one that is cut off, frozen or stalled holds nothing
//! up; a plan travels once, from one member at a time, in parts.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};
use types::{Version, VmName};
use wire::{Hello, Kind, Secret, Sender};

use crate::fetch::Fetch;
use crate::message::{
    EntrySeen, LoadReport, Relay, Stamp, ToEntry, ToMember, Upstream, UpstreamList,
};
use crate::parcel::Part;

/// The most members that are followed at once.
const MEMBERS: usize = 7;

/// The pause before a member that can't be reached is dialled again.
const REDIAL: Duration = Duration::from_millis(100);

/// How long a dial may take: many times the way between regions. A lost first packet is sent again
/// only after a second, and one to a host that is off is never answered, so another dial is sooner:
/// with 700 ms, entries found members 1.1 s after a loss of all power, up to 0.9 s late.
const DIAL_TIMEOUT: Duration = Duration::from_millis(250);

/// How often waiting plans and missing members are looked at.
const PERIOD: Duration = Duration::from_millis(100);

/// Who the entry is.
#[derive(Clone, Debug)]
pub struct FollowerConfig {
    /// What it tells members.
    pub entry: EntrySeen,
    /// Its VM.
    pub vm: VmName,
    /// Where members were, when the settings were written.
    pub seeds: Vec<SocketAddr>,
}

/// What an entry was told.
#[derive(Clone, Debug, Default)]
pub struct News {
    /// The newest plan, once a member that was up to date vouched for it.
    pub plan: Option<(Version, Arc<Vec<u8>>)>,
    /// The newest list of upstreams.
    pub upstreams: Arc<Vec<Upstream>>,
    /// Its number.
    pub listed: Stamp,
    /// The entries that are there.
    pub entries: Arc<Vec<EntrySeen>>,
    /// Its number.
    pub seated: Stamp,
    /// How many members are connected.
    pub members: usize,
}

impl News {
    /// What an entry that is not in touch should know of these.
    pub fn relay(&self) -> Relay {
        let upstreams = UpstreamList { stamp: self.listed, upstreams: self.upstreams.to_vec() };
        Relay { seated: self.seated, entries: self.entries.to_vec(), upstreams }
    }
}

/// A running follower.
pub struct Follower {
    news: watch::Receiver<News>,
    seeds: Arc<Mutex<Vec<SocketAddr>>>,
    leaving: watch::Sender<bool>,
    digest: watch::Receiver<Arc<LoadReport>>,
    reports: mpsc::Sender<LoadReport>,
    relays: mpsc::Sender<Relay>,
    _task: JoinHandle<()>,
}

impl Follower {
    /// Starts to follow.
    pub fn spawn(config: FollowerConfig, secret: Secret) -> Self {
        let (sender, news) = watch::channel(News::default());
        let seeds = Arc::new(Mutex::new(config.seeds.clone()));
        let (leaving, left) = watch::channel(false);
        let (loads, digest) = watch::channel(Arc::default());
        let (reports, reported) = mpsc::channel(2);
        let (relays, relayed) = mpsc::channel(2);
        let channels = Channels { news: sender, loads, left, reported, relayed };
        let task = tokio::spawn(run(config, secret, channels, Arc::clone(&seeds)));
        Self { news, seeds, leaving, digest, reports, relays, _task: task }
    }

    /// Returns where the news are seen.
    pub fn news(&self) -> watch::Receiver<News> {
        self.news.clone()
    }

    /// Returns where the loads of all entries together are seen.
    pub fn digest(&self) -> watch::Receiver<Arc<LoadReport>> {
        self.digest.clone()
    }

    /// Returns where this entry's loads are reported.
    pub fn reports(&self) -> mpsc::Sender<LoadReport> {
        self.reports.clone()
    }

    /// Returns where news that other entries pass on are taken.
    pub fn relays(&self) -> mpsc::Sender<Relay> {
        self.relays.clone()
    }

    /// Has other entries told that this one ends.
    pub fn leave(&self) {
        self.leaving.send_replace(true);
    }

    /// Replaces the seed addresses, after the settings changed.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.lock().unwrap_or_else(PoisonError::into_inner) = seeds;
    }
}

/// What the connections tell the loop.
enum Event {
    Connected(SocketAddr, Sender<ToMember>),
    Lost(SocketAddr),
    Message(SocketAddr, ToEntry),
}

/// The loop's ends of the follower's channels.
struct Channels {
    news: watch::Sender<News>,
    loads: watch::Sender<Arc<LoadReport>>,
    left: watch::Receiver<bool>,
    reported: mpsc::Receiver<LoadReport>,
    relayed: mpsc::Receiver<Relay>,
}

struct Loop {
    config: FollowerConfig,
    secret: Secret,
    me: Hello,
    events: mpsc::Sender<Event>,
    news: watch::Sender<News>,
    loads: watch::Sender<Arc<LoadReport>>,
    seeds: Arc<Mutex<Vec<SocketAddr>>>,
    links: HashMap<SocketAddr, Option<Sender<ToMember>>>,
    members: Vec<SocketAddr>,
    /// The version each member holds, and whether it is up to date.
    held: HashMap<SocketAddr, (Version, bool)>,
    text: Option<(Version, Arc<Vec<u8>>)>,
    fetch: Fetch,
    /// The member that sent the newest list: the leader.
    leader: Option<SocketAddr>,
}

async fn run(
    config: FollowerConfig,
    secret: Secret,
    channels: Channels,
    seeds: Arc<Mutex<Vec<SocketAddr>>>,
) {
    let Channels { news, loads, mut left, mut reported, mut relayed } = channels;
    let (events, mut incoming) = mpsc::channel(256);
    let me = Hello { kind: Kind::Entry, vm: config.vm.clone(), node: rand::random() };
    let fetch = Fetch::new(me.node as usize);
    let mut state = Loop {
        config,
        secret,
        me,
        events,
        news,
        loads,
        seeds,
        links: HashMap::new(),
        members: Vec::new(),
        held: HashMap::new(),
        text: None,
        fetch,
        leader: None,
    };
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => state.dial(),
            Some(event) = incoming.recv() => state.take(event),
            Ok(()) = left.changed() => state.leave(),
            Some(report) = reported.recv() => state.report(report),
            Some(relay) = relayed.recv() => state.take_relay(relay),
        }
        state.fetch();
    }
}

impl Loop {
    /// Opens a task for every member that has none.
    fn dial(&mut self) {
        let seeds = self.seeds.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let wanted = self.members.iter().chain(&seeds).copied();
        for address in wanted.collect::<Vec<_>>() {
            if self.links.len() >= MEMBERS {
                return;
            }
            if self.links.contains_key(&address) {
                continue;
            }
            self.links.insert(address, None);
            let (secret, me) = (self.secret.clone(), self.me.clone());
            let (entry, events) = (self.config.entry.clone(), self.events.clone());
            tokio::spawn(link(address, secret, me, entry, events));
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Connected(address, sender) => {
                log::info!(peer:% = address; "connected to a member");
                self.links.insert(address, Some(sender));
                self.count();
            }
            Event::Lost(address) => {
                if self.links.remove(&address).flatten().is_some() {
                    log::warn!(peer:% = address; "lost a member");
                }
                self.held.remove(&address);
                self.fetch.lost(address);
                self.count();
            }
            Event::Message(address, message) => self.take_message(address, message),
        }
    }

    /// Tells the leader what this entry has under way.
    fn report(&self, report: LoadReport) {
        let sender = self.leader.and_then(|it| self.links.get(&it)).and_then(Option::as_ref);
        if let Some(sender) = sender {
            // The next report makes up for one that is lost.
            let _ = sender.try_send(&ToMember::Loads(report));
        }
    }

    /// Tells every member that this entry ends.
    fn leave(&self) {
        for sender in self.links.values().flatten() {
            // A member that can't be told sees the connection end.
            let _ = sender.try_send(&ToMember::Leave);
        }
    }

    fn count(&self) {
        let members = self.links.values().flatten().count();
        self.news.send_modify(|it| it.members = members);
    }

    fn take_message(&mut self, from: SocketAddr, message: ToEntry) {
        match message {
            ToEntry::Held { version, current } => {
                self.held.insert(from, (version, current));
                self.show();
            }
            ToEntry::Part(part) => self.take_part(from, part),
            ToEntry::Plan { version, .. } => {
                log::warn!(version:% = version, peer:% = from;
                    "a member sent a plan in one piece, which this entry never asks for");
            }
            ToEntry::Upstreams(list) => self.take_upstreams(from, list),
            ToEntry::Loads(loads) => {
                self.loads.send_replace(Arc::new(loads));
            }
            ToEntry::Entries(stamp, entries) => self.take_entries(stamp, entries),
            ToEntry::Members(members) => self.members = members,
        }
    }

    fn take_part(&mut self, from: SocketAddr, part: Part) {
        let (base, sent) = (part.label.base.unwrap_or(Version(0)), part.label.size);
        let held = self.text.as_ref();
        let text = held.map_or(&[][..], |it| it.1.as_slice());
        match self.fetch.take(from, part, held.map(|it| it.0), text, Instant::now()) {
            Ok(None) => {}
            Ok(Some((version, text))) => {
                log::info!(version:% = version, peer:% = from, base:% = base, sent,
                    bytes = text.len(); "a plan arrived");
                self.text = Some((version, Arc::new(text)));
                self.show();
            }
            Err(error) => log::error!(cause:% = error, base:% = base;
                "a plan could not be unpacked; the whole text is asked for"),
        }
    }

    /// Takes what another entry passes on. Loads still go to the leader of before, if any.
    fn take_relay(&self, relay: Relay) {
        let (seated, listed) = (relay.seated, relay.upstreams.stamp);
        let newer = {
            let news = self.news.borrow();
            seated > news.seated || listed > news.listed
        };
        if newer {
            log::info!(seated:% = seated, listed:% = listed, entries = relay.entries.len();
                "took news from another entry");
        }
        self.take_entries(relay.seated, relay.entries);
        self.take_list(relay.upstreams);
    }

    fn take_entries(&self, stamp: Stamp, entries: Vec<EntrySeen>) {
        self.news.send_if_modified(|news| {
            let newer = stamp > news.seated;
            if newer {
                news.seated = stamp;
                news.entries = Arc::new(entries);
            }
            newer
        });
    }

    fn take_upstreams(&mut self, from: SocketAddr, list: UpstreamList) {
        if list.stamp >= self.news.borrow().listed {
            self.leader = Some(from);
        }
        self.take_list(list);
    }

    fn take_list(&self, list: UpstreamList) {
        self.news.send_if_modified(|news| {
            let newer = list.stamp > news.listed;
            if newer {
                news.listed = list.stamp;
                news.upstreams = Arc::new(list.upstreams);
            }
            newer
        });
    }

    /// Shows the newest text. The first one is shown only once a member that was up to date holds
    /// no newer one: an entry that comes back must not serve what was overtaken while it was away.
    fn show(&self) {
        let Some((version, text)) = &self.text else { return };
        let first = self.news.borrow().plan.is_none();
        let vouched = self.held.values().any(|(it, current)| *current && it <= version);
        if first && !vouched {
            return;
        }
        self.news.send_if_modified(|news| {
            let newer = news.plan.as_ref().is_none_or(|(it, _)| it < version);
            if newer {
                news.plan = Some((*version, Arc::clone(text)));
            }
            newer
        });
    }

    /// Asks for the newest plan that some member holds.
    fn fetch(&mut self) {
        let have = self.text.as_ref().map(|it| it.0);
        let holders: Vec<_> = self.held.iter().map(|(peer, it)| (*peer, it.0)).collect();
        let now = Instant::now();
        let Some((question, peers)) = self.fetch.due(have, &holders, now) else { return };
        let message = ToMember::Ask(question);
        let reached = peers.into_iter().find(|it| {
            let sender = self.links.get(it).and_then(Option::as_ref);
            sender.is_some_and(|it| it.try_send(&message).is_ok())
        });
        let Some(peer) = reached else { return };
        if question.begun.is_none() {
            log::info!(version:% = question.version, peer:% = peer, held:% = have.unwrap_or(Version(0));
                "asked a member for a plan");
        }
        self.fetch.asked(peer, now);
    }
}

/// Keeps one connection to one member; ends with it.
async fn link(
    address: SocketAddr,
    secret: Secret,
    me: Hello,
    entry: EntrySeen,
    events: mpsc::Sender<Event>,
) {
    let dialled = timeout(DIAL_TIMEOUT, wire::connect(address, &secret, me, Kind::Member)).await;
    if let Ok(Ok(connection)) = dialled {
        let (sender, mut receiver) = connection.split::<ToMember, ToEntry>();
        let greeted = sender.send(&ToMember::Hello(entry)).await.is_ok();
        if greeted && events.send(Event::Connected(address, sender)).await.is_ok() {
            while let Ok(Some(message)) = receiver.recv().await {
                if events.send(Event::Message(address, message)).await.is_err() {
                    return;
                }
            }
        }
    } else {
        sleep(REDIAL).await;
    }
    // The loop ends only with the process.
    let _ = events.send(Event::Lost(address)).await;
}
