//! The metrics of a member, served at `/metrics`.

use std::time::Duration;

use prometheus::{Histogram, HistogramOpts, IntCounter, IntGauge, Registry};

use crate::view::View;

/// The bucket bounds of the sync histogram, in seconds.
const SYNC_BUCKETS_S: [f64; 9] = [0.0005, 0.001, 0.002, 0.005, 0.01, 0.05, 0.2, 1.0, 5.0];

/// The duration above which a write is logged, because commits wait for it.
const SLOW_SYNC_THRESHOLD: Duration = Duration::from_millis(300);

/// The metrics.
pub(crate) struct Metrics {
    registry: Registry,
    /// The log entries applied.
    pub(crate) applied: IntCounter,
    /// The snapshots written.
    pub(crate) snapshots: IntCounter,
    leads: IntGauge,
    term: IntGauge,
    version: IntGauge,
    syncs: Histogram,
    bytes: telemetry::ByteCounters,
}

impl Metrics {
    /// Registers every metric.
    ///
    /// # Errors
    /// Returns an error if a metric name is not valid.
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = telemetry::open_registry();
        let applied = IntCounter::new("mothplank_control_applied_total", "Log entries applied.")?;
        let snapshots = IntCounter::new("mothplank_control_snapshots_total", "Snapshots written.")?;
        let leads = IntGauge::new("mothplank_control_leads", "1 if this member leads.")?;
        let term = IntGauge::new("mothplank_control_term", "The term of the replicated log.")?;
        let version = IntGauge::new("mothplank_control_version", "The service version applied.")?;
        let options =
            HistogramOpts::new("mothplank_control_sync_seconds", "Time of one write and sync.")
                .buckets(SYNC_BUCKETS_S.to_vec());
        let syncs = Histogram::with_opts(options)?;
        registry.register(Box::new(applied.clone()))?;
        registry.register(Box::new(snapshots.clone()))?;
        registry.register(Box::new(leads.clone()))?;
        registry.register(Box::new(term.clone()))?;
        registry.register(Box::new(version.clone()))?;
        registry.register(Box::new(syncs.clone()))?;
        let bytes = telemetry::ByteCounters::open(&registry)?;
        Ok(Self { registry, applied, snapshots, leads, term, version, syncs, bytes })
    }

    /// Records the duration of a write and its sync.
    pub(crate) fn sync(&self, took: Duration) {
        self.syncs.observe(took.as_secs_f64());
        if took > SLOW_SYNC_THRESHOLD {
            let ms = took.as_millis() as u64;
            log::warn!(ms; "the disk was slow to sync");
        }
    }

    /// Updates the gauges from the node's state.
    pub(crate) fn set_node_state(&self, view: &View) {
        self.leads.set(i64::from(view.leads()));
        self.term.set(view.term.0 as i64);
        self.version.set(view.version.0 as i64);
    }

    /// Renders the text for `/metrics`.
    pub(crate) fn render(&self) -> String {
        let traffic = wire::Traffic::read();
        self.bytes.set(traffic.sent, traffic.received, traffic.queued);
        telemetry::render(&self.registry)
    }
}
