//! The upstreams that one request was offered to, and when it looks no further.

use std::sync::Arc;

use tokio::time::Instant;

use crate::exchange::{Cause, Fault};
use crate::upstream::{NoConnection, Upstream};

#[cfg(test)]
mod tests;

/// The upstreams that one request was offered to.
#[derive(Debug)]
pub(crate) struct Offers {
    most: usize,
    counted: usize,
    /// Whether the newest upstream was known to fail when it was offered the request.
    paused: bool,
    tried: Vec<Arc<str>>,
}

impl Offers {
    /// Makes an empty list, for a request that at most `most` upstreams may turn away.
    pub(crate) fn new(most: usize) -> Self {
        Self { most, counted: 0, paused: false, tried: Vec::new() }
    }

    /// The ids of the upstreams, the newest last.
    pub(crate) fn tried(&self) -> &[Arc<str>] {
        &self.tried
    }

    /// Adds an upstream that the request is offered to now.
    pub(crate) fn add(&mut self, upstream: &Upstream, now: Instant) {
        self.paused = upstream.is_paused(now);
        self.counted += 1;
        self.tried.push(Arc::clone(&upstream.id));
    }

    /// Takes the newest upstream back: it may be offered the request again.
    pub(crate) fn take_back(&mut self) {
        self.tried.pop();
        self.counted -= 1;
    }

    /// Takes the answer of the newest upstream, which did not run the request. Returns whether the request
    /// looks for another one.
    ///
    /// An upstream that refuses a connection says nothing of the others and costs next to no time, so it counts
    /// only where it was known to fail: then all that are left are.
    pub(crate) fn turned_away(&mut self, fault: &Fault) -> bool {
        let refused = fault.cause == Cause::NoConnection(NoConnection::Refused);
        if refused && !self.paused {
            self.counted -= 1;
        }
        self.counted < self.most
    }
}
