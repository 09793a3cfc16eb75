//! The state that all requests of one entry share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use arc_swap::ArcSwapOption;
use routing::Router;
use tokio::runtime::Handle;
use types::{ClaimTicket, Incarnation, RefusalReason, Stale, VmName};
use upstream::Calls;

use crate::answer::retry_after;
use crate::auth::ServiceView;
use crate::claim_table::{ClaimTable, QuorumLoss};
use crate::connections::Connections;
use crate::drain::Drain;
use crate::metrics::Metrics;
use crate::outcome::{Reason, RequestError};
use crate::session::Session;
use crate::shared_run::SharedRuns;
use crate::usage::Usage;

/// The state that all requests of one entry share. Request handlers run on the HTTP server's
/// threads and the pipeline runs on the main runtime; everything here is `Send` and `Sync`.
pub(crate) struct Core<S> {
    pub(crate) vm: VmName,
    pub(crate) owner: Incarnation,
    pub(crate) session: Arc<S>,
    pub(crate) router: Router,
    pub(crate) calls: Calls,
    pub(crate) view: ArcSwapOption<ServiceView>,
    pub(crate) drain: Arc<Drain>,
    pub(crate) shared_runs: SharedRuns,
    pub(crate) claims: ClaimTable,
    pub(crate) quorum_loss: QuorumLoss,
    pub(crate) usage: Usage,
    pub(crate) connections: Arc<Connections>,
    pub(crate) metrics: Metrics,
    pub(crate) runtime: Handle,
    next_attempt: AtomicU64,
}

impl<S: Session> Core<S> {
    pub(crate) fn new(
        (vm, owner): (VmName, Incarnation),
        session: Arc<S>,
        router: Router,
        (runtime, max_connections): (Handle, usize),
    ) -> Self {
        Self {
            vm,
            owner,
            session,
            router,
            calls: Calls::new(),
            view: ArcSwapOption::empty(),
            drain: Arc::default(),
            shared_runs: SharedRuns::default(),
            claims: ClaimTable::default(),
            quorum_loss: QuorumLoss::default(),
            usage: Usage::default(),
            connections: Arc::new(Connections::new(max_connections, runtime.clone())),
            metrics: Metrics::new(),
            runtime,
            next_attempt: AtomicU64::new(rand::random()),
        }
    }

    /// Checks that a quorum confirmed the version in force recently enough to serve a request.
    ///
    /// An entry that is cut off from control would otherwise serve a replaced version for hours.
    /// The age of the last confirmation is the only sign of it that the entry has.
    pub(crate) fn check_freshness(
        &self,
        view: &ServiceView,
        at_most_once: bool,
        now: Instant,
    ) -> Result<(), RequestError> {
        let policy = &view.service().policy;
        let age = self.session.age(now);
        if age.is_some_and(|age| age <= policy.freshness.into()) {
            return Ok(());
        }
        if policy.stale == Stale::Serve && !at_most_once {
            return Ok(());
        }
        let detail = "no quorum confirmed lately which version of the service is in force";
        Err(RequestError::new(Reason::Refused(RefusalReason::StaleService), detail)
            .retry_after(retry_after()))
    }

    /// Returns the ticket of a new attempt. No number is used twice within one incarnation.
    pub(crate) fn ticket(&self) -> ClaimTicket {
        let attempt = self.next_attempt.fetch_add(1, Ordering::Relaxed);
        ClaimTicket { vm: self.vm.clone(), owner: self.owner, attempt }
    }
}
