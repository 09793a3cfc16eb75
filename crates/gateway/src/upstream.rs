//! One incarnation of an upstream: its connections, its load from this entry, and its health.

mod connections;
mod counters;
mod fleet;
mod lending;
mod room;
mod running;
mod told;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use tokio::sync::{Notify, Semaphore};
use tokio::time::Instant;
use types::SoftwareVersion;

use crate::dialect::AnswerHead;
use crate::echo::{Answers, CallKind, EchoHabit};
use crate::exchange::Evidence;
use crate::health::{Tally, Trials};
use crate::incarnation::{Incarnation, LatestIncarnation, StartTime};
use crate::path::Paths;
use crate::place::score;
use crate::quota::EntryList;
use crate::response_limit::Excess;

pub(crate) use self::connections::{ConnectError, ConnectionShare, Lease, Reuse, configure};
pub(crate) use self::counters::{AnswerCounters, Taken};
pub use self::room::Need;
pub(crate) use self::running::{InUse, RunningRequest};
pub use self::told::{Told, paced_load};

use self::connections::Idle;
use self::lending::Lending;
use self::room::Gates;

/// The base of the backoff of an ejected upstream. The backoff is this times 2^n, where n is the
/// number of failures in a row that count, up to 4.
const BACKOFF_BASE: Duration = Duration::from_millis(400);

/// The longest backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// How many failures in a row do not count for an upstream that accepts connections. The next one
/// ejects it.
const TOLERATED_FAILURES: u32 = 3;

/// One incarnation of an upstream.
#[derive(Debug)]
pub struct Upstream {
    /// The id of this incarnation.
    pub id: Arc<str>,
    /// The hash of the id, the same at every entry; ranks upstreams for a prompt.
    pub id_hash: u64,
    /// The service of the upstream.
    pub service: Arc<str>,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// How many requests it runs at once.
    pub slots: u32,
    /// The version of its software.
    pub version: SoftwareVersion,
    latest: LatestIncarnation,
    /// When something arrived from it last, in ms since it was listed.
    heard_ms: AtomicU64,
    listed_at: Instant,
    /// When it began to run requests of this entry without a break, in ms since it was listed.
    busy_ms: AtomicU64,
    draining: AtomicBool,
    /// Whether an answer of this incarnation has said that it leaves. A list that calls it ready may be
    /// older than the answer.
    leaving: AtomicBool,
    /// Whether its failure domain is evacuated.
    evacuated: AtomicBool,
    running: AtomicU32,
    tokens: AtomicU64,
    peer_load: PeerLoad,
    /// The upstreams that run requests of this entry.
    in_use: Arc<InUse>,
    health: Mutex<Health>,
    /// The outcomes that this entry has not reported yet.
    tally: Arc<Tally>,
    /// How often it is tried while it is passed over.
    trials: ArcSwapOption<Trials>,
    idle: Mutex<Vec<Idle>>,
    /// Notified when a connection becomes idle.
    idle_added: Notify,
    permits: Arc<Semaphore>,
    connection_limit: AtomicU32,
    keeps_idle: AtomicBool,
    lending: Lending,
    gates: Gates,
    told: Mutex<Told>,
    echo_habit: EchoHabit,
    /// The entries that share what a limit allows.
    entries: Arc<ArcSwap<EntryList>>,
    paths: Arc<Paths>,
    counters: AnswerCounters,
}

/// The requests that other entries have in flight, as last reported.
#[derive(Debug, Default)]
struct PeerLoad {
    running: AtomicU32,
    tokens: AtomicU64,
}

#[derive(Debug, Default)]
struct Health {
    failures: u32,
    ejected_until: Option<Instant>,
}

