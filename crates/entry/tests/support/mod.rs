//! Starts entries with a scripted session and scripted upstreams.

#![allow(dead_code)]

#[path = "../../../upstream/tests/support/mod.rs"]
pub(crate) mod fake;

use std::collections::VecDeque;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use entry::{Entry, EntryConfig, Session};
use follower::{ClaimError, Claimed, ServiceSnapshot};
use serde_json::{Value, json};
use settings::EntrySettings;
use sha2::{Digest, Sha256};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};
use types::{
    ClaimAnswer, ClaimKey, ClaimRequest, ClaimTicket, Incarnation, Millis, Service, StoredAnswer,
    UpstreamName, Version,
};
use wire::session::UsageReport;

/// The bearer key of the customer `yard`.
pub(crate) const KEY: &str = "yard-key";

/// The calls that a session received, in order.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum SessionCall {
    Claim(ClaimRequest),
    Finish(ClaimKey, StoredAnswer),
    Release(ClaimKey),
}

/// A session that answers by script. Calls that the script does not cover succeed.
#[derive(Default)]
pub(crate) struct FakeSession {
    pub(crate) snapshot: Mutex<Option<Arc<ServiceSnapshot>>>,
    pub(crate) stale: Mutex<bool>,
    pub(crate) claims: Mutex<VecDeque<Result<ClaimAnswer, ClaimError>>>,
    pub(crate) finishes: Mutex<VecDeque<Result<(), ClaimError>>>,
    pub(crate) releases: Mutex<VecDeque<Result<(), ClaimError>>>,
    pub(crate) hold: Mutex<Option<Arc<Notify>>>,
    received: Mutex<Vec<SessionCall>>,
    usage: Mutex<Vec<UsageReport>>,
    drain_reported: Mutex<bool>,
}

impl FakeSession {
    pub(crate) fn received(&self) -> Vec<SessionCall> {
        self.received.lock().unwrap().clone()
    }

    pub(crate) fn usage(&self) -> Vec<UsageReport> {
        self.usage.lock().unwrap().clone()
    }

    pub(crate) fn drain_reported(&self) -> bool {
        *self.drain_reported.lock().unwrap()
    }

    fn next<T>(queue: &Mutex<VecDeque<T>>, usual: T) -> T {
        queue.lock().unwrap().pop_front().unwrap_or(usual)
    }

    async fn wait_if_held(&self) {
        let hold = self.hold.lock().unwrap().clone();
        if let Some(hold) = hold {
            hold.notified().await;
        }
    }
}

impl Session for FakeSession {
    fn service(&self) -> Option<Arc<ServiceSnapshot>> {
        self.snapshot.lock().unwrap().clone()
    }

    fn age(&self, _now: Instant) -> Option<Duration> {
        (!*self.stale.lock().unwrap()).then_some(Duration::ZERO)
    }

    fn is_steady(&self, _since: Instant, _now: Instant) -> bool {
        !*self.stale.lock().unwrap()
    }

    fn claim(
        &self,
        request: ClaimRequest,
        _by: Instant,
    ) -> impl Future<Output = Result<Claimed, ClaimError>> + Send {
        self.received.lock().unwrap().push(SessionCall::Claim(request));
        let answer = Self::next(&self.claims, Ok(ClaimAnswer::Granted));
        std::future::ready(answer.map(Claimed::certain))
    }

    async fn finish(
        &self,
        key: ClaimKey,
        _ticket: ClaimTicket,
        answer: StoredAnswer,
        _by: Instant,
    ) -> Result<(), ClaimError> {
        self.wait_if_held().await;
        self.received.lock().unwrap().push(SessionCall::Finish(key, answer));
        Self::next(&self.finishes, Ok(()))
    }

    async fn release(
        &self,
        key: ClaimKey,
        _ticket: ClaimTicket,
        _by: Instant,
    ) -> Result<(), ClaimError> {
        self.wait_if_held().await;
        self.received.lock().unwrap().push(SessionCall::Release(key));
        Self::next(&self.releases, Ok(()))
    }

    fn usage(&self, report: UsageReport) {
        self.usage.lock().unwrap().push(report);
    }

    fn load(&self, _in_flight: &[(UpstreamName, u32)]) {}

    fn draining(&self) {
        *self.drain_reported.lock().unwrap() = true;
    }
}

