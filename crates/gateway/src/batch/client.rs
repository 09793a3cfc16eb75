//! The submitter's side: submits the pieces of a stage to the owner of its service.

mod job;
mod loan;
mod submitted;
mod unwilling;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::seq::IteratorRandom;
use registry::{RegistryState, Relay, RequestDigest};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};
use wire::{Hello, Secret};

use crate::batch::link::{Link, Sinks};
use crate::batch::message::{Submission, ToOwner};
use crate::batch::owner::{LOCAL_ORIGIN, Owner, OwnerEvent};
use crate::budget::Spender;
use crate::dialect::{Dialect, Handle, PieceFailure, PieceInput};
use crate::section::Section;
use crate::shared::Shared;

use self::job::{JobEnd, LocalJob, Progress, RemoteJob, job_message};
use self::submitted::{Heard, Holder, Owners, Submitted, unavailable};
use self::unwilling::UnwillingLenders;

/// How long an owner that failed to answer is skipped.
const SUSPECT_PERIOD: Duration = Duration::from_millis(1_500);

/// The wait from which the upstreams of a section count as short of space for results.
const SPACE_SHORTAGE_WAIT: Duration = Duration::from_millis(60);

/// The number of owners that a job is submitted to at most.
const MAX_OWNERS: usize = 3;

/// How often an entry without a registry member asks another entry for the registry's lists.
const ASK_INTERVAL: Duration = Duration::from_millis(200);

/// How long an entry that was asked for its lists may take to answer: a large list on a slow link.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// The pieces of one stage of one request.
pub(crate) struct JobSpec {
    pub(crate) service: Arc<str>,
    /// The digest of the request.
    pub(crate) digest: RequestDigest,
    pub(crate) attempt: Arc<str>,
    pub(crate) stage: u32,
    pub(crate) pieces: u32,
    pub(crate) input: PieceInput,
    pub(crate) result_bytes: u64,
    pub(crate) domain: Option<Arc<str>>,
    pub(crate) transfer_bytes: u64,
    pub(crate) rank: u8,
    /// Whether the pieces were sent for the same request before.
    pub(crate) again: bool,
    pub(crate) due: Instant,
    pub(crate) deadline: Instant,
}

/// The time that a job spent in each phase, as its owner measured it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StageTimes {
    /// How long the pieces that completed last waited at the owner.
    pub(crate) wait: Duration,
    /// How long the call of these pieces took.
    pub(crate) call: Duration,
}

/// The results of a job, in the order of its pieces.
pub(crate) struct JobResults {
    pub(crate) handles: Vec<Handle>,
    /// When the first result arrived.
    pub(crate) first: Instant,
    pub(crate) times: StageTimes,
}

/// Submits jobs of all services to their owners.
pub(crate) struct BatchClient<D> {
    shared: Arc<Shared<D>>,
    owner: Owner,
    secret: Secret,
    hello: Hello,
    own_address: SocketAddr,
    next_id: AtomicU64,
    /// The entries that do not lend now.
    unwilling: UnwillingLenders,
    links: Mutex<HashMap<SocketAddr, Arc<Link>>>,
    suspects: Mutex<HashMap<SocketAddr, Instant>>,
    relays: mpsc::Sender<Relay>,
    relayed: Arc<Notify>,
}

impl<D: Dialect> BatchClient<D> {
    pub(crate) fn new(
        shared: Arc<Shared<D>>,
        owner: Owner,
        secret: Secret,
        hello: Hello,
        own_address: SocketAddr,
        relays: mpsc::Sender<Relay>,
    ) -> Self {
        Self {
            shared,
            owner,
            secret,
            hello,
            own_address,
            next_id: AtomicU64::new(0),
            unwilling: UnwillingLenders::default(),
            links: Mutex::default(),
            suspects: Mutex::default(),
            relays,
            relayed: Arc::default(),
        }
    }

