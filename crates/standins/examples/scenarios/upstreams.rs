//! The fake upstreams of one run.

use std::net::SocketAddr;

use standins::engine::{self, Engine};
use standins::faults::{FaultSwitch, Faults};
use standins::stage::{self, ServiceTime, Stage};
use types::{Micros, Millis, PoolKind, StepResult};

use crate::cases::UpstreamSet;
use crate::document::SITES;
use crate::sizes::{self, Pool, Size};

/// All fake upstreams of a run.
pub(crate) struct Upstreams {
    members: Vec<Member>,
}

/// One fake upstream.
pub(crate) struct Member {
    /// The name of its pool.
    pub(crate) pool: &'static str,
    /// Its index in the pool.
    pub(crate) number: usize,
    fake: Fake,
}

enum Fake {
    Engine(Engine),
    Stage(Stage),
}

impl Upstreams {
    /// Starts the fake upstreams of a size.
    pub(crate) async fn spawn(size: &Size) -> StepResult<Self> {
        let mut members = Vec::new();
        for pool in &size.pools {
            for number in 0..pool.replicas {
                let fake = spawn_fake(pool, number).await?;
                members.push(Member { pool: pool.name, number, fake });
            }
        }
        Ok(Self { members })
    }

    /// Returns the fake upstreams of a pool.
    pub(crate) fn pool(&self, name: &str) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(move |it| it.pool == name)
    }

    /// Replaces the faults of a set of upstreams.
    pub(crate) fn set_faults(&self, set: &UpstreamSet, faults: &Faults) {
        for member in self.members.iter().filter(|it| set.contains(it.pool, it.number, it.site())) {
            member.switch().set(faults.clone());
        }
    }

    /// Returns the total time for which slots were occupied, in seconds.
    pub(crate) fn busy(&self) -> f64 {
        let busy = self.members.iter().map(|it| match &it.fake {
            Fake::Engine(engine) => engine.counts().busy_us,
            Fake::Stage(stage) => stage.counts().busy_us,
        });
        busy.sum::<u64>() as f64 / 1e6
    }
}

impl Member {
    /// Returns the address on which it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        match &self.fake {
            Fake::Engine(engine) => engine.address(),
            Fake::Stage(stage) => stage.address(),
        }
    }

    /// Returns the index of its site.
    pub(crate) fn site(&self) -> usize {
        self.number % SITES.len()
    }

    fn switch(&self) -> &FaultSwitch {
        match &self.fake {
            Fake::Engine(engine) => engine.faults(),
            Fake::Stage(stage) => stage.faults(),
        }
    }
}

async fn spawn_fake(pool: &Pool, number: usize) -> StepResult<Fake> {
    let seed = number as u64 + 1;
    if pool.kind == PoolKind::Generate {
        let config = engine::Config {
            capacity: pool.replica_slots(),
            first: Micros(sizes::FIRST_US),
            token: Micros(sizes::TOKEN_US),
            lag: Millis(200),
            seed,
            ..engine::Config::default()
        };
        return engine::spawn(config).await.map(Fake::Engine);
    }
    let config = stage::Config {
        capacity: pool.replica_slots(),
        time: ServiceTime::Exponential(Micros(pool.mean_us)),
        lag: Millis(200),
        seed,
        ..stage::Config::default()
    };
    stage::spawn(config).await.map(Fake::Stage)
}