/// The addresses of each pool's upstreams.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pools {
    pub(crate) encode: Vec<SocketAddr>,
    pub(crate) retrieve: Vec<SocketAddr>,
    pub(crate) rerank: Vec<SocketAddr>,
    pub(crate) generate: Vec<SocketAddr>,
    pub(crate) book: Vec<SocketAddr>,
}

/// Returns a service with the pipelines `appraise` (four stages), `encode` (one), `generate` (one
/// engine) and `booking` (an encoder, then a call that may not be repeated).
pub(crate) fn service(pools: &Pools) -> Service {
    let pool = |name: &str, kind: &str, addresses: &[SocketAddr]| {
        let upstream = |(index, address): (usize, &SocketAddr)| {
            let spec = json!({"address": address, "site": "here", "vm": "vm-1", "capacity": 64});
            (format!("{name}-{index}"), spec)
        };
        let upstreams: serde_json::Map<String, Value> =
            addresses.iter().enumerate().map(upstream).collect();
        json!({"kind": kind, "upstreams": upstreams, "cost": 2.0})
    };
    let stage = |name: &str| json!({"name": name, "pool": name});
    let book = json!({"name": "book", "pool": "book", "repeatable": false, "path": "/v1/book"});
    let hash: String = Sha256::digest(KEY).iter().map(|byte| format!("{byte:02x}")).collect();
    let value = json!({
        "sites": {"here": {"region": "south", "domain": "a"}},
        "pools": {
            "encode": pool("encode", "encode", &pools.encode),
            "retrieve": pool("retrieve", "retrieve", &pools.retrieve),
            "rerank": pool("rerank", "rerank", &pools.rerank),
            "generate": pool("generate", "generate", &pools.generate),
            "book": pool("book", "service", &pools.book),
        },
        "pipelines": {
            "appraise": {
                "stages": [stage("encode"), stage("retrieve"), stage("rerank"), stage("generate")],
                "deadline": 7000,
            },
            "encode": {"stages": [stage("encode")], "deadline": 7000},
            "generate": {"stages": [stage("generate")], "deadline": 7000},
            "booking": {"stages": [stage("encode"), book], "deadline": 7000},
            "other": {"stages": [stage("encode")], "deadline": 7000},
        },
        "customers": {
            "yard": {
                "keys": [hash],
                "priority": 0,
                "pipelines": ["appraise", "encode", "generate", "booking"],
            },
        },
        "requests": {"body": 4096, "read": 400},
        "claims": {"answer": 1024, "answers": 1000, "keys": 10},
    });
    let mut service: Service = serde_json::from_value(value).unwrap();
    service.version = Version(1);
    service
}

/// Starts an entry whose service has these upstreams.
pub(crate) async fn open(pools: &Pools) -> (Entry<FakeSession>, Arc<FakeSession>) {
    open_service(service(pools)).await
}

/// Starts an entry with this service in force.
pub(crate) async fn open_service(service: Service) -> (Entry<FakeSession>, Arc<FakeSession>) {
    let session = Arc::new(FakeSession::default());
    *session.snapshot.lock().unwrap() = Some(Arc::new(ServiceSnapshot { service }));
    let (sender, events) = mpsc::channel(4);
    std::mem::forget(sender);
    let part = EntrySettings {
        listen: "127.0.0.1:0".parse().unwrap(),
        threads: 2,
        connections: 64,
        notice: Millis(10),
    };
    let (vm, site) = ("vm-1".parse().unwrap(), "here".parse().unwrap());
    let config = EntryConfig { vm, site, owner: Incarnation(1), part };
    let entry = Entry::open(config, Arc::clone(&session), events).unwrap();
    (entry, session)
}

/// An answer that was read to its end.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
    /// Whether the body is complete: as long as announced, or ended by the last chunk.
    pub(crate) complete: bool,
}

