//! The constants of the decisions, and switches that turn single rules off.

use crate::clock::Micros;

/// The number of upstreams that a choice compares.
pub(crate) const PICK_SAMPLES: usize = 2;

/// The number of random draws a choice makes to find them before it considers all upstreams.
pub(crate) const MAX_DRAWS: usize = 12;

/// How much longer a call is expected to take at a fully loaded upstream than at an idle one, as a
/// share. Batching slows each call down before any call waits.
pub(crate) const LOAD_SLOWDOWN: f64 = 0.25;

/// The age of a digest's counts on arrival, which is about the interval of the entries' reports.
pub(crate) const DIGEST_LAG_US: Micros = 100_000;
/// The minimum age at which the counts of other entries' calls weigh as much as their mean over the
/// pool. The age is the mean time of a call, within these bounds.
pub(crate) const OTHERS_HALF_AGE_MIN_US: Micros = 5_000;
/// The maximum of this age.
pub(crate) const OTHERS_HALF_AGE_MAX_US: Micros = 500_000;

/// The age at which an upstream's measured time weighs as much as its pool's. A slow upstream that
/// gets no calls is tried again within seconds.
pub(crate) const UPSTREAM_HALF_AGE_US: Micros = 5_000_000;

/// The age at which the measured time of a stage or pool weighs as much as the declared one.
pub(crate) const STAGE_HALF_AGE_US: Micros = 60_000_000;

/// The ratio of a pool's capacity that all entries use together. The excess waits at the upstreams
/// and keeps them busy between two digests.
pub(crate) const OVERCOMMIT_RATIO: f64 = 1.15;

/// The number of calls that priority 0 may run beyond the entry's share, as a ratio of an even
/// share.
pub(crate) const PRIORITY_EXTRA_SHARE: f64 = 1.0;

/// The slack that an entry always has beyond its even share of a pool, in square roots of that
/// share, because the number of arrivals varies by about its square root. Without it, six entries
/// that share eight slots queue and refuse calls while slots are free. Excess calls wait at the
/// upstreams for a moment.
pub(crate) const SHARE_SLACK: f64 = 0.7;

/// The maximum age of a digest whose counts determine how much of a pool is free.
pub(crate) const MAX_DIGEST_AGE_US: Micros = 2_000_000;

/// The number of entries assumed before the first digest.
pub(crate) const ASSUMED_ENTRIES: u32 = 2;

/// The ratio of its even share of a pool that an entry uses without a digest. The load balancer
/// never spreads callers quite evenly, and the queues of the upstreams absorb some excess.
pub(crate) const NO_DIGEST_RATIO: f64 = 1.25;

/// How many mean deviations a stage gets in addition to its mean time at attainment 1, if others
/// wait for its slot. Work that starts and ends late took the slot from work that could have ended
/// in time. At attainment 0 it is twice that. Priority 0 has no margin, so that it is started even
/// if it might be late.
pub(crate) const MARGIN_DEVIATIONS: f64 = 1.6;

/// The number of queued calls that a pool holds for each call that it may run, besides those of
/// priority 0.
pub(crate) const QUEUED_PER_SLOT: u32 = 4;

/// The minimum queue length at which further calls are refused.
pub(crate) const MIN_QUEUE_LEN: u32 = 8;

/// The maximum queue length, priority 0 included. It bounds memory and the time of one decision.
pub(crate) const MAX_QUEUE_LEN: usize = 1_024;

/// The minimum and maximum time after which a refused caller is told to retry.
pub(crate) const MIN_RETRY_AFTER_US: Micros = 100_000;
/// See [`MIN_RETRY_AFTER_US`].
pub(crate) const MAX_RETRY_AFTER_US: Micros = 20_000_000;

/// The age at which a refusal counts half as a caller that will retry.
pub(crate) const REFUSAL_HALF_AGE_US: Micros = 2_000_000;

