//! The entry's metrics. Every label has few values: names come from the service, never from
//! callers.

use std::time::Duration;

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};
use telemetry::ByteCounters;
use types::PoolName;

/// The bounds of the histograms' buckets in seconds, up to the longest deadlines.
const BUCKET_BOUNDS_S: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 7.0, 15.0];

/// The entry's metrics.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    bytes: Option<ByteCounters>,
    requests: IntCounterVec,
    request_times: HistogramVec,
    call_times: HistogramVec,
    claim_times: HistogramVec,
    calls: IntCounterVec,
    extra_calls: IntCounterVec,
    claims: IntCounterVec,
    /// The number of requests in flight.
    pub(crate) in_flight: IntGauge,
    /// The number of connections from callers.
    pub(crate) connections: IntGauge,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let registry = telemetry::open_registry();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let metric = IntCounterVec::new(Opts::new(name, help), labels);
            let metric = metric.unwrap_or_else(|e| unreachable!("{name}: {e}"));
            let _ = registry.register(Box::new(metric.clone()));
            metric
        };
        let gauge = |name: &str, help: &str| {
            let metric = IntGauge::new(name, help);
            let metric = metric.unwrap_or_else(|e| unreachable!("{name}: {e}"));
            let _ = registry.register(Box::new(metric.clone()));
            metric
        };
        let times = |name: &str, help: &str, label: &str| {
            let options = HistogramOpts::new(name, help).buckets(BUCKET_BOUNDS_S.to_vec());
            let metric = HistogramVec::new(options, &[label]);
            let metric = metric.unwrap_or_else(|e| unreachable!("{name}: {e}"));
            let _ = registry.register(Box::new(metric.clone()));
            metric
        };
        Self {
            requests: counter(
                "mothplank_requests_total",
                "Requests by outcome and reason",
                &["outcome", "reason"],
            ),
            request_times: times(
                "mothplank_request_seconds",
                "Time from arrival to answer",
                "outcome",
            ),
            call_times: times("mothplank_call_seconds", "Time of calls that were used", "pool"),
            claim_times: times("mothplank_claim_seconds", "Time of a claim's steps", "step"),
            calls: counter(
                "mothplank_calls_total",
                "Calls to upstreams by pool and end",
                &["pool", "end"],
            ),
            extra_calls: counter(
                "mothplank_extra_calls_total",
                "Calls beyond the first of a stage, by pool and kind",
                &["pool", "kind"],
            ),
            claims: counter("mothplank_claims_total", "Claims by answer", &["answer"]),
            in_flight: gauge("mothplank_requests_under_way", "Requests under way"),
            connections: gauge("mothplank_caller_connections", "Connections from callers"),
            bytes: ByteCounters::open(&registry).ok(),
            registry,
        }
    }

    pub(crate) fn request_ended(&self, outcome: &str, reason: &str, took: Duration) {
        self.requests.with_label_values(&[outcome, reason]).inc();
        self.request_times.with_label_values(&[outcome]).observe(took.as_secs_f64());
    }

    pub(crate) fn call_ended(&self, pool: &PoolName, end: &str) {
        self.calls.with_label_values(&[pool.as_str(), end]).inc();
    }

    /// Counts a call whose result was used.
    pub(crate) fn call_used(&self, pool: &PoolName, took: Duration) {
        self.call_ended(pool, "ok");
        self.call_times.with_label_values(&[pool.as_str()]).observe(took.as_secs_f64());
    }

    /// Records the duration of a step of a claim.
    pub(crate) fn claim_step(&self, step: &str, took: Duration) {
        self.claim_times.with_label_values(&[step]).observe(took.as_secs_f64());
    }

    pub(crate) fn extra_call(&self, pool: &PoolName, kind: &str) {
        self.extra_calls.with_label_values(&[pool.as_str(), kind]).inc();
    }

    pub(crate) fn claim_answer(&self, answer: &str) {
        self.claims.with_label_values(&[answer]).inc();
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> Vec<u8> {
        if let Some(bytes) = &self.bytes {
            let traffic = wire::Traffic::read();
            bytes.set(traffic.sent, traffic.received, traffic.queued);
        }
        let mut text = Vec::new();
        if let Err(e) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("failed to encode metrics: {e}");
        }
        text
    }
}
