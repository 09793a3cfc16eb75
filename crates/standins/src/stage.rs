//! A fake encoder, retriever or reranker: `POST /v1/stage`, `GET /v1/load`, `POST /faults`,
//! `GET /counts`.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use types::{Micros, Millis, StepResult};

use crate::faults::FaultSwitch;
use crate::handle::{self, Fake, Handle};
use crate::http::{self, Handler, Reply};
pub use crate::worker::ServiceTime;
use crate::worker::{self, Answer, Worker};

/// The settings of a fake stage or service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// The address to listen on; port 0 means any free port.
    pub listen: SocketAddr,
    /// The maximum number of calls that run at once.
    pub capacity: usize,
    /// The maximum number of waiting calls; further calls are answered with status 429.
    pub queue: usize,
    /// The service time of a call.
    pub time: ServiceTime,
    /// The age of the reported load, in milliseconds.
    pub lag: Millis,
    /// The seed of the random service times and faults.
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

/// The counters of a fake stage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// The calls received.
    pub calls: u64,
    /// The calls refused.
    pub refused: u64,
    /// The calls that ran to their end.
    pub finished: u64,
    /// The total time for which slots were occupied, in microseconds, including abandoned calls.
    pub busy_us: u64,
    /// The largest number of calls that ran at once.
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
/// Returns an error if the fake can't listen on its address.
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

    fn faults(&self) -> &FaultSwitch {
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
            (&Method::POST, "/v1/stage") => self.answer_call(request).await,
            (&Method::GET, "/v1/load") => {
                let draining = self.worker.faults.get().draining;
                worker::load_reply(&self.worker.slots, self.lag.into(), draining)
            }
            (&Method::POST, "/faults") => self.worker.faults.command(request.body()),
            (&Method::GET, "/counts") => http::json(StatusCode::OK, &self.counts()),
            _ => http::error(StatusCode::NOT_FOUND, "no such call"),
        }
    }
}

impl FakeStage {
    async fn answer_call(&self, request: Request<Bytes>) -> Reply {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let call = match worker::parse_call(&request) {
            Ok(call) => call,
            Err(reply) => return reply,
        };
        if let Some(mut reply) = self.worker.refusal() {
            self.refused.fetch_add(1, Ordering::Relaxed);
            http::set_call_id(&mut reply, &call.call);
            return reply;
        }
        let faults = self.worker.faults.draw();
        if faults.error {
            return failed(&call.call);
        }
        let Some(busy) = self.worker.run(call.priority, &faults).await else {
            return failed(&call.call);
        };
        self.finished.fetch_add(1, Ordering::Relaxed);
        let output = worker::build_output(&call);
        let answer = Answer { call: call.call, output, busy_us: busy.as_micros() as u64 };
        self.worker.reply(answer, &faults).await
    }
}

fn failed(call_id: &str) -> Reply {
    let mut reply = http::error(StatusCode::INTERNAL_SERVER_ERROR, "failed on command");
    http::set_call_id(&mut reply, call_id);
    reply
}
