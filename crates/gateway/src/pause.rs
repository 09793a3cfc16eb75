//! The pauses that an upstream asks of this entry.
//!
//! An upstream that turns a request away may say for how long it wants nothing from the entry that sent
//! it. It has little in flight then, and would look like the one with the least load.

use std::time::Duration;

use tokio::time::Instant;

/// The longest pause that is kept. An upstream that asks for longer is asked again after it.
const MAX_PAUSE: Duration = Duration::from_secs(3_600);

/// The share of a pause by which it may last longer, and the longest such time. Otherwise all entries that
/// were asked together would come back together.
const SPREAD: f64 = 0.1;
const MAX_SPREAD: Duration = Duration::from_millis(500);

/// The pause that an upstream has asked for last.
#[derive(Debug, Default)]
pub struct Pause {
    until: Option<Instant>,
}

impl Pause {
    /// Takes a pause that an answer asks for at `now`. A shorter one does not end one that was asked for
    /// before. `luck` from 0 to 1 chooses how much longer it lasts.
    pub fn record(&mut self, asked: Duration, luck: f64, now: Instant) {
        if asked.is_zero() {
            return;
        }
        let asked = asked.min(MAX_PAUSE);
        let until = now + asked + asked.mul_f64(SPREAD).min(MAX_SPREAD).mul_f64(luck);
        self.until = Some(self.until.map_or(until, |it| it.max(until)));
    }

    /// Returns when the pause ends; `None` if there is none at `now`.
    pub fn end(&self, now: Instant) -> Option<Instant> {
        self.until.filter(|it| now < *it)
    }
}
