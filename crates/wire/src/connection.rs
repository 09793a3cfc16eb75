//! An authenticated connection and its two typed halves.

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

use crate::hello::Frames;
use crate::pump::{self, Incoming, Pumped, Queued, Shared};
use crate::{HELLO_TIMEOUT, Hello, Kind, SILENCE, Secret, WireError, frame, hello};

/// An authenticated connection. Heartbeats run from its opening until it ends.
///
/// It ends when the other side closes it or is silent, when bytes that are no message come, or
/// when all its senders and its receiver are dropped; what was queued is written first.
#[derive(Debug)]
pub struct Connection {
    peer: Peer,
    pumped: Pumped,
}

/// Who is at the other side.
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

/// Opens a connection to `address`, proves itself as `me`, and checks the other side.
///
/// # Errors
/// Where it cannot be opened in time, the other side does not hold the secret or refuses, or is
/// not of the kind `expect`.
pub async fn connect(
    address: SocketAddr,
    secret: &Secret,
    me: Hello,
    expect: Kind,
) -> StepResult<Connection> {
    let stream = match timeout(HELLO_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(StepError::new("connect", error).at(address)),
        Err(_) => return Err(StepError::new("connect", WireError::Timeout).at(address)),
    };
    prepare(&stream).map_err(|e| StepError::new("connect", e).at(address))?;
    let mut frames = Frames::new(stream);
    let dialed = timeout(HELLO_TIMEOUT, hello::dial(&mut frames, secret, me)).await;
    let theirs = dialed.unwrap_or(Err(WireError::Timeout));
    let theirs = theirs.map_err(|e| StepError::new("say hello", e).at(address))?;
    if theirs.kind != expect {
        return Err(StepError::new("say hello", WireError::Unexpected(theirs.kind)).at(address));
    }
    Ok(Connection::start(frames, theirs, address, None))
}

/// Sets what every socket of this transport needs.
pub(crate) fn prepare(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    // The kernel gives up on bytes that nobody acknowledges, also while this side only writes.
    SockRef::from(stream).set_tcp_user_timeout(Some(SILENCE))
}

impl Connection {
    pub(crate) fn start(
        frames: Frames,
        hello: Hello,
        address: SocketAddr,
        permit: Option<OwnedSemaphorePermit>,
    ) -> Self {
        Self { peer: Peer { hello, address }, pumped: pump::start(frames, permit) }
    }

    /// Returns who is at the other side, as it has proven.
    pub fn hello(&self) -> &Hello {
        &self.peer.hello
    }

    /// Returns the address of the other side.
    pub fn address(&self) -> SocketAddr {
        self.peer.address
    }

    /// Splits it into its halves, with the types of the messages they carry.
    pub fn split<Out, In>(self) -> (Sender<Out>, Receiver<In>) {
        let Self { peer, pumped: Pumped { outgoing, incoming, shared } } = self;
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

/// The sending half. Its queue holds some megabytes; a full one shows a slow receiver.
pub struct Sender<Out> {
    queue: mpsc::Sender<Queued>,
    shared: Arc<Shared>,
    peer: Arc<Peer>,
    message: PhantomData<fn(Out)>,
}

impl<Out: Serialize> Sender<Out> {
    /// Queues a message, waiting for room.
    ///
    /// # Errors
    /// Where the connection ended, with the cause, or the message is too large. A message that was
    /// queued may still be lost with the connection.
    pub async fn send(&self, message: &Out) -> StepResult<()> {
        self.send_encoded(&Encoded::new(message).map_err(|e| self.fault(e))?).await
    }

    /// Queues a message that is encoded, waiting for room.
    ///
    /// # Errors
    /// As [`Sender::send`].
    pub async fn send_encoded(&self, message: &Encoded<Out>) -> StepResult<()> {
        let queued = self.shared.room(message.frame.clone()).await.map_err(|e| self.fault(e))?;
        self.queue.send(queued).await.map_err(|_| self.fault(self.shared.cause()))
    }

    /// Queues a message if there is room.
    ///
    /// # Errors
    /// As [`Sender::send`], and [`WireError::Full`] where there is no room.
    pub fn try_send(&self, message: &Out) -> StepResult<()> {
        let frame = frame::encode(message).map_err(|e| self.fault(e))?;
        let queued = self.shared.try_room(frame).map_err(|e| self.fault(e))?;
        self.queue.try_send(queued).map_err(|e| match e {
            mpsc::error::TrySendError::Full(_) => self.fault(WireError::Full),
            mpsc::error::TrySendError::Closed(_) => self.fault(self.shared.cause()),
        })
    }
}

impl<Out> Sender<Out> {
    /// Waits until all that was queued is written. Who sends news of a state only then holds back no more
    /// than its newest form, however slowly the other side reads.
    ///
    /// # Errors
    /// Where the connection ended.
    pub async fn drained(&self) -> StepResult<()> {
        self.shared.drained().await.map_err(|e| self.fault(e))
    }

    /// Waits until the other side has told its level, which it does first of all, for `patience` at the
    /// most: one of a release that knows no levels tells none.
    pub async fn wait_level(&self, patience: Duration) {
        let mut level = self.shared.level.subscribe();
        // Without an answer the level stays 0 until one comes.
        let _ = timeout(patience, level.wait_for(|it| *it > 0)).await;
    }

    /// Returns the level of the other side as it has told it so far; 0 for none. What it told may come late,
    /// where packets are lost: ask anew for each message.
    pub fn level(&self) -> u8 {
        *self.shared.level.borrow()
    }

    /// Waits until the connection has ended, and returns the cause.
    pub async fn ended(&self) -> WireError {
        self.shared.ended.cancelled().await;
        self.shared.cause()
    }

    /// Ends the connection at once, for all halves; what is queued is lost.
    pub fn abort(&self) {
        self.shared.end(WireError::Closed);
    }

    fn fault(&self, cause: WireError) -> StepError {
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

/// A message that is encoded once and sent to many.
pub struct Encoded<Out> {
    frame: Bytes,
    message: PhantomData<fn(Out)>,
}

impl<Out: Serialize> Encoded<Out> {
    /// Encodes a message.
    ///
    /// # Errors
    /// Where it is too large.
    pub fn new(message: &Out) -> Result<Self, WireError> {
        Ok(Self { frame: frame::encode(message)?, message: PhantomData })
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

/// The receiving half.
pub struct Receiver<In> {
    incoming: Incoming,
    shared: Arc<Shared>,
    peer: Arc<Peer>,
    message: PhantomData<fn() -> In>,
}

impl<In: DeserializeOwned> Receiver<In> {
    /// Waits for the next message; `None` once the other side closed the connection. Safe to cancel.
    ///
    /// # Errors
    /// Where the connection ended otherwise: silent, broken, or by bytes that are no message.
    pub async fn recv(&mut self) -> StepResult<Option<In>> {
        let Some(queued) = self.incoming.queue.recv().await else {
            return match self.shared.cause() {
                WireError::Closed => Ok(None),
                cause => Err(self.fault(cause)),
            };
        };
        frame::decode(&queued.frame).map(Some).map_err(|cause| {
            self.shared.end(cause.clone());
            self.fault(cause)
        })
    }
}

impl<In> Receiver<In> {
    /// Returns how many bytes have arrived, those of a message that is not whole yet included. They
    /// tell a large message on a slow link from a silent peer.
    pub fn received(&self) -> u64 {
        self.shared.received.get()
    }

    fn fault(&self, cause: WireError) -> StepError {
        StepError::new("receive message", cause).at(&self.peer)
    }
}

impl<In> fmt::Debug for Receiver<In> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Receiver from {}", self.peer)
    }
}
