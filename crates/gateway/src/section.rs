//! Splits the upstreams of a service into sections with one owner each, and chooses a section for a
//! job.
//!
//! Splitting is for services with so many pieces that the link of one owner can't carry their
//! calls. Each piece names its inputs, so an owner sends far more than it receives. Once its link
//! is full, results come late, the owner seems silent, and every entry would take the service over
//! for itself. The split depends on the listed upstreams and the plan; the choice depends on the
//! waits that owners reported within the last half second.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::plan::BatchSpec;
use crate::upstream::Upstream;

/// What a piece takes of its owner's link on the way to an upstream, in bytes: a text with an id
/// and some inputs.
const PIECE_LINK_BYTES: f64 = 300.0;

/// What each entry takes of an owner's link, in bytes per second: answers and reports of waits, in
/// small packets.
const ENTRY_BYTES_PER_SECOND: f64 = 1_500.0;

/// The share of its link that an owner may need for full calls to all its upstreams and for the
/// entries. The rest is left for its own callers and for bursts.
const OWNER_LINK_SHARE: f64 = 0.3;

/// How many upstreams a section must have on average; with fewer, calls are not full.
const MIN_UPSTREAMS: usize = 4;

/// How much shorter the wait in another section must be for a job to leave its domain. Reports of
/// waits are delayed, and leaving moves bytes across failure domains.
const MIN_GAIN: Duration = Duration::from_millis(100);

/// The rate of a VM's network link.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct LinkRate(f64);

impl LinkRate {
    /// Creates a rate from megabits per second.
    pub fn from_megabits(megabits: f64) -> Self {
        Self(megabits)
    }

    /// Creates a rate from kilobits per second.
    pub(crate) fn from_kilobits(kilobits: u32) -> Self {
        Self(f64::from(kilobits) / 1e3)
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
    /// The failure domain, if the service is split.
    pub domain: Option<Arc<str>>,
}

impl Section {
    /// Creates the section of all upstreams of a service.
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

/// Splits a service by failure domain if a single owner would need more than `OWNER_LINK_SHARE`
/// of its link, else not at all. `link` is the least that an owner may have, as
/// [`Candidates::link`](crate::owners::Candidates::link) tells: entries with the same lists of
/// upstreams and entries get the same sections.
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
    let call_time = spec.call + spec.item * spec.batch as u32;
    let pieces_per_second =
        (upstreams.len() * spec.batch) as f64 / call_time.as_secs_f64().max(0.001);
    let needed_rate =
        pieces_per_second * PIECE_LINK_BYTES + entries as f64 * ENTRY_BYTES_PER_SECOND;
    let fits = needed_rate <= link.bytes_per_second() * OWNER_LINK_SHARE;
    if fits || upstreams.len() < MIN_UPSTREAMS * domains.len() {
        return vec![Section::whole(service)];
    }
    let section = |domain: &Arc<str>| Section {
        service: Arc::clone(service),
        domain: Some(Arc::clone(domain)),
    };
    domains.into_iter().map(section).collect()
}

/// Chooses the section for a job that is best run in `domain`, by the wait in each section. `draw`
/// is uniformly distributed over 0 to 1.
///
/// Only a part of the jobs leaves their domain, and the longer the wait there, the larger the part.
/// If all entries left at once, they would overload another owner and then leave that one together.
pub fn choose<'a>(
    sections: &'a [Section],
    domain: Option<&str>,
    wait: impl Fn(&Section) -> Duration,
    draw: f64,
) -> Option<&'a Section> {
    let home = sections.iter().find(|it| it.domain.as_deref() == domain);
    let shortest = sections.iter().min_by_key(|it| wait(it))?;
    let Some(home) = home else { return Some(shortest) };
    let home_wait = wait(home);
    let gain = home_wait.saturating_sub(wait(shortest) + MIN_GAIN);
    let leaves = draw * home_wait.as_secs_f64() < gain.as_secs_f64();
    Some(if leaves { shortest } else { home })
}
