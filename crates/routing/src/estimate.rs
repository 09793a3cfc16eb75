//! Estimates of service times in atomics: means, mean deviations and quantiles.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use crate::clock::{Micros, decay};

/// The weight of a new sample once there are many.
const MIN_WEIGHT: f64 = 1.0 / 12.0;

/// A floating-point number in an atomic.
#[derive(Debug, Default)]
pub(crate) struct AtomicF64(AtomicU64);

impl AtomicF64 {
    pub(crate) fn get(&self) -> f64 {
        f64::from_bits(self.0.load(Ordering::Relaxed))
    }

    pub(crate) fn set(&self, value: f64) {
        self.0.store(value.to_bits(), Ordering::Relaxed);
    }

    fn update(&self, change: impl Fn(f64) -> f64) {
        let step = |bits| Some(change(f64::from_bits(bits)).to_bits());
        let _ = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, step);
    }
}

/// An exponentially weighted mean and mean deviation. The prior expectation counts as the first
/// sample, and the estimate returns to it as the samples age. Otherwise an estimate that grew too
/// high would refuse the very calls that could correct it.
#[derive(Debug, Default)]
pub(crate) struct MovingMean {
    mean: AtomicF64,
    deviation: AtomicF64,
    count: AtomicU32,
    last_sample: AtomicU64,
}

impl MovingMean {
    /// Adds a sample.
    pub(crate) fn record(&self, sample: f64, prior: f64, now: Micros) {
        let count = self.count.fetch_add(1, Ordering::Relaxed);
        if count == 0 {
            self.mean.set(prior);
            self.deviation.set(prior / 2.0);
        }
        let weight = (1.0 / f64::from(count.saturating_add(2))).max(MIN_WEIGHT);
        let off = (sample - self.mean.get()).abs();
        self.mean.update(|it| it + weight * (sample - it));
        self.deviation.update(|it| it + weight * (off - it));
        self.last_sample.store(now, Ordering::Relaxed);
    }

    /// Returns the mean, which approaches `prior` as it ages, by half of the distance at
    /// `half_age`.
    pub(crate) fn get(&self, prior: f64, half_age: Micros, now: Micros) -> f64 {
        self.aged(self.mean.get(), prior, half_age, now)
    }

    /// Returns the mean at the last sample; 0 before the first.
    pub(crate) fn latest(&self) -> f64 {
        if self.count() == 0 { 0.0 } else { self.mean.get() }
    }

    /// Returns the mean deviation, which approaches half of `prior` as it ages.
    pub(crate) fn deviation(&self, prior: f64, half_age: Micros, now: Micros) -> f64 {
        self.aged(self.deviation.get(), prior / 2.0, half_age, now)
    }

    /// Returns the number of samples since the last reset.
    pub(crate) fn count(&self) -> u32 {
        self.count.load(Ordering::Relaxed)
    }

    /// Discards all samples.
    pub(crate) fn reset(&self) {
        self.count.store(0, Ordering::Relaxed);
    }

    fn aged(&self, value: f64, prior: f64, half_age: Micros, now: Micros) -> f64 {
        if self.count() == 0 {
            return prior;
        }
        let age = now.saturating_sub(self.last_sample.load(Ordering::Relaxed));
        prior + (value - prior) * decay(age, half_age)
    }
}

/// The number of buckets, which cover 100 us to 100 s.
const BUCKETS: usize = 100;
/// The lower edge of the first bucket.
const FIRST_EDGE_US: f64 = 100.0;
/// The ratio of adjacent edges. A quantile is off by this factor at most.
const BUCKET_RATIO: f64 = 1.15;
/// The number of samples at which all counts are halved, so that old samples lose weight.
const HALVING_SAMPLES: u32 = 1_024;
/// The number of samples from which quantiles are returned.
const MIN_SAMPLES: u32 = 20;

/// A histogram whose bucket edges have a constant ratio.
#[derive(Debug)]
pub(crate) struct Histogram {
    buckets: [AtomicU32; BUCKETS],
    count: AtomicU32,
}

impl Default for Histogram {
    fn default() -> Self {
        Self { buckets: [const { AtomicU32::new(0) }; BUCKETS], count: AtomicU32::new(0) }
    }
}

impl Histogram {
    /// Adds a sample. Returns the number of samples that count.
    pub(crate) fn record(&self, us: Micros) -> u32 {
        let index = ((us as f64 / FIRST_EDGE_US).max(1.0).ln() / BUCKET_RATIO.ln()) as usize;
        self.buckets[index.min(BUCKETS - 1)].fetch_add(1, Ordering::Relaxed);
        let count = self.count.fetch_add(1, Ordering::Relaxed) + 1;
        if count >= HALVING_SAMPLES {
            self.halve();
        }
        count
    }

    /// Returns the upper edge of the bucket that contains the quantile, or `None` if there are too
    /// few samples.
    pub(crate) fn quantile(&self, share: f64) -> Option<Micros> {
        let counts = self.buckets.each_ref().map(|it| it.load(Ordering::Relaxed));
        let total: u32 = counts.iter().sum();
        if total < MIN_SAMPLES {
            return None;
        }
        let rank = (f64::from(total) * share).ceil() as u32;
        let mut below = 0;
        let index = counts.iter().position(|it| {
            below += it;
            below >= rank
        });
        Some((FIRST_EDGE_US * BUCKET_RATIO.powi(index? as i32 + 1)) as Micros)
    }

    fn halve(&self) {
        let mut kept = 0;
        for bucket in &self.buckets {
            let half = bucket.load(Ordering::Relaxed) / 2;
            bucket.store(half, Ordering::Relaxed);
            kept += half;
        }
        self.count.store(kept, Ordering::Relaxed);
    }
}
