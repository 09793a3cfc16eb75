//! Handles the outcomes of calls: delivers each result once, and queues lost pieces again.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use registry::RequestDigest;
use tokio::time::Instant;

use super::calls::Known;
use super::{CallEnd, State};
use crate::batch::message::{FromOwner, PiecesDone};
use crate::batch::queue::Piece;
use crate::budget::{Retries, Share, Spender};
use crate::dialect::{Dialect, PieceFailure, PieceResult};
use crate::exchange::Cause;
use crate::incarnation::Incarnation;
use crate::quarantine::RunTimes;
use crate::section::Section;

/// How often a piece may be sent.
const MAX_SENDS: u32 = 3;

/// After this many lost calls a piece is only sent with pieces of its own job. A single call is now
/// and then lost with its upstream, and calls of few pieces cost nearly as much as full ones.
const ISOLATE_AFTER: u32 = 2;

impl<D: Dialect> State<D> {
    /// Queues the pieces of overdue calls again where they may be sent again. The others stay with
    /// their call, which may still answer.
    pub(super) fn requeue_overdue(&mut self, now: Instant) {
        for piece in self.calls.take_overdue(now) {
            if !self.is_taken_over(&piece) {
                self.try_requeue(&piece, now);
            }
        }
    }

    /// Lets the upstreams of calls that are silent get other calls. Their pieces are queued again as those of
    /// failed calls, but fail only with the last call that has them.
    pub(super) fn leave_silent(&mut self, now: Instant) {
        for number in self.calls.leave_silent(now) {
            let Some(call) = self.calls.silent(number) else { continue };
            let (upstream, pieces) = (Arc::clone(&call.upstream), call.pieces.clone());
            log::warn!(upstream:% = upstream.id, section:% = call.section, pieces = pieces.len();
                "an upstream is silent with a call; other upstreams may get its pieces");
            if let Some(queue) = self.queues.get_mut(&call.section) {
                queue.call_ended(&upstream.id, pieces.len(), None, now);
            }
            upstream.record_failure(false);
            upstream.check_path();
            self.requeue_all(&pieces, now);
        }
    }

    /// Drops silent calls that nobody waits for.
    pub(super) fn abandon_unwanted(&mut self) {
        let jobs = &self.jobs;
        let wanted =
            |it: &Piece| jobs.get(&it.job).is_some_and(|job| job.left.contains(&it.segment));
        self.calls.abandon(wanted);
    }

    /// Returns whether a piece waits for another call, or runs in another one that is in time.
    fn is_taken_over(&self, piece: &Piece) -> bool {
        self.queues.values().any(|it| it.has_piece(piece)) || self.calls.hold_in_time(piece)
    }

    /// Queues a piece again unless another call takes it over, or fails it if it may not be sent again and no
    /// other call has it.
    fn requeue_or_fail(&mut self, piece: &Piece, now: Instant) {
        if !self.is_taken_over(piece) && !self.try_requeue(piece, now) && !self.calls.hold(piece) {
            self.deliver(piece, Err(PieceFailure::Failed), now, Duration::ZERO);
        }
    }

    /// Queues a piece again if it is still wanted and may be sent again. Returns whether it was
    /// queued.
    fn try_requeue(&mut self, piece: &Piece, now: Instant) -> bool {
        let Some(open) = self.jobs.get(&piece.job) else { return false };
        if !open.left.contains(&piece.segment) {
            return false;
        }
        let section = open.section.clone();
        let held = piece.request.is_some_and(|it| self.shared.quarantine.is_quarantined(&it));
        if held || piece.sends >= MAX_SENDS {
            log::info!(request = &*piece.attempt, section:% = section, sends = piece.sends, held;
                "a piece is not sent again");
            return false;
        }
        let owners = Share::Equal(self.shared.directory().sections(&section.service).len());
        let (budget, one) = (&self.shared.budget, Retries(1.0));
        let Ok(permit) = budget.take(&section.service, Spender::Owner, one, owners, now) else {
            log::info!(request = &*piece.attempt, section:% = section, sends = piece.sends;
                "a piece is not sent again: the retry budget is used up");
            return false;
        };
        if let Some(queue) = self.queues.get_mut(&section) {
            queue.push(Piece { permit: Some(Arc::new(permit)), ..piece.clone() });
        }
        true
    }

    fn section_of(&self, piece: &Piece) -> Option<Section> {
        self.jobs.get(&piece.job).map(|it| it.section.clone())
    }

