//! State shared by the handle and the session's task.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::{ArcSwap, ArcSwapOption};
use types::{UpstreamName, Version};
use wire::session::UsageReport;

use crate::ServiceSnapshot;
use crate::freshness::Freshness;
use crate::requests::Pending;

/// A command from the handle to the session's task.
#[derive(Debug)]
pub(crate) enum Command {
    /// A claim operation.
    Request(Pending),
    /// Usage to report.
    Usage(UsageReport),
    /// Calls in flight to report.
    Load(Vec<(UpstreamName, u32)>),
    /// This entry drains.
    Drain,
}

/// The state of the session, for the entry's status.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionView {
    /// The address of the followed member, if any.
    pub member: Option<SocketAddr>,
    /// The number of sessions opened.
    pub sessions: u64,
    /// The number of offered versions that were lower than the one in force and were ignored.
    pub lower_offers: u64,
    /// The number of digests dropped because an earlier one was lost.
    pub dropped_digests: u64,
    /// The number of edits that did not apply, after which the full document was requested.
    pub failed_edits: u64,
    /// The version that was rejected because it cannot be resolved, and the reason.
    pub rejected: Option<(Version, String)>,
}

/// State that the session's task writes and all threads read.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) current: ArcSwapOption<ServiceSnapshot>,
    pub(crate) freshness: Freshness,
    pub(crate) view: ArcSwap<SessionView>,
}

impl Shared {
    pub(crate) fn new() -> Self {
        Self {
            current: ArcSwapOption::empty(),
            freshness: Freshness::new(),
            view: ArcSwap::default(),
        }
    }

    /// Updates the session's state; called only by the session's task.
    pub(crate) fn update_view(&self, change: impl FnOnce(&mut SessionView)) {
        let mut view = SessionView::clone(&self.view.load());
        change(&mut view);
        self.view.store(Arc::new(view));
    }
}
