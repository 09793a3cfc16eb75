//! A job at an owner, and what is heard of it.
//!
//! An owner that is silent keeps its job: another one may get it too, and the first results count.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use super::job::{JobEnd, LocalJob, RemoteJob};
use crate::batch::link::HEARTBEAT_INTERVAL;
use crate::batch::message::{FromOwner, PiecesDone};
use crate::budget::RetryPermit;

#[cfg(test)]
mod tests;

/// How long an owner may take to accept a job. Leaves time for a lost packet in each direction,
/// which is sent again after 200 ms. With less, entries on a lossy link skip healthy owners, and
/// two owners send calls to the same upstreams.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(420);

/// How long an owner with open jobs may be silent: several heartbeats and the retransmission of a
/// lost packet.
const SILENCE_TIMEOUT: Duration = HEARTBEAT_INTERVAL.saturating_mul(7);

/// The owners that a job was submitted to.
#[derive(Debug, Default)]
pub(super) struct Owners {
    /// How many of them count towards the limit.
    pub(super) count: usize,
    /// Whether pieces of the job may have been sent.
    pub(super) resubmitted: bool,
    /// The permit for the next one.
    pub(super) permit: Option<Arc<RetryPermit>>,
    /// Those that have the job.
    pub(super) holders: Vec<SocketAddr>,
}

impl Owners {
    /// Records that one is silent, or how the job ended there.
    pub(super) fn record(&mut self, silent: bool, end: Option<&JobEnd>) {
        let silent = silent || matches!(end, Some(JobEnd::Silent));
        self.resubmitted |= silent;
        // An unreachable owner says nothing about the others and cost next to no time, so it does not count.
        self.count += usize::from(silent || matches!(end, Some(JobEnd::Refused)));
    }
}

/// Returns why another owner is to be chosen, if that is so.
pub(super) fn unavailable(silent: bool, end: Option<&JobEnd>) -> Option<&'static str> {
    match end {
        Some(JobEnd::Silent) => Some("silent"),
        Some(JobEnd::Unreachable) => Some("unreachable"),
        Some(JobEnd::Refused) => Some("ending"),
        Some(JobEnd::Done | JobEnd::Failed(_)) => None,
        None => silent.then_some("silent"),
    }
}

/// What was heard of a job.
pub(super) enum Heard {
    Answer(FromOwner),
    /// Nothing for long; the owner may still go on.
    Silent,
    Ended(JobEnd),
}

/// Where a job is. Dropping it cancels the job there.
pub(super) enum Holder {
    Local(LocalJob),
    Remote(RemoteJob),
}

impl Holder {
    /// Has the owner release results that are not used.
    fn free(&self, done: PiecesDone) {
        match self {
            Self::Local(job) => job.free(done),
            Self::Remote(job) => job.link.free(done),
        }
    }
}

/// A job that an owner has.
pub(super) struct Submitted {
    pub(super) address: SocketAddr,
    holder: Holder,
    answers: mpsc::UnboundedReceiver<FromOwner>,
    /// The permit by which it was submitted again.
    permit: Option<Arc<RetryPermit>>,
    /// Until when the owner may be silent.
    by: Instant,
    accepted: bool,
    /// Whether the owner has been silent since its last answer.
    is_silent: bool,
}

impl Submitted {
    /// Creates a job that was submitted now.
    pub(super) fn new(
        address: SocketAddr,
        holder: Holder,
        answers: mpsc::UnboundedReceiver<FromOwner>,
        permit: Option<Arc<RetryPermit>>,
    ) -> Self {
        let by = Instant::now() + ACCEPT_TIMEOUT;
        Self { address, holder, answers, permit, by, accepted: false, is_silent: false }
    }

    /// Records that the owner may have got the job, and sends pieces for as long as it runs.
    pub(super) fn record_sent(&mut self) {
        if let Some(permit) = self.permit.take() {
            permit.begin_send(Instant::now());
        }
    }

    /// Returns the permit of a job that the owner has not got.
    pub(super) fn take_permit(&mut self) -> Option<Arc<RetryPermit>> {
        self.permit.take()
    }

    /// Waits for what is heard next. After a silence, waits until `deadline`.
    pub(super) async fn next(mut self, deadline: Instant) -> (Self, Heard) {
        let heard = self.hear(deadline).await;
        (self, heard)
    }

    async fn hear(&mut self, deadline: Instant) -> Heard {
        let Holder::Remote(RemoteJob { link, .. }) = &self.holder else {
            let answer = self.answers.recv().await;
            return answer.map_or(Heard::Ended(JobEnd::Silent), Heard::Answer);
        };
        loop {
            let until = if self.is_silent { deadline } else { self.by };
            match timeout_at(until, self.answers.recv()).await {
                Ok(Some(answer)) => {
                    self.accepted = true;
                    self.is_silent = false;
                    self.by = Instant::now() + SILENCE_TIMEOUT;
                    return Heard::Answer(answer);
                }
                Ok(None) if link.is_refused() => return Heard::Ended(JobEnd::Unreachable),
                Ok(None) => return Heard::Ended(JobEnd::Silent),
                Err(_) if self.is_silent => return Heard::Ended(JobEnd::Silent),
                Err(_) => {
                    let heard = link.last_heard().filter(|_| self.accepted);
                    match heard.map(|it| it + SILENCE_TIMEOUT).filter(|it| *it > Instant::now()) {
                        Some(later) => self.by = later,
                        None => {
                            self.is_silent = true;
                            return Heard::Silent;
                        }
                    }
                }
            }
        }
    }
}

impl Drop for Submitted {
    /// Releases results that arrived but were not read before the request ended. Otherwise they
    /// would take space until they expire.
    fn drop(&mut self) {
        self.answers.close();
        while let Ok(answer) = self.answers.try_recv() {
            if let FromOwner::Results(done) = answer {
                self.holder.free(done);
            }
        }
    }
}
