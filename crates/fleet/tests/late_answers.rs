//! Engines that send the answer to an earlier read a second time, where the next answer is expected.

mod common;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::{Quorum, name, service, until, upstream};
use fleet::{Fleet, FleetConfig};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use types::{Fencing, Millis};

/// An engine that takes orders. The first read after an order gets a copy of the answer to the read before
/// it on the same connection, and then its own answer.
struct Copier {
    address: SocketAddr,
    shown: Mutex<Value>,
    orders: AtomicUsize,
    reads: AtomicUsize,
    /// The copies that are still to be sent.
    due: AtomicUsize,
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
            due: AtomicUsize::new(0),
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
        let mut last: Option<String> = None;
        while let Some((head, body)) = read_request(&mut stream).await {
            let is_read = head.starts_with("GET");
            let answer = if is_read { self.show() } else { self.take_order(&body) };
            let is_due = is_read && last.is_some() && self.due.swap(0, Ordering::SeqCst) > 0;
            let copy = last.take().filter(|_| is_due).unwrap_or_default();
            if stream.write_all(format!("{copy}{answer}").as_bytes()).await.is_err() {
                return;
            }
            last = is_read.then_some(answer);
        }
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
        self.due.store(1, Ordering::SeqCst);
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
    Some((head.to_uppercase(), bytes.split_off(end)))
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
