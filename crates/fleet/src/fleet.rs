//! The handle of the running fleet.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwap;
use tokio::sync::{mpsc, watch};
use types::{Digest, Service, UpstreamName};
use wire::session::LoadReport;

use crate::leader::Leader;
use crate::{Authority, FleetView};

/// The maximum number of digests that wait for control.
const MAX_QUEUED_DIGESTS: usize = 16;

/// The maximum number of reports and digests that wait to be handled.
const MAX_QUEUED_MESSAGES: usize = 1_024;

/// The configuration of the fleet.
#[derive(Clone, Debug, Default)]
pub struct FleetConfig {
    /// The address of the platform's list of VMs.
    pub platform: Option<SocketAddr>,
}

/// The inputs that control sets, each with its latest value.
#[derive(Clone, Debug, Default)]
pub(crate) struct Inputs {
    /// The number of the term in which this member leads; `None` while it does not lead.
    pub(crate) term: Option<u64>,
    pub(crate) service: Arc<Service>,
    pub(crate) marks: Arc<BTreeSet<UpstreamName>>,
}

/// A message that is handled once, in order of arrival.
#[derive(Debug)]
pub(crate) enum Message {
    /// A load report of an entry.
    Report(LoadReport),
    /// A digest of another leader.
    Digest(Digest),
}

/// The running fleet. It does nothing until [`Fleet::lead`]. Dropping it ends all of its tasks.
#[derive(Debug)]
pub struct Fleet {
    terms: AtomicU64,
    inputs: watch::Sender<Inputs>,
    messages: mpsc::Sender<Message>,
    view: Arc<ArcSwap<FleetView>>,
}

impl Fleet {
    /// Starts the fleet on the current tokio runtime. While it leads, digests arrive through the
    /// receiver.
    pub fn spawn<A: Authority>(
        config: FleetConfig,
        authority: A,
    ) -> (Self, mpsc::Receiver<Digest>) {
        let (digests, receiver) = mpsc::channel(MAX_QUEUED_DIGESTS);
        let (messages, received) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let (inputs, watched) = watch::channel(Inputs::default());
        let view = Arc::new(ArcSwap::default());
        let leader = Leader::new(authority, config.platform, Arc::clone(&view), digests);
        tokio::spawn(leader.run(watched, received));
        (Self { terms: AtomicU64::new(0), inputs, messages, view }, receiver)
    }

    /// Starts leading with this service in force. To be called once for each term, and only after
    /// the term's first entry is committed.
    pub fn lead(&self, service: Arc<Service>) {
        let term = self.terms.fetch_add(1, Ordering::Relaxed);
        self.inputs.send_modify(|it| {
            it.term = Some(term);
            it.service = service;
        });
    }

    /// Stops leading: no further order is sent, and calls in flight are cut.
    pub fn follow(&self) {
        self.inputs.send_if_modified(|it| it.term.take().is_some());
    }

    /// Sets a newer version of the service.
    pub fn set_service(&self, service: Arc<Service>) {
        self.inputs.send_modify(|it| it.service = service);
    }

    /// Sets all upstreams that operators have marked as leaving.
    pub fn set_marks(&self, leaving: BTreeSet<UpstreamName>) {
        self.inputs.send_modify(|it| it.marks = Arc::new(leaving));
    }

    /// Takes an entry's report of its calls in flight.
    pub fn take_report(&self, report: LoadReport) {
        // A report for which there is no room is dropped; the entry's next one replaces it.
        let _ = self.messages.try_send(Message::Report(report));
    }

    /// Takes a digest of the leader while this member does not lead. If this member leads next, it
    /// inherits which upstreams that leader reported as leaving.
    pub fn take_digest(&self, digest: &Digest) {
        let _ = self.messages.try_send(Message::Digest(digest.clone()));
    }

    /// Returns the current view of all upstreams.
    pub fn view(&self) -> Arc<FleetView> {
        self.view.load_full()
    }
}
