//! Drops load digests that arrive after newer ones.

use std::time::{Duration, Instant};

/// The time without a newer digest after which a lower number counts as the first one of a new
/// sender.
const NEW_SENDER_TIMEOUT: Duration = Duration::from_secs(3);

/// Accepts the digests of one control process in their order.
///
/// Datagrams may arrive out of order, and an outdated digest would route work to the wrong
/// upstreams. A new leader, however, numbers its digests from the start. If nothing newer arrived
/// for a while, the old numbers are therefore ignored.
#[derive(Debug, Default)]
pub struct DigestFilter {
    latest: Option<(u64, Instant)>,
}

impl DigestFilter {
    /// Returns whether a digest that arrived by datagram is to be used.
    pub fn accept_datagram(&mut self, sequence: u64, now: Instant) -> bool {
        let is_outdated = self.latest.is_some_and(|(latest, at)| {
            sequence <= latest && now.saturating_duration_since(at) < NEW_SENDER_TIMEOUT
        });
        if !is_outdated {
            self.latest = Some((sequence, now));
        }
        !is_outdated
    }

    /// Records a digest that arrived over the connection, which preserves the order.
    pub fn record_stream(&mut self, sequence: u64, now: Instant) {
        self.latest = Some((sequence, now));
    }
}
