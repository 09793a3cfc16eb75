//! An entry's side: follows every member it can reach.
//!
//! All members are followed at once, so that one that is cut off, frozen or stalled holds nothing
//! up; a plan travels once, from one member at a time, in parts.

mod link;
mod state;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval};
use types::{Version, VmName};
use wire::{Hello, Kind, Secret};

use self::state::Loop;
use crate::fetch::Fetch;
use crate::message::{EntrySeen, LoadReport, Relay, Stamp, Upstream, UpstreamList};
use crate::quarantine::{Evidence, Known, Recent};

/// How often waiting plans and missing members are looked at.
const PERIOD: Duration = Duration::from_millis(100);

/// Evidence that waits for the loop.
const EVIDENCE: usize = 256;

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
    /// The newest plan, once a quorum confirmed that none was newer when the entry had started.
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
    quarantine: watch::Receiver<Arc<Known>>,
    evidence: mpsc::Sender<Evidence>,
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
        let (known, quarantine) = watch::channel(Arc::default());
        let (evidence, collected) = mpsc::channel(EVIDENCE);
        let channels = Channels { news: sender, loads, known, left, reported, relayed, collected };
        let task = tokio::spawn(run(config, secret, channels, Arc::clone(&seeds)));
        Self { news, seeds, leaving, digest, reports, relays, quarantine, evidence, _task: task }
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

    /// Returns where the requests that are not sent are seen.
    pub fn quarantine(&self) -> watch::Receiver<Arc<Known>> {
        self.quarantine.clone()
    }

    /// Returns where evidence of requests under which upstreams end is taken.
    pub fn evidence(&self) -> mpsc::Sender<Evidence> {
        self.evidence.clone()
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

/// The loop's ends of the follower's channels.
struct Channels {
    news: watch::Sender<News>,
    loads: watch::Sender<Arc<LoadReport>>,
    known: watch::Sender<Arc<Known>>,
    left: watch::Receiver<bool>,
    reported: mpsc::Receiver<LoadReport>,
    relayed: mpsc::Receiver<Relay>,
    collected: mpsc::Receiver<Evidence>,
}

async fn run(
    config: FollowerConfig,
    secret: Secret,
    channels: Channels,
    seeds: Arc<Mutex<Vec<SocketAddr>>>,
) {
    let Channels { news, loads, known, mut left, mut reported, mut relayed, mut collected } =
        channels;
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
        known,
        seeds,
        links: HashMap::new(),
        members: Vec::new(),
        held: HashMap::new(),
        confirmed: None,
        text: None,
        fetch,
        leader: None,
        recent: Recent::default(),
        lists: HashMap::new(),
    };
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                state.dial();
                state.tell_untold();
            }
            Some(event) = incoming.recv() => state.take(event),
            Ok(()) = left.changed() => state.leave(),
            Some(report) = reported.recv() => state.report(report),
            Some(relay) = relayed.recv() => state.take_relay(relay),
            Some(evidence) = collected.recv() => state.tell_evidence(evidence),
        }
        state.fetch();
    }
}
