//! The outcomes of requests at upstreams, summed over all entries by the leader.
//!
//! A sum must not depend on one entry alone: its path may be broken, or it may report falsehoods.
//! What an entry adds to a sum is therefore bounded by what the others add, and the part of the
//! entry that reports most failures is told apart.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::difference::NumberedList;
use crate::message::{Stamp, Upstream};

/// The time over which outcomes are summed.
pub const OUTCOME_WINDOW: Duration = Duration::from_secs(3);

/// How long an upstream without failures is still in the sums after its last one. Entries see that
/// it is sound again from the outcomes that follow.
const WATCH_TIME: Duration = Duration::from_secs(12);

/// What an entry may always add to the sum of an upstream, in outcomes.
const MIN_CONTRIBUTION: u32 = 4;

/// How many times the mean of the other entries an entry may add. VMs differ threefold.
const MAX_CONTRIBUTION_FACTOR: u32 = 3;

/// The most outcomes that one report may have of an upstream.
const MAX_REPORTED: u32 = 1_000;

/// The most records of an upstream, which bounds the memory of the account.
const MAX_RECORDS: usize = 4_096;

/// The standard deviations by which the failures of an upstream exceed those that are usual at its
/// service, from which it is in the sums. Entries judge by more.
const SUSPECT_DEVIATIONS: f64 = 2.0;

/// How many failures of an upstream are not yet in the sums.
const UNSUSPECTED_FAILURES: u32 = 1;

/// How long failures count as those of one moment.
const MOMENT: Duration = Duration::from_millis(200);

/// The pause between two failures of one entry in a history, per connected entry, and at most. An
/// entry that reports only failures can then not hide that an upstream is sound again.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);
const MAX_FAILURE_PAUSE: Duration = Duration::from_secs(3);

/// How much shorter the pause between two successes of one entry in a history is.
const SUCCESS_PAUSE_DIVISOR: u32 = 8;

/// The counts of outcomes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcomes {
    /// Valid responses in time.
    pub sound: u32,
    /// Server errors, invalid responses, lost connections and time-outs.
    pub failed: u32,
    /// Responses that took too long.
    pub slow: u32,
}

impl Outcomes {
    /// Returns the number of all outcomes.
    pub fn count(&self) -> u32 {
        self.sound.saturating_add(self.failed).saturating_add(self.slow)
    }

    /// Returns the number of those that speak against the upstream.
    pub fn bad(&self) -> u32 {
        self.failed.saturating_add(self.slow)
    }

    /// Adds others.
    pub fn add(&mut self, other: Self) {
        self.sound = self.sound.saturating_add(other.sound);
        self.failed = self.failed.saturating_add(other.failed);
        self.slow = self.slow.saturating_add(other.slow);
    }

    /// Returns what remains without `part`.
    #[must_use]
    pub fn without(self, part: Self) -> Self {
        Self {
            sound: self.sound.saturating_sub(part.sound),
            failed: self.failed.saturating_sub(part.failed),
            slow: self.slow.saturating_sub(part.slow),
        }
    }

    /// Returns at most `limit` outcomes in the same proportions.
    fn at_most(self, limit: u32) -> Self {
        let count = self.count();
        if count <= limit {
            return self;
        }
        let scale = |it: u32| (u64::from(it) * u64::from(limit)).div_ceil(u64::from(count)) as u32;
        let (failed, slow) = (scale(self.failed), scale(self.slow));
        Self { sound: limit.saturating_sub(failed + slow), failed, slow }
    }

    fn bounded(self) -> Self {
        self.at_most(MAX_REPORTED)
    }
}

/// The newest outcomes at an upstream in their order, one bit each; a set bit is a bad one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// The bits, newest lowest, below a set bit that marks their number.
    bits: u32,
    /// How many outcomes there have been.
    count: u32,
}

impl Default for History {
    fn default() -> Self {
        Self { bits: 1, count: 0 }
    }
}

impl History {
    /// How many outcomes a history holds.
    pub const LENGTH: u32 = 24;

    /// Adds an outcome.
    pub fn push(&mut self, bad: bool) {
        let kept = self.bits.checked_ilog2().unwrap_or(0).min(Self::LENGTH - 1);
        let bits = self.bits & ((1 << kept) - 1) | 1 << kept;
        self.bits = bits << 1 | u32::from(bad);
        self.count = self.count.wrapping_add(1);
    }

    /// Returns how many outcomes there have been.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns the outcomes since there were `count`, as far as they are held, the oldest first.
    pub fn since(&self, count: u32) -> impl Iterator<Item = bool> {
        let held = self.bits.checked_ilog2().unwrap_or(0).min(Self::LENGTH);
        // A new leader begins to count anew.
        let new = self.count.checked_sub(count).unwrap_or(self.count);
        let bits = self.bits;
        (0..held.min(new)).rev().map(move |it| bits >> it & 1 == 1)
    }
}

