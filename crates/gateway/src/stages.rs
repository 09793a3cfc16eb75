//! Runs the stages of a request, in parallel as far as their inputs allow.

mod chains;
mod start;

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use registry::RequestDigest;
use tokio::time::{Instant, sleep_until};

use crate::batch::{BatchClient, JobSpec};
use crate::dialect::{Dialect, Handle, PieceFailure, PieceInput, Segments};
use crate::phases::{Phases, StagePhase};
use crate::plan::{BatchSpec, Plan, Route};
use crate::queue::LARGE_RESULT_BYTES;

use self::chains::{latest_end, longest_after};
use self::start::{Chain, start_delay};

/// How much earlier than announced a result counts as dropped.
const TTL_MARGIN: Duration = Duration::from_millis(250);

/// What is needed to run the stages of one request.
pub(crate) struct StageRun<'a> {
    pub(crate) plan: &'a Plan,
    pub(crate) route: &'a Route,
    pub(crate) segments: &'a Segments,
    pub(crate) attempt: Arc<str>,
    /// The digest of the request's content.
    pub(crate) digest: RequestDigest,
    /// The failure domain of the engine that is likely to run the request.
    pub(crate) domain: Option<Arc<str>>,
    /// The expected time of the engine from having its inputs to its first event.
    pub(crate) engine: Duration,
    /// When the first event is due.
    pub(crate) target: Instant,
    pub(crate) deadline: Instant,
    pub(crate) rank: u8,
    /// The time that each stage needs now, as last reported by its owner; zero without a report.
    pub(crate) needs: Vec<Duration>,
    /// Whether the stages of the request have run before.
    pub(crate) again: bool,
}

/// Results of stages, which are freed when this is dropped.
pub(crate) struct Inputs<D: Dialect> {
    batches: Arc<BatchClient<D>>,
    handles: Vec<Handle>,
    /// When the upstreams that keep the results drop them.
    expires: Option<Instant>,
    /// The times of the stages; set only for the final results.
    phases: Phases,
    /// Whether some were released before the request was done.
    released: bool,
}

impl<D: Dialect> Inputs<D> {
    /// Creates an empty set of results.
    pub(crate) fn none(batches: Arc<BatchClient<D>>) -> Self {
        Self {
            batches,
            handles: Vec::new(),
            expires: None,
            phases: Phases::default(),
            released: false,
        }
    }

    /// Returns the times of the stages.
    pub(crate) fn phases(&self) -> &Phases {
        &self.phases
    }

    /// Returns the names of the results.
    pub(crate) fn handles(&self) -> &[Handle] {
        &self.handles
    }

    /// Releases the results that were fetched from upstreams that are short of space.
    pub(crate) fn release_early(&mut self) {
        let released = self.batches.free_early(&self.handles);
        self.released |= !released.is_empty();
        self.handles.retain(|it| !released.contains(it));
    }

    /// Returns whether some results were released before the request was done, so that the request
    /// can't be sent again with them.
    pub(crate) fn is_released(&self) -> bool {
        self.released
    }
}

impl<D: Dialect> Drop for Inputs<D> {
    fn drop(&mut self) {
        self.batches.free(&self.handles);
    }
}

/// A stage that failed.
pub(crate) struct StageFailure {
    pub(crate) stage: usize,
    pub(crate) cause: PieceFailure,
    /// The stages that had finished before.
    pub(crate) phases: Phases,
}

