//! The upstreams by service, kept up to date from what the registry tells.

use std::collections::HashMap;
use std::sync::Arc;

use crate::plan::Plan;
use crate::upstream::Upstream;

/// Connections to an upstream of a service that the plan does not describe.
const UNKNOWN_CONNECTIONS: u32 = 16;

/// The upstreams at one moment.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    services: HashMap<Arc<str>, Vec<Arc<Upstream>>>,
    by_id: HashMap<Arc<str>, Arc<Upstream>>,
}

impl Directory {
    /// Makes the next directory; lives that were known before keep their connections and health.
    pub(crate) fn next(&self, listed: &[registry::Upstream], plan: &Plan, entries: usize) -> Self {
        let mut next = Self::default();
        for it in listed {
            let share = share(plan, &it.service, entries);
            let upstream = match self.by_id.get(it.id.as_str()) {
                Some(known) if known.address == it.address => Arc::clone(known),
                _ => Arc::new(Upstream::new(it, share)),
            };
            upstream.set_draining(it.health == registry::Health::Draining);
            upstream.allow(share);
            let service = next.services.entry(Arc::clone(&upstream.service)).or_default();
            service.push(Arc::clone(&upstream));
            next.by_id.insert(Arc::clone(&upstream.id), upstream);
        }
        for (id, upstream) in &self.by_id {
            if !next.by_id.contains_key(id) {
                upstream.set_draining(true);
                upstream.sweep(true);
            }
        }
        next
    }

    /// The upstreams of a service, those that are leaving included.
    pub(crate) fn service(&self, service: &str) -> &[Arc<Upstream>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// All upstreams.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.by_id.values()
    }
}

/// This entry's share of an upstream's connections: all entries together must stay below what it
/// accepts, for it resets those beyond.
fn share(plan: &Plan, service: &str, entries: usize) -> u32 {
    let Some(service) = plan.services.get(service) else { return UNKNOWN_CONNECTIONS };
    (service.connections / entries.max(1) as u32).max(2)
}