/// The outcomes at upstreams that an entry has seen since its last report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeReport {
    /// The number of the list of upstreams that the positions refer to.
    pub upstreams_stamp: Stamp,
    /// The outcomes.
    pub upstreams: Vec<UpstreamOutcomes>,
}

/// The outcomes at one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamOutcomes {
    /// Its position in the list of upstreams.
    pub position: u32,
    /// The start time of its newest known incarnation, in Unix milliseconds; zero if none is known.
    pub started_ms: u64,
    /// The outcomes.
    pub outcomes: Outcomes,
}

/// The outcomes that all entries have seen in the last [`OUTCOME_WINDOW`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeTotals {
    /// The number of the list of upstreams that the positions refer to.
    pub upstreams_stamp: Stamp,
    /// The number of connected entries.
    pub entries: u32,
    /// The upstreams that have failed lately more often than others of their service.
    pub upstreams: Vec<UpstreamTotal>,
    /// The services of these upstreams.
    pub services: Vec<ServiceTotal>,
}

/// The outcomes at one upstream over all entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamTotal {
    /// Its position in the list of upstreams.
    pub position: u32,
    /// The start time of its newest incarnation that two entries have seen; zero if none is known.
    pub started_ms: u64,
    /// The outcomes.
    pub total: Outcomes,
    /// The part of the entry that adds most failures; nothing if only one entry is connected.
    pub largest: Outcomes,
    /// In how many moments there were failures. A restart loses many requests at one moment.
    pub moments: u32,
    /// The newest outcomes in their order.
    pub history: History,
}

/// The outcomes at all upstreams of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTotal {
    /// The position of one of its upstreams in the list.
    pub position: u32,
    /// The outcomes.
    pub total: Outcomes,
}

/// What one entry reported of one upstream at one time.
#[derive(Clone, Copy, Debug)]
struct Record {
    at: Instant,
    entry: u64,
    started_ms: u64,
    outcomes: Outcomes,
}

/// What the entries reported of one upstream.
#[derive(Debug, Default)]
struct Account {
    records: VecDeque<Record>,
    started_ms: u64,
    history: History,
    /// When each entry added to the history last.
    added: HashMap<u64, Instant>,
    /// When it was last found to fail more often than others.
    suspected: Option<Instant>,
}

impl Account {
    fn record(&mut self, record: Record, entries: usize) {
        if record.started_ms > self.started_ms && self.has_two_entries(&record, entries) {
            self.restart(record.started_ms);
        }
        if record.started_ms != 0 && record.started_ms < self.started_ms {
            return;
        }
        self.extend_history(&record, entries);
        self.records.push_back(record);
        if self.records.len() > MAX_RECORDS {
            self.records.pop_front();
        }
    }

    /// Returns whether another entry has seen the same incarnation, unless there is only one entry.
    fn has_two_entries(&self, record: &Record, entries: usize) -> bool {
        let same = |it: &Record| it.started_ms == record.started_ms && it.entry != record.entry;
        entries < 2 || self.records.iter().any(same)
    }

    /// Forgets what earlier incarnations did.
    fn restart(&mut self, started_ms: u64) {
        if self.started_ms > 0 {
            self.records.retain(|it| it.started_ms >= started_ms);
            self.history = History::default();
            self.added.clear();
            self.suspected = None;
        }
        self.started_ms = started_ms;
    }

    fn extend_history(&mut self, record: &Record, entries: usize) {
        let Record { at, entry, outcomes, .. } = *record;
        if entries < 2 {
            (0..outcomes.sound.min(History::LENGTH)).for_each(|_| self.history.push(false));
            (0..outcomes.bad().min(History::LENGTH)).for_each(|_| self.history.push(true));
            return;
        }
        let bad = outcomes.bad() * 2 >= outcomes.count();
        let pause = (FAILURE_PAUSE * entries as u32).min(MAX_FAILURE_PAUSE);
        let pause = if bad { pause } else { pause / SUCCESS_PAUSE_DIVISOR };
        if self.added.get(&entry).is_none_or(|it| *it + pause <= at) {
            self.added.insert(entry, at);
            self.history.push(bad);
        }
    }

    fn expire(&mut self, now: Instant) {
        while self.records.front().is_some_and(|it| it.at + OUTCOME_WINDOW <= now) {
            self.records.pop_front();
        }
        self.added.retain(|_, at| *at + MAX_FAILURE_PAUSE > now);
    }

    /// Returns the bounded sum, and the part of the entry that adds most failures.
    fn sums(&self, entries: usize) -> (Outcomes, Outcomes) {
        let mut parts: HashMap<u64, Outcomes> = HashMap::new();
        for it in &self.records {
            parts.entry(it.entry).or_default().add(it.outcomes);
        }
        let all: u32 = parts.values().map(Outcomes::count).sum();
        let others = (parts.len() as u32).saturating_sub(1).max(1);
        let (mut total, mut largest) = (Outcomes::default(), Outcomes::default());
        for part in parts.values() {
            let mean = (all - part.count()) / others;
            let limit = (mean * MAX_CONTRIBUTION_FACTOR).max(MIN_CONTRIBUTION);
            let part = if entries < 2 { *part } else { part.at_most(limit) };
            total.add(part);
            if entries > 1 && part.bad() > largest.bad() {
                largest = part;
            }
        }
        (total, largest)
    }