impl Upstream {
    /// Creates an upstream from its listing, with at most `connections` connections from this
    /// entry.
    pub fn new(listed: &registry::Upstream, connections: u32) -> Self {
        let connection_limit = connections.max(1);
        Self {
            id: listed.id.as_str().into(),
            id_hash: score(0, &listed.id),
            service: listed.service.as_str().into(),
            address: listed.address,
            domain: listed.domain.as_str().into(),
            slots: listed.slots,
            version: listed.version.clone(),
            latest: LatestIncarnation::default(),
            heard_ms: AtomicU64::new(0),
            listed_at: Instant::now(),
            busy_ms: AtomicU64::new(0),
            draining: AtomicBool::new(listed.health == registry::Health::Draining),
            leaving: AtomicBool::new(false),
            evacuated: AtomicBool::new(false),
            running: AtomicU32::new(0),
            tokens: AtomicU64::new(0),
            peer_load: PeerLoad::default(),
            in_use: Arc::default(),
            health: Mutex::default(),
            tally: Arc::default(),
            trials: ArcSwapOption::empty(),
            idle: Mutex::default(),
            idle_added: Notify::new(),
            permits: Arc::new(Semaphore::new(connection_limit as usize)),
            connection_limit: AtomicU32::new(connection_limit),
            keeps_idle: AtomicBool::new(true),
            lending: Lending::default(),
            gates: Gates::default(),
            told: Mutex::default(),
            echo_habit: EchoHabit::default(),
            entries: Arc::default(),
            paths: Arc::default(),
            counters: AnswerCounters::default(),
        }
    }

    /// Returns the upstream, which is listed in `in_use` while it runs requests of this entry, and whose
    /// limit this entry shares with the others in `entries`.
    pub(crate) fn with_lists(self, in_use: &Arc<InUse>, entries: &Arc<ArcSwap<EntryList>>) -> Self {
        Self { in_use: Arc::clone(in_use), entries: Arc::clone(entries), ..self }
    }

    /// Returns the upstream, which is reached over these paths.
    pub(crate) fn with_paths(self, paths: &Arc<Paths>) -> Self {
        Self { paths: Arc::clone(paths), ..self }
    }

    /// Returns the upstream, whose answers are counted by `counters`.
    pub(crate) fn with_counters(self, counters: &AnswerCounters) -> Self {
        Self { counters: counters.clone(), ..self }
    }

    /// Counts an answer that could be taken for what it is not.
    pub(crate) fn record_taken(&self, taken: Taken, evidence: &Evidence) {
        self.counters.record_taken(taken, evidence);
    }

    /// Records that a response of the upstream is cut.
    pub(crate) fn record_cut(&self, excess: Excess) {
        self.counters.record_cut(excess);
        log::warn!(upstream:% = self.id, service:% = self.service, cause:% = excess;
            "cut a response that does not end");
    }

    /// Returns the upstream, whose outcomes are counted here.
    pub(crate) fn with_tally(self, tally: &Arc<Tally>) -> Self {
        Self { tally: Arc::clone(tally), ..self }
    }

    /// Sets whether the upstream is draining; a draining one gets no new requests.
    pub fn set_draining(&self, draining: bool) {
        self.draining.store(draining, Ordering::Relaxed);
    }

    /// Records that an answer of the upstream says that it leaves.
    pub(crate) fn record_leaving(&self) {
        if !self.leaving.swap(true, Ordering::Relaxed) {
            log::info!(upstream:% = self.id, service:% = self.service,
                draining = self.draining.load(Ordering::Relaxed); "an upstream says that it leaves");
        }
    }

    /// Sets whether the failure domain of the upstream is evacuated; such an upstream gets no new
    /// requests. Returns whether it was evacuated before.
    pub fn set_evacuated(&self, evacuated: bool) -> bool {
        self.evacuated.swap(evacuated, Ordering::Relaxed)
    }

    /// Returns whether the upstream may get new requests.
    pub fn is_open(&self) -> bool {
        let closed = [&self.draining, &self.leaving, &self.evacuated];
        !closed.iter().any(|it| it.load(Ordering::Relaxed))
    }

    /// Returns whether the upstream may get new requests by the registry's lists alone, which all
    /// entries know.
    pub(crate) fn is_listed_open(&self) -> bool {
        let closed = [&self.draining, &self.evacuated];
        !closed.iter().any(|it| it.load(Ordering::Relaxed))
    }

    /// Returns whether the upstream is ejected because of failures.
    pub fn is_ejected(&self, now: Instant) -> bool {
        let health = self.health.lock().unwrap_or_else(PoisonError::into_inner);
        health.ejected_until.is_some_and(|it| now < it)
    }

    /// Returns the number of this entry's requests that it runs.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// Returns the number of prompt tokens of this entry's requests that have no first event yet.
    pub fn tokens(&self) -> u64 {
        self.tokens.load(Ordering::Relaxed)
    }

