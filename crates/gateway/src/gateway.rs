//! A running entry: starts its tasks and drains it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use registry::{Capacity, EntryInfo, Follower, FollowerConfig};
use tokio::time::{Instant, sleep};
use types::{StepResult, VmName};
use wire::{Hello, Kind, Listener, Secret};

use crate::batch::{BatchClient, Owner, OwnerConfig, accept};
use crate::budget::{Budget, BudgetSpec, Start};
use crate::cold::ColdTolerance;
use crate::dialect::Dialect;
use crate::drain::Phase;
use crate::front;
use crate::metrics::Metrics;
use crate::origin::Origins;
use crate::partition::Partition;
use crate::path::Paths;
use crate::path::relay::RelayClient;
use crate::quarantine::Quarantine;
use crate::shared::Shared;
use crate::stream::{FetchTimes, Streams};

/// How long a draining entry stays up for the balancer to remove it: the balancer checks once a
/// second and removes an entry after two failed checks.
const BALANCER_REMOVAL_TIME: Duration = Duration::from_millis(3_400);

/// How long a draining entry accepts new requests. If most entries of a failure domain drain at
/// once, the balancer keeps sending to them. Requests that come later than this might not end in
/// time, so they are refused while it is certain that they did not run.
const ACCEPT_TIME: Duration = Duration::from_millis(2_900);

/// How long the entry must have had no request in flight, and no answer to write, before it ends.
const QUIET_TIME: Duration = Duration::from_millis(700);

/// How much earlier than it would be killed the entry ends by itself.
const KILL_MARGIN: Duration = Duration::from_millis(350);

/// How long before its end the entry answers requests that have no answer yet. This takes some
/// milliseconds, and longer on a busy processor.
const FINAL_ANSWERS_TIME: Duration = Duration::from_millis(400);

/// The interval at which a draining entry checks whether it may end.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The configuration of an entry.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// The VM that it runs on.
    pub vm: VmName,
    /// Its failure domain.
    pub domain: String,
    /// The address for callers.
    pub front: SocketAddr,
    /// The address for the balancer's readiness checks.
    pub ready: SocketAddr,
    /// The address for other entries.
    pub address: SocketAddr,
    /// The addresses of registry members when the settings were written.
    pub seeds: Vec<SocketAddr>,
    /// The capacity of the VM.
    pub capacity: Capacity,
    /// The retry budget of the deployment.
    pub budget: BudgetSpec,
    /// Whether the entry may have run before.
    pub start: Start,
    /// How far the limit of cold upstreams may be exceeded.
    pub cold: ColdTolerance,
    /// The artificial partition from upstreams, for tests.
    pub partition: Partition,
}

/// A running entry.
pub struct Gateway<D> {
    shared: Arc<Shared<D>>,
    follower: Follower,
}

impl<D: Dialect> Gateway<D> {
    /// Starts an entry.
    ///
    /// # Errors
    /// Returns an error if an address can't be bound or a metric can't be registered.
    pub async fn spawn(
        config: GatewayConfig,
        secret: Secret,
        metrics: &prometheus::Registry,
    ) -> StepResult<Self> {
        let budget = Budget::new(config.budget, config.address, config.start, Instant::now());
        let metrics = Metrics::open(metrics)?;
        let entry = EntryInfo {
            name: config.vm.to_string(),
            address: config.address,
            domain: config.domain,
            capacity: config.capacity,
        };
        let hello = Hello { kind: Kind::Entry, vm: config.vm.clone(), node: rand::random() };
        let listener = Listener::bind(config.address, &secret, hello.clone()).await?;
        let (origins, _) = Origins::open(config.address, &secret).await?;
        let callers = front::bind(config.front).await?;
        let balancer = front::bind(config.ready).await?;
        let seeds = config.seeds.clone();
        let follower = FollowerConfig { entry: entry.clone(), vm: config.vm, seeds };
        let follower = Follower::spawn(follower, secret.clone());
        let quarantine =
            Quarantine::new(follower.quarantine(), follower.evidence(), config.address);
        let relays = RelayClient::new(secret.clone(), hello.clone());
        let paths = Arc::new(Paths::new(config.partition, relays));
        let shared = Shared::<D>::new((entry, paths), config.cold, (budget, metrics), quarantine);
        let shared = Arc::new(shared);
        let owner = Owner::spawn(OwnerConfig {
            shared: Arc::clone(&shared),
            identity: (secret.clone(), hello.clone()),
        });
        tokio::spawn(accept(listener, Arc::clone(&shared), owner.clone(), follower.state()));
        let (relays, own) = (follower.relays(), config.address);
        let batches = BatchClient::new(Arc::clone(&shared), owner, secret, hello, own, relays);
        let batches = Arc::new(batches);
        tokio::spawn(Arc::clone(&batches).ask_for_lists(follower.state()));
        let streams = Arc::new(Streams {
            shared: Arc::clone(&shared),
            batches,
            origins,
            fetch_times: FetchTimes::default(),
        });
        tokio::spawn(Arc::clone(&shared).follow_registry(follower.state()));
        let loads = Arc::clone(&shared).exchange_loads(follower.reports(), follower.total_loads());
        tokio::spawn(loads);
        let outcomes =
            Arc::clone(&shared).exchange_outcomes(follower.outcomes(), follower.total_outcomes());
        tokio::spawn(outcomes);
        tokio::spawn(Arc::clone(&shared).watch_paths());
        tokio::spawn(Arc::clone(&shared).watch_crowd());
        tokio::spawn(front::serve(callers, Arc::clone(&shared), streams));
        tokio::spawn(front::serve_ready(balancer, Arc::clone(&shared)));
        Ok(Self { shared, follower })
    }

    /// Replaces the seed addresses after the settings have changed.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.follower.set_seeds(seeds);
    }

    /// Drains the entry without cutting off a request. It first reports that it is not ready, then
    /// announces in answers that their connection closes. Returns when no request is left and all
    /// answers are written, or `grace` is almost over.
    pub async fn drain(&self, grace: Duration) {
        let start = Instant::now();
        self.shared.drain.enter_phase(Phase::Leaving);
        self.follower.leave();
        let end = start + grace.saturating_sub(KILL_MARGIN);
        let mut last_busy = start;
        loop {
            sleep(DRAIN_CHECK_INTERVAL).await;
            let now = Instant::now();
            if now.duration_since(start) >= ACCEPT_TIME {
                self.shared.drain.enter_phase(Phase::Refusing);
            }
            if now + FINAL_ANSWERS_TIME >= end {
                self.shared.drain.enter_phase(Phase::Closing);
            }
            if !self.shared.drain.is_idle() {
                last_busy = now;
            }
            let quiet = now.duration_since(last_busy) >= QUIET_TIME;
            if now >= end || (quiet && now.duration_since(start) >= BALANCER_REMOVAL_TIME) {
                log::info!(requests = self.shared.drain.in_flight(),
                    unwritten = self.shared.drain.unwritten(), ms = start.elapsed().as_millis() as u64; "drained the entry");
                return;
            }
        }
    }
}
