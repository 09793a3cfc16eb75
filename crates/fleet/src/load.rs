//! Sums the calls in flight of all entries.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use types::{Incarnation, UpstreamName, VmName};
use wire::session::LoadReport;

/// The age of an entry's latest report beyond which its calls are not counted.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct EntryLoad {
    owner: Incarnation,
    sequence: u64,
    at: Instant,
    /// The calls of the latest full report.
    base: BTreeMap<UpstreamName, u32>,
    /// The changes since the full report. They replace the base where they contain an upstream.
    delta: BTreeMap<UpstreamName, u32>,
}

impl EntryLoad {
    fn calls(&self) -> BTreeMap<UpstreamName, u32> {
        let mut calls = self.base.clone();
        calls.extend(self.delta.iter().map(|(name, count)| (name.clone(), *count)));
        calls
    }
}

/// Sums the reports of entries. The sums are updated with each report, so that reading them is
/// cheap.
#[derive(Debug, Default)]
pub struct EntryLoads {
    entries: BTreeMap<VmName, EntryLoad>,
    sums: BTreeMap<UpstreamName, u32>,
}

impl EntryLoads {
    /// Takes a report. One that is older than the known one is dropped.
    pub fn take(&mut self, report: LoadReport, now: Instant) {
        let LoadReport { vm, owner, sequence, in_flight, full } = report;
        let known = self.entries.remove(&vm);
        if let Some(known) = known {
            let late = known.owner == owner && sequence <= known.sequence;
            // A process starts with a full report. A partial report of another incarnation is
            // therefore a late one of the previous process.
            let former = known.owner != owner && !full;
            if late || former {
                self.entries.insert(vm, known);
                return;
            }
            self.add(&known.calls(), false);
            let base = if full { BTreeMap::new() } else { known.base };
            self.entries.insert(vm.clone(), EntryLoad { base, ..known });
        }
        let calls: BTreeMap<UpstreamName, u32> = in_flight.into_iter().collect();
        let base = self.entries.remove(&vm).map(|it| it.base).unwrap_or_default();
        let (base, delta) = if full { (calls, BTreeMap::new()) } else { (base, calls) };
        let entry = EntryLoad { owner, sequence, at: now, base, delta };
        self.add(&entry.calls(), true);
        self.entries.insert(vm, entry);
    }

    /// Drops entries that have not reported recently.
    pub fn expire(&mut self, now: Instant) {
        let old = |it: &EntryLoad| now.saturating_duration_since(it.at) > MAX_REPORT_AGE;
        let gone: Vec<EntryLoad> =
            self.entries.extract_if(.., |_, it| old(it)).map(|(_, it)| it).collect();
        gone.iter().for_each(|it| self.add(&it.calls(), false));
    }

    /// Returns the calls in flight at an upstream.
    pub fn in_flight(&self, upstream: &UpstreamName) -> u32 {
        self.sums.get(upstream).copied().unwrap_or(0)
    }

    /// Returns the number of entries in the sums.
    pub fn entries(&self) -> u32 {
        self.entries.len() as u32
    }

    fn add(&mut self, calls: &BTreeMap<UpstreamName, u32>, plus: bool) {
        for (name, count) in calls {
            let sum = self.sums.entry(name.clone()).or_default();
            *sum = if plus { sum.saturating_add(*count) } else { sum.saturating_sub(*count) };
            if *sum == 0 {
                self.sums.remove(name);
            }
        }
    }
}
