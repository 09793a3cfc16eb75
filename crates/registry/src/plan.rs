//! The replicated state: the plan with the highest version that was ever committed.

use serde::{Deserialize, Serialize};
use types::Version;

/// A command of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// The version of the plan.
    pub version: Version,
    /// Its text, as the operator sent it.
    pub text: Vec<u8>,
}

/// The plan that is held.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Its version; zero where there is none.
    pub version: Version,
    /// Its text.
    pub text: Vec<u8>,
}

impl Held {
    /// Takes a committed command; returns whether it replaced the plan. A plan whose version is
    /// not higher changes nothing, so that one that arrives again or late can't bring back what
    /// was overtaken.
    pub fn apply(&mut self, put: Put) -> bool {
        if put.version <= self.version {
            return false;
        }
        *self = Held { version: put.version, text: put.text };
        true
    }
}
