//! Measures a session with control members on loopback: its traffic when idle, and the greatest age
//! of an entry's confirmation when the followed member goes silent.
//!
//! `cargo run --release -p mothplank-follower --example session`
#![allow(clippy::print_stdout)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use follower::{Follower, FollowerConfig};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use types::{Document, Incarnation, StepResult, Version};
use wire::session::{ControlMessage, EntryMessage};
use wire::{Connection, Hello, Kind, Listener, Secret};

const SECRET: &[u8] = b"a secret of the measurement";

const IDLE_DURATION: Duration = Duration::from_secs(20);

const TRIALS: usize = 10;

const BASE: &str = r#"{"sites": {"north": {"region": "south", "domain": "one"}},
    "pools": {}, "pipelines": {}, "customers": {}}"#;

#[tokio::main]
async fn main() -> StepResult<()> {
    let bytes = Arc::new(AtomicU64::new(0));
    let never = CancellationToken::new();
    let member = forward(member().await?, never, Arc::clone(&bytes)).await;
    let follower = confirmed_follower(&[member]).await?;
    let before = bytes.load(Ordering::Relaxed);
    tokio::time::sleep(IDLE_DURATION).await;
    let moved = bytes.load(Ordering::Relaxed) - before;
    let rate = moved as f64 / IDLE_DURATION.as_secs_f64();
    println!("at rest: {rate:.0} B/s of payload, both directions of TCP together");
    drop(follower);

    let mut oldest = Vec::new();
    for _ in 0..TRIALS {
        oldest.push(max_age_after_silence().await?);
    }
    oldest.sort();
    println!("greatest age while a member goes silent, {TRIALS} trials: {oldest:?}");
    Ok(())
}

/// Starts a follower and waits for its first confirmation.
async fn confirmed_follower(control: &[SocketAddr]) -> StepResult<Arc<Follower>> {
    let (follower, mut events) = Follower::spawn(FollowerConfig {
        vm: "entry".parse().unwrap_or_else(|_| unreachable!()),
        site: "north".parse().unwrap_or_else(|_| unreachable!()),
        owner: Incarnation(1),
        control: control.to_vec(),
        secret: SECRET.to_vec(),
    })?;
    tokio::spawn(async move { while events.recv().await.is_some() {} });
    while follower.age(Instant::now()).is_none() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    Ok(follower)
}

/// Stops the connection to the first of two members. Returns the greatest age until the other
/// member has confirmed.
async fn max_age_after_silence() -> StepResult<Duration> {
    let stop = CancellationToken::new();
    let first = forward(member().await?, stop.clone(), Arc::default()).await;
    let second = member().await?;
    let follower = confirmed_follower(&[first, second]).await?;
    stop.cancel();
    let mut oldest = Duration::ZERO;
    while follower.view().member != Some(second) || follower.age(Instant::now()) >= Some(oldest) {
        oldest = oldest.max(follower.age(Instant::now()).unwrap_or_default());
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    Ok(oldest)
}

/// Starts a member that always confirms.
async fn member() -> StepResult<SocketAddr> {
    let me =
        Hello { kind: Kind::Member, vm: "m".parse().unwrap_or_else(|_| unreachable!()), node: 1 };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut listener = Listener::bind(any, &Secret::new(SECRET)?, me).await?;
    let address = listener.address();
    tokio::spawn(async move {
        while let Ok((_, connection)) = listener.accept().await {
            tokio::spawn(serve(connection));
        }
    });
    Ok(address)
}

async fn serve(connection: Connection) -> StepResult<()> {
    let (sender, mut receiver) = connection.split::<ControlMessage, EntryMessage>();
    let version = Version(1);
    let document = Document { base: BASE.to_owned(), ..Document::default() };
    sender.send(&ControlMessage::Service { version, document }).await?;
    while let Some(message) = receiver.recv().await? {
        if let EntryMessage::Confirm { ticket, .. } = message {
            sender.send(&ControlMessage::Confirmed { ticket, version }).await?;
        }
    }
    Ok(())
}

/// Forwards connections to `target` and counts their bytes until stopped. Open connections then
/// stay open and carry nothing.
async fn forward(target: SocketAddr, stop: CancellationToken, bytes: Arc<AtomicU64>) -> SocketAddr {
    let bound = TcpListener::bind("127.0.0.1:0").await;
    let socket = bound.unwrap_or_else(|e| panic!("bind: {e}"));
    let address = socket.local_addr().unwrap_or(target);
    tokio::spawn(async move {
        while let Ok((near, _)) = socket.accept().await {
            let Ok(far) = TcpStream::connect(target).await else { continue };
            let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
            tokio::spawn(copy(near_in, far_out, stop.clone(), Arc::clone(&bytes)));
            tokio::spawn(copy(far_in, near_out, stop.clone(), Arc::clone(&bytes)));
        }
    });
    address
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    stop: CancellationToken,
    bytes: Arc<AtomicU64>,
) {
    let mut buffer = vec![0; 4096];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        if stop.is_cancelled() {
            std::future::pending::<()>().await;
        }
        bytes.fetch_add(length as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
