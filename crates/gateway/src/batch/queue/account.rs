//! The account of an upstream's space for results: what this queue stores there, what its calls
//! will store, and what is in use beyond that.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

/// How long space counts as taken after an upstream had none for a result, unless a report tells
/// more.
const RESERVE_TIME: Duration = Duration::from_millis(700);

/// The share of the upstream's space that is filled, because result sizes are approximate.
const USABLE_SHARE: f64 = 0.94;

/// The share that is filled more with each report that agrees with the account, until a result
/// finds no space.
const TRUST_STEP: f64 = 0.005;

/// The most that is filled more.
const MAX_TRUST: f64 = 0.035;

/// A report agrees with the account within this share of the space.
const AGREEMENT: f64 = 0.01;

/// The age of the state that a report shows is between these two.
const REPORT_AGE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(500));

/// The account of one upstream's space, in bytes.
#[derive(Clone, Debug, Default)]
pub(super) struct Account {
    results: HashMap<Arc<str>, StoredResult>,
    /// The sum of the stored results.
    stored: u64,
    /// The results of the call in flight.
    in_flight: u64,
    /// What was believed to be free beside the call that was sent last.
    spare: u64,
    /// Results that a failed call may have left, and when these expire.
    unclaimed: Option<Expiring>,
    /// The part of these of the call that failed last.
    failed: u64,
    /// What a result that found no space has shown to be in use beyond the account.
    shortage: Option<Expiring>,
    /// What a report has shown to be in use beyond the account, for example by another owner.
    foreign: Option<Expiring>,
    /// What this queue stores, after each change within the longest age of a report.
    history: VecDeque<(Instant, u64)>,
    /// When the first result expires.
    first_expiry: Option<Instant>,
    /// The share of the space that is filled more because reports agreed with the account.
    trust: f64,
}

/// A result that the upstream stores.
#[derive(Clone, Copy, Debug)]
struct StoredResult {
    announced: u64,
    size: u64,
    since: Instant,
    until: Instant,
}

/// Bytes that count as taken for a time.
#[derive(Clone, Copy, Debug)]
struct Expiring {
    bytes: u64,
    since: Instant,
    until: Instant,
}

impl Expiring {
    fn at(it: Option<Self>, now: Instant) -> u64 {
        it.filter(|it| now < it.until).map_or(0, |it| it.bytes)
    }
}

/// A result that is no longer stored.
#[derive(Clone, Copy, Debug)]
pub(super) struct Removed {
    pub(super) size: u64,
    /// How long it was stored.
    pub(super) held: Duration,
}

/// What an upstream reports to be in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Reported {
    /// The bytes in use.
    pub(super) taken: u64,
    /// By how many bytes the real value may differ.
    pub(super) error: u64,
}

/// What a report shows about the account.
#[derive(Clone, Debug)]
pub(super) struct Comparison {
    /// What is in use at the upstream, less what the account said within the possible ages of the
    /// report. Is zero if the report agrees with the account at one of these ages.
    pub(super) error: i64,
    /// The announced bytes of the stored results, by announced size.
    pub(super) by_size: HashMap<u64, u64>,
}

impl Account {
    /// Returns the bytes that may be filled out of `space` at an upstream without reports.
    pub(super) fn usable(space: u64) -> u64 {
        (space as f64 * USABLE_SHARE) as u64
    }

    /// Returns the free bytes of an upstream that has `space` bytes for results.
    pub(super) fn free(&self, space: u64, now: Instant) -> u64 {
        let usable = (space as f64 * (USABLE_SHARE + self.trust)) as u64;
        usable.saturating_sub(self.taken(now))
    }

    /// Returns the bytes in use.
    pub(super) fn taken(&self, now: Instant) -> u64 {
        let other = self.foreign_bytes(now) + Expiring::at(self.shortage, now);
        self.own() + Expiring::at(self.unclaimed, now) + other
    }

    /// Returns the bytes that results of other owners take.
    pub(super) fn foreign_bytes(&self, now: Instant) -> u64 {
        Expiring::at(self.foreign, now)
    }

    /// Returns the bytes that results of this queue take, with those of the call in flight.
    pub(super) fn own(&self) -> u64 {
        self.stored + self.in_flight
    }

    /// Records a call whose results take `bytes`.
    pub(super) fn call_sent(&mut self, bytes: u64, space: u64, now: Instant) {
        self.in_flight += bytes;
        self.spare = self.free(space, now);
        self.record(now);
    }

    /// Records the end of the call in flight. Results of a failed call may be stored until `until`.
    pub(super) fn call_ended(&mut self, failed: bool, now: Instant, until: Instant) {
        self.failed = if failed { self.in_flight } else { 0 };
        if self.failed > 0 {
            let bytes = Expiring::at(self.unclaimed, now) + self.failed;
            self.unclaimed = Some(Expiring { bytes, since: now, until });
        }
        self.in_flight = 0;
        self.record(now);
    }

    /// Records that the call that failed last was not run.
    pub(super) fn call_not_run(&mut self) {
        let failed = std::mem::take(&mut self.failed);
        if let Some(unclaimed) = &mut self.unclaimed {
            unclaimed.bytes = unclaimed.bytes.saturating_sub(failed);
        }
    }

