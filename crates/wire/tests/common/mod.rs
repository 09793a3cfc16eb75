//! Helpers for the tests of the transport.
#![allow(dead_code)]

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use wire::{Connection, Hello, Kind, Listener, Secret, connect};

/// A loopback address with a port that the operating system chooses.
pub(crate) const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The timeout of every condition; far above the time that any takes.
const TIMEOUT: Duration = Duration::from_secs(60);

pub(crate) async fn within<T>(what: &str, work: impl Future<Output = T>) -> T {
    let done = tokio::time::timeout(TIMEOUT, work).await;
    done.unwrap_or_else(|_| panic!("did not happen in time: {what}"))
}

pub(crate) fn secret() -> Secret {
    Secret::new(b"a secret of the tests").unwrap()
}

pub(crate) fn hello(kind: Kind, node: u64) -> Hello {
    Hello { kind, vm: format!("vm-{node}").parse().unwrap(), node }
}

pub(crate) async fn listen() -> Listener {
    Listener::bind(ANY, &secret(), hello(Kind::Member, 1)).await.unwrap()
}

/// Connects as an entry; returns both ends.
pub(crate) async fn pair(listener: &mut Listener, address: SocketAddr) -> (Connection, Connection) {
    let secret = secret();
    let dialed = connect(address, &secret, hello(Kind::Entry, 2), Kind::Member);
    let (dialed, accepted) = tokio::join!(dialed, listener.accept());
    (dialed.unwrap(), accepted.unwrap().1)
}

/// Forwards connections until stopped. Then open connections stay open but forward nothing.
pub(crate) struct Forwarder {
    pub(crate) address: SocketAddr,
    stopped: Arc<AtomicBool>,
}

impl Forwarder {
    pub(crate) async fn spawn(target: SocketAddr) -> Self {
        let socket = TcpListener::bind(ANY).await.unwrap();
        let address = socket.local_addr().unwrap();
        let stopped = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&stopped);
        tokio::spawn(async move {
            while let Ok((near, _)) = socket.accept().await {
                let far = TcpStream::connect(target).await.unwrap();
                let (near_in, near_out) = near.into_split();
                let (far_in, far_out) = far.into_split();
                tokio::spawn(forward(near_in, far_out, Arc::clone(&flag)));
                tokio::spawn(forward(far_in, near_out, Arc::clone(&flag)));
            }
        });
        Self { address, stopped }
    }

    pub(crate) fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }
}

async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, stopped: Arc<AtomicBool>) {
    let mut buffer = vec![0; 4096];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        if stopped.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

/// Returns the transport's error that caused `error`.
pub(crate) fn cause(error: &types::StepError) -> wire::WireError {
    error.cause.downcast_ref::<wire::WireError>().expect("a wire error").clone()
}
