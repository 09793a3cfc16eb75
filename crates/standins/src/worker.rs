//! The common parts of fake stages and fake services: slots, service times, faults and the bodies
//! of calls.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hyper::{Request, StatusCode};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use types::Micros;

use crate::faults::{CallFaults, FaultSwitch};
use crate::http::{self, Reply};
use crate::slots::Slots;

/// The distribution of service times, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceTime {
    /// The same time for each call.
    Fixed(Micros),
    /// Exponentially distributed with this mean.
    Exponential(Micros),
}

/// The body of a call to a stage or a plain service.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Call {
    pub(crate) call: String,
    #[serde(default)]
    pub(crate) stage: String,
    #[serde(default)]
    pub(crate) priority: u8,
    #[serde(default)]
    pub(crate) input: Value,
    #[serde(default)]
    pub(crate) previous: Value,
}

/// The body of the response to a call.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Answer {
    pub(crate) call: String,
    pub(crate) output: Value,
    pub(crate) busy_us: u64,
}

/// Runs the calls of a fake stage or service.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) slots: Slots,
    pub(crate) faults: FaultSwitch,
    queue: usize,
    time: ServiceTime,
    rng: Mutex<StdRng>,
    last: Mutex<Option<Answer>>,
}

impl Worker {
    pub(crate) fn new(capacity: usize, queue: usize, time: ServiceTime, seed: u64) -> Self {
        Self {
            slots: Slots::new(capacity),
            faults: FaultSwitch::new(seed),
            queue,
            time,
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            last: Mutex::new(None),
        }
    }

    /// Returns the response that refuses a new call, or `None` if the call can be taken.
    pub(crate) fn refusal(&self) -> Option<Reply> {
        if self.faults.get().draining {
            return Some(http::draining());
        }
        if self.slots.load(Duration::ZERO).waiting >= self.queue {
            return Some(http::error(StatusCode::TOO_MANY_REQUESTS, "the queue is full"));
        }
        None
    }

    /// Waits for a slot and occupies it for the service time. Returns how long the slot was occupied.
    pub(crate) async fn run(&self, priority: u8, faults: &CallFaults) -> Option<Duration> {
        let slot = self.slots.acquire(priority).await?;
        if faults.hang {
            std::future::pending::<()>().await;
        }
        let time = self.draw_service_time().mul_f64(faults.slow);
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
        Some(slot.held())
    }

    /// Builds the response, with the faults of the call applied.
    pub(crate) async fn reply(&self, mut answer: Answer, faults: &CallFaults) -> Reply {
        if !faults.late.is_zero() {
            tokio::time::sleep(faults.late).await;
        }
        let call = answer.call.clone();
        let previous = self.lock_last().replace(answer.clone());
        let mut echoed_id = call.clone();
        if faults.swap_body || faults.swap_echo {
            if let Some(previous) = previous {
                answer = previous;
            } else {
                answer.call = http::NIL_CALL_ID.to_owned();
            }
        }
        if faults.swap_echo {
            echoed_id = answer.call.clone();
        }
        let mut reply = if faults.cut {
            http::truncated_json(StatusCode::OK, &answer)
        } else {
            http::json(StatusCode::OK, &answer)
        };
        http::set_call_id(&mut reply, &echoed_id);
        reply
    }

    fn lock_last(&self) -> std::sync::MutexGuard<'_, Option<Answer>> {
        self.last.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn draw_service_time(&self) -> Duration {
        match self.time {
            ServiceTime::Fixed(time) => time.into(),
            ServiceTime::Exponential(mean) => {
                let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
                let share: f64 = rng.random();
                Duration::from(mean).mul_f64(-(1.0 - share).ln())
            }
        }
    }
}

/// Parses a call, or returns the response that reports its error.
#[allow(clippy::result_large_err)]
pub(crate) fn parse_call(request: &Request<Bytes>) -> Result<Call, Reply> {
    let call: Call = serde_json::from_slice(request.body())
        .map_err(|e| http::error(StatusCode::BAD_REQUEST, &e.to_string()))?;
    match http::call_id(request) {
        Some(id) if id == call.call => Ok(call),
        _ => Err(http::error(StatusCode::BAD_REQUEST, "x-request-id is not the body's call")),
    }
}

/// Builds the output of a call: the chain of the previous output, extended by this stage with the
/// markers of its input.
pub(crate) fn build_output(call: &Call) -> Value {
    let marker = crate::marker::find(&call.input.to_string()).join("+");
    let own = json!({"stage": call.stage, "marker": marker});
    let mut links = match call.previous.get("chain") {
        Some(Value::Array(links)) => links.clone(),
        _ if call.previous.is_null() => Vec::new(),
        _ => vec![json!({"previous": call.previous})],
    };
    links.push(own);
    json!({"stage": call.stage, "marker": marker, "chain": links})
}

/// Builds the response to `GET /v1/load`, with the load as it was `lag` ago.
pub(crate) fn load_reply(slots: &Slots, lag: Duration, draining: bool) -> Reply {
    let load = slots.load(lag);
    let body = json!({"running": load.running, "waiting": load.waiting, "draining": draining});
    http::json(StatusCode::OK, &body)
}
