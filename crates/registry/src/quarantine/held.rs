//! The requests that the leader holds, and what of them is stored.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{Decision, Held, Hold, Holds, MAX_LISTED, Trial};
use crate::digest::RequestDigest;

/// How long a request is held the first time; doubled each time that a trial terminates an upstream.
const FIRST_HOLD: Duration = Duration::from_secs(300);

/// The longest time for which a request is held: a repaired upstream is noticed within it.
const MAX_HOLD: Duration = Duration::from_secs(3_600);

/// How long a trial may take before another entry may make one.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(30);

/// How long storing a verdict that was proposed takes at most, mostly some ms.
const STORE_TIME: Duration = Duration::from_secs(10);

/// The state of a held request.
#[derive(Clone, Copy, Debug)]
struct Record {
    ends: u32,
    until: Instant,
    relapses: u32,
    trial: Option<(Trial, Instant)>,
    trials: u32,
}

/// The held requests, and parts of prompts.
#[derive(Debug, Default)]
pub(super) struct HeldTable {
    held: HashMap<RequestDigest, Record>,
    /// Requests that are not held any more, and since when, until that is stored.
    released: HashMap<RequestDigest, Instant>,
}

impl HeldTable {
    pub(super) fn contains(&self, digest: &RequestDigest) -> bool {
        self.held.contains_key(digest)
    }

    /// Holds a request; makes room by releasing the one whose hold ends first.
    pub(super) fn hold(&mut self, digest: RequestDigest, ends: u32, now: Instant) {
        if self.held.len() >= MAX_LISTED {
            let oldest = self.held.iter().min_by_key(|it| it.1.until).map(|it| *it.0);
            if let Some(oldest) = oldest {
                log::warn!(digest:% = oldest;
                    "the list of held requests is full; the one whose hold ends first is released");
                self.release(oldest, now);
            }
        }
        let until = now + FIRST_HOLD;
        self.held.insert(digest, Record { ends, until, relapses: 0, trial: None, trials: 0 });
        self.released.remove(&digest);
    }

    /// Releases a request; returns whether it was held.
    pub(super) fn release(&mut self, digest: RequestDigest, now: Instant) -> bool {
        let was_held = self.held.remove(&digest).is_some();
        if was_held {
            self.released.insert(digest, now);
        }
        was_held
    }

    /// Records another termination that a held request caused.
    pub(super) fn record_repeat(&mut self, digest: RequestDigest, now: Instant) -> Vec<Decision> {
        let Some(held) = self.held.get_mut(&digest) else { return Vec::new() };
        held.ends += 1;
        // Runs that were in flight when it was held terminate upstreams too, and tell nothing new.
        if held.trial.take().is_none() {
            return Vec::new();
        }
        held.relapses += 1;
        held.until = now + hold_time(held.relapses);
        vec![Decision::TrialFailed(digest, held.ends)]
    }

    /// Grants the trial of a request to `entry`, if it is due and no other one is under way.
    pub(super) fn request_trial(
        &mut self,
        digest: RequestDigest,
        entry: SocketAddr,
        now: Instant,
    ) -> Vec<Decision> {
        let Some(held) = self.held.get_mut(&digest) else { return Vec::new() };
        let busy = held.trial.is_some_and(|it| now < it.1);
        if now < held.until || busy {
            return Vec::new();
        }
        held.trials += 1;
        held.trial = Some((Trial { entry, number: held.trials }, now + TRIAL_TIMEOUT));
        vec![Decision::TrialGranted(digest, entry)]
    }

    /// Adds the requests that a previous leader held; returns whether any of them is new.
    pub(super) fn merge_known(&mut self, known: &[Held], now: Instant) -> bool {
        let mut is_new = false;
        for it in known.iter().take(MAX_LISTED) {
            if self.held.contains_key(&it.digest) || self.held.len() >= MAX_LISTED {
                continue;
            }
            is_new = true;
            let until = now + Duration::from_millis(it.left_ms).min(MAX_HOLD);
            let trials = it.trial.map_or(0, |it| it.number);
            let record =
                Record { ends: it.ends, until, relapses: it.relapses, trial: None, trials };
            self.held.insert(it.digest, record);
        }
        is_new
    }

    /// Adds the requests that are stored as held, and are not known here; returns whether there are any.
    pub(super) fn load(&mut self, stored: &Holds, now: Instant, clock_ms: u64) -> bool {
        let mut is_new = false;
        for it in stored.iter() {
            let is_known =
                self.held.contains_key(&it.digest) || self.released.contains_key(&it.digest);
            if is_known || self.held.len() >= MAX_LISTED {
                continue;
            }
            is_new = true;
            // The time of day may have jumped meanwhile.
            let left = Duration::from_millis(it.until_ms.saturating_sub(clock_ms));
            let until = now + left.min(hold_time(it.relapses));
            let (ends, relapses) = (it.ends, it.relapses);
            self.held.insert(it.digest, Record { ends, until, relapses, trial: None, trials: 0 });
        }
        is_new
    }

    /// Returns what of the held requests is not stored yet, and which are stored and not held any more.
    pub(super) fn unstored(
        &mut self,
        stored: &Holds,
        now: Instant,
        clock_ms: u64,
    ) -> (Vec<Hold>, Vec<RequestDigest>) {
        let is_stored = |it: &RequestDigest| stored.get(it).is_some();
        self.released.retain(|it, since| {
            let is_recent = now.duration_since(*since) < STORE_TIME;
            !self.held.contains_key(it) && (is_stored(it) || is_recent)
        });
        let as_stored = |digest, it: &Record| {
            stored.get(digest).is_some_and(|stored| stored.relapses == it.relapses)
        };
        let unstored = self.held.iter().filter(|(digest, it)| !as_stored(digest, it));
        let holds = unstored.map(|(digest, it)| {
            let left = it.until.saturating_duration_since(now).as_millis() as u64;
            let (ends, relapses) = (it.ends, it.relapses);
            Hold { digest: *digest, ends, relapses, until_ms: clock_ms + left }
        });
        let released = self.released.keys().copied().filter(is_stored);
        (holds.collect(), released.collect())
    }

    /// Returns the held requests for entries, in the order of their digests.
    pub(super) fn list(&self, now: Instant) -> Vec<Held> {
        let held = self.held.iter().map(|(digest, it)| Held {
            digest: *digest,
            ends: it.ends,
            left_ms: it.until.saturating_duration_since(now).as_millis() as u64,
            relapses: it.relapses,
            trial: it.trial.filter(|it| now < it.1).map(|it| it.0),
        });
        let mut held: Vec<Held> = held.collect();
        held.sort_by_key(|it| it.digest);
        held
    }
}

/// Returns how long a request is held after this many trials that terminated an upstream.
fn hold_time(relapses: u32) -> Duration {
    (FIRST_HOLD * 2_u32.saturating_pow(relapses.min(8))).min(MAX_HOLD)
}
