//! The metrics of an entry.

use std::collections::BTreeMap;
use std::time::Duration;

use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry,
};
use types::{StepError, StepResult};

use crate::phases::Phases;

/// The upper bounds of the latency buckets, in seconds: from a fast service to a long stream.
const LATENCIES: [f64; 10] = [0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0, 20.0];

/// The upper bounds of the buckets of an owner's steps, in seconds: from an idle owner to one that
/// waits for its processor as long as calls take.
const STEPS: [f64; 10] = [0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.06, 0.1, 0.3, 1.0];

/// How asking another entry for a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoanOutcome {
    /// It lends one.
    Lent,
    /// It has none left.
    Refused,
    /// It did not answer in time, or can't be asked.
    Late,
}

impl From<Option<bool>> for LoanOutcome {
    /// Takes whether it is lent, or `None` without an answer.
    fn from(lent: Option<bool>) -> Self {
        match lent {
            Some(true) => Self::Lent,
            Some(false) => Self::Refused,
            None => Self::Late,
        }
    }
}

impl LoanOutcome {
    fn name(self) -> &'static str {
        match self {
            Self::Lent => "lent",
            Self::Refused => "refused",
            Self::Late => "late",
        }
    }
}

/// The metrics of an entry.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    /// Requests by kind and outcome.
    pub(crate) requests: IntCounterVec,
    /// Calls of upstreams by outcome.
    pub(crate) calls: IntCounterVec,
    /// The time to the first byte of an answer, in seconds.
    pub(crate) first_byte: Histogram,
    /// The time before a first event, in seconds, by service and phase.
    pub(crate) phases: HistogramVec,
    /// The version of the plan in force.
    pub(crate) version: IntGauge,
    /// The number of requests in quarantine.
    pub(crate) quarantined: IntGauge,
    /// The number of evacuated failure domains.
    pub(crate) evacuated: IntGauge,
    /// The number of services of which this entry reaches no upstream by itself.
    pub(crate) cut_off: IntGauge,
    /// Connections of callers that were closed before a request was read.
    pub(crate) unread: IntCounter,
    /// Streams that ended before they were complete, by cause.
    pub(crate) streams_cut: IntCounterVec,
    /// Responses of upstreams that were cut because they did not end, by cause.
    pub(crate) responses_cut: IntCounterVec,
    /// Answers of upstreams that could be taken for what they are not, by what became of them and by what
    /// shows whose they are.
    pub(crate) evidence: IntCounterVec,
    /// Callers' connections that ended with a request in progress.
    pub(crate) unanswered: IntCounter,
    /// Requests whose handling panicked.
    pub(crate) panics: IntCounter,
    /// The delay of due tasks, in ms.
    pub(crate) lag: IntGauge,
    /// Loans of connections by outcome.
    pub(crate) connection_loans: IntCounterVec,
    /// Pieces that were failed as late, by service and cause.
    late_pieces: IntCounterVec,
    /// Results that found no space where their owner expected some, by service.
    space_refusals: IntCounterVec,
    /// The bytes by which the accounts of these upstreams were wrong at the most, by service.
    space_errors: IntCounterVec,
    /// Reports of the space for results that corrected an account, by service.
    space_reports: IntCounterVec,
    /// The load that upstreams told of late, by service and figure.
    pub(crate) told_load: IntGaugeVec,
    /// The number of sections that this entry owns.
    pub(crate) owned_sections: IntGauge,
    /// The number of entries that may own sections.
    pub(crate) owner_candidates: IntGauge,
    /// The time of an owner's step, in seconds.
    pub(crate) owner_step: Histogram,
    /// The time from the arrival of an owner's event to its handling, in seconds.
    pub(crate) owner_delay: Histogram,
    /// The upstreams that are passed over, by service.
    passed_over: IntGaugeVec,
    /// Changes of the upstreams that are passed over, by service and reason.
    health_changes: IntCounterVec,
    /// Requests that were trials at upstreams that are passed over, by service.
    health_trials: IntCounterVec,
}

