//! The metrics registry and the text of `/metrics`.

use prometheus::process_collector::ProcessCollector;
use prometheus::{IntCounter, IntGauge, Registry, TextEncoder};

/// The content type of the rendered text.
pub const CONTENT_TYPE: &str = prometheus::TEXT_FORMAT;

/// Creates a registry with the metrics of the process: CPU seconds, memory, open files, threads and
/// start time.
pub fn open_registry() -> Registry {
    let registry = Registry::new();
    // This can't fail: a new registry has no metrics whose names could collide.
    let _ = registry.register(Box::new(ProcessCollector::for_self()));
    registry
}

/// Renders all metrics of a registry in the Prometheus text format.
pub fn render(registry: &Registry) -> String {
    TextEncoder::new().encode_to_string(&registry.gather()).unwrap_or_default()
}

/// Metrics of the bytes that the system's own processes exchange.
#[derive(Clone, Debug)]
pub struct ByteCounters {
    sent: IntCounter,
    received: IntCounter,
    queued: IntGauge,
}

impl ByteCounters {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    /// Returns an error if a metric of the same name is already registered.
    pub fn open(registry: &Registry) -> Result<Self, prometheus::Error> {
        let sent = IntCounter::new("mothplank_wire_sent_bytes_total", "Bytes to other nodes.")?;
        let received =
            IntCounter::new("mothplank_wire_received_bytes_total", "Bytes from other nodes.")?;
        let queued = IntGauge::new("mothplank_wire_queued_bytes", "Bytes that wait to be sent.")?;
        registry.register(Box::new(sent.clone()))?;
        registry.register(Box::new(received.clone()))?;
        registry.register(Box::new(queued.clone()))?;
        Ok(Self { sent, received, queued })
    }

    /// Sets the totals in bytes since the process started, and the bytes queued now.
    pub fn set(&self, sent: u64, received: u64, queued: u64) {
        self.queued.set(i64::try_from(queued).unwrap_or(i64::MAX));
        self.sent.inc_by(sent.saturating_sub(self.sent.get()));
        self.received.inc_by(received.saturating_sub(self.received.get()));
    }
}
