//! The result of a run as a row of a table.

use std::time::Duration;

use standins::load::{Report, RequestResult};

use crate::cases::{Case, EVENT_END, EVENT_START, Event, UpstreamSet};
use crate::sizes::{Pool, Size};
use crate::upstreams::Upstreams;

/// The result of a run.
pub(crate) struct ResultRow {
    name: String,
    /// The attainment by priority.
    attainment: Vec<(u8, f64)>,
    /// The bottleneck's work for requests answered in time, as a share of what was possible.
    goodput: f64,
    /// The same including late answers.
    throughput: f64,
    bottleneck: &'static str,
    /// The work of all upstreams, as a multiple of the minimum for the completed requests.
    work: f64,
    recovery: Option<Duration>,
    /// The number of crossed and incomplete answers.
    wrong: u64,
    unanswered: u64,
    attempts_per_request: f64,
}

impl ResultRow {
    /// Returns the header of the table.
    pub(crate) fn header() -> String {
        "| run | attainment by priority, % | goodput, % of what the tightest pool had left | \
         with late answers, % | work per completed, times the least | normal after, s | \
         sendings per request | \
         crossed or incomplete | unanswered |\n\
         |---|---|---|---|---|---|---|---|---|"
            .to_owned()
    }

    /// Computes the result of a run.
    pub(crate) fn new(report: &Report, size: &Size, case: &Case, upstreams: &Upstreams) -> Self {
        let classes = report.classes.iter();
        let attainment = classes.map(|it| (it.priority.0, it.attainment())).collect();
        let (bottleneck, goodput, throughput) = goodput(report, size, case);
        let attempts: u64 = report.classes.iter().map(|it| it.attempts).sum();
        Self {
            name: report.name.clone(),
            attainment,
            goodput,
            throughput,
            bottleneck,
            work: upstreams.busy() / min_work(report, size),
            recovery: report.recovery(EVENT_END),
            wrong: report.count(RequestResult::Crossed) + report.count(RequestResult::Incomplete),
            unanswered: report.count(RequestResult::Unanswered),
            attempts_per_request: attempts as f64 / report.records.len().max(1) as f64,
        }
    }

    /// Returns the row of the table.
    pub(crate) fn row(&self) -> String {
        let attainment: Vec<String> =
            self.attainment.iter().map(|(rank, it)| format!("{rank}: {:.1}", 100.0 * it)).collect();
        let recovery = match self.recovery {
            Some(after) => after.as_secs().to_string(),
            None => "not within the run".to_owned(),
        };
        format!(
            "| {} | {} | {:.1} ({}) | {:.1} | {:.2} | {recovery} | {:.2} | {} | {} |",
            self.name,
            attainment.join(", "),
            100.0 * self.goodput,
            self.bottleneck,
            100.0 * self.throughput,
            self.work,
            self.attempts_per_request,
            self.wrong,
            self.unanswered,
        )
    }
}

/// Returns the work of all completed requests if no call was repeated or abandoned, in seconds.
fn min_work(report: &Report, size: &Size) -> f64 {
    let done = report
        .records
        .iter()
        .filter(|it| matches!(it.result, RequestResult::InTime | RequestResult::Late));
    let work = done.map(|it| {
        let pipeline = &size.pipelines[it.class];
        size.pools.iter().map(|pool| pipeline.work(pool)).sum::<f64>()
    });
    work.sum::<f64>().max(f64::MIN_POSITIVE)
}

/// Returns the name, goodput and throughput of the bottleneck pool between [`EVENT_START`] and
/// [`EVENT_END`].
///
/// The bottleneck is the pool with the highest demand relative to its capacity. The goodput is its
/// work for requests that completed in time, relative to the smaller of demand and capacity. The
/// throughput also counts those that completed late: callers don't give up after the deadline, so
/// late answers occupy slots too.
fn goodput(report: &Report, size: &Size, case: &Case) -> (&'static str, f64, f64) {
    let span = (EVENT_END - EVENT_START).as_secs_f64();
    let within = |at: Duration| EVENT_START <= at && at < EVENT_END;
    let demand = |pool: &Pool| -> f64 {
        let arrived = report.records.iter().filter(|it| within(it.at));
        arrived.map(|it| size.pipelines[it.class].work(pool)).sum()
    };
    let capacity = |pool: &Pool| available_slots(pool, case) * span;
    let load = |pool: &Pool| demand(pool) / capacity(pool);
    let bottleneck = size.pools.iter().max_by(|a, b| load(a).total_cmp(&load(b)));
    let Some(bottleneck) = bottleneck else { return ("", 0.0, 0.0) };
    let possible = demand(bottleneck).min(capacity(bottleneck));
    let done = |results: &[RequestResult]| -> f64 {
        let done = report.records.iter().filter(|it| results.contains(&it.result));
        let done = done.filter(|it| within(it.at + it.latency));
        done.map(|it| size.pipelines[it.class].work(bottleneck)).sum()
    };
    let completed = [RequestResult::InTime, RequestResult::Late];
    (bottleneck.name, done(&completed[..1]) / possible, done(&completed) / possible)
}

/// Returns a pool's slots during the faults of a case. Slots of a slow replica count in proportion
/// to its speed.
fn available_slots(pool: &Pool, case: &Case) -> f64 {
    let share = |number: usize| -> f64 {
        let under_event = |event: &Event| match event {
            Event::Faults(set, faults) if set_contains(*set, pool, number) && faults.down => 0.0,
            Event::Faults(set, faults) if set_contains(*set, pool, number) => 1.0 / faults.slow,
            _ => 1.0,
        };
        case.events.iter().map(|(_, event)| under_event(event)).fold(1.0, f64::min)
    };
    (0..pool.replicas).map(share).sum::<f64>() * pool.replica_slots() as f64
}

fn set_contains(set: UpstreamSet, pool: &Pool, number: usize) -> bool {
    set.contains(pool.name, number, number % crate::document::SITES.len())
}
