//! The replicated state: the plan with the highest committed version.

use serde::{Deserialize, Serialize};
use types::Version;

/// A command in the replicated log, which replaces the plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutPlan {
    /// The version of the plan.
    pub version: Version,
    /// The text of the plan, as the operator sent it.
    pub text: Vec<u8>,
}

/// The stored plan.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredPlan {
    /// The version of the plan; zero if there is none.
    pub version: Version,
    /// The text of the plan.
    pub text: Vec<u8>,
}

impl StoredPlan {
    /// Applies a committed command; returns whether it replaced the plan. A version that is not higher
    /// changes nothing, so that a repeated or late command can't restore an older plan.
    pub fn apply(&mut self, put: PutPlan) -> bool {
        if put.version <= self.version {
            return false;
        }
        *self = StoredPlan { version: put.version, text: put.text };
        true
    }
}
