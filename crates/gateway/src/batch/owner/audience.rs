//! The entries that an owner tells how long pieces wait.
//!
//! The load is that of a fleet in which each entry submits a job now and then to every owner, and stays
//! connected. If an owner told all of them several times a second, its link would be full of reports
//! that nobody uses.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::Replies;

#[cfg(test)]
mod tests;

/// How long an entry is told the waits after its last job.
const INTEREST_TIME: Duration = Duration::from_secs(5);

/// The connected entries that have submitted jobs, by connection.
#[derive(Default)]
pub(super) struct Audience(HashMap<u64, Submitter>);

struct Submitter {
    replies: Replies,
    last_job: Instant,
}

impl Audience {
    /// Records a job of a connection.
    pub(super) fn record_job(&mut self, origin: u64, replies: &Replies, now: Instant) {
        let submitter = || Submitter { replies: replies.clone(), last_job: now };
        self.0.entry(origin).or_insert_with(submitter).last_job = now;
    }

    /// Removes a connection that has ended.
    pub(super) fn remove(&mut self, origin: u64) {
        self.0.remove(&origin);
    }

    /// Returns the channels of the entries that have submitted jobs lately.
    pub(super) fn interested(&self, now: Instant) -> impl Iterator<Item = &Replies> {
        let lately = move |it: &&Submitter| now.duration_since(it.last_job) < INTEREST_TIME;
        self.0.values().filter(lately).map(|it| &it.replies)
    }
}
