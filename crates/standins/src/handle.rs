//! The handle of a running fake.

use std::net::SocketAddr;
use std::sync::Arc;

use types::StepResult;

use crate::faults::Switch;
use crate::http::{self, Handler};

/// What every fake shows of itself.
pub trait Fake {
    /// What it counts.
    type Counts;

    /// Returns the switch of its faults.
    fn faults(&self) -> &Switch;

    /// Returns what it has counted.
    fn counts(&self) -> Self::Counts;
}

/// A running fake; dropped, it ends with all its connections.
#[derive(Debug)]
pub struct Handle<F: Fake> {
    address: SocketAddr,
    pub(crate) fake: Arc<F>,
}

/// Starts to serve a fake.
///
/// # Errors
/// The address cannot be listened on.
pub(crate) async fn serve<F: Fake + Handler>(listen: SocketAddr, fake: F) -> StepResult<Handle<F>> {
    let fake = Arc::new(fake);
    let address = http::serve(listen, fake.clone(), fake.faults().door()).await?;
    Ok(Handle { address, fake })
}

impl<F: Fake> Handle<F> {
    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the switch of its faults.
    pub fn faults(&self) -> &Switch {
        self.fake.faults()
    }

    /// Returns what it has counted.
    pub fn counts(&self) -> F::Counts {
        self.fake.counts()
    }

    /// Ends it, with all its connections.
    pub fn stop(&self) {
        self.fake.faults().stop();
    }
}

impl<F: Fake> Drop for Handle<F> {
    fn drop(&mut self) {
        self.stop();
    }
}
