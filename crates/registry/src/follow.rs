//! The entry's side of the registry: receives updates from every reachable member.
//!
//! An entry is connected to all members at the same time, so that one that is partitioned, frozen or
//! stalled delays nothing. A plan is transferred once, from one member at a time, in parts.

mod link;
mod lists;
mod state;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval};
use types::{Version, VmName};
use wire::{Hello, Kind, Secret};

use self::state::State;
use crate::evacuation::EvacuatedDomains;
use crate::fetch::Fetch;
use crate::message::{EntryInfo, ListStamps, LoadReport, Relay, Stamp, Upstream, UpstreamList};
use crate::outcomes::{OutcomeReport, OutcomeTotals};
use crate::quarantine::{Evidence, EvidenceBuffer, QuarantineView};

/// The interval at which missing members are connected to and unsent evidence is sent.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The maximum number of queued observations.
const MAX_QUEUED_EVIDENCE: usize = 256;

/// The settings of a follower.
#[derive(Clone, Debug)]
pub struct FollowerConfig {
    /// How the entry describes itself to members.
    pub entry: EntryInfo,
    /// The VM of the entry.
    pub vm: VmName,
    /// The addresses of members at the time when the settings were written.
    pub seeds: Vec<SocketAddr>,
}

/// The data that an entry received from the registry.
#[derive(Clone, Debug, Default)]
pub struct RegistryState {
    /// The newest plan. Set once a quorum has confirmed that no plan was newer when the entry started.
    pub plan: Option<(Version, Arc<Vec<u8>>)>,
    /// The newest list of upstreams.
    pub upstreams: Arc<Vec<Upstream>>,
    /// The number of the list of upstreams.
    pub upstreams_stamp: Stamp,
    /// The connected entries.
    pub entries: Arc<Vec<EntryInfo>>,
    /// The number of the list of entries.
    pub entries_stamp: Stamp,
    /// When the cold time of each cold upstream ends.
    pub cold: Arc<HashMap<String, Instant>>,
    /// The number of the list of cold upstreams.
    pub cold_stamp: Stamp,
    /// The newest evacuated failure domains.
    pub evacuated: Arc<EvacuatedDomains>,
    /// The number of connected members.
    pub members: usize,
    /// The addresses of the voters, as a member named them last; of the seeds until one has.
    pub voters: Arc<Vec<SocketAddr>>,
}

impl RegistryState {
    /// Returns the numbers of the lists.
    pub fn list_stamps(&self) -> ListStamps {
        ListStamps { entries: self.entries_stamp, upstreams: self.upstreams_stamp }
    }

    /// Returns the lists to forward to an entry that has no connection to the registry and holds those
    /// numbered `held`. A list that is not newer is left out: its number is the default one.
    pub fn relay(&self, held: ListStamps) -> Relay {
        let mut relay = Relay::default();
        if self.entries_stamp > held.entries {
            (relay.entries_stamp, relay.entries) = (self.entries_stamp, self.entries.to_vec());
        }
        if self.upstreams_stamp > held.upstreams {
            let (stamp, upstreams) = (self.upstreams_stamp, self.upstreams.to_vec());
            relay.upstreams = UpstreamList { stamp, upstreams };
        }
        relay
    }
}

/// A running task that receives updates from the registry.
pub struct Follower {
    state: watch::Receiver<RegistryState>,
    seeds: Arc<Mutex<Vec<SocketAddr>>>,
    leaving: watch::Sender<bool>,
    total_loads: watch::Receiver<Arc<LoadReport>>,
    reports: mpsc::Sender<LoadReport>,
    total_outcomes: watch::Receiver<Arc<OutcomeTotals>>,
    outcomes: mpsc::Sender<OutcomeReport>,
    relays: mpsc::Sender<Relay>,
    quarantine: watch::Receiver<Arc<QuarantineView>>,
    evidence: mpsc::Sender<Evidence>,
    _task: JoinHandle<()>,
}

