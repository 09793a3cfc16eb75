//! The entry's reports: calls in flight and usage.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use types::{Incarnation, Millis, Tokens, UpstreamName, VmName};
use wire::session::{CustomerUse, LoadReport, StageUse, UsageReport};

/// How often a full report is sent.
const FULL_REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Creates load reports that contain the changes since the last full report.
///
/// Each report is complete in combination with that full report, so a lost datagram does no harm.
#[derive(Debug)]
pub struct LoadReporter {
    vm: VmName,
    owner: Incarnation,
    sequence: u64,
    last_full: BTreeMap<UpstreamName, u32>,
    full_at: Option<Instant>,
}

impl LoadReporter {
    /// Creates a reporter whose first report is a full one.
    pub fn new(vm: VmName, owner: Incarnation) -> Self {
        Self { vm, owner, sequence: 0, last_full: BTreeMap::new(), full_at: None }
    }

    /// Makes the next report a full one, because another member receives it.
    pub fn reset(&mut self) {
        self.full_at = None;
    }

    /// Creates the next report.
    pub fn report(&mut self, in_flight: &[(UpstreamName, u32)], now: Instant) -> LoadReport {
        self.sequence += 1;
        let is_full =
            self.full_at.is_none_or(|at| now.saturating_duration_since(at) >= FULL_REPORT_INTERVAL);
        let in_flight = if is_full { self.full(in_flight, now) } else { self.delta(in_flight) };
        let (vm, owner, sequence) = (self.vm.clone(), self.owner, self.sequence);
        LoadReport { vm, owner, sequence, in_flight, full: is_full }
    }

    fn full(&mut self, all: &[(UpstreamName, u32)], now: Instant) -> Vec<(UpstreamName, u32)> {
        let busy: Vec<_> = all.iter().filter(|(_, calls)| *calls > 0).cloned().collect();
        self.last_full = busy.iter().cloned().collect();
        self.full_at = Some(now);
        busy
    }

    fn delta(&self, all: &[(UpstreamName, u32)]) -> Vec<(UpstreamName, u32)> {
        let last_full = |name: &UpstreamName| self.last_full.get(name).copied().unwrap_or(0);
        let changed = all.iter().filter(|(name, calls)| *calls != last_full(name)).cloned();
        let idle = self.last_full.keys().filter(|name| !all.iter().any(|(it, _)| it == *name));
        changed.chain(idle.map(|name| (name.clone(), 0))).collect()
    }
}

/// Adds `more` to `sum`, so that usage that waits for a session does not grow in size over time.
pub fn merge_usage(sum: &mut UsageReport, more: UsageReport) {
    sum.period = Millis(sum.period.0 + more.period.0);
    for one in more.customers {
        merge_customer(&mut sum.customers, one);
    }
    for one in more.stages {
        merge_stage(&mut sum.stages, one);
    }
}

fn merge_customer(all: &mut Vec<CustomerUse>, one: CustomerUse) {
    let Some(same) = all.iter_mut().find(|it| it.customer == one.customer) else {
        all.push(one);
        return;
    };
    same.requests = same.requests.saturating_add(one.requests);
    same.concurrency = same.concurrency.max(one.concurrency);
    same.tokens = Tokens(same.tokens.0 + one.tokens.0);
}

fn merge_stage(all: &mut Vec<StageUse>, one: StageUse) {
    let key = |it: &StageUse| (it.customer.clone(), it.stage.clone(), it.pool.clone());
    let Some(same) = all.iter_mut().find(|it| key(it) == key(&one)) else {
        all.push(one);
        return;
    };
    same.calls = same.calls.saturating_add(one.calls);
    same.busy.0 += one.busy.0;
    same.tokens.0 += one.tokens.0;
    same.wasted.0 += one.wasted.0;
}
