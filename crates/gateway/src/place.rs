//! Chooses the upstream of a request by the parts of its prompt that other requests share.
//!
//! All entries rank the upstreams of a prompt part alike without exchanging messages (weighted
//! rendezvous hashing). The deepest part that requests share is read by one upstream, and later
//! requests follow it there as long as that upstream can answer them in time. The first parts of
//! prompts, which most requests share, are not kept together: the uneven load would cost more than
//! the saved reading.
//!
//! This is made for long prompts that come in bursts. An upstream that has to read some of them is
//! late for the next one, however few requests it runs, and a count of requests does not show that.

use std::sync::Arc;
use std::time::Duration;

use crate::dialect::PromptPart;
use crate::prefill::FIRST_EVENT_OVERHEAD;
use crate::upstream::Upstream;

/// The work that an upstream has, as far as this entry knows.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// The number of running requests.
    pub running: f64,
    /// The number of prompt tokens still to be read.
    pub tokens: f64,
}

/// A prompt for which an upstream is to be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Placement<'a> {
    /// The parts of the prompt; the last one is not shared with other requests.
    pub parts: &'a [PromptPart],
    /// The time left until the first event is due.
    pub left: Duration,
    /// By how much longer than expected first events took lately. What other entries sent within the last
    /// 300 ms is not known yet.
    pub margin: Duration,
    /// The failure domain that holds, or will hold, most of the request's inputs.
    pub domain: Option<&'a str>,
    /// The time that an engine needs to read a token, in ms.
    pub token_ms: f64,
}

/// An upstream that was chosen for a prompt.
#[derive(Clone, Debug)]
pub struct Placed {
    /// The upstream.
    pub upstream: Arc<Upstream>,
    /// The expected time until the first event.
    pub expected: Duration,
}

/// What a running request adds to the time until a first event, in ms. A step of the engine takes
/// about this long, and a first event takes several steps.
const RUNNING_REQUEST_MS: f64 = 4.0;

/// The least gain for which a prompt leaves the upstream that has read its shared parts, in ms;
/// about the error of the estimates. Where all upstreams are busy, moving for less reads the parts
/// again and gains nothing.
const MIN_GAIN_MS: f64 = 150.0;

impl Placement<'_> {
    /// Returns the expected time until the first event at an upstream with this load, in ms.
    fn estimate(&self, load: Load, unread: f64) -> f64 {
        let base = FIRST_EVENT_OVERHEAD.as_secs_f64() * 1e3;
        base + (load.tokens + unread) * self.token_ms + load.running * RUNNING_REQUEST_MS
    }

    /// Returns whether an upstream with this load that has read only the first part of the prompt is
    /// expected to be in time.
    fn is_in_time(&self, load: Load) -> bool {
        let unread: f64 = self.parts.iter().skip(1).map(|it| f64::from(it.tokens)).sum();
        self.estimate(load, unread) <= self.limit_ms()
    }

    /// Returns the time within which an upstream must be expected to finish, in ms.
    fn limit_ms(&self) -> f64 {
        self.left.saturating_sub(self.margin).as_secs_f64() * 1e3
    }

    /// Returns the part by which upstreams are ranked: the deepest that other requests share.
    fn ranking_part(&self) -> Option<&PromptPart> {
        match self.parts {
            [first] => Some(first),
            [.., deep, _] if self.parts.len() > 2 => Some(deep),
            _ => self.parts.first(),
        }
    }
}

/// The number of running requests for each upstream over which the prompts with the same first part
/// are gathered.
const GATHERED_RUNNING: usize = 2;

/// The least number of upstreams over which prompts are gathered. Entries send that many requests
/// before they hear of each other's.
const MIN_WIDTH: usize = 64;

/// The number of upstreams for each running request from which most are idle, so that prompts are
/// gathered. Where more are in use, each has parts of its own to keep.
const IDLE_UPSTREAMS: usize = 4;

/// Returns over how many of `upstreams` the prompts with the same first part are gathered, while
/// `running` requests run at all of them.
pub fn width(running: usize, upstreams: usize) -> usize {
    if running * IDLE_UPSTREAMS > upstreams {
        return upstreams;
    }
    (running / GATHERED_RUNNING).max(MIN_WIDTH).min(upstreams)
}

/// As [`place`], but prefers the `width` candidates that come first in rank for the first part of the
/// prompt, as long as one of them is expected to be in time.
///
/// This is made for a fleet with far more upstreams than its requests keep busy. Ranked by a deep part
/// alone, nearly every request goes to an upstream of its own and reads its first part there, which
/// others have read already. While upstreams are busy, `width` covers all of them.
pub fn place_gathered(
    placement: &Placement<'_>,
    candidates: &[Arc<Upstream>],
    width: usize,
    weight: impl Fn(&Upstream) -> f64,
    load: impl Fn(&Upstream) -> Load,
) -> Option<Placed> {
    let first = placement.parts.first()?.id;
    if width < candidates.len() {
        let gathered = first_ranked(first, candidates, &weight, width);
        // The weights have decided how many of each failure domain these are.
        let chosen = place(placement, &gathered, |_| 1.0, &load);
        if let Some(chosen) = chosen.filter(|it| placement.is_in_time(load(&it.upstream))) {
            return Some(chosen);
        }
    }
    place(placement, candidates, weight, load)
}

