//! The handle to a running fake.

use std::net::SocketAddr;
use std::sync::Arc;

use types::StepResult;

use crate::faults::FaultSwitch;
use crate::http::{self, Handler};

/// A fake with injectable faults and counters.
pub trait Fake {
    /// The counters of the fake.
    type Counts;

    /// Returns the switch that injects faults.
    fn faults(&self) -> &FaultSwitch;

    /// Returns the current values of the counters.
    fn counts(&self) -> Self::Counts;
}

/// A handle to a running fake. Dropping it stops the fake and closes all connections.
#[derive(Debug)]
pub struct Handle<F: Fake> {
    address: SocketAddr,
    pub(crate) fake: Arc<F>,
}

/// Starts to serve a fake.
///
/// # Errors
/// Returns an error if the fake can't listen on the address.
pub(crate) async fn serve<F: Fake + Handler>(listen: SocketAddr, fake: F) -> StepResult<Handle<F>> {
    let fake = Arc::new(fake);
    let address = http::serve(listen, fake.clone(), fake.faults().availability()).await?;
    Ok(Handle { address, fake })
}

impl<F: Fake> Handle<F> {
    /// Returns the address on which the fake listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the switch that injects faults.
    pub fn faults(&self) -> &FaultSwitch {
        self.fake.faults()
    }

    /// Returns the current values of the counters.
    pub fn counts(&self) -> F::Counts {
        self.fake.counts()
    }

    /// Stops the fake and closes all its connections.
    pub fn stop(&self) {
        self.fake.faults().stop();
    }
}

impl<F: Fake> Drop for Handle<F> {
    fn drop(&mut self) {
        self.stop();
    }
}
