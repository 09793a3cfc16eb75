//! The upstreams that a request was offered to, and the limit on how many may reject it.

use std::sync::Arc;

use tokio::time::Instant;

use crate::exchange::{Cause, Fault};
use crate::upstream::{ConnectError, Reuse, Upstream};

#[cfg(test)]
mod tests;

/// The upstreams that a request was offered to.
#[derive(Debug)]
pub(crate) struct Offers {
    limit: usize,
    counted: usize,
    /// Whether the newest upstream was ejected when the request was offered to it.
    was_ejected: bool,
    tried: Vec<Arc<str>>,
    /// All upstreams that it was ever offered to.
    offered: Vec<Arc<str>>,
    /// Those of the tried ones that did not run the request.
    rejected: Vec<Arc<str>>,
}

impl Offers {
    /// Creates an empty list, for a request that at most `limit` upstreams may reject.
    pub(crate) fn new(limit: usize) -> Self {
        let (tried, offered, rejected) = Default::default();
        Self { limit, counted: 0, was_ejected: false, tried, offered, rejected }
    }

    /// Returns the ids of the upstreams, the newest last.
    pub(crate) fn tried(&self) -> &[Arc<str>] {
        &self.tried
    }

    /// Adds an upstream to which the request is offered now. Returns which connection it may use: both
    /// answers of an upstream to one request have the same id, so a second copy of the first one would pass
    /// for the second on the connection that brought the first.
    pub(crate) fn add(&mut self, upstream: &Upstream, now: Instant) -> Reuse {
        self.was_ejected = upstream.is_ejected(now);
        self.counted += 1;
        self.tried.push(Arc::clone(&upstream.id));
        if self.offered.contains(&upstream.id) {
            return Reuse::New;
        }
        self.offered.push(Arc::clone(&upstream.id));
        Reuse::Any
    }

    /// Removes the newest upstream, so that the request may be offered to it again.
    pub(crate) fn take_back(&mut self) {
        self.tried.pop();
        self.counted -= 1;
    }

    /// Returns whether more upstreams may reject the request.
    pub(crate) fn has_more(&self) -> bool {
        self.counted < self.limit
    }

    /// Lets the request be offered again to the upstreams that did not run it, and to the one with the id
    /// `left`.
    pub(crate) fn renew(&mut self, left: Option<&str>) {
        let rejected = std::mem::take(&mut self.rejected);
        self.tried.retain(|it| !rejected.contains(it) && left != Some(&**it));
    }

    /// Records that the newest upstream did not run the request. Returns whether another upstream
    /// may be tried.
    ///
    /// A refused connection says nothing about the other upstreams and costs next to no time. So it
    /// counts only if the upstream was ejected: ejected upstreams are chosen only when no others
    /// are left.
    pub(crate) fn record_rejection(&mut self, fault: &Fault) -> bool {
        let refused = fault.cause == Cause::Connect(ConnectError::Refused);
        if refused && !self.was_ejected {
            self.counted -= 1;
        }
        self.rejected.extend(self.tried.last().cloned());
        self.has_more()
    }
}
