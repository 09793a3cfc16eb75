//! The retry budget, which limits retries and hedges to a small share of new calls.

use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};

/// The units of the budget that make one token, so that a call can earn a fraction of a token.
const UNITS_PER_TOKEN: i64 = 1_000;

/// The tokens of a pool. Unlimited retries multiply the load just when upstreams fail, and the
/// added load keeps them failing. Retries limited to a share of new calls cannot do this.
#[derive(Debug, Default)]
pub(crate) struct Budget {
    left: AtomicI64,
    filled: AtomicBool,
}

impl Budget {
    /// Fills the budget on the first call.
    pub(crate) fn fill(&self, tokens: u32) {
        if tokens > 0 && !self.filled.swap(true, Ordering::Relaxed) {
            self.left.store(i64::from(tokens) * UNITS_PER_TOKEN, Ordering::Relaxed);
        }
    }

    /// Adds the share of a token that one new call earns, up to `cap` tokens.
    pub(crate) fn earn(&self, share: f64, cap: u32) {
        let max = i64::from(cap) * UNITS_PER_TOKEN;
        if self.left.load(Ordering::Relaxed) < max {
            self.left.fetch_add((share * UNITS_PER_TOKEN as f64) as i64, Ordering::Relaxed);
        }
    }

    /// Returns a token to the budget.
    pub(crate) fn refund(&self) {
        self.left.fetch_add(UNITS_PER_TOKEN, Ordering::Relaxed);
    }

    /// Returns whether a token is left.
    pub(crate) fn has_token(&self) -> bool {
        self.left.load(Ordering::Relaxed) >= UNITS_PER_TOKEN
    }

    /// Takes a token. Returns whether there was one.
    pub(crate) fn take(&self) -> bool {
        let step = |left| (left >= UNITS_PER_TOKEN).then_some(left - UNITS_PER_TOKEN);
        self.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, step).is_ok()
    }
}
