//! How fast engines read prompts, learned from their first events.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::dialect::Generation;

/// What an engine takes to a first event besides reading.
pub(crate) const FIRST_STEP: Duration = Duration::from_millis(60);

/// The time to read a token until one is learned, in ms: a usual large model.
const FIRST_GUESS: f64 = 0.03;

/// The time to read a token by itself until one is learned, in ms. Low: where it is not known yet, a
/// prompt stays where its shared parts are.
const FIRST_BARE: f64 = 0.015;

/// The weight of the latest first event.
const WEIGHT: f64 = 0.05;

/// Prompts below this many tokens of their own tell little about reading.
const LEAST_TOKENS: u32 = 1_000;

/// How much longer than the mean a prompt is taken to need: half of them need more than the mean.
const MARGIN: f64 = 1.4;

/// Prompts of at least this many tokens of their own show how fast an engine reads by itself: what else
/// goes into their first event is small beside it.
const LONG_TOKENS: u32 = 4_000;

/// What a first event takes besides reading where nothing else runs, in ms: some steps and the way.
const BARE_MS: f64 = 20.0;

/// The share of long prompts that are read faster than the bare time: those that met an idle engine.
const QUICK_SHARE: f64 = 0.2;

/// By which factor the bare time moves at most with one prompt.
const QUICK_STEP: f64 = 0.3;

/// The time to read a token of a service, in ms.
#[derive(Clone, Copy, Debug)]
struct Pace {
    /// In the mean, with what was read before it.
    mean: f64,
    /// By itself.
    bare: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Self { mean: FIRST_GUESS, bare: FIRST_BARE }
    }
}

/// The time to read a token by service.
#[derive(Debug, Default)]
pub struct Paces(Mutex<HashMap<Arc<str>, Pace>>);

impl Paces {
    /// Notes the time from a request's sending to its first event.
    pub fn learn(&self, service: &Arc<str>, generation: &Generation, took: Duration) {
        let tokens = own_tokens(generation);
        if tokens < LEAST_TOKENS {
            return;
        }
        let seen = took.saturating_sub(FIRST_STEP).as_secs_f64() * 1e3 / f64::from(tokens);
        let mut paces = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let pace = paces.entry(Arc::clone(service)).or_default();
        pace.mean += WEIGHT * (seen - pace.mean);
        if tokens < LONG_TOKENS {
            return;
        }
        let bare = (took.as_secs_f64() * 1e3 - BARE_MS) / f64::from(tokens);
        // Steps of these sizes settle where the share of faster ones is the one that is meant.
        pace.bare *= match bare < pace.bare {
            true => 1.0 - QUICK_STEP * (1.0 - QUICK_SHARE),
            false => 1.0 + QUICK_STEP * QUICK_SHARE,
        };
    }

    /// The time to read a token by itself, in ms, as learned so far.
    pub fn token_ms(&self, service: &str) -> f64 {
        self.pace(service).bare
    }

    /// How long a prompt takes to its first event where nothing runs before it. For admission: with the
    /// mean, long prompts count as late before they begin, and are refused in a burst though they are
    /// worth the most.
    pub fn least(&self, service: &str, generation: &Generation) -> Duration {
        let read = f64::from(own_tokens(generation)) * self.token_ms(service);
        FIRST_STEP + Duration::from_secs_f64(read / 1e3)
    }

    fn pace(&self, service: &str) -> Pace {
        let paces = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        paces.get(service).copied().unwrap_or_default()
    }

    /// How long a prompt is likely to take to its first event, with what is read before it. For the order
    /// of pieces: a long prompt needs its inputs sooner.
    pub fn first_event(&self, service: &str, generation: &Generation) -> Duration {
        let read = f64::from(own_tokens(generation)) * self.pace(service).mean * MARGIN;
        FIRST_STEP + Duration::from_secs_f64(read / 1e3)
    }
}

/// The tokens that no other request shares: the last part of the prompt.
fn own_tokens(generation: &Generation) -> u32 {
    generation.parts.last().map_or(generation.prompt, |it| it.tokens)
}
