//! The signals that stop a server process.

use eyre::{Result, WrapErr};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Handlers of SIGTERM and SIGINT. As long as they exist, neither signal kills the process.
/// Otherwise a second signal during a drain would interrupt the requests that the drain waits for.
#[derive(Debug)]
pub(super) struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

/// Installs the handlers of both signals.
///
/// # Errors
/// Returns an error if a handler cannot be installed.
pub(super) fn open() -> Result<Signals> {
    let open = |kind| signal(kind).wrap_err("cannot install a signal handler");
    Ok(Signals {
        terminate: open(SignalKind::terminate())?,
        interrupt: open(SignalKind::interrupt())?,
    })
}

impl Signals {
    /// Waits for either signal.
    pub(super) async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
