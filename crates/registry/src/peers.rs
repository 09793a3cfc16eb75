//! Outgoing connections to other members. Messages may be lost; the log sends them again.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};
use wire::{Hello, Kind, Secret};

use crate::message::PeerMessage;

/// Messages that wait for a peer; more than these are dropped, for the log sends them again.
const QUEUE: usize = 512;

/// The pause before a peer that can't be reached is dialled again.
const REDIAL: Duration = Duration::from_millis(100);

/// How long a dial may take. Below the election timeout, so that a peer behind a cut is found
/// again soon after it.
const DIAL_TIMEOUT: Duration = Duration::from_millis(250);

/// After how long without a message a connection's task ends.
const IDLE: Duration = Duration::from_secs(10);

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

    /// Queues a message, or drops it where too many wait.
    pub(crate) fn send(&self, to: SocketAddr, message: PeerMessage) {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let mut message = message;
        if let Some(queue) = queues.get(&to) {
            match queue.try_send(message) {
                Ok(()) | Err(mpsc::error::TrySendError::Full(_)) => return,
                Err(mpsc::error::TrySendError::Closed(it)) => message = it,
            }
        }
        let (queue, messages) = mpsc::channel(QUEUE);
        // A fresh queue has room.
        let _ = queue.try_send(message);
        queues.insert(to, queue);
        let (secret, me) = (self.secret.clone(), self.me.clone());
        self.runtime.spawn(pump(to, secret, me, messages));
    }
}

/// Carries one peer's messages until none came for a while.
async fn pump(
    to: SocketAddr,
    secret: Secret,
    me: Hello,
    mut messages: mpsc::Receiver<PeerMessage>,
) {
    let mut reached = true;
    let mut last = Instant::now();
    loop {
        let dialled = timeout(DIAL_TIMEOUT, wire::connect(to, &secret, me.clone(), Kind::Member));
        let connection = match dialled.await {
            Ok(Ok(connection)) => connection,
            Ok(Err(_)) | Err(_) => {
                if reached {
                    log::warn!(peer:% = to; "a member can't be reached");
                }
                reached = false;
                // What waited is old by now.
                while messages.try_recv().is_ok() {
                    last = Instant::now();
                }
                if last.elapsed() > IDLE {
                    return;
                }
                sleep(REDIAL).await;
                continue;
            }
        };
        if !reached {
            log::info!(peer:% = to; "a member is reached again");
        }
        reached = true;
        let (sender, mut receiver) = connection.split::<PeerMessage, PeerMessage>();
        loop {
            tokio::select! {
                message = timeout(IDLE, messages.recv()) => {
                    let Ok(Some(message)) = message else { return };
                    last = Instant::now();
                    if sender.send(&message).await.is_err() {
                        break;
                    }
                }
                // The other side never writes here; this only notices its end.
                _ = receiver.recv() => break,
            }
        }
        log::info!(peer:% = to; "the connection to a member ended");
    }
}
