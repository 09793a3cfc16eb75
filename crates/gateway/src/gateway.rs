//! A running entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use registry::{EntrySeen, Follower, FollowerConfig};
use tokio::time::{Instant, sleep};
use types::{StepResult, VmName};
use wire::{Hello, Kind, Listener, Secret};

use crate::batch::{BatchClient, Owner, OwnerConfig, accept};
use crate::budget::{Budget, BudgetSpec};
use crate::dialect::Dialect;
use crate::drain::Phase;
use crate::front;
use crate::metrics::Metrics;
use crate::section::LinkRate;
use crate::shared::Shared;
use crate::stream::Streams;
use crate::suspects::Suspects;

/// How long an entry that ends stays for the balancer to take it out: it asks once a second, and
/// two misses count.
const LEAVE: Duration = Duration::from_millis(3_400);

/// How long an entry that ends takes new requests. Where most of a failure domain's entries end at
/// once, the balancer goes on sending; what comes later than this might not end in time, and is
/// refused while it is certain that it did not run.
const TAKE: Duration = Duration::from_millis(2_900);

/// How long it must have had nothing to do before it ends.
const QUIET: Duration = Duration::from_millis(700);

/// How much earlier than it would be killed it ends by itself.
const MARGIN: Duration = Duration::from_millis(350);

/// How long before its end it answers what has no answer yet; some ms, and a busy processor.
const CLOSE: Duration = Duration::from_millis(400);

/// How often it looks whether it may end.
const PERIOD: Duration = Duration::from_millis(50);

/// What an entry needs.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// Its VM.
    pub vm: VmName,
    /// Its failure domain.
    pub domain: String,
    /// Where callers reach it.
    pub front: SocketAddr,
    /// Where the balancer asks whether it is ready.
    pub ready: SocketAddr,
    /// Where other entries reach it.
    pub address: SocketAddr,
    /// Where members of the registry were, when the settings were written.
    pub seeds: Vec<SocketAddr>,
    /// The rate of its VM's link; the VMs of all entries are taken to be alike.
    pub link: LinkRate,
    /// The retry budget of the deployment.
    pub budget: BudgetSpec,
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
    /// Where an address can't be bound.
    pub async fn spawn(
        config: GatewayConfig,
        secret: Secret,
        metrics: &prometheus::Registry,
    ) -> StepResult<Self> {
        let budget = Budget::new(config.budget, Instant::now());
        let metrics = Metrics::open(metrics)?;
        let domain: Arc<str> = config.domain.as_str().into();
        let entry = EntrySeen {
            name: config.vm.to_string(),
            address: config.address,
            domain: config.domain.clone(),
        };
        let me = Hello { kind: Kind::Entry, vm: config.vm.clone(), node: rand::random() };
        let listener = Listener::bind(config.address, &secret, me.clone()).await?;
        let callers = front::bind(config.front).await?;
        let balancer = front::bind(config.ready).await?;
        let seeds = config.seeds.clone();
        let follower = FollowerConfig { entry, vm: config.vm, seeds };
        let follower = Follower::spawn(follower, secret.clone());
        let suspects = Suspects::new(follower.quarantine(), follower.evidence(), config.address);
        let shared =
            Shared::<D>::new(config.address, domain, config.link, (budget, metrics), suspects);
        let shared = Arc::new(shared);
        let owner = Owner::spawn(OwnerConfig { shared: Arc::clone(&shared) });
        tokio::spawn(accept(listener, owner.clone(), follower.news()));
        let (relays, own) = (follower.relays(), config.address);
        let batches = BatchClient::new(Arc::clone(&shared), owner, secret, me, own, relays);
        let batches = Arc::new(batches);
        tokio::spawn(Arc::clone(&batches).subscribe_news(follower.news()));
        let streams = Arc::new(Streams { shared: Arc::clone(&shared), batches });
        tokio::spawn(Arc::clone(&shared).follow(follower.news()));
        let loads = Arc::clone(&shared).share_loads(follower.reports(), follower.digest());
        tokio::spawn(loads);
        tokio::spawn(front::serve(callers, Arc::clone(&shared), streams));
        tokio::spawn(front::serve_ready(balancer, Arc::clone(&shared)));
        Ok(Self { shared, follower })
    }

    /// Replaces the seed addresses, after the settings changed.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.follower.set_seeds(seeds);
    }

    /// Ends without cutting a request: not ready first, then answers say that the connection
    /// closes, and at last, when nothing is left or `grace` is almost over, returns.
    pub async fn drain(&self, grace: Duration) {
        let start = Instant::now();
        self.shared.drain.enter_phase(Phase::Leaving);
        self.follower.leave();
        let last = start + grace.saturating_sub(MARGIN);
        let mut busy = start;
        loop {
            sleep(PERIOD).await;
            let now = Instant::now();
            if now.duration_since(start) >= TAKE {
                self.shared.drain.enter_phase(Phase::Refusing);
            }
            if now + CLOSE >= last {
                self.shared.drain.enter_phase(Phase::Closing);
            }
            if self.shared.drain.requests() > 0 {
                busy = now;
            }
            let quiet = now.duration_since(busy) >= QUIET;
            if now >= last || (quiet && now.duration_since(start) >= LEAVE) {
                log::info!(requests = self.shared.drain.requests(),
                    ms = start.elapsed().as_millis() as u64; "drained");
                return;
            }
        }
    }
}
