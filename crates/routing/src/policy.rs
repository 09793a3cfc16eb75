//! The constants of the decisions, and the switches that weigh them.

use crate::clock::Us;

/// How many upstreams a choice compares.
pub(crate) const SAMPLES: usize = 2;

/// How many draws a choice makes for them before it looks at every upstream.
pub(crate) const DRAWS: usize = 12;

/// How much longer a call is taken to last at a fully loaded upstream than at an empty one, as a
/// share: batching slows each call a little before any call waits.
pub(crate) const LOAD_SLOPE: f64 = 0.25;

/// How old a digest's counts are when it comes: the entries' reports are about that far apart.
pub(crate) const DIGEST_LAG: Us = 100_000;
/// The least age at which the others' in-flight counts weigh as much as their mean over the pool,
/// in pools of quick calls; in others it is the mean time of a call.
pub(crate) const OTHERS_FLOOR: Us = 5_000;
/// The most; the age at which the others' in-flight counts weigh as much as their mean over the pool.
pub(crate) const OTHERS_HALF: Us = 500_000;

/// The age at which an upstream's measured time weighs as much as its pool's: one that was avoided
/// as slow is tried again within seconds.
pub(crate) const UPSTREAM_HALF: Us = 5_000_000;

/// The age at which a stage's or pool's measured time weighs as much as the declared one.
pub(crate) const STAGE_HALF: Us = 60_000_000;

/// How much of a pool's capacity the entries hand out together: the little over it waits at the
/// upstreams and keeps them busy between two digests.
pub(crate) const OVERCOMMIT: f64 = 1.15;

/// What priority 0 may run over the entry's part, as a share of an even part.
pub(crate) const STRONG_OVER: f64 = 1.0;

/// What is always an entry's own over its even part of a pool, in square roots of that part: what
/// arrives at a part varies by about its root. Without it six entries that share eight places queue
/// and refuse while places are free; what goes over waits at the upstreams for a moment.
pub(crate) const PART_SLACK: f64 = 0.7;

/// The oldest digest whose counts decide how much of a pool is free.
pub(crate) const DIGEST_LIMIT: Us = 2_000_000;

/// The number of entries assumed before a digest tells it.
pub(crate) const ASSUMED_ENTRIES: u32 = 2;

/// What an entry takes of a pool without a digest, over its even share: the balancer never spreads
/// callers quite evenly, and the upstreams' own queues hold a little.
pub(crate) const BLIND_SLACK: f64 = 1.25;

/// How many mean deviations over its mean a stage is given, at attainment 1, where others wait for
/// its place: work that starts and ends late took it from work that could have ended in time. At
/// attainment 0 it is twice that. Priority 0 gets the benefit of the doubt and has no margin.
pub(crate) const MARGIN: f64 = 1.6;

/// How many queued calls a pool holds for each call it may run, besides those of priority 0.
pub(crate) const QUEUED_PER_SLOT: u32 = 4;

/// The least number of calls a queue holds.
pub(crate) const QUEUE_FLOOR: u32 = 8;

/// The most calls a queue holds, priority 0 included; bounds memory and the time of one decision.
pub(crate) const QUEUE_LIMIT: usize = 1_024;

/// The shortest and the longest time a refused caller is told to wait.
pub(crate) const RETRY_FLOOR: Us = 100_000;
/// See [`RETRY_FLOOR`].
pub(crate) const RETRY_CEILING: Us = 20_000_000;

/// The time over which refusals are counted as callers that will come back.
pub(crate) const REFUSED_HALF: Us = 2_000_000;

/// Bounds of the time to the first byte after which a connection counts as silent.
pub(crate) const FIRST_FLOOR: Us = 100_000;
/// See [`FIRST_FLOOR`].
pub(crate) const FIRST_CEILING: Us = 10_000_000;
/// That time where nothing is known, at least.
pub(crate) const FIRST_UNKNOWN: Us = 2_000_000;
/// That time where nothing is known, as a multiple of the time a call is expected to take.
pub(crate) const FIRST_EXPECTED: Us = 4;
/// Silent calls in a row, over a whole pool, after which that time doubles.
pub(crate) const SILENT_ROW: u32 = 3;
/// That time as a multiple of the 99th percentile.
pub(crate) const FIRST_FACTOR: u64 = 3;

