//! The paths from this entry to upstreams.

pub(crate) mod relay;
pub mod state;

use std::io;
use std::net::SocketAddr;
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
    state: Mutex<PathState>,
    /// Notified when the entry's own path is suspected.
    suspected: Notify,
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

    /// Returns what is known of the entry's own path.
    pub(crate) fn path(&self) -> Path {
        self.lock().path()
    }

    /// Records that the upstream with this key could not be reached, or that a connection to it was
    /// lost.
    pub(crate) fn record_failure(&self, upstream: u64) {
        if self.lock().record_failure(upstream, Instant::now()) {
            log::info!("several upstreams could not be reached; trying others");
            self.suspected.notify_one();
        }
    }

    /// Records that an upstream was reached.
    pub(crate) fn record_success(&self) {
        if self.lock().record_success() {
            log::warn!("this entry reaches upstreams again");
        }
    }

    /// Records that none of the upstreams that were tried could be reached; returns whether the entry
    /// is cut off from now on.
    pub(crate) fn record_none_reached(&self) -> bool {
        let cut_off = self.lock().record_none_reached();
        if cut_off {
            log::warn!("this entry reaches no upstream");
        }
        cut_off
    }

    /// Waits until the entry's own path is suspected.
    pub(crate) async fn suspicion(&self) {
        self.suspected.notified().await;
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

    fn lock(&self) -> MutexGuard<'_, PathState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
