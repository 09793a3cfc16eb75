//! The stages that follow a stage, and the time that they leave for it, without I/O.

use std::time::Duration;

use tokio::time::Instant;

use crate::plan::StageSpec;

#[cfg(test)]
mod tests;

/// Returns the time of the longest chain of stages after `stage`, where a stage takes `time`. Each stage
/// comes after those that it needs, as plans are checked; each edge is looked at once.
pub(super) fn longest_after(
    stages: &[StageSpec],
    stage: usize,
    time: impl Fn(usize) -> Duration,
) -> Duration {
    let mut rest = vec![Duration::ZERO; stages.len()];
    for next in (stage + 1..stages.len()).rev() {
        let from_next = time(next) + rest[next];
        for &needed in &stages[next].after {
            rest[needed] = rest[needed].max(from_next);
        }
    }
    rest[stage]
}

/// Returns by when the pieces of a stage must be made to be of use: so that the stages that follow, which take
/// `following` at least, end by `deadline`, and before their inputs expire.
pub(super) fn latest_end(
    deadline: Instant,
    following: Duration,
    expires: Option<Instant>,
) -> Instant {
    let latest = deadline.checked_sub(following).unwrap_or(deadline);
    expires.map_or(latest, |it| it.min(latest))
}
