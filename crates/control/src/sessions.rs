//! The sessions of entries with this member.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use types::{Incarnation, SiteName, StepResult, Version, VmName};
use wire::session::{ControlMessage, EntryMessage, UsageReport};

use crate::digest::DigestTable;
use crate::history::EntryHistory;
use crate::leader_client::LeaderClient;
use crate::protocol::EntryStatus;
use crate::session::Session;
use crate::share_store::ShareStore;

/// How long an entry may take to send its first message.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(2);

/// All open sessions and the data that is pushed to them.
pub(crate) struct Sessions {
    pub(crate) leader_client: LeaderClient,
    pub(crate) digest: DigestTable,
    pub(crate) shares: ShareStore,
    pub(crate) history: EntryHistory,
    /// Receives the entries' usage reports.
    pub(crate) usage: mpsc::Sender<(VmName, UsageReport)>,
    leave: watch::Sender<bool>,
    open_sessions: Mutex<BTreeMap<u64, OpenSession>>,
    next_number: AtomicU64,
    /// Incremented when the status of any entry changes in more than its age.
    revision: AtomicU64,
}

/// One open session.
struct OpenSession {
    vm: VmName,
    site: SiteName,
    owner: Incarnation,
    version: Version,
    confirm_requested: Option<Instant>,
    draining: bool,
    rejected: Option<(Version, String)>,
}

impl Sessions {
    pub(crate) fn new(
        leader_client: LeaderClient,
        usage: mpsc::Sender<(VmName, UsageReport)>,
    ) -> Self {
        Self {
            leader_client,
            digest: DigestTable::new(),
            history: EntryHistory::default(),
            shares: ShareStore::default(),
            usage,
            leave: watch::channel(false).0,
            open_sessions: Mutex::default(),
            next_number: AtomicU64::new(1),
            revision: AtomicU64::new(0),
        }
    }

    /// Tells every entry to follow another member.
    pub(crate) fn tell_entries_to_leave(&self) {
        self.leave.send_replace(true);
    }

    /// Returns a receiver that turns `true` when this member drains.
    pub(crate) fn subscribe_leave(&self) -> watch::Receiver<bool> {
        self.leave.subscribe()
    }

    /// Returns a number that changes whenever the status of any entry changes in more than its age.
    pub(crate) fn revision(&self) -> u64 {
        self.revision.load(Ordering::Relaxed)
    }

    fn increment_revision(&self) {
        self.revision.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the status of every entry that has a session with this member.
    pub(crate) fn entries(&self) -> Vec<EntryStatus> {
        let status = |it: &OpenSession| EntryStatus {
            vm: it.vm.clone(),
            site: it.site.clone(),
            owner: it.owner,
            version: it.version,
            age_ms: it.confirm_requested.map(|at| at.elapsed().as_millis() as u64),
            draining: it.draining,
            rejected: it.rejected.clone(),
        };
        self.lock().values().map(status).collect()
    }

    /// Runs one entry's session until its connection ends.
    pub(crate) async fn run(self: Arc<Self>, connection: wire::Connection) {
        let hello = connection.hello().clone();
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let ended = Arc::clone(&self).follow(number, connection).await;
        self.lock().remove(&number);
        self.increment_revision();
        match ended {
            Ok(()) => log::info!(vm:% = hello.vm; "the session of an entry ended"),
            Err(e) => log::info!(vm:% = hello.vm; "the session of an entry failed: {e}"),
        }
    }

    async fn follow(self: Arc<Self>, number: u64, connection: wire::Connection) -> StepResult<()> {
        let hello = connection.hello().clone();
        let (sender, mut receiver) = connection.split::<ControlMessage, EntryMessage>();
        let first = tokio::time::timeout(FOLLOW_TIMEOUT, receiver.recv()).await;
        let Ok(Ok(Some(EntryMessage::Follow { vm, site, owner, have }))) = first else {
            log::warn!(vm:% = hello.vm;
                "closed a connection whose first message did not start a session");
            return Ok(());
        };
        if vm != hello.vm || owner.0 != hello.node {
            log::warn!(vm:% = hello.vm, named:% = vm;
                "closed a connection whose entry claims an identity other than its own");
            return Ok(());
        }
        log::info!(vm:% = vm, site:% = site, have = have.0; "an entry started a session");
        let open = OpenSession {
            vm: vm.clone(),
            site,
            owner,
            version: have,
            confirm_requested: None,
            draining: false,
            rejected: None,
        };
        self.lock().insert(number, open);
        self.increment_revision();
        // Records the entry now, because a session that ends before the next announcement would
        // otherwise leave no trace.
        self.history.record(&self.entries());
        Session::new(self, number, vm, owner, have).run(sender, receiver).await
    }

    /// Returns whether this member does not belong to the cluster while another member announces
    /// its leader.
    pub(crate) fn is_outside_cluster(&self) -> bool {
        let view = self.leader_client.core.view();
        view.membership.voters.is_empty() && self.leader_client.peers.leader().is_some()
    }

    /// Records that the entry requested a confirmation and which version it has.
    pub(crate) fn record_confirm_request(&self, number: u64, have: Version) {
        let known = self.lock().get_mut(&number).map(|open| {
            open.confirm_requested = Some(Instant::now());
            std::mem::replace(&mut open.version, have)
        });
        if known != Some(have) {
            self.increment_revision();
        }
    }

    /// Records that the entry drains.
    pub(crate) fn record_draining(&self, number: u64) {
        if let Some(open) = self.lock().get_mut(&number) {
            open.draining = true;
        }
        self.increment_revision();
    }

    /// Records that the entry did not install a version, and the reason.
    pub(crate) fn record_rejected_version(&self, number: u64, version: Version, why: String) {
        if let Some(open) = self.lock().get_mut(&number) {
            open.rejected = Some((version, why));
        }
        self.increment_revision();
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, OpenSession>> {
        self.open_sessions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
