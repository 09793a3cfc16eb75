//! Asks upstreams what room for results they have, where this owner cannot know it.
//!
//! What goes wrong otherwise: an entry that has just become the owner of a service takes upstreams that
//! keep results of the owner before for empty. They refuse the pieces that find no room, the retry budget
//! ends, and requests fail in the seconds after a loss of all power.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::{OwnerEvent, State};
use crate::dialect::{Dialect, RoomReport};
use crate::exchange;
use crate::incarnation::Incarnation;
use crate::section::Section;
use crate::upstream::Upstream;

/// After how long without a call of this owner its knowledge of an upstream is void. Results live for
/// some seconds, and another owner may have filled it meanwhile.
const FORGET: Duration = Duration::from_secs(4);

/// How long a call waits for the answer; what an upstream keeps is then taken for nothing.
const ANSWER: Duration = Duration::from_millis(150);

/// What is known of an upstream's room.
#[derive(Clone, Copy)]
pub(super) struct Survey {
    asked: Instant,
    answered: bool,
    used: Instant,
}

impl<D: Dialect> State<D> {
    /// Whether a call may go to an upstream; asks it for its room first where that is not known.
    pub(super) fn is_surveyed(
        &mut self,
        upstream: &Arc<Upstream>,
        section: &Section,
        now: Instant,
    ) -> bool {
        let known = self.surveys.get(&upstream.id).copied();
        let fresh = known.filter(|it| now.duration_since(it.used.max(it.asked)) < FORGET);
        let Some(survey) = fresh else {
            self.ask_room(upstream, section, now);
            return false;
        };
        survey.answered || now.duration_since(survey.asked) >= ANSWER
    }

    /// Notes that an upstream gets a call.
    pub(super) fn uses(&mut self, upstream: &str, now: Instant) {
        if let Some(survey) = self.surveys.get_mut(upstream) {
            survey.used = now;
        }
    }

    /// Takes an upstream's answer; `None` where it gave none.
    pub(super) fn take_room(
        &mut self,
        upstream: &Upstream,
        section: &Section,
        report: Option<RoomReport>,
    ) {
        let now = Instant::now();
        if let Some(survey) = self.surveys.get_mut(&upstream.id) {
            survey.answered = true;
        }
        let Some(report) = report else { return };
        let Some(queue) = self.queues.get_mut(section) else { return };
        match upstream.observe(report.start_time) {
            Incarnation::Ended => return,
            Incarnation::Newer => queue.reborn(&upstream.id),
            Incarnation::Current => {}
        }
        let Some(free) = report.free else { return };
        queue.set_free(&upstream.id, free, now);
        log::info!(upstream:% = upstream.id, section:% = section, free,
            foreign = queue.foreign(&upstream.id, now); "an upstream told its room");
    }

    fn ask_room(&mut self, upstream: &Arc<Upstream>, section: &Section, now: Instant) {
        // Upstreams that are gone are never asked again.
        self.surveys.retain(|_, it| now.duration_since(it.used.max(it.asked)) < FORGET * 4);
        let survey = Survey { asked: now, answered: false, used: now };
        self.surveys.insert(Arc::clone(&upstream.id), survey);
        let (events, upstream, section) =
            (self.events.clone(), Arc::clone(upstream), section.clone());
        tokio::spawn(async move {
            let report = match exchange::room::<D>(&upstream, now + ANSWER).await {
                Ok(report) => Some(report),
                Err(fault) => {
                    log::info!(upstream:% = upstream.id, cause:% = fault;
                        "an upstream does not tell its room; it is taken for empty");
                    None
                }
            };
            // The owner's task ends only with the process.
            let _ = events.send(OwnerEvent::Room(upstream, section, report));
        });
    }
}
