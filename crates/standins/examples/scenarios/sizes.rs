//! The sizes of the two users, scaled to one machine. The numbers of replicas and pools are the real
//! ones; service times and deadlines are about a tenth to a third of the real ones, so that a run of
//! 20 s shows what minutes would.

use types::{PoolKind, Priority};

/// The slots of one engine.
pub(crate) const ENGINE_SLOTS: usize = 4;
/// The slots of one replica of a stage pool.
pub(crate) const STAGE_SLOTS: usize = 2;
/// The time to the first token, in microseconds.
pub(crate) const FIRST_US: u64 = 50_000;
/// The time between tokens, in microseconds.
pub(crate) const TOKEN_US: u64 = 8_000;
/// The utilization of the bottleneck pools under steady load.
pub(crate) const STEADY_LOAD: f64 = 0.7;

/// The size of one user's service.
pub(crate) struct Size {
    /// The name of the size.
    pub(crate) name: &'static str,
    /// The pools; the last one is that of the engines.
    pub(crate) pools: [Pool; 4],
    /// The pipelines.
    pub(crate) pipelines: [Pipeline; 4],
}

/// A pool of upstreams.
pub(crate) struct Pool {
    /// The name of the pool and of its stage.
    pub(crate) name: &'static str,
    /// The kind of work that its upstreams do.
    pub(crate) kind: PoolKind,
    /// The number of its upstreams.
    pub(crate) replicas: usize,
    /// The mean of the exponentially distributed service time in microseconds; unused for engines.
    pub(crate) mean_us: u64,
}

/// A pipeline and the customer that uses it.
pub(crate) struct Pipeline {
    /// The name of the pipeline and of its class of requests.
    pub(crate) name: &'static str,
    /// The name of the customer.
    pub(crate) customer: &'static str,
    /// The priority of its requests.
    pub(crate) priority: Priority,
    /// The pools of its stages, in order.
    pub(crate) stages: &'static [&'static str],
    /// The number of tokens that it generates.
    pub(crate) tokens: u64,
    /// The deadline in milliseconds.
    pub(crate) deadline_ms: u64,
    /// Its share of the engines' steady load. With 0, its rate fills the retrieval pool up to the
    /// steady load instead.
    pub(crate) share: f64,
}

const fn pools(engines: usize) -> [Pool; 4] {
    [
        Pool { name: "encode", kind: PoolKind::Encode, replicas: 3, mean_us: 15_000 },
        Pool { name: "retrieve", kind: PoolKind::Retrieve, replicas: 4, mean_us: 50_000 },
        Pool { name: "rerank", kind: PoolKind::Rerank, replicas: 5, mean_us: 30_000 },
        Pool { name: "generate", kind: PoolKind::Generate, replicas: engines, mean_us: 0 },
    ]
}

const fn pipelines(names: [&'static str; 4], customers: [&'static str; 4]) -> [Pipeline; 4] {
    [
        Pipeline {
            name: names[0],
            customer: customers[0],
            priority: Priority(0),
            stages: &["encode", "retrieve", "rerank", "generate"],
            tokens: 60,
            deadline_ms: 2_000,
            share: 0.38,
        },
        Pipeline {
            name: names[1],
            customer: customers[1],
            priority: Priority(2),
            stages: &["retrieve", "rerank", "generate"],
            tokens: 60,
            deadline_ms: 2_000,
            share: 0.38,
        },
        Pipeline {
            name: names[2],
            customer: customers[2],
            priority: Priority(3),
            stages: &["encode", "retrieve", "rerank"],
            tokens: 0,
            deadline_ms: 1_000,
            share: 0.0,
        },
        Pipeline {
            name: names[3],
            customer: customers[3],
            priority: Priority(4),
            stages: &["encode", "rerank", "generate"],
            tokens: 150,
            deadline_ms: 4_000,
            share: 0.24,
        },
    ]
}

impl Size {
    /// Both sizes.
    pub(crate) const ALL: [Size; 2] = [
        Size {
            name: "association",
            pools: pools(12),
            pipelines: pipelines(
                ["appraisal", "reply", "history", "review"],
                ["crews", "buyers", "yards", "archive"],
            ),
        },
        Size {
            name: "utility",
            pools: pools(20),
            pipelines: pipelines(
                ["safety", "consent", "check", "aftercare"],
                ["inspectors", "artists", "applicants", "desk"],
            ),
        },
    ];

    /// Returns a pool by name.
    pub(crate) fn pool(&self, name: &str) -> &Pool {
        self.pools.iter().find(|it| it.name == name).expect("a pool of the table above")
    }

    /// Returns the arrivals per second of a pipeline under steady load.
    pub(crate) fn rate(&self, pipeline: &Pipeline) -> f64 {
        let engines = self.pool("generate");
        if pipeline.share > 0.0 {
            return STEADY_LOAD * engines.slots() as f64 * pipeline.share
                / engines.work(pipeline.tokens);
        }
        let retrieve = self.pool("retrieve");
        let max_rate = STEADY_LOAD * retrieve.slots() as f64 / retrieve.work(0);
        let others = self.pipelines.iter().filter(|it| it.share > 0.0);
        let others = others.filter(|it| it.stages.contains(&"retrieve"));
        max_rate - others.map(|it| self.rate(it)).sum::<f64>()
    }
}

impl Pool {
    /// Returns the number of slots of the pool.
    pub(crate) fn slots(&self) -> usize {
        self.replicas * self.replica_slots()
    }

    /// Returns the number of slots of one replica.
    pub(crate) fn replica_slots(&self) -> usize {
        if self.kind == PoolKind::Generate { ENGINE_SLOTS } else { STAGE_SLOTS }
    }

    /// Returns the time that a call takes without waiting, in seconds: its mean for stages, and the
    /// time without a cache hit for engines.
    pub(crate) fn work(&self, tokens: u64) -> f64 {
        let us = match self.kind {
            PoolKind::Generate => FIRST_US + TOKEN_US * tokens.saturating_sub(1),
            _ => self.mean_us,
        };
        us as f64 / 1e6
    }
}

impl Pipeline {
    /// Returns the time that a request occupies slots of a pool, in seconds, if no call is repeated.
    pub(crate) fn work(&self, pool: &Pool) -> f64 {
        if self.stages.contains(&pool.name) { pool.work(self.tokens) } else { 0.0 }
    }
}
