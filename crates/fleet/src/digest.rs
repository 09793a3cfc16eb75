//! Builds load digests: the largest changes, within a bound on their size.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use types::{Digest, UpstreamAvailability, UpstreamLoad, UpstreamName};

/// How often a digest contains every upstream.
const FULL_DIGEST_INTERVAL: Duration = Duration::from_secs(10);

/// How often a digest contains an upstream that is leaving, since a full queue on the way may drop
/// an earlier one.
const LEAVING_REPEAT_INTERVAL: Duration = Duration::from_secs(2);

/// The maximum number of loads in a digest that is not full. With two digests per second and five
/// bytes per load, this bounds the traffic to each entry to 2 KB/s, however many upstreams there
/// are.
const MAX_DELTA_LOADS: usize = 192;

/// Builds the digests of one term.
#[derive(Debug)]
pub struct DigestMaker {
    sequence: u64,
    sent: BTreeMap<UpstreamName, (UpstreamLoad, Instant)>,
    full_at: Option<Instant>,
}

impl DigestMaker {
    /// Creates a builder whose first digest has the number `first + 1`.
    pub fn new(first: u64) -> Self {
        Self { sequence: first, sent: BTreeMap::new(), full_at: None }
    }

    /// Makes the next digest a full one.
    pub fn reset(&mut self) {
        self.full_at = None;
    }

    /// Returns a digest of what changed among `loads`, or `None` if nothing did.
    pub fn make(&mut self, loads: &[UpstreamLoad], entries: u32, now: Instant) -> Option<Digest> {
        let full =
            self.full_at.is_none_or(|at| now.saturating_duration_since(at) >= FULL_DIGEST_INTERVAL);
        let changes = if full { loads.to_vec() } else { self.changes(loads, now) };
        if full {
            self.full_at = Some(now);
            self.sent.clear();
        }
        if changes.is_empty() {
            return None;
        }
        for load in &changes {
            self.sent.insert(load.upstream.clone(), (load.clone(), now));
        }
        self.sequence += 1;
        Some(Digest { sequence: self.sequence, loads: changes, entries })
    }

    fn changes(&self, loads: &[UpstreamLoad], now: Instant) -> Vec<UpstreamLoad> {
        let prioritized = loads.iter().map(|load| (self.priority(load, now), load));
        let mut changes: Vec<(u64, &UpstreamLoad)> =
            prioritized.filter(|(priority, _)| *priority > 0).collect();
        changes.sort_by_key(|(priority, _)| std::cmp::Reverse(*priority));
        let urgent = changes.iter().filter(|(priority, _)| *priority == u64::MAX).count();
        changes.truncate(MAX_DELTA_LOADS.max(urgent));
        changes.into_iter().map(|(_, load)| load.clone()).collect()
    }

    /// Returns the priority of a load by the error that an entry has without it: changed
    /// availability first, then changed counts, then counts that were confirmed again.
    fn priority(&self, load: &UpstreamLoad, now: Instant) -> u64 {
        let Some((before, at)) = self.sent.get(&load.upstream) else {
            return u64::MAX;
        };
        if before.availability != load.availability {
            return u64::MAX;
        }
        let elapsed = now.saturating_duration_since(*at);
        if load.availability == UpstreamAvailability::Leaving && elapsed >= LEAVING_REPEAT_INTERVAL
        {
            return u64::MAX - 1;
        }
        let counts =
            |it: &UpstreamLoad| u64::from(it.in_flight) + u64::from(it.reported.unwrap_or(0));
        let change = counts(load).abs_diff(counts(before));
        if change > 0 || before.reported.is_some() != load.reported.is_some() {
            return 1_000 * (1 + change) / (1 + counts(before).min(999));
        }
        // Compares the age that the entry assumes by now with the actual age. For an idle upstream
        // an old report is as good as a new one, so the full digest is soon enough.
        let assumed = before.report_age.0 + elapsed.as_millis() as u64;
        u64::from(counts(load) > 0 && load.reported.is_some() && load.report_age.0 + 500 < assumed)
    }
}
