//! Idempotency claims: at most one granted claim for each key between releases.
//!
//! A key is absent, running, ended (with its answer, or lost with its owner) or a tombstone. Ended
//! keys first lose the body of their answer. Later, dated keys are dropped and the date floor is
//! raised above them, and undated keys become tombstones. A dropped key or a tombstone is refused
//! and never runs again.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use serde::{Deserialize, Serialize};
use types::{
    ClaimAnswer, ClaimKey, ClaimRequest, ClaimTicket, Incarnation, Outcome, StoredAnswer,
    UnixMillis, VmName,
};

use crate::answers::Answers;
use crate::incarnations::{IncarnationId, Incarnations};
use crate::key::{ShortHash, key_date};
use crate::limits::Limits;

/// The maximum number of ended keys that one `Expire` examines, so that none delays the claims
/// after it.
const EXPIRE_BATCH_KEYS: usize = 10_000;

/// How long a released ticket is kept, in milliseconds on the leader's clock.
const RELEASED_RETENTION_MS: u64 = 3_600_000;

/// The owner of a claim: a short form of its ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Owner {
    incarnation: IncarnationId,
    attempt: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Running {
    owner: Owner,
    fingerprint: ShortHash,
    date: Option<u64>,
    /// The time of the request.
    at: UnixMillis,
}

/// The time by which an ended key is aged, in milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Age {
    /// The date in the key.
    Dated(u64),
    /// The time when the key ended.
    Undated(u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum End {
    Done { outcome: Outcome, status: u16, digest: [u8; 32] },
    Lost(Owner),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Ended {
    fingerprint: ShortHash,
    age: Age,
    end: End,
}

/// The outcome of a release.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ReleaseResult {
    /// The ticket holds no claim and never will.
    Released,
    /// The claim stays, because callers were already told how it ended.
    Kept(ClaimAnswer),
}

/// All claims.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Claims {
    running: BTreeMap<ShortHash, Running>,
    ended: BTreeMap<ShortHash, Ended>,
    tombstones: BTreeSet<ShortHash>,
    /// Released tickets, with the time of the release on the leader's clock.
    released: BTreeMap<(VmName, Incarnation, u64), UnixMillis>,
    answers: Answers,
    /// Dated keys from before this date were dropped. An unknown key from before it may be one of
    /// them.
    date_floor: u64,
    /// The key after which the next `Expire` continues.
    cursor: Option<ShortHash>,
    /// The time of the last `Expire`. A wrong clock of one leader has no effect beyond its
    /// leadership.
    last_expire: UnixMillis,
}

impl Claims {
    pub(crate) fn claim(
        &mut self,
        request: &ClaimRequest,
        at: UnixMillis,
        state: (&Incarnations, &Limits),
    ) -> ClaimAnswer {
        let (incarnations, limits) = state;
        let key = ShortHash::of_key(&request.key);
        let fingerprint = ShortHash::of_fingerprint(&request.fingerprint);
        if let Some(answer) =
            self.existing_answer(&key, &fingerprint, &request.ticket, incarnations)
        {
            return answer;
        }
        let date = key_date(&request.key);
        // Without this check, the resend of a key whose record was dropped would look new, and the
        // call would run a second time. Dropping a record raised the floor above the key's date or
        // left a tombstone.
        if self.tombstones.contains(&key) || date.is_some_and(|date| date < self.date_floor) {
            return ClaimAnswer::Expired;
        }
        // The claim may arrive after the release of its ticket, or after its owner was declared
        // lost. Granting it would block the key on behalf of nobody. Nothing is stored, so a resend
        // through another entry process still runs.
        let Some(incarnation) = incarnations.find_live(&request.ticket) else {
            return ClaimAnswer::OwnerLost;
        };
        if self.released.contains_key(&released_ticket(&request.ticket)) {
            return ClaimAnswer::OwnerLost;
        }
        if self.keys() >= limits.claims.keys {
            return ClaimAnswer::Full;
        }
        let owner = Owner { incarnation, attempt: request.ticket.attempt };
        self.running.insert(key, Running { owner, fingerprint, date, at });
        ClaimAnswer::Granted
    }

    /// Returns the answer for a key that is running or has ended.
    fn existing_answer(
        &self,
        key: &ShortHash,
        fingerprint: &ShortHash,
        ticket: &ClaimTicket,
        incarnations: &Incarnations,
    ) -> Option<ClaimAnswer> {
        if let Some(it) = self.running.get(key) {
            if it.fingerprint != *fingerprint {
                return Some(ClaimAnswer::Mismatch);
            }
            if is_owned_by(&it.owner, ticket, incarnations) {
                return Some(ClaimAnswer::Granted);
            }
            return Some(ClaimAnswer::Running);
        }
        let it = self.ended.get(key)?;
        if it.fingerprint != *fingerprint {
            return Some(ClaimAnswer::Mismatch);
        }
        Some(self.answer(key, &it.end))
    }

    fn answer(&self, key: &ShortHash, end: &End) -> ClaimAnswer {
        match *end {
            End::Done { outcome, status, digest } => {
                let body = self.answers.get(key).map(<[u8]>::to_vec);
                ClaimAnswer::Done(StoredAnswer { outcome, status, body, digest })
            }
            End::Lost(_) => ClaimAnswer::OwnerLost,
        }
    }

