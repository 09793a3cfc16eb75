//! Sends orders to engines.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::StatusCode;
use serde::{Deserialize, Serialize};
use types::{Fence, Fencing, StepError, StepResult, UpstreamName};

use crate::client::HttpClient;
use crate::{Authority, Target};

/// The path at which engines accept orders and show the last one.
pub(crate) const ORDERS_PATH: &str = "/v1/orders";

/// An order to an engine.
#[derive(Clone, Debug)]
pub(crate) struct Order {
    pub(crate) upstream: UpstreamName,
    pub(crate) address: SocketAddr,
    pub(crate) fencing: Fencing,
    pub(crate) target: Target,
    pub(crate) longest: Duration,
}

#[derive(Serialize)]
struct Body<'a> {
    fence: Fence,
    #[serde(flatten)]
    target: &'a Target,
}

#[derive(Default, Deserialize)]
struct Refusal {
    #[serde(default)]
    fence: Fence,
}

impl Order {
    /// Commits a fencing number, confirms that this member leads, and sends the order.
    ///
    /// An engine that ignores the number obeys any order. A leader that was frozen or cut off does
    /// not know that another one has taken over, so it asks a quorum right before it sends the
    /// order. Half of `longest` is for that question and the call; the other half is for what the
    /// kernel may still deliver after the call was given up. Once `longest` has passed since the
    /// question, nothing of the order can arrive, and that is how long a new leader waits.
    pub(crate) async fn send<A: Authority>(&self, authority: Arc<A>) -> StepResult<Fence> {
        let fence = authority.fence(&self.upstream, &self.target).await?;
        let half = self.longest / 2;
        let start = Instant::now();
        if self.fencing == Fencing::Ignores {
            authority.confirm().await?;
        }
        let left = half.saturating_sub(start.elapsed());
        if left.is_zero() {
            let why = "the quorum answered too late to order";
            return Err(StepError::new("confirm leadership", why).at(&self.upstream));
        }
        let body = Body { fence, target: &self.target };
        let reply = HttpClient::new(half).post(self.address, ORDERS_PATH, &body, left).await?;
        match reply.status {
            StatusCode::OK => Ok(fence),
            StatusCode::CONFLICT => {
                let Refusal { fence: seen } = reply.json().unwrap_or_default();
                let why = format!("fencing number {fence} refused, it has seen {seen}");
                Err(StepError::new("send order", why).at(&self.upstream))
            }
            status => Err(StepError::new("send order", status.to_string()).at(&self.upstream)),
        }
    }
}
