//! A fake encoder, retriever or reranker: `POST /v1/stage`, `GET /v1/load`, `POST /faults`,
//! `GET /counts`.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use types::{Micros, Millis, StepResult};

use crate::faults::Switch;
use crate::handle::{self, Fake, Handle};
use crate::http::{self, Handler, Reply};
pub use crate::worker::ServiceTime;
use crate::worker::{self, Answer, Worker};

/// The settings of a fake stage.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// Where it listens; port 0 takes a free one.
    pub listen: SocketAddr,
    /// How many calls run at once.
    pub capacity: usize,
    /// How many calls wait before further ones get a 429.
    pub queue: usize,
    /// How long a call runs.
    pub time: ServiceTime,
    /// How old the reported load is, in milliseconds.
    pub lag: Millis,
    /// The seed of service times and faults.
    pub seed: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            capacity: 4,
            queue: 1_000,
            time: ServiceTime::Fixed(Micros(0)),
            lag: Millis(0),
            seed: 1,
        }
    }
}

/// What a fake has counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Calls that reached it.
    pub calls: u64,
    /// Calls refused.
    pub refused: u64,
    /// Calls that ran to their end.
    pub finished: u64,
    /// The total time that places were taken, in microseconds, abandoned calls included.
    pub busy_us: u64,
    /// The most calls that ran at once.
    pub peak: u64,
}

/// A running fake stage.
pub type Stage = Handle<FakeStage>;

/// The state of a fake stage.
#[derive(Debug)]
pub struct FakeStage {
    worker: Worker,
    lag: Millis,
    calls: AtomicU64,
    refused: AtomicU64,
    finished: AtomicU64,
}

/// Starts a fake stage.
///
/// # Errors
/// The address cannot be listened on.
pub async fn spawn(config: Config) -> StepResult<Stage> {
    let worker = Worker::new(config.capacity, config.queue, config.time, config.seed);
    let fake = FakeStage {
        worker,
        lag: config.lag,
        calls: AtomicU64::new(0),
        refused: AtomicU64::new(0),
        finished: AtomicU64::new(0),
    };
    handle::serve(config.listen, fake).await
}

impl Fake for FakeStage {
    type Counts = Counts;

    fn faults(&self) -> &Switch {
        &self.worker.faults
    }

    fn counts(&self) -> Counts {
        Counts {
            calls: self.calls.load(Ordering::Relaxed),
            refused: self.refused.load(Ordering::Relaxed),
            finished: self.finished.load(Ordering::Relaxed),
            busy_us: self.worker.slots.busy().as_micros() as u64,
            peak: self.worker.slots.peak() as u64,
        }
    }
}

impl Handler for FakeStage {
    async fn handle(self: Arc<Self>, request: Request<Bytes>) -> Reply {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/stage") => self.stage(request).await,
            (&Method::GET, "/v1/load") => {
                let draining = self.worker.faults.get().draining;
                worker::load(&self.worker.slots, self.lag.into(), draining)
            }
            (&Method::POST, "/faults") => self.worker.faults.command(request.body()),
            (&Method::GET, "/counts") => http::json(StatusCode::OK, &self.counts()),
            _ => http::error(StatusCode::NOT_FOUND, "no such call"),
        }
    }
}

impl FakeStage {
    async fn stage(&self, request: Request<Bytes>) -> Reply {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let call = match worker::read(&request) {
            Ok(call) => call,
            Err(reply) => return reply,
        };
        if let Some(mut reply) = self.worker.refusal() {
            self.refused.fetch_add(1, Ordering::Relaxed);
            http::echo(&mut reply, &call.call);
            return reply;
        }
        let fate = self.worker.faults.draw();
        if fate.error {
            return failed(&call.call);
        }
        let Some(busy) = self.worker.run(call.priority, &fate).await else {
            return failed(&call.call);
        };
        self.finished.fetch_add(1, Ordering::Relaxed);
        let output = worker::chain(&call);
        let answer = Answer { call: call.call, output, busy_us: busy.as_micros() as u64 };
        self.worker.reply(answer, &fate).await
    }
}

fn failed(call: &str) -> Reply {
    let mut reply = http::error(StatusCode::INTERNAL_SERVER_ERROR, "failed on command");
    http::echo(&mut reply, call);
    reply
}
