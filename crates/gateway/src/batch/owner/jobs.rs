//! Jobs that come in, and those that are handed back when this entry ends.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use registry::RequestDigest;
use tokio::time::Instant;

use super::{OWN, Open, Replies, State};
use crate::batch::message::{FromOwner, Job, JobInput, PiecesDone};
use crate::batch::queue::{JobKey, Piece, Queue};
use crate::dialect::{Dialect, Handle, PieceFailure, PieceInput};
use crate::section::Section;

/// What else a job was submitted with; an entry of an earlier release tells less.
#[derive(Debug, Default)]
pub(super) struct Asked {
    /// The failure domain of its section, where the service is split.
    pub(super) domain: Option<String>,
    /// The request that it is for.
    pub(super) digest: Option<RequestDigest>,
}

impl<D: Dialect> State<D> {
    /// Takes a job: its pieces wait in the queue of their section.
    pub(super) fn submit(&mut self, origin: u64, asked: Asked, job: Job, replies: Replies) {
        if origin != OWN {
            self.peers.entry(origin).or_insert_with(|| replies.clone());
        }
        let now = Instant::now();
        let plan = self.shared.plan();
        let service: Arc<str> = job.service.as_str().into();
        let spec = plan.as_ref().and_then(|it| it.services.get(&service)).and_then(|it| it.batch);
        // The submitter may have ended meanwhile, here and below.
        if self.shared.drain.is_ending() && origin != OWN {
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
        self.shared.budget.record_request(&service, now);
        let section = match asked.domain {
            Some(domain) => Section { service, domain: Some(domain.into()) },
            // Of an entry that knows no sections. Another owner works with the rest of the upstreams.
            None => self.own_section(&service),
        };
        let key = JobKey { origin, id: job.id };
        let left = job.segments.iter().copied().collect();
        let alone = asked.digest.is_some_and(|it| self.shared.quarantine.is_suspected(&it));
        let queue = self.queues.entry(section.clone()).or_insert_with(|| Queue::new(spec));
        queue.set_spec(spec);
        for piece in pieces(key, job, now) {
            queue.push(Piece { request: asked.digest, alone, ..piece });
        }
        self.jobs.insert(key, Open { section, replies, left });
    }

    /// The section of this entry's failure domain, where a service is split.
    fn own_section(&self, service: &Arc<str>) -> Section {
        let sections = self.shared.directory().sections(service).into_iter();
        let mut own = sections.filter(|it| it.domain.as_ref() == Some(&self.shared.domain));
        own.next().unwrap_or_else(|| Section::whole(service))
    }

    /// Hands the jobs of which nothing was sent yet back to other entries, once this one ends.
    pub(super) fn hand_back(&mut self) {
        self.handed_back = true;
        let flying: HashSet<JobKey> =
            self.flying.values().flat_map(|it| &it.pieces).map(|it| it.job).collect();
        let mut back = HashSet::new();
        self.jobs.retain(|key, open| {
            if key.origin == OWN || flying.contains(key) {
                return true;
            }
            back.insert(*key);
            // The submitter may have ended meanwhile.
            let _ = open.replies.send(FromOwner::Refused(key.id));
            false
        });
        log::info!(jobs = back.len(); "handed waiting jobs back");
        self.queues.values_mut().for_each(|it| it.drop_jobs(|key| back.contains(&key)));
    }
}

/// Makes the pieces of a job that has come now.
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
        size: job.size,
        domain: domain.clone(),
        weight: job.weight,
        due,
        deadline: now + Duration::from_millis(job.left_ms),
        since: now,
        sent: u32::from(job.again),
        request: None,
        alone: false,
        lost: 0,
    })
}
