//! Poisson arrivals. They are drawn before the run, so that slow answers don't delay them.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::scenario::{Class, Scenario};

/// The minimum mean time between arrivals, in seconds.
const MIN_MEAN_SECS: f64 = 1e-6;

/// One arrival.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Arrival {
    /// The time since the start of the run.
    pub(super) at: Duration,
    /// The index of its class in the scenario.
    pub(super) class: usize,
}

/// Draws all arrivals of a scenario, ordered by time.
pub(super) fn schedule(scenario: &Scenario) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (number, class) in scenario.classes.iter().enumerate() {
        let mut rng = StdRng::seed_from_u64(scenario.seed.wrapping_mul(1_009) + number as u64);
        let times = times(class, scenario.length(), &mut rng);
        all.extend(times.into_iter().map(|at| Arrival { at, class: number }));
    }
    all.sort_by_key(|it| it.at);
    all
}

/// Draws arrivals at the highest rate of the class, and keeps each with the probability that gives
/// the rate of its time (thinning).
fn times(class: &Class, length: Duration, rng: &mut StdRng) -> Vec<Duration> {
    let bursts = class.bursts.iter().map(|it| it.rate.0);
    let max_rate = bursts.fold(class.rate.0, f64::max);
    let mut times = Vec::new();
    if max_rate <= 0.0 {
        return times;
    }
    let mean = (1.0 / max_rate).max(MIN_MEAN_SECS);
    let mut at = 0.0;
    loop {
        let share: f64 = rng.random();
        at += -(1.0 - share).ln() * mean;
        if at >= length.as_secs_f64() {
            return times;
        }
        let now = Duration::from_secs_f64(at);
        if rng.random::<f64>() * max_rate < class.rate_at(now) {
            times.push(now);
        }
    }
}
