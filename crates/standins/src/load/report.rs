//! The report of a run: results by class and by second, as text and as files.

use std::collections::BTreeMap;
use std::fmt::{self, Write as _};
use std::path::Path;
use std::time::Duration;

use hdrhistogram::Histogram;
use types::{Priority, StepError, StepResult};

use super::plot;
use super::record::{Record, RequestResult};
use super::scenario::Scenario;

/// The largest latency that histograms record; longer ones are recorded as this.
const MAX_LATENCY_US: u64 = 600_000_000;

/// The significant decimal digits of histogram values.
const HISTOGRAM_DIGITS: u8 = 3;

/// The minimum share of a second's arrivals that must be answered in time for the second to count
/// as normal.
const NORMAL_SHARE: f64 = 0.95;

/// The report of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// The name of the scenario.
    pub name: String,
    /// For how long requests arrived.
    pub length: Duration,
    /// The reports of the classes, in the scenario's order.
    pub classes: Vec<ClassReport>,
    /// The records of all requests, in order of arrival.
    pub records: Vec<Record>,
}

/// The report of one class.
#[derive(Clone, Debug)]
pub struct ClassReport {
    /// The name of the class.
    pub name: String,
    /// The pipeline.
    pub pipeline: String,
    /// The priority.
    pub priority: Priority,
    /// The number of requests by result.
    pub results: BTreeMap<&'static str, u64>,
    /// The number of requests.
    pub requests: u64,
    /// The requests answered completely within their deadline.
    pub attained: u64,
    /// The attempts of all requests.
    pub attempts: u64,
    /// The answers with the outcome `not-run`.
    pub refusals: u64,
    /// The attempts whose answer didn't arrive in full.
    pub broken: u64,
    /// The latencies of complete answers, from the intended arrival, in microseconds.
    pub latency: Histogram<u64>,
}

impl ClassReport {
    fn new(name: &str, pipeline: &str, priority: Priority) -> Self {
        Self {
            name: name.to_owned(),
            pipeline: pipeline.to_owned(),
            priority,
            results: BTreeMap::new(),
            requests: 0,
            attained: 0,
            attempts: 0,
            refusals: 0,
            broken: 0,
            latency: histogram(),
        }
    }

    fn add(&mut self, record: &Record) {
        *self.results.entry(record.result.as_str()).or_default() += 1;
        self.requests += 1;
        self.attempts += u64::from(record.stats.attempts);
        self.refusals += u64::from(record.stats.refusals);
        self.broken += u64::from(record.stats.broken);
        if record.result == RequestResult::InTime {
            self.attained += 1;
        }
        if matches!(record.result, RequestResult::InTime | RequestResult::Late) {
            self.latency.saturating_record(record.latency.as_micros() as u64);
        }
    }

    /// Returns the share of requests answered completely within their deadline, or 1 if there were
    /// no requests.
    pub fn attainment(&self) -> f64 {
        if self.requests == 0 { 1.0 } else { self.attained as f64 / self.requests as f64 }
    }

    /// Returns a quantile of the latency, in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

impl Report {
    /// Builds the report from the records of a run.
    pub fn new(scenario: &Scenario, mut records: Vec<Record>) -> Self {
        records.sort_by_key(|it| it.at);
        let class =
            |it: &super::Class| ClassReport::new(&it.name, it.pipeline.as_str(), it.priority);
        let mut classes: Vec<ClassReport> = scenario.classes.iter().map(class).collect();
        for record in &records {
            classes[record.class].add(record);
        }
        Self { name: scenario.name.clone(), length: scenario.length(), classes, records }
    }

    /// Returns the numbers of requests and of attained requests of a class, by second of arrival.
    pub fn seconds(&self, class: usize) -> Vec<(u64, u64)> {
        let mut seconds = vec![(0, 0); self.length.as_secs_f64().ceil() as usize];
        for record in self.records.iter().filter(|it| it.class == class) {
            let Some(second) = seconds.get_mut(record.at.as_secs() as usize) else { continue };
            second.0 += 1;
            second.1 += u64::from(record.result == RequestResult::InTime);
        }
        seconds
    }

