//! Chooses the upstream of a request by the parts of its prompt that others share.
//!
//! All entries rank the upstreams of a part alike, without talking: the deepest part that requests
//! share is read once, by one upstream, and they follow it there for as long as it can answer them in
//! time. First parts, which most requests share, are not kept together: the uneven load costs more
//! than the reading that it saves.
//!
//! The load pattern that it answers: long prompts that come in bursts. An upstream that reads some of
//! them is late for the next, however few requests it runs; a count of requests does not show it.

use std::sync::Arc;
use std::time::Duration;

use crate::dialect::PromptPart;
use crate::pace::FIRST_STEP;
use crate::upstream::Upstream;

/// What an upstream has to do, as far as this entry knows.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests at work.
    pub running: f64,
    /// Prompt tokens to be read.
    pub tokens: f64,
}

/// A prompt that needs an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Placing<'a> {
    /// Its parts; the last one is the request's own.
    pub parts: &'a [PromptPart],
    /// The time until its first event should be there.
    pub left: Duration,
    /// The failure domain in which most of its inputs are, once they are made.
    pub domain: Option<&'a str>,
    /// The time to read a token, in ms.
    pub token_ms: f64,
}

/// The share of the time that is left in which an upstream must be done by the estimate: what other
/// entries sent it within the last 300 ms is not known yet.
const SHARE_OF_TIME: f64 = 0.8;

/// What a running request adds to the time until a first event, in ms: a step of the engine takes about
/// as long, and the first event takes some steps.
const RUNNING_MS: f64 = 4.0;

/// The least gain for which a prompt leaves the upstream that has read its shared parts, in ms: as far
/// as estimates miss. Where all are busy, moving for less reads parts again and gains nothing.
const LEAST_GAIN_MS: f64 = 150.0;

impl Placing<'_> {
    /// The time until the first event at an upstream that is loaded so, in ms.
    fn estimate(&self, load: Load, unread: f64) -> f64 {
        let base = FIRST_STEP.as_secs_f64() * 1e3;
        base + (load.tokens + unread) * self.token_ms + load.running * RUNNING_MS
    }

    /// The part by which upstreams are ranked: the deepest that other requests share.
    fn shared(&self) -> Option<&PromptPart> {
        match self.parts {
            [first] => Some(first),
            [.., deep, _] if self.parts.len() > 2 => Some(deep),
            _ => self.parts.first(),
        }
    }
}

/// Chooses among `candidates`: the first in rank if it can be in time, else the first of those in the
/// domain of the inputs that can, else the first of all that can, else the one that is done soonest.
///
/// Staying where a part was read, for as long as that is in time, counts more than an idle upstream:
/// parts that are read again, and results that cross domains, cost more than the wait.
pub fn place<'a>(
    placing: &Placing<'_>,
    candidates: &'a [Arc<Upstream>],
    weight: impl Fn(&Upstream) -> f64,
    load: impl Fn(&Upstream) -> Load,
) -> Option<&'a Arc<Upstream>> {
    let part = placing.shared()?.id;
    let (own, known) = placing.parts.split_last()?;
    let own = f64::from(own.tokens);
    let known: f64 = known.iter().map(|it| f64::from(it.tokens)).sum();
    let by = placing.left.as_secs_f64() * 1e3 * SHARE_OF_TIME;
    let home = first_in_rank(part, candidates, &weight, |_| true)?;
    let there = placing.estimate(load(home), own);
    if there <= by {
        return Some(home);
    }
    let estimate = |it: &Upstream| placing.estimate(load(it), own + known);
    let gains = |it: &Upstream| estimate(it) + LEAST_GAIN_MS < there;
    let in_time = |it: &Upstream| estimate(it) <= by && gains(it);
    let near = |it: &Upstream| placing.domain == Some(&*it.domain) && in_time(it);
    first_in_rank(part, candidates, &weight, near)
        .or_else(|| first_in_rank(part, candidates, &weight, in_time))
        .or_else(|| {
            let soonest = candidates.iter().min_by(|a, b| estimate(a).total_cmp(&estimate(b)));
            soonest.filter(|it| gains(it))
        })
        .or(Some(home))
}

/// The upstream with the lowest rank for a part among those that fit.
fn first_in_rank(
    part: u64,
    candidates: &[Arc<Upstream>],
    weight: impl Fn(&Upstream) -> f64,
    fits: impl Fn(&Upstream) -> bool,
) -> Option<&Arc<Upstream>> {
    let mut best: Option<(f64, &Arc<Upstream>)> = None;
    for upstream in candidates {
        let draw = Draw::new(part, upstream, weight(upstream));
        let behind = best.is_some_and(|(rank, _)| draw.least() >= rank);
        if behind || !fits(upstream) {
            continue;
        }
        let rank = draw.rank();
        if best.is_none_or(|(it, _)| rank < it) {
            best = Some((rank, upstream));
        }
    }
    best.map(|(_, it)| it)
}

/// What decides the place of an upstream for a part: the lowest rank goes first, and each goes first
/// as often as its weight says. A change of one weight moves only parts to or from that upstream.
#[derive(Clone, Copy)]
struct Draw {
    drawn: f64,
    weight: f64,
}

impl Draw {
    fn new(part: u64, upstream: &Upstream, weight: f64) -> Self {
        let drawn = (mix(part ^ upstream.mark) >> 11) as f64 / (1u64 << 53) as f64;
        Self { drawn: drawn.max(f64::MIN_POSITIVE), weight: weight.max(LEAST_WEIGHT) }
    }

    fn rank(self) -> f64 {
        -self.drawn.ln() / self.weight
    }

    /// What the rank is at least; spares the logarithm of nearly all.
    fn least(self) -> f64 {
        (1.0 - self.drawn) / self.weight
    }
}

/// The least weight of an upstream.
const LEAST_WEIGHT: f64 = 0.05;

/// The rank of `name` for `key`, the same at every entry.
pub fn score(key: u64, name: &str) -> u64 {
    let mut hash = key ^ 0x9e37_79b9_7f4a_7c15;
    for byte in name.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    mix(hash)
}

/// The finalizer of a well-known mixer: a multiplication alone leaves the high bits alike.
fn mix(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
