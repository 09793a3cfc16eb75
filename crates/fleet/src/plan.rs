//! Decides which orders to send next. Does no I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Deserializer, Serialize};
use types::{ByteSize, Fence, Fencing, Pool, Service, Upstream, UpstreamName};

use crate::Target;
use crate::bucket::WeightBucket;

/// An engine that serves is not told to load weights while as many engines of its pool load already
/// as the size of the pool divided by this, but at least one.
const LOADING_DIVISOR: usize = 4;

/// The backoff after a failed order to the same engine. It doubles with each consecutive failure,
/// because each order is committed in the log.
const RETRY_BACKOFF: Duration = Duration::from_secs(1);

/// The maximum number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// How long an engine that accepted an order and does not answer since counts as loading.
const MAX_LOAD_SILENCE: Duration = Duration::from_secs(300);

/// The state of an engine's last order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadState {
    /// The engine serves what it shows.
    Ready,
    /// The engine loads what it shows.
    Loading,
}

/// What an engine shows when its last order is read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadBack {
    /// The fencing number of the order; engines that ignore fencing may show any.
    #[serde(default, deserialize_with = "null_as_default")]
    pub fence: Fence,
    /// The model; empty for none.
    #[serde(default, deserialize_with = "null_as_default")]
    pub model: String,
    /// The version of the weights.
    #[serde(default, deserialize_with = "null_as_default")]
    pub version: String,
    /// The adapters.
    #[serde(default, deserialize_with = "null_as_default")]
    pub adapters: Vec<String>,
    /// The role.
    #[serde(default, deserialize_with = "null_as_default")]
    pub role: String,
    /// Whether the engine serves or loads.
    pub state: LoadState,
}

/// Deserializes null as the default. An engine that never got an order may show its fields as null;
/// rejecting that would leave it unread, and therefore without an order, for good.
fn null_as_default<'a, D: Deserializer<'a>, T: Default + Deserialize<'a>>(
    from: D,
) -> Result<T, D::Error> {
    Ok(Option::deserialize(from)?.unwrap_or_default())
}

impl ReadBack {
    fn has_weights(&self, target: &Target) -> bool {
        self.model == target.model.as_str() && self.version == target.version
    }

    /// Returns whether the engine shows the target. A target without a role accepts any role.
    pub fn shows(&self, target: &Target) -> bool {
        let mut adapters = self.adapters.clone();
        adapters.sort();
        let role = target.role.is_empty() || self.role == target.role;
        self.has_weights(target) && adapters == target.adapters && role
    }

    fn serves(&self) -> bool {
        self.state == LoadState::Ready && !self.model.is_empty()
    }
}

/// The last order to an engine in this term.
#[derive(Clone, Debug, PartialEq, Eq)]
struct LastOrder {
    target: Target,
    at: Instant,
    failed: bool,
}

/// The state of an engine's orders in this term.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    shown: Option<ReadBack>,
    was_read: bool,
    in_flight: Option<Target>,
    last: Option<LastOrder>,
    failures: u32,
    /// When it was first seen to load something other than its target, if it does.
    other_load_since: Option<Instant>,
}

/// The decision about an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It serves its target, or the service does not control it.
    Done,
    /// Wait, for this reason.
    Wait(&'static str),
    /// Send an order with this target.
    Order {
        /// The target that it should load.
        target: Target,
        /// Whether the engine has to load weights for it.
        weights: bool,
    },
}

/// The inputs to the decisions, apart from the engines themselves.
#[derive(Clone, Copy, Debug)]
pub struct Plan<'a> {
    /// The service in force.
    pub service: &'a Service,
    /// The upstreams that any source reported as leaving.
    pub leaving: &'a BTreeSet<UpstreamName>,
    /// When this member began to lead.
    pub leading_since: Instant,
    /// The current time.
    pub now: Instant,
}

/// An order to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NextOrder {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The target that it should load.
    pub target: Target,
}

