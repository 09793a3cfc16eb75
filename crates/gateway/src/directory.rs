//! The upstreams by service, updated from the registry's lists.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use registry::outcomes::{OutcomeReport, OutcomeTotals, UpstreamOutcomes};
use registry::{LoadReport, RegistryState, Stamp, UpstreamLoad};
use tokio::time::Instant;
use types::SoftwareVersion;

use crate::cold::{ColdSpec, ColdTolerance};
use crate::health::{Candidate, ServiceView, Tally};
use crate::origin::Holders;
use crate::owners::Candidates;
use crate::path::Paths;
use crate::plan::Plan;
use crate::quota::EntryList;
use crate::section::{self, LinkRate, Section};
use crate::upstream::{AnswerCounters, ConnectionShare, InUse, Upstream};

#[cfg(test)]
mod tests;

/// The maximum number of connections to an upstream whose service is not in the plan.
const DEFAULT_CONNECTIONS: u32 = 16;

/// The least share of an entry in the connections to an upstream of a stage. Only the owners of its
/// section call it, two of them while one replaces the other.
const OWNER_CONNECTIONS: u32 = 2;

/// The upstreams at one moment.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    services: HashMap<Arc<str>, Vec<Arc<Upstream>>>,
    candidates: Candidates,
    /// The sections of each service that runs stages.
    sections: HashMap<Arc<str>, Vec<Section>>,
    by_id: HashMap<Arc<str>, Arc<Upstream>>,
    by_address: HashMap<SocketAddr, Arc<Upstream>>,
    listed: Stamp,
    /// All upstreams, in the order of the list.
    ordered: Vec<Arc<Upstream>>,
    /// The position of each upstream in the list, by id.
    positions: HashMap<Arc<str>, u32>,
    in_use: Arc<InUse>,
    /// The entries among which quotas are divided.
    entries: Arc<ArcSwap<EntryList>>,
    /// The members of the registry.
    members: Arc<EntryList>,
    paths: Arc<Paths>,
    counters: AnswerCounters,
    /// The outcomes that this entry has not reported yet.
    tally: Arc<Tally>,
}

impl Directory {
    /// Creates an empty directory, whose upstreams are reached over these paths.
    pub(crate) fn new(paths: Arc<Paths>) -> Self {
        Self { paths, ..Self::default() }
    }

    /// Returns the directory, which counts the answers of its upstreams.
    pub(crate) fn with_counters(self, counters: AnswerCounters) -> Self {
        Self { counters, ..self }
    }

    /// Creates the next directory. Known incarnations of upstreams keep their connections and
    /// health.
    pub(crate) fn next(
        &self,
        registry_state: &RegistryState,
        plan: &Plan,
        entries: usize,
        link: LinkRate,
        cold: ColdRules,
    ) -> Self {
        let (in_use, entry_list) = (Arc::clone(&self.in_use), Arc::clone(&self.entries));
        let listed = registry_state.upstreams_stamp;
        let (paths, counters) = (Arc::clone(&self.paths), self.counters.clone());
        let tally = Arc::clone(&self.tally);
        let mut next =
            Self { listed, in_use, entries: entry_list, paths, counters, tally, ..Self::default() };
        next.update_entries(registry_state, cold.own);
        let members = registry_state.voters.iter().copied();
        next.members = Arc::new(EntryList::new(cold.own, members));
        let known = next.entries.load_full();
        let context =
            ColdContext { rules: cold, plan, listed: &registry_state.cold, entries: &known };
        for it in registry_state.upstreams.iter() {
            let connection_share = connection_share(plan, &it.service, entries);
            let upstream = match self.by_id.get(it.id.as_str()) {
                Some(known) if known.address == it.address && known.version == it.version => {
                    Arc::clone(known)
                }
                _ => Arc::new(
                    Upstream::new(it, connection_share.most)
                        .with_lists(&self.in_use, &self.entries)
                        .with_paths(&self.paths)
                        .with_counters(&self.counters)
                        .with_tally(&self.tally),
                ),
            };
            upstream.set_draining(it.health == registry::Health::Draining);
            let evacuated = registry_state.evacuated.contains(&it.domain);
            let returns = upstream.set_evacuated(evacuated) && !evacuated;
            self.spare_if_cold(&upstream, returns, &context);
            upstream.set_connection_share(connection_share);
            let service = next.services.entry(Arc::clone(&upstream.service)).or_default();
            service.push(Arc::clone(&upstream));
            next.positions.insert(Arc::clone(&upstream.id), next.ordered.len() as u32);
            next.ordered.push(Arc::clone(&upstream));
            next.by_address.insert(upstream.address, Arc::clone(&upstream));
            next.by_id.insert(Arc::clone(&upstream.id), upstream);
        }
        for (id, upstream) in &self.by_id {
            if !next.by_id.contains_key(id) {
                upstream.set_draining(true);
                upstream.close_idle(true);
            }
        }
        next.candidates = Candidates::among(&registry_state.entries, link);
        next.split(plan, registry_state.entries.len());
        next
    }

