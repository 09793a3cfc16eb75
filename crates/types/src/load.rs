//! The load digest: the load of each upstream, summed over all entries.

use serde::{Deserialize, Serialize};

use crate::{Millis, UpstreamName};

/// Whether an upstream may get new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamAvailability {
    /// The upstream takes new work.
    #[default]
    Live,
    /// The upstream is draining: its work in flight ends there, new work goes to others.
    Leaving,
}

/// The known load of one upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Calls in flight from all entries, as they last reported.
    pub in_flight: u32,
    /// Calls running and waiting, as the upstream itself reported.
    pub reported: Option<u32>,
    /// The age of `reported` when the digest was built.
    pub report_age: Millis,
    /// Whether the upstream may get new work.
    pub availability: UpstreamAvailability,
}

/// The loads of several upstreams; a delta holds only those that changed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The number of this digest among those of one control process; a receiver drops an old
    /// datagram by it.
    pub sequence: u64,
    /// The loads.
    pub loads: Vec<UpstreamLoad>,
    /// The number of entries whose in-flight counts are summed.
    pub entries: u32,
}
