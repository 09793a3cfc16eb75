//! The state that an upstream should have loaded.

use std::fmt;

use serde::{Deserialize, Serialize};
use types::{ModelName, Service, Upstream};

/// The absolute target of an order: it states the desired state, not a change, so that sending it
/// again is idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The model.
    pub model: ModelName,
    /// The version of its weights.
    pub version: String,
    /// The adapters loaded with it, sorted.
    pub adapters: Vec<String>,
    /// The role; empty if the service sets none.
    pub role: String,
}

impl Target {
    /// Returns what `upstream` should have loaded, or `None` if the service does not control it.
    pub fn of(service: &Service, upstream: &Upstream) -> Option<Self> {
        let name = upstream.model.as_ref()?;
        let model = service.models.get(name)?;
        let mut adapters = model.adapters.clone();
        adapters.sort();
        let role = upstream.role.clone().unwrap_or_default();
        Some(Self { model: name.clone(), version: model.version.clone(), adapters, role })
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "model {} version {}", self.model, self.version)?;
        if !self.adapters.is_empty() {
            write!(f, " adapters {}", self.adapters.join(","))?;
        }
        if !self.role.is_empty() {
            write!(f, " role {}", self.role)?;
        }
        Ok(())
    }
}
