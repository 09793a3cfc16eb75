//! The replicated state of a deployment, and the commands that change it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use types::{StepError, StepResult, Version};

use crate::evacuation::{Evacuations, Order};
use crate::folder::{decode, encode};
use crate::plan::{PutPlan, StoredPlan};

/// A command in the replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    /// Replaces the plan.
    PutPlan(PutPlan),
    /// Evacuates a failure domain, or withdraws that.
    Evacuation(Order),
}

/// The content of a command that is no plan. New variants are added at the end.
#[derive(Serialize, Deserialize)]
enum Extension {
    Evacuation(Order),
}

/// The version of the plan in whose place a command carries an [`Extension`]. Earlier releases, which
/// know plans only, ignore a plan with this version.
const EXTENSION_VERSION: Version = Version(0);

impl Command {
    /// Encodes the command for the log.
    pub(crate) fn encode(&self) -> Vec<u8> {
        match self {
            Self::PutPlan(put) => encode(put),
            Self::Evacuation(order) => {
                let text = encode(&Extension::Evacuation(order.clone()));
                encode(&PutPlan { version: EXTENSION_VERSION, text })
            }
        }
    }

    /// Decodes a command of the log.
    ///
    /// # Errors
    /// Fails if the bytes are no command of this release.
    pub(crate) fn decode(bytes: &[u8]) -> StepResult<Self> {
        let put: PutPlan = decode(bytes)?;
        if put.version != EXTENSION_VERSION {
            return Ok(Self::PutPlan(put));
        }
        let Extension::Evacuation(order) = decode(&put.text)?;
        Ok(Self::Evacuation(order))
    }
}

/// The state that all members agree on.
#[derive(Clone, Debug, Default)]
pub(crate) struct Replicated {
    pub(crate) plan: Arc<StoredPlan>,
    pub(crate) evacuations: Arc<Evacuations>,
}

impl Replicated {
    /// Encodes the state for a snapshot. The plan comes first: earlier releases read only that.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = encode(&*self.plan);
        bytes.extend(encode(&*self.evacuations));
        bytes
    }

    /// Decodes a snapshot. One of an earlier release ends after the plan.
    ///
    /// # Errors
    /// Fails if the bytes are no snapshot.
    pub(crate) fn decode(bytes: &[u8]) -> StepResult<Self> {
        let fault = |e| StepError::new("decode snapshot", e);
        let (plan, rest) = postcard::take_from_bytes::<StoredPlan>(bytes).map_err(fault)?;
        let evacuations = if rest.is_empty() { Evacuations::default() } else { decode(rest)? };
        Ok(Self { plan: Arc::new(plan), evacuations: Arc::new(evacuations) })
    }

    /// Applies a committed command; returns whether it changed anything.
    pub(crate) fn apply(&mut self, command: &Command) -> bool {
        match command {
            Command::PutPlan(put) => Arc::make_mut(&mut self.plan).apply(put.clone()),
            Command::Evacuation(order) => {
                Arc::make_mut(&mut self.evacuations).apply(order.clone());
                true
            }
        }
    }
}

#[cfg(test)]
mod tests;
