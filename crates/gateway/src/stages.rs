//! Runs the stages before a request, side by side as far as their inputs allow.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use registry::RequestDigest;
use tokio::time::Instant;

use crate::batch::{BatchClient, JobSpec};
use crate::dialect::{Dialect, Handle, PieceFailure, PieceInput, Segments};
use crate::phases::{Phases, StagePhase};
use crate::plan::{Plan, Route};

/// How much sooner than announced a result counts as dropped.
const KEPT_MARGIN: Duration = Duration::from_millis(250);

/// What the stages of one request need.
pub(crate) struct StageRun<'a> {
    pub(crate) plan: &'a Plan,
    pub(crate) route: &'a Route,
    pub(crate) segments: &'a Segments,
    pub(crate) attempt: Arc<str>,
    /// What the request asks.
    pub(crate) digest: RequestDigest,
    /// The failure domain of the engine that is likely to run the request.
    pub(crate) domain: Option<Arc<str>>,
    /// What the engine is likely to take from its inputs to its first event.
    pub(crate) engine: Duration,
    /// When the first event should be there.
    pub(crate) target: Instant,
    pub(crate) deadline: Instant,
    pub(crate) rank: u8,
    /// What each stage needs now, as the owners told it last; nothing where none did.
    pub(crate) needs: Vec<Duration>,
}

/// The results that an engine needs; given up when dropped.
pub(crate) struct Inputs<D: Dialect> {
    batches: Arc<BatchClient<D>>,
    handles: Vec<Handle>,
    /// When their makers drop them.
    until: Option<Instant>,
    /// Where the time of the stages went; only for the results that an engine needs.
    phases: Phases,
}

impl<D: Dialect> Inputs<D> {
    /// No results.
    pub(crate) fn none(batches: Arc<BatchClient<D>>) -> Self {
        Self { batches, handles: Vec::new(), until: None, phases: Phases::default() }
    }

    /// Where the time of the stages went.
    pub(crate) fn phases(&self) -> &Phases {
        &self.phases
    }

    /// The results.
    pub(crate) fn handles(&self) -> &[Handle] {
        &self.handles
    }
}

impl<D: Dialect> Drop for Inputs<D> {
    fn drop(&mut self) {
        self.batches.free(&self.handles);
    }
}

/// A stage that could not be done.
pub(crate) struct StageFailure {
    pub(crate) stage: usize,
    pub(crate) cause: PieceFailure,
    /// The stages that were done before.
    pub(crate) phases: Phases,
}

