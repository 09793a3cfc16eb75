//! Authenticated connections and their two typed halves.

use std::fmt;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, mpsc};
use tokio::time::timeout;
use types::{StepError, StepResult};

use crate::handshake::Frames;
use crate::io_tasks::{self, Incoming, Queued, Shared, Tasks};
use crate::{HANDSHAKE_TIMEOUT, Hello, Kind, SILENCE_TIMEOUT, Secret, WireError, frame, handshake};

/// An authenticated connection. It sends heartbeats from the handshake until it ends.
///
/// It ends when the other side closes it or is silent, when invalid bytes arrive, or when all its
/// senders and its receiver are dropped. In the last case the queued messages are written first.
#[derive(Debug)]
pub struct Connection {
    peer: Peer,
    tasks: Tasks,
}

/// The other side of a connection.
#[derive(Clone, Debug)]
struct Peer {
    hello: Hello,
    address: SocketAddr,
}

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}", self.hello, self.address)
    }
}

/// Opens a connection to `address` and runs the handshake as `own`.
///
/// # Errors
/// Returns an error where the connection can't be opened in time, the other side does not hold the
/// secret or refuses the handshake, or is not of the kind `expect`.
pub async fn connect(
    address: SocketAddr,
    secret: &Secret,
    own: Hello,
    expect: Kind,
) -> StepResult<Connection> {
    connect_within(HANDSHAKE_TIMEOUT, address, secret, own, expect).await
}

/// As [`connect`], but opens the socket within `limit`, or fails. The handshake may take longer: the
/// other side is there, and the link may be busy.
///
/// # Errors
/// As [`connect`].
pub async fn connect_within(
    limit: Duration,
    address: SocketAddr,
    secret: &Secret,
    own: Hello,
    expect: Kind,
) -> StepResult<Connection> {
    let stream = match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(StepError::new("connect", error).at(address)),
        Err(_) => return Err(StepError::new("connect", WireError::Timeout).at(address)),
    };
    set_options(&stream).map_err(|e| StepError::new("connect", e).at(address))?;
    let mut frames = Frames::new(stream);
    let dialed = timeout(HANDSHAKE_TIMEOUT, handshake::dial(&mut frames, secret, own)).await;
    let theirs = dialed.unwrap_or(Err(WireError::Timeout));
    let theirs = theirs.map_err(|e| StepError::new("handshake", e).at(address))?;
    if theirs.kind != expect {
        return Err(StepError::new("handshake", WireError::Unexpected(theirs.kind)).at(address));
    }
    Ok(Connection::start(frames, theirs, address, None))
}

/// Sets the socket options that every connection needs.
pub(crate) fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    // The kernel closes the connection if sent bytes stay unacknowledged, even if this side only
    // writes.
    SockRef::from(stream).set_tcp_user_timeout(Some(SILENCE_TIMEOUT))
}

impl Connection {
    pub(crate) fn start(
        frames: Frames,
        hello: Hello,
        address: SocketAddr,
        permit: Option<OwnedSemaphorePermit>,
    ) -> Self {
        Self { peer: Peer { hello, address }, tasks: io_tasks::start(frames, permit) }
    }

    /// Returns the proven identity of the other side.
    pub fn hello(&self) -> &Hello {
        &self.peer.hello
    }

    /// Returns the address of the other side.
    pub fn address(&self) -> SocketAddr {
        self.peer.address
    }

    /// Splits the connection into its halves, with the types of their messages.
    pub fn split<Out, In>(self) -> (Sender<Out>, Receiver<In>) {
        let Self { peer, tasks: Tasks { outgoing, incoming, shared } } = self;
        let peer = Arc::new(peer);
        let sender = Sender {
            queue: outgoing,
            shared: Arc::clone(&shared),
            peer: Arc::clone(&peer),
            message: PhantomData,
        };
        let receiver = Receiver { incoming, shared, peer, message: PhantomData };
        (sender, receiver)
    }
}

/// The sending half of a connection. Its queue holds some megabytes; it fills if the receiver is
/// slow.
pub struct Sender<Out> {
    queue: mpsc::Sender<Queued>,
    shared: Arc<Shared>,
    peer: Arc<Peer>,
    message: PhantomData<fn(Out)>,
}

impl<Out: Serialize> Sender<Out> {
    /// Queues a message; waits until the queue has space.
    ///
    /// # Errors
    /// Returns an error where the connection has ended, with the cause, or the message is too large.
    /// A queued message may still be lost if the connection ends.
    pub async fn send(&self, message: &Out) -> StepResult<()> {
        self.send_encoded(&Encoded::new(message).map_err(|e| self.step_error(e))?).await
    }

    /// Queues an encoded message; waits until the queue has space.
    ///
    /// # Errors
    /// As [`Sender::send`].
    pub async fn send_encoded(&self, message: &Encoded<Out>) -> StepResult<()> {
        let queued =
            self.shared.reserve(message.frame.clone()).await.map_err(|e| self.step_error(e))?;
        self.queue.send(queued).await.map_err(|_| self.step_error(self.shared.cause()))
    }

