//! A proxy in front of an engine that records every order, and can delay orders for an unlimited
//! time, as a network may.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};

use serde_json::Value;

use crate::env::{Http, TestEnv};

/// An order that reached the engine, and the engine's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeenOrder {
    /// Its fencing number.
    pub fence: u64,
    /// The version of the weights in the order.
    pub version: String,
    /// The status of the engine's response: 200 if accepted, 409 if refused.
    pub status: u16,
}

#[derive(Debug, Default)]
struct State {
    holds: bool,
    held: Vec<String>,
    released: bool,
    seen: Vec<SeenOrder>,
}

/// A running proxy; it runs until the test process exits.
#[derive(Clone, Debug)]
pub struct OrderProxy {
    address: SocketAddr,
    engine: SocketAddr,
    http: Http,
    inner: Arc<(Mutex<State>, Condvar)>,
}

/// A complete request.
struct Request {
    method: String,
    path: String,
    body: Vec<u8>,
}

impl OrderProxy {
    /// Starts a proxy to an engine.
    pub fn open(env: &TestEnv, engine: SocketAddr) -> Self {
        let listener = TcpListener::bind(env.ports.reserve()).unwrap();
        let address = listener.local_addr().unwrap();
        let proxy = Self { address, engine, http: env.http.clone(), inner: Arc::default() };
        let server = proxy.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                std::thread::spawn(move || server.serve(&stream));
            }
        });
        proxy
    }

    /// Returns the address of the proxy.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets whether new orders are delayed.
    pub fn hold(&self, holds: bool) {
        self.inner.0.lock().unwrap().holds = holds;
    }

    /// Returns the versions in the delayed orders.
    pub fn held(&self) -> Vec<String> {
        self.inner.0.lock().unwrap().held.clone()
    }

    /// Forwards all delayed orders to the engine.
    pub fn release(&self) {
        self.inner.0.lock().unwrap().released = true;
        self.inner.1.notify_all();
    }

    /// Returns the orders that reached the engine, in order.
    pub fn seen(&self) -> Vec<SeenOrder> {
        self.inner.0.lock().unwrap().seen.clone()
    }

    /// Returns the version of the weights that the engine reports.
    pub fn engine_version(&self) -> String {
        let standing = self.http.get(self.engine, "/v1/orders").map(|it| it.json());
        standing.map_or(String::new(), |it| text(&it["version"]))
    }

    fn serve(&self, stream: &TcpStream) {
        let mut reader = BufReader::new(stream);
        let mut writer = stream;
        while let Some(request) = read_request(&mut reader) {
            let is_order = request.method == "POST" && request.path == "/v1/orders";
            let (status, body) =
                if is_order { self.handle_order(&request) } else { self.forward(&request) };
            let head = format!("HTTP/1.1 {status} -\r\ncontent-type: application/json\r\n");
            let head = format!("{head}content-length: {}\r\n\r\n", body.len());
            // The sender of a delayed order has closed its connection.
            if writer.write_all(head.as_bytes()).and_then(|()| writer.write_all(&body)).is_err() {
                return;
            }
        }
    }

    fn handle_order(&self, request: &Request) -> (u16, Vec<u8>) {
        let order: Value = serde_json::from_slice(&request.body).unwrap();
        let version = text(&order["version"]);
        let mut state = self.inner.0.lock().unwrap();
        if state.holds {
            state.held.push(version.clone());
            while !state.released {
                state = self.inner.1.wait(state).unwrap();
            }
        }
        // The lock is held during the call, so that `seen` has the order in which the engine got
        // them.
        let (status, body) = self.forward(request);
        let fence = order["fence"].as_u64().unwrap_or_default();
        state.seen.push(SeenOrder { fence, version, status });
        (status, body)
    }

    fn forward(&self, request: &Request) -> (u16, Vec<u8>) {
        let headers = [("content-type", "application/json")];
        let body = request.body.clone();
        let reply = self.http.send(self.engine, &request.method, &request.path, &headers, body);
        reply.map_or((502, Vec::new()), |it| (it.status, it.body.to_vec()))
    }
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|it| *it > 0)?;
    let mut words = line.split_whitespace().map(str::to_owned);
    let (method, path) = (words.next()?, words.next()?);
    let mut length = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok().filter(|it| *it > 0)?;
        let header = header.trim().to_ascii_lowercase();
        if header.is_empty() {
            break;
        }
        if let Some(value) = header.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request { method, path, body })
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}
