//! Learns the mean of times and how far they spread around it, with the weights by which TCP smooths its
//! round-trip times (RFC 6298).

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// The weight of the newest time in the mean.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;

/// The weight of its distance from the mean in the deviation.
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;

/// How many deviations above the mean a time is usual.
const USUAL_DEVIATIONS: f64 = 4.0;

/// The times of one kind of work, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spread {
    mean: Option<f64>,
    deviation: f64,
}

impl Spread {
    /// Learns from a time.
    pub fn record(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        match &mut self.mean {
            None => (self.mean, self.deviation) = (Some(took), took / 2.0),
            Some(mean) => {
                self.deviation += DEVIATION_WEIGHT * ((took - *mean).abs() - self.deviation);
                *mean += MEAN_WEIGHT * (took - *mean);
            }
        }
    }

    /// Returns the mean; `None` before the first time.
    pub fn mean(&self) -> Option<Duration> {
        self.mean.map(Duration::from_secs_f64)
    }

    /// Returns the mean and one deviation; `None` before the first time.
    pub fn upper(&self) -> Option<Duration> {
        Some(Duration::from_secs_f64(self.mean? + self.deviation))
    }

    /// Returns the time within which nearly all end; `None` before the first one.
    pub fn usual(&self) -> Option<Duration> {
        let mean = self.mean?;
        Some(Duration::from_secs_f64(mean + USUAL_DEVIATIONS * self.deviation))
    }
}

/// The times by service.
#[derive(Debug, Default)]
pub(crate) struct ServiceTimes(Mutex<HashMap<Arc<str>, Spread>>);

impl ServiceTimes {
    /// Learns from a time of a service.
    pub(crate) fn record(&self, service: &Arc<str>, took: Duration) {
        let mut times = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match times.get_mut(service) {
            Some(it) => it.record(took),
            None => times.entry(Arc::clone(service)).or_default().record(took),
        }
    }

    /// Returns the times of a service.
    pub(crate) fn of(&self, service: &str) -> Spread {
        let times = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        times.get(service).copied().unwrap_or_default()
    }
}
