//! What comes of calls: results are delivered once, lost pieces go back into their queue.

use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;
use std::time::Duration;

use registry::RequestDigest;
use tokio::time::Instant;

use super::{CallEnd, Flying, State};
use crate::batch::message::{FromOwner, PiecesDone};
use crate::batch::queue::{JobKey, Piece};
use crate::dialect::{Dialect, PieceFailure, PieceResult};
use crate::exchange::Cause;
use crate::incarnation::Incarnation;
use crate::quarantine::RunTimes;
use crate::section::Section;

/// How often one piece may be sent.
const SENDS: u32 = 3;

/// After so many lost calls a piece is called with pieces of its own job only. One call is lost with its
/// upstream now and then, and calls of few pieces cost nearly as much as full ones.
const LOST_ALONE: u32 = 2;

impl<D: Dialect> State<D> {
    /// Puts the pieces of calls that are overdue back, where they may be sent again; the others stay with
    /// their call, which may still answer.
    pub(super) fn requeue_overdue(&mut self, now: Instant) {
        let is_late = |it: &Flying| !it.overtaken && now >= it.overdue;
        let late: Vec<Arc<str>> =
            self.flying.iter().filter(|it| is_late(it.1)).map(|it| Arc::clone(it.0)).collect();
        for upstream in late {
            let Some(mut flying) = self.flying.remove(&upstream) else { continue };
            flying.overtaken = true;
            for piece in &flying.pieces {
                if self.put_again(piece, now) {
                    flying.again.insert((piece.job, piece.segment));
                }
            }
            self.flying.insert(upstream, flying);
        }
    }

    /// Puts a piece back, or fails it where it may not be sent again.
    fn requeue(&mut self, piece: &Piece, now: Instant) {
        if !self.put_again(piece, now) {
            self.deliver(piece, Err(PieceFailure::Failed), now, Duration::ZERO);
        }
    }

    /// Puts a piece that is still wanted back, if it may be sent again; returns whether it was.
    fn put_again(&mut self, piece: &Piece, now: Instant) -> bool {
        let Some(open) = self.jobs.get(&piece.job) else { return false };
        let held = piece.request.is_some_and(|it| self.shared.quarantine.is_quarantined(&it));
        if held || piece.sent >= SENDS || !open.left.contains(&piece.segment) {
            return false;
        }
        let section = open.section.clone();
        let entries = self.shared.entries();
        if !self.shared.budget.take(&section.service, 1, entries, now) {
            return false;
        }
        if let Some(queue) = self.queues.get_mut(&section) {
            queue.push(piece.clone());
        }
        true
    }

    fn section_of(&self, piece: &Piece) -> Option<Section> {
        self.jobs.get(&piece.job).map(|it| it.section.clone())
    }

    pub(super) fn ended(&mut self, mut end: CallEnd) {
        let now = Instant::now();
        let flying = self.flying.remove(&end.upstream.id);
        let again = flying.filter(|it| it.call == end.call).map(|it| it.again).unwrap_or_default();
        let whole = end.outcome.is_ok();
        if let Some(queue) = self.queues.get_mut(&end.section) {
            queue.ended(&end.upstream.id, end.pieces.len(), whole.then_some(end.took), now);
        }
        match end.outcome {
            Ok(ref answer) => {
                let life = end.upstream.observe(answer.start_time);
                if life == Incarnation::Ended {
                    log::warn!(upstream:% = end.upstream.id, pieces = end.pieces.len();
                        "results of a life that has ended");
                    self.requeue_all(&end.pieces, &again, now);
                    return;
                }
                if life == Incarnation::Newer
                    && let Some(queue) = self.queues.get_mut(&end.section)
                {
                    queue.reborn(&end.upstream.id);
                }
                end.upstream.record_success();
                for (piece, result) in end.pieces.iter().zip(&answer.results) {
                    let elsewhere = again.contains(&(piece.job, piece.segment));
                    self.take_result(&end, piece, result.clone(), elsewhere, now);
                }
            }
            Err(fault) => {
                log::warn!(upstream:% = end.upstream.id, section:% = end.section,
                    pieces = end.pieces.len(), cause:% = fault,
                    ms = end.took.as_millis() as u64; "a call with pieces failed");
                if !fault.not_run || fault.unreachable {
                    end.upstream.record_failure(fault.unreachable);
                }
                match fault.cause {
                    Cause::Lost => self.note_lost(&mut end, now),
                    Cause::Refused(_) => {
                        if let Some(queue) = self.queues.get_mut(&end.section) {
                            queue.full(&end.upstream.id, now);
                        }
                    }
                    _ => {}
                }
                if fault.unreachable && again.is_empty() && self.lanes(&end.section, now) > 0 {
                    self.put_back(end.pieces);
                } else {
                    self.requeue_all(&end.pieces, &again, now);
                }
            }
        }
    }

