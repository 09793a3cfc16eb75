//! The connection between orders to upstreams and the replicated state.

use std::time::Duration;

use fleet::{Authority, Target};
use state::{Command, Reply};
use tokio::time::timeout;
use types::{Fence, StepError, StepResult, UnixMillis, UpstreamName};

use crate::handle::CoreHandle;
use crate::request::{LeaderRequest, LeaderResponse};

/// The timeout for a quorum.
const QUORUM_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends requests to this member only, because only the leader may give orders to upstreams.
pub(crate) struct LeaderAuthority {
    pub(crate) core: CoreHandle,
}

impl LeaderAuthority {
    async fn request(
        &self,
        step: &'static str,
        request: LeaderRequest,
    ) -> StepResult<LeaderResponse> {
        match timeout(QUORUM_TIMEOUT, self.core.request(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => Err(StepError::new(step, error)),
            Err(elapsed) => Err(StepError::new(step, elapsed)),
        }
    }
}

impl Authority for LeaderAuthority {
    async fn fence(&self, upstream: &UpstreamName, target: &Target) -> StepResult<Fence> {
        let command = Command::Order {
            upstream: upstream.clone(),
            target: target.to_string(),
            at: UnixMillis::now(),
        };
        let response =
            self.request("commit order", LeaderRequest::Command(Box::new(command))).await?;
        match response {
            LeaderResponse::Reply(_, Reply::Fence(fence)) => Ok(fence),
            _ => Err(StepError::new("commit order", "unexpected reply").at(upstream)),
        }
    }

    async fn confirm(&self) -> StepResult<()> {
        self.request("confirm leadership", LeaderRequest::Read).await.map(|_| ())
    }
}
