//! Authenticates callers. Bearer keys are known only by their SHA-256.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use follower::ServiceSnapshot;
use http::HeaderValue;
use sha2::{Digest, Sha256};
use types::{CustomerName, Pipeline, PipelineName, Service};

const BEARER_PREFIX: &[u8] = b"bearer ";

/// The service in force, with what an entry derives from it.
#[derive(Debug)]
pub(crate) struct ServiceView {
    snapshot: Arc<ServiceSnapshot>,
    pipelines: HashMap<PipelineName, Arc<Pipeline>>,
    max_duration: Duration,
    keys: HashMap<[u8; 32], CustomerName>,
}

impl ServiceView {
    pub(crate) fn new(snapshot: Arc<ServiceSnapshot>) -> Self {
        let mut keys = HashMap::new();
        for (name, customer) in &snapshot.service.customers {
            let hashes = customer.keys.iter().filter_map(|it| parse_hash(it));
            keys.extend(hashes.map(|hash| (hash, name.clone())));
        }
        let pipelines = snapshot.service.pipelines.iter();
        let pipelines = pipelines.map(|(name, it)| (name.clone(), Arc::new(it.clone()))).collect();
        let service = &snapshot.service;
        let deadlines = service.pipelines.values().map(|it| Duration::from(it.deadline));
        let max_duration = deadlines.max().unwrap_or_default();
        let max_duration = max_duration + Duration::from(service.requests.read);
        Self { snapshot, pipelines, max_duration, keys }
    }

    pub(crate) fn service(&self) -> &Service {
        &self.snapshot.service
    }

    /// Returns the longest possible time from a request's arrival to its answer.
    pub(crate) fn max_duration(&self) -> Duration {
        self.max_duration
    }

    pub(crate) fn pipeline(&self, name: &PipelineName) -> Option<&Arc<Pipeline>> {
        self.pipelines.get(name)
    }

    /// Returns the customer whose key the header carries. The look-up compares hashes, so its
    /// timing reveals nothing about a key.
    pub(crate) fn customer(&self, header: Option<&HeaderValue>) -> Option<&CustomerName> {
        let value = header?.as_bytes();
        let (scheme, key) = value.split_at_checked(BEARER_PREFIX.len())?;
        if !scheme.eq_ignore_ascii_case(BEARER_PREFIX) {
            return None;
        }
        let hash: [u8; 32] = Sha256::digest(key.trim_ascii()).into();
        self.keys.get(&hash)
    }
}

fn parse_hash(text: &str) -> Option<[u8; 32]> {
    let mut hash = [0; 32];
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    for (index, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[index * 2..index * 2 + 2], 16).ok()?;
    }
    Some(hash)
}
