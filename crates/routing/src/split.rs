//! Splits a request's deadline over its stages by their measured times.

use crate::clock::Micros;
use crate::table::StageView;

/// Returns when stage `index` must have ended. This is as late as leaves the later stages the time
/// that they take, so that a slow stage may use all the slack. If even the expected times do not
/// fit, each stage gets its proportion of the time left.
pub(crate) fn stage_end(
    stages: &[StageView],
    index: usize,
    deadline: Micros,
    margin: f64,
    now: Micros,
) -> Micros {
    let Some((stage, later_stages)) = stages.get(index..).and_then(<[StageView]>::split_first)
    else {
        return deadline;
    };
    let expected = |stage: &StageView| {
        let (time, deviation) = stage.time(now);
        time + margin * deviation
    };
    let later: f64 = later_stages.iter().map(expected).sum();
    let own = expected(stage);
    let left = deadline.saturating_sub(now) as f64;
    if own + later <= left {
        return deadline - later as Micros;
    }
    now + (left * own / (own + later).max(1.0)) as Micros
}
