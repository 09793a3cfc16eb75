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

use crate::faults::Switch;
use crate::handle::{self, Fake, Handle};
use crate::http::{self, Handler, Reply};
use crate::slots::Slots;
use crate::worker;

pub use cache::{BLOCK, prefixes};
pub use orders::{Order, Standing};
pub use text::{token, whole};

/// The settings of a fake engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// Where it listens; port 0 takes a free one.
    pub listen: SocketAddr,
    /// How many streams run at once.
    pub capacity: usize,
    /// How many streams wait before further ones get a 429.
    pub queue: usize,
    /// The time to the first token of a prompt that is not cached, in microseconds.
    pub first: Micros,
    /// The time between tokens, in microseconds.
    pub token: Micros,
    /// The tokens generated where a call names no number.
    pub tokens: u64,
    /// How many blocks of prompt the prefix cache holds.
    pub blocks: usize,
    /// How late cache events are published, in milliseconds.
    pub late: Millis,
    /// One in so many cache events is never published; 0 publishes all.
    pub gaps: u64,
    /// How old the reported load is, in milliseconds.
    pub lag: Millis,
    /// Whether orders with an old fencing number are refused.
    pub fencing: Fencing,
    /// How long an order takes to come into force, in milliseconds.
    pub loading: Millis,
    /// The model loaded at the start; none answers to every name.
    pub model: Option<ModelName>,
    /// The seed of faults.
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

/// What an engine has counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Calls that reached it.
    pub calls: u64,
    /// Calls refused.
    pub refused: u64,
    /// Streams sent to their end.
    pub finished: u64,
    /// Streams ended by a cancel or a disconnect.
    pub cancelled: u64,
    /// Streams that went on from delivered tokens.
    pub resumed: u64,
    /// Resumed calls whose delivered text is not what this prompt gives.
    pub mismatched: u64,
    /// Tokens sent.
    pub tokens: u64,
    /// The total time that places were taken, in microseconds, abandoned streams included.
    pub busy_us: u64,
    /// The most streams that ran at once.
    pub peak: u64,
}

/// A running fake engine.
pub type Engine = Handle<FakeEngine>;

/// The state of a fake engine.
#[derive(Debug)]
pub struct FakeEngine {
    config: Config,
    slots: Slots,
    faults: Switch,
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
/// The address cannot be listened on.
pub async fn spawn(config: Config) -> StepResult<Engine> {
    let listen = config.listen;
    let fake = FakeEngine {
        slots: Slots::new(config.capacity),
        faults: Switch::new(config.seed),
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
    /// Returns the order in force.
    pub fn standing(&self) -> Standing {
        lock(&self.fake.orders).standing()
    }
}

impl Fake for FakeEngine {
    type Counts = Counts;

    fn faults(&self) -> &Switch {
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
                worker::load(&self.slots, self.config.lag.into(), draining)
            }
            (&Method::GET, "/v1/cache") => {
                lock(&self.cache).answer(request.uri().query().unwrap_or_default())
            }
            (&Method::GET, "/v1/orders") => {
                http::json(StatusCode::OK, &lock(&self.orders).standing())
            }
            (&Method::POST, "/v1/orders") => lock(&self.orders).take(request.body()),
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

/// Locks a mutex that nothing can leave in a broken state.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