    /// Adds a stored result that was `announced` with another size than it is believed to have.
    pub(super) fn add(
        &mut self,
        handle: Arc<str>,
        (announced, size): (u64, u64),
        since: Instant,
        until: Instant,
    ) {
        self.stored += size;
        self.first_expiry = Some(self.first_expiry.map_or(until, |it| it.min(until)));
        let result = StoredResult { announced, size, since, until };
        if let Some(before) = self.results.insert(handle, result) {
            self.stored -= before.size;
        }
        self.record(since);
    }

    /// Counts what a result of `size` bytes that found no space shows to be in use, until a report
    /// tells more. Returns by how many bytes the account was wrong at the most.
    pub(super) fn record_refusal(&mut self, size: u64, now: Instant) -> u64 {
        self.trust = 0.0;
        // The results that the call did store are in the account, so what is left of the space is
        // what was spare as it was sent, and the refused results.
        let error = size + std::mem::take(&mut self.spare);
        let bytes = Expiring::at(self.shortage, now) + error;
        self.shortage = Some(Expiring { bytes, since: now, until: now + RESERVE_TIME });
        error
    }

    /// Removes results; returns them. Unknown ones belonged to another owner; each counts as
    /// `size` bytes.
    pub(super) fn remove(&mut self, handles: &[Arc<str>], size: u64, now: Instant) -> Vec<Removed> {
        let known: Vec<StoredResult> =
            handles.iter().filter_map(|it| self.results.remove(it)).collect();
        self.stored -= known.iter().map(|it| it.size).sum::<u64>();
        self.remove_foreign(handles.len() - known.len(), size);
        self.record(now);
        known.into_iter().map(|it| it.removed(now)).collect()
    }

    /// Removes results of other owners; each counts as `size` bytes.
    pub(super) fn remove_foreign(&mut self, count: usize, size: u64) {
        if let Some(foreign) = &mut self.foreign {
            foreign.bytes = foreign.bytes.saturating_sub(count as u64 * size);
        }
    }

    /// Removes results that have expired; returns them.
    pub(super) fn expire(&mut self, now: Instant) -> Vec<Removed> {
        if self.first_expiry.is_none_or(|it| now < it) {
            return Vec::new();
        }
        let expired: Vec<StoredResult> =
            self.results.extract_if(|_, it| it.until <= now).map(|it| it.1).collect();
        self.stored -= expired.iter().map(|it| it.size).sum::<u64>();
        self.first_expiry = self.results.values().map(|it| it.until).min();
        self.record(now);
        expired.into_iter().map(|it| it.removed(it.until)).collect()
    }

    /// Corrects the account by a report on `space` bytes; what it does not explain is in use until
    /// `until`. A difference that may be due to rounding shows nothing.
    pub(super) fn compare(
        &mut self,
        reported: Reported,
        space: u64,
        now: Instant,
        until: Instant,
    ) -> Comparison {
        let (least, most) = self.own_at_report(now);
        let Reported { taken, error: rounding } = reported;
        // Where this queue stores nothing, all is in use by others.
        let known = if most == 0 { 0 } else { most + rounding };
        let bytes = taken.saturating_sub(known);
        self.foreign = (bytes > 0).then_some(Expiring { bytes, since: now, until });
        self.shortage = self.shortage.filter(|it| it.bytes <= rounding);
        let is_young = |it: &Expiring| now.saturating_duration_since(it.since) < REPORT_AGE.1;
        self.unclaimed = self.unclaimed.filter(is_young);
        let mut by_size: HashMap<u64, u64> = HashMap::new();
        for result in self.results.values() {
            *by_size.entry(result.announced).or_default() += result.announced;
        }
        let explained = taken.clamp(least.saturating_sub(rounding), most + rounding);
        let error = taken as i64 - explained as i64;
        if (error.unsigned_abs() + rounding) as f64 <= space as f64 * AGREEMENT {
            self.trust = (self.trust + TRUST_STEP).min(MAX_TRUST);
        }
        Comparison { error, by_size }
    }

    /// Returns the least and the most that this queue stored within the possible ages of a report.
    fn own_at_report(&self, now: Instant) -> (u64, u64) {
        let age = |it: &Instant| now.saturating_duration_since(*it);
        let before = self.history.iter().rev().find(|it| age(&it.0) >= REPORT_AGE.1);
        let within = |it: &&(Instant, u64)| (REPORT_AGE.0..REPORT_AGE.1).contains(&age(&it.0));
        let values = self.history.iter().filter(within).chain(before).map(|it| it.1);
        values
            .fold(None, |found: Option<(u64, u64)>, it| {
                Some(found.map_or((it, it), |(least, most)| (least.min(it), most.max(it))))
            })
            .unwrap_or_default()
    }

    fn record(&mut self, now: Instant) {
        let own = self.own();
        match self.history.back_mut() {
            Some(last) if last.0 >= now => last.1 = own,
            _ => self.history.push_back((now, own)),
        }
        // The last entry before the longest age of a report tells the state at that age.
        while self.history.get(1).is_some_and(|it| now.duration_since(it.0) > REPORT_AGE.1) {
            self.history.pop_front();
        }
    }
}

impl StoredResult {
    fn removed(&self, at: Instant) -> Removed {
        Removed { size: self.size, held: at.saturating_duration_since(self.since) }
    }
}
