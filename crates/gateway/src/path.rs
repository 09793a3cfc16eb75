//! The paths from this entry to upstreams.

pub(crate) mod relay;
pub mod state;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use registry::EntryInfo;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

use crate::partition::{Cut, Partition};
use crate::upstream::ConnectError;

use self::relay::{RelayClient, Relayed};
use self::state::{Path, PathState};

/// How often a debug build looks whether a connection is cut by an artificial partition.
const PARTITION_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The paths to upstreams, and what is known of them.
#[derive(Debug, Default)]
pub(crate) struct Paths {
    services: Mutex<HashMap<Arc<str>, PathState>>,
    /// The number of services to which the path is suspected or cut.
    doubted: AtomicUsize,
    /// The services whose path is suspected, until they are checked.
    suspected: Mutex<Vec<Arc<str>>>,
    suspicion: Notify,
    partition: OnceLock<Partition>,
    relays: OnceLock<RelayClient>,
}

impl Paths {
    /// Creates the paths of an entry with an artificial partition. Without `relays`, as by default,
    /// upstreams are reached directly alone.
    pub(crate) fn new(partition: Partition, relays: RelayClient) -> Self {
        Self { partition: partition.into(), relays: relays.into(), ..Self::default() }
    }

    /// Sets the entries that may relay connections.
    pub(crate) fn set_peers(&self, peers: &Arc<Vec<EntryInfo>>) {
        if let Some(relays) = self.relays.get() {
            relays.set_peers(peers);
        }
    }

    /// Opens a connection to an upstream through another entry. Returns `None` if none relays it.
    pub(crate) async fn open_relayed(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Option<Result<Relayed, ConnectError>> {
        self.relays.get()?.open(address, deadline).await
    }

    /// Returns what is known of the entry's own path to a service.
    pub(crate) fn path(&self, service: &str) -> Path {
        if self.doubted.load(Ordering::Relaxed) == 0 {
            return Path::Open;
        }
        lock(&self.services).get(service).map_or(Path::Open, PathState::path)
    }

    /// Records that the upstream of a service with this key could not be reached, or that a connection
    /// to it was lost.
    pub(crate) fn record_failure(&self, service: &Arc<str>, upstream: u64) {
        let suspected = self.update(service, |it| it.record_failure(upstream, Instant::now()));
        if suspected {
            log::info!(service:% = service; "several upstreams could not be reached; trying others");
            self.check_soon(service);
        }
    }

    /// Returns whether the path to a service may be checked now because an upstream is silent, and if so,
    /// counts that as done.
    pub(crate) fn begin_check(&self, service: &Arc<str>) -> bool {
        let now = Instant::now();
        self.update(service, |it| it.begin_check(now))
    }

    /// Has the path to a service checked, because that to another one, or to one of its upstreams, is cut.
    pub(crate) fn suspect(&self, service: &Arc<str>) {
        if self.update(service, PathState::suspect) {
            self.check_soon(service);
        }
    }

    /// Records that an upstream of a service was reached.
    pub(crate) fn record_success(&self, service: &Arc<str>) {
        if self.update(service, PathState::record_success) {
            log::warn!(service:% = service; "this entry reaches the upstreams of a service again");
        }
    }

    /// Records that none of the upstreams of a service that were tried could be reached; returns whether
    /// the entry is cut off from the service from now on.
    pub(crate) fn record_none_reached(&self, service: &Arc<str>) -> bool {
        let cut_off = self.update(service, PathState::record_none_reached);
        if cut_off {
            log::warn!(service:% = service; "this entry reaches no upstream of a service");
        }
        cut_off
    }

    /// Waits until the path to some service is suspected; returns all such services.
    pub(crate) async fn suspicions(&self) -> Vec<Arc<str>> {
        loop {
            self.suspicion.notified().await;
            let suspected = std::mem::take(&mut *lock(&self.suspected));
            if !suspected.is_empty() {
                return suspected;
            }
        }
    }

    fn check_soon(&self, service: &Arc<str>) {
        lock(&self.suspected).push(Arc::clone(service));
        self.suspicion.notify_one();
    }

    fn update(&self, service: &Arc<str>, act: impl FnOnce(&mut PathState) -> bool) -> bool {
        let mut services = lock(&self.services);
        let changed = act(services.entry(Arc::clone(service)).or_default());
        let doubted = services.values().filter(|it| it.path() != Path::Open).count();
        self.doubted.store(doubted, Ordering::Relaxed);
        changed
    }

    /// Opens a socket to an upstream on the entry's own path.
    pub(crate) async fn dial(&self, address: SocketAddr) -> io::Result<TcpStream> {
        match self.cut() {
            Cut::None => {}
            Cut::Hang => std::future::pending().await,
            Cut::Reset | Cut::RefuseNew => return Err(io::ErrorKind::ConnectionRefused.into()),
        }
        TcpStream::connect(address).await
    }

    /// Waits until an artificial partition affects open connections, and returns how. Never returns
    /// in a release build.
    pub(crate) async fn cut_open(&self) -> Cut {
        if cfg!(not(debug_assertions)) {
            std::future::pending().await
        }
        loop {
            match self.cut() {
                Cut::None | Cut::RefuseNew => sleep(PARTITION_CHECK_INTERVAL).await,
                cut => return cut,
            }
        }
    }

    fn cut(&self) -> Cut {
        self.partition.get().map(Partition::cut).unwrap_or_default()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
