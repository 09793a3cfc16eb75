//! One job at one owner: what is done and left of it, and its end.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

use super::{Batches, JobSpec, StageTimes};
use crate::batch::link::Link;
use crate::batch::message::{FromOwner, Job, JobInput, ToOwner};
use crate::batch::owner::{OWN, Owner, OwnerEvent};
use crate::dialect::{Dialect, Handle, PieceFailure, PieceInput};

/// How a job ended at one owner.
pub(super) enum Ended {
    Done,
    Failed(PieceFailure),
    Silent,
    /// The owner refused the connection, and took nothing.
    Unreached,
    /// The owner took nothing.
    Refused,
}

/// A job's pieces that are done and those that are left. Dropped before all are done, it gives the
/// results up.
pub(super) struct Progress<'a, D: Dialect> {
    pub(super) batches: &'a Batches<D>,
    pub(super) input: &'a PieceInput,
    pub(super) done: BTreeMap<u32, Handle>,
    pub(super) left: BTreeSet<u32>,
    pub(super) first: Option<Instant>,
    /// The wait and the call of the results that came last.
    pub(super) times: StageTimes,
}

impl<D: Dialect> Progress<'_, D> {
    /// Takes an answer of the owner; returns how the job ended, if it did.
    pub(super) fn take(&mut self, answer: FromOwner) -> Option<Ended> {
        let done = match answer {
            FromOwner::Results(done) => done,
            FromOwner::Refused(_) => return Some(Ended::Refused),
            FromOwner::Fetched(_) => {
                if let PieceInput::Results(handles) = self.input {
                    self.batches.free_crowded(handles);
                }
                return None;
            }
            FromOwner::Accepted(_)
            | FromOwner::Pulse
            | FromOwner::News(_)
            | FromOwner::Backlog(..)
            | FromOwner::Section(_) => return None,
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
                Ok(_) => {}
                Err(failure) => return Some(Ended::Failed(failure)),
            }
        }
        self.left.is_empty().then_some(Ended::Done)
    }
}

/// Makes the message for the pieces that are left.
pub(super) fn job(id: u64, spec: &JobSpec, again: bool, left: &BTreeSet<u32>) -> Job {
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
        size: spec.size,
        domain: spec.domain.as_ref().map(ToString::to_string),
        weight: spec.weight,
        rank: spec.rank,
        due_ms: early - late,
        left_ms: spec.deadline.saturating_duration_since(now).as_millis() as u64,
        again,
    }
}

impl<D: Dialect> Drop for Progress<'_, D> {
    fn drop(&mut self) {
        let handles: Vec<Handle> = std::mem::take(&mut self.done).into_values().collect();
        self.batches.free(&handles);
    }
}

/// A job at this entry's own owner; cancelled when its request ends, so that no piece is made for
/// a caller that left.
pub(super) struct LocalJob<'a> {
    pub(super) owner: &'a Owner,
    pub(super) id: u64,
}

impl Drop for LocalJob<'_> {
    fn drop(&mut self) {
        let (replies, _) = mpsc::unbounded_channel();
        self.owner.tell(OwnerEvent::Told(OWN, ToOwner::Cancel(self.id), replies));
    }
}

/// A job at another entry; cancelled when its request ends.
pub(super) struct RemoteJob<'a> {
    pub(super) link: &'a Link,
    pub(super) id: u64,
}

impl Drop for RemoteJob<'_> {
    fn drop(&mut self) {
        self.link.forget(self.id);
        self.link.tell(ToOwner::Cancel(self.id));
    }
}
