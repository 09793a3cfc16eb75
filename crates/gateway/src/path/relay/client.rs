//! The side of the entry that is cut off.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use futures_util::sink::{SinkExt, SinkMapErr};
use futures_util::stream::Stream;
use rand::seq::SliceRandom;
use registry::EntryInfo;
use tokio::io::Join;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{Instant, timeout_at};
use tokio_util::io::{CopyToBytes, SinkWriter, StreamReader};
use tokio_util::sync::{PollSendError, PollSender};
use wire::{Hello, Kind, Receiver, Secret, Sender};

use super::reach::MAX_ASKED_ABOUT;
use super::{FromRelay, MAX_CHUNK_BYTES, MAX_SILENCE, RelayFailure, RelayState, ToRelay};
use crate::batch::message::{FromOwner, RELAY_LEVEL, ToOwner};
use crate::upstream::ConnectError;

/// How many entries are asked to relay a connection at most. Some of them may be cut off too.
const MAX_RELAYS_ASKED: usize = 6;

/// How long opening the connection to another entry may take.
const DIAL_TIMEOUT: Duration = Duration::from_millis(250);

/// How long the other entry may take to send its protocol level after the hello.
const LEVEL_TIMEOUT: Duration = Duration::from_millis(60);

/// How long the other entry may take to open the connection to the upstream, and to say so.
const OPEN_TIMEOUT: Duration = Duration::from_millis(400);

/// How long an entry that could not relay is not asked again.
const AVOID_TIME: Duration = Duration::from_secs(1);

/// The number of chunks that are queued in each direction before the sender waits.
const QUEUED_CHUNKS: usize = 4;

/// The bytes from the upstream.
pub(crate) struct Incoming(mpsc::Receiver<io::Result<Bytes>>);

impl Stream for Incoming {
    type Item = io::Result<Bytes>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.poll_recv(cx)
    }
}

/// The queue for the bytes to the upstream.
type Outgoing = SinkMapErr<PollSender<Bytes>, fn(PollSendError<Bytes>) -> io::Error>;

/// The bytes of a relayed connection.
pub(crate) type RelayStream =
    Join<StreamReader<Incoming, Bytes>, SinkWriter<CopyToBytes<Outgoing>>>;

/// A connection to an upstream through another entry.
pub(crate) struct Relayed {
    pub(crate) stream: RelayStream,
    pub(crate) state: Arc<RelayState>,
}

/// Opens connections through other entries.
#[derive(Debug)]
pub(crate) struct RelayClient {
    secret: Secret,
    hello: Hello,
    pub(super) peers: ArcSwap<Vec<EntryInfo>>,
    /// The entries that could not relay, and until when they are not asked.
    avoided: Mutex<HashMap<SocketAddr, Instant>>,
    /// Permits to ask others whether they reach an upstream.
    pub(super) asking: Semaphore,
}

/// How asking one entry ended.
enum Asked {
    Opened(Relayed),
    Failed(ConnectError),
    /// Another entry may be asked.
    Unable,
}

impl RelayClient {
    pub(crate) fn new(secret: Secret, hello: Hello) -> Self {
        let (peers, avoided) = Default::default();
        Self { secret, hello, peers, avoided, asking: Semaphore::new(MAX_ASKED_ABOUT) }
    }

    /// Sets the other entries.
    pub(crate) fn set_peers(&self, peers: &Arc<Vec<EntryInfo>>) {
        self.peers.store(Arc::clone(peers));
    }

    /// Opens a connection to an upstream before `deadline`, through an entry that reaches it. Returns
    /// `None` if no entry relays it.
    pub(crate) async fn open(
        &self,
        upstream: SocketAddr,
        deadline: Instant,
    ) -> Option<Result<Relayed, ConnectError>> {
        for peer in self.candidates() {
            match self.ask(peer, upstream, deadline).await {
                Asked::Opened(relayed) => {
                    log::info!(peer:% = peer, address:% = upstream;
                        "opened a connection to an upstream through another entry");
                    return Some(Ok(relayed));
                }
                Asked::Failed(why) => return Some(Err(why)),
                Asked::Unable => {
                    let mut avoided = self.avoided.lock().unwrap_or_else(PoisonError::into_inner);
                    avoided.insert(peer, Instant::now() + AVOID_TIME);
                }
            }
            if Instant::now() >= deadline {
                return Some(Err(ConnectError::TimedOut));
            }
        }
        None
    }

    /// Returns the entries to ask, in a random order, so that all relay about as much.
    fn candidates(&self) -> Vec<SocketAddr> {
        let now = Instant::now();
        let mut avoided = self.avoided.lock().unwrap_or_else(PoisonError::into_inner);
        avoided.retain(|_, until| now < *until);
        let peers = self.peers.load();
        let mut able: Vec<SocketAddr> = peers.iter().map(|it| it.address).collect();
        able.retain(|it| !avoided.contains_key(it));
        let (chosen, _) = able.partial_shuffle(&mut rand::rng(), MAX_RELAYS_ASKED);
        chosen.to_vec()
    }