impl Metrics {
    /// Registers the metrics.
    pub(crate) fn open(registry: &Registry) -> StepResult<Self> {
        let fault = |e| StepError::new("register metrics", e);
        let requests = Opts::new("mothplank_gateway_requests_total", "Requests by outcome");
        let calls = Opts::new("mothplank_gateway_calls_total", "Calls of upstreams by outcome");
        let first_byte =
            HistogramOpts::new("mothplank_gateway_first_seconds", "Time to first byte")
                .buckets(LATENCIES.to_vec());
        let phases = HistogramOpts::new(
            "mothplank_gateway_phase_seconds",
            "Time of stages (wait, call, way) and of engines (first event) by service",
        )
        .buckets(LATENCIES.to_vec());
        let loans = Opts::new(
            "mothplank_gateway_connection_loans_total",
            "Loans of connections that this entry asked others for, by outcome",
        );
        let late_pieces = Opts::new(
            "mothplank_gateway_late_pieces_total",
            "Pieces that were failed as late, by what they lacked (time, space) or at their deadline",
        );
        let space_refusals = Opts::new(
            "mothplank_gateway_space_refusals_total",
            "Results that found no space where their owner expected some",
        );
        let space_errors = Opts::new(
            "mothplank_gateway_space_error_bytes_total",
            "Bytes that were in use beyond the owner's account when a result found no space",
        );
        let space_reports = Opts::new(
            "mothplank_gateway_space_reports_total",
            "Reports of upstreams that corrected the owner's account of their space",
        );
        let streams_cut = Opts::new(
            "mothplank_gateway_streams_cut_total",
            "Streams that ended before they were complete, by cause",
        );
        let responses_cut = Opts::new(
            "mothplank_gateway_responses_cut_total",
            "Responses of upstreams that were cut because they did not end, by cause",
        );
        let evidence = Opts::new(
            "mothplank_gateway_answer_evidence_total",
            "Refusals, foreign answers and unmarked promises of upstreams, by what shows whose they are",
        );
        let told = Opts::new(
            "mothplank_gateway_told_load",
            "Load that upstreams told within the last second, by service and figure",
        );
        let owner_step =
            HistogramOpts::new("mothplank_gateway_owner_step_seconds", "Owner's steps")
                .buckets(STEPS.to_vec());
        let owner_delay = HistogramOpts::new(
            "mothplank_gateway_owner_delay_seconds",
            "Time from the arrival of an owner's event to its handling",
        )
        .buckets(STEPS.to_vec());
        let passed_over = Opts::new(
            "mothplank_gateway_passed_over_upstreams",
            "Upstreams that are passed over because they fail more often than others, by service",
        );
        let health_changes = Opts::new(
            "mothplank_gateway_passed_over_changes_total",
            "Changes of the upstreams that are passed over, by service and reason",
        );
        let health_trials = Opts::new(
            "mothplank_gateway_trials_total",
            "Requests that were trials at upstreams that are passed over, by service",
        );
        let it = Self {
            phases: HistogramVec::new(phases, &["service", "phase"]).map_err(fault)?,
            requests: IntCounterVec::new(requests, &["kind", "outcome"]).map_err(fault)?,
            calls: IntCounterVec::new(calls, &["outcome"]).map_err(fault)?,
            first_byte: Histogram::with_opts(first_byte).map_err(fault)?,
            version: IntGauge::new("mothplank_gateway_plan_version", "Version in force")
                .map_err(fault)?,
            quarantined: IntGauge::new(
                "mothplank_gateway_held_requests",
                "Requests that are not sent",
            )
            .map_err(fault)?,
            evacuated: IntGauge::new(
                "mothplank_gateway_evacuated_domains",
                "Failure domains whose upstreams get nothing new",
            )
            .map_err(fault)?,
            cut_off: IntGauge::new(
                "mothplank_gateway_cut_off_services",
                "Services of which the entry reaches no upstream by itself",
            )
            .map_err(fault)?,
            unread: IntCounter::new(
                "mothplank_gateway_closed_unread_total",
                "Connections of callers that were closed before a request was read",
            )
            .map_err(fault)?,
            streams_cut: IntCounterVec::new(streams_cut, &["cause"]).map_err(fault)?,
            responses_cut: IntCounterVec::new(responses_cut, &["cause"]).map_err(fault)?,
            evidence: IntCounterVec::new(evidence, &["answer", "identity"]).map_err(fault)?,
            unanswered: IntCounter::new(
                "mothplank_gateway_unanswered_total",
                "Connections of callers that ended with a request in progress",
            )
            .map_err(fault)?,
            panics: IntCounter::new(
                "mothplank_gateway_panics_total",
                "Requests whose handling panicked",
            )
            .map_err(fault)?,
            lag: IntGauge::new("mothplank_gateway_lag_ms", "Delay of due tasks").map_err(fault)?,
            connection_loans: IntCounterVec::new(loans, &["outcome"]).map_err(fault)?,
            late_pieces: IntCounterVec::new(late_pieces, &["service", "cause"]).map_err(fault)?,
            space_refusals: IntCounterVec::new(space_refusals, &["service"]).map_err(fault)?,
            space_errors: IntCounterVec::new(space_errors, &["service"]).map_err(fault)?,
            space_reports: IntCounterVec::new(space_reports, &["service"]).map_err(fault)?,
            told_load: IntGaugeVec::new(told, &["service", "figure"]).map_err(fault)?,
            owned_sections: IntGauge::new(
                "mothplank_gateway_owned_sections",
                "Sections of services that this entry owns",
            )
            .map_err(fault)?,
            owner_candidates: IntGauge::new(
                "mothplank_gateway_owner_candidates",
                "Entries that may own sections",
            )
            .map_err(fault)?,
            owner_step: Histogram::with_opts(owner_step).map_err(fault)?,
            owner_delay: Histogram::with_opts(owner_delay).map_err(fault)?,
            passed_over: IntGaugeVec::new(passed_over, &["service"]).map_err(fault)?,
            health_changes: IntCounterVec::new(health_changes, &["service", "change"])
                .map_err(fault)?,
            health_trials: IntCounterVec::new(health_trials, &["service"]).map_err(fault)?,
        };
        registry.register(Box::new(it.requests.clone())).map_err(fault)?;
        registry.register(Box::new(it.calls.clone())).map_err(fault)?;
        registry.register(Box::new(it.first_byte.clone())).map_err(fault)?;
        registry.register(Box::new(it.phases.clone())).map_err(fault)?;
        registry.register(Box::new(it.version.clone())).map_err(fault)?;
        registry.register(Box::new(it.quarantined.clone())).map_err(fault)?;
        registry.register(Box::new(it.evacuated.clone())).map_err(fault)?;
        registry.register(Box::new(it.cut_off.clone())).map_err(fault)?;
        registry.register(Box::new(it.unread.clone())).map_err(fault)?;
        registry.register(Box::new(it.streams_cut.clone())).map_err(fault)?;
        registry.register(Box::new(it.responses_cut.clone())).map_err(fault)?;
        registry.register(Box::new(it.evidence.clone())).map_err(fault)?;
        registry.register(Box::new(it.unanswered.clone())).map_err(fault)?;
        registry.register(Box::new(it.panics.clone())).map_err(fault)?;
        registry.register(Box::new(it.lag.clone())).map_err(fault)?;
        registry.register(Box::new(it.connection_loans.clone())).map_err(fault)?;
        for counters in [&it.late_pieces, &it.space_refusals, &it.space_errors, &it.space_reports] {
            registry.register(Box::new(counters.clone())).map_err(fault)?;
        }
        registry.register(Box::new(it.told_load.clone())).map_err(fault)?;
        registry.register(Box::new(it.owned_sections.clone())).map_err(fault)?;
        registry.register(Box::new(it.owner_candidates.clone())).map_err(fault)?;
        registry.register(Box::new(it.owner_step.clone())).map_err(fault)?;
        registry.register(Box::new(it.owner_delay.clone())).map_err(fault)?;
        registry.register(Box::new(it.passed_over.clone())).map_err(fault)?;
        registry.register(Box::new(it.health_changes.clone())).map_err(fault)?;
        registry.register(Box::new(it.health_trials.clone())).map_err(fault)?;
        Ok(it)
    }

