//! Which engine a request goes to.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::Streams;
use crate::dialect::{Dialect, PromptPart};
use crate::directory::Directory;
use crate::place::{Load, Placing, place};
use crate::queue::LARGE_RESULT_BYTES;
use crate::request::CallerRequest;
use crate::upstream::Upstream;

/// What the choice of an engine goes by.
pub(super) struct Choice<'a> {
    /// Engines that the request was offered to before.
    pub(super) tried: &'a [Arc<str>],
    /// The time until the first event should be there.
    pub(super) left: Duration,
    /// The failure domain in which most inputs are.
    pub(super) domain: Option<Arc<str>>,
}

impl<D: Dialect> Streams<D> {
    /// Chooses an engine, one that works if there is any.
    pub(super) fn choose(
        &self,
        request: &CallerRequest,
        service: &Arc<str>,
        choice: &Choice<'_>,
    ) -> Option<Arc<Upstream>> {
        let now = Instant::now();
        let directory = self.shared.directory();
        let open = directory.service(service).iter();
        let open = open.filter(|it| it.is_open() && !choice.tried.contains(&it.id)).cloned();
        let mut candidates: Vec<Arc<Upstream>> = open.collect();
        if candidates.iter().any(|it| !it.is_paused(now)) {
            candidates.retain(|it| !it.is_paused(now));
        }
        let load = |it: &Upstream| Load {
            running: f64::from(it.running_all()),
            tokens: it.tokens_all() as f64,
        };
        let parts = request.ask.generation.as_ref().map_or(&[][..], |it| &it.parts);
        let spread = [PromptPart { id: rand::random(), tokens: 0 }];
        let parts = if parts.is_empty() { &spread } else { parts };
        let weights = maker_weights(request, &directory, &candidates);
        let weight = |it: &Upstream| weights.get(&it.domain).copied().unwrap_or(1.0);
        let placing = Placing {
            parts,
            left: choice.left,
            domain: choice.domain.as_deref(),
            token_ms: self.shared.paces.token_ms(service),
        };
        place(&placing, &candidates, weight, load).cloned()
    }
}

/// Weighs the engines of each failure domain by the makers of large results there, so that neither
/// results cross domains nor makers of one domain wait while those of another have nothing to do.
fn maker_weights(
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
    let makers: Vec<_> =
        directory.service(&stage.service).iter().filter(|it| it.is_open()).collect();
    for (domain, weight) in &mut weights {
        let made = makers.iter().filter(|it| it.domain == *domain).count() as f64;
        let used = engines.iter().filter(|it| it.domain == *domain).count() as f64;
        *weight = made / makers.len().max(1) as f64 * engines.len() as f64 / used;
    }
    weights
}
