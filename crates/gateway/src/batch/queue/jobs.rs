//! The waiting pieces by their jobs.

use super::{JobKey, Piece, Queue};

impl Queue {
    /// Returns whether a piece of the job is waiting.
    pub fn has_job(&self, job: JobKey) -> bool {
        self.waiting.iter().any(|it| it.job == job)
    }

    /// Returns whether the piece is waiting.
    pub fn has_piece(&self, piece: &Piece) -> bool {
        self.waiting.iter().any(|it| it.is_same(piece))
    }

    /// Removes the pieces of a job.
    pub fn cancel(&mut self, job: JobKey) {
        self.waiting.retain(|it| it.job != job);
        self.begun.remove(&job);
    }

    /// Removes all pieces of jobs for which `dead` returns true.
    pub fn drop_jobs(&mut self, dead: impl Fn(JobKey) -> bool) {
        self.waiting.retain(|it| !dead(it.job));
        self.begun.retain(|it| !dead(*it));
    }

    /// Takes note that a piece of a job is no longer waiting.
    pub(super) fn forget_begun(&mut self, job: JobKey) {
        if self.begun.contains(&job) && !self.has_job(job) {
            self.begun.remove(&job);
        }
    }
}