    /// Returns the time from `from` until all further seconds are normal, over all classes together.
    /// Returns `None` if the last second of the run is not normal.
    pub fn recovery(&self, from: Duration) -> Option<Duration> {
        let first = from.as_secs() as usize;
        let by_class: Vec<_> = (0..self.classes.len()).map(|it| self.seconds(it)).collect();
        let seconds = by_class.first().map_or(0, Vec::len);
        let normal = |second: &usize| {
            let sum = |f: fn(&(u64, u64)) -> u64| -> u64 {
                by_class.iter().map(|it| f(&it[*second])).sum()
            };
            let (all, attained) = (sum(|it| it.0), sum(|it| it.1));
            attained as f64 >= NORMAL_SHARE * all as f64
        };
        match (first..seconds).rev().find(|second| !normal(second)) {
            None => Some(Duration::ZERO),
            Some(last) if last + 1 == seconds => None,
            Some(last) => Some(Duration::from_secs((last + 1 - first) as u64)),
        }
    }

    /// Returns the number of requests with the given result.
    pub fn count(&self, result: RequestResult) -> u64 {
        self.records.iter().filter(|it| it.result == result).count() as u64
    }

    /// Writes `NAME.classes.csv`, `NAME.requests.csv` and `NAME.svg` into a folder.
    ///
    /// # Errors
    /// Returns an error if a file can't be written.
    pub fn write(&self, folder: &Path) -> StepResult<()> {
        let file = |kind: &str| folder.join(format!("{}.{kind}", self.name));
        write_file(&file("classes.csv"), &self.classes_csv())?;
        write_file(&file("requests.csv"), &self.requests_csv())?;
        plot::draw(self, &file("svg"))
    }

    fn classes_csv(&self) -> String {
        let mut text = String::from(
            "class,pipeline,priority,requests,attained,attainment,goodput_per_s,attempts,\
             refusals,broken,p50_ms,p90_ms,p99_ms\n",
        );
        for it in &self.classes {
            let goodput = it.attained as f64 / self.length.as_secs_f64();
            let (p50, p90, p99) = (it.latency_ms(0.5), it.latency_ms(0.9), it.latency_ms(0.99));
            let _ = writeln!(
                text,
                "{},{},{},{},{},{:.4},{goodput:.2},{},{},{},{p50:.1},{p90:.1},{p99:.1}",
                it.name,
                it.pipeline,
                it.priority,
                it.requests,
                it.attained,
                it.attainment(),
                it.attempts,
                it.refusals,
                it.broken,
            );
        }
        text
    }

    fn requests_csv(&self) -> String {
        let mut text =
            String::from("at_ms,class,fate,latency_ms,attempts,refusals,unknown,failed,broken\n");
        for it in &self.records {
            let stats = &it.stats;
            let _ = writeln!(
                text,
                "{:.1},{},{},{:.1},{},{},{},{},{}",
                it.at.as_secs_f64() * 1e3,
                self.classes[it.class].name,
                it.result.as_str(),
                it.latency.as_secs_f64() * 1e3,
                stats.attempts,
                stats.refusals,
                stats.unknown,
                stats.failed,
                stats.broken,
            );
        }
        text
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}: {:.0} s of arrivals", self.name, self.length.as_secs_f64())?;
        writeln!(
            f,
            "{:<14}{:>9}{:>10}{:>10}{:>10}{:>10}{:>9}{:>9}  fates",
            "class", "priority", "requests", "attained", "attempts", "refusals", "p50 ms", "p99 ms"
        )?;
        for it in &self.classes {
            let results = it.results.iter().map(|(result, count)| format!("{result} {count}"));
            writeln!(
                f,
                "{:<14}{:>9}{:>10}{:>9.2}%{:>10}{:>10}{:>9.1}{:>9.1}  {}",
                it.name,
                it.priority.0,
                it.requests,
                100.0 * it.attainment(),
                it.attempts,
                it.refusals,
                it.latency_ms(0.5),
                it.latency_ms(0.99),
                results.collect::<Vec<_>>().join(", "),
            )?;
        }
        Ok(())
    }
}

fn histogram() -> Histogram<u64> {
    match Histogram::new_with_max(MAX_LATENCY_US, HISTOGRAM_DIGITS) {
        Ok(histogram) => histogram,
        Err(e) => unreachable!("the bounds are constants: {e}"),
    }
}

fn write_file(path: &Path, text: &str) -> StepResult<()> {
    std::fs::write(path, text).map_err(|e| StepError::new("write file", e).at(path.display()))
}
