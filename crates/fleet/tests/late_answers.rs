//! Engines that send the answer to an earlier poll a second time, where the next answer is expected.

mod common;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::{Quorum, name, service, until, upstream};
use fleet::{Fleet, FleetConfig};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use types::{Fencing, Millis, UpstreamAvailability};

/// An engine that takes orders and tells its load. Where a copy is due, the next `GET` gets the first answer
/// to its like on the same connection, and then its own.
struct Copier {
    address: SocketAddr,
    shown: Mutex<Value>,
    orders: AtomicUsize,
    reads: AtomicUsize,
    polls: AtomicUsize,
    draining: AtomicBool,
    /// Whether a copy is to be sent.
    is_due: AtomicBool,
}

impl Copier {
    async fn spawn() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let shown = json!({"fence": 0, "model": "m", "version": "v1", "adapters": [],
            "role": "both", "state": "ready"});
        let copier = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            shown: Mutex::new(shown),
            orders: AtomicUsize::new(0),
            reads: AtomicUsize::new(0),
            polls: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
            is_due: AtomicBool::new(false),
        });
        let served = Arc::clone(&copier);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(Arc::clone(&served).serve(stream));
            }
        });
        copier
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let mut first: HashMap<String, String> = HashMap::new();
        while let Some((head, body)) = read_request(&mut stream).await {
            let line = head.lines().next().unwrap_or_default().to_owned();
            let answer = match line.as_str() {
                "get /v1/load http/1.1" => self.tell_load(),
                "get /v1/orders http/1.1" => self.show(),
                _ => self.take_order(&body),
            };
            let copy = first.get(&line).filter(|_| self.is_due.swap(false, Ordering::SeqCst));
            let copy = copy.cloned().unwrap_or_default();
            if stream.write_all(format!("{copy}{answer}").as_bytes()).await.is_err() {
                return;
            }
            first.entry(line).or_insert(answer);
        }
    }

    fn tell_load(&self) -> String {
        self.polls.fetch_add(1, Ordering::SeqCst);
        let draining = self.draining.load(Ordering::SeqCst);
        response(&json!({"running": 0, "waiting": 0, "draining": draining}))
    }

    fn show(&self) -> String {
        self.reads.fetch_add(1, Ordering::SeqCst);
        response(&self.shown.lock().unwrap())
    }

    fn take_order(&self, body: &[u8]) -> String {
        let mut order: Value = serde_json::from_slice(body).unwrap();
        order["state"] = json!("ready");
        *self.shown.lock().unwrap() = order;
        self.orders.fetch_add(1, Ordering::SeqCst);
        self.is_due.store(true, Ordering::SeqCst);
        response(&json!({}))
    }
}

fn response(body: &Value) -> String {
    let body = body.to_string();
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

async fn read_request(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(at) = bytes.windows(4).position(|it| it == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8(bytes[..end].to_vec()).ok()?.to_lowercase();
    let mut lines = head.lines().filter_map(|it| it.strip_prefix("content-length: "));
    let length = lines.next().map_or(0, |it| it.parse().unwrap());
    while bytes.len() < end + length {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
    Some((head, bytes.split_off(end)))
}

/// Guards against an order that an engine gets twice: a late copy of what it showed before the order is
/// taken for what it shows after it, so that the order counts as one without effect and is repeated.
#[tokio::test]
async fn a_late_copy_of_an_earlier_read_shows_nothing_of_an_order() {
    /// Longer than the pause after which an order that failed is repeated, 1 s.
    const WATCH_TIME: Duration = Duration::from_millis(1_800);
    let engine = Copier::spawn().await;
    let (fleet, _digests) = Fleet::spawn(FleetConfig::default(), Quorum::default());
    let mut spec = upstream(engine.address, "a", Fencing::Checks);
    spec.reports = false;
    let mut service = service("v2", &[("engine", spec)]);
    // The engine is read every 5 s, and right after an order.
    service.orders.longest = Millis(10_000);
    fleet.lead(Arc::new(service));
    until("the order arrives", || engine.orders.load(Ordering::SeqCst) > 0).await;
    let before = engine.reads.load(Ordering::SeqCst);
    until("the engine is read", || engine.reads.load(Ordering::SeqCst) > before).await;
    tokio::time::sleep(WATCH_TIME).await;
    let shown = fleet.view().upstreams[&name("engine")].order.clone();
    let orders = engine.orders.load(Ordering::SeqCst);
    assert_eq!((orders, shown.as_str()), (1, ""), "orders, and what is still to be ordered");
}

/// Guards against new work for an upstream that is leaving: a late copy of what it told before says that it
/// serves.
#[tokio::test]
async fn a_late_copy_of_an_earlier_load_ends_no_leaving() {
    let engine = Copier::spawn().await;
    let (fleet, _digests) = Fleet::spawn(FleetConfig::default(), Quorum::default());
    let spec = upstream(engine.address, "a", Fencing::Checks);
    fleet.lead(Arc::new(service("v1", &[("engine", spec)])));
    let leaving = || {
        let view = fleet.view();
        let status = view.upstreams.get(&name("engine"));
        status.is_some_and(|it| it.availability == UpstreamAvailability::Leaving)
    };
    until("the first poll", || engine.polls.load(Ordering::SeqCst) > 0).await;
    engine.draining.store(true, Ordering::SeqCst);
    until("it is leaving", leaving).await;
    engine.is_due.store(true, Ordering::SeqCst);
    let before = engine.polls.load(Ordering::SeqCst);
    let returned = AtomicBool::new(false);
    until("two more polls", || {
        returned.fetch_or(!leaving(), Ordering::SeqCst);
        engine.polls.load(Ordering::SeqCst) > before + 2
    })
    .await;
    assert!(!returned.into_inner(), "it counted as live while it was leaving");
}
