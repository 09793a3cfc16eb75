//! Finds out whether an entry that has borrowed connections has ended.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;
use wire::{Hello, Kind, Secret};

/// How long connecting to it may take.
const DIAL_TIMEOUT: Duration = Duration::from_millis(250);

/// A process that has borrowed connections, and how this one dials it.
#[derive(Clone, Debug)]
pub(super) struct Borrower {
    pub(super) address: SocketAddr,
    /// The process that has borrowed.
    pub(super) hello: Hello,
    pub(super) secret: Secret,
    pub(super) own: Hello,
}

/// What is known of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProcessState {
    Running,
    /// Nothing listens at its address, or another process does.
    Ended,
    /// It does not answer, or its address is not known.
    Unknown,
}

impl Borrower {
    /// Asks the process whether it still runs.
    pub(super) async fn ask(&self) -> ProcessState {
        match timeout(DIAL_TIMEOUT, TcpStream::connect(self.address)).await {
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return ProcessState::Ended;
            }
            Ok(Ok(_)) => {}
            Ok(Err(_)) | Err(_) => return ProcessState::Unknown,
        }
        let own = self.own.clone();
        let dialed =
            wire::connect_within(DIAL_TIMEOUT, self.address, &self.secret, own, Kind::Entry);
        match dialed.await {
            Ok(connection) if *connection.hello() == self.hello => ProcessState::Running,
            Ok(_) => ProcessState::Ended,
            Err(error) => {
                log::info!(peer:% = self.address, cause:% = error;
                    "can't tell whether an entry that has borrowed connections still runs");
                ProcessState::Unknown
            }
        }
    }
}