    /// Runs all pieces of a stage and returns their results in order.
    ///
    /// # Errors
    /// Returns the first failure of a piece, or [`PieceFailure::Failed`] if no owner completed the
    /// job.
    pub(crate) async fn run(&self, spec: &JobSpec) -> Result<JobResults, PieceFailure> {
        let left = (0..spec.pieces).collect();
        let mut progress = Progress {
            client: self,
            input: &spec.input,
            done: BTreeMap::new(),
            left,
            first: None,
            times: StageTimes::default(),
        };
        if !spec.again {
            let now = Instant::now();
            self.shared.budget.record(&spec.service, Spender::Submitter, spec.pieces, now);
        }
        let mut owners = Owners { resubmitted: spec.again, ..Owners::default() };
        let mut jobs = FuturesUnordered::new();
        let mut wanted = true;
        loop {
            if wanted && let Some(job) = self.submit(spec, &mut owners, &progress).await {
                jobs.push(job.next(spec.deadline));
            }
            let Some((mut job, heard)) = jobs.next().await else {
                return Err(PieceFailure::Failed);
            };
            let silent = matches!(heard, Heard::Silent);
            let end = match heard {
                Heard::Answer(answer) => progress.handle_answer(answer),
                Heard::Silent => None,
                Heard::Ended(end) => Some(end),
            };
            if matches!(end, Some(JobEnd::Unreachable)) {
                owners.permit = job.take_permit();
            } else {
                job.record_sent();
            }
            wanted = match &end {
                None => silent,
                Some(JobEnd::Done) => {
                    let done = std::mem::take(&mut progress.done);
                    let first = progress.first.unwrap_or_else(Instant::now);
                    let handles = done.into_values().collect();
                    return Ok(JobResults { handles, first, times: progress.times });
                }
                // Another owner that has the job may still complete it.
                Some(JobEnd::Failed(failure)) if jobs.is_empty() => return Err(*failure),
                Some(JobEnd::Failed(_)) => false,
                Some(JobEnd::Silent | JobEnd::Unreachable | JobEnd::Refused) => true,
            };
            if let Some(cause) = unavailable(silent, end.as_ref()) {
                self.suspect(job.address, &spec.service, cause);
            }
            owners.record(silent, end.as_ref());
            match end {
                None => jobs.push(job.next(spec.deadline)),
                Some(_) => owners.holders.retain(|it| *it != job.address),
            }
        }
    }

    /// Submits the outstanding pieces to the next owner, if there is one and they may be sent again.
    async fn submit(
        &self,
        spec: &JobSpec,
        owners: &mut Owners,
        progress: &Progress<'_, D>,
    ) -> Option<Submitted> {
        if owners.count >= MAX_OWNERS {
            return None;
        }
        let last = owners.count + 1 == MAX_OWNERS;
        let section = self.shared.section(&spec.service, spec.domain.as_deref(), spec.rank);
        let address = self.owner_of(&section, last)?;
        if owners.holders.contains(&address) {
            return None;
        }
        let count = progress.left.len() as u32;
        if owners.resubmitted && owners.permit.is_none() {
            let permit = self.take_retries(&spec.service, Spender::Submitter, count).await;
            owners.permit = Some(permit?);
        }
        owners.holders.push(address);
        let id = self.next_number();
        let job = job_message(id, spec, owners.resubmitted, &progress.left);
        let domain = section.domain.as_ref().map(ToString::to_string);
        let message = ToOwner::SubmitWithDigest(Submission { domain, digest: spec.digest, job });
        let (replies, answers) = mpsc::unbounded_channel();
        let holder = if address == self.own_address {
            self.owner.send(OwnerEvent::Message(LOCAL_ORIGIN, message, replies));
            Holder::Local(LocalJob { owner: self.owner.clone(), id })
        } else {
            let link = self.link(address);
            // Without it, the answers end at once.
            if link.register(id, replies) {
                link.send(message);
            }
            Holder::Remote(RemoteJob { link, id })
        };
        Some(Submitted::new(address, holder, answers, owners.permit.take()))
    }

    /// Releases results: the owners of their sections tell the upstreams that store them.
    pub(crate) fn free(&self, handles: &[Handle]) {
        if handles.is_empty() {
            return;
        }
        let directory = self.shared.directory();
        let mut by_section: HashMap<Section, Vec<String>> = HashMap::new();
        for handle in handles {
            let holder = D::holder(handle).and_then(|it| directory.holder(it));
            if let Some(holder) = holder {
                let list = by_section.entry(directory.section_of(holder)).or_default();
                list.push(handle.to_string());
            }
        }
        for (section, handles) in by_section {
            let message = ToOwner::Free(handles);
            match self.owner_of(&section, false) {
                Some(address) if address != self.own_address => self.link(address).send(message),
                _ => {
                    let (replies, _) = mpsc::unbounded_channel();
                    self.owner.send(OwnerEvent::Message(LOCAL_ORIGIN, message, replies));
                }
            }
        }
    }

