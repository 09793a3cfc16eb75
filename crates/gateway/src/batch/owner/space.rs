//! Asks upstreams how much space they have for results, where this owner cannot know it or its
//! account was wrong.
//!
//! Without this, an entry that has just become the owner of a service treats upstreams as empty
//! that store results of the previous owner. They refuse the pieces that find no space, the retry
//! budget runs out, and requests fail in the seconds after a loss of all power.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::{OwnerEvent, State};
use crate::dialect::{Dialect, SpaceReport};
use crate::exchange;
use crate::incarnation::Incarnation;
use crate::section::Section;
use crate::upstream::Upstream;

#[cfg(test)]
mod tests;

/// How long knowledge of an upstream's space stays valid without a call of this owner. Results live
/// for a few seconds, and another owner may have filled the upstream meanwhile.
const SPACE_VALIDITY: Duration = Duration::from_secs(4);

/// How long a call waits for the answer. After that the upstream is treated as empty.
const SPACE_TIMEOUT: Duration = Duration::from_millis(150);

/// The shortest time between two queries of one upstream. A report costs as much as a health check.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// The state of the query for an upstream's free space.
#[derive(Clone, Copy)]
pub(super) struct SpaceQuery {
    asked: Instant,
    answered: bool,
    /// When the last call was sent, or the query if there was none since.
    last_call: Instant,
    /// When the upstream was last asked, if that was to correct the account.
    refreshed: Option<Instant>,
}

impl SpaceQuery {
    /// Returns whether the upstream may be asked for another report; if so, counts it as asked.
    fn refresh(&mut self, now: Instant) -> bool {
        let last = self.refreshed.map_or(self.asked, |it| it.max(self.asked));
        let may_ask = now.duration_since(last) >= REFRESH_INTERVAL;
        if may_ask {
            self.refreshed = Some(now);
        }
        may_ask
    }
}

impl<D: Dialect> State<D> {
    /// Returns whether a call may be sent to an upstream. If its free space is not known, asks the
    /// upstream for it first.
    pub(super) fn is_space_known(
        &mut self,
        upstream: &Arc<Upstream>,
        section: &Section,
        now: Instant,
    ) -> bool {
        if upstream.limit_named().is_some() {
            // A query would take the place of a call.
            return true;
        }
        let known = self.space_queries.get(&upstream.id).copied();
        let fresh =
            known.filter(|it| now.duration_since(it.last_call.max(it.asked)) < SPACE_VALIDITY);
        let Some(query) = fresh else {
            self.query_space(upstream, section, now);
            return false;
        };
        query.answered || now.duration_since(query.asked) >= SPACE_TIMEOUT
    }

    /// Records that a call is sent to an upstream.
    pub(super) fn record_call(&mut self, upstream: &str, now: Instant) {
        if let Some(query) = self.space_queries.get_mut(upstream) {
            query.last_call = now;
        }
    }

    /// Handles an upstream's answer, which is `None` if there was none.
    pub(super) fn handle_space_report(
        &mut self,
        upstream: &Upstream,
        section: &Section,
        report: Option<SpaceReport>,
    ) {
        let now = Instant::now();
        if let Some(query) = self.space_queries.get_mut(&upstream.id) {
            query.answered = true;
        }
        let Some(report) = report else { return };
        let Some(queue) = self.queues.get_mut(section) else { return };
        match upstream.observe(report.start_time) {
            Incarnation::Ended => return,
            Incarnation::Newer => queue.restarted(&upstream.id),
            Incarnation::Current => {}
        }
        let Some(free) = report.free else { return };
        let believed = queue.free_bytes(&upstream.id, now);
        let foreign = queue.set_free_bytes(&upstream.id, free, now);
        self.shared.metrics.record_space_report(&section.service);
        log::info!(upstream:% = upstream.id, section:% = section, free = free.bytes, foreign, believed;
            "an upstream reported its free space for results");
    }

    /// Asks the upstreams of a section for their free space whose accounts were found to be wrong.
    /// Calls do not wait for the answers.
    pub(super) fn refresh_space(
        &mut self,
        section: &Section,
        upstreams: &[Arc<Upstream>],
        now: Instant,
    ) {
        let Some(queue) = self.queues.get(section) else { return };
        for upstream in upstreams {
            if !queue.wants_report(&upstream.id) || upstream.limit_named().is_some() {
                continue;
            }
            let Some(query) = self.space_queries.get_mut(&upstream.id) else { continue };
            if !query.refresh(now) {
                continue;
            }
            self.ask_space(upstream, section, now);
        }
    }

    fn query_space(&mut self, upstream: &Arc<Upstream>, section: &Section, now: Instant) {
        // Removes upstreams that are gone, which are never asked again.
        self.space_queries
            .retain(|_, it| now.duration_since(it.last_call.max(it.asked)) < SPACE_VALIDITY * 4);
        let query = SpaceQuery { asked: now, answered: false, last_call: now, refreshed: None };
        self.space_queries.insert(Arc::clone(&upstream.id), query);
        self.ask_space(upstream, section, now);
    }

    fn ask_space(&self, upstream: &Arc<Upstream>, section: &Section, now: Instant) {
        let (events, upstream, section) =
            (self.events.clone(), Arc::clone(upstream), section.clone());
        tokio::spawn(async move {
            let report = match exchange::query_space::<D>(&upstream, now + SPACE_TIMEOUT).await {
                Ok(report) => Some(report),
                Err(fault) => {
                    log::info!(upstream:% = upstream.id, cause:% = fault;
                        "an upstream did not report its free space for results");
                    None
                }
            };
            events.send(OwnerEvent::SpaceReport(upstream, section, report));
        });
    }
}
