//! The measured values of one cluster.

use std::time::Duration;

use types::{StepError, StepResult};

use crate::Sizes;

/// The clock ticks per second in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// The number of control members; they are the first processes of a sample.
const CONTROL_COUNT: usize = 3;

/// The resources that a process has used since its start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usage {
    /// The CPU time in seconds.
    cpu: f64,
    /// The resident memory in MB.
    memory: f64,
    /// The bytes sent to other nodes.
    sent: f64,
    /// The bytes received from other nodes.
    received: f64,
    /// Whether the process is the leader.
    leads: bool,
}

impl Usage {
    /// Reads the usage of a process from `/proc` and from the text of its metrics.
    ///
    /// # Errors
    /// Returns an error if the process has ended.
    pub(crate) fn read(process: u32, metrics: &str) -> StepResult<Self> {
        let read_error = || StepError::new("read usage", "the process has ended").at(process);
        let stat =
            std::fs::read_to_string(format!("/proc/{process}/stat")).map_err(|_| read_error())?;
        let fields: Vec<&str> =
            stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|it| it.parse::<f64>().ok());
        let cpu = (ticks(11).ok_or_else(read_error)? + ticks(12).ok_or_else(read_error)?)
            / TICKS_PER_SECOND;
        let pages = ticks(21).ok_or_else(read_error)?;
        Ok(Self {
            cpu,
            memory: pages * 4096.0 / 1e6,
            sent: metric_value(metrics, "mothplank_wire_sent_bytes_total"),
            received: metric_value(metrics, "mothplank_wire_received_bytes_total"),
            leads: metric_value(metrics, "mothplank_control_leads") > 0.0,
        })
    }
}

/// Returns the value of a metric, or 0 if the metric is missing.
fn metric_value(metrics: &str, name: &str) -> f64 {
    let line = metrics.lines().find_map(|it| it.strip_prefix(name)?.strip_prefix(' '));
    line.and_then(|it| it.parse().ok()).unwrap_or(0.0)
}

/// Two readings of the usage of all processes, and the results of the load.
pub(crate) struct Sample {
    /// The sizes of the cluster.
    pub(crate) sizes: Sizes,
    /// The first reading.
    pub(crate) before: Vec<Usage>,
    /// The second reading.
    pub(crate) after: Vec<Usage>,
    /// The seconds between the readings.
    pub(crate) seconds: f64,
    /// The number of requests answered successfully.
    pub(crate) answered: u64,
    /// The number of tokens received by callers until the last stream ended.
    pub(crate) tokens: u64,
    /// The time that each change took to be in force at every entry.
    pub(crate) in_force: Vec<Duration>,
}

impl Sample {
    /// Returns the header of the table.
    pub(crate) fn header() -> &'static str {
        "| entries | upstreams | customers | load | leader % core / MB / KB/s out / in \
         | follower | entry | answered | streams, their tokens | in force ms, longest of 5 |\n\
         |---|---|---|---|---|---|---|---|---|---|"
    }

    /// Returns the row of the table.
    pub(crate) fn row(&self) -> String {
        let leader = |at: usize| at < CONTROL_COUNT && self.after[at].leads;
        let follower = |at: usize| at < CONTROL_COUNT && !self.after[at].leads;
        let longest = self.in_force.iter().max().copied().unwrap_or_default();
        let Sizes { entries, upstreams, customers, load, streams } = self.sizes;
        let tokens = self.tokens;
        format!(
            "| {entries} | {upstreams} | {customers} | {} | {} | {} | {} | {} | \
             {streams}, {tokens} | {:.0} |",
            if load { "yes" } else { "no" },
            self.mean(leader),
            self.mean(follower),
            self.mean(|at| at >= CONTROL_COUNT),
            self.answered,
            longest.as_secs_f64() * 1e3,
        )
    }

    /// Formats the mean usage of the processes that `chosen` selects by index.
    fn mean(&self, chosen: impl Fn(usize) -> bool) -> String {
        let all: Vec<usize> = (0..self.after.len()).filter(|at| chosen(*at)).collect();
        let count = all.len().max(1) as f64;
        let sum = |f: &dyn Fn(usize) -> f64| all.iter().map(|at| f(*at)).sum::<f64>() / count;
        let rate = |f: &dyn Fn(&Usage) -> f64| {
            sum(&|at| (f(&self.after[at]) - f(&self.before[at])) / self.seconds)
        };
        format!(
            "{:.2} / {:.1} / {:.2} / {:.2}",
            100.0 * rate(&|it| it.cpu),
            sum(&|at| self.after[at].memory),
            rate(&|it| it.sent) / 1e3,
            rate(&|it| it.received) / 1e3,
        )
    }
}
