//! Finds out whether an entry that has borrowed connections has ended.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};
use wire::{Hello, Kind, Secret};

/// How long connecting to it may take.
const DIAL_TIMEOUT: Duration = Duration::from_millis(250);

/// The pause before it is asked again if it does not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// A process that has borrowed connections, and how this one dials it.
#[derive(Clone, Debug)]
pub(super) struct Borrower {
    pub(super) address: SocketAddr,
    /// The incarnation that has borrowed.
    pub(super) node: u64,
    pub(super) secret: Secret,
    pub(super) own: Hello,
}

/// What asking an entry shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Seen {
    /// The process that has borrowed still runs.
    Running,
    /// Nothing listens at its address, or another process does.
    Ended,
    /// It does not answer.
    Unknown,
}

impl Borrower {
    /// Waits until it is known whether the process has ended, at most until `end`; returns whether it has.
    pub(super) async fn has_ended(&self, end: Instant) -> bool {
        while Instant::now() < end {
            match self.ask().await {
                Seen::Ended => return true,
                Seen::Running => return false,
                Seen::Unknown => sleep(RETRY_PAUSE).await,
            }
        }
        false
    }

    async fn ask(&self) -> Seen {
        match timeout(DIAL_TIMEOUT, TcpStream::connect(self.address)).await {
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => return Seen::Ended,
            Ok(Ok(_)) => {}
            Ok(Err(_)) | Err(_) => return Seen::Unknown,
        }
        let own = self.own.clone();
        let dialed =
            wire::connect_within(DIAL_TIMEOUT, self.address, &self.secret, own, Kind::Entry);
        match dialed.await {
            Ok(connection) if connection.hello().node == self.node => Seen::Running,
            Ok(_) => Seen::Ended,
            Err(error) => {
                log::info!(peer:% = self.address, cause:% = error;
                    "can't tell whether an entry that has borrowed connections still runs");
                Seen::Unknown
            }
        }
    }
}
