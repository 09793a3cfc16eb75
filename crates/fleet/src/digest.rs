//! Makes load digests: what changed most, within a bound on their size.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use types::{Digest, UpstreamLoad, UpstreamName, UpstreamStanding};

/// How often a digest names every upstream.
const FULL_PERIOD: Duration = Duration::from_secs(10);

/// How often a digest names an upstream that is leaving: a full queue on the way may lose the news.
const LEAVING_PERIOD: Duration = Duration::from_secs(2);

/// The most loads in a digest that is not full. With two digests a second and five bytes a load
/// this bounds what each entry is sent to 2 KB/s, however many upstreams there are.
const LOADS_LIMIT: usize = 192;

/// Makes the digests of one term.
#[derive(Debug)]
pub struct DigestMaker {
    sequence: u64,
    sent: BTreeMap<UpstreamName, (UpstreamLoad, Instant)>,
    full_at: Option<Instant>,
}

impl DigestMaker {
    /// Numbers the digests from `first` on.
    pub fn new(first: u64) -> Self {
        Self { sequence: first, sent: BTreeMap::new(), full_at: None }
    }

    /// Makes the next digest a full one.
    pub fn reset(&mut self) {
        self.full_at = None;
    }

    /// Makes a digest of what is news among `loads`; `None` where nothing is.
    pub fn make(&mut self, loads: &[UpstreamLoad], entries: u32, now: Instant) -> Option<Digest> {
        let full = self.full_at.is_none_or(|at| now.saturating_duration_since(at) >= FULL_PERIOD);
        let news = if full { loads.to_vec() } else { self.news(loads, now) };
        if full {
            self.full_at = Some(now);
            self.sent.clear();
        }
        if news.is_empty() {
            return None;
        }
        for load in &news {
            self.sent.insert(load.upstream.clone(), (load.clone(), now));
        }
        self.sequence += 1;
        Some(Digest { sequence: self.sequence, loads: news, entries })
    }

    fn news(&self, loads: &[UpstreamLoad], now: Instant) -> Vec<UpstreamLoad> {
        let weighed = loads.iter().map(|load| (self.weight(load, now), load));
        let mut news: Vec<(u64, &UpstreamLoad)> =
            weighed.filter(|(weight, _)| *weight > 0).collect();
        news.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        let urgent = news.iter().filter(|(weight, _)| *weight == u64::MAX).count();
        news.truncate(LOADS_LIMIT.max(urgent));
        news.into_iter().map(|(_, load)| load.clone()).collect()
    }

    /// Weighs how much an entry would err without this load: a changed standing before all, then
    /// changed counts, then counts that were merely seen again.
    fn weight(&self, load: &UpstreamLoad, now: Instant) -> u64 {
        let Some((before, at)) = self.sent.get(&load.upstream) else {
            return u64::MAX;
        };
        if before.standing != load.standing {
            return u64::MAX;
        }
        let passed = now.saturating_duration_since(*at);
        if load.standing == UpstreamStanding::Leaving && passed >= LEAVING_PERIOD {
            return u64::MAX - 1;
        }
        let counts =
            |it: &UpstreamLoad| u64::from(it.in_flight) + u64::from(it.reported.unwrap_or(0));
        let change = counts(load).abs_diff(counts(before));
        if change > 0 || before.reported.is_some() != load.reported.is_some() {
            return 1_000 * (1 + change) / (1 + counts(before).min(999));
        }
        // The age that the entry assumes by now, against the age that is true. An upstream that
        // stays idle is as idle by an old report: the full digest is soon enough for it.
        let assumed = before.report_age.0 + passed.as_millis() as u64;
        u64::from(counts(load) > 0 && load.reported.is_some() && load.report_age.0 + 500 < assumed)
    }
}
