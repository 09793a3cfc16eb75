//! Chooses the engine for a request.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use types::SoftwareVersion;

#[cfg(test)]
mod tests;

use super::Streams;
use crate::dialect::{Dialect, PromptPart};
use crate::directory::Directory;
use crate::health::choose_trial;
use crate::place::{Load, Placement, place_gathered, width};
use crate::queue::LARGE_RESULT_BYTES;
use crate::request::CallerRequest;
use crate::upstream::Upstream;

/// The criteria for choosing an engine.
pub(super) struct Criteria<'a> {
    /// The engines that the request was already offered to.
    pub(super) tried: &'a [Arc<str>],
    /// The time left until the first event is due.
    pub(super) left: Duration,
    /// The failure domain that holds most of the inputs.
    pub(super) domain: Option<Arc<str>>,
    /// The version at which the stream began, if it is resumed. What two versions write does not fit
    /// together.
    pub(super) version: Option<&'a SoftwareVersion>,
    /// Engines that were heard since then are preferred, then those that run nothing.
    pub(super) heard_since: Option<Instant>,
}

/// An engine that was chosen.
pub(super) struct Chosen {
    pub(super) upstream: Arc<Upstream>,
    /// The expected time until its first event, if it was chosen by that.
    pub(super) expected: Option<Duration>,
}

/// How much speaks for an engine's being silent; those with the least are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Doubt {
    /// It was heard.
    None,
    /// It ran nothing of this entry all the time, so it had nothing to say.
    Unknown,
    /// It ran requests all the time, and was not heard.
    Silent,
}

impl Doubt {
    fn of(engine: &Upstream, since: Instant) -> Self {
        if engine.has_been_heard_since(since) {
            Self::None
        } else if engine.has_been_busy_since(since) {
            Self::Silent
        } else {
            Self::Unknown
        }
    }
}

/// Returns the engines of a service, or those of one version.
pub(super) fn engines<'a>(
    directory: &'a Directory,
    service: &str,
    version: Option<&SoftwareVersion>,
) -> impl Iterator<Item = &'a Arc<Upstream>> {
    let fits = move |it: &&Arc<Upstream>| version.is_none_or(|version| it.version == *version);
    directory.service(service).iter().filter(fits)
}

impl<D: Dialect> Streams<D> {
    /// Chooses an engine; those that are passed over, ejected ones, and those at which all
    /// connections of this entry are in use, are chosen only if all are such.
    pub(super) fn choose(
        &self,
        request: &CallerRequest,
        service: &Arc<str>,
        criteria: &Criteria<'_>,
    ) -> Option<Chosen> {
        let now = Instant::now();
        let directory = self.shared.directory();
        let open = engines(&directory, service, criteria.version);
        let fits = |it: &&Arc<Upstream>| it.is_open() && it.has_room(now);
        let open = open.filter(|it| fits(it) && !criteria.tried.contains(&it.id)).cloned();
        let mut candidates: Vec<Arc<Upstream>> = open.collect();
        if criteria.tried.is_empty() && criteria.version.is_none() {
            let may_try = request.may_try_failing();
            let mix = self.shared.mix.record(service, may_try);
            let passed = candidates.iter().filter(|it| it.is_passed_over() && it.has_connection());
            let passed = passed.filter(|_| may_try);
            let trial = choose_trial(passed, |it| it.trial_share(now), mix, rand::random());
            if let Some(trial) = trial {
                return Some(Chosen { upstream: Arc::clone(trial), expected: None });
            }
        }
        if candidates.iter().any(|it| !it.is_passed_over()) {
            candidates.retain(|it| !it.is_passed_over());
        }
        let fit = |it: &Arc<Upstream>| !it.is_ejected(now) && it.has_connection();
        if candidates.iter().any(fit) {
            candidates.retain(fit);
        }
        if let Some(since) = criteria.heard_since {
            let least = candidates.iter().map(|it| Doubt::of(it, since)).min();
            candidates.retain(|it| least == Some(Doubt::of(it, since)));
        }
        let load = |it: &Upstream| Load {
            running: f64::from(it.total_running()),
            tokens: it.total_tokens() as f64,
        };
        let parts = request.head.generation.as_ref().map_or(&[][..], |it| &it.parts);
        let spread = [PromptPart { id: rand::random(), tokens: 0 }];
        let parts = if parts.is_empty() { &spread } else { parts };
        let weights = producer_weights(request, &directory, &candidates);
        let weight = |it: &Upstream| weights.get(&it.domain).copied().unwrap_or(1.0);
        let placement = Placement {
            parts,
            left: criteria.left,
            margin: self.shared.late_starts.expected(service),
            domain: criteria.domain.as_deref(),
            token_ms: self.shared.prefill_times.token_ms(service),
        };
        let placed =
            place_gathered(&placement, &candidates, self.width(&candidates), weight, load)?;
        Some(Chosen { upstream: placed.upstream, expected: Some(placed.expected) })
    }
}

impl<D: Dialect> Streams<D> {
    /// Returns over how many engines prompts are gathered. Without the loads of the other entries, all
    /// engines are used: nobody would notice that the gathered ones are overloaded.
    fn width(&self, engines: &[Arc<Upstream>]) -> usize {
        if !self.shared.knows_loads() {
            return engines.len();
        }
        width(engines.iter().map(|it| it.total_running() as usize).sum(), engines.len())
    }
}

/// Weighs the engines of each failure domain by the number of upstreams there that produce large
/// results. Then large results stay in their domain, and no domain's producers are overloaded while
/// those of another are idle.
fn producer_weights(
    request: &CallerRequest,
    directory: &Directory,
    engines: &[Arc<Upstream>],
) -> HashMap<Arc<str>, f64> {
    let mut weights: HashMap<Arc<str>, f64> = HashMap::new();
    let stages = &request.route.stages;
    let large = stages.iter().enumerate().find(|(at, it)| {
        it.size >= LARGE_RESULT_BYTES && !stages.iter().any(|other| other.after.contains(at))
    });
    let Some((_, stage)) = large else { return weights };
    for engine in engines {
        weights.entry(Arc::clone(&engine.domain)).or_default();
    }
    let producers: Vec<_> =
        directory.service(&stage.service).iter().filter(|it| it.is_open()).collect();
    for (domain, weight) in &mut weights {
        let producer_count = producers.iter().filter(|it| it.domain == *domain).count() as f64;
        let engine_count = engines.iter().filter(|it| it.domain == *domain).count() as f64;
        *weight =
            producer_count / producers.len().max(1) as f64 * engines.len() as f64 / engine_count;
    }
    weights
}
