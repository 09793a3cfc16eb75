//! A plain service whose calls may not be repeated. It records the key, the request and the time of
//! each run.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::RngExt;
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::watch;

/// The behavior of the service. Shares are between 0 and 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct Behavior {
    /// The delay of late answers.
    pub late: Duration,
    /// The share of late answers.
    pub late_share: f64,
    /// The share of calls that run and get no answer because the connection is closed.
    pub cut: f64,
    /// The share of calls that run and are answered with a 500.
    pub error: f64,
    /// The share of calls that do not run and are answered with a 429 that contains their id.
    pub decline: f64,
    /// Whether new connections are refused.
    pub refuse: bool,
}

/// A run of a call.
#[derive(Clone, Debug)]
pub struct Run {
    /// The idempotency key.
    pub key: String,
    /// The id of the request.
    pub request: String,
    /// The time when it began.
    pub at: Instant,
}

/// A running service.
#[derive(Clone, Debug)]
pub struct Stock {
    address: SocketAddr,
    runs: Arc<Mutex<Vec<Run>>>,
    behavior: watch::Sender<Behavior>,
}

impl Stock {
    /// Starts a service at `address`.
    pub fn spawn(runtime: &Handle, address: SocketAddr) -> Self {
        let stock = Self { address, runs: Arc::default(), behavior: watch::Sender::default() };
        runtime.spawn(stock.clone().accept());
        stock
    }

    /// Returns the address of the service.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the behavior for the next calls.
    pub fn set_behavior(&self, behavior: Behavior) {
        self.behavior.send_replace(behavior);
    }

    /// Returns all runs so far, in order.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    async fn accept(self) {
        let mut behavior = self.behavior.subscribe();
        loop {
            let _ = behavior.wait_for(|it| !it.refuse).await;
            let Ok(listener) = TcpListener::bind(self.address).await else {
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            loop {
                tokio::select! {
                    _ = behavior.wait_for(|it| it.refuse) => break,
                    accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                        tokio::spawn(self.clone().serve(stream));
                    },
                }
            }
        }
    }

    async fn serve(self, stream: TcpStream) {
        let (cut, mut is_cut) = watch::channel(false);
        let service = service_fn(|request| self.answer(request, &cut));
        let http = hyper::server::conn::http1::Builder::new();
        tokio::select! {
            _ = http.serve_connection(TokioIo::new(stream), service) => {}
            _ = is_cut.wait_for(|it| *it) => {}
        }
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        cut: &watch::Sender<bool>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let (parts, body) = request.into_parts();
        let text = |name| parts.headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or("");
        let (call, key) = (text("x-request-id"), text("idempotency-key"));
        if parts.method == "GET" {
            return Ok(reply(200, call, &json!({"running": 0, "waiting": 0, "draining": false})));
        }
        let Ok(body) = body.collect().await else { return Ok(reply(400, call, &json!({}))) };
        let body: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
        let behavior = *self.behavior.borrow();
        let happens = |share: f64| share > 0.0 && rand::rng().random::<f64>() < share;
        if happens(behavior.decline) {
            return Ok(reply(429, call, &json!({})));
        }
        let run = self.record_run(key, &body);
        if happens(behavior.late_share) {
            tokio::time::sleep(behavior.late).await;
        }
        if happens(behavior.cut) {
            cut.send_replace(true);
            std::future::pending::<()>().await;
        }
        if happens(behavior.error) {
            return Ok(reply(500, call, &json!({})));
        }
        let marker = standins::marker::find(&body["input"].to_string()).join("+");
        let output = json!({"marker": marker, "run": run, "previous": body["previous"]});
        Ok(reply(200, call, &json!({"call": call, "output": output, "busy_us": 1})))
    }

    /// Records a run, which is the effect of the call, before any simulated fault can happen. Returns
    /// the number of runs.
    fn record_run(&self, key: &str, body: &Value) -> usize {
        let request = body["request"].as_str().unwrap_or_default().to_owned();
        let mut runs = self.runs.lock().unwrap();
        runs.push(Run { key: key.to_owned(), request, at: Instant::now() });
        runs.len()
    }
}

fn reply(status: u16, call: &str, body: &Value) -> Response<Full<Bytes>> {
    let mut reply = Response::new(Full::new(Bytes::from(body.to_string())));
    *reply.status_mut() = StatusCode::from_u16(status).unwrap();
    if let Ok(call) = call.parse() {
        reply.headers_mut().insert("x-request-id", call);
    }
    reply
}
