//! What a request has used up at engines so far, and where its stream goes on.

use std::sync::Arc;

use tokio::time::Instant;
use types::SoftwareVersion;

use crate::budget::SendWatch;
use crate::offers::Offers;
use crate::overrun::Admitted;
use crate::reply::Refusal;
use crate::request::CallerRequest;
use crate::upstream::{Reuse, Upstream};

#[cfg(test)]
mod tests;

/// How many engines may reject a request before it is refused.
const MAX_OFFERS: usize = 4;

/// How often the stages of a request may run.
pub(super) const MAX_STAGE_RUNS: u32 = 2;

/// Where a stream goes on.
#[derive(Clone, Debug)]
pub(super) struct Resumption {
    /// The number of the last event that the caller has received.
    pub(super) last_event: Option<u64>,
    /// The version at which the stream began.
    pub(super) version: SoftwareVersion,
    /// When the next event is due.
    pub(super) due: Instant,
    /// Engines that were heard since then are preferred, then those that run nothing.
    pub(super) heard_since: Option<Instant>,
    /// Shows when the request was sent to the engine that it is offered to.
    pub(super) sends: Arc<SendWatch>,
}

impl Resumption {
    /// Returns where a stream goes on that a caller takes up.
    pub(super) fn taken_up(version: SoftwareVersion, request: &CallerRequest) -> Self {
        let (due, sends) = (request.first_event_by, Arc::default());
        Self { last_event: None, version, due, heard_since: None, sends }
    }

    /// Records that an engine to which a stream in progress was offered may have run it, so that the next event
    /// is due from another one, after `runs` in all.
    pub(super) fn renew_due(&mut self, request: &CallerRequest, runs: u32) {
        if self.last_event.is_some() {
            self.due = due_after(request, runs);
        }
    }
}

/// Returns when the next event of a stream in progress is due that has run `runs` times, if it is offered to
/// another engine now.
pub(super) fn due_after(request: &CallerRequest, runs: u32) -> Instant {
    // No other engine may have it after the last one.
    let is_last = runs + 1 >= request.route.attempts;
    if is_last { request.deadline } else { request.next_event_by(Instant::now()) }
}

/// Returns when the next event that an engine sends is due.
pub(super) fn due(request: &CallerRequest, resumption: Option<&Resumption>) -> Instant {
    resumption.map_or(request.first_event_by, |it| it.due)
}

/// The tries that a request has used up so far.
pub(super) struct Tries {
    pub(super) offers: Offers,
    /// At how many engines it has run, or may have.
    pub(super) runs: u32,
    pub(super) stage_runs: u32,
    pub(super) reached_upstream: bool,
    /// The forecast by which the request was admitted to its stages, until they have ended.
    pub(super) admitted: Option<Admitted>,
    /// Whether the newest offer has no outcome yet.
    is_offered: bool,
}

impl Tries {
    pub(super) fn new(admitted: Option<Admitted>) -> Self {
        Self {
            offers: Offers::new(MAX_OFFERS),
            runs: 0,
            stage_runs: 0,
            reached_upstream: false,
            admitted,
            is_offered: false,
        }
    }

    /// Records that an engine runs the request.
    pub(super) fn record_run(&mut self) {
        self.runs += 1;
        self.reached_upstream = true;
    }

    /// Returns the refusal for a request that is given up for the reason of `refusal`, which says
    /// that it did not run.
    pub(super) fn refusal(&self, refusal: Refusal) -> Refusal {
        if self.runs > 0 { Refusal::Failed } else { refusal }
    }

    /// Records that the request is offered to an engine from now on; returns which connection it may use.
    pub(super) fn begin_offer(&mut self, upstream: &Upstream, now: Instant) -> Reuse {
        self.is_offered = true;
        self.offers.add(upstream, now)
    }

    /// Records that the newest offer has an outcome.
    pub(super) fn end_offer(&mut self) {
        self.is_offered = false;
    }

    /// Takes the newest offer back if it was given up before it had an outcome.
    pub(super) fn take_back_offer(&mut self) {
        if std::mem::take(&mut self.is_offered) {
            self.offers.take_back();
        }
    }

    /// Returns whether the stages may run once more.
    pub(super) fn may_run_stages(&self) -> bool {
        self.stage_runs <= MAX_STAGE_RUNS
    }
}
