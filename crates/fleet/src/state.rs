//! The leader's knowledge of the upstreams' availability and load. Does no I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use types::{Digest, Millis, Service, Upstream, UpstreamAvailability, UpstreamLoad, UpstreamName};
use wire::session::LoadReport;

use crate::UpstreamStatus;
use crate::availability::{DerivedAvailability, Observation, derive_availability};
use crate::load::EntryLoads;
use crate::platform::{Platform, VmList};
use crate::poll::LoadPoll;

/// A load report of an upstream.
#[derive(Clone, Copy, Debug)]
struct Reported {
    calls: u32,
    at: Instant,
}

/// All observations and the availability derived from them.
#[derive(Debug, Default)]
pub(crate) struct FleetState {
    service: Arc<Service>,
    platform: Platform,
    list_error: Option<String>,
    observations: BTreeMap<UpstreamName, Observation>,
    reported: BTreeMap<UpstreamName, Reported>,
    entries: EntryLoads,
    availability: BTreeMap<UpstreamName, DerivedAvailability>,
}

impl FleetState {
    /// Takes a version of the service and all marks. Observations of an upstream are dropped if its
    /// name now refers to another process.
    pub(crate) fn update(&mut self, service: &Arc<Service>, marks: &BTreeSet<UpstreamName>) {
        let same = |name: &UpstreamName| match (service.upstream(name), self.service.upstream(name))
        {
            (Some((_, new)), Some((_, old))) => new.address == old.address && new.vm == old.vm,
            // An inherited observation may arrive before the first service.
            (Some(_), None) => true,
            (None, _) => false,
        };
        let gone: Vec<UpstreamName> =
            self.observations.keys().filter(|name| !same(name)).cloned().collect();
        for name in gone {
            self.observations.remove(&name);
            self.reported.remove(&name);
        }
        self.service = Arc::clone(service);
        for (name, _) in upstreams(service) {
            self.observations.entry(name.clone()).or_default().set_mark(marks.contains(name));
        }
        self.apply_platform();
    }

    /// Inherits from a digest of the previous leader which upstreams are leaving.
    pub(crate) fn inherit(&mut self, digest: &Digest) {
        for load in &digest.loads {
            let observation = self.observations.entry(load.upstream.clone()).or_default();
            observation.inherited = load.availability == UpstreamAvailability::Leaving;
        }
    }

    pub(crate) fn take_list(&mut self, list: &VmList, now: Instant) {
        match self.platform.take(list, now) {
            Ok(()) => self.list_error = None,
            Err(fault) => self.ignore_list(fault.to_string()),
        }
        self.apply_platform();
    }

    /// Records why the platform's list was ignored, and logs the reason if it is new.
    pub(crate) fn ignore_list(&mut self, why: String) {
        if self.list_error.as_ref() != Some(&why) {
            log::warn!("ignoring the platform's list and keeping its last accepted state: {why}");
        }
        self.list_error = Some(why);
    }

    pub(crate) fn list_error(&self) -> Option<String> {
        self.list_error.clone()
    }

    pub(crate) fn record_poll(&mut self, name: &UpstreamName, poll: LoadPoll, now: Instant) {
        let Some(observation) = self.observations.get_mut(name) else {
            return;
        };
        observation.record_poll(poll.answer);
        if let Some(calls) = poll.calls {
            self.reported.insert(name.clone(), Reported { calls, at: now });
        }
    }

    pub(crate) fn take_report(&mut self, report: LoadReport, now: Instant) {
        self.entries.take(report, now);
    }

    /// Updates the availability of every upstream and logs the changes.
    pub(crate) fn update_availability(&mut self, now: Instant) {
        self.entries.expire(now);
        for (name, spec) in upstreams(&self.service) {
            if let Some(observation) = self.observations.get_mut(name) {
                observation.drop_superseded(spec.reports);
            }
        }
        let pools = self.service.pools.values();
        let current: BTreeMap<UpstreamName, DerivedAvailability> =
            pools.flat_map(|pool| derive_availability(pool, &self.observations)).collect();
        for (name, derived) in &current {
            let before = self.availability.get(name).map(|it| it.availability).unwrap_or_default();
            if before != derived.availability {
                log::info!(upstream = name.to_string();
                    "standing changed to {:?}: {}", derived.availability, derived.why);
            }
        }
        self.availability = current;
    }

    /// Returns the upstreams that any source reported as leaving.
    pub(crate) fn leaving(&self) -> BTreeSet<UpstreamName> {
        let announced = self.availability.iter().filter(|(_, it)| it.announced);
        announced.map(|(name, _)| name.clone()).collect()
    }

    pub(crate) fn entries(&self) -> u32 {
        self.entries.entries()
    }

    /// Returns the load of every upstream.
    pub(crate) fn loads(&self, now: Instant) -> Vec<UpstreamLoad> {
        let load = |(name, derived): (&UpstreamName, &DerivedAvailability)| {
            let reported = self.reported.get(name);
            let age = reported.map(|it| now.saturating_duration_since(it.at));
            UpstreamLoad {
                upstream: name.clone(),
                in_flight: self.entries.in_flight(name),
                reported: reported.map(|it| it.calls),
                report_age: age.map(Millis::from).unwrap_or_default(),
                availability: derived.availability,
            }
        };
        self.availability.iter().map(load).collect()
    }

    /// Returns the status of every upstream, without its orders.
    pub(crate) fn statuses(&self, now: Instant) -> BTreeMap<UpstreamName, UpstreamStatus> {
        let status = |load: UpstreamLoad| {
            let status = UpstreamStatus {
                availability: load.availability,
                in_flight: load.in_flight,
                reported: load.reported,
                report_age: load.reported.map(|_| load.report_age),
                why: self
                    .availability
                    .get(&load.upstream)
                    .map(|it| it.why.clone())
                    .unwrap_or_default(),
                order: String::new(),
            };
            (load.upstream, status)
        };
        self.loads(now).into_iter().map(status).collect()
    }

    fn apply_platform(&mut self) {
        for (name, spec) in upstreams(&self.service) {
            if let Some(observation) = self.observations.get_mut(name) {
                observation.platform = self.platform.is_leaving(&spec.vm);
            }
        }
    }
}

/// Returns every upstream of the service.
pub(crate) fn upstreams(service: &Service) -> impl Iterator<Item = (&UpstreamName, &Upstream)> {
    service.pools.values().flat_map(|pool| &pool.upstreams)
}
