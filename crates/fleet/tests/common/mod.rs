//! Upstreams, a platform and an authority for the tests.
#![allow(dead_code)]

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use fleet::{Authority, Target};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use types::{
    Fence, Fencing, Millis, Model, Pool, PoolKind, Service, StepError, StepResult, Upstream,
    UpstreamName,
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until `condition` holds.
pub(crate) async fn until(what: &str, condition: impl Fn() -> bool) {
    let waited = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let held = tokio::time::timeout(WAIT_TIMEOUT, waited).await;
    held.unwrap_or_else(|_| panic!("never happened: {what}"));
}

/// An order that an engine received, and whether it accepted it.
#[derive(Clone, Debug)]
pub(crate) struct Received {
    pub(crate) at: Instant,
    pub(crate) fence: u64,
    pub(crate) version: String,
    pub(crate) accepted: bool,
}

/// A fake HTTP server that acts as an engine and as the platform.
pub(crate) struct Fake {
    pub(crate) address: SocketAddr,
    checks_fencing: bool,
    shown: Mutex<Value>,
    received: Mutex<Vec<Received>>,
    pub(crate) draining: AtomicBool,
    pub(crate) list: Mutex<Value>,
}

impl Fake {
    pub(crate) async fn spawn(checks_fencing: bool, fence: u64) -> Arc<Self> {
        let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let shown = json!({"fence": fence, "model": "m", "version": "v1", "adapters": [],
            "role": "both", "state": "ready"});
        let fake = Arc::new(Self {
            address: socket.local_addr().unwrap(),
            checks_fencing,
            shown: Mutex::new(shown),
            received: Mutex::default(),
            draining: AtomicBool::new(false),
            list: Mutex::new(Value::Null),
        });
        let served = Arc::clone(&fake);
        tokio::spawn(async move {
            while let Ok((stream, _)) = socket.accept().await {
                let fake = Arc::clone(&served);
                let service = service_fn(move |request| answer(Arc::clone(&fake), request));
                let io = TokioIo::new(stream);
                let connection = hyper::server::conn::http1::Builder::new();
                tokio::spawn(connection.serve_connection(io, service));
            }
        });
        fake
    }

    /// Applies an order, from the fleet or from a test. Returns whether it was accepted.
    pub(crate) fn order(&self, order: &Value) -> bool {
        let mut shown = self.shown.lock().unwrap();
        let fence = order["fence"].as_u64().unwrap();
        let accepted = !self.checks_fencing || fence >= shown["fence"].as_u64().unwrap();
        if accepted {
            *shown = order.clone();
            shown["state"] = json!("ready");
        }
        let version = order["version"].as_str().unwrap().to_owned();
        let received = Received { at: Instant::now(), fence, version, accepted };
        self.received.lock().unwrap().push(received);
        accepted
    }

    pub(crate) fn version(&self) -> String {
        self.shown.lock().unwrap()["version"].as_str().unwrap().to_owned()
    }

    pub(crate) fn received(&self) -> Vec<Received> {
        self.received.lock().unwrap().clone()
    }

    pub(crate) fn set_list(&self, list: Value) {
        *self.list.lock().unwrap() = list;
    }
}

async fn answer(
    fake: Arc<Fake>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map(|it| it.to_bytes()).unwrap_or_default();
    let (status, body) = match (head.method, head.uri.path()) {
        (Method::GET, "/v1/load") => {
            let draining = fake.draining.load(Ordering::SeqCst);
            (StatusCode::OK, json!({"running": 2, "waiting": 1, "draining": draining}))
        }
        (Method::GET, "/v1/vms") => (StatusCode::OK, fake.list.lock().unwrap().clone()),
        (Method::GET, "/v1/orders") => (StatusCode::OK, fake.shown.lock().unwrap().clone()),
        (Method::POST, "/v1/orders") => match fake.order(&serde_json::from_slice(&body).unwrap()) {
            true => (StatusCode::OK, json!({})),
            false => {
                let seen = fake.shown.lock().unwrap()["fence"].clone();
                (StatusCode::CONFLICT, json!({"fence": seen}))
            }
        },
        _ => (StatusCode::NOT_FOUND, Value::Null),
    };
    let body = Full::new(Bytes::from(body.to_string()));
    Ok(Response::builder().status(status).body(body).unwrap())
}

/// The replicated state as one member sees it.
#[derive(Clone, Default)]
pub(crate) struct Quorum {
    pub(crate) fence: Arc<AtomicU64>,
    pub(crate) lost: Arc<AtomicBool>,
    pub(crate) confirmed: Arc<AtomicU64>,
}

impl Authority for Quorum {
    async fn fence(&self, _upstream: &UpstreamName, _target: &Target) -> StepResult<Fence> {
        Ok(Fence(self.fence.fetch_add(1, Ordering::SeqCst)))
    }

    async fn confirm(&self) -> StepResult<()> {
        if self.lost.load(Ordering::SeqCst) {
            return Err(StepError::new("confirm leadership", "no quorum"));
        }
        self.confirmed.fetch_add(1, Ordering::SeqCst);
        Ok(())
    }
}

pub(crate) fn name(text: &str) -> UpstreamName {
    text.parse().unwrap()
}

pub(crate) fn upstream(address: SocketAddr, vm: &str, fencing: Fencing) -> Upstream {
    Upstream {
        address,
        site: "north".parse().unwrap(),
        vm: vm.parse().unwrap(),
        capacity: 4,
        model: Some("m".parse().unwrap()),
        role: None,
        fencing,
        reports: true,
        leaving: false,
    }
}

/// Returns a service with one pool of engines whose target is `version`.
pub(crate) fn service(version: &str, engines: &[(&str, Upstream)]) -> Service {
    let mut service = Service::default();
    let model = Model { version: version.to_owned(), ..Model::default() };
    service.models.insert("m".parse().unwrap(), model);
    let upstreams = engines.iter().map(|(it, upstream)| (name(it), upstream.clone())).collect();
    let pool = Pool { kind: PoolKind::Generate, upstreams, ..Pool::default() };
    service.pools.insert("generate".parse().unwrap(), pool);
    service.orders.longest = Millis(1_000);
    service
}
