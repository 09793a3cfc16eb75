//! A proxy on loopback that forwards TCP and UDP to one target and can cut connections. Bytes of a
//! cut connection are discarded while its sockets stay open, as when a device between the two ends
//! has lost the connection's state. Datagrams belong to no connection: only a cut of [`Scope::All`]
//! discards them.
//!
//! The proxy takes commands through its handle or on its control address: `POST /cut` with a
//! [`Cut`], `POST /heal`, `POST /delay` with `{"delay": MS}`, `GET /counts`.

mod datagrams;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use types::{Millis, StepError, StepResult};

use crate::http::{self, Availability, Handler, Reply};

/// The maximum number of ports tried to find one that is free for both TCP and UDP.
const MAX_BIND_TRIES: u32 = 16;

/// The maximum number of bytes that are forwarded at once.
const CHUNK_BYTES: usize = 16 << 10;

/// The direction in which a cut discards bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// Both directions.
    #[default]
    Both,
    /// From the client to the target.
    Up,
    /// From the target to the client.
    Down,
}

/// The connections that are cut.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scope {
    /// Those that are open now; new ones work.
    #[default]
    Open,
    /// Those that are open now and new ones until [`Proxy::heal`]; also all datagrams.
    All,
}

/// A cut: discards the bytes of connections. A cut connection never works again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Cut {
    /// The direction in which bytes are discarded.
    pub way: Direction,
    /// The connections that are cut.
    pub scope: Scope,
}

/// The settings of a proxy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The address to listen on; port 0 means any free port.
    pub listen: SocketAddr,
    /// The control address, which takes commands; port 0 means any free port.
    pub side: SocketAddr,
    /// The address to forward to.
    pub target: SocketAddr,
    /// The delay of each forwarded chunk, in milliseconds.
    pub delay: Millis,
}

impl Config {
    /// Returns settings for a proxy to `target` on free ports, without delay.
    pub fn to(target: SocketAddr) -> Self {
        let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self { listen: free, side: free, target, delay: Millis(0) }
    }
}

/// The counters of a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// The connections accepted.
    pub opened: u64,
    /// The bytes forwarded in both directions.
    pub forwarded: u64,
    /// The bytes discarded in both directions.
    pub swallowed: u64,
}

/// A handle to a running proxy. Dropping it stops the proxy.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    side: SocketAddr,
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    target: SocketAddr,
    rule: watch::Sender<Rule>,
    availability: watch::Sender<Availability>,
    opened: AtomicU64,
    forwarded: AtomicU64,
    swallowed: AtomicU64,
}

/// The rule in force for forwarding. Connections are numbered in the order in which they were
/// accepted; the bytes of those with numbers below a limit are discarded in that direction.
#[derive(Clone, Copy, Debug, Default)]
struct Rule {
    /// The limit from client to target.
    silent_up: u64,
    /// The limit from target to client.
    silent_down: u64,
    delay: Duration,
}

/// Starts a proxy.
///
/// # Errors
/// Returns an error if the proxy can't listen on one of its addresses.
pub async fn spawn(config: Config) -> StepResult<Proxy> {
    let (listener, socket) = bind(config.listen).await?;
    let address_error = |e| StepError::new("read address", e).at(config.listen);
    let address = listener.local_addr().map_err(address_error)?;
    let rule = Rule { delay: config.delay.into(), ..Rule::default() };
    let inner = Arc::new(Inner {
        target: config.target,
        rule: watch::Sender::new(rule),
        availability: watch::Sender::new(Availability::Accepting),
        opened: AtomicU64::new(0),
        forwarded: AtomicU64::new(0),
        swallowed: AtomicU64::new(0),
    });
    let side = http::serve(config.side, inner.clone(), inner.availability.subscribe()).await?;
    tokio::spawn(accept(inner.clone(), listener));
    tokio::spawn(datagrams::forward_requests(inner.clone(), Arc::new(socket)));
    Ok(Proxy { address, side, inner })
}

impl Proxy {
    /// Returns the address on which the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the control address.
    pub fn side(&self) -> SocketAddr {
        self.side
    }

    /// Cuts connections.
    pub fn cut(&self, cut: Cut) {
        self.inner.cut(cut);
    }

    /// Ends a cut of [`Scope::All`]: new connections and datagrams pass again.
    pub fn heal(&self) {
        self.inner.heal();
    }

    /// Sets the delay of each forwarded chunk.
    pub fn delay(&self, delay: Duration) {
        self.inner.rule.send_modify(|it| it.delay = delay);
    }

    /// Returns the current values of the counters.
    pub fn counts(&self) -> Counts {
        self.inner.counts()
    }

    /// Stops the proxy and closes all its connections.
    pub fn stop(&self) {
        self.inner.availability.send_replace(Availability::Stopped);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.stop();
    }
}

/// The body of `POST /delay`.
#[derive(Deserialize)]
struct Delay {
    delay: Millis,
}