    async fn ask(&self, peer: SocketAddr, upstream: SocketAddr, deadline: Instant) -> Asked {
        let Some((sender, mut receiver)) = self.connect(peer, RELAY_LEVEL, deadline).await else {
            return Asked::Unable;
        };
        sender.allow_silence(MAX_SILENCE);
        if sender.send(&ToOwner::Relayed(ToRelay::Open(upstream))).await.is_err() {
            return Asked::Unable;
        }
        let answer = timeout_at(deadline.min(Instant::now() + OPEN_TIMEOUT), receiver.recv()).await;
        match answer {
            Ok(Ok(Some(FromOwner::Relayed(FromRelay::Opened)))) => {
                Asked::Opened(start(sender, receiver))
            }
            Ok(Ok(Some(FromOwner::Relayed(FromRelay::Failed(RelayFailure::Refused))))) => {
                Asked::Failed(ConnectError::Refused)
            }
            Ok(Ok(Some(FromOwner::Relayed(FromRelay::Failed(RelayFailure::TimedOut))))) => {
                Asked::Failed(ConnectError::TimedOut)
            }
            Ok(_) | Err(_) => Asked::Unable,
        }
    }

    /// Opens a connection to another entry of at least this protocol level.
    pub(super) async fn connect(
        &self,
        peer: SocketAddr,
        level: u8,
        deadline: Instant,
    ) -> Option<(Sender<ToOwner>, Receiver<FromOwner>)> {
        let (secret, hello) = (&self.secret, self.hello.clone());
        let dialed = wire::connect_within(DIAL_TIMEOUT, peer, secret, hello, Kind::Entry);
        let connection = match timeout_at(deadline.min(Instant::now() + DIAL_TIMEOUT), dialed).await
        {
            Ok(Ok(connection)) => connection,
            Ok(Err(error)) => {
                log::info!(peer:% = peer, cause:% = error; "another entry can't be asked about an upstream");
                return None;
            }
            Err(_) => return None,
        };
        let (sender, receiver) = connection.split();
        sender.wait_level(LEVEL_TIMEOUT).await;
        (sender.level() >= level).then_some((sender, receiver))
    }
}

/// Starts to pass bytes on over an open connection.
fn start(sender: Sender<ToOwner>, receiver: Receiver<FromOwner>) -> Relayed {
    let state = Arc::new(RelayState::default());
    let (outgoing, queued) = mpsc::channel(QUEUED_CHUNKS);
    let (arrived, incoming) = mpsc::channel(QUEUED_CHUNKS);
    tokio::spawn(send_all(sender, queued));
    tokio::spawn(receive_all(receiver, arrived, Arc::clone(&state)));
    let outgoing: Outgoing = PollSender::new(outgoing).sink_map_err(reset_error);
    let writer = SinkWriter::new(CopyToBytes::new(outgoing));
    let reader = StreamReader::new(Incoming(incoming));
    Relayed { stream: tokio::io::join(reader, writer), state }
}

fn reset_error(_: PollSendError<Bytes>) -> io::Error {
    io::ErrorKind::ConnectionReset.into()
}

/// Sends the bytes for the upstream until the stream is dropped. Then the connection ends at once, so
/// that the upstream cancels the request.
async fn send_all(sender: Sender<ToOwner>, mut queued: mpsc::Receiver<Bytes>) {
    while let Some(bytes) = queued.recv().await {
        for chunk in bytes.chunks(MAX_CHUNK_BYTES) {
            let message = ToOwner::Relayed(ToRelay::Data(chunk.to_vec()));
            if sender.send(&message).await.is_err() {
                // The receiving side reports the end.
                return;
            }
        }
    }
    sender.abort();
}

/// Receives the bytes from the upstream until its connection ends.
async fn receive_all(
    mut receiver: Receiver<FromOwner>,
    arrived: mpsc::Sender<io::Result<Bytes>>,
    state: Arc<RelayState>,
) {
    loop {
        let message = match receiver.recv().await {
            Ok(Some(FromOwner::Relayed(message))) => message,
            Ok(Some(FromOwner::Heartbeat)) => continue,
            Ok(_) | Err(_) => FromRelay::Ended(false),
        };
        let received = match message {
            FromRelay::Data(bytes) => Ok(Bytes::from(bytes)),
            FromRelay::Leaving => {
                state.set_leaving();
                continue;
            }
            FromRelay::Ended(true) => return,
            FromRelay::Ended(false)
            | FromRelay::Opened
            | FromRelay::Failed(_)
            | FromRelay::Reach(_) => Err(io::ErrorKind::ConnectionReset.into()),
        };
        let ended = received.is_err();
        if arrived.send(received).await.is_err() || ended {
            return;
        }
    }
}