    /// Stores the answer of the claim's owner, even if the owner was declared lost meanwhile.
    pub(crate) fn finish(
        &mut self,
        key: &ClaimKey,
        ticket: &ClaimTicket,
        answer: StoredAnswer,
        at: UnixMillis,
        state: (&Incarnations, &Limits),
    ) {
        let (incarnations, limits) = state;
        let key = ShortHash::of_key(key);
        let (fingerprint, age) = if let Some(it) = self.running.get(&key) {
            if !is_owned_by(&it.owner, ticket, incarnations) {
                return;
            }
            (it.fingerprint, it.date.map_or(Age::Undated(at.0), Age::Dated))
        } else {
            let Some(Ended { fingerprint, age, end: End::Lost(owner) }) = self.ended.get(&key)
            else {
                return;
            };
            if !is_owned_by(owner, ticket, incarnations) {
                return;
            }
            (*fingerprint, *age)
        };
        let StoredAnswer { outcome, status, body, digest } = answer;
        self.running.remove(&key);
        self.ended
            .insert(key, Ended { fingerprint, age, end: End::Done { outcome, status, digest } });
        let body = body.filter(|body| body.len() as u64 <= limits.claims.answer.0);
        if let Some(body) = body {
            self.answers.insert(key, body, at);
            self.answers.trim(0, limits.body_memory.0);
        }
    }

    /// Releases a claim whose call was never sent.
    pub(crate) fn release(
        &mut self,
        key: &ClaimKey,
        ticket: &ClaimTicket,
        incarnations: &Incarnations,
    ) -> ReleaseResult {
        let key = ShortHash::of_key(key);
        // Callers were told the final answer `unknown` and act on it: they look up what happened
        // and request it again under another key. If the old key could still run, its resends would
        // run the request twice. So a lost claim stays lost.
        if let Some(it) = self.ended.get(&key) {
            let stays = match &it.end {
                End::Done { .. } => true,
                End::Lost(owner) => is_owned_by(owner, ticket, incarnations),
            };
            if stays {
                return ReleaseResult::Kept(self.answer(&key, &it.end));
            }
        }
        if self.running.get(&key).is_some_and(|it| is_owned_by(&it.owner, ticket, incarnations)) {
            self.running.remove(&key);
        }
        self.released.insert(released_ticket(ticket), self.last_expire);
        ReleaseResult::Released
    }

    /// Ends every running claim of an incarnation as lost.
    pub(crate) fn lose_incarnation(&mut self, incarnation: IncarnationId) {
        let lost = self.running.extract_if(.., |_, it| it.owner.incarnation == incarnation);
        self.ended.extend(lost.map(|(key, it)| {
            let age = it.date.map_or(Age::Undated(it.at.0), Age::Dated);
            (key, Ended { fingerprint: it.fingerprint, age, end: End::Lost(it.owner) })
        }));
    }

    /// Drops the released tickets of a superseded incarnation, which gets no claim anyway.
    pub(crate) fn drop_released(&mut self, vm: &VmName, owner: Incarnation) {
        self.released.retain(|(by, incarnation, _), _| by != vm || *incarnation != owner);
    }

    /// Expires answers, ended keys and released tickets.
    pub(crate) fn expire(&mut self, at: UnixMillis, limits: &Limits) {
        self.last_expire = at;
        self.answers.trim(at.0.saturating_sub(limits.claims.answers.0), limits.body_memory.0);
        self.expire_released(at);
        let since = at.0.saturating_sub(limits.key_retention.0);
        for (key, age) in self.next_batch() {
            // A key that was already old when it was first sent keeps its answer as long as any
            // other.
            if self.answers.get(&key).is_some() {
                continue;
            }
            match age {
                Age::Dated(date) if date < since => {
                    self.ended.remove(&key);
                    self.date_floor = self.date_floor.max(date + 1);
                }
                Age::Undated(ended) if ended < since => {
                    self.ended.remove(&key);
                    self.tombstones.insert(key);
                }
                _ => {}
            }
        }
    }

    fn expire_released(&mut self, at: UnixMillis) {
        // Tickets released before the first `Expire` have no time yet.
        let untimed = self.released.values_mut().filter(|released_at| released_at.0 == 0);
        untimed.for_each(|released_at| *released_at = at);
        self.released
            .retain(|_, released_at| released_at.0.saturating_add(RELEASED_RETENTION_MS) > at.0);
    }

    /// Returns the next batch of ended keys to examine, and moves the cursor past them.
    fn next_batch(&mut self) -> Vec<(ShortHash, Age)> {
        let from = self.cursor.map_or(Bound::Unbounded, Bound::Excluded);
        let batch: Vec<_> = self
            .ended
            .range((from, Bound::Unbounded))
            .take(EXPIRE_BATCH_KEYS)
            .map(|(key, it)| (*key, it.age))
            .collect();
        self.cursor =
            batch.last().filter(|_| batch.len() == EXPIRE_BATCH_KEYS).map(|(key, _)| *key);
        batch
    }

    pub(crate) fn keys(&self) -> u64 {
        (self.running.len() + self.ended.len() + self.tombstones.len()) as u64
    }

    pub(crate) fn running(&self) -> u64 {
        self.running.len() as u64
    }

    pub(crate) fn lost(&self) -> u64 {
        let lost = self.ended.values().filter(|it| matches!(it.end, End::Lost(_)));
        lost.count() as u64
    }

    pub(crate) fn ended(&self) -> u64 {
        self.ended.len() as u64
    }

    pub(crate) fn tombstones(&self) -> u64 {
        self.tombstones.len() as u64
    }

    pub(crate) fn released(&self) -> u64 {
        self.released.len() as u64
    }

    pub(crate) fn answers(&self) -> &Answers {
        &self.answers
    }
}

fn released_ticket(ticket: &ClaimTicket) -> (VmName, Incarnation, u64) {
    (ticket.vm.clone(), ticket.owner, ticket.attempt)
}

fn is_owned_by(owner: &Owner, ticket: &ClaimTicket, incarnations: &Incarnations) -> bool {
    owner.attempt == ticket.attempt && incarnations.find(ticket) == Some(owner.incarnation)
}
