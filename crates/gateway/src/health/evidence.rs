//! The statistical rules by which an upstream is found to fail, and to be sound again.

use std::fmt;
use std::num::ParseFloatError;
use std::str::FromStr;

use registry::outcomes::{History, Outcomes};

/// The fewest outcomes from which a rate is derived.
const MIN_OUTCOMES: u32 = 10;

/// The standard deviations between the rate of an upstream and the lower bound of what it may be,
/// and between the rate of the others and its upper bound. An upstream is judged ten times a
/// second.
const DEVIATIONS: f64 = 3.0;
const USUAL_DEVIATIONS: f64 = 1.5;

/// How far the lower bound must be above the upper one.
const MARGIN: f64 = 0.03;

/// In how many moments an upstream must have failed.
const MIN_MOMENTS: u32 = 4;

/// The least and the greatest rate that a sound upstream counts as having.
const USUAL_RATES: (f64, f64) = (0.02, 0.5);

/// How far the rate of one that fails is above that of a sound one, at least, and the greatest
/// rate.
const MIN_EXCESS: f64 = 0.2;
const MAX_RATE: f64 = 0.95;

/// How much likelier outcomes must be at a sound upstream than at a failing one to show that it is
/// sound, as a logarithm. Of 60 runs of outcomes at a failing one, about one shows the same.
const SOUND_EVIDENCE: f64 = 4.1;

/// A share of failures among requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Rate(pub f64);

impl Rate {
    /// Returns the share of `part` in `whole`.
    pub fn of(part: u32, whole: u32) -> Self {
        Self(f64::from(part) / f64::from(whole.max(1)))
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}", self.0)
    }
}

impl FromStr for Rate {
    type Err = ParseFloatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// Returns the bound of the rate of which `bad` of `count` outcomes are a sample, by Wilson's score
/// interval: the lower one of some negative `deviations`, or the upper one of some positive ones.
pub fn bound(bad: u32, count: u32, deviations: f64) -> Rate {
    let (n, z2) = (f64::from(count.max(1)), deviations * deviations);
    let p = Rate::of(bad, count).0;
    let center = p + z2 / (2.0 * n);
    let spread = deviations * (p * (1.0 - p) / n + z2 / (4.0 * n * n)).sqrt();
    Rate(((center + spread) / (1.0 + z2 / n)).clamp(0.0, 1.0))
}

/// Which outcomes count as bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    Failed,
    /// Slow ones too.
    Bad,
}

impl Kind {
    fn count(self, outcomes: Outcomes) -> u32 {
        match self {
            Self::Failed => outcomes.failed,
            Self::Bad => outcomes.bad(),
        }
    }

    /// Returns by how much the lower bound of an upstream's rate exceeds the rate of the others, if
    /// it is enough to pass it over.
    pub(super) fn excess(self, own: Outcomes, others: Outcomes, moments: u32) -> Option<Excess> {
        let is_enough =
            own.count() >= MIN_OUTCOMES && others.count() >= MIN_OUTCOMES && moments >= MIN_MOMENTS;
        if !is_enough {
            return None;
        }
        let usual = Rate::of(self.count(others), others.count());
        let rate = Rate::of(self.count(own), own.count());
        let least = bound(self.count(own), own.count(), -DEVIATIONS);
        let greatest = bound(self.count(others), others.count(), USUAL_DEVIATIONS);
        let over = least.0 - greatest.0;
        (over >= MARGIN).then_some(Excess { over, rate, usual })
    }
}

/// How much more often an upstream fails than others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Excess {
    /// By how much the lower bound of its rate is above the upper one of the others.
    pub(super) over: f64,
    pub(super) rate: Rate,
    /// The rate of the others.
    pub(super) usual: Rate,
}

/// What the outcomes since an upstream was passed over show.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Recovery {
    /// How much likelier they are at a sound upstream, as a logarithm.
    evidence: f64,
}

impl Recovery {
    /// Judges the outcomes since there were `count`, at an upstream that failed at `rate` where
    /// `usual` is the rate of the others. Evidence that it fails is not kept beyond the next sound
    /// outcomes.
    pub(super) fn of(history: History, count: u32, rate: Rate, usual: Rate) -> Self {
        let usual = usual.0.clamp(USUAL_RATES.0, USUAL_RATES.1);
        let rate = rate.0.max(usual + MIN_EXCESS).min(MAX_RATE);
        let (sound, bad) = (((1.0 - usual) / (1.0 - rate)).ln(), (usual / rate).ln());
        let add = |it: f64, is_bad| (it + if is_bad { bad } else { sound }).max(0.0);
        Self { evidence: history.since(count).fold(0.0, add) }
    }

    /// Returns the share of the evidence that is needed.
    pub(super) fn progress(self) -> f64 {
        self.evidence / SOUND_EVIDENCE
    }

    /// Returns whether the upstream is sound again.
    pub(super) fn is_sound(self) -> bool {
        self.evidence >= SOUND_EVIDENCE
    }
}