    /// Sets the load that other entries have in flight.
    pub(crate) fn set_peer_load(&self, running: u32, tokens: u64) {
        self.peer_load.running.store(running, Ordering::Relaxed);
        self.peer_load.tokens.store(tokens, Ordering::Relaxed);
    }

    /// Returns the number of requests of all entries that it runs.
    pub fn total_running(&self) -> u32 {
        self.running() + self.peer_load.running.load(Ordering::Relaxed)
    }

    /// Returns the number of prompt tokens of all entries' requests that have no first event yet.
    pub fn total_tokens(&self) -> u64 {
        self.tokens() + self.peer_load.tokens.load(Ordering::Relaxed)
    }

    /// Compares the start time in a message from the upstream with the known one. With a newer
    /// incarnation, the failures are forgotten and idle connections to the older one are closed.
    pub fn observe(&self, start_time: Option<StartTime>) -> Incarnation {
        let incarnation = self.latest.observe(start_time);
        if incarnation == Incarnation::Newer {
            log::info!(upstream:% = self.id, born:% = start_time.map_or(0, |it| it.0);
                "an upstream has restarted");
            *self.health.lock().unwrap_or_else(PoisonError::into_inner) = Health::default();
            *self.told.lock().unwrap_or_else(PoisonError::into_inner) = Told::default();
            self.leaving.store(false, Ordering::Relaxed);
            self.close_idle(true);
        }
        incarnation
    }

    /// Forgets failures and idle connections, as those of a path that is cut: they say nothing about the
    /// upstream.
    pub(crate) fn forget_path(&self) {
        *self.health.lock().unwrap_or_else(PoisonError::into_inner) = Health::default();
        self.close_idle(true);
    }

    /// Decides whether an answer of the upstream is that to the call that was sent; `is_first` tells that
    /// nothing was sent on its connection before.
    pub(crate) fn judge_answer(
        &self,
        head: &AnswerHead,
        is_first: bool,
        kind: CallKind,
    ) -> Answers {
        self.echo_habit.judge(head.echo, is_first, head.not_run, kind)
    }

    /// Returns which connection a call may use that may use this one otherwise.
    pub(crate) fn reuse_for(&self, kind: CallKind, otherwise: Reuse) -> Reuse {
        if self.echo_habit.needs_new(kind) { Reuse::New } else { otherwise }
    }

    /// Records that something has arrived from the upstream.
    pub(crate) fn record_heard(&self) {
        self.heard_ms.fetch_max(self.age_ms(), Ordering::Relaxed);
    }

    /// Returns for how long it has been listed.
    fn age_ms(&self) -> u64 {
        self.listed_at.elapsed().as_millis() as u64
    }

    /// Returns whether something has arrived from the upstream since then.
    pub(crate) fn has_been_heard_since(&self, then: Instant) -> bool {
        self.listed_at + Duration::from_millis(self.heard_ms.load(Ordering::Relaxed)) > then
    }

    /// Records a success, which ends an ejection.
    pub(crate) fn record_success(&self) {
        let mut health = self.health.lock().unwrap_or_else(PoisonError::into_inner);
        if health.ejected_until.take().is_some() {
            log::info!(upstream:% = self.id; "an ejected upstream works again");
        }
        health.failures = 0;
    }

    /// Records a failure, and ejects the upstream after too many. `hard` means that it can't be
    /// reached at all, which ejects it at once.
    pub(crate) fn record_failure(&self, hard: bool) {
        let mut health = self.health.lock().unwrap_or_else(PoisonError::into_inner);
        health.failures += 1;
        let counted =
            if hard { health.failures } else { health.failures.saturating_sub(TOLERATED_FAILURES) };
        if counted == 0 {
            return;
        }
        let backoff = (BACKOFF_BASE * (1 << counted.min(4))).min(MAX_BACKOFF);
        if health.ejected_until.is_none() {
            log::warn!(upstream:% = self.id, service:% = self.service, failures = health.failures,
                hard, ms = backoff.as_millis() as u64; "ejected an upstream after failed calls");
        }
        health.ejected_until = Some(Instant::now() + backoff);
    }
}
