//! Accepts jobs, and returns them when this entry shuts down.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use registry::RequestDigest;
use tokio::time::Instant;

use super::{LOCAL_ORIGIN, OpenJob, Replies, State};
use crate::batch::message::{FromOwner, Job, JobInput, PiecesDone};
use crate::batch::queue::{JobKey, Piece, Queue};
use crate::budget::Spender;
use crate::dialect::{Dialect, Handle, PieceFailure, PieceInput};

/// What a job was submitted with. Entries of earlier releases send less.
#[derive(Debug, Default)]
pub(super) struct SubmitContext {
    /// The failure domain of the job's section, if the service is split.
    pub(super) domain: Option<String>,
    /// The digest of the request.
    pub(super) digest: Option<RequestDigest>,
}

impl<D: Dialect> State<D> {
    /// Accepts a job and queues its pieces in its section.
    pub(super) fn submit(
        &mut self,
        origin: u64,
        context: SubmitContext,
        job: Job,
        replies: Replies,
    ) {
        let now = Instant::now();
        if origin != LOCAL_ORIGIN {
            self.audience.record_job(origin, &replies, now);
        }
        let plan = self.shared.plan();
        let service: Arc<str> = job.service.as_str().into();
        let spec = plan.as_ref().and_then(|it| it.services.get(&service)).and_then(|it| it.batch);
        // The submitter may have ended meanwhile, also for the replies below.
        if self.shared.drain.is_ending() && origin != LOCAL_ORIGIN {
            let _ = replies.send(FromOwner::Refused(job.id));
            return;
        }
        let _ = replies.send(FromOwner::Accepted(job.id));
        let Some(spec) = spec else {
            let results = job.segments.iter().map(|it| (*it, Err(PieceFailure::Failed))).collect();
            let done = PiecesDone { id: job.id, results, ..PiecesDone::default() };
            let _ = replies.send(FromOwner::Results(done));
            return;
        };
        let count = job.segments.len() as u32;
        if !job.resubmitted {
            self.shared.budget.record(&service, Spender::Owner, count, now);
        }
        let section = self.shared.job_section(&service, context.domain.as_deref(), job.rank);
        let key = JobKey { origin, id: job.id };
        let left = job.segments.iter().copied().collect();
        let isolated = context.digest.is_some_and(|it| self.shared.quarantine.is_suspected(&it));
        let queue = self.queues.entry(section.clone()).or_insert_with(|| Queue::new(spec));
        queue.set_spec(spec);
        for piece in pieces(key, job, now) {
            queue.push(Piece { request: context.digest, isolated, ..piece });
        }
        self.jobs.insert(key, OpenJob { section, replies, left });
    }

    /// Returns jobs of which no piece is in flight to their entries, because this entry is shutting
    /// down.
    pub(super) fn return_jobs(&mut self) {
        self.jobs_returned = true;
        let in_flight = self.calls.jobs();
        let mut back = HashSet::new();
        self.jobs.retain(|key, open| {
            if key.origin == LOCAL_ORIGIN || in_flight.contains(key) {
                return true;
            }
            back.insert(*key);
            // The submitter may have ended meanwhile.
            let _ = open.replies.send(FromOwner::Refused(key.id));
            false
        });
        log::info!(jobs = back.len();
            "returned waiting jobs to their entries because this entry is shutting down");
        self.queues.values_mut().for_each(|it| it.drop_jobs(|key| back.contains(&key)));
    }
}

/// Creates the pieces of a job that arrived now.
fn pieces(key: JobKey, job: Job, now: Instant) -> impl Iterator<Item = Piece> {
    let attempt: Arc<str> = job.attempt.into();
    let input = match job.input {
        JobInput::Key(key) => PieceInput::Key(key.into()),
        JobInput::Results(handles) => {
            PieceInput::Results(Arc::new(handles.into_iter().map(Handle::from).collect()))
        }
    };
    let domain: Option<Arc<str>> = job.domain.map(Arc::from);
    let due = match u64::try_from(job.due_ms) {
        Ok(ms) => now + Duration::from_millis(ms),
        Err(_) => now,
    };
    job.segments.into_iter().map(move |segment| Piece {
        job: key,
        attempt: Arc::clone(&attempt),
        stage: job.stage,
        segment,
        input: input.clone(),
        rank: job.rank,
        result_bytes: job.result_bytes,
        domain: domain.clone(),
        transfer_bytes: job.transfer_bytes,
        due,
        deadline: now + Duration::from_millis(job.remaining_ms),
        queued_at: now,
        sends: u32::from(job.resubmitted),
        request: None,
        isolated: false,
        lost_calls: 0,
        permit: None,
    })
}