/// Chooses an upstream among `candidates`: the first in rank if it can be in time, else the first
/// in the failure domain of the inputs that can, else the first of all that can, else the one
/// expected to finish soonest.
///
/// A request prefers the upstream that has read its shared parts to an idle one as long as it is in
/// time there: reading parts again, and moving results across failure domains, delays others for
/// longer than the wait. One that is late already goes where it is served soonest.
pub fn place(
    placement: &Placement<'_>,
    candidates: &[Arc<Upstream>],
    weight: impl Fn(&Upstream) -> f64,
    load: impl Fn(&Upstream) -> Load,
) -> Option<Placed> {
    let placed = |upstream: &Arc<Upstream>, ms: f64| Placed {
        upstream: Arc::clone(upstream),
        expected: Duration::from_secs_f64(ms / 1e3),
    };
    let part = placement.ranking_part()?.id;
    let (own, known) = placement.parts.split_last()?;
    let own = f64::from(own.tokens);
    let known: f64 = known.iter().map(|it| f64::from(it.tokens)).sum();
    let limit_ms = placement.limit_ms();
    let home = first_in_rank(part, candidates, &weight, |_| true)?;
    let home_ms = placement.estimate(load(home), own);
    if home_ms <= limit_ms {
        return Some(placed(home, home_ms));
    }
    let estimate = |it: &Upstream| placement.estimate(load(it), own + known);
    let gains = |it: &Upstream| estimate(it) + MIN_GAIN_MS < home_ms;
    let in_time = |it: &Upstream| estimate(it) <= limit_ms && gains(it);
    let near = |it: &Upstream| placement.domain == Some(&*it.domain) && in_time(it);
    let other = first_in_rank(part, candidates, &weight, near)
        .or_else(|| first_in_rank(part, candidates, &weight, in_time))
        .or_else(|| {
            let soonest = candidates.iter().min_by(|a, b| estimate(a).total_cmp(&estimate(b)));
            soonest.filter(|it| gains(it))
        });
    Some(other.map_or_else(|| placed(home, home_ms), |it| placed(it, estimate(it))))
}

/// Returns the upstream with the lowest rank for a part among those that fit.
fn first_in_rank(
    part: u64,
    candidates: &[Arc<Upstream>],
    weight: impl Fn(&Upstream) -> f64,
    fits: impl Fn(&Upstream) -> bool,
) -> Option<&Arc<Upstream>> {
    let mut best: Option<(f64, &Arc<Upstream>)> = None;
    for upstream in candidates {
        let draw = RankDraw::new(part, upstream, weight(upstream));
        let behind = best.is_some_and(|(rank, _)| draw.lower_bound() >= rank);
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

/// Returns the `count` upstreams with the lowest ranks for a part, in any order.
fn first_ranked(
    part: u64,
    candidates: &[Arc<Upstream>],
    weight: impl Fn(&Upstream) -> f64,
    count: usize,
) -> Vec<Arc<Upstream>> {
    let rank = |it: &Arc<Upstream>| RankDraw::new(part, it, weight(it)).rank();
    let mut ranked: Vec<_> = candidates.iter().map(|it| (rank(it), it)).collect();
    if count < ranked.len() {
        ranked.select_nth_unstable_by(count, |a, b| a.0.total_cmp(&b.0));
        ranked.truncate(count);
    }
    ranked.into_iter().map(|(_, it)| Arc::clone(it)).collect()
}

/// The rank of an upstream for a part. The lowest rank goes first, and each upstream goes first as
/// often as its weight says. Changing one weight moves only parts to or from that upstream.
#[derive(Clone, Copy)]
struct RankDraw {
    drawn: f64,
    weight: f64,
}

impl RankDraw {
    fn new(part: u64, upstream: &Upstream, weight: f64) -> Self {
        let drawn = (mix(part ^ upstream.id_hash) >> 11) as f64 / (1u64 << 53) as f64;
        Self { drawn: drawn.max(f64::MIN_POSITIVE), weight: weight.max(MIN_WEIGHT) }
    }

    fn rank(self) -> f64 {
        -self.drawn.ln() / self.weight
    }

    /// Returns a lower bound of the rank, which avoids computing the logarithm for nearly all
    /// upstreams.
    fn lower_bound(self) -> f64 {
        (1.0 - self.drawn) / self.weight
    }
}

/// The least weight of an upstream; smaller weights are raised to it.
const MIN_WEIGHT: f64 = 0.05;

/// Returns the hash of `name` for `key`, which is the same at every entry.
pub fn score(key: u64, name: &str) -> u64 {
    let mut hash = key ^ 0x9e37_79b9_7f4a_7c15;
    for byte in name.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    mix(hash)
}

/// Mixes the bits of a hash with the finalizer of MurmurHash3; a multiplication alone would leave
/// the high bits of similar inputs alike.
pub(crate) fn mix(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
