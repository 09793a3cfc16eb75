//! The fleet's state as shown by `mothplank status`.

use std::collections::BTreeMap;

use types::{Millis, UpstreamAvailability, UpstreamName};

/// The state of all upstreams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetView {
    /// Whether this member leads, and therefore polls and sends orders.
    pub leading: bool,
    /// The upstreams of the service.
    pub upstreams: BTreeMap<UpstreamName, UpstreamStatus>,
    /// Why the platform's list is ignored, if it is.
    pub platform: Option<String>,
}

/// The state of one upstream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamStatus {
    /// Whether it gets new work.
    pub availability: UpstreamAvailability,
    /// The number of calls in flight from all entries.
    pub in_flight: u32,
    /// The number of calls running and waiting, as it last reported.
    pub reported: Option<u32>,
    /// The age of that report.
    pub report_age: Option<Millis>,
    /// Why it is leaving, or what is wrong with it; empty if nothing is.
    pub why: String,
    /// The order that it waits for or that is in flight; empty if it shows its target.
    pub order: String,
}
