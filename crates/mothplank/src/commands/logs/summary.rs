//! Counts and times of the requests in the logs.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::Serialize;

use super::line::{Line, RequestResult, StageTimes};
use crate::table::Table;

/// The number of requests by result.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Counts {
    /// Answered within the target time.
    #[serde(rename = "in_aim")]
    pub(crate) on_target: u64,
    /// Answered after the target time.
    pub(crate) late: u64,
    /// Refused without having run.
    pub(crate) refused: u64,
    /// Failed.
    pub(crate) failed: u64,
    /// Not permitted.
    pub(crate) denied: u64,
}

/// The times of one stage of one route, in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct StageRow {
    route: String,
    stage: u32,
    /// The number of late requests, the only ones counted here.
    late: usize,
    wait_p50: u64,
    wait_p90: u64,
    call_p50: u64,
    call_p90: u64,
    /// The number of these requests in which no other stage took longer.
    longest: usize,
}

/// The number of requests of a route that were not answered for one reason.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ReasonRow {
    route: String,
    reason: String,
    requests: u64,
}

/// The summary of the logs.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Summary {
    /// The results by route.
    pub(crate) routes: BTreeMap<String, Counts>,
    /// The times that late requests spent in the stages before an engine.
    pub(crate) stages: Vec<StageRow>,
    /// The reasons why requests were refused, failed or were not permitted.
    pub(crate) reasons: Vec<ReasonRow>,
    /// The results by second, from the first request on.
    pub(crate) seconds: Vec<Counts>,
}

impl Counts {
    fn add(&mut self, result: RequestResult) {
        let count = match result {
            RequestResult::OnTarget => &mut self.on_target,
            RequestResult::Late => &mut self.late,
            RequestResult::Refused => &mut self.refused,
            RequestResult::Failed => &mut self.failed,
            RequestResult::Denied => &mut self.denied,
        };
        *count += 1;
    }

    fn cells(self) -> [u64; 5] {
        [self.on_target, self.late, self.refused, self.failed, self.denied]
    }
}

impl Summary {
    /// Summarizes lines that are sorted by time.
    pub(crate) fn from_lines(lines: &[Line]) -> Self {
        let mut summary = Self::default();
        let mut stages: HashMap<&str, Vec<StageTimes>> = HashMap::new();
        let mut late: BTreeMap<(&str, u32), Vec<(StageTimes, bool)>> = BTreeMap::new();
        let mut reasons: BTreeMap<(&str, &str), u64> = BTreeMap::new();
        let mut first = None;
        for line in lines {
            let id = line.request.as_deref().unwrap_or_default();
            if let Some(times) = line.stages() {
                stages.insert(id, times);
            }
            let Some(it) = line.answered() else { continue };
            summary.routes.entry(it.route.to_owned()).or_default().add(it.result);
            let first = *first.get_or_insert(line.time);
            let second = line.time.duration_since(first).as_secs() as usize;
            if summary.seconds.len() <= second {
                summary.seconds.resize(second + 1, Counts::default());
            }
            summary.seconds[second].add(it.result);
            match it.result {
                RequestResult::OnTarget => {}
                RequestResult::Late => {
                    let times = stages.get(id).map_or(&[][..], Vec::as_slice);
                    let longest = times.iter().map(|it| it.wait + it.call).max();
                    for time in times {
                        let is_longest = Some(time.wait + time.call) == longest;
                        late.entry((it.route, time.stage)).or_default().push((*time, is_longest));
                    }
                }
                _ => *reasons.entry((it.route, it.outcome)).or_default() += 1,
            }
        }
        summary.stages = late.into_iter().map(|(key, times)| stage_row(key, &times)).collect();
        let rows = reasons.into_iter().map(|((route, reason), requests)| ReasonRow {
            route: route.to_owned(),
            reason: reason.to_owned(),
            requests,
        });
        summary.reasons = rows.collect();
        summary
    }

    /// Formats the summary as tables for humans.
    pub(crate) fn format(&self) -> String {
        let heading = ["route", "in aim", "late", "refused", "failed", "denied"];
        let mut routes = Table::with_heading(&heading);
        for (route, counts) in &self.routes {
            let counts = counts.cells().map(|it| it.to_string());
            routes.add([vec![route.clone()], counts.to_vec()].concat());
        }
        let heading = [
            "stages of late ones",
            "stage",
            "late",
            "wait p50 ms",
            "p90",
            "call p50 ms",
            "p90",
            "longest",
        ];
        let mut stages = Table::with_heading(&heading);
        for it in &self.stages {
            let numbers = [it.wait_p50, it.wait_p90, it.call_p50, it.call_p90];
            let mut cells = vec![it.route.clone(), it.stage.to_string(), it.late.to_string()];
            cells.extend(numbers.map(|it| it.to_string()));
            cells.push(it.longest.to_string());
            stages.add(cells);
        }
        let mut reasons = Table::with_heading(&["not answered", "reason", "requests"]);
        for it in &self.reasons {
            reasons.add(vec![it.route.clone(), it.reason.clone(), it.requests.to_string()]);
        }
        [routes, stages, reasons].map(|it| it.format()).join("\n\n")
    }
}

fn stage_row((route, stage): (&str, u32), times: &[(StageTimes, bool)]) -> StageRow {
    let waits = sorted(times.iter().map(|it| it.0.wait));
    let calls = sorted(times.iter().map(|it| it.0.call));
    StageRow {
        route: route.to_owned(),
        stage,
        late: times.len(),
        wait_p50: quantile(&waits, 0.5),
        wait_p90: quantile(&waits, 0.9),
        call_p50: quantile(&calls, 0.5),
        call_p90: quantile(&calls, 0.9),
        longest: times.iter().filter(|it| it.1).count(),
    }
}

fn sorted(times: impl Iterator<Item = Duration>) -> Vec<Duration> {
    let mut times: Vec<Duration> = times.collect();
    times.sort_unstable();
    times
}

/// Returns the `share` quantile of sorted times in milliseconds; 0 if there are none.
fn quantile(times: &[Duration], share: f64) -> u64 {
    let place = (times.len().saturating_sub(1) as f64 * share).round() as usize;
    times.get(place).map_or(0, |it| it.as_millis() as u64)
}
