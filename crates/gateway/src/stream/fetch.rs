//! Decides when the inputs of a request are released: once its engine has fetched them.
//!
//! An engine fetches the inputs before it reads the prompt, and says nothing of it. Under load the
//! space that they take until the first event keeps other requests waiting.

use std::collections::HashMap;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::{Instant, timeout};

use super::Streams;
use crate::dialect::Dialect;
use crate::stages::Inputs;

#[cfg(test)]
mod tests;

/// How long an engine takes to fetch the inputs of a request that was sent to it. At 10 Gbit/s a
/// fetch takes some ms, but several engines may fetch from one upstream at once.
const FETCH_TIME: Duration = Duration::from_millis(100);

/// How often it is checked whether the request was sent, while it waits for a connection.
const SENT_INTERVAL: Duration = Duration::from_millis(20);

/// The longest time that is learned for a fetch.
const MAX_FETCH_TIME: Duration = Duration::from_millis(1_600);

/// How long a learned time is valid.
const LEARNED_LIFETIME: Duration = Duration::from_secs(10);

/// The times that engines take to fetch inputs, by service.
#[derive(Debug, Default)]
pub(crate) struct FetchTimes(Mutex<HashMap<Arc<str>, Learned>>);

#[derive(Clone, Copy, Debug)]
struct Learned {
    time: Duration,
    until: Instant,
}

impl FetchTimes {
    /// Returns after which time the engines of a service have fetched the inputs of a request.
    fn expected(&self, service: &str, now: Instant) -> Duration {
        let times = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        times.get(service).filter(|it| now < it.until).map_or(FETCH_TIME, |it| it.time)
    }

    /// Records that an engine lacked an input that was released after the expected time.
    pub(super) fn record_lack(&self, service: &Arc<str>, now: Instant) {
        let time = (self.expected(service, now) * 2).min(MAX_FETCH_TIME);
        log::info!(service:% = service, ms = time.as_millis() as u64;
            "an engine had not fetched an input that was released; inputs are kept for longer");
        let mut times = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        times.insert(Arc::clone(service), Learned { time, until: now + LEARNED_LIFETIME });
    }
}

impl<D: Dialect> Streams<D> {
    /// Waits for the outcome of a call. Releases the request's inputs if the engine has fetched
    /// them by then, and upstreams are short of space for results. `sent` tells whether the request
    /// was sent.
    pub(super) async fn release_fetched<T>(
        &self,
        call: impl Future<Output = T>,
        service: &str,
        inputs: Option<&mut Inputs<D>>,
        sent: &AtomicBool,
    ) -> T {
        let mut call = pin!(call);
        let Some(inputs) = inputs else { return call.await };
        while !sent.load(Ordering::Relaxed) {
            if let Ok(outcome) = timeout(SENT_INTERVAL, &mut call).await {
                return outcome;
            }
        }
        let fetch_time = self.fetch_times.expected(service, Instant::now());
        if let Ok(outcome) = timeout(fetch_time, &mut call).await {
            return outcome;
        }
        inputs.release_early();
        call.await
    }
}
