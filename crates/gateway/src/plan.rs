//! The plan in force: routes, services, limits and customers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use types::Version;

use crate::cold::ColdSpec;

/// How often a request of a route may run, and how its answer is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once for each attempt of the caller.
    AtMostOnce,
    /// Answers with a stream of events; may run again only if the route is resumable.
    Stream,
}

/// A stage that must be finished before a request can run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageSpec {
    /// The service that runs the stage.
    pub service: Arc<str>,
    /// The numbers of the stages whose results it needs.
    pub after: Vec<usize>,
    /// The approximate size of one result, in bytes.
    pub size: u64,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The name of the route.
    pub name: Arc<str>,
    /// The host it serves, in lower case.
    pub host: String,
    /// The prefix of the paths it serves; begins and ends with a slash.
    pub prefix: String,
    /// How often its requests may run, and how they are answered.
    pub kind: RouteKind,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The latency objective: an answer that takes longer is late.
    pub target: Duration,
    /// Its priority; 0 goes first.
    pub priority: u8,
    /// The services that run it, with their weights.
    pub split: Vec<(Arc<str>, u32)>,
    /// The maximum number of upstreams on which one attempt of a caller may run.
    pub attempts: u32,
    /// The stages to run before the request.
    pub stages: Vec<StageSpec>,
    /// Whether it needs no key.
    pub open: bool,
    /// Whether a stream may be resumed at another upstream.
    pub resumable: bool,
    /// The longest pause between two events of an answer that counts as in time.
    pub pause: Duration,
}

impl Route {
    /// Chooses a service by weight; `draw` is a uniformly distributed number.
    pub fn service(&self, draw: u32) -> Option<&Arc<str>> {
        let total: u64 = self.split.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut left = ((u128::from(draw) * u128::from(total)) >> u32::BITS) as u64;
        for (service, weight) in &self.split {
            let weight = u64::from(*weight);
            if left < weight {
                return Some(service);
            }
            left -= weight;
        }
        None
    }

    /// Returns whether requests of this route may be run by a service.
    pub fn uses(&self, service: &str) -> bool {
        self.split.iter().any(|(it, weight)| **it == *service && *weight > 0)
    }

    /// Returns whether a request of this route may run again after it may have run.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::AtMostOnce => false,
            RouteKind::Stream => self.resumable,
        }
    }
}

/// How the upstreams of a service run the pieces of stages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchSpec {
    /// The maximum number of pieces in one call.
    pub batch: usize,
    /// The fixed time of a call, without its pieces.
    pub call: Duration,
    /// The approximate time that each piece adds to a call.
    pub item: Duration,
    /// The space of an upstream for results, in bytes.
    pub space_bytes: u64,
    /// How long a result is kept after its call.
    pub ttl: Duration,
}

/// How the upstreams of a service generate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// How many requests an upstream runs at once.
    pub slots: u32,
    /// The number of tokens that fit into its memory.
    pub capacity: u64,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name of the service.
    pub name: Arc<str>,
    /// The number of connections that one of its upstreams accepts from all entries together.
    pub connections: u32,
    /// How it runs pieces of stages, if it does.
    pub batch: Option<BatchSpec>,
    /// How it generates, if it does.
    pub engine: Option<EngineSpec>,
    /// What its upstreams tolerate after their start, if that is limited.
    pub cold: Option<ColdSpec>,
}

/// The limits on what a caller may send and how long that may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest request head, in bytes.
    pub header_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The timeout for a request head.
    pub header_time: Duration,
    /// How long a connection may stay idle.
    pub idle_time: Duration,
}

impl Default for Limits {
    /// Returns the limits that hold until a plan sets others.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// A customer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// The name of the customer.
    pub name: Arc<str>,
    /// Its priority, which goes before that of a route.
    pub priority: Option<u8>,
}

/// The plan in force.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// The version of the plan.
    pub version: Version,
    /// The routes.
    pub routes: Vec<Arc<Route>>,
    /// The services by name.
    pub services: HashMap<Arc<str>, Service>,
    /// The limits on callers.
    pub limits: Limits,
    /// The customers by key; `None` if no keys are used.
    pub customers: Option<HashMap<String, Customer>>,
    index: HashMap<String, Vec<usize>>,
}

impl Plan {
    /// Creates a plan and its index of routes.
    pub fn new(
        version: Version,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: Limits,
        customers: Option<HashMap<String, Customer>>,
    ) -> Self {
        let routes: Vec<Arc<Route>> = routes.into_iter().map(Arc::new).collect();
        let mut index: HashMap<String, Vec<usize>> = HashMap::new();
        for (number, route) in routes.iter().enumerate() {
            index.entry(route.host.clone()).or_default().push(number);
        }
        for numbers in index.values_mut() {
            numbers.sort_by_key(|it| std::cmp::Reverse(routes[*it].prefix.len()));
        }
        let services = services.into_iter().map(|it| (Arc::clone(&it.name), it)).collect();
        Self { version, routes, services, limits, customers, index }
    }

    /// Finds the route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or(host);
        let numbers = match self.index.get(host) {
            Some(numbers) => numbers,
            None => self.index.get(&host.to_ascii_lowercase())?,
        };
        let number = numbers.iter().find(|it| path.starts_with(&self.routes[**it].prefix))?;
        Some(&self.routes[*number])
    }
}
