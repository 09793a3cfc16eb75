//! The cases: the load of each, and the faults with their times.

use std::time::Duration;

use standins::faults::Faults;
use standins::load::{Burst, Class};
use types::{Millis, Rate};

use crate::document;
use crate::sizes::{Pipeline, Size};

/// For how long requests arrive.
pub(crate) const LENGTH: Duration = Duration::from_secs(20);
/// The start of the burst or fault.
pub(crate) const EVENT_START: Duration = Duration::from_secs(5);
/// The end of the burst or fault.
pub(crate) const EVENT_END: Duration = Duration::from_secs(15);

/// The load of a burst, as a multiple of a pool's slots.
const BURST_LOAD: f64 = 1.5;
/// The factor by which a slow replica is slower than the others.
const SLOW_FACTOR: f64 = 10.0;

/// A case: a load and the events during it.
pub(crate) struct Case {
    /// The name of the case.
    pub(crate) name: &'static str,
    /// The classes of requests that arrive.
    pub(crate) classes: Vec<Class>,
    /// The events with their times since the start, ordered by time.
    pub(crate) events: Vec<(Duration, Event)>,
}

/// An event during a run.
pub(crate) enum Event {
    /// The faults of some upstreams are replaced.
    Faults(UpstreamSet, Faults),
    /// The connections between entries and control are cut.
    CutDigest,
    /// Entries and control can connect again.
    HealDigest,
}

/// A set of upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpstreamSet {
    /// The first engine.
    OneEngine,
    /// Every third engine.
    ThirdOfEngines,
    /// All upstreams of the last site.
    LastSite,
}

impl UpstreamSet {
    /// Returns whether the set contains an upstream, given its pool, its index in the pool and the
    /// index of its site.
    pub(crate) fn contains(self, pool: &str, number: usize, site: usize) -> bool {
        match self {
            UpstreamSet::OneEngine => pool == "generate" && number == 0,
            UpstreamSet::ThirdOfEngines => pool == "generate" && number % 3 == 1,
            UpstreamSet::LastSite => site == document::SITES.len() - 1,
        }
    }
}

/// Returns all cases of a size.
pub(crate) fn all(size: &Size) -> Vec<Case> {
    let down = || Faults { down: true, ..Faults::default() };
    let slow = || Faults { slow: SLOW_FACTOR, ..Faults::default() };
    let span = |set, faults| {
        vec![
            (EVENT_START, Event::Faults(set, faults)),
            (EVENT_END, Event::Faults(set, Faults::default())),
        ]
    };
    let cut = || vec![(EVENT_START, Event::CutDigest), (EVENT_END, Event::HealDigest)];
    let case = |name, burst: Option<&str>, events| {
        let classes = size.pipelines.iter().map(|it| class(size, it, burst)).collect();
        Case { name, classes, events }
    };
    let generation = Some("generate");
    vec![
        case("steady", None, Vec::new()),
        case("burst-generation", generation, Vec::new()),
        case("burst-retrieval", Some("retrieve"), Vec::new()),
        case("slow-replica", None, span(UpstreamSet::OneEngine, slow())),
        case("third-killed", generation, span(UpstreamSet::ThirdOfEngines, down())),
        case("site-gone", None, span(UpstreamSet::LastSite, down())),
        case("digest-cut", None, cut()),
        case("burst-and-slow", generation, span(UpstreamSet::OneEngine, slow())),
        case("burst-and-cut", generation, cut()),
    ]
}

fn class(size: &Size, pipeline: &Pipeline, burst: Option<&str>) -> Class {
    let rate = size.rate(pipeline);
    let has_burst = match burst {
        Some("generate") => pipeline.tokens > 100,
        Some(_) => pipeline.tokens == 0,
        None => false,
    };
    let bursts = burst.filter(|_| has_burst).map(|pool| Burst {
        from: Millis(EVENT_START.as_millis() as u64),
        to: Millis(EVENT_END.as_millis() as u64),
        rate: Rate(rate + extra_rate(size, pipeline, pool)),
    });
    Class {
        name: pipeline.name.to_owned(),
        pipeline: pipeline.name.parse().expect("a valid name"),
        key: document::key(pipeline.customer),
        priority: pipeline.priority,
        rate: Rate(rate),
        bursts: bursts.into_iter().collect(),
        deadline: Millis(pipeline.deadline_ms),
        tokens: pipeline.tokens,
        padding: 200,
        once: false,
        stream: false,
    }
}

/// Returns the additional arrivals per second that raise a pool's load to [`BURST_LOAD`].
fn extra_rate(size: &Size, pipeline: &Pipeline, pool: &str) -> f64 {
    let pool = size.pool(pool);
    let now: f64 = size.pipelines.iter().map(|it| size.rate(it) * it.work(pool)).sum();
    (BURST_LOAD * pool.slots() as f64 - now) / pool.work(pipeline.tokens)
}