impl Follower {
    /// Starts the task.
    pub fn spawn(config: FollowerConfig, secret: Secret) -> Self {
        let voters = Arc::new(config.seeds.clone());
        let (published, state) =
            watch::channel(RegistryState { voters, ..RegistryState::default() });
        let seeds = Arc::new(Mutex::new(config.seeds.clone()));
        let (leaving, leave_requested) = watch::channel(false);
        let (loads, total_loads) = watch::channel(Arc::default());
        let (reports, reported) = mpsc::channel(2);
        let (seen, total_outcomes) = watch::channel(Arc::default());
        let (outcomes, observed) = mpsc::channel(2);
        let (relays, relayed) = mpsc::channel(2);
        let (known, quarantine) = watch::channel(Arc::default());
        let (evidence, collected) = mpsc::channel(MAX_QUEUED_EVIDENCE);
        let channels = Channels {
            published,
            loads,
            seen,
            known,
            leave_requested,
            reported,
            observed,
            relayed,
            collected,
        };
        let task = tokio::spawn(run(config, secret, channels, Arc::clone(&seeds)));
        Self {
            state,
            seeds,
            leaving,
            total_loads,
            reports,
            total_outcomes,
            outcomes,
            relays,
            quarantine,
            evidence,
            _task: task,
        }
    }

    /// Returns the receiver of the registry's data.
    pub fn state(&self) -> watch::Receiver<RegistryState> {
        self.state.clone()
    }

    /// Returns the receiver of the sum of all entries' loads.
    pub fn total_loads(&self) -> watch::Receiver<Arc<LoadReport>> {
        self.total_loads.clone()
    }

    /// Returns the sender for reports of this entry's loads.
    pub fn reports(&self) -> mpsc::Sender<LoadReport> {
        self.reports.clone()
    }

    /// Returns the receiver of the outcomes that all entries have seen.
    pub fn total_outcomes(&self) -> watch::Receiver<Arc<OutcomeTotals>> {
        self.total_outcomes.clone()
    }

    /// Returns the sender for reports of the outcomes that this entry has seen.
    pub fn outcomes(&self) -> mpsc::Sender<OutcomeReport> {
        self.outcomes.clone()
    }

    /// Returns the sender for lists that other entries forward.
    pub fn relays(&self) -> mpsc::Sender<Relay> {
        self.relays.clone()
    }

    /// Returns the receiver of the view of held requests.
    pub fn quarantine(&self) -> watch::Receiver<Arc<QuarantineView>> {
        self.quarantine.clone()
    }

    /// Returns the sender for evidence of requests that may terminate upstreams.
    pub fn evidence(&self) -> mpsc::Sender<Evidence> {
        self.evidence.clone()
    }

    /// Tells the members that this entry is shutting down.
    pub fn leave(&self) {
        self.leaving.send_replace(true);
    }

    /// Replaces the seed addresses, after the settings changed.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.lock().unwrap_or_else(PoisonError::into_inner) = seeds;
    }
}

/// The channel ends that the loop owns.
struct Channels {
    published: watch::Sender<RegistryState>,
    loads: watch::Sender<Arc<LoadReport>>,
    seen: watch::Sender<Arc<OutcomeTotals>>,
    known: watch::Sender<Arc<QuarantineView>>,
    leave_requested: watch::Receiver<bool>,
    reported: mpsc::Receiver<LoadReport>,
    observed: mpsc::Receiver<OutcomeReport>,
    relayed: mpsc::Receiver<Relay>,
    collected: mpsc::Receiver<Evidence>,
}

async fn run(
    config: FollowerConfig,
    secret: Secret,
    channels: Channels,
    seeds: Arc<Mutex<Vec<SocketAddr>>>,
) {
    let Channels {
        published,
        loads,
        seen,
        known,
        mut leave_requested,
        mut reported,
        mut observed,
        mut relayed,
        mut collected,
    } = channels;
    let (events, mut incoming) = mpsc::channel(256);
    let me = Hello { kind: Kind::Entry, vm: config.vm.clone(), node: rand::random() };
    let fetch = Fetch::new(me.node as usize);
    let mut state = State {
        config,
        secret,
        me,
        events,
        published,
        loads,
        seen,
        known,
        seeds,
        links: HashMap::new(),
        failures: HashMap::new(),
        members: Vec::new(),
        plan_versions: HashMap::new(),
        min_version: None,
        plan: None,
        fetch,
        leader: None,
        evidence: EvidenceBuffer::default(),
        member_lists: HashMap::new(),
    };
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                state.connect_missing();
                state.send_unsent();
            }
            Some(event) = incoming.recv() => state.handle(event),
            Ok(()) = leave_requested.changed() => state.leave(),
            Some(report) = reported.recv() => state.send_loads(report),
            Some(report) = observed.recv() => state.send_outcomes(report),
            Some(relay) = relayed.recv() => state.take_relay(relay),
            Some(evidence) = collected.recv() => state.report_evidence(evidence),
        }
        state.request_part();
    }
}
