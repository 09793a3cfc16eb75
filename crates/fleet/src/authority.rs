//! The interface to the replicated state that orders need.

use std::future::Future;

use types::{Fence, StepResult, UpstreamName};

use crate::Target;

/// The part of the replicated state that orders need. Both calls fail once this member does not
/// lead.
pub trait Authority: Send + Sync + 'static {
    /// Commits an order in the log and returns its fencing number, which is higher than that of any
    /// order committed before it.
    ///
    /// # Errors
    /// Returns an error if the order is not known to be committed; its number may then be lost.
    fn fence(
        &self,
        upstream: &UpstreamName,
        target: &Target,
    ) -> impl Future<Output = StepResult<Fence>> + Send;

    /// Asks a quorum, after this call began, whether this member still leads.
    ///
    /// # Errors
    /// Returns an error if it does not lead, or if no quorum answers.
    fn confirm(&self) -> impl Future<Output = StepResult<()>> + Send;
}