impl Handler for Inner {
    async fn handle(self: Arc<Self>, request: Request<Bytes>) -> Reply {
        let body = request.body();
        let result = match (request.method(), request.uri().path()) {
            (&Method::POST, "/cut") => {
                serde_json::from_slice(body).map(|cut| self.cut(cut)).map_err(|e| e.to_string())
            }
            (&Method::POST, "/delay") => serde_json::from_slice::<Delay>(body)
                .map(|it| self.rule.send_modify(|rule| rule.delay = it.delay.into()))
                .map_err(|e| e.to_string()),
            (&Method::POST, "/heal") => {
                self.heal();
                Ok(())
            }
            (&Method::GET, "/counts") => Ok(()),
            _ => return http::error(StatusCode::NOT_FOUND, "no such command"),
        };
        match result {
            Ok(()) => http::json(StatusCode::OK, &self.counts()),
            Err(message) => http::error(StatusCode::BAD_REQUEST, &message),
        }
    }
}

impl Inner {
    fn cut(&self, cut: Cut) {
        self.rule.send_modify(|rule| {
            let limit = match cut.scope {
                Scope::Open => self.opened.load(Ordering::SeqCst),
                Scope::All => u64::MAX,
            };
            if cut.way != Direction::Down {
                rule.silent_up = limit;
            }
            if cut.way != Direction::Up {
                rule.silent_down = limit;
            }
        });
    }

    /// Ends the cut of new connections. Connections that are cut and open now stay cut, because
    /// some of their bytes are lost.
    fn heal(&self) {
        self.rule.send_modify(|rule| {
            let opened = self.opened.load(Ordering::SeqCst);
            rule.silent_up = rule.silent_up.min(opened);
            rule.silent_down = rule.silent_down.min(opened);
        });
    }

    /// Counts a datagram and returns whether it is discarded.
    fn discards_datagram(&self, length: usize, limit: impl Fn(&Rule) -> u64) -> bool {
        let discarded = limit(&self.rule.borrow()) == u64::MAX;
        let counter = if discarded { &self.swallowed } else { &self.forwarded };
        counter.fetch_add(length as u64, Ordering::Relaxed);
        discarded
    }

    fn counts(&self) -> Counts {
        Counts {
            opened: self.opened.load(Ordering::Relaxed),
            forwarded: self.forwarded.load(Ordering::Relaxed),
            swallowed: self.swallowed.load(Ordering::Relaxed),
        }
    }
}

/// Binds TCP and UDP to the same address. A port that is free for TCP may be taken for UDP; if
/// `listen` has port 0, other ports are tried then.
async fn bind(listen: SocketAddr) -> StepResult<(TcpListener, UdpSocket)> {
    let listen_error = |e| StepError::new("listen", e).at(listen);
    let mut tries = if listen.port() == 0 { MAX_BIND_TRIES } else { 1 };
    loop {
        let listener = TcpListener::bind(listen).await.map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?;
        tries -= 1;
        match UdpSocket::bind(address).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(e) if tries == 0 => return Err(listen_error(e)),
            Err(_) => {}
        }
    }
}

async fn accept(inner: Arc<Inner>, listener: TcpListener) {
    let mut availability = inner.availability.subscribe();
    loop {
        tokio::select! {
            _ = availability.wait_for(|it| *it == Availability::Stopped) => return,
            accepted = listener.accept() => if let Ok((client, _)) = accepted {
                let number = inner.opened.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(forward_connection(inner.clone(), client, number));
            },
        }
    }
}

async fn forward_connection(inner: Arc<Inner>, client: TcpStream, number: u64) {
    let Ok(target) = TcpStream::connect(inner.target).await else { return };
    let _ = client.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (from_client, to_client) = client.into_split();
    let (from_target, to_target) = target.into_split();
    let up = forward(&inner, from_client, to_target, move |rule| number < rule.silent_up);
    let down = forward(&inner, from_target, to_client, move |rule| number < rule.silent_down);
    let mut availability = inner.availability.subscribe();
    tokio::select! {
        _ = availability.wait_for(|it| *it == Availability::Stopped) => {}
        _ = async { tokio::join!(up, down) } => {}
    }
}

/// Forwards one direction until the source ends. The end of a cut source isn't forwarded either:
/// returning the write half keeps it open, so that the other side sees neither bytes nor a close.
async fn forward(
    inner: &Inner,
    mut source: OwnedReadHalf,
    mut sink: OwnedWriteHalf,
    is_silent: impl Fn(&Rule) -> bool,
) -> OwnedWriteHalf {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let length = match source.read(&mut chunk).await {
            Ok(length) if length > 0 => length,
            _ => break,
        };
        let delay = inner.rule.borrow().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if is_silent(&inner.rule.borrow()) {
            inner.swallowed.fetch_add(length as u64, Ordering::Relaxed);
            continue;
        }
        if sink.write_all(&chunk[..length]).await.is_err() {
            break;
        }
        inner.forwarded.fetch_add(length as u64, Ordering::Relaxed);
    }
    if !is_silent(&inner.rule.borrow()) {
        let _ = sink.shutdown().await;
    }
    sink
}