    /// Returns in how many moments there were failures.
    fn moments(&self) -> u32 {
        let mut count = 0;
        let mut last: Option<Instant> = None;
        for it in self.records.iter().filter(|it| it.outcomes.bad() > 0) {
            if last.is_none_or(|last| last + MOMENT <= it.at) {
                last = Some(it.at);
                count += 1;
            }
        }
        count
    }

    fn is_unused(&self, now: Instant) -> bool {
        self.records.is_empty() && self.suspected.is_none_or(|it| it + WATCH_TIME <= now)
    }
}

/// The reported outcomes.
#[derive(Debug, Default)]
pub struct OutcomeTable {
    /// The accounts of a service's upstreams, by id.
    services: HashMap<String, BTreeMap<String, Account>>,
}

impl OutcomeTable {
    /// Takes the report of an entry, one of `entries`. A report that refers to another list than
    /// `list` is dropped; the next one refers to it.
    pub fn record(
        &mut self,
        entry: u64,
        report: &OutcomeReport,
        list: &NumberedList<Upstream>,
        entries: usize,
        now: Instant,
    ) {
        if report.upstreams_stamp != list.stamp {
            return;
        }
        for it in report.upstreams.iter().take(list.list.len()) {
            let Some(upstream) = list.list.get(it.position as usize) else { continue };
            let outcomes = it.outcomes.bounded();
            if outcomes.count() == 0 {
                continue;
            }
            let record = Record { at: now, entry, started_ms: it.started_ms, outcomes };
            self.account(upstream).record(record, entries);
        }
    }

    fn account(&mut self, upstream: &Upstream) -> &mut Account {
        let accounts = self.services.entry(upstream.service.clone()).or_default();
        accounts.entry(upstream.id.clone()).or_default()
    }

    /// Forgets the reports of an entry that is gone.
    pub fn remove(&mut self, entry: u64) {
        for account in self.services.values_mut().flat_map(BTreeMap::values_mut) {
            account.records.retain(|it| it.entry != entry);
        }
    }

    /// Returns the sums of the last [`OUTCOME_WINDOW`].
    pub fn totals(
        &mut self,
        list: &NumberedList<Upstream>,
        entries: usize,
        now: Instant,
    ) -> OutcomeTotals {
        let mut totals = OutcomeTotals {
            upstreams_stamp: list.stamp,
            entries: entries as u32,
            ..OutcomeTotals::default()
        };
        for accounts in self.services.values_mut() {
            accounts.values_mut().for_each(|it| it.expire(now));
            accounts.retain(|_, it| !it.is_unused(now));
            let watched = |it: &Account| {
                it.suspected.is_some() || it.records.iter().any(|it| it.outcomes.bad() > 0)
            };
            if accounts.values().any(watched) {
                add_service(&mut totals, accounts, list, entries, now);
            }
        }
        self.services.retain(|_, accounts| !accounts.is_empty());
        totals.upstreams.sort_by_key(|it| it.position);
        totals.services.sort_by_key(|it| it.position);
        totals
    }
}

/// Adds the sums of a service, and of its upstreams that have failed more often than others.
fn add_service(
    totals: &mut OutcomeTotals,
    accounts: &mut BTreeMap<String, Account>,
    list: &NumberedList<Upstream>,
    entries: usize,
    now: Instant,
) {
    let mut all = Outcomes::default();
    let mut sums = Vec::new();
    for (id, account) in accounts {
        let found = list.list.binary_search_by(|it| it.id.as_str().cmp(id));
        let Ok(position) = found else { continue };
        let (total, largest) = account.sums(entries);
        all.add(total);
        sums.push((position as u32, account, total, largest));
    }
    let Some(&(first, ..)) = sums.first() else { return };
    let usual = f64::from(all.bad()) / f64::from(all.count().max(1));
    for (position, account, total, largest) in sums {
        let expected = f64::from(total.count()) * usual;
        let limit = expected + SUSPECT_DEVIATIONS * (expected * (1.0 - usual)).sqrt();
        if total.bad() > UNSUSPECTED_FAILURES && f64::from(total.bad()) > limit {
            account.suspected = Some(now);
        }
        if account.suspected.is_some_and(|it| now < it + WATCH_TIME) {
            totals.upstreams.push(UpstreamTotal {
                position,
                started_ms: account.started_ms,
                total,
                largest,
                moments: account.moments(),
                history: account.history,
            });
        } else {
            account.suspected = None;
        }
    }
    totals.services.push(ServiceTotal { position: first, total: all });
}
