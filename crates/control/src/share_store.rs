//! The shares that the leader assigned, stored for the sessions to send to their entries.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;
use types::{CustomerName, Term, VmName};
use wire::session::CustomerShare;

/// The number of a change of a [`ShareStore`].
pub type ChangeNumber = u64;

/// The latest shares of every entry. A session remembers the number of the last change it sent and
/// fetches the shares that changed since.
#[derive(Debug)]
pub struct ShareStore {
    state: Mutex<StoreState>,
    changed: watch::Sender<ChangeNumber>,
}

#[derive(Debug, Default)]
struct StoreState {
    term: Term,
    number: ChangeNumber,
    by_entry: BTreeMap<VmName, EntryShares>,
}

#[derive(Debug, Default)]
struct EntryShares {
    /// The number of the latest change of this entry's shares.
    last_change: ChangeNumber,
    shares: BTreeMap<CustomerName, (CustomerShare, ChangeNumber)>,
}

impl EntryShares {
    /// Removes every limit, so that sessions are told of the shares that are not assigned again.
    fn clear(&mut self, number: ChangeNumber) {
        self.last_change = number;
        for (share, changed) in self.shares.values_mut() {
            *changed = number;
            (share.rate, share.concurrency, share.tokens) = (None, None, None);
        }
    }
}

impl Default for ShareStore {
    fn default() -> Self {
        Self { state: Mutex::default(), changed: watch::channel(0).0 }
    }
}

impl ShareStore {
    /// Stores shares from the leader of `term`; `is_full` tells that these are all shares.
    ///
    /// A leader that was paused may resume and send outdated shares. Because only changes are sent,
    /// no later message would correct them. Shares of a lower term are therefore dropped.
    pub fn update(&self, term: Term, is_full: bool, shares: Vec<(VmName, Vec<CustomerShare>)>) {
        let mut state = self.lock();
        if term < state.term {
            return;
        }
        state.term = term;
        state.number += 1;
        let number = state.number;
        if is_full {
            state.by_entry.values_mut().for_each(|it| it.clear(number));
        }
        for (vm, shares) in shares {
            let entry = state.by_entry.entry(vm).or_default();
            entry.last_change = number;
            let shares = shares.into_iter().map(|it| (it.customer.clone(), (it, number)));
            entry.shares.extend(shares);
        }
        drop(state);
        self.changed.send_replace(number);
    }

    /// Returns a receiver that is notified whenever the shares of any entry change.
    pub fn subscribe(&self) -> watch::Receiver<ChangeNumber> {
        self.changed.subscribe()
    }

    /// Returns the shares of an entry that changed since `last_sent` and updates `last_sent`. With
    /// `last_sent` 0 it returns all shares; without changes it returns none.
    pub fn changed_since(&self, vm: &VmName, last_sent: &mut ChangeNumber) -> Vec<CustomerShare> {
        let state = self.lock();
        let Some(entry) = state.by_entry.get(vm).filter(|it| it.last_change > *last_sent) else {
            return Vec::new();
        };
        let changes = entry.shares.values().filter(|(_, number)| *number > *last_sent);
        let changes = changes.map(|(share, _)| share.clone()).collect();
        *last_sent = entry.last_change;
        changes
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
