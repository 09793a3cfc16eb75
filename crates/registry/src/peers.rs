//! Outgoing connections to other members. Messages may be lost; the replicated log resends them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};
use wire::{Hello, Kind, Secret};

use crate::message::PeerMessage;

/// The maximum number of queued messages per peer; further ones are dropped, and the replicated log
/// resends them.
const MAX_QUEUED_MESSAGES: usize = 512;

/// The pause before a new attempt to connect to an unreachable peer.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// The timeout of an attempt to connect. It is shorter than the election timeout, so that a peer is
/// reached again soon after a network partition.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The time without a message after which a connection is closed and its task ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The connections to other members.
pub(crate) struct Peers {
    secret: Secret,
    me: Hello,
    own: SocketAddr,
    runtime: Handle,
    seeds: Mutex<Vec<SocketAddr>>,
    queues: Mutex<HashMap<SocketAddr, mpsc::Sender<PeerMessage>>>,
}

impl Peers {
    pub(crate) fn new(secret: Secret, me: Hello, own: SocketAddr, seeds: Vec<SocketAddr>) -> Self {
        Self {
            secret,
            me,
            own,
            runtime: Handle::current(),
            seeds: Mutex::new(seeds),
            queues: Mutex::default(),
        }
    }

    /// Replaces the seed addresses.
    pub(crate) fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.lock().unwrap_or_else(PoisonError::into_inner) = seeds;
    }

    /// Sends a message to every seed.
    pub(crate) fn send_seeds(&self, message: &PeerMessage) {
        let seeds = self.seeds.lock().unwrap_or_else(PoisonError::into_inner).clone();
        for seed in seeds.into_iter().filter(|it| *it != self.own) {
            self.send(seed, message.clone());
        }
    }

    /// Queues a message, or drops it if the queue is full.
    pub(crate) fn send(&self, to: SocketAddr, message: PeerMessage) {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let mut message = message;
        if let Some(queue) = queues.get(&to) {
            match queue.try_send(message) {
                Ok(()) | Err(mpsc::error::TrySendError::Full(_)) => return,
                Err(mpsc::error::TrySendError::Closed(it)) => message = it,
            }
        }
        let (queue, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        // Can't fail: the queue is new and empty.
        let _ = queue.try_send(message);
        queues.insert(to, queue);
        let (secret, me) = (self.secret.clone(), self.me.clone());
        self.runtime.spawn(forward(to, secret, me, messages));
    }
}

/// Sends one peer's queued messages, and reconnects as needed, until none arrives for
/// [`IDLE_TIMEOUT`].
async fn forward(
    to: SocketAddr,
    secret: Secret,
    me: Hello,
    mut messages: mpsc::Receiver<PeerMessage>,
) {
    let mut reached = true;
    let mut last = Instant::now();
    loop {
        let connecting =
            timeout(CONNECT_TIMEOUT, wire::connect(to, &secret, me.clone(), Kind::Member));
        let connection = match connecting.await {
            Ok(Ok(connection)) => connection,
            Ok(Err(_)) | Err(_) => {
                if reached {
                    log::warn!(peer:% = to;
                        "can't connect to a member; messages to it are dropped meanwhile");
                }
                reached = false;
                // The queued messages are out of date by now.
                while messages.try_recv().is_ok() {
                    last = Instant::now();
                }
                if last.elapsed() > IDLE_TIMEOUT {
                    return;
                }
                sleep(RECONNECT_PAUSE).await;
                continue;
            }
        };
        if !reached {
            log::info!(peer:% = to; "connected to a member again");
        }
        reached = true;
        let (sender, mut receiver) = connection.split::<PeerMessage, PeerMessage>();
        loop {
            tokio::select! {
                message = timeout(IDLE_TIMEOUT, messages.recv()) => {
                    let Ok(Some(message)) = message else { return };
                    last = Instant::now();
                    if sender.send(&message).await.is_err() {
                        break;
                    }
                }
                // The peer never sends on this connection; this only detects that it is closed.
                _ = receiver.recv() => break,
            }
        }
        log::info!(peer:% = to; "the connection to a member closed; connecting again");
    }
}
