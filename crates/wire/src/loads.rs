//! Load digests as encoded on a connection: each upstream's name once, then its number.
//!
//! The numbers belong to the connection, not to a version of the service: the version of an entry may
//! be older than that of a member, and sites may have different upstreams. A connection keeps the
//! order, so both sides assign the same numbers, and no digest has to wait for a version.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use types::{Digest, Millis, UpstreamAvailability, UpstreamLoad, UpstreamName};

/// The load of an upstream with its number; about 5 bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NumberedLoad {
    /// Twice the number of the upstream, plus one if it is draining.
    key: u32,
    in_flight: u32,
    /// One more than the number of calls that the upstream reported; 0 for no report.
    reported: u32,
    report_age: Millis,
}

/// A digest with numbers instead of names.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NumberedDigest {
    /// The sequence number of the digest within its control process.
    pub sequence: u64,
    /// The number of entries that the in-flight counts cover.
    pub entries: u32,
    /// The number of the first of `names`; 0 restarts the numbering.
    pub first: u32,
    /// The names that no earlier digest of this connection contained.
    pub names: Vec<UpstreamName>,
    /// The loads.
    pub loads: Vec<NumberedLoad>,
}

/// Assigns the numbers of upstreams, at the sending side of a connection.
#[derive(Debug, Default)]
pub struct LoadNumbers(HashMap<UpstreamName, u32>);

/// Resolves the numbers of upstreams, at the receiving side of a connection.
#[derive(Debug, Default)]
pub struct LoadNames {
    names: Vec<UpstreamName>,
    dropped: u64,
}

impl LoadNumbers {
    /// Replaces the names in a digest by numbers. New numbers are valid only if the digest arrives.
    pub fn encode(&mut self, digest: &Digest) -> NumberedDigest {
        let first = self.0.len() as u32;
        let mut names = Vec::new();
        let mut loads = Vec::with_capacity(digest.loads.len());
        for load in &digest.loads {
            let known = self.0.get(&load.upstream).copied();
            let number = known.unwrap_or_else(|| {
                let next = self.0.len() as u32;
                self.0.insert(load.upstream.clone(), next);
                names.push(load.upstream.clone());
                next
            });
            loads.push(NumberedLoad::new(number, load));
        }
        let Digest { sequence, entries, .. } = *digest;
        NumberedDigest { sequence, entries, first, names, loads }
    }
}

impl LoadNames {
    /// Resolves the numbers in a digest. Returns `None` where an earlier digest was lost, because the
    /// numbers are then undefined until the numbering restarts.
    pub fn decode(&mut self, digest: NumberedDigest) -> Option<Digest> {
        if digest.first == 0 && !digest.names.is_empty() {
            self.names.clear();
        }
        if digest.first as usize != self.names.len() {
            self.dropped += 1;
            return None;
        }
        self.names.extend(digest.names);
        let loads = digest.loads.iter().map(|it| it.resolve(&self.names));
        let Some(loads) = loads.collect() else {
            self.dropped += 1;
            return None;
        };
        Some(Digest { sequence: digest.sequence, entries: digest.entries, loads })
    }

    /// Removes all numbers, as a new connection restarts the numbering.
    pub fn clear(&mut self) {
        self.names.clear();
    }

    /// Returns the number of digests that were dropped.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

impl NumberedLoad {
    fn new(number: u32, load: &UpstreamLoad) -> Self {
        let is_leaving = load.availability == UpstreamAvailability::Leaving;
        Self {
            key: number * 2 + u32::from(is_leaving),
            in_flight: load.in_flight,
            reported: load.reported.map_or(0, |it| it.saturating_add(1)),
            report_age: load.report_age,
        }
    }

    fn resolve(&self, names: &[UpstreamName]) -> Option<UpstreamLoad> {
        let availability = match self.key % 2 {
            0 => UpstreamAvailability::Live,
            _ => UpstreamAvailability::Leaving,
        };
        Some(UpstreamLoad {
            upstream: names.get(self.key as usize / 2)?.clone(),
            in_flight: self.in_flight,
            reported: self.reported.checked_sub(1),
            report_age: self.report_age,
            availability,
        })
    }
}
