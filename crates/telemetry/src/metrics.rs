//! The text of `/metrics`.

use prometheus::process_collector::ProcessCollector;
use prometheus::{IntCounter, IntGauge, Registry, TextEncoder};

/// The content type of the rendered text.
pub const CONTENT_TYPE: &str = prometheus::TEXT_FORMAT;

/// Opens a registry that already holds the process's own figures: CPU seconds, memory, open files,
/// threads, start time.
pub fn open_registry() -> Registry {
    let registry = Registry::new();
    // A new registry holds nothing that this could collide with.
    let _ = registry.register(Box::new(ProcessCollector::for_self()));
    registry
}

/// Renders all metrics of a registry.
pub fn render(registry: &Registry) -> String {
    TextEncoder::new().encode_to_string(&registry.gather()).unwrap_or_default()
}

/// The counters of bytes between the system's own processes.
#[derive(Clone, Debug)]
pub struct ByteCounters {
    sent: IntCounter,
    received: IntCounter,
    queued: IntGauge,
}

impl ByteCounters {
    /// Registers them.
    ///
    /// # Errors
    /// Where a metric of the same name is registered already.
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

    /// Takes the totals since the process started, and what waits in queues now.
    pub fn set(&self, sent: u64, received: u64, queued: u64) {
        self.queued.set(i64::try_from(queued).unwrap_or(i64::MAX));
        self.sent.inc_by(sent.saturating_sub(self.sent.get()));
        self.received.inc_by(received.saturating_sub(self.received.get()));
    }
}
