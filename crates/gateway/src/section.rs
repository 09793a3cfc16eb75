//! Splits the upstreams of a service among several owners, and chooses one of them for a job.
//!
//! The load pattern that it answers: so many pieces that the link of one owner can't carry their calls.
//! Each piece names its inputs, so an owner sends far more than it is sent; once its link is full,
//! results come late, the owner seems silent, and every entry splits the service for itself. Inputs:
//! the upstreams that are listed, the plan, and the waits that owners told within the last half second.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::plan::BatchSpec;
use crate::upstream::Upstream;

/// What a piece takes of its owner's link on the way to an upstream, in bytes: a text with its id and
/// some inputs.
const PIECE_BYTES: f64 = 300.0;

/// What each entry takes of an owner's link, in bytes a second: answers, and news of waits, in small
/// packets.
const ENTRY_BYTES: f64 = 1_500.0;

/// The share of its link that an owner may need for full calls to all its upstreams and for the entries.
/// The rest is for its own callers, and for bursts.
const LINK_SHARE: f64 = 0.3;

/// How many upstreams a section must have on average: with fewer, calls are not full.
const LEAST_UPSTREAMS: usize = 4;

/// By how much shorter the wait elsewhere must be for a job to leave its domain. Waits are told with a
/// delay, and bytes cross domains.
const LEAST_GAIN: Duration = Duration::from_millis(100);

/// The rate of a VM's link.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct LinkRate(f64);

impl LinkRate {
    /// A link of so many megabits a second.
    pub fn from_megabits(megabits: f64) -> Self {
        Self(megabits)
    }

    fn bytes_per_second(self) -> f64 {
        self.0 * 1e6 / 8.0
    }
}

impl fmt::Display for LinkRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} Mbit/s", self.0)
    }
}

/// The upstreams of a service that share an owner: all, or those of one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Section {
    /// The service.
    pub service: Arc<str>,
    /// The failure domain, where the service is split.
    pub domain: Option<Arc<str>>,
}

impl Section {
    /// All upstreams of a service.
    pub fn whole(service: &Arc<str>) -> Self {
        Self { service: Arc::clone(service), domain: None }
    }
}

impl fmt::Display for Section {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.domain {
            Some(domain) => write!(f, "{} in {domain}", self.service),
            None => f.write_str(&self.service),
        }
    }
}

/// Splits a service: by failure domain where one owner of all would need more than [`LINK_SHARE`] of its
/// link, else not at all. All entries that know the same lists get the same sections.
pub fn split(
    service: &Arc<str>,
    spec: &BatchSpec,
    upstreams: &[Arc<Upstream>],
    entries: usize,
    link: LinkRate,
) -> Vec<Section> {
    let mut domains: Vec<&Arc<str>> = upstreams.iter().map(|it| &it.domain).collect();
    domains.sort();
    domains.dedup();
    let full = spec.call + spec.item * spec.batch as u32;
    let pieces = (upstreams.len() * spec.batch) as f64 / full.as_secs_f64().max(0.001);
    let needed = pieces * PIECE_BYTES + entries as f64 * ENTRY_BYTES;
    let fits = needed <= link.bytes_per_second() * LINK_SHARE;
    if fits || upstreams.len() < LEAST_UPSTREAMS * domains.len() {
        return vec![Section::whole(service)];
    }
    let section = |domain: &Arc<str>| Section {
        service: Arc::clone(service),
        domain: Some(Arc::clone(domain)),
    };
    domains.into_iter().map(section).collect()
}

/// Chooses the section for a job that is best made in `domain`, by the wait in each. `draw` is spread
/// evenly over 0 to 1.
///
/// Jobs leave their domain in part only, the more the longer the wait there: entries that all left at
/// once would meet at another owner, and leave that one together.
pub fn choose<'a>(
    sections: &'a [Section],
    domain: Option<&str>,
    wait: impl Fn(&Section) -> Duration,
    draw: f64,
) -> Option<&'a Section> {
    let home = sections.iter().find(|it| it.domain.as_deref() == domain);
    let soonest = sections.iter().min_by_key(|it| wait(it))?;
    let Some(home) = home else { return Some(soonest) };
    let here = wait(home);
    let gain = here.saturating_sub(wait(soonest) + LEAST_GAIN);
    let leaves = draw * here.as_secs_f64() < gain.as_secs_f64();
    Some(if leaves { soonest } else { home })
}