impl Answer {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(": "));
        lines.find(|(it, _)| it.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    pub(crate) fn outcome(&self) -> &str {
        self.header("mothplank-outcome").unwrap_or("none")
    }

    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    pub(crate) fn reason(&self) -> String {
        self.json()["reason"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns the events of a stream as (name, data).
    pub(crate) fn events(&self) -> Vec<(String, Value)> {
        let parse = |event: &str| {
            let (name, data) = event.strip_prefix("event: ")?.split_once("\ndata: ")?;
            Some((name.to_owned(), serde_json::from_str(data).ok()?))
        };
        self.body.split("\n\n").filter_map(parse).collect()
    }
}

/// Returns the bytes of a request.
pub(crate) fn request(pipeline: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /v1/pipelines/{pipeline} HTTP/1.1\r\nhost: entry\r\n{headers}\
         content-length: {length}\r\n\r\n{body}"
    )
}

/// Returns the authorization header of the customer.
pub(crate) fn bearer() -> String {
    format!("authorization: Bearer {KEY}\r\n")
}

/// Sends a request over a new connection and reads its answer.
pub(crate) async fn post(address: SocketAddr, pipeline: &str, headers: &str, body: &str) -> Answer {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let headers = format!("{}{headers}", bearer());
    stream.write_all(request(pipeline, &headers, body).as_bytes()).await.unwrap();
    read(&mut stream).await
}

/// Sends a `GET` request and reads its answer.
pub(crate) async fn get(address: SocketAddr, path: &str) -> Answer {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let text = format!("GET {path} HTTP/1.1\r\nhost: entry\r\n\r\n");
    stream.write_all(text.as_bytes()).await.unwrap();
    read(&mut stream).await
}

/// Reads one answer.
pub(crate) async fn read(stream: &mut TcpStream) -> Answer {
    let reading = read_answer(stream);
    tokio::time::timeout(EVENT_TIMEOUT, reading).await.expect("no whole answer came")
}

async fn read_answer(stream: &mut TcpStream) -> Answer {
    let mut buf = Vec::new();
    let end = loop {
        if let Some(end) = buf.windows(4).position(|it| it == b"\r\n\r\n") {
            break end + 4;
        }
        if stream.read_buf(&mut buf).await.unwrap_or(0) == 0 {
            return Answer { status: 0, head: String::new(), body: String::new(), complete: false };
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    let status = head.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
    let mut answer = Answer { status, head, body: String::new(), complete: false };
    let mut rest = buf.split_off(end);
    if let Some(length) = answer.header("content-length").and_then(|it| it.parse::<usize>().ok()) {
        while rest.len() < length && stream.read_buf(&mut rest).await.unwrap_or(0) > 0 {}
        answer.complete = rest.len() == length;
        answer.body = String::from_utf8_lossy(&rest).into_owned();
        return answer;
    }
    while !rest.ends_with(b"0\r\n\r\n") && stream.read_buf(&mut rest).await.unwrap_or(0) > 0 {}
    answer.complete = rest.ends_with(b"0\r\n\r\n");
    answer.body = unchunk(&rest);
    answer
}

fn unchunk(mut rest: &[u8]) -> String {
    let mut all = Vec::new();
    while let Some(end) = rest.windows(2).position(|it| it == b"\r\n") {
        let size = std::str::from_utf8(&rest[..end]).unwrap_or("0");
        let size = usize::from_str_radix(size, 16).unwrap_or(0);
        let data = &rest[end + 2..];
        if size == 0 || data.len() < size + 2 {
            break;
        }
        all.extend_from_slice(&data[..size]);
        rest = &data[size + 2..];
    }
    String::from_utf8_lossy(&all).into_owned()
}

/// How long a test waits for an expected event, even on a slow machine.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until a condition holds.
pub(crate) async fn until(condition: impl Fn() -> bool) {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(EVENT_TIMEOUT, waiting).await.expect("the condition never held");
}

/// Waits until `count` requests are in flight. Each counts once for its connection and once for its
/// run.
pub(crate) async fn wait_in_flight(address: SocketAddr, count: u64) {
    let waiting = async { while get(address, "/status").await.json()["under_way"] != count {} };
    tokio::time::timeout(EVENT_TIMEOUT, waiting).await.expect("the count was never reached");
}

/// Waits until the metrics contain this text.
pub(crate) async fn wait_for_metric(address: SocketAddr, text: &str) {
    let waiting = async { while !get(address, "/metrics").await.body.contains(text) {} };
    tokio::time::timeout(EVENT_TIMEOUT, waiting).await.expect("the metric never appeared");
}

/// Waits for bytes or the end of a connection and returns the number of bytes.
pub(crate) async fn next_bytes(stream: &mut TcpStream) -> usize {
    let mut bytes = [0; 8];
    let reading = tokio::time::timeout(EVENT_TIMEOUT, stream.read(&mut bytes)).await;
    reading.expect("neither bytes nor an end came").unwrap()
}
