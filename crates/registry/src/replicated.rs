//! The replicated state of a deployment, and the commands that change it.

use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use types::{StepError, StepResult, Version};

use crate::digest::RequestDigest;
use crate::evacuation::{Evacuations, Order};
use crate::folder::{decode, encode};
use crate::plan::{PutPlan, StoredPlan};
use crate::quarantine::{Hold, Holds};

/// A command in the replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    /// Replaces the plan.
    PutPlan(PutPlan),
    /// Evacuates a failure domain, or withdraws that.
    Evacuation(Order),
    /// Stores a held request.
    Hold(Hold),
    /// Removes a held request.
    Release(RequestDigest),
}

/// The content of a command that is no plan. New variants are added at the end.
#[derive(Serialize, Deserialize)]
enum Extension {
    Evacuation(Order),
}

/// The version of the plan in whose place a command carries an [`Extension`]. Earlier releases, which
/// know plans only, ignore a plan with this version.
const EXTENSION_VERSION: Version = Version(0);

/// The content of a command about held requests. New variants are added at the end.
#[derive(Serialize, Deserialize)]
enum HoldChange {
    Hold(Hold),
    Release(RequestDigest),
}

/// The first byte of the text of a command that carries a [`HoldChange`]; no plan begins with it.
const HOLD_MARK: u8 = 0;

/// The version of such a command. Earlier releases take it for a plan that is not newer than the stored one,
/// and ignore it, as long as one is stored.
const HOLD_VERSION: Version = Version(1);

impl Command {
    /// Encodes the command for the log.
    pub(crate) fn encode(&self) -> Vec<u8> {
        match self {
            Self::PutPlan(put) => encode(put),
            Self::Evacuation(order) => {
                let text = encode(&Extension::Evacuation(order.clone()));
                encode(&PutPlan { version: EXTENSION_VERSION, text })
            }
            Self::Hold(hold) => encode_change(&HoldChange::Hold(*hold)),
            Self::Release(digest) => encode_change(&HoldChange::Release(*digest)),
        }
    }

    /// Decodes a command of the log.
    ///
    /// # Errors
    /// Fails if the bytes are no command of this release.
    pub(crate) fn decode(bytes: &[u8]) -> StepResult<Self> {
        let put: PutPlan = decode(bytes)?;
        if let (HOLD_VERSION, Some((&HOLD_MARK, change))) = (put.version, put.text.split_first()) {
            return Ok(match decode(change)? {
                HoldChange::Hold(hold) => Self::Hold(hold),
                HoldChange::Release(digest) => Self::Release(digest),
            });
        }
        if put.version != EXTENSION_VERSION {
            return Ok(Self::PutPlan(put));
        }
        let Extension::Evacuation(order) = decode(&put.text)?;
        Ok(Self::Evacuation(order))
    }
}

fn encode_change(change: &HoldChange) -> Vec<u8> {
    let text = std::iter::once(HOLD_MARK).chain(encode(change)).collect();
    encode(&PutPlan { version: HOLD_VERSION, text })
}

/// The state that all members agree on.
#[derive(Clone, Debug, Default)]
pub(crate) struct Replicated {
    pub(crate) plan: Arc<StoredPlan>,
    pub(crate) evacuations: Arc<Evacuations>,
    pub(crate) holds: Arc<Holds>,
}

impl Replicated {
    /// Encodes the state for a snapshot. Earlier releases read the plan, or the plan and the evacuations.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = encode(&*self.plan);
        bytes.extend(encode(&*self.evacuations));
        bytes.extend(encode(&*self.holds));
        bytes
    }

    /// Decodes a snapshot. One of an earlier release ends after the plan, or after the evacuations.
    ///
    /// # Errors
    /// Fails if the bytes are no snapshot.
    pub(crate) fn decode(bytes: &[u8]) -> StepResult<Self> {
        let fault = |e| StepError::new("decode snapshot", e);
        let (plan, rest) = postcard::take_from_bytes::<StoredPlan>(bytes).map_err(fault)?;
        let (evacuations, rest) = take_or_default(rest)?;
        let (holds, _) = take_or_default(rest)?;
        let (evacuations, holds) = (Arc::new(evacuations), Arc::new(holds));
        Ok(Self { plan: Arc::new(plan), evacuations, holds })
    }

    /// Applies a committed command; returns whether it changed anything.
    pub(crate) fn apply(&mut self, command: &Command) -> bool {
        match command {
            Command::PutPlan(put) => Arc::make_mut(&mut self.plan).apply(put.clone()),
            Command::Evacuation(order) => {
                Arc::make_mut(&mut self.evacuations).apply(order.clone());
                true
            }
            Command::Hold(hold) => {
                Arc::make_mut(&mut self.holds).hold(*hold);
                true
            }
            Command::Release(digest) => {
                Arc::make_mut(&mut self.holds).release(*digest);
                true
            }
        }
    }
}

/// Decodes the next part of a snapshot; the default one where the snapshot ends before it.
fn take_or_default<T: DeserializeOwned + Default>(bytes: &[u8]) -> StepResult<(T, &[u8])> {
    if bytes.is_empty() {
        return Ok((T::default(), bytes));
    }
    postcard::take_from_bytes(bytes).map_err(|e| StepError::new("decode snapshot", e))
}

#[cfg(test)]
mod tests;
