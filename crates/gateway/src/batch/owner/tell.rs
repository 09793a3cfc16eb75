//! What an owner tells besides results: waits, fetched inputs, and results that are given up.

use std::collections::HashSet;
use std::time::Duration;

use tokio::time::Instant;

use super::{OwnerEvent, State};
use crate::backlog::Backlog;
use crate::batch::message::{FromOwner, SectionNews};
use crate::dialect::{Dialect, PieceInput};
use crate::exchange;

impl<D: Dialect> State<D> {
    /// Tells every entry how long pieces wait, so that it can refuse what would come too late.
    pub(super) fn tell_backlogs(&mut self, now: Instant) {
        let mut any = false;
        let had = self.told.1;
        for (section, queue) in &self.queues {
            if queue.is_empty() && !had {
                continue;
            }
            any |= !queue.is_empty();
            let lanes = self.lanes(section, now);
            let ms = |it: Duration| it.as_millis() as u32;
            let backlog = Backlog {
                waits: queue.backlog(lanes).map(ms),
                timely: queue.timely_backlog(lanes, now).map(ms),
                need: ms(queue.need(lanes)),
            };
            self.shared.backlogs.set(section.clone(), backlog);
            let news = SectionNews {
                service: section.service.to_string(),
                domain: section.domain.as_ref().map(ToString::to_string),
                backlog,
            };
            for peer in self.peers.values() {
                // A connection that has ended is removed by its own event.
                let _ = peer.send(FromOwner::Section(news.clone()));
            }
        }
        self.told = (now, any);
    }

    /// Tells the submitters of calls under way once their inputs are fetched.
    pub(super) fn tell_fetched(&mut self, now: Instant) {
        for flying in self.flying.values_mut() {
            if flying.told_fetched || now < flying.fetched || flying.overtaken {
                continue;
            }
            flying.told_fetched = true;
            let mut jobs = HashSet::new();
            for piece in &flying.pieces {
                let has_inputs = matches!(piece.input, PieceInput::Results(_));
                let waits = self.queues.values().any(|it| it.has(piece.job));
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

    /// Tells upstreams which results nobody needs any more.
    pub(super) fn send_free(&mut self) {
        let directory = self.shared.directory();
        for (address, handles) in self.free.drain() {
            let keeper = directory.all().find(|it| it.address == address);
            let Some(keeper) = keeper.cloned() else { continue };
            let events = self.events.clone();
            tokio::spawn(async move {
                match exchange::free::<D>(&keeper, &handles).await {
                    // The owner's task ends only with the process.
                    Ok(()) => drop(events.send(OwnerEvent::Freed(keeper, handles))),
                    Err(fault) => log::debug!(upstream:% = keeper.id, cause:% = fault;
                        "results could not be given up; they end by themselves"),
                }
            });
        }
    }
}
