//! Datagrams with a MAC.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::UdpSocket;
use types::{StepError, StepResult};

use crate::secret::{Purpose, TAG_LENGTH};
use crate::{LogThrottle, Secret, WireError, frame, traffic};

/// The maximum size of a datagram in bytes, including its MAC.
pub const MAX_DATAGRAM_BYTES: usize = 32 << 10;

/// The minimum interval between two log lines about dropped datagrams.
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// A bound UDP socket. A datagram may be lost, duplicated, or replayed by an attacker who recorded
/// it, so messages carry their own sequence numbers.
#[derive(Debug)]
pub struct Datagrams {
    socket: UdpSocket,
    address: SocketAddr,
    secret: Secret,
    dropped: AtomicU64,
    throttle: LogThrottle,
}

impl Datagrams {
    /// Binds the socket.
    ///
    /// # Errors
    /// Returns an error where the address can't be bound.
    pub async fn bind(address: SocketAddr, secret: &Secret) -> StepResult<Self> {
        let step_error = |e| StepError::new("bind datagrams", e).at(address);
        let socket = std::net::UdpSocket::bind(address).map_err(step_error)?;
        Self::from_socket(socket, secret)
    }

    /// Uses a socket that is already bound.
    ///
    /// # Errors
    /// Returns an error where the socket can't be made non-blocking.
    pub fn from_socket(socket: std::net::UdpSocket, secret: &Secret) -> StepResult<Self> {
        let step_error = |e| StepError::new("bind datagrams", e);
        socket.set_nonblocking(true).map_err(step_error)?;
        let socket = UdpSocket::from_std(socket).map_err(step_error)?;
        let address = socket.local_addr().map_err(step_error)?;
        let (dropped, throttle) = (AtomicU64::new(0), LogThrottle::new(LOG_PERIOD));
        Ok(Self { socket, address, secret: secret.clone(), dropped, throttle })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of datagrams that were dropped for an invalid MAC or message.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Sends a message, which may be lost on the way.
    ///
    /// # Errors
    /// Returns an error where the message is too large or the socket refuses it.
    pub async fn send<T: Serialize>(&self, to: SocketAddr, message: &T) -> StepResult<()> {
        let step_error = |e: WireError| StepError::new("send datagram", e).at(to);
        let mut bytes = postcard::to_stdvec(message)
            .map_err(|e| step_error(WireError::Malformed(e.to_string())))?;
        let tag = self.secret.tag(Purpose::Datagram, &bytes);
        bytes.extend_from_slice(&tag);
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(step_error(WireError::TooLarge(MAX_DATAGRAM_BYTES)));
        }
        self.socket.send_to(&bytes, to).await.map_err(|e| step_error(e.into()))?;
        traffic::sent(bytes.len());
        Ok(())
    }

    /// Waits for the next valid message; invalid ones are counted and dropped. Cancel safe.
    ///
    /// # Errors
    /// Returns an error where the socket fails.
    pub async fn recv<T: DeserializeOwned>(&self) -> StepResult<(SocketAddr, T)> {
        let step_error = |e| StepError::new("receive datagram", e);
        // Allocates the buffer only when there is something to read: an idle receiver needs none.
        self.socket.readable().await.map_err(step_error)?;
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let (length, from) = match self.socket.try_recv_from(&mut buffer) {
                Ok(received) => received,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.socket.readable().await.map_err(step_error)?;
                    continue;
                }
                // An earlier datagram was sent to a closed port, which does not affect the next one.
                Err(error) if error.kind() == ErrorKind::ConnectionRefused => continue,
                Err(error) => return Err(step_error(error)),
            };
            traffic::received(length);
            match self.open(&buffer[..length]) {
                Ok(message) => return Ok((from, message)),
                Err(cause) => self.record_dropped(from, &cause),
            }
        }
    }

    fn open<T: DeserializeOwned>(&self, datagram: &[u8]) -> Result<T, WireError> {
        let split = datagram.len().checked_sub(TAG_LENGTH);
        let split = split.ok_or_else(|| WireError::Malformed("too short".to_owned()))?;
        let (body, tag) = datagram.split_at(split);
        if !self.secret.verify(Purpose::Datagram, body, tag) {
            return Err(WireError::Malformed("wrong MAC".to_owned()));
        }
        frame::decode_body(body)
    }

    fn record_dropped(&self, from: SocketAddr, error: &WireError) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
        if let Some(held) = self.throttle.allow() {
            log::warn!(peer = from.to_string(), held; "datagram dropped: {error}");
        }
    }
}
