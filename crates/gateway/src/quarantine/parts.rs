//! The parts of prompts that an entry knows to terminate no upstream.

use std::collections::HashMap;
use std::time::Duration;

use registry::RequestDigest;
use tokio::time::Instant;

use crate::dialect::Generation;

/// How long the completion of a request with a part is remembered, at least.
const RETENTION: Duration = Duration::from_secs(120);

/// The largest number of parts in one generation of the memory. Those that are in use return with the
/// next request.
const MAX_PARTS: usize = 1 << 13;

/// Returns the digests of the parts of a prompt that other requests of a service may share.
pub(crate) fn part_digests(generation: &Generation, service: &str) -> Vec<RequestDigest> {
    let digest =
        |id: u64| RequestDigest::of(&[b"part of a prompt", service.as_bytes(), &id.to_be_bytes()]);
    generation.shared_parts().iter().map(|it| digest(it.id)).collect()
}

/// When requests with a part completed last, in two generations: the older one is forgotten as a whole.
#[derive(Debug, Default)]
pub(super) struct PartHistory {
    current: HashMap<RequestDigest, Instant>,
    previous: HashMap<RequestDigest, Instant>,
    turned: Option<Instant>,
}

impl PartHistory {
    /// Records that a request with these parts completed.
    pub(super) fn record(&mut self, parts: &[RequestDigest], now: Instant) {
        let turned = *self.turned.get_or_insert(now);
        if now.duration_since(turned) >= RETENTION || self.current.len() >= MAX_PARTS {
            self.previous = std::mem::take(&mut self.current);
            self.turned = Some(now);
        }
        self.current.extend(parts.iter().map(|it| (*it, now)));
    }

    /// Returns how long ago a request with the part completed.
    pub(super) fn since_completion(&self, part: RequestDigest, now: Instant) -> Option<Duration> {
        let at = self.current.get(&part).or_else(|| self.previous.get(&part))?;
        Some(now.duration_since(*at))
    }
}
