//! The progress of one job at one owner, and its end.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

use super::{BatchClient, JobSpec, StageTimes};
use crate::batch::link::{Link, release_of};
use crate::batch::message::{FromOwner, Job, JobInput, PiecesDone, ToOwner};
use crate::batch::owner::{LOCAL_ORIGIN, Owner, OwnerEvent};
use crate::dialect::{Dialect, Handle, PieceFailure, PieceInput};

/// How a job ended at one owner.
pub(super) enum JobEnd {
    Done,
    Failed(PieceFailure),
    Silent,
    /// The owner refused the connection and received nothing.
    Unreachable,
    /// The owner did not accept the job.
    Refused,
}

/// The completed and the outstanding pieces of a job. If dropped before all are completed, it
/// releases the results.
pub(super) struct Progress<'a, D: Dialect> {
    pub(super) client: &'a BatchClient<D>,
    pub(super) input: &'a PieceInput,
    pub(super) done: BTreeMap<u32, Handle>,
    pub(super) left: BTreeSet<u32>,
    pub(super) first: Option<Instant>,
    /// The wait and call times of the results that arrived last.
    pub(super) times: StageTimes,
}

impl<D: Dialect> Progress<'_, D> {
    /// Handles a message from the owner and returns how the job ended, if it did.
    pub(super) fn handle_answer(&mut self, answer: FromOwner) -> Option<JobEnd> {
        let done = match answer {
            FromOwner::Results(done) => done,
            FromOwner::Refused(_) => return Some(JobEnd::Refused),
            FromOwner::Fetched(_) => {
                if let PieceInput::Results(handles) = self.input {
                    self.client.free_early(handles);
                }
                return None;
            }
            FromOwner::Accepted(_)
            | FromOwner::Heartbeat
            | FromOwner::Lent(..)
            | FromOwner::Relayed(_)
            | FromOwner::Relay(_)
            | FromOwner::VersionedRelay(..)
            | FromOwner::CompleteRelay(..)
            | FromOwner::Backlog(..)
            | FromOwner::SectionBacklog(_) => return None,
        };
        self.times = StageTimes {
            wait: Duration::from_millis(done.wait_ms.into()),
            call: Duration::from_millis(done.call_ms.into()),
        };
        for (segment, result) in done.results {
            match result {
                Ok(handle) if self.left.remove(&segment) => {
                    self.done.insert(segment, handle.into());
                    self.first.get_or_insert_with(Instant::now);
                }
                // Another owner has made the same piece.
                Ok(handle) => self.release_again(segment, handle.into()),
                Err(failure) => return Some(JobEnd::Failed(failure)),
            }
        }
        self.left.is_empty().then_some(JobEnd::Done)
    }
}

impl<D: Dialect> Progress<'_, D> {
    /// Releases a result that is not used, because the piece has another one.
    fn release_again(&self, segment: u32, handle: Handle) {
        if self.done.get(&segment) != Some(&handle) {
            self.client.free(&[handle]);
        }
    }
}

/// Builds the message that submits the outstanding pieces.
pub(super) fn job_message(id: u64, spec: &JobSpec, resubmitted: bool, left: &BTreeSet<u32>) -> Job {
    let now = Instant::now();
    let input = match &spec.input {
        PieceInput::Key(key) => JobInput::Key(key.to_string()),
        PieceInput::Results(handles) => {
            JobInput::Results(handles.iter().map(ToString::to_string).collect())
        }
    };
    let early = spec.due.saturating_duration_since(now).as_millis() as i64;
    let late = now.saturating_duration_since(spec.due).as_millis() as i64;
    Job {
        id,
        service: spec.service.to_string(),
        attempt: spec.attempt.to_string(),
        stage: spec.stage,
        segments: left.iter().copied().collect(),
        input,
        result_bytes: spec.result_bytes,
        domain: spec.domain.as_ref().map(ToString::to_string),
        transfer_bytes: spec.transfer_bytes,
        rank: spec.rank,
        due_ms: early - late,
        remaining_ms: spec.deadline.saturating_duration_since(now).as_millis() as u64,
        resubmitted,
    }
}

impl<D: Dialect> Drop for Progress<'_, D> {
    fn drop(&mut self) {
        let handles: Vec<Handle> = std::mem::take(&mut self.done).into_values().collect();
        self.client.free(&handles);
    }
}

/// A job at this entry's own owner. Dropping it, when its request ends, cancels it, so that no
/// piece runs for a caller that left.
pub(super) struct LocalJob {
    pub(super) owner: Owner,
    pub(super) id: u64,
}

impl LocalJob {
    /// Has the owner release results that are not used.
    pub(super) fn free(&self, done: PiecesDone) {
        if let Some(message) = release_of(done) {
            let (replies, _) = mpsc::unbounded_channel();
            self.owner.send(OwnerEvent::Message(LOCAL_ORIGIN, message, replies));
        }
    }
}

impl Drop for LocalJob {
    fn drop(&mut self) {
        let (replies, _) = mpsc::unbounded_channel();
        self.owner.send(OwnerEvent::Message(LOCAL_ORIGIN, ToOwner::Cancel(self.id), replies));
    }
}

/// A job at another entry. Dropping it, when its request ends, cancels it.
pub(super) struct RemoteJob {
    pub(super) link: Arc<Link>,
    pub(super) id: u64,
}

impl Drop for RemoteJob {
    fn drop(&mut self) {
        self.link.forget(self.id);
        self.link.send(ToOwner::Cancel(self.id));
    }
}
