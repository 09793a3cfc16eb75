//! Decides, without I/O, which part of prompts terminates upstreams.
//!
//! Requests with such a part differ otherwise, so none of them is in flight at two terminations. Their
//! other parts are in flight at the same terminations, but others complete with these. A part is the cause
//! if different requests with it were in flight at terminations at several moments, and none with it
//! completed in between.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use super::{EndSeen, PartSeen};
use crate::digest::RequestDigest;

/// The number of moments with terminations after which a part is held with which no request is known to
/// have completed.
const MIN_MOMENTS: usize = 4;

/// The number of moments after which such a part is held if [`MANY_REQUESTS`] had it: where many come,
/// all upstreams may have terminated before the next moment.
const MIN_MOMENTS_MANY: usize = 3;

/// The number of different requests from which that holds.
const MANY_REQUESTS: usize = 8;

/// The same for a part with which requests have completed before: it may have become harmful since.
const MIN_MOMENTS_PROVEN: usize = 6;

/// The number of moments after which entries report whether requests with the part complete.
const MIN_MOMENTS_WATCHED: usize = 2;

/// The least time between two moments. Terminations that have one other cause, such as a lost rack, are
/// closer together, and those of two entries are known to about this time.
const MOMENT_GAP: Duration = Duration::from_millis(300);

/// The largest number of terminations at which parts are remembered, over all parts.
const MAX_SIGHTINGS: usize = 8_192;

/// The largest number of requests that are remembered for one part at one termination.
const MAX_REQUESTS: usize = 8;

/// A part that was in flight at a termination.
#[derive(Clone, Debug)]
struct Sighting {
    end: u64,
    at: Instant,
    /// The requests that had the part.
    requests: Vec<RequestDigest>,
}

#[derive(Debug, Default)]
struct Record {
    sightings: Vec<Sighting>,
    /// Whether a request with the part is known to have completed.
    proven: bool,
}

impl Record {
    /// Returns the number of moments, each with a request that none of the others had.
    fn moments(&self) -> usize {
        let mut sightings: Vec<&Sighting> = self.sightings.iter().collect();
        sightings.sort_unstable_by_key(|it| it.at);
        let (mut last, mut counted) = (None, HashSet::new());
        for sighting in sightings {
            let is_apart = last.is_none_or(|it| sighting.at >= it + MOMENT_GAP);
            let fresh = sighting.requests.iter().find(|it| !counted.contains(*it));
            if let Some(request) = fresh.filter(|_| is_apart) {
                counted.insert(*request);
                last = Some(sighting.at);
            }
        }
        counted.len()
    }

    /// Returns how many different requests with the part were in flight at terminations.
    fn request_count(&self) -> usize {
        let requests = self.sightings.iter().flat_map(|it| &it.requests);
        requests.collect::<HashSet<_>>().len()
    }

    fn is_sighted_at(&self, end: u64) -> bool {
        self.sightings.iter().any(|it| it.end == end)
    }
}

/// The parts that were in flight at terminations.
#[derive(Debug, Default)]
pub(super) struct PartTable {
    parts: HashMap<RequestDigest, Record>,
    count: usize,
}

impl PartTable {
    /// Records the parts that an entry had in flight at the termination with number `end`, which was
    /// `at`.
    pub(super) fn record_end(&mut self, end: u64, at: Instant, seen: &EndSeen, now: Instant) {
        for part in &seen.parts {
            let completed = part.completed_ms.map(|it| super::table::ms_before(now, it));
            if let Some(completed) = completed {
                self.remove_until(part.part, completed);
            }
            if self.count < MAX_SIGHTINGS && completed.is_none_or(|it| it < at) {
                self.add(end, at, part, seen);
            }
        }
    }