/// Runs all stages; returns the results of those that no other follows.
pub(crate) async fn run<D: Dialect>(
    batches: &Arc<BatchClient<D>>,
    run: &StageRun<'_>,
) -> Result<Inputs<D>, StageFailure> {
    let count = run.route.stages.len();
    let mut done: Vec<Option<Inputs<D>>> = (0..count).map(|_| None).collect();
    let mut started = vec![false; count];
    let mut jobs = FuturesUnordered::new();
    let mut phases = Phases::default();
    loop {
        for stage in 0..count {
            if started[stage] || !is_ready(run.route, stage, &done) {
                continue;
            }
            started[stage] = true;
            if pieces(run.segments, stage) == 0 {
                done[stage] = Some(Inputs::none(Arc::clone(batches)));
                continue;
            }
            let spec = spec(batches, run, stage, &done);
            let start = Instant::now();
            jobs.push(async move { (stage, batches.run(&spec).await, start.elapsed()) });
        }
        if done.iter().all(Option::is_some) {
            break;
        }
        match jobs.next().await {
            Some((stage, Ok(made), total)) => {
                phases.0.push(StagePhase {
                    stage,
                    service: Arc::clone(&run.route.stages[stage].service),
                    pieces: pieces(run.segments, stage),
                    times: made.times,
                    total,
                });
                let until = kept_until(run, stage, made.first);
                let batches = Arc::clone(batches);
                done[stage] = Some(Inputs {
                    batches,
                    handles: made.handles,
                    until,
                    phases: Phases::default(),
                });
            }
            Some((stage, Err(cause), _)) => return Err(StageFailure { stage, cause, phases }),
            // A stage was left out on this pass, so the next one can start.
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
    let until = before.clone().filter_map(|it| it.until).min();
    let handles: Vec<Handle> = before.flat_map(|it| it.handles.clone()).collect();
    let fetched = input_bytes(run, stage);
    let (used, uses) = output_use(run, stage);
    // Each piece fetches all its inputs, and each of its followers fetches its result: it is made
    // where most of these bytes stay in one domain. Where that is the followers', it is open yet.
    let sent = it.size * u64::from(uses.max(1));
    let (domain, weight) = match used {
        _ if fetched >= sent => (batches.domain_of(&handles), fetched),
        Some(domain) => (Some(domain), sent),
        None => (None, sent),
    };
    let input = if it.after.is_empty() {
        PieceInput::Key(run.segments.key.as_str().into())
    } else {
        PieceInput::Results(Arc::new(handles))
    };
    let rest = rest_time(run, stage) + run.engine;
    let due = run.target.checked_sub(rest).unwrap_or(run.target);
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
        due,
        // Pieces that outwait their inputs would be asked for in vain.
        deadline: until.map_or(run.deadline, |it| it.min(run.deadline)),
    }
}

/// When the results of a stage are dropped by their makers, from when the first of them came.
fn kept_until(run: &StageRun<'_>, stage: usize, first: Instant) -> Option<Instant> {
    let service = run.plan.services.get(&run.route.stages[stage].service)?;
    Some(first + service.batch?.ttl.saturating_sub(KEPT_MARGIN))
}

/// The bytes of all inputs of one piece.
fn input_bytes(run: &StageRun<'_>, stage: usize) -> u64 {
    let stages = &run.route.stages;
    let bytes = |it: &usize| stages[*it].size * u64::from(pieces(run.segments, *it));
    stages[stage].after.iter().map(bytes).sum()
}

/// Where the results of a stage are used, if it is the last of its chain, and how often each is
/// fetched.
fn output_use(run: &StageRun<'_>, stage: usize) -> (Option<Arc<str>>, u32) {
    let stages = run.route.stages.iter().enumerate();
    let followers = stages.filter(|(_, it)| it.after.contains(&stage));
    let uses: u32 = followers.map(|(at, _)| pieces(run.segments, at)).sum();
    let last = uses == 0;
    (run.domain.clone().filter(|_| last), uses)
}

/// How long the stages of a request are likely to take from now on.
pub(crate) fn expected(run: &StageRun<'_>, wait: impl Fn(&Arc<str>) -> Duration) -> Duration {
    let count = run.route.stages.len();
    let mut ends: Vec<Duration> = Vec::with_capacity(count);
    for (stage, it) in run.route.stages.iter().enumerate() {
        let start = it.after.iter().map(|it| ends[*it]).max().unwrap_or_default();
        let waits =
            if pieces(run.segments, stage) > 0 { wait(&it.service) } else { Duration::ZERO };
        ends.push(start + waits + own_time(run, stage));
    }
    ends.into_iter().max().unwrap_or_default()
}

/// The time of the longest chain of stages after `stage`.
fn rest_time(run: &StageRun<'_>, stage: usize) -> Duration {
    let stages = &run.route.stages;
    let after = (0..stages.len()).filter(|it| stages[*it].after.contains(&stage));
    let longest = after.map(|it| own_time(run, it) + rest_time(run, it)).max();
    longest.unwrap_or_default()
}

/// What a stage is likely to take: one call, and half of another one that it waits for, or what its owner
/// says. What goes wrong with the announced times alone: under load calls are full and longer, and pieces
/// that count as in time at the first stage are late at the last.
fn own_time(run: &StageRun<'_>, stage: usize) -> Duration {
    let service = &run.route.stages[stage].service;
    let spec = run.plan.services.get(service).and_then(|it| it.batch);
    let Some(spec) = spec else { return Duration::ZERO };
    let count = pieces(run.segments, stage);
    if count == 0 {
        return Duration::ZERO;
    }
    let announced = spec.call + spec.call / 2 + spec.item * count;
    announced.max(run.needs.get(stage).copied().unwrap_or_default())
}
