//! A fake model engine: `POST /v1/completions` (streaming, OpenAI style), `POST /v1/cancel`,
//! `GET /v1/load`, `GET` and `POST /v1/orders`, `GET /v1/cache`, `POST /faults`, `GET /counts`.

mod cache;
mod orders;
mod stream;
mod text;

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use types::{Fencing, Micros, Millis, ModelName, StepResult};

use crate::faults::FaultSwitch;
use crate::handle::{self, Fake, Handle};
use crate::http::{self, Handler, Reply};
use crate::slots::Slots;
use crate::worker;

pub use cache::{BLOCK_BYTES, prefixes};
pub use orders::{Order, OrderStatus};
pub use text::{full_text, token};

/// The settings of a fake engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// The address to listen on; port 0 means any free port.
    pub listen: SocketAddr,
    /// The maximum number of streams that run at once.
    pub capacity: usize,
    /// The maximum number of waiting streams; further calls are answered with status 429.
    pub queue: usize,
    /// The time to the first token if the prompt is not cached, in microseconds.
    pub first: Micros,
    /// The time between tokens, in microseconds.
    pub token: Micros,
    /// The number of tokens to generate if the call doesn't set `max_tokens`.
    pub tokens: u64,
    /// The maximum number of prompt blocks in the prefix cache.
    pub blocks: usize,
    /// The delay before a cache event is published, in milliseconds.
    pub late: Millis,
    /// Every cache event whose number is a multiple of this is never published; 0 publishes all.
    pub gaps: u64,
    /// The age of the reported load, in milliseconds.
    pub lag: Millis,
    /// Whether orders with an old fencing number are refused.
    pub fencing: Fencing,
    /// The time until an order is in force, in milliseconds.
    pub loading: Millis,
    /// The model loaded at the start; without one, calls for any model are served.
    pub model: Option<ModelName>,
    /// The seed of the random faults.
    pub seed: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            capacity: 8,
            queue: 1_000,
            first: Micros(20_000),
            token: Micros(2_000),
            tokens: 16,
            blocks: 4_096,
            late: Millis(500),
            gaps: 20,
            lag: Millis(200),
            fencing: Fencing::Checks,
            loading: Millis(0),
            model: None,
            seed: 1,
        }
    }
}

/// The counters of a fake engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// The calls received.
    pub calls: u64,
    /// The calls refused.
    pub refused: u64,
    /// The streams sent to their end.
    pub finished: u64,
    /// The streams that ended early, by a cancel, a disconnect or a fault.
    pub cancelled: u64,
    /// The streams that resumed after tokens delivered earlier.
    pub resumed: u64,
    /// The resumed calls whose delivered text doesn't match the text of the prompt.
    pub mismatched: u64,
    /// The tokens sent.
    pub tokens: u64,
    /// The total time for which slots were occupied, in microseconds, including abandoned streams.
    pub busy_us: u64,
    /// The largest number of streams that ran at once.
    pub peak: u64,
}

/// A running fake engine.
pub type Engine = Handle<FakeEngine>;

/// The state of a fake engine.
#[derive(Debug)]
pub struct FakeEngine {
    config: Config,
    slots: Slots,
    faults: FaultSwitch,
    cache: Mutex<cache::Cache>,
    orders: Mutex<orders::Orders>,
    calls: Mutex<HashMap<String, watch::Sender<bool>>>,
    last: Mutex<Option<(String, String)>>,
    counters: Counters,
}

#[derive(Debug, Default)]
struct Counters {
    calls: AtomicU64,
    refused: AtomicU64,
    finished: AtomicU64,
    cancelled: AtomicU64,
    resumed: AtomicU64,
    mismatched: AtomicU64,
    tokens: AtomicU64,
}

/// Starts a fake engine.
///
/// # Errors
/// Returns an error if the fake can't listen on its address.
pub async fn spawn(config: Config) -> StepResult<Engine> {
    let listen = config.listen;
    let fake = FakeEngine {
        slots: Slots::new(config.capacity),
        faults: FaultSwitch::new(config.seed),
        cache: Mutex::new(cache::Cache::new(config.blocks, config.late.into(), config.gaps)),
        orders: Mutex::new(orders::Orders::new(&config)),
        calls: Mutex::default(),
        last: Mutex::default(),
        counters: Counters::default(),
        config,
    };
    handle::serve(listen, fake).await
}

impl Handle<FakeEngine> {
    /// Returns the last accepted order and whether it is in force.
    pub fn order_status(&self) -> OrderStatus {
        lock(&self.fake.orders).status()
    }
}

impl Fake for FakeEngine {
    type Counts = Counts;

    fn faults(&self) -> &FaultSwitch {
        &self.faults
    }

    fn counts(&self) -> Counts {
        let read = |it: &AtomicU64| it.load(Ordering::Relaxed);
        let it = &self.counters;
        Counts {
            calls: read(&it.calls),
            refused: read(&it.refused),
            finished: read(&it.finished),
            cancelled: read(&it.cancelled),
            resumed: read(&it.resumed),
            mismatched: read(&it.mismatched),
            tokens: read(&it.tokens),
            busy_us: self.slots.busy().as_micros() as u64,
            peak: self.slots.peak() as u64,
        }
    }
}

impl Handler for FakeEngine {
    async fn handle(self: Arc<Self>, request: Request<Bytes>) -> Reply {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/completions") => stream::complete(self, request).await,
            (&Method::POST, "/v1/cancel") => self.cancel(request.body()),
            (&Method::GET, "/v1/load") => {
                let draining = self.faults.get().draining;
                worker::load_reply(&self.slots, self.config.lag.into(), draining)
            }
            (&Method::GET, "/v1/cache") => {
                lock(&self.cache).events_reply(request.uri().query().unwrap_or_default())
            }
            (&Method::GET, "/v1/orders") => {
                http::json(StatusCode::OK, &lock(&self.orders).status())
            }
            (&Method::POST, "/v1/orders") => lock(&self.orders).answer_order(request.body()),
            (&Method::POST, "/faults") => self.faults.command(request.body()),
            (&Method::GET, "/counts") => http::json(StatusCode::OK, &self.counts()),
            _ => http::error(StatusCode::NOT_FOUND, "no such call"),
        }
    }
}

/// The body of `POST /v1/cancel`.
#[derive(Deserialize)]
struct Cancel {
    request_id: String,
}

impl FakeEngine {
    fn cancel(&self, body: &Bytes) -> Reply {
        let Ok(cancel) = serde_json::from_slice::<Cancel>(body) else {
            return http::error(StatusCode::BAD_REQUEST, "no request_id");
        };
        let found = lock(&self.calls).remove(&cancel.request_id);
        let cancelled = found.is_some_and(|it| it.send(true).is_ok());
        http::json(StatusCode::OK, &serde_json::json!({"cancelled": cancelled}))
    }
}

/// Locks a mutex whose value stays valid even if a thread panics while it holds the lock.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
