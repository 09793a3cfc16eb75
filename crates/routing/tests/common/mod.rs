//! A small service, and a clock that the tests move.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::str::FromStr;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use routing::{CallEnd, Pick, PickRequest, RequestInfo, Router, Rules};
use types::{
    Customer, CustomerLimits, Digest, Millis, Pipeline, Pool, PoolKind, PoolName, Priority,
    Refusal, Service, Stage, Tokens, Upstream, UpstreamAvailability, UpstreamLoad, UpstreamName,
};

/// Parses a name that is known to be valid.
pub(crate) fn name<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

pub(crate) fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub(crate) fn upstream(capacity: u32) -> Upstream {
    Upstream {
        address: "127.0.0.1:9".parse().expect("an address"),
        site: name("north"),
        vm: name("vm-1"),
        capacity,
        model: None,
        role: None,
        fencing: Default::default(),
        reports: false,
        leaving: false,
    }
}

pub(crate) fn pool(kind: PoolKind, prefix: &str, count: usize, capacity: u32) -> Pool {
    let upstreams = (0..count).map(|it| (name(&format!("{prefix}-{it:03}")), upstream(capacity)));
    Pool { kind, upstreams: upstreams.collect(), ..Pool::default() }
}

pub(crate) fn stage(pool: &str, expected: u64) -> Stage {
    Stage {
        name: name(pool),
        pool: name(pool),
        repeatable: true,
        path: None,
        tokens: None,
        expected: Millis(expected),
    }
}

/// Returns a service with the pools `find` (20 ms) and `write` (200 ms). The pipeline `answer`
/// needs both, `search` only the first.
pub(crate) fn service(find: Pool, write: Pool) -> Service {
    let both = vec![stage("find", 20), stage("write", 200)];
    let answer = Pipeline { stages: both, deadline: Millis(7_000), priority: None };
    let search = vec![stage("find", 20)];
    let search = Pipeline { stages: search, deadline: Millis(1_000), priority: None };
    let customers = ["yard", "studio", "desk"].map(|it| (name(it), Customer::default()));
    Service {
        pools: BTreeMap::from([(name("find"), find), (name("write"), write)]),
        pipelines: BTreeMap::from([(name("answer"), answer), (name("search"), search)]),
        customers: customers.into_iter().collect(),
        ..Service::default()
    }
}

/// A router with its service, clock and random numbers.
pub(crate) struct Bench {
    pub(crate) router: Router,
    pub(crate) service: Service,
    pub(crate) now: Instant,
    pub(crate) rng: SmallRng,
    pub(crate) sequence: u64,
}

impl Bench {
    /// Creates an entry that is the only one according to its digest.
    pub(crate) fn open(service: Service) -> Self {
        Self::with_rules(service, Rules::default())
    }

    pub(crate) fn with_rules(service: Service, rules: Rules) -> Self {
        let router = Router::with_rules(name("north"), rules);
        let rng = SmallRng::seed_from_u64(7);
        let mut bench = Self { router, service, now: Instant::now(), rng, sequence: 0 };
        bench.router.install(&bench.service, bench.now);
        bench.digest(1, &[]);
        bench
    }

    /// Creates an entry with `count` upstreams of this capacity in the pool `write`, the last stage
    /// of the pipeline `answer`.
    pub(crate) fn writers(count: usize, capacity: u32) -> Self {
        let find = pool(PoolKind::Retrieve, "find", 4, 100);
        Self::open(service(find, pool(PoolKind::Generate, "write", count, capacity)))
    }

    pub(crate) fn limits(&mut self, customer: &str, limits: CustomerLimits) {
        let customer = self.service.customers.get_mut(&name(customer)).expect("a customer");
        customer.limits = limits;
        self.router.install(&self.service, self.now);
    }

    /// Advances the clock and ticks the router.
    pub(crate) fn pass(&mut self, time: Duration) {
        self.now += time;
        self.router.tick(self.now);
    }

    pub(crate) fn digest(&mut self, entries: u32, loads: &[UpstreamLoad]) {
        self.sequence += 1;
        let digest = Digest { sequence: self.sequence, loads: loads.to_vec(), entries };
        self.router.apply_digest(&digest, self.now);
    }

    pub(crate) fn request(&self, customer: &str, priority: u8, left: Duration) -> RequestInfo {
        RequestInfo {
            customer: name(customer),
            pipeline: name("answer"),
            priority: Priority(priority),
            deadline: self.now + left,
            tokens: Tokens(100),
        }
    }

    pub(crate) fn slot(
        &self,
        customer: &str,
        priority: u8,
        left: Duration,
    ) -> routing::SlotResponse {
        let info = self.request(customer, priority, left);
        self.router.request_slot(&name("write"), &info, info.deadline, self.now)
    }

    pub(crate) fn pick(&mut self, exclude: &[UpstreamName]) -> Result<Pick, Refusal> {
        self.pick_prefix(None, exclude)
    }

    pub(crate) fn pick_prefix(
        &mut self,
        prefix: Option<u64>,
        exclude: &[UpstreamName],
    ) -> Result<Pick, Refusal> {
        let pool: PoolName = name("write");
        let request = PickRequest { pool: &pool, prefix, exclude, left: ms(5_000) };
        self.router.pick(&request, self.now, &mut self.rng)
    }

    /// Ends a call successfully after the time `took`.
    pub(crate) fn end(&mut self, pick: Pick, took: Duration) {
        let end = CallEnd::Ok { first_byte: took / 4, total: took, tokens: Tokens(100) };
        self.router.call_ended(&pick, end, self.now);
    }

    /// Makes `count` calls in a row, each of which takes as long as `time` returns.
    pub(crate) fn calls(&mut self, count: usize, time: impl Fn(&str) -> Duration) {
        for _ in 0..count {
            let pick = self.pick(&[]).expect("an upstream");
            let took = time(pick.upstream.name.as_str());
            self.now += ms(1);
            self.end(pick, took);
        }
    }

    pub(crate) fn counted(&self, what: &str, reason: &str) -> u64 {
        let counters = self.router.counters();
        let of_it = counters.iter().filter(|it| it.what == what && it.reason == reason);
        of_it.map(|it| it.count).sum()
    }
}

pub(crate) fn load(upstream: &str, in_flight: u32) -> UpstreamLoad {
    UpstreamLoad {
        upstream: name(upstream),
        in_flight,
        reported: None,
        report_age: Millis(0),
        availability: UpstreamAvailability::Live,
    }
}
