//! Metrics and log lines of the choice of owners and of the load that upstreams tell.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use registry::RegistryState;
use tokio::time::Instant;

use super::Shared;
use crate::dialect::Dialect;

/// How long what an upstream told of its load is shown in metrics.
const TOLD_LIFETIME: Duration = Duration::from_secs(1);

/// What the upstreams of a service told of their load.
#[derive(Default)]
struct ToldSum {
    running: i64,
    waiting: i64,
    slots: i64,
    /// The slowest pace, in percent of the usual time.
    slowest: i64,
}

impl<D: Dialect> Shared<D> {
    /// Shows which entries may own sections, after the lists have changed.
    pub(super) fn report_owners(&self, registry_state: &RegistryState) {
        let directory = self.directory();
        let candidates = directory.candidates();
        let admitted = registry_state.entries.iter().filter(|it| candidates.admits(it.capacity));
        let (admitted, owned) = (admitted.count() as i64, self.owned_sections() as i64);
        let metrics = &self.metrics;
        let known = (metrics.owner_candidates.get(), metrics.owned_sections.get());
        if known != (admitted, owned) {
            log::info!(candidates = admitted, entries = registry_state.entries.len(), owned,
                link:% = candidates.link(), seated:% = registry_state.entries_stamp,
                listed:% = registry_state.upstreams_stamp; "the choice of owners changed");
            metrics.owner_candidates.set(admitted);
            metrics.owned_sections.set(owned);
        }
    }

    fn owned_sections(&self) -> usize {
        let directory = self.directory();
        directory.all_sections().filter(|it| self.owns(it)).count()
    }

    /// Shows the load that upstreams told of late.
    pub(super) fn report_told_loads(&self) {
        let (directory, now) = (self.directory(), Instant::now());
        let mut sums: BTreeMap<Arc<str>, ToldSum> = BTreeMap::new();
        for upstream in directory.all() {
            let told = upstream.told_load(now).filter(|it| it.1 < TOLD_LIFETIME);
            let Some((load, _)) = told else { continue };
            let sum = sums.entry(Arc::clone(&upstream.service)).or_default();
            sum.running += i64::from(load.running);
            sum.waiting += i64::from(load.waiting);
            sum.slots += i64::from(load.slots);
            sum.slowest = sum.slowest.max((load.pace.unwrap_or(0.0) * 100.0) as i64);
        }
        let gauges = &self.metrics.told_load;
        gauges.reset();
        for (service, sum) in sums {
            let figures = [
                ("running", sum.running),
                ("waiting", sum.waiting),
                ("slots", sum.slots),
                ("slowest_percent", sum.slowest),
            ];
            for (figure, value) in figures {
                gauges.with_label_values(&[&*service, figure]).set(value);
            }
        }
    }
}