    /// Takes the entries that are listed. A list with the same entries stays the same one.
    fn update_entries(&self, registry_state: &RegistryState, own: SocketAddr) {
        let listed = registry_state.entries.iter().map(|it| it.address);
        let entries = EntryList::new(own, listed);
        if **self.entries.load() != entries {
            self.entries.store(Arc::new(entries));
        }
    }

    /// Marks an upstream as cold if it is listed so, if it was not listed before, or if its failure
    /// domain `returns` from an evacuation; sets what this entry may send to it.
    fn spare_if_cold(&self, upstream: &Upstream, returns: bool, context: &ColdContext<'_>) {
        let Some(spec) = context.spec(upstream) else { return };
        let now = Instant::now();
        if let Some(end) = context.listed.get(&*upstream.id) {
            upstream.extend_cold(Instant::from_std(*end));
        }
        let is_new = !self.by_id.is_empty() && !self.by_id.contains_key(&upstream.id);
        if is_new || returns {
            upstream.extend_cold(now + spec.time);
        }
        if upstream.is_cold(now) {
            let quota = context.rules.tolerance.quota(&spec);
            let share = context.entries.share(upstream.id_hash, quota);
            upstream.set_cold_share(share, quota);
        }
    }

    fn split(&mut self, plan: &Plan, entries: usize) {
        let link = self.candidates.link();
        for (service, upstreams) in &self.services {
            let spec = plan.services.get(service).and_then(|it| it.batch);
            let Some(spec) = spec else { continue };
            // An evacuated domain without a section gets no jobs that its owner would have to move.
            let open: Vec<_> = upstreams.iter().filter(|it| it.is_listed_open()).cloned().collect();
            let split_over = if open.is_empty() { upstreams } else { &open };
            let sections = section::split(service, &spec, split_over, entries, link);
            self.sections.insert(Arc::clone(service), sections);
        }
    }

    /// Returns which entries are candidates to own sections.
    pub(crate) fn candidates(&self) -> &Candidates {
        &self.candidates
    }

    /// Returns the sections of a service that runs stages; a single one if none of its upstreams is
    /// listed.
    pub(crate) fn sections(&self, service: &Arc<str>) -> Vec<Section> {
        self.sections.get(service).cloned().unwrap_or_else(|| vec![Section::whole(service)])
    }

    /// Returns the sections of all services that run stages.
    pub(crate) fn all_sections(&self) -> impl Iterator<Item = &Section> {
        self.sections.values().flatten()
    }

    /// Returns the section to which an upstream belongs.
    pub(crate) fn section_of(&self, upstream: &Upstream) -> Section {
        let sections = self.sections(&upstream.service).into_iter();
        let mut sections = sections.filter(|it| it.domain.is_some());
        let own = sections.find(|it| it.domain.as_ref() == Some(&upstream.domain));
        own.unwrap_or_else(|| Section::whole(&upstream.service))
    }