    /// Notes that a call lost its connection: one of its requests may have ended the upstream.
    fn note_lost(&mut self, end: &mut CallEnd, now: Instant) {
        if let Some(queue) = self.queues.get_mut(&end.section) {
            queue.lost(&end.upstream.id, now);
        }
        let sent = now.checked_sub(end.took).unwrap_or(now);
        let requests: BTreeSet<RequestDigest> =
            end.pieces.iter().filter_map(|it| it.request).collect();
        for request in requests {
            let times = RunTimes { sent, first: None };
            self.shared.quarantine.record_lost_run(request, &end.upstream, times);
        }
        for piece in &mut end.pieces {
            piece.lost += 1;
            piece.alone |= piece.lost >= LOST_ALONE;
        }
    }

    /// Puts pieces back that reached no upstream. This counts as no repeat.
    fn put_back(&mut self, pieces: Vec<Piece>) {
        for mut piece in pieces {
            piece.sent = piece.sent.saturating_sub(1);
            let Some(section) = self.section_of(&piece) else { continue };
            if let Some(queue) = self.queues.get_mut(&section) {
                queue.push(piece);
            }
        }
    }

    /// Puts the pieces of a call without results back, but those that were sent elsewhere when it was overdue.
    fn requeue_all(&mut self, pieces: &[Piece], again: &HashSet<(JobKey, u32)>, now: Instant) {
        for piece in pieces {
            if !again.contains(&(piece.job, piece.segment)) {
                self.requeue(piece, now);
            }
        }
    }

    fn take_result(
        &mut self,
        end: &CallEnd,
        piece: &Piece,
        result: PieceResult,
        elsewhere: bool,
        now: Instant,
    ) {
        match result {
            Ok(handle) => {
                if let Some(queue) = self.queues.get_mut(&end.section) {
                    queue.kept(&end.upstream.id, piece.size, Arc::clone(&handle), now);
                }
                if !self.deliver(piece, Ok(Arc::clone(&handle)), now, end.took) {
                    // Nobody waits for it any more.
                    self.give_up(vec![handle.to_string()]);
                }
            }
            Err(PieceFailure::NoRoom) if !elsewhere => {
                if let Some(queue) = self.queues.get_mut(&end.section) {
                    queue.crowded(&end.upstream.id, piece.size, now);
                }
                self.requeue(piece, now);
            }
            Err(PieceFailure::Failed) if !elsewhere => self.requeue(piece, now),
            Err(PieceFailure::NoRoom | PieceFailure::Failed) => {}
            Err(failure) => {
                self.deliver(piece, Err(failure), now, end.took);
            }
        }
    }

    /// Answers a piece, once, after a call that `took` so long; returns whether somebody waits for it.
    pub(super) fn deliver(
        &mut self,
        piece: &Piece,
        result: PieceResult,
        now: Instant,
        took: Duration,
    ) -> bool {
        let Some(open) = self.jobs.get_mut(&piece.job) else { return false };
        if !open.left.remove(&piece.segment) {
            return false;
        }
        let done = PiecesDone { id: piece.job.id, ..PiecesDone::default() };
        let entry = self.outbox.entry(piece.job);
        let (_, done) = entry.or_insert_with(|| (open.replies.clone(), done));
        done.results.push((piece.segment, result.map(|it| it.to_string())));
        let wait = now.saturating_duration_since(piece.since).saturating_sub(took);
        done.wait_ms = wait.as_millis() as u32;
        done.call_ms = took.as_millis() as u32;
        if open.left.is_empty() {
            self.jobs.remove(&piece.job);
        }
        true
    }

    /// Tells the results of this turn; gives up those whose submitter is gone.
    pub(super) fn tell_results(&mut self) {
        for (replies, done) in std::mem::take(&mut self.outbox).into_values() {
            let Err(unsent) = replies.send(FromOwner::Results(done)) else { continue };
            let FromOwner::Results(done) = unsent.0 else { continue };
            let handles = done.results.into_iter().filter_map(|it| it.1.ok());
            self.give_up(handles.collect());
        }
    }
}
