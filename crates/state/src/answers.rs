//! The bodies of stored answers, kept for resends within limits on age and memory.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use types::UnixMillis;

use crate::key::ShortHash;

/// The memory that a body takes besides its bytes. The example `claim_cost` measures it.
const BODY_OVERHEAD_BYTES: u64 = 100;

/// A body. It is written to the snapshot in one piece instead of byte by byte.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Body(Box<[u8]>);

impl Body {
    fn memory_bytes(&self) -> u64 {
        self.0.len() as u64 + BODY_OVERHEAD_BYTES
    }
}

impl Serialize for Body {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Body {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_bytes(BodyVisitor)
    }
}

struct BodyVisitor;

impl Visitor<'_> for BodyVisitor {
    type Value = Body;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Body, E> {
        Ok(Body(bytes.into()))
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Answers {
    bodies: BTreeMap<ShortHash, Body>,
    order: VecDeque<(ShortHash, UnixMillis)>,
    bytes: u64,
}

impl Answers {
    pub(crate) fn insert(&mut self, key: ShortHash, body: Vec<u8>, at: UnixMillis) {
        let body = Body(body.into());
        self.bytes += body.memory_bytes();
        self.bodies.insert(key, body);
        self.order.push_back((key, at));
    }

    pub(crate) fn get(&self, key: &ShortHash) -> Option<&[u8]> {
        self.bodies.get(key).map(|body| &*body.0)
    }

    /// Drops the oldest bodies until none is older than `since` and all fit into `max_bytes`.
    pub(crate) fn trim(&mut self, since: u64, max_bytes: u64) {
        while let Some((key, at)) = self.order.front().copied() {
            if at.0 >= since && self.bytes <= max_bytes {
                return;
            }
            self.order.pop_front();
            let body = self.bodies.remove(&key);
            self.bytes = self.bytes.saturating_sub(body.map_or(0, |body| body.memory_bytes()));
        }
    }

    /// Returns the memory of all bodies, in bytes.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }

    pub(crate) fn count(&self) -> u64 {
        self.bodies.len() as u64
    }
}
