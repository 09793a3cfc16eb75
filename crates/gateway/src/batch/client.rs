//! The submitter's side: hands the pieces of a stage to the owner of its service.

mod job;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::seq::IteratorRandom;
use registry::{RegistryState, Relay, RequestDigest};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior, interval, timeout_at};
use wire::{Hello, Secret};

use crate::batch::link::{Inlets, Link, PULSE};
use crate::batch::message::{Submission, ToOwner};
use crate::batch::owner::{OWN, Owner, OwnerEvent};
use crate::dialect::{Dialect, Handle, PieceFailure, PieceInput};
use crate::place::score;
use crate::section::Section;
use crate::shared::Shared;

use self::job::{Ended, LocalJob, Progress, RemoteJob, job};

/// How long an owner may take to accept a job: a packet that is lost and sent again after 200 ms, each
/// way. With less, entries on a link that loses packets pass over owners that are well, and two owners
/// send calls to the same upstreams.
const ACCEPT: Duration = Duration::from_millis(420);

/// How long an owner with open jobs may be silent: some pulses, and a packet that is sent again.
const SILENT: Duration = PULSE.saturating_mul(7);

/// How long an owner that was silent is passed over.
const SUSPECT: Duration = Duration::from_millis(1_500);

/// A service whose pieces wait this long has too little room.
const CROWDED: Duration = Duration::from_millis(60);

/// To how many owners a job is handed at most.
const OWNERS: usize = 3;

/// How often an entry without a member asks others for their news.
const ASK: Duration = Duration::from_millis(500);

/// How many others it asks; some of them may have no member either.
const ASKED: usize = 3;

/// The pieces of one stage of one request.
pub(crate) struct JobSpec {
    pub(crate) service: Arc<str>,
    /// The request.
    pub(crate) digest: RequestDigest,
    pub(crate) attempt: Arc<str>,
    pub(crate) stage: u32,
    pub(crate) pieces: u32,
    pub(crate) input: PieceInput,
    pub(crate) size: u64,
    pub(crate) domain: Option<Arc<str>>,
    pub(crate) weight: u64,
    pub(crate) rank: u8,
    pub(crate) due: Instant,
    pub(crate) deadline: Instant,
}

/// Where the time of a job went, as its owner saw it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StageTimes {
    /// How long the pieces that came last waited at the owner.
    pub(crate) wait: Duration,
    /// How long their call took.
    pub(crate) call: Duration,
}

/// The results of a job, in order.
pub(crate) struct Made {
    pub(crate) handles: Vec<Handle>,
    /// When the first of them came.
    pub(crate) first: Instant,
    pub(crate) times: StageTimes,
}

/// The submitter's side of all services.
pub(crate) struct Batches<D> {
    shared: Arc<Shared<D>>,
    owner: Owner,
    secret: Secret,
    me: Hello,
    own: SocketAddr,
    next: AtomicU64,
    links: Mutex<HashMap<SocketAddr, Arc<Link>>>,
    suspects: Mutex<HashMap<SocketAddr, Instant>>,
    relays: mpsc::Sender<Relay>,
}

impl<D: Dialect> Batches<D> {
    pub(crate) fn new(
        shared: Arc<Shared<D>>,
        owner: Owner,
        secret: Secret,
        me: Hello,
        own: SocketAddr,
        relays: mpsc::Sender<Relay>,
    ) -> Self {
        Self {
            shared,
            owner,
            secret,
            me,
            own,
            next: AtomicU64::new(0),
            links: Mutex::default(),
            suspects: Mutex::default(),
            relays,
        }
    }