    /// Returns the count of loans of connections with an outcome.
    pub(crate) fn loans(&self, outcome: LoanOutcome) -> IntCounter {
        self.connection_loans.with_label_values(&[outcome.name()])
    }

    /// Returns the count of pieces of a service that were failed as late for a cause.
    pub(crate) fn late_pieces(&self, service: &str, cause: &str) -> IntCounter {
        self.late_pieces.with_label_values(&[service, cause])
    }

    /// Records that a result found no space, and by how many bytes the account was wrong.
    pub(crate) fn record_space_error(&self, service: &str, bytes: u64) {
        self.space_refusals.with_label_values(&[service]).inc();
        self.space_errors.with_label_values(&[service]).inc_by(bytes);
    }

    /// Records a report that corrected an account.
    pub(crate) fn record_space_report(&self, service: &str) {
        self.space_reports.with_label_values(&[service]).inc();
    }

    /// Sets how many upstreams of each service are passed over.
    pub(crate) fn set_passed_over(&self, counts: BTreeMap<&str, usize>) {
        self.passed_over.reset();
        for (service, count) in counts {
            self.passed_over.with_label_values(&[service]).set(count as i64);
        }
    }

    /// Counts a change of the upstreams that are passed over.
    pub(crate) fn count_health(&self, service: &str, change: &str) {
        self.health_changes.with_label_values(&[service, change]).inc();
    }

    /// Counts a request that is a trial at an upstream that is passed over.
    pub(crate) fn count_trial(&self, service: &str) {
        self.health_trials.with_label_values(&[service]).inc();
    }

    /// Records the times of a request's stages.
    pub(crate) fn record_stages(&self, phases: &Phases) {
        for it in &phases.0 {
            let way = it.total.saturating_sub(it.times.wait + it.times.call);
            for (phase, time) in [("wait", it.times.wait), ("call", it.times.call), ("way", way)] {
                let histogram = self.phases.with_label_values(&[&*it.service, phase]);
                histogram.observe(time.as_secs_f64());
            }
        }
    }

    /// Records the time from offering a request to an engine to its first event.
    pub(crate) fn record_engine(&self, service: &str, took: Duration) {
        self.phases.with_label_values(&[service, "engine"]).observe(took.as_secs_f64());
    }
}
