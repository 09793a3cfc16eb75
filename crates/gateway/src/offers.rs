//! The upstreams that one request was offered to, and when it looks no further.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::exchange::Fault;
use crate::upstream::Upstream;

/// How long a request looks for an upstream that can be reached. Silent upstreams use it up, those that
/// refuse connections at once hardly do.
const SEARCH: Duration = Duration::from_millis(750);

/// The upstreams that one request was offered to.
#[derive(Debug)]
pub(crate) struct Offers {
    most: usize,
    counted: usize,
    began: Option<Instant>,
    paused: bool,
    tried: Vec<Arc<str>>,
}

impl Offers {
    /// Makes an empty list, for a request that at most `most` upstreams may turn away.
    pub(crate) fn new(most: usize) -> Self {
        Self { most, counted: 0, began: None, paused: false, tried: Vec::new() }
    }

    /// The ids of the upstreams, the newest last.
    pub(crate) fn tried(&self) -> &[Arc<str>] {
        &self.tried
    }

    /// Adds an upstream that the request is offered to now.
    pub(crate) fn add(&mut self, upstream: &Upstream, now: Instant) {
        self.began.get_or_insert(now);
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
    /// An upstream that is gone says nothing of the others, so it counts only where it was known to be gone.
    pub(crate) fn turned_away(&mut self, fault: &Fault, now: Instant) -> bool {
        let news = fault.unreachable && !self.paused;
        if news {
            self.counted -= 1;
        }
        let searched = self.began.map_or(Duration::ZERO, |it| now.duration_since(it));
        self.counted < self.most && (!news || searched < SEARCH)
    }
}
