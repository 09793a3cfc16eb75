//! A small random number generator for election timeouts.

use types::NodeId;

/// A splitmix64 generator. Timeouts need an even spread, not secrecy.
#[derive(Clone, Debug)]
pub(crate) struct Random(u64);

impl Random {
    /// Mixes the id into the seed, so that nodes with the same seed draw different timeouts.
    pub(crate) fn new(seed: u64, id: NodeId) -> Self {
        Self(seed ^ id.0.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }

    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Draws a timeout from `base` to just below twice `base`.
    pub(crate) fn timeout(&mut self, base: u32) -> u32 {
        let spread = u64::from(base.max(1));
        base + u32::try_from(self.next() % spread).unwrap_or(0)
    }
}
