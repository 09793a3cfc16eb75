//! Learns how large results are compared with what is announced.

use std::collections::HashMap;

use super::account::Comparison;

/// The weight of the latest report where it shows that results are larger than expected.
const LARGER_WEIGHT: f64 = 0.5;

/// The same where they are smaller. Space that stays unused costs less than results without space,
/// which are made again.
const SMALLER_WEIGHT: f64 = 0.25;

/// By how much a result that found no space raises the expected size, as a share of the announced
/// one. Sizes vary, so that a call that is filled by their mean has some results too many.
const REFUSAL_STEP: f64 = 0.02;

/// An error of an account beyond this share of it is not one of sizes: others use the space.
const MAX_ERROR: f64 = 0.4;

/// The bounds of what is learned.
const BOUNDS: (f64, f64) = (0.7, 1.5);

/// The most sizes that are kept; others count as announced.
const MAX_SIZES: usize = 64;

/// The ratio of real to announced size, by announced size.
#[derive(Clone, Debug, Default)]
pub(super) struct Sizes(HashMap<u64, f64>);

impl Sizes {
    /// Returns the expected size of a result. One that is announced to fit into the `space` of an
    /// upstream is expected to fit.
    pub(super) fn expected(&self, announced: u64, space: u64) -> u64 {
        let Some(ratio) = self.0.get(&announced) else { return announced };
        ((announced as f64 * ratio) as u64).min(space.max(announced))
    }

    /// Learns from a report: attributes the error to sizes by what they take.
    pub(super) fn learn(&mut self, comparison: &Comparison) {
        let error = comparison.error as f64;
        let stored = comparison.by_size.values().map(|it| *it as f64);
        let (sum, squares) = stored.fold((0.0, 0.0), |(a, b), it| (a + it, b + it * it));
        if squares == 0.0 || error.abs() > sum * MAX_ERROR {
            return;
        }
        let weight = if error > 0.0 { LARGER_WEIGHT } else { SMALLER_WEIGHT };
        for (size, bytes) in &comparison.by_size {
            if self.0.len() >= MAX_SIZES && !self.0.contains_key(size) {
                continue;
            }
            self.add(*size, weight * error * *bytes as f64 / squares);
        }
    }

    /// Records that a result found no space although the account had some.
    pub(super) fn record_refusal(&mut self, announced: u64) {
        if self.0.contains_key(&announced) {
            self.add(announced, REFUSAL_STEP);
        }
    }

    fn add(&mut self, announced: u64, step: f64) {
        let ratio = self.0.entry(announced).or_insert(1.0);
        *ratio = (*ratio + step).clamp(BOUNDS.0, BOUNDS.1);
    }
}
