//! The prompt prefix cache of a fake engine, and its events, which are published late and with
//! gaps.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use hyper::StatusCode;
use serde::Serialize;

use super::text;
use crate::http::{self, Reply};

/// The length of a cached block of a prompt, in bytes.
pub const BLOCK_BYTES: usize = 64;

/// The maximum number of events kept for readers.
const MAX_EVENTS: usize = 4_096;

/// The kind of change to a cached prefix.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
enum EventKind {
    Stored,
    Evicted,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct Event {
    sequence: u64,
    prefix: u64,
    kind: EventKind,
    #[serde(skip)]
    due: Instant,
}

#[derive(Debug, Serialize)]
struct Events {
    sequence: u64,
    events: Vec<Event>,
}

/// An LRU cache of prompt blocks. The key of a block is the hash of the prompt up to its end.
#[derive(Debug)]
pub(super) struct Cache {
    max_blocks: usize,
    event_delay: Duration,
    /// Every event whose number is a multiple of this is never published; 0 publishes all.
    gap_interval: u64,
    uses: u64,
    /// The number of the last use, by prefix.
    blocks: HashMap<u64, u64>,
    /// The prefixes in order of their uses, with outdated uses.
    use_order: VecDeque<(u64, u64)>,
    sequence: u64,
    events: VecDeque<Event>,
}

/// Returns the hashes of all prefixes of `prompt` that consist of whole blocks, shortest first: the
/// 64-bit FNV-1a of the first [`BLOCK_BYTES`], twice [`BLOCK_BYTES`], .. bytes.
pub fn prefixes(prompt: &str) -> Vec<u64> {
    let mut hash = None;
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    let step = |block| {
        let next = text::extend_hash(hash, block);
        hash = Some(next);
        next
    };
    blocks.map(step).collect()
}

impl Cache {
    pub(super) fn new(max_blocks: usize, event_delay: Duration, gap_interval: u64) -> Self {
        Self {
            max_blocks,
            event_delay,
            gap_interval,
            uses: 0,
            blocks: HashMap::new(),
            use_order: VecDeque::new(),
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Stores all blocks of a prompt. Returns the share of them that was cached, from 0 to 1.
    pub(super) fn lookup_and_store(&mut self, prompt: &str) -> f64 {
        let prefixes = prefixes(prompt);
        let hits = prefixes.iter().take_while(|it| self.blocks.contains_key(it)).count();
        let share = if prefixes.is_empty() { 0.0 } else { hits as f64 / prefixes.len() as f64 };
        for prefix in prefixes {
            self.store(prefix);
        }
        self.evict();
        share
    }

    /// Builds the response to `GET /v1/cache?after=N`: the published events with numbers above N.
    pub(super) fn events_reply(&self, query: &str) -> Reply {
        let after = query.strip_prefix("after=").and_then(|it| it.parse().ok()).unwrap_or(0);
        let now = Instant::now();
        let published = self.events.iter().filter(|it| it.due <= now && it.sequence > after);
        let events: Vec<Event> = published.copied().collect();
        let sequence = events.last().map_or(after, |it| it.sequence);
        http::json(StatusCode::OK, &Events { sequence, events })
    }

    fn store(&mut self, prefix: u64) {
        self.uses += 1;
        if self.blocks.insert(prefix, self.uses).is_none() {
            self.publish(prefix, EventKind::Stored);
        }
        self.use_order.push_back((prefix, self.uses));
    }

    fn evict(&mut self) {
        while self.blocks.len() > self.max_blocks || self.use_order.len() > 4 * self.max_blocks {
            let Some((prefix, used)) = self.use_order.pop_front() else { return };
            if self.blocks.get(&prefix) == Some(&used) {
                self.blocks.remove(&prefix);
                self.publish(prefix, EventKind::Evicted);
            }
        }
    }

    /// Adds an event to those published, unless it falls into a gap.
    fn publish(&mut self, prefix: u64, kind: EventKind) {
        self.sequence += 1;
        if self.gap_interval > 0 && self.sequence.is_multiple_of(self.gap_interval) {
            return;
        }
        let due = Instant::now() + self.event_delay;
        self.events.push_back(Event { sequence: self.sequence, prefix, kind, due });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
