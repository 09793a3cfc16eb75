//! The handshake: both sides prove that they hold the cluster secret.
//!
//! The dialer sends its hello and a nonce, the acceptor its own hello and nonce, then the dialer
//! its proof, then the acceptor its proof. A proof is a MAC over both hellos and both nonces, so it
//! is invalid on any other connection. The acceptor sends its proof last, so peers without the
//! secret get no MAC from it.

use std::fmt;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};
use types::VmName;

use crate::meter::Metered;
use crate::secret::{Purpose, Secret, Tag};
use crate::{RefusalCause, WireError, frame};

/// The version of this transport, which must be the same on both sides.
pub const PROTOCOL: u16 = 1;

type Nonce = [u8; 32];

/// The kind of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// A control member.
    Member,
    /// An entry.
    Entry,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Kind::Member => "a control member",
            Kind::Entry => "an entry",
        })
    }
}

/// The identity of a process, covered by the proof of the cluster secret.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Hello {
    /// The kind of the process.
    pub kind: Kind,
    /// The VM of the process.
    pub vm: VmName,
    /// The incarnation of the process: the `NodeId` of a member, the `Incarnation` of an entry.
    pub node: u64,
}

impl fmt::Display for Hello {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} on {}, incarnation {:x}", self.kind, self.vm, self.node)
    }
}

/// The content of the first frame of each side.
#[derive(Debug, Serialize, Deserialize)]
struct Opening {
    hello: Hello,
    nonce: Nonce,
}

/// A frame of the handshake. The version is separate, so that it can be decoded in any version.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    Opening { protocol: u16, opening: Vec<u8> },
    Proof(Tag),
    Refused(RefusalCause),
}

/// The data that both proofs cover.
#[derive(Serialize)]
struct Transcript<'a> {
    protocol: u16,
    dialer: &'a Opening,
    acceptor: &'a Opening,
}

/// The reading half of a socket, split into frames.
pub(crate) type Reader = FramedRead<Metered<OwnedReadHalf>, LengthDelimitedCodec>;

/// The writing half of a socket, split into frames.
pub(crate) type Writer = FramedWrite<Metered<OwnedWriteHalf>, LengthDelimitedCodec>;

/// The framed halves of a socket.
#[derive(Debug)]
pub(crate) struct Frames {
    pub(crate) reader: Reader,
    pub(crate) writer: Writer,
}

impl Frames {
    pub(crate) fn new(stream: TcpStream) -> Self {
        let (reader, writer) = stream.into_split();
        Self {
            reader: FramedRead::new(Metered::new(reader), frame::handshake_codec()),
            writer: FramedWrite::new(Metered::new(writer), frame::handshake_codec()),
        }
    }

    fn raise_limits(&mut self) {
        frame::raise_limit(self.reader.decoder_mut());
        frame::raise_limit(self.writer.encoder_mut());
    }

    async fn send(&mut self, message: &Message) -> Result<(), WireError> {
        let bytes = to_bytes(message)?;
        Ok(self.writer.send(Bytes::from(bytes)).await?)
    }

    async fn receive(&mut self) -> Result<Message, WireError> {
        let frame = self.reader.next().await.ok_or(WireError::Closed)??;
        match frame::decode_body(&frame)? {
            Message::Refused(cause) => Err(WireError::RefusedBy(cause)),
            message => Ok(message),
        }
    }

    async fn refuse<T>(&mut self, cause: RefusalCause) -> Result<T, WireError> {
        // The answer is only for the other side's log, so a failure to send it does not matter.
        let _ = self.send(&Message::Refused(cause)).await;
        Err(WireError::Refused(cause))
    }

    async fn send_opening(&mut self, opening: &Opening) -> Result<(), WireError> {
        let opening = to_bytes(opening)?;
        self.send(&Message::Opening { protocol: PROTOCOL, opening }).await
    }

    async fn receive_opening(&mut self) -> Result<Opening, WireError> {
        match self.receive().await? {
            Message::Opening { protocol: PROTOCOL, opening } => frame::decode_body(&opening),
            Message::Opening { .. } => self.refuse(RefusalCause::Protocol(PROTOCOL)).await,
            message => Err(unexpected_message(&message)),
        }
    }

    async fn receive_proof(&mut self) -> Result<Tag, WireError> {
        match self.receive().await? {
            Message::Proof(tag) => Ok(tag),
            message => Err(unexpected_message(&message)),
        }
    }
}

/// Runs the dialer's side and returns the acceptor's hello.
pub(crate) async fn dial(
    frames: &mut Frames,
    secret: &Secret,
    own_hello: Hello,
) -> Result<Hello, WireError> {
    let own = opening(own_hello);
    frames.send_opening(&own).await?;
    let theirs = frames.receive_opening().await?;
    let data = transcript(&own, &theirs)?;
    frames.send(&Message::Proof(secret.tag(Purpose::Dialer, &data))).await?;
    let tag = frames.receive_proof().await?;
    if !secret.verify(Purpose::Acceptor, &data, &tag) {
        return frames.refuse(RefusalCause::Proof).await;
    }
    frames.raise_limits();
    Ok(theirs.hello)
}

/// Runs the acceptor's side and returns the dialer's hello.
pub(crate) async fn answer(
    frames: &mut Frames,
    secret: &Secret,
    own_hello: Hello,
) -> Result<Hello, WireError> {
    let theirs = frames.receive_opening().await?;
    // Each connection has a new nonce, so a proof that was recorded on another connection is invalid.
    let own = opening(own_hello);
    frames.send_opening(&own).await?;
    let data = transcript(&theirs, &own)?;
    let tag = frames.receive_proof().await?;
    if !secret.verify(Purpose::Dialer, &data, &tag) {
        return frames.refuse(RefusalCause::Proof).await;
    }
    frames.send(&Message::Proof(secret.tag(Purpose::Acceptor, &data))).await?;
    frames.raise_limits();
    Ok(theirs.hello)
}

fn opening(hello: Hello) -> Opening {
    Opening { hello, nonce: rand::random() }
}

fn transcript(dialer: &Opening, acceptor: &Opening) -> Result<Vec<u8>, WireError> {
    to_bytes(&Transcript { protocol: PROTOCOL, dialer, acceptor })
}

fn to_bytes<T: Serialize>(value: &T) -> Result<Vec<u8>, WireError> {
    postcard::to_stdvec(value).map_err(|e| WireError::Malformed(e.to_string()))
}

fn unexpected_message(message: &Message) -> WireError {
    let name = match message {
        Message::Opening { .. } => "opening",
        Message::Proof(_) => "proof",
        Message::Refused(_) => "refusal",
    };
    WireError::Malformed(format!("{name} out of turn"))
}