impl Plan<'_> {
    /// Decides about one engine, without regard to its pool and the weight store.
    pub fn decide(&self, name: &UpstreamName, upstream: &Upstream, engine: &Engine) -> Decision {
        let Some(target) = Target::of(self.service, upstream) else {
            return Decision::Done;
        };
        if engine.in_flight.is_some() {
            return Decision::Wait("an order is under way");
        }
        if self.leaving.contains(name) {
            return Decision::Wait("it is leaving");
        }
        let Some(shown) = &engine.shown else {
            return Decision::Wait("what it shows is not read yet");
        };
        if shown.shows(&target) {
            return match shown.state {
                LoadState::Ready => Decision::Done,
                LoadState::Loading => Decision::Wait("it loads its target"),
            };
        }
        if upstream.fencing == Fencing::Ignores && !self.earlier_orders_expired() {
            return Decision::Wait("an order of the leader before may be under way");
        }
        if engine.failed_lately(&target, self.now) {
            return Decision::Wait("the last order failed");
        }
        let loads_other = engine
            .other_load_since
            .is_some_and(|at| self.elapsed(at) < self.max_other_load(&target));
        if shown.state == LoadState::Loading && loads_other {
            return Decision::Wait("it loads something else");
        }
        let weights = !shown.has_weights(&target);
        Decision::Order { target, weights }
    }

    /// Returns the orders to send now, and charges the weight store for them.
    ///
    /// Of the engines of a pool that could serve, only a share loads at once: a new version would
    /// otherwise take the whole pool out of service. Engines that serve nothing go first.
    pub fn next_orders(
        &self,
        engines: &BTreeMap<UpstreamName, Engine>,
        bucket: &mut WeightBucket,
    ) -> Vec<NextOrder> {
        let mut orders = Vec::new();
        for pool in self.service.pools.values() {
            self.next_pool_orders(pool, engines, bucket, &mut orders);
        }
        orders
    }

    fn next_pool_orders(
        &self,
        pool: &Pool,
        engines: &BTreeMap<UpstreamName, Engine>,
        bucket: &mut WeightBucket,
        orders: &mut Vec<NextOrder>,
    ) {
        let unknown = Engine::default();
        let engine = |name: &UpstreamName| engines.get(name).unwrap_or(&unknown);
        let staying = pool.upstreams.keys().filter(|name| !self.leaving.contains(*name));
        let mut loading = staying.filter(|name| engine(name).is_loading(self.now)).count();
        let max_loading = (pool.upstreams.len() / LOADING_DIVISOR).max(1);
        let mut due: Vec<(bool, &UpstreamName, Target, bool)> = Vec::new();
        for (name, upstream) in &pool.upstreams {
            if let Decision::Order { target, weights } = self.decide(name, upstream, engine(name)) {
                let serves = engine(name).shown.as_ref().is_some_and(ReadBack::serves);
                due.push((serves, name, target, weights));
            }
        }
        due.sort_by_key(|(serves, ..)| *serves);
        for (serves, name, target, weights) in due {
            if weights {
                if serves && loading >= max_loading {
                    continue;
                }
                if !bucket.is_open(self.service.orders.weights, self.now) {
                    continue;
                }
                bucket.charge(self.weights(&target));
                loading += 1;
            }
            orders.push(NextOrder { upstream: name.clone(), target });
        }
    }

    /// Returns whether no order of an earlier leader can be in flight any more.
    fn earlier_orders_expired(&self) -> bool {
        self.elapsed(self.leading_since) >= Duration::from(self.service.orders.longest)
    }

    /// Returns how long an engine may load something other than its target before it gets an order
    /// anyway.
    fn max_other_load(&self, target: &Target) -> Duration {
        let rate = self.service.orders.weights.0.max(1.0);
        let load = 2.0 * self.weights(target).0 as f64 / rate;
        let load = Duration::try_from_secs_f64(load).unwrap_or(Duration::MAX);
        load.max(self.service.orders.longest.into())
    }

    fn weights(&self, target: &Target) -> ByteSize {
        self.service.models.get(&target.model).map(|it| it.weights).unwrap_or_default()
    }

    fn elapsed(&self, since: Instant) -> Duration {
        self.now.saturating_duration_since(since)
    }
}

impl Engine {
    /// Returns what the engine last showed, unless an order may have changed that since.
    pub fn shown(&self) -> Option<&ReadBack> {
        self.shown.as_ref()
    }

    /// Returns whether an order to the engine is in flight.
    pub fn is_ordered(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Records what the engine shows; `target` is what it should show. Returns whether the engine
    /// was found loading because of an order of an earlier term.
    pub fn read(&mut self, shown: ReadBack, target: Option<&Target>, now: Instant) -> bool {
        let loading = shown.state == LoadState::Loading;
        let inherited = loading && !self.was_read;
        self.was_read = true;
        let loads_other = loading && !target.is_some_and(|it| shown.shows(it));
        self.other_load_since = loads_other.then(|| self.other_load_since.unwrap_or(now));
        if !loading {
            self.check_last_order(&shown, now);
        }
        self.shown = Some(shown);
        inherited
    }

    /// Records that reading the engine's last order failed.
    pub fn read_failed(&mut self) {
        self.shown = None;
    }

    /// Records that an order is being sent.
    pub fn begin(&mut self, target: Target) {
        self.in_flight = Some(target);
    }

    /// Records that an order ended. What the engine shows must be read again, whatever the result.
    pub fn end(&mut self, failed: bool, now: Instant) {
        self.last = self.in_flight.take().map(|target| LastOrder { target, at: now, failed });
        self.failures = if failed { self.failures.saturating_add(1) } else { self.failures };
        self.shown = None;
        self.other_load_since = None;
    }

    /// Checks the last order against what the engine shows once it does not load. An order that was
    /// accepted without effect counts as failed; otherwise it would be sent again endlessly and
    /// without backoff.
    fn check_last_order(&mut self, shown: &ReadBack, now: Instant) {
        let Some(last) = self.last.take_if(|it| !it.failed) else {
            return;
        };
        if shown.shows(&last.target) {
            self.failures = 0;
            return;
        }
        self.failures = self.failures.saturating_add(1);
        self.last = Some(LastOrder { at: now, failed: true, ..last });
    }

    fn failed_lately(&self, target: &Target, now: Instant) -> bool {
        let pause =
            RETRY_BACKOFF * 2_u32.pow(self.failures.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS));
        self.last.as_ref().is_some_and(|it| {
            it.failed && it.target == *target && now.saturating_duration_since(it.at) < pause
        })
    }

    /// Returns whether the engine loads, or may load after an order that it accepted. An engine
    /// that accepted an order and has not answered since also counts, for a while: a version that
    /// crashes engines must not reach the next one at once.
    fn is_loading(&self, now: Instant) -> bool {
        if self.in_flight.is_some() {
            return true;
        }
        match &self.shown {
            Some(shown) => shown.state == LoadState::Loading,
            None => self.last.as_ref().is_some_and(|it| {
                !it.failed && now.saturating_duration_since(it.at) < MAX_LOAD_SILENCE
            }),
        }
    }
}