    /// Returns the upstreams of a section. If none of them is open any more, returns all upstreams of
    /// its service, so that its jobs can still finish.
    pub(crate) fn members(&self, section: &Section) -> Vec<Arc<Upstream>> {
        let all = self.service(&section.service);
        let near = |it: &&Arc<Upstream>| section.domain.as_ref().is_none_or(|d| *d == it.domain);
        let members: Vec<Arc<Upstream>> = all.iter().filter(near).cloned().collect();
        if members.iter().any(|it| it.is_open()) { members } else { all.to_vec() }
    }

    /// Returns the upstreams of a service, including those that are draining.
    pub(crate) fn service(&self, service: &str) -> &[Arc<Upstream>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the services with upstreams.
    pub(crate) fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.services.keys()
    }

    /// Returns whether a service has an upstream that may get new requests.
    pub(crate) fn has_open(&self, service: &str) -> bool {
        self.service(service).iter().any(|it| it.is_open())
    }

    /// Returns whether a service has an upstream of a version that may get new requests.
    pub(crate) fn has_open_at(&self, service: &str, version: &SoftwareVersion) -> bool {
        self.service(service).iter().any(|it| it.is_open() && it.version == *version)
    }

    /// Returns the version of a service of which only one is listed.
    pub(crate) fn only_version(&self, service: &str) -> Option<&SoftwareVersion> {
        let (first, others) = self.service(service).split_first()?;
        let only = others.iter().all(|it| it.version == first.version);
        (only && first.version.is_known()).then_some(&first.version)
    }

    /// Returns the entries that are listed.
    pub(crate) fn entry_list(&self) -> Arc<EntryList> {
        self.entries.load_full()
    }

    /// Returns the processes that keep where streams began.
    pub(crate) fn holders(&self) -> Holders {
        Holders { entries: self.entry_list(), members: Arc::clone(&self.members) }
    }

    /// Returns the stamp of the list from which this directory was created.
    pub(crate) fn listed(&self) -> Stamp {
        self.listed
    }

    /// Returns a report of what this entry has in flight.
    pub(crate) fn report(&self) -> LoadReport {
        let in_use = self.in_use.upstreams();
        let listed = in_use.iter().filter_map(|it| Some((self.positions.get(&it.id)?, it)));
        let loads = listed.map(|(position, it)| UpstreamLoad {
            position: *position,
            running: it.running(),
            tokens: it.tokens(),
        });
        let mut loads: Vec<UpstreamLoad> = loads.filter(|it| it.running > 0).collect();
        loads.sort_by_key(|it| it.position);
        LoadReport { upstreams_stamp: self.listed, loads }
    }

    /// Takes the outcomes to be reported now: those at the services in `watched`, and at services
    /// with a failure.
    pub(crate) fn report_outcomes(
        &self,
        watched: &HashSet<Arc<str>>,
        now: Instant,
    ) -> OutcomeReport {
        let seen = self.tally.take(watched, now).into_iter();
        let listed = seen.filter_map(|(id, it)| Some((*self.positions.get(&id)?, it)));
        let upstreams = listed.map(|(position, it)| UpstreamOutcomes {
            position,
            started_ms: it.started.map_or(0, |it| it.0),
            outcomes: it.outcomes,
        });
        OutcomeReport { upstreams_stamp: self.listed, upstreams: upstreams.collect() }
    }

