//! The calls in flight of an owner.
//!
//! A call is dropped only once nobody waits for a piece of it. While it is silent, its pieces may run in
//! other calls, and its upstream may get other calls.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::batch::queue::{JobKey, Piece};
use crate::section::Section;
use crate::upstream::Upstream;

#[cfg(test)]
mod tests;

/// A call in flight.
pub(super) struct InFlightCall {
    pub(super) call: u64,
    pub(super) section: Section,
    pub(super) upstream: Arc<Upstream>,
    /// The task that waits for the answer.
    pub(super) task: AbortHandle,
    pub(super) overdue_at: Instant,
    pub(super) silent_at: Instant,
    pub(super) pieces: Vec<Piece>,
    /// Whether the call was found to be overdue.
    pub(super) is_overdue: bool,
    /// When the upstream is expected to have fetched the inputs, and whether the submitters were
    /// told so.
    pub(super) fetched_at: Instant,
    pub(super) fetched_sent: bool,
}

/// How a call that has ended was known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Known {
    /// Its upstream got no other call.
    InTime,
    /// It had been silent.
    Silent,
    /// It was dropped.
    Unwanted,
}

/// The calls in flight.
#[derive(Default)]
pub(super) struct Calls {
    /// The call on which an upstream works, by the upstream's id.
    by_upstream: HashMap<Arc<str>, InFlightCall>,
    /// The calls that are silent, by number.
    silent: HashMap<u64, InFlightCall>,
}

impl Calls {
    pub(super) fn insert(&mut self, call: InFlightCall) {
        self.by_upstream.insert(Arc::clone(&call.upstream.id), call);
    }

    /// Returns whether an upstream works on a call of another section. This happens when the list
    /// of upstreams has changed since the call was sent.
    pub(super) fn is_used_elsewhere(&self, upstream: &str, section: &Section) -> bool {
        self.by_upstream.get(upstream).is_some_and(|it| it.section != *section)
    }

    /// Returns the calls that are not silent.
    pub(super) fn in_time(&mut self) -> impl Iterator<Item = &mut InFlightCall> {
        self.by_upstream.values_mut()
    }

    fn all(&self) -> impl Iterator<Item = &InFlightCall> {
        self.by_upstream.values().chain(self.silent.values())
    }

    /// Returns the jobs with pieces in calls.
    pub(super) fn jobs(&self) -> HashSet<JobKey> {
        self.all().flat_map(|it| &it.pieces).map(|it| it.job).collect()
    }

    /// Returns whether a call has the piece.
    pub(super) fn hold(&self, piece: &Piece) -> bool {
        self.all().any(|it| has(it, piece))
    }

    /// Returns whether a call has the piece that is not overdue.
    pub(super) fn hold_in_time(&self, piece: &Piece) -> bool {
        self.all().any(|it| !it.is_overdue && has(it, piece))
    }

    /// Returns the pieces of the calls that are overdue from now on.
    pub(super) fn take_overdue(&mut self, now: Instant) -> Vec<Piece> {
        let late = self.in_time().filter(|it| !it.is_overdue && now >= it.overdue_at);
        let mut pieces = Vec::new();
        for call in late {
            call.is_overdue = true;
            pieces.extend(call.pieces.iter().cloned());
        }
        pieces
    }

    /// Counts the calls that are silent from now on as such; returns their numbers.
    pub(super) fn leave_silent(&mut self, now: Instant) -> Vec<u64> {
        let silent: HashMap<_, _> =
            self.by_upstream.extract_if(|_, it| now >= it.silent_at).collect();
        let numbers = silent.values().map(|it| it.call).collect();
        self.silent.extend(silent.into_values().map(|it| (it.call, it)));
        numbers
    }

    /// Returns a call that is silent.
    pub(super) fn silent(&self, call: u64) -> Option<&InFlightCall> {
        self.silent.get(&call)
    }

    /// Drops the silent calls without a piece that is `wanted`, which makes their upstreams cancel them.
    pub(super) fn abandon(&mut self, wanted: impl Fn(&Piece) -> bool) {
        let unwanted = self.silent.extract_if(|_, it| !it.pieces.iter().any(&wanted));
        unwanted.for_each(|(_, it)| it.task.abort());
    }

    /// Removes a call that has ended; returns how it was known.
    pub(super) fn end(&mut self, upstream: &str, call: u64) -> Known {
        if self.by_upstream.get(upstream).is_some_and(|it| it.call == call) {
            self.by_upstream.remove(upstream);
            return Known::InTime;
        }
        match self.silent.remove(&call) {
            Some(_) => Known::Silent,
            None => Known::Unwanted,
        }
    }
}

fn has(call: &InFlightCall, piece: &Piece) -> bool {
    call.pieces.iter().any(|it| it.is_same(piece))
}