    /// Has all pieces of a stage made; returns their results in order.
    ///
    /// # Errors
    /// With the first failure of a piece.
    pub(crate) async fn run(&self, spec: &JobSpec) -> Result<Made, PieceFailure> {
        let left = (0..spec.pieces).collect();
        let mut progress = Progress {
            batches: self,
            input: &spec.input,
            done: BTreeMap::new(),
            left,
            first: None,
            times: StageTimes::default(),
        };
        let mut again = false;
        let mut owners = 0;
        while owners < OWNERS {
            let last = owners + 1 == OWNERS;
            let section = self.shared.section(&spec.service, spec.domain.as_deref(), spec.rank);
            let Some(address) = self.owner_of(&section, last) else { break };
            if again {
                let entries = self.shared.entries();
                let count = progress.left.len() as u32;
                if !self.shared.budget.take(&spec.service, count, entries, Instant::now()) {
                    break;
                }
            }
            match self.run_at(address, section, spec, again, &mut progress).await {
                Ended::Done => {
                    let done = std::mem::take(&mut progress.done);
                    let first = progress.first.unwrap_or_else(Instant::now);
                    let handles = done.into_values().collect();
                    return Ok(Made { handles, first, times: progress.times });
                }
                Ended::Failed(failure) => return Err(failure),
                Ended::Silent => {
                    self.suspect(address, &spec.service, "silent");
                    again = true;
                    owners += 1;
                }
                // It says nothing of the others, and cost next to no time.
                Ended::Unreached => self.suspect(address, &spec.service, "unreachable"),
                Ended::Refused => {
                    self.suspect(address, &spec.service, "ending");
                    owners += 1;
                }
            }
        }
        Err(PieceFailure::Failed)
    }

    /// Gives results up; whoever owns a service tells their keepers.
    pub(crate) fn free(&self, handles: &[Handle]) {
        if handles.is_empty() {
            return;
        }
        let directory = self.shared.directory();
        let mut by_section: HashMap<Section, Vec<String>> = HashMap::new();
        for handle in handles {
            let address = D::holder(handle);
            let keeper = directory.all().find(|it| Some(it.address) == address);
            if let Some(keeper) = keeper {
                let list = by_section.entry(directory.section_of(keeper)).or_default();
                list.push(handle.to_string());
            }
        }
        for (section, handles) in by_section {
            let message = ToOwner::Free(handles);
            match self.owner_of(&section, false) {
                Some(address) if address != self.own => self.link(address).tell(message),
                _ => {
                    let (replies, _) = mpsc::unbounded_channel();
                    self.owner.tell(OwnerEvent::Told(OWN, message, replies));
                }
            }
        }
    }

    /// Gives up inputs that were fetched, while the request still runs, where pieces wait for their
    /// makers. Room for results is what bounds these: results that stay for the time of another call leave
    /// the next calls half full. Where there is no backlog the
    /// results stay until their request is done, in case their followers must run again.
    fn free_crowded(&self, handles: &[Handle]) {
        let directory = self.shared.directory();
        let crowded = |it: &&Handle| {
            let address = D::holder(it);
            let keeper = directory.all().find(|it| Some(it.address) == address);
            let section = keeper.map(|it| directory.section_of(it));
            let wait = section.map(|it| self.shared.backlogs.wait(&it, u8::MAX));
            wait.is_some_and(|it| it >= CROWDED)
        };
        let crowded: Vec<Handle> = handles.iter().filter(crowded).cloned().collect();
        self.free(&crowded);
    }

    /// The failure domain in which most of some results are kept.
    pub(crate) fn domain_of(&self, handles: &[Handle]) -> Option<Arc<str>> {
        let directory = self.shared.directory();
        let mut counts: HashMap<Arc<str>, usize> = HashMap::new();
        for handle in handles {
            let address = D::holder(handle);
            if let Some(keeper) = directory.all().find(|it| Some(it.address) == address) {
                *counts.entry(Arc::clone(&keeper.domain)).or_default() += 1;
            }
        }
        counts.into_iter().max_by_key(|it| it.1).map(|it| it.0)
    }