/// Runs all stages, and returns the results of those on which no other stage depends.
pub(crate) async fn run<D: Dialect>(
    batches: &Arc<BatchClient<D>>,
    run: &StageRun<'_>,
) -> Result<Inputs<D>, StageFailure> {
    let count = run.route.stages.len();
    let mut done: Vec<Option<Inputs<D>>> = (0..count).map(|_| None).collect();
    let mut started: Vec<Option<Instant>> = vec![None; count];
    let mut jobs = FuturesUnordered::new();
    let mut phases = Phases::default();
    // Stages that may be delayed come last, when those beside them have started.
    let mut order: Vec<usize> = (0..count).collect();
    order.sort_by_key(|it| may_be_delayed(run.route, *it));
    loop {
        let mut delayed: Option<Instant> = None;
        for &stage in &order {
            if started[stage].is_some() || !is_ready(run.route, stage, &done) {
                continue;
            }
            let now = Instant::now();
            if pieces(run.segments, stage) == 0 {
                started[stage] = Some(now);
                done[stage] = Some(Inputs::none(Arc::clone(batches)));
                continue;
            }
            let delay = delay(batches, run, stage, &done, &started);
            if !delay.is_zero() {
                let start = now + delay;
                delayed = Some(delayed.map_or(start, |it| it.min(start)));
                continue;
            }
            started[stage] = Some(now);
            let spec = spec(batches, run, stage, &done);
            jobs.push(async move { (stage, batches.run(&spec).await, now.elapsed()) });
        }
        if done.iter().all(Option::is_some) {
            break;
        }
        let ended = tokio::select! {
            ended = jobs.next() => ended,
            () = sleep_until(delayed.unwrap_or(run.deadline)), if delayed.is_some() => continue,
        };
        match ended {
            Some((stage, Ok(made), total)) => {
                phases.0.push(StagePhase {
                    stage,
                    service: Arc::clone(&run.route.stages[stage].service),
                    pieces: pieces(run.segments, stage),
                    times: made.times,
                    total,
                });
                let expires = results_expiry(run, stage, made.first);
                let batches = Arc::clone(batches);
                done[stage] = Some(Inputs {
                    batches,
                    handles: made.handles,
                    expires,
                    phases: Phases::default(),
                    released: false,
                });
            }
            Some((stage, Err(cause), _)) => return Err(StageFailure { stage, cause, phases }),
            // A stage without pieces was skipped in this pass, so the next pass can start its
            // followers.
            None => {}
        }
    }
    let mut last = Inputs::none(Arc::clone(batches));
    last.phases = phases;
    for (stage, inputs) in done.into_iter().enumerate() {
        if run.route.stages.iter().any(|it| it.after.contains(&stage)) {
            continue;
        }
        if let Some(mut inputs) = inputs {
            last.handles.append(&mut inputs.handles);
        }
    }
    Ok(last)
}

/// Returns for how long the start of a stage is delayed, because its results would only take space
/// until the other stages of the request are done.
fn delay<D: Dialect>(
    batches: &BatchClient<D>,
    run: &StageRun<'_>,
    stage: usize,
    done: &[Option<Inputs<D>>],
    started: &[Option<Instant>],
) -> Duration {
    if !may_be_delayed(run.route, stage) {
        return Duration::ZERO;
    }
    let stages = &run.route.stages;
    let others = (0..stages.len()).filter(|other| *other != stage && done[*other].is_none());
    let chains: Vec<Chain> = others
        .filter_map(|other| {
            let elapsed = started[other]?.elapsed();
            let rest = remaining_time(run, other);
            Some(Chain { current: stage_time(run, other), elapsed, rest })
        })
        .collect();
    let wait = batches.timely_wait(&stages[stage].service, run.rank);
    start_delay(stage_time(run, stage) + wait, &chains)
}

/// Returns whether a stage has large results that no other stage needs.
fn may_be_delayed(route: &Route, stage: usize) -> bool {
    let is_last = !route.stages.iter().any(|it| it.after.contains(&stage));
    is_last && route.stages[stage].size >= LARGE_RESULT_BYTES
}

fn pieces(segments: &Segments, stage: usize) -> u32 {
    segments.counts.get(stage).copied().unwrap_or(0)
}

fn is_ready<D: Dialect>(route: &Route, stage: usize, done: &[Option<Inputs<D>>]) -> bool {
    route.stages[stage].after.iter().all(|it| done[*it].is_some())
}

fn spec<D: Dialect>(
    batches: &BatchClient<D>,
    run: &StageRun<'_>,
    stage: usize,
    done: &[Option<Inputs<D>>],
) -> JobSpec {
    let it = &run.route.stages[stage];
    let pieces = pieces(run.segments, stage);
    let before = it.after.iter().filter_map(|it| done[*it].as_ref());
    let expires = before.clone().filter_map(|it| it.expires).min();
    let handles: Vec<Handle> = before.flat_map(|it| it.handles.clone()).collect();
    let fetched_bytes = input_bytes(run, stage);
    let (used, uses) = output_use(run, stage);
    // Each piece fetches all its inputs, and each piece of a following stage fetches its result. So
    // a piece is run in the failure domain where most of these bytes stay local. If that is the
    // domain of the following stages, it isn't known yet.
    let sent_bytes = it.size * u64::from(uses.max(1));
    let (domain, weight) = match used {
        _ if fetched_bytes >= sent_bytes => (batches.domain_of(&handles), fetched_bytes),
        Some(domain) => (Some(domain), sent_bytes),
        None => (None, sent_bytes),
    };
    let input = if it.after.is_empty() {
        PieceInput::Key(run.segments.key.as_str().into())
    } else {
        PieceInput::Results(Arc::new(handles))
    };
    let remaining = remaining_time(run, stage) + run.engine;
    let due = run.target.checked_sub(remaining).unwrap_or(run.target);
    let following = longest_after(&run.route.stages, stage, |it| announced_stage_time(run, it));
    JobSpec {
        service: Arc::clone(&it.service),
        digest: run.digest,
        attempt: Arc::clone(&run.attempt),
        stage: stage as u32,
        pieces,
        input,
        result_bytes: it.size,
        domain,
        transfer_bytes: weight,
        rank: run.rank,
        again: run.again,
        due,
        deadline: latest_end(run.deadline, following, expires),
    }
}

