//! Learns by how much longer stages, or first events, take than forecast.
//!
//! Reports of owners are some hundred milliseconds old, all entries admit by the same ones, and the work of
//! requests that were admitted reaches later stages only later. How much that adds changes with the load, so
//! it is measured on the requests themselves.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::spread::Spread;

/// The time in which what was learned counts a third as much. Without that, an overrun that keeps all requests
/// from being admitted would never be corrected.
const MEMORY: Duration = Duration::from_secs(5);

/// By how much longer work took than forecast.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overrun {
    spread: Spread,
    learned: Option<Instant>,
}

impl Overrun {
    /// Learns from work that took this long, or longer.
    pub fn record(&mut self, forecast: Duration, took: Duration, now: Instant) {
        self.spread.record(took.saturating_sub(forecast));
        self.learned = Some(now);
    }

    /// Returns by how much longer than forecast work is to be expected to take: the mean and its spread.
    pub fn expected(&self, now: Instant) -> Duration {
        let (Some(upper), Some(learned)) = (self.spread.upper(), self.learned) else {
            return Duration::ZERO;
        };
        let age = now.saturating_duration_since(learned);
        upper.mul_f64((-age.as_secs_f64() / MEMORY.as_secs_f64()).exp())
    }
}

/// Whether pieces were forecast to go before those that are late, or behind all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Behind {
    Timely,
    All,
}

/// A forecast by which a request was admitted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Admitted {
    pub(crate) behind: Behind,
    /// How long its stages were expected to take, without what was learned.
    pub(crate) forecast: Duration,
    pub(crate) at: Instant,
}

/// The overruns of one kind of work, by service.
#[derive(Debug, Default)]
pub(crate) struct ServiceOverruns(Mutex<HashMap<Arc<str>, Overrun>>);

impl ServiceOverruns {
    /// Learns from work that took this long, or longer.
    pub(crate) fn record(&self, service: &Arc<str>, forecast: Duration, took: Duration) {
        let mut overruns = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let overrun = overruns.entry(Arc::clone(service)).or_default();
        overrun.record(forecast, took, Instant::now());
    }

    /// Returns by how much longer than forecast work is to be expected to take.
    pub(crate) fn expected(&self, service: &str) -> Duration {
        let overruns = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        overruns.get(service).map_or(Duration::ZERO, |it| it.expected(Instant::now()))
    }
}

/// The overruns of the stages before a service.
#[derive(Debug, Default)]
pub(crate) struct Overruns {
    timely: ServiceOverruns,
    all: ServiceOverruns,
}

impl Overruns {
    /// Learns from a request whose stages have ended, or were given up.
    pub(crate) fn record(&self, service: &Arc<str>, admitted: &Admitted) {
        let took = admitted.at.elapsed();
        self.of(admitted.behind).record(service, admitted.forecast, took);
    }

    /// Returns by how much longer than forecast stages are to be expected to take.
    pub(crate) fn expected(&self, service: &str, behind: Behind) -> Duration {
        self.of(behind).expected(service)
    }

    fn of(&self, behind: Behind) -> &ServiceOverruns {
        match behind {
            Behind::Timely => &self.timely,
            Behind::All => &self.all,
        }
    }
}