    /// Returns the services in the sums of all entries. Those of stages are left out: only the
    /// owners of their sections call them.
    pub(crate) fn service_views(&self, totals: &OutcomeTotals) -> Vec<ServiceView<'_>> {
        let mut candidates: HashMap<&str, Vec<Candidate>> = HashMap::new();
        for total in &totals.upstreams {
            let Some(upstream) = self.at(total.position) else { continue };
            let candidate = Candidate { id: Arc::clone(&upstream.id), total: *total };
            candidates.entry(&upstream.service).or_default().push(candidate);
        }
        let view = |(position, total)| {
            let service = &self.at(position)?.service;
            let open = self.service(service).iter().filter(|it| it.is_open()).count();
            let candidates = candidates.remove(&**service).unwrap_or_default();
            Some(ServiceView { service, open, total, candidates })
        };
        totals.services.iter().map(|it| (it.position, it.total)).filter_map(view).collect()
    }

    /// Returns how many upstreams of each service are passed over.
    pub(crate) fn passed_over(&self) -> BTreeMap<&str, usize> {
        let counts = self.services.iter().map(|(service, upstreams)| {
            (&**service, upstreams.iter().filter(|it| it.is_passed_over()).count())
        });
        counts.collect()
    }

    /// Returns the number of requests that this entry runs.
    pub(crate) fn own_running(&self) -> u64 {
        self.in_use.upstreams().iter().map(|it| u64::from(it.running())).sum()
    }

    /// Returns the number of requests that all entries run, as far as this one knows.
    pub(crate) fn total_running(&self) -> u64 {
        self.ordered.iter().map(|it| u64::from(it.total_running())).sum()
    }

    /// Sets the load of other entries at each upstream: the total in `total`, less this entry's own
    /// share in `own`. `previous` is the total that was applied last; only upstreams in either total
    /// are visited while the list stays the same. Returns whether `total` refers to this list.
    pub(crate) fn apply_total_loads(
        &self,
        previous: &LoadReport,
        total: &LoadReport,
        own: &LoadReport,
    ) -> bool {
        if total.upstreams_stamp != self.listed {
            return false;
        }
        if previous.upstreams_stamp == self.listed {
            for upstream in previous.loads.iter().filter_map(|it| self.at(it.position)) {
                upstream.set_peer_load(0, 0);
            }
        } else {
            self.clear_peer_loads();
        }
        for all in &total.loads {
            let Some(upstream) = self.at(all.position) else { continue };
            let found = own.loads.binary_search_by_key(&all.position, |it| it.position);
            let own = found.map_or_else(|_| UpstreamLoad::default(), |it| own.loads[it]);
            let running = all.running.saturating_sub(own.running);
            upstream.set_peer_load(running, all.tokens.saturating_sub(own.tokens));
        }
        true
    }

    /// Forgets the loads of other entries at all upstreams.
    pub(crate) fn clear_peer_loads(&self) {
        self.ordered.iter().for_each(|it| it.set_peer_load(0, 0));
    }

    fn at(&self, position: u32) -> Option<&Arc<Upstream>> {
        self.ordered.get(position as usize)
    }

    /// Returns the upstream with this id.
    pub(crate) fn upstream(&self, id: &str) -> Option<&Arc<Upstream>> {
        self.by_id.get(id)
    }

    /// Returns the upstream that listens at this address, and stores results there.
    pub(crate) fn holder(&self, address: SocketAddr) -> Option<&Arc<Upstream>> {
        self.by_address.get(&address)
    }

    /// Returns all upstreams.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.by_id.values()
    }
}

/// What an entry's share of the requests to cold upstreams depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ColdRules {
    /// How far a cold upstream's limit may be exceeded.
    pub(crate) tolerance: ColdTolerance,
    /// The address of this entry.
    pub(crate) own: SocketAddr,
}

/// What is known of cold upstreams while a directory is created.
struct ColdContext<'a> {
    rules: ColdRules,
    plan: &'a Plan,
    listed: &'a HashMap<String, std::time::Instant>,
    entries: &'a EntryList,
}

impl ColdContext<'_> {
    fn spec(&self, upstream: &Upstream) -> Option<ColdSpec> {
        self.plan.services.get(&*upstream.service)?.cold
    }
}

/// Returns this entry's share of the connections to an upstream. All entries together must stay
/// below what the upstream accepts, because it resets connections beyond that.
fn connection_share(plan: &Plan, service: &str, entries: usize) -> ConnectionShare {
    let Some(service) = plan.services.get(service) else {
        return ConnectionShare { most: DEFAULT_CONNECTIONS, keeps_idle: true };
    };
    let share = service.connections / entries.max(1) as u32;
    let least = if service.batch.is_some() { OWNER_CONNECTIONS } else { 1 };
    ConnectionShare { most: share.max(least), keeps_idle: share > 0 }
}
