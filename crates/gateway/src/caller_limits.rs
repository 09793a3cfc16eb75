//! The limits on callers of the plan in force, as connections read them.

use std::sync::Arc;

use arc_swap::ArcSwap;

use crate::plan::Limits;

/// The smallest read buffer of a connection, in bytes.
const MIN_BUFFER_BYTES: usize = 32 << 10;

/// The largest read buffer of a connection, in bytes.
const MAX_BUFFER_BYTES: usize = 2 << 20;

/// The limits in force; the defaults until a plan is known.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallerLimits(Arc<ArcSwap<Limits>>);

impl CallerLimits {
    /// Returns the limits in force.
    pub(crate) fn get(&self) -> Limits {
        **self.0.load()
    }

    /// Replaces the limits.
    pub(crate) fn set(&self, limits: Limits) {
        self.0.store(Arc::new(limits));
    }
}

/// Returns the size of the read buffer that takes the largest head with room to spare, in bytes.
pub(crate) fn buffer_bytes(limits: &Limits) -> usize {
    limits.header_bytes.saturating_mul(2).clamp(MIN_BUFFER_BYTES, MAX_BUFFER_BYTES)
}
