//! The plan in force: routes, services, limits and customers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use types::Version;

/// What may be repeated, and how an answer comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once for each attempt of the caller.
    AtMostOnce,
    /// A stream of events; may run again only where the route can be resumed.
    Stream,
}

/// A stage that must be done before a request can run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageSpec {
    /// The service that does the work.
    pub service: Arc<str>,
    /// The stages, by number, whose results it needs.
    pub after: Vec<usize>,
    /// The approximate size of one result in bytes.
    pub size: u64,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The host it serves, in lower case.
    pub host: String,
    /// The start of the paths it serves; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// How long a caller is kept waiting at most.
    pub timeout: Duration,
    /// Within which time an answer is worth most.
    pub target: Duration,
    /// Its rank; 0 goes first.
    pub priority: u8,
    /// The services that run it, with weights.
    pub split: Vec<(Arc<str>, u32)>,
    /// On how many upstreams one attempt of a caller may run.
    pub attempts: u32,
    /// The stages before it runs.
    pub stages: Vec<StageSpec>,
    /// Whether it needs no key.
    pub open: bool,
    /// Whether a stream may go on at another upstream.
    pub resumable: bool,
    /// The longest pause between two events of an answer that is in time.
    pub pause: Duration,
}

impl Route {
    /// Chooses a service by weight, with a number that is spread evenly.
    pub fn service(&self, draw: u32) -> Option<&Arc<str>> {
        let total: u32 = self.split.iter().map(|(_, weight)| weight).sum();
        let mut left = draw % total.max(1);
        for (service, weight) in &self.split {
            if left < *weight {
                return Some(service);
            }
            left -= weight;
        }
        None
    }

    /// Whether a request of this route may run again after it may have run.
    pub fn repeats(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::AtMostOnce => false,
            RouteKind::Stream => self.resumable,
        }
    }
}

/// How the upstreams of a service take the pieces of stages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchSpec {
    /// The most pieces in one call.
    pub batch: usize,
    /// The time of a call without its pieces.
    pub call: Duration,
    /// The approximate time of a piece.
    pub item: Duration,
    /// The room for results in bytes.
    pub room: u64,
    /// How long a result is kept after its call.
    pub ttl: Duration,
}

/// How the upstreams of a service generate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// How many requests an upstream runs at once.
    pub slots: u32,
    /// The tokens that fit its memory.
    pub capacity: u64,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// How many connections one of its upstreams accepts from all entries together.
    pub connections: u32,
    /// How it takes pieces, if it does.
    pub batch: Option<BatchSpec>,
    /// How it generates, if it does.
    pub engine: Option<EngineSpec>,
}

/// What a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest head in bytes.
    pub header_bytes: usize,
    /// The largest body in bytes.
    pub body_bytes: usize,
    /// How long a head may take.
    pub header_time: Duration,
    /// How long a connection may stay idle.
    pub idle_time: Duration,
}

impl Default for Limits {
    /// What holds until a plan says otherwise.
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
    /// Its name.
    pub name: Arc<str>,
    /// Its rank, which goes before a route's.
    pub priority: Option<u8>,
}

/// The plan in force.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Its version.
    pub version: Version,
    /// The routes.
    pub routes: Vec<Arc<Route>>,
    /// The services by name.
    pub services: HashMap<Arc<str>, Service>,
    /// The limits on callers.
    pub limits: Limits,
    /// The customers by key; `None` where no keys are used.
    pub customers: Option<HashMap<String, Customer>>,
    index: HashMap<String, Vec<usize>>,
}

impl Plan {
    /// Makes a plan and its index of routes.
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

    /// Finds the route with the longest prefix of `path` among those of `host`.
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
