//! What a run comes to: one row of the table.

use std::time::Duration;

use standins::load::{Report, RequestResult};

use crate::cases::{Case, Event, FROM, TO, Which};
use crate::sizes::{Pool, Size};
use crate::upstreams::Upstreams;

/// The figures of a run.
pub(crate) struct Sums {
    name: String,
    attainment: Vec<(u8, f64)>,
    goodput: f64,
    throughput: f64,
    tight: &'static str,
    work: f64,
    recovery: Option<Duration>,
    wrong: u64,
    unanswered: u64,
    resends: f64,
}

impl Sums {
    /// Returns the head of the table.
    pub(crate) fn header() -> String {
        "| run | attainment by priority, % | goodput, % of what the tightest pool had left | \
         with late answers, % | work per completed, times the least | normal after, s | sendings per request | \
         crossed or incomplete | unanswered |\n|---|---|---|---|---|---|---|---|---|"
            .to_owned()
    }

    /// Adds up a run.
    pub(crate) fn new(report: &Report, size: &Size, case: &Case, upstreams: &Upstreams) -> Self {
        let classes = report.classes.iter();
        let attainment = classes.map(|it| (it.priority.0, it.attainment())).collect();
        let (tight, goodput, throughput) = goodput(report, size, case);
        let attempts: u64 = report.classes.iter().map(|it| it.attempts).sum();
        Self {
            name: report.name.clone(),
            attainment,
            goodput,
            throughput,
            tight,
            work: upstreams.busy() / least(report, size),
            recovery: report.recovery(TO),
            wrong: report.count(RequestResult::Crossed) + report.count(RequestResult::Incomplete),
            unanswered: report.count(RequestResult::Unanswered),
            resends: attempts as f64 / report.records.len().max(1) as f64,
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
            self.tight,
            100.0 * self.throughput,
            self.work,
            self.resends,
            self.wrong,
            self.unanswered,
        )
    }
}

/// Returns the least work of all completed requests, in seconds.
fn least(report: &Report, size: &Size) -> f64 {
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

/// Returns the tightest pool between [`FROM`] and [`TO`], and its work for requests that completed
/// in time then, as a share of what it could do of what was asked; and the same with those that
/// completed late: callers never give up, so late answers take places too.
fn goodput(report: &Report, size: &Size, case: &Case) -> (&'static str, f64, f64) {
    let span = (TO - FROM).as_secs_f64();
    let within = |at: Duration| FROM <= at && at < TO;
    let asked = |pool: &Pool| -> f64 {
        let arrived = report.records.iter().filter(|it| within(it.at));
        arrived.map(|it| size.pipelines[it.class].work(pool)).sum()
    };
    let room = |pool: &Pool| slots_left(pool, case) * span;
    let load = |pool: &Pool| asked(pool) / room(pool);
    let tight = size.pools.iter().max_by(|a, b| load(a).total_cmp(&load(b)));
    let Some(tight) = tight else { return ("", 0.0, 0.0) };
    let most = asked(tight).min(room(tight));
    let done = |results: &[RequestResult]| -> f64 {
        let done = report.records.iter().filter(|it| results.contains(&it.result));
        let done = done.filter(|it| within(it.at + it.latency));
        done.map(|it| size.pipelines[it.class].work(tight)).sum()
    };
    let whole = [RequestResult::InTime, RequestResult::Late];
    (tight.name, done(&whole[..1]) / most, done(&whole) / most)
}

/// Returns a pool's places while the case's faults last; a slow replica counts by its speed.
fn slots_left(pool: &Pool, case: &Case) -> f64 {
    let left = |number: usize| -> f64 {
        let of = |event: &Event| match event {
            Event::Faults(which, faults) if has(*which, pool, number) && faults.down => 0.0,
            Event::Faults(which, faults) if has(*which, pool, number) => 1.0 / faults.slow,
            _ => 1.0,
        };
        case.events.iter().map(|(_, event)| of(event)).fold(1.0, f64::min)
    };
    (0..pool.replicas).map(left).sum::<f64>() * pool.each() as f64
}

fn has(which: Which, pool: &Pool, number: usize) -> bool {
    which.has(pool.name, number, number % crate::document::SITES.len())
}
