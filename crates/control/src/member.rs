//! The state that all parts of a running member share.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::{ArcSwap, ArcSwapOption};
use fleet::Fleet;
use settings::NodeSettings;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use types::{NodeId, Service, SiteName, Version, VmName};
use uuid::Uuid;

use crate::announcements::PeerAnnouncements;
use crate::handle::CoreHandle;
use crate::identity::Identity;
use crate::leader_client::LeaderClient;
use crate::metrics::Metrics;
use crate::peers::{NoReply, Peers};
use crate::protocol::{Announce, ClusterId, EntryStatus};
use crate::sessions::Sessions;
use crate::usage_store::UsageStore;
use crate::view::Published;

/// How long a member's promise not to start a cluster lasts.
const RESERVATION_DURATION: Duration = Duration::from_secs(10);

/// The delay before a member that is not connected yet is asked again.
const RESERVE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long another member may take to reply with this promise.
const RESERVE_TIMEOUT: Duration = Duration::from_secs(2);

/// A running member.
pub(crate) struct Member {
    pub(crate) settings: NodeSettings,
    pub(crate) node: NodeId,
    pub(crate) identity: Arc<ArcSwapOption<Identity>>,
    pub(crate) core: CoreHandle,
    pub(crate) peers: Arc<Peers>,
    pub(crate) announcements: Arc<PeerAnnouncements>,
    pub(crate) leader_client: LeaderClient,
    pub(crate) sessions: Arc<Sessions>,
    pub(crate) usage_store: UsageStore,
    pub(crate) fleet: Fleet,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) services: Services,
    pub(crate) init_guard: InitGuard,
    pub(crate) is_draining: AtomicBool,
    /// The reason why the core loop ended, once it has.
    pub(crate) stopped: watch::Receiver<Option<String>>,
    /// Cancelled to end the accepted connections.
    pub(crate) shutdown: CancellationToken,
    /// The reason why the latest membership change failed, until one succeeds.
    pub(crate) step_failure: ArcSwapOption<String>,
}

impl Member {
    /// Returns this member's VM.
    pub(crate) fn vm(&self) -> &VmName {
        &self.settings.vm
    }

    /// Creates the member's announcement; includes its entries if `with_entries` is set.
    pub(crate) fn announce(&self, with_entries: bool) -> Announce {
        let full = announce(&self.settings.vm, self.node, &self.identity, &self.sessions);
        Announce { entries: full.entries.filter(|_| with_entries), ..full }
    }

    /// Returns every entry that has a session with any member.
    pub(crate) fn entries(&self) -> Vec<EntryStatus> {
        let mut entries = self.sessions.entries();
        entries.extend(self.announcements.entries());
        entries
    }

    /// Returns whether this member leads and may act as leader.
    pub(crate) fn leads(&self) -> bool {
        let view = self.core.view();
        view.leads() && view.term_committed
    }

    /// Starts a cluster, at most once. Returns the members that could not be asked for their
    /// promise.
    ///
    /// # Errors
    /// Returns an error if a cluster exists, if another member is starting one, or if too few
    /// members reply.
    pub(crate) async fn init(&self) -> Result<Vec<VmName>, String> {
        if self.identity.load().is_some() {
            return Err("a cluster exists: this member belongs to it".to_owned());
        }
        if self.settings.members.iter().any(|it| it.vm == *self.vm() && it.spare) {
            return Err("this member is a spare; run init at another".to_owned());
        }
        self.init_guard.begin()?;
        let result = self.reserve_and_start().await;
        self.init_guard.end();
        result
    }

    /// Starts a cluster if a majority of the configured members promise not to start one.
    ///
    /// With fewer promises, a cluster could already exist among the members that did not reply, or
    /// be started there at the same time, and operators would see two different services. Any two
    /// majorities share a member, whose promise is meant for only one of them.
    async fn reserve_and_start(&self) -> Result<Vec<VmName>, String> {
        let deadline = tokio::time::Instant::now() + RESERVE_TIMEOUT;
        let requests = self.peers.connected().into_iter().map(|(vm, _)| async move {
            let reply = self.request_reservation(&vm, deadline).await;
            (vm, reply)
        });
        let mut unheard = Vec::new();
        for (vm, reply) in futures_util::future::join_all(requests).await {
            match reply {
                Some(Ok(())) => {}
                Some(Err(reason)) => return Err(format!("{vm}: {reason}")),
                None => unheard.push(vm),
            }
        }
        let members = self.settings.members.iter().filter(|it| !it.spare);
        let replied = members.clone().filter(|it| !unheard.contains(&it.vm)).count();
        if replied * 2 <= members.count() {
            let names: Vec<&str> = unheard.iter().map(VmName::as_str).collect();
            let names = names.join(", ");
            return Err(format!("a majority of the members must be heard; start or mend {names}"));
        }
        self.core.init_cluster(ClusterId(Uuid::new_v4())).await?;
        Ok(unheard)
    }

