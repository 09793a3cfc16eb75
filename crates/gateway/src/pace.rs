//! How fast engines read prompts, learned from their first events.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::dialect::Generation;

/// What an engine takes to a first event besides reading.
const BASE: Duration = Duration::from_millis(60);

/// The time to read a token until one is learned, in ms: a usual large model.
const FIRST_GUESS: f64 = 0.03;

/// The weight of the latest first event.
const WEIGHT: f64 = 0.05;

/// Prompts below this many tokens of their own tell little about reading.
const LEAST_TOKENS: u32 = 1_000;

/// How much longer than the mean a prompt is taken to need: half of them need more than the mean.
const MARGIN: f64 = 1.4;

/// The time to read a token by service, in ms.
#[derive(Debug, Default)]
pub(crate) struct Paces(Mutex<HashMap<Arc<str>, f64>>);

impl Paces {
    /// Notes the time from a request's sending to its first event.
    pub(crate) fn learn(&self, service: &Arc<str>, generation: &Generation, took: Duration) {
        let tokens = own_tokens(generation);
        if tokens < LEAST_TOKENS {
            return;
        }
        let seen = took.saturating_sub(BASE).as_secs_f64() * 1e3 / f64::from(tokens);
        let mut paces = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let pace = paces.entry(Arc::clone(service)).or_insert(FIRST_GUESS);
        *pace += WEIGHT * (seen - *pace);
    }

    /// How long a prompt is likely to take to its first event.
    pub(crate) fn first_event(&self, service: &str, generation: &Generation) -> Duration {
        let paces = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let pace = paces.get(service).copied().unwrap_or(FIRST_GUESS);
        let read = f64::from(own_tokens(generation)) * pace * MARGIN;
        BASE + Duration::from_secs_f64(read / 1e3)
    }
}

/// The tokens that no other request shares: the last part of the prompt.
fn own_tokens(generation: &Generation) -> u32 {
    generation.parts.last().map_or(generation.prompt, |it| it.tokens)
}