    fn add(&mut self, end: u64, at: Instant, part: &PartSeen, seen: &EndSeen) {
        let record = self.parts.entry(part.part).or_default();
        record.proven |= part.completed_ms.is_some();
        let known = record.sightings.iter().position(|it| it.end == end);
        let index = known.unwrap_or_else(|| {
            self.count += 1;
            record.sightings.push(Sighting { end, at, requests: Vec::new() });
            record.sightings.len() - 1
        });
        let requests = &mut record.sightings[index].requests;
        let runs = part.runs.iter().filter_map(|it| seen.runs.get(usize::from(*it)));
        for run in runs {
            if requests.len() < MAX_REQUESTS && !requests.contains(&run.digest) {
                requests.push(run.digest);
            }
        }
    }

    /// Records that a request with the part completed.
    pub(super) fn record_completion(&mut self, part: RequestDigest) {
        if let Some(record) = self.parts.get_mut(&part) {
            self.count -= record.sightings.len();
            record.sightings.clear();
            record.proven = true;
        }
    }

    /// Returns the part that caused the termination, if the evidence is sufficient, and the number of
    /// terminations at which it was in flight.
    pub(super) fn cause_of(&self, end: u64) -> Option<(RequestDigest, u32)> {
        let sighted = self.parts.iter().filter(|it| it.1.is_sighted_at(end));
        let counted: Vec<_> = sighted.map(|(part, it)| (part, it, it.moments())).collect();
        // A part that explains the terminations without ever having completed goes before others.
        let suspected = counted.iter().any(|it| !it.1.proven && it.2 >= MIN_MOMENTS_WATCHED);
        let is_sufficient = |record: &Record, moments: usize| match record.proven {
            true => !suspected && moments >= MIN_MOMENTS_PROVEN,
            false if record.request_count() >= MANY_REQUESTS => moments >= MIN_MOMENTS_MANY,
            false => moments >= MIN_MOMENTS,
        };
        let causes = counted.into_iter().filter(|(_, it, moments)| is_sufficient(it, *moments));
        // Parts of the same requests: the one that fewer others have.
        let cause = causes.min_by_key(|(part, it, moments)| {
            (std::cmp::Reverse(*moments), it.request_count(), **part)
        });
        cause.map(|(part, it, _)| (*part, it.sightings.len() as u32))
    }

    /// Returns whether a part explains a termination at which a request was in flight: it was in flight
    /// at several, also where the request was not.
    pub(super) fn explains(&self, end: u64, requests_ends: &HashSet<u64>) -> bool {
        let elsewhere =
            |it: &Record| it.sightings.iter().any(|it| !requests_ends.contains(&it.end));
        self.parts.values().any(|it| {
            !it.proven
                && it.is_sighted_at(end)
                && elsewhere(it)
                && it.moments() >= MIN_MOMENTS_WATCHED
        })
    }

    /// Returns the parts of which entries report whether requests with them complete.
    pub(super) fn watched(&self) -> impl Iterator<Item = RequestDigest> {
        let watched = |it: &Record| !it.proven && it.moments() >= MIN_MOMENTS_WATCHED;
        self.parts.iter().filter(move |it| watched(it.1)).map(|it| *it.0)
    }

    /// Returns the terminations at which a part was in flight.
    pub(super) fn ends_of(&self, part: RequestDigest) -> HashSet<u64> {
        let sightings = self.parts.get(&part).map_or(&[][..], |it| &it.sightings);
        sightings.iter().map(|it| it.end).collect()
    }

    /// Removes a termination from the evidence against all parts but one.
    pub(super) fn remove_end(&mut self, end: u64, but: Option<RequestDigest>) {
        for (part, record) in &mut self.parts {
            if Some(*part) != but {
                let old_len = record.sightings.len();
                record.sightings.retain(|it| it.end != end);
                self.count -= old_len - record.sightings.len();
            }
        }
        self.parts.retain(|_, it| !it.sightings.is_empty());
    }

    /// Removes the evidence against a part up to the time at which a request with it completed.
    fn remove_until(&mut self, part: RequestDigest, completed: Instant) {
        let Some(record) = self.parts.get_mut(&part) else { return };
        let old_len = record.sightings.len();
        record.sightings.retain(|it| it.at > completed);
        self.count -= old_len - record.sightings.len();
    }
}
