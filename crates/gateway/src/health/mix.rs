//! Which part of a service's requests may be trials.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

/// How many requests are remembered; older ones count less.
const REMEMBERED: u32 = 256;

/// How many requests of either kind an entry assumes before the first.
const ASSUMED: f64 = 2.0;

/// The requests of each service to this entry. Only some may be trials; they have to make up the
/// rate of trials alone.
#[derive(Debug, Default)]
pub struct Mix(Mutex<HashMap<Arc<str>, Counts>>);

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    all: u32,
    repeatable: u32,
}

impl Mix {
    /// Counts a request of a service; returns the share of those that may be trials.
    pub fn record(&self, service: &Arc<str>, is_repeatable: bool) -> f64 {
        let mut counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let it = match counts.get_mut(service) {
            Some(it) => it,
            None => counts.entry(Arc::clone(service)).or_default(),
        };
        it.all += 1;
        it.repeatable += u32::from(is_repeatable);
        if it.all >= REMEMBERED {
            (it.all, it.repeatable) = (it.all / 2, it.repeatable / 2);
        }
        (f64::from(it.repeatable) + ASSUMED) / (f64::from(it.all) + ASSUMED)
    }
}
