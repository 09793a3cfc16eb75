//! Accepts connections from peers that prove that they hold the cluster secret.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::{sleep, timeout};
use tokio_util::sync::{CancellationToken, DropGuard};
use types::{StepError, StepResult};

use crate::handshake::Frames;
use crate::{
    Connection, HANDSHAKE_TIMEOUT, Hello, LogThrottle, Secret, WireError, connection, handshake,
};

/// The pause after a failure to accept a connection, for example for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The minimum interval between two log lines about refused connections.
const REFUSAL_PERIOD: Duration = Duration::from_secs(1);

/// The connection limits of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerLimits {
    /// The maximum number of open connections.
    pub open: usize,
    /// The maximum number of handshakes in progress. Beyond it, further peers wait, each for at most
    /// [`HANDSHAKE_TIMEOUT`].
    pub handshakes: usize,
}

impl Default for ListenerLimits {
    fn default() -> Self {
        Self { open: 2_048, handshakes: 128 }
    }
}

/// A bound listener. Dropping it stops accepting; accepted connections stay open.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    accepted: mpsc::Receiver<Connection>,
    _stop: DropGuard,
}

#[derive(Debug)]
struct Acceptor {
    secret: Secret,
    own: Hello,
    handshakes: Arc<Semaphore>,
    open: Arc<Semaphore>,
    throttle: LogThrottle,
}

impl Listener {
    /// Binds an address with the default limits.
    ///
    /// # Errors
    /// Returns an error where the address can't be bound.
    pub async fn bind(address: SocketAddr, secret: &Secret, own: Hello) -> StepResult<Self> {
        Self::bind_with(address, secret, own, ListenerLimits::default()).await
    }

    /// Binds an address with the given limits.
    ///
    /// # Errors
    /// Returns an error where the address can't be bound.
    pub async fn bind_with(
        address: SocketAddr,
        secret: &Secret,
        own: Hello,
        limits: ListenerLimits,
    ) -> StepResult<Self> {
        let step_error = |e| StepError::new("bind listener", e).at(address);
        let socket = TcpListener::bind(address).await.map_err(step_error)?;
        let bound = socket.local_addr().map_err(step_error)?;
        let acceptor = Acceptor {
            secret: secret.clone(),
            own,
            handshakes: Arc::new(Semaphore::new(limits.handshakes)),
            open: Arc::new(Semaphore::new(limits.open)),
            throttle: LogThrottle::new(REFUSAL_PERIOD),
        };
        let (sender, accepted) = mpsc::channel(limits.handshakes);
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = run(socket, Arc::new(acceptor), sender) => {}
                () = stopped.cancelled() => {}
            }
        });
        Ok(Self { address: bound, accepted, _stop: stop.drop_guard() })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits for the next connection with a completed handshake. Cancel safe.
    ///
    /// # Errors
    /// Returns an error where the listener has stopped.
    pub async fn accept(&mut self) -> StepResult<(Hello, Connection)> {
        let next = self.accepted.recv().await;
        let step_error = || StepError::new("accept connection", WireError::Closed).at(self.address);
        let connection = next.ok_or_else(step_error)?;
        Ok((connection.hello().clone(), connection))
    }
}

async fn run(socket: TcpListener, acceptor: Arc<Acceptor>, accepted: mpsc::Sender<Connection>) {
    loop {
        // A peer that connects and sends nothing would block all others if the handshake ran here.
        // Each handshake has its own task, and their number is limited, so that unauthenticated
        // peers can't exhaust the memory.
        let Ok(slot) = Arc::clone(&acceptor.handshakes).acquire_owned().await else {
            return;
        };
        let (stream, peer) = match socket.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                acceptor.log_refusal("accept", &WireError::from(error), None);
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&acceptor.open).try_acquire_owned() else {
            acceptor.log_refusal("accept above the limit", &WireError::Full, Some(peer));
            continue;
        };
        let (acceptor, accepted) = (Arc::clone(&acceptor), accepted.clone());
        tokio::spawn(async move {
            match run_handshake(stream, peer, &acceptor, permit).await {
                // The slot is held until `accept` returns the connection, which bounds the waiting
                // ones.
                Ok(connection) => drop(accepted.send(connection).await),
                Err(error) => acceptor.log_refusal("hello", &error, Some(peer)),
            }
            drop(slot);
        });
    }
}

async fn run_handshake(
    stream: TcpStream,
    peer: SocketAddr,
    acceptor: &Acceptor,
    permit: OwnedSemaphorePermit,
) -> Result<Connection, WireError> {
    connection::set_options(&stream)?;
    let mut frames = Frames::new(stream);
    let answered = handshake::answer(&mut frames, &acceptor.secret, acceptor.own.clone());
    let theirs = timeout(HANDSHAKE_TIMEOUT, answered).await.unwrap_or(Err(WireError::Timeout))?;
    Ok(Connection::start(frames, theirs, peer, Some(permit)))
}

impl Acceptor {
    fn log_refusal(&self, step: &str, error: &WireError, peer: Option<SocketAddr>) {
        let Some(held) = self.throttle.allow() else {
            return;
        };
        let peer = peer.map_or_else(|| "unknown".to_owned(), |it| it.to_string());
        log::warn!(step, peer, held; "connection refused: {error}");
    }
}
