//! Cancels a call whose result is no longer needed.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Uri;
use tokio::runtime::Handle;
use types::CallId;

use crate::body;
use crate::calls::Calls;
use crate::exchange::{self, Outgoing};
use crate::limits::Limits;
use crate::watch::Watch;

const CANCEL_PATH: &str = "/v1/cancel";

/// The timeout of a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Cancels a call at an engine when dropped, unless disarmed.
///
/// An engine notices a closed connection only at its next write, so without a cancellation the call
/// of a lost hedge or of a caller that disconnected would keep its place in the batch.
#[derive(Debug)]
pub(crate) struct CancelOnDrop {
    calls: Option<Calls>,
    address: SocketAddr,
    call: CallId,
}

impl CancelOnDrop {
    pub(crate) fn arm(calls: &Calls, address: SocketAddr, call: CallId) -> Self {
        Self { calls: Some(calls.clone()), address, call }
    }

    pub(crate) fn disarm(&mut self) {
        self.calls = None;
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        let Some(calls) = self.calls.take() else {
            return;
        };
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(cancel(calls, self.address, self.call));
        }
    }
}

async fn cancel(calls: Calls, address: SocketAddr, call: CallId) {
    let body = Bytes::from(format!("{{\"request_id\":\"{call}\"}}"));
    let limits = Limits::new(Instant::now() + CANCEL_TIMEOUT, CANCEL_TIMEOUT);
    let path = Uri::from_static(CANCEL_PATH);
    let out =
        Outgoing { call, path, body, key: None, limits, watch: Watch::default(), fresh: false };
    match exchange::open(&calls.pool(address), &out).await {
        Ok(mut opened) => {
            if body::whole(opened.response.body_mut(), &limits, || {}).await.is_ok() {
                opened.lease.give_back();
            }
        }
        Err(e) => log::debug!("cannot cancel call {call}: {e}"),
    }
}
