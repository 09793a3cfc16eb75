//! The longest chain of stages that follow a stage, without I/O.

use std::time::Duration;

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