    pub(super) fn call_ended(&mut self, mut end: CallEnd) {
        let now = Instant::now();
        let known = self.calls.end(&end.upstream.id, end.call);
        let whole = end.outcome.is_ok();
        if known == Known::InTime
            && let Some(queue) = self.queues.get_mut(&end.section)
        {
            queue.call_ended(&end.upstream.id, end.pieces.len(), whole.then_some(end.took), now);
        }
        match end.outcome {
            Ok(ref answer) => {
                let incarnation = end.upstream.observe(answer.start_time);
                if incarnation == Incarnation::Ended {
                    log::warn!(upstream:% = end.upstream.id, pieces = end.pieces.len();
                        "ignored results from an earlier incarnation of an upstream; requeuing their pieces");
                    self.requeue_all(&end.pieces, now);
                    return;
                }
                if incarnation == Incarnation::Newer
                    && let Some(queue) = self.queues.get_mut(&end.section)
                {
                    queue.restarted(&end.upstream.id);
                }
                end.upstream.record_success();
                for (piece, result) in end.pieces.iter().zip(&answer.results) {
                    self.handle_result(&end, piece, result.clone(), now);
                }
            }
            Err(fault) => {
                log::warn!(upstream:% = end.upstream.id, section:% = end.section,
                    pieces = end.pieces.len(), cause:% = fault,
                    ms = end.took.as_millis() as u64; "a call with pieces failed");
                let is_recorded = known == Known::Silent && fault.cause == Cause::Timeout;
                if !is_recorded && (!fault.not_run || fault.unreachable) {
                    end.upstream.record_failure(fault.unreachable);
                }
                if fault.not_run
                    && let Some(queue) = self.queues.get_mut(&end.section)
                {
                    queue.call_not_run(&end.upstream.id);
                }
                match fault.cause {
                    Cause::Lost => self.record_lost(&mut end, now),
                    Cause::Refused(_) => {
                        if let Some(queue) = self.queues.get_mut(&end.section) {
                            queue.call_refused(&end.upstream.id, now);
                        }
                    }
                    _ => {}
                }
                if fault.unreachable
                    && !end.pieces.iter().any(|it| self.is_taken_over(it))
                    && self.available_upstreams(&end.section, now) > 0
                {
                    self.requeue_unsent(end.pieces);
                } else {
                    self.requeue_all(&end.pieces, now);
                }
            }
        }
    }

    /// Records that a call lost its connection. One of its requests may have ended the upstream.
    fn record_lost(&mut self, end: &mut CallEnd, now: Instant) {
        if let Some(queue) = self.queues.get_mut(&end.section) {
            queue.call_lost(&end.upstream.id, now);
        }
        let sent = now.checked_sub(end.took).unwrap_or(now);
        let requests: BTreeSet<RequestDigest> =
            end.pieces.iter().filter_map(|it| it.request).collect();
        for request in requests {
            let times = RunTimes { sent, first: None };
            self.shared.quarantine.record_lost_run((request, &[]), &end.upstream, times);
        }
        for piece in &mut end.pieces {
            piece.lost_calls += 1;
            piece.isolated |= piece.lost_calls >= ISOLATE_AFTER;
        }
    }

    /// Queues pieces again that reached no upstream. This does not count as a retry.
    fn requeue_unsent(&mut self, pieces: Vec<Piece>) {
        for mut piece in pieces {
            piece.sends = piece.sends.saturating_sub(1);
            let Some(section) = self.section_of(&piece) else { continue };
            if let Some(queue) = self.queues.get_mut(&section) {
                queue.push(piece);
            }
        }
    }

    /// Queues the pieces of a failed call again, except those that other calls take over.
    fn requeue_all(&mut self, pieces: &[Piece], now: Instant) {
        for piece in pieces {
            self.requeue_or_fail(piece, now);
        }
    }

    fn handle_result(&mut self, end: &CallEnd, piece: &Piece, result: PieceResult, now: Instant) {
        match result {
            Ok(handle) => {
                if let Some(queue) = self.queues.get_mut(&end.section) {
                    queue.result_stored(
                        &end.upstream.id,
                        piece.result_bytes,
                        Arc::clone(&handle),
                        now,
                    );
                }
                if !self.deliver(piece, Ok(Arc::clone(&handle)), now, end.took) {
                    // No submitter waits for the result any more.
                    self.release(vec![handle.to_string()]);
                }
            }
            Err(PieceFailure::NoRoom) => {
                if let Some(queue) = self.queues.get_mut(&end.section) {
                    let believed = queue.free_bytes(&end.upstream.id, now);
                    let error = queue.result_refused(&end.upstream.id, piece.result_bytes, now);
                    log::info!(request = &*piece.attempt, section:% = end.section,
                        upstream:% = end.upstream.id, sends = piece.sends, believed, error,
                        size = piece.result_bytes;
                        "a result found no space");
                    self.shared.metrics.record_space_error(&end.section.service, error);
                }
                self.requeue_or_fail(piece, now);
            }
            Err(PieceFailure::Failed) => self.requeue_or_fail(piece, now),
            // The other call may have fetched the inputs before they were released.
            Err(PieceFailure::InputGone) if self.is_pending(piece) => {}
            Err(failure) => {
                self.deliver(piece, Err(failure), now, end.took);
            }
        }
    }

    /// Returns whether another call has the piece, or is to get it.
    fn is_pending(&self, piece: &Piece) -> bool {
        self.calls.hold(piece) || self.queues.values().any(|it| it.has_job(piece.job))
    }

    /// Delivers the result of a piece once, after a call that took `took`. Returns whether a
    /// submitter waits for it.
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
        let wait = now.saturating_duration_since(piece.queued_at).saturating_sub(took);
        done.wait_ms = wait.as_millis() as u32;
        done.call_ms = took.as_millis() as u32;
        if open.left.is_empty() {
            self.jobs.remove(&piece.job);
        }
        true
    }

    /// Sends the results of this step, and releases those whose submitter is gone.
    pub(super) fn send_results(&mut self) {
        for (replies, done) in std::mem::take(&mut self.outbox).into_values() {
            let Err(unsent) = replies.send(FromOwner::Results(done)) else { continue };
            let FromOwner::Results(done) = unsent.0 else { continue };
            let handles = done.results.into_iter().filter_map(|it| it.1.ok());
            self.release(handles.collect());
        }
    }
}