    /// Queues a message if the queue has space.
    ///
    /// # Errors
    /// As [`Sender::send`], and [`WireError::Full`] where the queue has no space.
    pub fn try_send(&self, message: &Out) -> StepResult<()> {
        let frame = frame::encode(message).map_err(|e| self.step_error(e))?;
        let queued = self.shared.try_reserve(frame).map_err(|e| self.step_error(e))?;
        self.queue.try_send(queued).map_err(|e| match e {
            mpsc::error::TrySendError::Full(_) => self.step_error(WireError::Full),
            mpsc::error::TrySendError::Closed(_) => self.step_error(self.shared.cause()),
        })
    }
}

impl<Out> Sender<Out> {
    /// Waits until all queued messages are written. A process that sends each update of a state only
    /// after that never queues more than the newest one, however slowly the other side reads.
    ///
    /// # Errors
    /// Returns an error where the connection has ended.
    pub async fn flushed(&self) -> StepResult<()> {
        self.shared.flushed().await.map_err(|e| self.step_error(e))
    }

    /// Waits until the other side has announced its level, which it does with its first frame, for at
    /// most `max_wait`: releases without levels never announce one.
    pub async fn wait_level(&self, max_wait: Duration) {
        let mut level = self.shared.level.subscribe();
        // After the timeout the level stays 0 until it is announced.
        let _ = timeout(max_wait, level.wait_for(|it| it.is_some_and(|it| it > 0))).await;
    }

    /// Waits until the level of the other side is known, however long its first frame takes. For
    /// messages that must not be left out because a packet was lost.
    ///
    /// # Errors
    /// Returns an error where the connection has ended.
    pub async fn level_known(&self) -> StepResult<()> {
        self.shared.level_known().await.map_err(|e| self.step_error(e))
    }

    /// Returns the level that the other side has announced so far; 0 for none. Where packets are
    /// lost it may arrive late, so callers check it for each message.
    pub fn level(&self) -> u8 {
        self.shared.level.borrow().unwrap_or_default()
    }

    /// Waits until the connection has ended; returns the cause.
    pub async fn ended(&self) -> WireError {
        self.shared.ended.cancelled().await;
        self.shared.cause()
    }

    /// Changes the time without a byte after which this side counts the connection as silent, which
    /// is [`SILENCE_TIMEOUT`] at first. Sent bytes that stay unacknowledged for that time still end
    /// the connection.
    pub fn allow_silence(&self, limit: Duration) {
        self.shared.silence.set(limit);
    }

    /// Ends the connection at once, for all halves. Queued messages are lost.
    pub fn abort(&self) {
        self.shared.end(WireError::Closed);
    }

    fn step_error(&self, cause: WireError) -> StepError {
        StepError::new("send message", cause).at(&self.peer)
    }
}

impl<Out> Clone for Sender<Out> {
    fn clone(&self) -> Self {
        Self {
            queue: self.queue.clone(),
            shared: Arc::clone(&self.shared),
            peer: Arc::clone(&self.peer),
            message: PhantomData,
        }
    }
}

impl<Out> fmt::Debug for Sender<Out> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Sender to {}", self.peer)
    }
}

/// A message that is encoded once and sent on several connections.
pub struct Encoded<Out> {
    frame: Bytes,
    message: PhantomData<fn(Out)>,
}

impl<Out: Serialize> Encoded<Out> {
    /// Encodes a message.
    ///
    /// # Errors
    /// Returns an error where the message is too large.
    pub fn new(message: &Out) -> Result<Self, WireError> {
        Ok(Self { frame: frame::encode(message)?, message: PhantomData })
    }
}

impl<Out> Encoded<Out> {
    /// Returns the number of encoded bytes.
    #[allow(clippy::len_without_is_empty)] // An encoded message has at least one byte.
    pub fn len(&self) -> usize {
        self.frame.len()
    }
}

impl<Out> Clone for Encoded<Out> {
    fn clone(&self) -> Self {
        Self { frame: self.frame.clone(), message: PhantomData }
    }
}

impl<Out> fmt::Debug for Encoded<Out> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} encoded bytes", self.frame.len())
    }
}

/// The receiving half of a connection.
pub struct Receiver<In> {
    incoming: Incoming,
    shared: Arc<Shared>,
    peer: Arc<Peer>,
    message: PhantomData<fn() -> In>,
}

impl<In: DeserializeOwned> Receiver<In> {
    /// Waits for the next message; returns `None` once the other side closed the connection. Cancel
    /// safe.
    ///
    /// # Errors
    /// Returns an error where the connection ended otherwise: it is silent or broken, or received
    /// garbage.
    pub async fn recv(&mut self) -> StepResult<Option<In>> {
        let Some(queued) = self.incoming.queue.recv().await else {
            return match self.shared.cause() {
                WireError::Closed => Ok(None),
                cause => Err(self.step_error(cause)),
            };
        };
        frame::decode(&queued.frame).map(Some).map_err(|cause| {
            self.shared.end(cause.clone());
            self.step_error(cause)
        })
    }
}

impl<In> Receiver<In> {
    /// Returns the number of bytes that have arrived, including those of an incomplete message. It
    /// distinguishes a large message on a slow link from a silent peer.
    pub fn received(&self) -> u64 {
        self.shared.received.get()
    }

    fn step_error(&self, cause: WireError) -> StepError {
        StepError::new("receive message", cause).at(&self.peer)
    }
}

impl<In> fmt::Debug for Receiver<In> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Receiver from {}", self.peer)
    }
}
