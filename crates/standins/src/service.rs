//! A fake plain service whose calls must not be repeated: it counts how often it ran a call with
//! each `Idempotency-Key`. Any `POST` but `/faults` is a call; `GET /counts` returns
//! `{"runs": {KEY: N}, ..}`.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use types::{Millis, StepResult};

use crate::faults::FaultSwitch;
use crate::handle::{self, Fake, Handle};
use crate::http::{self, Handler, Reply};
pub use crate::stage::Config;
use crate::worker::{self, Answer, Worker};

/// The counters of a fake service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// The number of runs started, by idempotency key.
    pub runs: BTreeMap<String, u64>,
    /// The number of runs started without an idempotency key.
    pub keyless: u64,
    /// The total time for which slots were occupied, in microseconds.
    pub busy_us: u64,
}

/// A running fake service.
pub type Service = Handle<FakeService>;

/// The state of a fake service.
#[derive(Debug)]
pub struct FakeService {
    worker: Worker,
    lag: Millis,
    counts: Mutex<Counts>,
}

/// Starts a fake service.
///
/// # Errors
/// Returns an error if the fake can't listen on its address.
pub async fn spawn(config: Config) -> StepResult<Service> {
    let worker = Worker::new(config.capacity, config.queue, config.time, config.seed);
    let fake = FakeService { worker, lag: config.lag, counts: Mutex::default() };
    handle::serve(config.listen, fake).await
}

impl Fake for FakeService {
    type Counts = Counts;

    fn faults(&self) -> &FaultSwitch {
        &self.worker.faults
    }

    fn counts(&self) -> Counts {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner).clone();
        counts.busy_us = self.worker.slots.busy().as_micros() as u64;
        counts
    }
}

impl Handler for FakeService {
    async fn handle(self: Arc<Self>, request: Request<Bytes>) -> Reply {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/v1/load") => {
                let draining = self.worker.faults.get().draining;
                worker::load_reply(&self.worker.slots, self.lag.into(), draining)
            }
            (&Method::POST, "/faults") => self.worker.faults.command(request.body()),
            (&Method::GET, "/counts") => http::json(StatusCode::OK, &self.counts()),
            (&Method::POST, _) => self.answer_call(request).await,
            _ => http::error(StatusCode::NOT_FOUND, "no such call"),
        }
    }
}

impl FakeService {
    async fn answer_call(&self, request: Request<Bytes>) -> Reply {
        let call = match worker::parse_call(&request) {
            Ok(call) => call,
            Err(reply) => return reply,
        };
        if let Some(mut reply) = self.worker.refusal() {
            http::set_call_id(&mut reply, &call.call);
            return reply;
        }
        let key = request.headers().get("idempotency-key").and_then(|it| it.to_str().ok());
        let run = self.count_run(key);
        let faults = self.worker.faults.draw();
        if faults.error {
            let mut reply = http::error(StatusCode::INTERNAL_SERVER_ERROR, "failed on command");
            http::set_call_id(&mut reply, &call.call);
            return reply;
        }
        let Some(busy) = self.worker.run(call.priority, &faults).await else {
            return http::error(StatusCode::INTERNAL_SERVER_ERROR, "stopped");
        };
        let mut output = worker::build_output(&call);
        output["run"] = run.into();
        let answer = Answer { call: call.call, output, busy_us: busy.as_micros() as u64 };
        self.worker.reply(answer, &faults).await
    }

    /// Counts a run and returns its number among those with the same key. A call is counted before
    /// it can fail, because from then on it may have an effect.
    fn count_run(&self, key: Option<&str>) -> u64 {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(key) = key else {
            counts.keyless += 1;
            return counts.keyless;
        };
        let runs = counts.runs.entry(key.to_owned()).or_default();
        *runs += 1;
        *runs
    }
}
