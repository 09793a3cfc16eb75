//! What an owner sends besides calls and results: backlogs, notices of fetched inputs, and releases
//! of results.

use std::collections::HashSet;
use std::time::Duration;

use tokio::time::Instant;

use super::{OwnerEvent, State};
use crate::backlog::Backlog;
use crate::batch::message::{FromOwner, SectionBacklog};
use crate::batch::queue::BookedWork;
use crate::dialect::{Dialect, PieceInput};
use crate::exchange;

impl<D: Dialect> State<D> {
    /// Sends the backlogs to the entries that submit jobs, so that they can refuse requests that would
    /// be late.
    pub(super) fn send_backlogs(&mut self, now: Instant) {
        let mut any = false;
        let had = self.backlogs_sent.1;
        for (section, queue) in &self.queues {
            if queue.is_empty() && !had {
                continue;
            }
            any |= !queue.is_empty();
            let available = self.available_upstreams(section, now);
            let ms = |it: Duration| it.as_millis() as u32;
            let backlog = Backlog {
                waits: queue.backlog(available, &BookedWork::default(), now).map(ms),
                timely: queue.timely_backlog(available, &BookedWork::default(), now).map(ms),
                need: ms(queue.min_latency(available)),
            };
            self.shared.backlogs.set(section.clone(), backlog);
            let message = SectionBacklog {
                service: section.service.to_string(),
                domain: section.domain.as_ref().map(ToString::to_string),
                backlog,
            };
            for replies in self.audience.interested(now) {
                // The event for a connection that has ended removes it here.
                let _ = replies.send(FromOwner::SectionBacklog(message.clone()));
            }
        }
        self.backlogs_sent = (now, any);
    }

    /// Tells the submitters of calls in flight when the inputs have been fetched.
    pub(super) fn send_fetched(&mut self, now: Instant) {
        for call in self.calls.in_time() {
            if call.fetched_sent || now < call.fetched_at || call.is_overdue {
                continue;
            }
            call.fetched_sent = true;
            let mut jobs = HashSet::new();
            for piece in &call.pieces {
                let has_inputs = matches!(piece.input, PieceInput::Results(_));
                let waits = self.queues.values().any(|it| it.has_job(piece.job));
                if !has_inputs || waits || !jobs.insert(piece.job) {
                    continue;
                }
                if let Some(open) = self.jobs.get(&piece.job) {
                    // The submitter may have ended meanwhile.
                    let _ = open.replies.send(FromOwner::Fetched(piece.job.id));
                }
            }
        }
    }

    /// Tells upstreams which results are no longer needed.
    pub(super) fn send_releases(&mut self) {
        let directory = self.shared.directory();
        for (address, handles) in self.released.drain() {
            let Some(holder) = directory.holder(address).cloned() else { continue };
            if holder.limit_named().is_some() {
                // The results expire on their own; a message would take the place of a call.
                continue;
            }
            let events = self.events.clone();
            tokio::spawn(async move {
                match exchange::free::<D>(&holder, &handles).await {
                    Ok(()) => events.send(OwnerEvent::ResultsFreed(holder, handles)),
                    Err(fault) => log::debug!(upstream:% = holder.id, cause:% = fault;
                        "could not tell an upstream to drop results; they expire on their own"),
                }
            });
        }
    }
}
