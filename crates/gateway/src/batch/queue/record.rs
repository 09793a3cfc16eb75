//! What a queue knows of one upstream: its present call, its speed, and what it keeps.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

/// For how long room that turned out to be taken counts as taken.
const CROWDED: Duration = Duration::from_millis(700);

/// The share of the room that is used: sizes are approximate.
const ROOM_SHARE: f64 = 0.94;

/// The weight of the latest call in an upstream's speed.
const SPEED_WEIGHT: f64 = 0.4;

/// In which time half of what an upstream was slower fades from memory.
const FADE: Duration = Duration::from_millis(1_500);

/// What the queue knows of an upstream.
#[derive(Clone, Debug)]
pub(super) struct Record {
    /// Until when its present call is likely to take.
    pub(super) busy: Option<Instant>,
    /// Until when it gets no call.
    pub(super) rests: Option<Instant>,
    /// Its time for a call over the announced one, as of `seen`.
    speed: f64,
    /// When a call of it ended last.
    seen: Option<Instant>,
    kept: Vec<Kept>,
    /// The bytes of results of other owners that it keeps, and when they end.
    foreign: Option<(u64, Instant)>,
}

/// A result that an upstream keeps.
#[derive(Clone, Debug)]
struct Kept {
    size: u64,
    until: Instant,
    handle: Arc<str>,
}

impl Default for Record {
    fn default() -> Self {
        Self { busy: None, rests: None, speed: 1.0, seen: None, kept: Vec::new(), foreign: None }
    }
}

impl Record {
    /// Whether a call may go to it now.
    pub(super) fn is_idle(&self, now: Instant) -> bool {
        self.busy.is_none() && self.rests.is_none_or(|it| it <= now)
    }

    /// The speed that is likely now. What goes wrong without the fading: an upstream that was slow
    /// for a while gets no calls, so nobody learns that it is well again.
    pub(super) fn speed(&self, now: Instant) -> f64 {
        let Some(seen) = self.seen else { return self.speed };
        let halves = now.saturating_duration_since(seen).as_secs_f64() / FADE.as_secs_f64();
        1.0 + (self.speed - 1.0) * 0.5f64.powf(halves)
    }

    /// Takes the time of a whole call that was announced to take `plain`.
    pub(super) fn learn(&mut self, plain: Duration, took: Duration, now: Instant) {
        let speed = took.as_secs_f64() / plain.as_secs_f64().max(0.001);
        let before = self.speed(now);
        self.speed = before + SPEED_WEIGHT * (speed.clamp(0.3, 20.0) - before);
        self.seen = Some(now);
    }

    /// What is left after the upstream has started again: its present call.
    pub(super) fn reborn(&self) -> Self {
        Self { busy: self.busy, ..Self::default() }
    }

    /// Forgets results that have ended.
    pub(super) fn expire(&mut self, now: Instant) {
        self.kept.retain(|it| it.until > now);
        self.foreign = self.foreign.filter(|it| it.0 > 0 && it.1 > now);
    }

    /// The bytes that may be filled, of `room` in all.
    pub(super) fn free(&self, room: u64, now: Instant) -> u64 {
        let kept: u64 = self.kept.iter().map(|it| it.size).sum();
        let used = (room as f64 * ROOM_SHARE) as u64;
        used.saturating_sub(kept + self.foreign(now))
    }

    /// The bytes of results of other owners.
    pub(super) fn foreign(&self, now: Instant) -> u64 {
        self.foreign.filter(|it| now < it.1).map_or(0, |it| it.0)
    }

    /// Takes the bytes that others' results fill, until they end; only before this queue's first call.
    pub(super) fn set_foreign(&mut self, bytes: u64, until: Instant) {
        if self.kept.is_empty() && self.busy.is_none() {
            self.foreign = Some((bytes, until));
        }
    }

    /// Adds a result.
    pub(super) fn keep(&mut self, size: u64, handle: Arc<str>, until: Instant) {
        self.kept.push(Kept { size, until, handle });
    }

    /// Counts the size of a result that found no room as taken for a while.
    pub(super) fn crowd(&mut self, size: u64, now: Instant) {
        self.keep(size, Arc::from(""), now + CROWDED);
    }

    /// Removes results; those that are not known were of another owner, and about `size` bytes large.
    pub(super) fn remove(&mut self, handles: &[Arc<str>], size: u64) {
        let before = self.kept.len();
        self.kept.retain(|it| !handles.contains(&it.handle));
        let others = handles.len().saturating_sub(before - self.kept.len()) as u64;
        if let Some((foreign, _)) = &mut self.foreign {
            *foreign = foreign.saturating_sub(others * size);
        }
    }
}