    /// The owner of a section from this entry's view, one in the section's failure domain if there is any:
    /// it is next to the upstreams, and to most that hand it jobs. An entry that others count as gone is no
    /// owner: they have chosen another, and two owners send calls to the same upstreams without
    /// knowledge of each other. But `alone`, where no other answers, it is.
    fn owner_of(&self, section: &Section, alone: bool) -> Option<SocketAddr> {
        let now = Instant::now();
        let mut suspects = self.suspects.lock().unwrap_or_else(PoisonError::into_inner);
        suspects.retain(|_, until| now < *until);
        let key = score(0, &section.service);
        let key = section.domain.as_ref().map_or(key, |it| score(key, it));
        let near = |domain: &str| section.domain.as_deref().is_none_or(|it| it == domain);
        let peers = self.shared.peers();
        let others = peers.iter().map(|it| (near(&it.domain), it.address));
        let others = others.filter(|it| !suspects.contains_key(&it.1));
        let counts = alone || self.shared.is_listed();
        let free = others.chain(counts.then_some((near(&self.shared.domain), self.own)));
        let first = free.max_by_key(|it| (it.0, score(key, &it.1.to_string())));
        first.map(|it| it.1).or(Some(self.own))
    }

    /// Asks other entries for the registry's news while this one has no member, for as long as the
    /// process lives.
    pub(crate) async fn ask_around(self: Arc<Self>, news: watch::Receiver<RegistryState>) {
        let mut ticks = interval(ASK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if news.borrow().members > 0 {
                continue;
            }
            let peers = self.shared.peers();
            let addresses = peers.iter().map(|it| it.address);
            for address in addresses.sample(&mut rand::rng(), ASKED) {
                self.link(address).tell(ToOwner::Follow);
            }
        }
    }

    fn suspect(&self, address: SocketAddr, service: &str, cause: &str) {
        log::warn!(peer:% = address, service, cause; "passing over the owner of a service");
        let mut suspects = self.suspects.lock().unwrap_or_else(PoisonError::into_inner);
        suspects.insert(address, Instant::now() + SUSPECT);
    }

    fn link(&self, address: SocketAddr) -> Arc<Link> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.retain(|_, it| !it.is_ended());
        let open = || {
            let backlogs = Arc::clone(&self.shared.backlogs);
            let inlets = Inlets { backlogs, relays: self.relays.clone() };
            Link::open(address, self.secret.clone(), self.me.clone(), inlets)
        };
        Arc::clone(links.entry(address).or_insert_with(open))
    }

    async fn run_at(
        &self,
        address: SocketAddr,
        section: Section,
        spec: &JobSpec,
        again: bool,
        progress: &mut Progress<'_, D>,
    ) -> Ended {
        let id = self.next.fetch_add(1, Ordering::Relaxed) + 1;
        let job = job(id, spec, again, &progress.left);
        let domain = section.domain.as_ref().map(ToString::to_string);
        let message = ToOwner::SubmitOf(Submission { domain, digest: spec.digest, job });
        let (replies, mut answers) = mpsc::unbounded_channel();
        if address == self.own {
            let _guard = LocalJob { owner: &self.owner, id };
            self.owner.tell(OwnerEvent::Told(OWN, message, replies));
            while let Some(answer) = answers.recv().await {
                if let Some(ended) = progress.take(answer) {
                    return ended;
                }
            }
            return Ended::Silent;
        }
        let link = self.link(address);
        let _guard = RemoteJob { link: &link, id };
        let lost = || if link.is_refused() { Ended::Unreached } else { Ended::Silent };
        if !link.wait(id, replies) {
            return lost();
        }
        link.tell(message);
        let mut by = Instant::now() + ACCEPT;
        let mut accepted = false;
        loop {
            match timeout_at(by, answers.recv()).await {
                Ok(Some(answer)) => {
                    accepted = true;
                    if let Some(ended) = progress.take(answer) {
                        return ended;
                    }
                    by = Instant::now() + SILENT;
                }
                Ok(None) => return lost(),
                Err(_) => {
                    let heard = link.heard().filter(|_| accepted);
                    match heard.map(|it| it + SILENT).filter(|it| *it > Instant::now()) {
                        Some(later) => by = later,
                        None => return Ended::Silent,
                    }
                }
            }
        }
    }
}
