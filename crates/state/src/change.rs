//! Changes and marks, and the first reply to each.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use types::{ChangeId, OperatorName, Version};

use crate::command::ChangeReply;

/// The decision on a change or mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Decision {
    /// The change was accepted as the version.
    Accepted,
    /// The change was refused at the version.
    Conflict,
    /// The change was refused at the version because its base is a version not reached yet.
    Ahead,
    /// The mark was made under the version.
    Mark,
}

/// The first bytes of a SHA-256 hash of a whole request. An id may be sent again only with the same
/// content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ContentHash([u8; 8]);

impl ContentHash {
    pub(crate) fn of(request: &impl Serialize) -> Self {
        // Writing to a vector cannot fail.
        let hash = Sha256::digest(postcard::to_stdvec(request).unwrap_or_default());
        let mut start = [0; 8];
        start.copy_from_slice(&hash[..8]);
        Self(start)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct PastDecision {
    content: ContentHash,
    version: Version,
    operator: u16,
    decision: Decision,
}

/// The ids of all changes and marks, with what is needed to repeat their replies.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Changes {
    past: BTreeMap<[u8; 16], PastDecision>,
    operators: Vec<OperatorName>,
    /// The replies to changes that were decided below this version are dropped.
    horizon: Version,
}

impl Changes {
    /// Returns the first reply to `id`, if there was one.
    pub(crate) fn first_reply(&self, id: ChangeId, content: ContentHash) -> Option<ChangeReply> {
        let past = self.past.get(id.0.as_bytes())?;
        if past.content != content {
            return Some(ChangeReply::Reused);
        }
        Some(match past.decision {
            Decision::Accepted | Decision::Mark => ChangeReply::Accepted(past.version),
            Decision::Conflict | Decision::Ahead => self.conflict(past.version),
        })
    }

    /// Returns the reply to a change that lost to `version`.
    pub(crate) fn conflict(&self, version: Version) -> ChangeReply {
        let won =
            |past: &PastDecision| past.decision == Decision::Accepted && past.version == version;
        let winner = self.past.iter().find(|(_, past)| won(past));
        let id = winner.map(|(id, _)| ChangeId(uuid::Uuid::from_bytes(*id)));
        let operator = winner.and_then(|(_, past)| self.operators.get(past.operator as usize));
        ChangeReply::Conflict { version, winner: id, operator: operator.cloned() }
    }

    /// Returns whether a change on `base` may have been decided and its reply dropped.
    pub(crate) fn is_forgotten(&self, base: Version) -> bool {
        base < self.horizon
    }

    pub(crate) fn insert(
        &mut self,
        id: ChangeId,
        content: ContentHash,
        operator: &OperatorName,
        outcome: (Decision, Version),
    ) {
        let (decision, version) = outcome;
        let operator = self.operator_index(operator);
        self.past.insert(*id.0.as_bytes(), PastDecision { content, version, operator, decision });
    }

    /// Returns the index of an operator, and adds a new one. After 65,536 names, further
    /// operators share the last index, and a conflict may name the wrong one.
    fn operator_index(&mut self, operator: &OperatorName) -> u16 {
        let known = self.operators.iter().position(|it| it == operator);
        let index = known.unwrap_or_else(|| {
            self.operators.push(operator.clone());
            self.operators.len() - 1
        });
        u16::try_from(index).unwrap_or(u16::MAX)
    }

    /// Drops the older half of the replies once there are more than `max_replies`. Changes from
    /// that time are recognized by their base, which is below the horizon. Marks, and changes on a
    /// version that was not reached, have no such base and stay, as do the winners that the latter
    /// name.
    pub(crate) fn trim(&mut self, max_replies: u32) {
        if self.past.len() <= max_replies as usize {
            return;
        }
        let droppable =
            |past: &PastDecision| !matches!(past.decision, Decision::Mark | Decision::Ahead);
        let mut versions: Vec<Version> =
            self.past.values().filter(|past| droppable(past)).map(|past| past.version).collect();
        versions.sort_unstable();
        let Some(middle) = versions.get(versions.len() / 2).copied() else {
            return;
        };
        let ahead = self.past.values().filter(|past| past.decision == Decision::Ahead);
        let named: BTreeSet<Version> = ahead.map(|past| past.version).collect();
        self.past.retain(|_, past| {
            let winner = past.decision == Decision::Accepted && named.contains(&past.version);
            !droppable(past) || past.version >= middle || winner
        });
        self.horizon = self.horizon.max(middle);
    }

    pub(crate) fn len(&self) -> u64 {
        self.past.len() as u64
    }
}
