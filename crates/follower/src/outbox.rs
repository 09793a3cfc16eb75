//! The events that the session passes to the entry.

use std::collections::BTreeMap;
use std::sync::Arc;

use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use types::{CustomerName, Digest};
use wire::session::CustomerShare;

use crate::{Event, ServiceSnapshot};

/// Sends events without waiting for the entry, because a waiting session would not request
/// confirmations from a quorum.
#[derive(Debug)]
pub(crate) struct Outbox {
    events: mpsc::Sender<Event>,
    // The events that must reach the entry although its queue was full; only the latest ones count.
    unsent_service: Option<Arc<ServiceSnapshot>>,
    unsent_shares: BTreeMap<CustomerName, CustomerShare>,
    /// The latest shares of this session. Control members send only changes, and a new version may
    /// contain customers whose shares arrived before it.
    latest_shares: BTreeMap<CustomerName, CustomerShare>,
}

impl Outbox {
    pub(crate) fn new(events: mpsc::Sender<Event>) -> Self {
        Self {
            events,
            unsent_service: None,
            unsent_shares: BTreeMap::new(),
            latest_shares: BTreeMap::new(),
        }
    }

    pub(crate) fn service(&mut self, snapshot: Arc<ServiceSnapshot>) {
        self.unsent_service = Some(snapshot);
        self.unsent_shares = self.latest_shares.clone();
        self.flush();
    }

    pub(crate) fn shares(&mut self, shares: Vec<CustomerShare>) {
        let shares = shares.into_iter().map(|it| (it.customer.clone(), it));
        for (customer, share) in shares {
            self.latest_shares.insert(customer.clone(), share.clone());
            self.unsent_shares.insert(customer, share);
        }
        self.flush();
    }

    /// Clears the shares of the previous session, because the new one starts by sending all of
    /// them.
    pub(crate) fn start_session(&mut self) {
        self.latest_shares.clear();
    }

    /// Sends a digest. If the queue is full it is dropped; the next full digest replaces it.
    pub(crate) fn digest(&self, digest: Digest) {
        let _ = self.events.try_send(Event::Digest(digest));
    }

    /// Tries again to send the events that did not fit into the queue.
    pub(crate) fn flush(&mut self) {
        if let Some(snapshot) = self.unsent_service.take()
            && let Err(TrySendError::Full(Event::Service(unsent))) =
                self.events.try_send(Event::Service(snapshot))
        {
            self.unsent_service = Some(unsent);
        }
        // Shares are sent after the version to which they belong.
        if self.unsent_shares.is_empty() || self.unsent_service.is_some() {
            return;
        }
        let Ok(permit) = self.events.try_reserve() else {
            return;
        };
        permit.send(Event::Shares(std::mem::take(&mut self.unsent_shares).into_values().collect()));
    }
}