    /// Releases inputs that were fetched while the request still runs, if pieces wait for the
    /// upstreams that store them. Space for results is what limits these upstreams: results that
    /// stay for the duration of another call leave the next calls half full. Without a backlog the
    /// results stay until their request is done, in case stages that use them must run again.
    /// Returns the released ones.
    pub(crate) fn free_early(&self, handles: &[Handle]) -> Vec<Handle> {
        let directory = self.shared.directory();
        let short_of_space = |it: &&Handle| {
            let holder = D::holder(it).and_then(|it| directory.holder(it));
            let section = holder.map(|it| directory.section_of(it));
            let wait = section.map(|it| self.shared.backlogs.wait(&it, u8::MAX));
            wait.is_some_and(|it| it >= SPACE_SHORTAGE_WAIT)
        };
        let released: Vec<Handle> = handles.iter().filter(short_of_space).cloned().collect();
        self.free(&released);
        released
    }

    /// Returns how long a piece of `rank` waits at the owner of a service if it can be in time, or
    /// zero without a recent report.
    pub(crate) fn timely_wait(&self, service: &Arc<str>, rank: u8) -> Duration {
        let section = self.shared.section(service, None, rank);
        self.shared.backlogs.timely_wait(&section, rank)
    }

    /// Returns the failure domain that stores most of the results.
    pub(crate) fn domain_of(&self, handles: &[Handle]) -> Option<Arc<str>> {
        let directory = self.shared.directory();
        let mut counts: HashMap<Arc<str>, usize> = HashMap::new();
        for handle in handles {
            if let Some(holder) = D::holder(handle).and_then(|it| directory.holder(it)) {
                *counts.entry(Arc::clone(&holder.domain)).or_default() += 1;
            }
        }
        counts.into_iter().max_by_key(|it| it.1).map(|it| it.0)
    }

    /// Returns the owner of a section from this entry's view: one of the entries with the most
    /// processor time and link, in the section's failure domain if there is one, because it is
    /// close to the upstreams and to most submitters. An entry that the others count as gone does
    /// not choose itself: they have chosen another owner, and two owners would send calls to the
    /// same upstreams without knowing of each other. It does so only if `alone` is set, when no
    /// other owner answers.
    fn owner_of(&self, section: &Section, alone: bool) -> Option<SocketAddr> {
        let now = Instant::now();
        let mut suspects = self.suspects.lock().unwrap_or_else(PoisonError::into_inner);
        suspects.retain(|_, until| now < *until);
        let peers = self.shared.peers();
        let others = peers.iter().filter(|it| !suspects.contains_key(&it.address));
        let counts = alone || self.shared.is_listed();
        let own = self.shared.own_entry();
        let free = others.chain(counts.then_some(&*own));
        let first = self.shared.directory().candidates().first(section, free);
        first.or(Some(self.own_address))
    }

    /// Asks other entries for newer lists of the registry while this one is connected to no registry
    /// member, one entry at a time: several that sent the same large list at once would fill this
    /// entry's link, and no connection to a member could be opened. Runs for as long as the process
    /// does.
    pub(crate) async fn ask_for_lists(
        self: Arc<Self>,
        registry_state: watch::Receiver<RegistryState>,
    ) {
        let mut ticks = interval(ASK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let held = match &*registry_state.borrow() {
                it if it.members > 0 => continue,
                it => it.list_stamps(),
            };
            let peer = self.shared.peers().iter().map(|it| it.address).choose(&mut rand::rng());
            let Some(peer) = peer else { continue };
            self.link(peer).send(ToOwner::AskLists(held));
            // An entry that doesn't answer may be connected to no member either, or be gone.
            let _ = timeout(ANSWER_TIMEOUT, self.relayed.notified()).await;
        }
    }

    fn suspect(&self, address: SocketAddr, service: &str, cause: &str) {
        log::warn!(peer:% = address, service, cause;
            "the owner of a service is unavailable; choosing another one");
        let mut suspects = self.suspects.lock().unwrap_or_else(PoisonError::into_inner);
        suspects.insert(address, Instant::now() + SUSPECT_PERIOD);
    }

    fn link(&self, address: SocketAddr) -> Arc<Link> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.retain(|_, it| !it.is_ended());
        let open = || {
            let backlogs = Arc::clone(&self.shared.backlogs);
            let relayed = Arc::clone(&self.relayed);
            let sinks = Sinks { backlogs, relays: self.relays.clone(), relayed };
            Link::open(address, self.secret.clone(), self.hello.clone(), sinks)
        };
        Arc::clone(links.entry(address).or_insert_with(open))
    }
}