/// Returns when the results of a stage are dropped by their upstreams; the first of them came at
/// `first`.
fn results_expiry(run: &StageRun<'_>, stage: usize, first: Instant) -> Option<Instant> {
    let service = run.plan.services.get(&run.route.stages[stage].service)?;
    Some(first + service.batch?.ttl.saturating_sub(TTL_MARGIN))
}

/// Returns the size of all inputs of one piece, in bytes.
fn input_bytes(run: &StageRun<'_>, stage: usize) -> u64 {
    let stages = &run.route.stages;
    let bytes = |it: &usize| stages[*it].size * u64::from(pieces(run.segments, *it));
    stages[stage].after.iter().map(bytes).sum()
}

/// Returns the failure domain in which the results of a stage are used, if the stage is the last of
/// its chain, and how often each result is fetched by following stages.
fn output_use(run: &StageRun<'_>, stage: usize) -> (Option<Arc<str>>, u32) {
    let stages = run.route.stages.iter().enumerate();
    let followers = stages.filter(|(_, it)| it.after.contains(&stage));
    let uses: u32 = followers.map(|(at, _)| pieces(run.segments, at)).sum();
    let last = uses == 0;
    (run.domain.clone().filter(|_| last), uses)
}

/// Returns how long the stages of a request are expected to take from now on, with the given wait
/// for pieces of each service.
pub(crate) fn expected_time(run: &StageRun<'_>, wait: impl Fn(&Arc<str>) -> Duration) -> Duration {
    longest_chain(run, |stage| {
        let waits = match pieces(run.segments, stage) {
            0 => Duration::ZERO,
            _ => wait(&run.route.stages[stage].service),
        };
        waits + stage_time(run, stage)
    })
}

/// Returns how long the stages of a request take at least by what their services announce: each piece has
/// an upstream of its own at once.
pub(crate) fn announced_time(run: &StageRun<'_>) -> Duration {
    longest_chain(run, |stage| announced_stage_time(run, stage))
}

/// Returns how long a stage takes at least.
fn announced_stage_time(run: &StageRun<'_>, stage: usize) -> Duration {
    match batch_spec(run, stage) {
        Some(spec) if pieces(run.segments, stage) > 0 => spec.call + spec.item,
        _ => Duration::ZERO,
    }
}

/// Returns the time of the longest chain of stages, where a stage takes `time`.
fn longest_chain(run: &StageRun<'_>, time: impl Fn(usize) -> Duration) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(run.route.stages.len());
    for (stage, it) in run.route.stages.iter().enumerate() {
        let start = it.after.iter().map(|it| ends[*it]).max().unwrap_or_default();
        ends.push(start + time(stage));
    }
    ends.into_iter().max().unwrap_or_default()
}

/// Returns the expected time of the longest chain of stages after `stage`.
fn remaining_time(run: &StageRun<'_>, stage: usize) -> Duration {
    longest_after(&run.route.stages, stage, |it| stage_time(run, it))
}

/// Returns the expected time of a stage: one call and half of another one that it waits for, or the
/// time that its owner reported if that is longer. The announced times alone are too short: under
/// load, calls are full and take longer, and pieces that count as in time at the first stage would
/// be late at the last.
fn stage_time(run: &StageRun<'_>, stage: usize) -> Duration {
    let Some(spec) = batch_spec(run, stage) else { return Duration::ZERO };
    let count = pieces(run.segments, stage);
    if count == 0 {
        return Duration::ZERO;
    }
    let announced = spec.call + spec.call / 2 + spec.item * count;
    announced.max(run.needs.get(stage).copied().unwrap_or_default())
}

/// Returns how the service of a stage takes calls.
fn batch_spec(run: &StageRun<'_>, stage: usize) -> Option<BatchSpec> {
    run.plan.services.get(&run.route.stages[stage].service).and_then(|it| it.batch)
}
