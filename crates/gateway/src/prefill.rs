//! Learns how fast engines read prompts (prefill) from the times to their first events.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::dialect::Generation;

/// The time to a first event besides reading the prompt.
pub(crate) const FIRST_EVENT_OVERHEAD: Duration = Duration::from_millis(60);

/// The initial mean time to read a token, in ms: that of a usual large model.
const INITIAL_MEAN_MS: f64 = 0.03;

/// The initial time to read a token at an idle engine, in ms. It is low, so that a prompt stays
/// where its shared parts are until the real time is learned.
const INITIAL_UNLOADED_MS: f64 = 0.015;

/// The weight of the latest sample in the mean.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Prompts with fewer unshared tokens than this say little about the reading time and are skipped.
const MIN_TOKENS: u32 = 1_000;

/// The factor by which a prompt is expected to take longer than the mean: half of the prompts take
/// more than the mean.
const MEAN_MARGIN: f64 = 1.4;

/// Prompts with at least this many unshared tokens show how fast an idle engine reads: everything
/// else in their time to the first event is small beside it.
const LONG_PROMPT_TOKENS: u32 = 4_000;

/// The time to a first event besides reading at an idle engine, in ms: some steps and the network.
const UNLOADED_OVERHEAD_MS: f64 = 20.0;

/// The quantile of long prompts that is taken for the reading time of an idle engine: this share of
/// them is faster, because they met an idle engine.
const UNLOADED_QUANTILE: f64 = 0.2;

/// The largest relative step by which one prompt moves the estimate for an idle engine.
const QUANTILE_STEP: f64 = 0.3;

/// The times to read a token of a service, in ms.
#[derive(Clone, Copy, Debug)]
struct TokenTimes {
    /// The mean, including the wait for prompts that are read before.
    mean: f64,
    /// The time at an idle engine.
    unloaded: f64,
}

impl Default for TokenTimes {
    fn default() -> Self {
        Self { mean: INITIAL_MEAN_MS, unloaded: INITIAL_UNLOADED_MS }
    }
}

/// The times to read a token, by service.
#[derive(Debug, Default)]
pub struct PrefillTimes(Mutex<HashMap<Arc<str>, TokenTimes>>);

impl PrefillTimes {
    /// Learns from the time between sending a request and its first event.
    pub fn record(&self, service: &Arc<str>, generation: &Generation, took: Duration) {
        let tokens = own_tokens(generation);
        if tokens < MIN_TOKENS {
            return;
        }
        let sample =
            took.saturating_sub(FIRST_EVENT_OVERHEAD).as_secs_f64() * 1e3 / f64::from(tokens);
        let mut by_service = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let times = by_service.entry(Arc::clone(service)).or_default();
        times.mean += SAMPLE_WEIGHT * (sample - times.mean);
        if tokens < LONG_PROMPT_TOKENS {
            return;
        }
        let unloaded = (took.as_secs_f64() * 1e3 - UNLOADED_OVERHEAD_MS) / f64::from(tokens);
        // With steps of these sizes the estimate settles where `UNLOADED_QUANTILE` of the samples
        // are faster.
        times.unloaded *= match unloaded < times.unloaded {
            true => 1.0 - QUANTILE_STEP * (1.0 - UNLOADED_QUANTILE),
            false => 1.0 + QUANTILE_STEP * UNLOADED_QUANTILE,
        };
    }

    /// Returns the learned time to read a token at an idle engine, in ms.
    pub fn token_ms(&self, service: &str) -> f64 {
        self.times(service).unloaded
    }

    /// Returns the time to the first event of a prompt at an idle engine. Used for admission: with
    /// the mean, long prompts would count as late before they begin, and would be refused in a
    /// burst although their callers could be served.
    pub fn unloaded_first_event(&self, service: &str, generation: &Generation) -> Duration {
        let read_ms = f64::from(own_tokens(generation)) * self.token_ms(service);
        FIRST_EVENT_OVERHEAD + Duration::from_secs_f64(read_ms / 1e3)
    }

    fn times(&self, service: &str) -> TokenTimes {
        let by_service = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        by_service.get(service).copied().unwrap_or_default()
    }

    /// Returns the likely time to the first event of a prompt, including the wait for prompts that
    /// are read before it. Used to order pieces: a long prompt needs its inputs sooner.
    pub fn expected_first_event(&self, service: &str, generation: &Generation) -> Duration {
        let read_ms = f64::from(own_tokens(generation)) * self.times(service).mean * MEAN_MARGIN;
        FIRST_EVENT_OVERHEAD + Duration::from_secs_f64(read_ms / 1e3)
    }
}

/// Returns the number of tokens that no other request shares: those of the last part of the prompt.
fn own_tokens(generation: &Generation) -> u32 {
    generation.parts.last().map_or(generation.prompt, |it| it.tokens)
}
