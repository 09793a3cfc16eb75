//! The side of the entry that relays.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, interval, timeout_at};
use wire::{Receiver, Sender};

use super::{FromRelay, MAX_CHUNK_BYTES, MAX_SILENCE, RelayFailure, ToRelay};
use crate::batch::message::{FromOwner, ToOwner};
use crate::dialect::Dialect;
use crate::drain::Drain;
use crate::path::state::Path;
use crate::shared::Shared;
use crate::upstream::configure;

/// The number of connections that an entry relays at the same time at most, for all others together.
const MAX_RELAYED: usize = 1_024;

/// How long opening the connection to an upstream may take.
const OPEN_TIMEOUT: Duration = Duration::from_millis(250);

/// The interval at which it is checked whether the entry is shutting down.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Permits to relay connections.
#[derive(Debug)]
pub(crate) struct RelayPermits(Arc<Semaphore>);

impl Default for RelayPermits {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(MAX_RELAYED)))
    }
}

impl RelayPermits {
    /// Takes a permit, if fewer connections are relayed than may be.
    pub(super) fn try_acquire(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.0).try_acquire_owned().ok()
    }
}

/// Relays a connection to the upstream at `address` until one side ends it.
pub(crate) async fn serve<D: Dialect>(
    shared: &Shared<D>,
    (sender, receiver): (Sender<FromOwner>, Receiver<ToOwner>),
    address: SocketAddr,
) {
    sender.allow_silence(MAX_SILENCE);
    let permit = shared.relays.try_acquire();
    let opened = match &permit {
        Some(_) => open(shared, address).await,
        None => Err(RelayFailure::Unable),
    };
    let stream = match opened {
        Ok(stream) => stream,
        Err(failure) => {
            log::info!(address:% = address, cause:? = failure; "could not relay a connection");
            // If the other entry is gone, nobody waits for the answer.
            let _ = sender.send(&FromOwner::Relayed(FromRelay::Failed(failure))).await;
            return;
        }
    };
    // Its requests are another entry's, and must end before this process does.
    let _in_flight = shared.drain.track_request();
    if sender.send(&FromOwner::Relayed(FromRelay::Opened)).await.is_err() {
        return;
    }
    let (read, write) = stream.into_split();
    let lost = AtomicBool::new(false);
    tokio::select! {
        () = forward_down(read, &sender, &shared.drain, &lost) => {}
        () = forward_up(receiver, write, &lost) => {}
    }
}

/// Opens the connection to an upstream that is listed.
async fn open<D: Dialect>(
    shared: &Shared<D>,
    address: SocketAddr,
) -> Result<TcpStream, RelayFailure> {
    let Some(upstream) = shared.directory().holder(address).cloned() else {
        return Err(RelayFailure::Unable);
    };
    if shared.drain.is_ending() || shared.paths.path(&upstream.service) == Path::CutOff {
        return Err(RelayFailure::Unable);
    }
    let opened = timeout_at(Instant::now() + OPEN_TIMEOUT, shared.paths.dial(address)).await;
    let stream = match opened {
        Ok(Ok(stream)) => stream,
        failed => {
            shared.paths.record_failure(&upstream.service, upstream.id_hash);
            let refused = matches!(failed, Ok(Err(_)));
            return Err(if refused { RelayFailure::Refused } else { RelayFailure::TimedOut });
        }
    };
    shared.paths.record_success(&upstream.service);
    configure(&stream).map_err(|_| RelayFailure::Refused)?;
    Ok(stream)
}

/// Passes the upstream's bytes on until its connection ends. `lost` tells whether a write to it failed:
/// the kernel reports a reset once, and reads end as if the upstream had closed the connection after a
/// write has met the reset.
async fn forward_down(
    mut read: OwnedReadHalf,
    sender: &Sender<FromOwner>,
    drain: &Drain,
    lost: &AtomicBool,
) {
    let mut checks = interval(DRAIN_CHECK_INTERVAL);
    let (mut buffer, mut left) = (vec![0; MAX_CHUNK_BYTES], false);
    loop {
        let message = tokio::select! {
            count = read.read(&mut buffer) => match count {
                Ok(0) => FromRelay::Ended(!lost.load(Ordering::Relaxed)),
                Ok(count) => FromRelay::Data(buffer[..count].to_vec()),
                Err(_) => FromRelay::Ended(false),
            },
            _ = checks.tick(), if !left => {
                left = drain.is_ending();
                if !left {
                    continue;
                }
                FromRelay::Leaving
            }
        };
        let ended = matches!(message, FromRelay::Ended(_));
        if sender.send(&FromOwner::Relayed(message)).await.is_err() || ended {
            return;
        }
    }
}

/// Passes the other entry's bytes on until it ends the connection. An upstream that reads no further
/// may still answer.
async fn forward_up(mut receiver: Receiver<ToOwner>, mut write: OwnedWriteHalf, lost: &AtomicBool) {
    while let Ok(Some(ToOwner::Relayed(ToRelay::Data(bytes)))) = receiver.recv().await {
        if !lost.load(Ordering::Relaxed) && write.write_all(&bytes).await.is_err() {
            lost.store(true, Ordering::Relaxed);
        }
    }
}