/// Bounds of the time to the first byte after which a connection counts as silent.
pub(crate) const MIN_FIRST_BYTE_LIMIT_US: Micros = 100_000;
/// See [`MIN_FIRST_BYTE_LIMIT_US`].
pub(crate) const MAX_FIRST_BYTE_LIMIT_US: Micros = 10_000_000;
/// The minimum of this time while nothing was measured.
pub(crate) const DEFAULT_FIRST_BYTE_LIMIT_US: Micros = 2_000_000;
/// This time while nothing was measured, as a multiple of the expected time of a call.
pub(crate) const DEFAULT_FIRST_BYTE_FACTOR: Micros = 4;
/// The number of silent calls in a row, over a whole pool, after which this time doubles.
pub(crate) const SILENT_CALLS_PER_DOUBLING: u32 = 3;
/// This time as a multiple of the 99th percentile.
pub(crate) const FIRST_BYTE_FACTOR: u64 = 3;

/// The minimum delay of a hedge.
pub(crate) const MIN_HEDGE_DELAY_US: Micros = 2_000;
/// The attainment setting from which calls are hedged at all.
pub(crate) const MIN_HEDGE_ATTAINMENT: f64 = 0.3;

/// The retry and hedge tokens that a pool may accumulate for each call that it may run. If a part
/// of the pool is lost at once, all calls there need a retry, and each may meet a second lost
/// upstream before all of them are ejected.
pub(crate) const BUDGET_TOKENS_PER_SLOT: u32 = 2;
/// The minimum of the tokens that a pool may accumulate.
pub(crate) const MIN_BUDGET_TOKENS: u32 = 10;

/// The score at which an upstream is ejected.
pub(crate) const EJECT_SCORE: u32 = 12;
/// The score of a broken or wrong answer.
pub(crate) const FAILED_SCORE: u32 = 4;
/// The score of a refused connection, which means that the process is gone.
pub(crate) const REFUSED_SCORE: u32 = EJECT_SCORE;
/// How much a complete answer reduces the score.
pub(crate) const SUCCESS_SCORE: u32 = 2;
/// The duration of a first ejection. It doubles with each further ejection in a row.
pub(crate) const EJECT_BASE_US: Micros = 500_000;
/// The maximum duration of an ejection.
pub(crate) const MAX_EJECT_US: Micros = 10_000_000;
/// The largest share of a pool that may be ejected at once, counting also upstreams that failed
/// recently.
pub(crate) const MAX_EJECT_SHARE: f64 = 0.5;
/// How often capacity is recomputed between digests.
pub(crate) const REFRESH_INTERVAL_US: Micros = 20_000;

/// How long an upstream's own report that it is leaving overrides a digest that reports it as live.
/// The sources of a digest lag by a few seconds.
pub(crate) const LEAVING_HOLD_US: Micros = 5_000_000;

/// The age at which a prefix is as likely evicted as still cached.
pub(crate) const PREFIX_HALF_AGE_US: Micros = 60_000_000;
/// The share of the first-token time that a cached prefix is assumed to save until this is
/// measured.
pub(crate) const ASSUMED_PREFIX_GAIN: f64 = 0.3;

/// Switches for single rules, to measure the effect of each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rules {
    /// Checks a request's whole pipeline before its first stage.
    pub pipeline: bool,
    /// Orders queues by priority.
    pub priority: bool,
    /// Shares a pool's queue evenly among customers.
    pub fairness: bool,
    /// Limits each entry to its share of the free capacity.
    pub share: bool,
    /// Lets priority 0 exceed an entry's share.
    pub strong: bool,
    /// Chooses by expected finish; if off, at random.
    pub finish: bool,
    /// Compares a few sampled upstreams; if off, all.
    pub sampling: bool,
    /// Prefers upstreams that have the prompt's prefix cached.
    pub affinity: bool,
    /// Ejects failing upstreams.
    pub eject: bool,
    /// Hedges late calls.
    pub hedge: bool,
    /// Limits retries and hedges by a budget.
    pub budget: bool,
}

impl Rules {
    /// The names of the rules, as [`Rules::without`] takes them.
    pub const NAMES: [&str; 11] = [
        "pipeline", "priority", "fairness", "share", "strong", "finish", "sampling", "affinity",
        "eject", "hedge", "budget",
    ];

    /// Returns all rules except the named one, or all rules if there is none of that name.
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