    /// Asks one member until it replies. Returns `None` if it does not.
    async fn request_reservation(
        &self,
        vm: &VmName,
        deadline: tokio::time::Instant,
    ) -> Option<Result<(), String>> {
        loop {
            match self.peers.reserve(vm, deadline).await {
                Ok(reply) => return Some(reply),
                Err(NoReply::Lost) => return None,
                Err(NoReply::NotSent) if tokio::time::Instant::now() >= deadline => return None,
                Err(NoReply::NotSent) => tokio::time::sleep(RESERVE_RETRY_DELAY).await,
            }
        }
    }

    /// Handles the request of another member that is about to start a cluster.
    pub(crate) fn reserve(&self) -> Result<(), String> {
        if let Some(identity) = self.identity.load().as_ref() {
            return Err(format!("it belongs to cluster {}", identity.cluster));
        }
        self.init_guard.reserve()
    }
}

/// Creates a member's announcement.
pub(crate) fn announce(
    vm: &VmName,
    node: NodeId,
    identity: &ArcSwapOption<Identity>,
    sessions: &Sessions,
) -> Announce {
    let cluster = identity.load().as_ref().map(|it| it.cluster);
    let view = sessions.leader_client.core.view();
    let leader = view.leader.and_then(|it| view.vm(it));
    let entries = Some(sessions.entries());
    Announce { vm: vm.clone(), node, cluster, term: view.term, leader, entries }
}

/// Prevents two members from each starting a cluster at the same time. A member that is starting
/// one refuses to promise not to, and a member that has given a promise refuses to start one.
#[derive(Default)]
pub(crate) struct InitGuard {
    in_progress: AtomicBool,
    reserved: Mutex<Option<Instant>>,
}

impl InitGuard {
    fn is_reserved(&self) -> bool {
        let reserved = self.reserved.lock().unwrap_or_else(PoisonError::into_inner);
        reserved.is_some_and(|it| it.elapsed() < RESERVATION_DURATION)
    }

    fn begin(&self) -> Result<(), String> {
        if self.in_progress.swap(true, Ordering::SeqCst) {
            return Err("init is under way".to_owned());
        }
        if self.is_reserved() {
            self.end();
            return Err("another member starts a cluster; ask again in 10 s".to_owned());
        }
        Ok(())
    }

    fn end(&self) {
        self.in_progress.store(false, Ordering::SeqCst);
    }

    fn reserve(&self) -> Result<(), String> {
        // The reservation is stored before `in_progress` is read, so that of two members that begin
        // at the same time at most one misses the other's attempt.
        *self.reserved.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
        if self.in_progress.load(Ordering::SeqCst) {
            return Err("it starts a cluster itself; ask again in 10 s".to_owned());
        }
        Ok(())
    }

    /// Returns whether this member is starting a cluster.
    pub(crate) fn is_initializing(&self) -> bool {
        self.in_progress.load(Ordering::SeqCst)
    }
}

fn resolve(published: &Published, site: &SiteName) -> Option<Arc<Service>> {
    match settings::resolve(&published.document, site) {
        Ok(mut service) => {
            service.version = published.version;
            Some(Arc::new(service))
        }
        // The document was checked before it was proposed, possibly by another release.
        Err(e) => {
            log::error!(site:% = site; "the service cannot be resolved for this site: {e}");
            None
        }
    }
}

/// The service in force as each site sees it, resolved once per version.
#[derive(Default)]
pub(crate) struct Services {
    current: ArcSwap<BTreeMap<SiteName, Arc<Service>>>,
}

impl Services {
    /// Resolves a version for all sites in it, including the member's own site.
    pub(crate) fn resolve(&self, published: &Published, own: &SiteName) {
        if published.version == Version(0) {
            return;
        }
        let mut services = BTreeMap::new();
        let own_service = resolve(published, own);
        let sites = own_service.iter().flat_map(|it| it.sites.keys().cloned()).collect::<Vec<_>>();
        for site in sites {
            if let Some(service) = resolve(published, &site) {
                services.insert(site, service);
            }
        }
        if let Some(service) = own_service {
            services.insert(own.clone(), service);
        }
        self.current.store(Arc::new(services));
    }

    /// Returns the service as one site sees it.
    pub(crate) fn get(&self, site: &SiteName) -> Option<Arc<Service>> {
        self.current.load().get(site).cloned()
    }

    /// Returns the service of every site.
    pub(crate) fn all(&self) -> Arc<BTreeMap<SiteName, Arc<Service>>> {
        self.current.load_full()
    }
}