/// The shortest hedge delay.
pub(crate) const HEDGE_FLOOR: Us = 2_000;
/// The attainment setting from which calls are hedged at all.
pub(crate) const HEDGE_ATTAINMENT: f64 = 0.3;

/// Retry and hedge tokens a pool may save up for each call it may run: a part of it lost at once
/// takes all its calls with it, and each may meet a second lost upstream before all are ejected.
pub(crate) const BUDGET_PER_SLOT: u32 = 2;
/// The least a pool may save up.
pub(crate) const BUDGET_FLOOR: u32 = 10;

/// The score at which an upstream is ejected.
pub(crate) const EJECT_SCORE: u32 = 12;
/// What a broken or wrong answer adds to it.
pub(crate) const FAILED_SCORE: u32 = 4;
/// What a refused connection adds: the process is gone.
pub(crate) const REFUSED_SCORE: u32 = EJECT_SCORE;
/// What a whole answer takes off.
pub(crate) const OK_SCORE: u32 = 2;
/// The first time an upstream stays ejected; doubles with each further ejection in a row.
pub(crate) const EJECT_FIRST: Us = 500_000;
/// The longest time an upstream stays ejected.
pub(crate) const EJECT_LONGEST: Us = 10_000_000;
/// The largest share of a pool that is ejected at once, or in trouble while one is ejected.
pub(crate) const EJECT_SHARE: f64 = 0.5;
/// How often capacity is counted again between digests.
pub(crate) const REFRESH_PERIOD: Us = 20_000;

/// How long an upstream's own report that it is leaving stands against a digest that calls it live:
/// the digest's sources lag by a few seconds.
pub(crate) const LEAVING_HOLD: Us = 5_000_000;

/// The age at which a prefix is as likely evicted as still cached.
pub(crate) const PREFIX_HALF: Us = 60_000_000;
/// The share of the first-token time that a cached prefix is taken to save until it is measured.
pub(crate) const PREFIX_GAIN: f64 = 0.3;
/// Switches for single rules, so that a trial can weigh what each is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rules {
    /// Checks a request's whole pipeline before its first stage.
    pub pipeline: bool,
    /// Orders queues by priority.
    pub priority: bool,
    /// Spreads a pool's queue evenly over customers.
    pub fairness: bool,
    /// Keeps each entry to its part of the free capacity.
    pub share: bool,
    /// Lets priority 0 go over an entry's part.
    pub strong: bool,
    /// Chooses by expected finish; else at random.
    pub finish: bool,
    /// Compares a few sampled upstreams; else every one.
    pub sampling: bool,
    /// Prefers upstreams that hold the prompt's prefix.
    pub affinity: bool,
    /// Ejects failing upstreams.
    pub eject: bool,
    /// Hedges.
    pub hedge: bool,
    /// Bounds retries and hedges by a budget.
    pub budget: bool,
}

impl Rules {
    /// The names of the rules, as [`Rules::without`] takes them.
    pub const NAMES: [&str; 11] = [
        "pipeline", "priority", "fairness", "share", "strong", "finish", "sampling", "affinity",
        "eject", "hedge", "budget",
    ];

    /// Returns all rules but the named one; all of them for a name that is none.
    pub fn without(name: &str) -> Self {
        let mut rules = Self::default();
        let rule = match name {
            "pipeline" => &mut rules.pipeline,
            "priority" => &mut rules.priority,
            "fairness" => &mut rules.fairness,
            "share" => &mut rules.share,
            "strong" => &mut rules.strong,
            "finish" => &mut rules.finish,
            "sampling" => &mut rules.sampling,
            "affinity" => &mut rules.affinity,
            "eject" => &mut rules.eject,
            "hedge" => &mut rules.hedge,
            "budget" => &mut rules.budget,
            _ => return rules,
        };
        *rule = false;
        rules
    }
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            pipeline: true,
            priority: true,
            fairness: true,
            share: true,
            strong: true,
            finish: true,
            sampling: true,
            affinity: true,
            eject: true,
            hedge: true,
            budget: true,
        }
    }
}
