//! The state, and the effect of each command.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use types::{
    ByteSize, ChangeId, Document, Fence, Incarnation, LogIndex, OperatorName, StepError,
    StepResult, UnixMillis, UpstreamName, Version, VmName,
};

use crate::audit::{AuditKind, AuditOutcome, AuditRecord, AuditTrail, NewRecord};
use crate::change::{Changes, ContentHash, Decision};
use crate::claim::{Claims, ReleaseResult};
use crate::command::{ChangeReply, Command, Reply};
use crate::diff;
use crate::incarnations::Incarnations;
use crate::limits::Limits;

/// The format of the snapshot, stored in its first byte.
const SNAPSHOT_FORMAT: u8 = 1;

/// An operator's mark that an upstream is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The operator.
    pub operator: OperatorName,
    /// The time of the request.
    pub at: UnixMillis,
}

/// The sizes of the parts of the state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Claims whose call may be in flight.
    pub running: u64,
    /// Claims that ended with an answer.
    pub done: u64,
    /// Claims whose owner was lost.
    pub lost: u64,
    /// Undated keys that were dropped, of which only a short hash is left.
    pub tombstones: u64,
    /// All keys; the limit applies to this number.
    pub keys: u64,
    /// Answers whose body is kept.
    pub answers: u64,
    /// Released tickets.
    pub released: u64,
    /// Incarnations of entry processes.
    pub incarnations: u64,
    /// Ids of changes and marks.
    pub changes: u64,
    /// Records of the audit trail.
    pub audit: u64,
    /// An estimate of the memory, in bytes.
    pub bytes: ByteSize,
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    version: Version,
    document: Arc<Document>,
    changes: Changes,
    marks: BTreeMap<UpstreamName, Mark>,
    fences: BTreeMap<UpstreamName, Fence>,
    trail: AuditTrail,
    incarnations: Incarnations,
    claims: Claims,
    limits: Limits,
}

impl State {
    /// Creates the state before the first command.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the command at `index` of the log. Every log entry must be applied exactly once.
    pub fn apply(&mut self, index: LogIndex, command: Command) -> Reply {
        match command {
            Command::Change { id, base, operator, document, at } => {
                let request = RequestInfo { id, operator, at };
                Reply::Change(self.change(request, base, document))
            }
            Command::Mark { id, upstream, leaving, operator, at } => {
                let request = RequestInfo { id, operator, at };
                Reply::Change(self.mark(request, upstream, leaving))
            }
            Command::Enter { vm, owner } => self.enter(&vm, owner),
            Command::Lost { vm, owner } => self.lose(&vm, owner),
            Command::Claim { request, at } => {
                Reply::Claim(self.claims.claim(&request, at, (&self.incarnations, &self.limits)))
            }
            Command::Finish { key, ticket, answer, at } => {
                self.claims.finish(&key, &ticket, answer, at, (&self.incarnations, &self.limits));
                Reply::Done
            }
            Command::Release { key, ticket } => {
                match self.claims.release(&key, &ticket, &self.incarnations) {
                    ReleaseResult::Released => Reply::Done,
                    ReleaseResult::Kept(answer) => Reply::Claim(answer),
                }
            }
            Command::Expire { at, limits } => self.expire(at, limits),
            Command::Order { upstream, target, at } => self.order(index, upstream, &target, at),
            Command::Member { what, vm, node, operator, at } => {
                let what = format!("{what}: {vm}, node {node}");
                self.record(at, operator, AuditKind::Member, what);
                Reply::Done
            }
        }
    }

    /// Encodes the whole state.
    pub fn snapshot(&self) -> Vec<u8> {
        // Writing to a vector cannot fail.
        postcard::to_extend(self, vec![SNAPSHOT_FORMAT]).unwrap_or_default()
    }

    /// Decodes the output of [`State::snapshot`].
    ///
    /// # Errors
    /// Returns an error if the data is damaged or has another format.
    pub fn restore(data: &[u8]) -> StepResult<State> {
        let fault = |why: String| StepError::new("restore state", why);
        match data.split_first() {
            Some((&SNAPSHOT_FORMAT, rest)) => {
                let read = postcard::take_from_bytes::<State>(rest);
                let (state, left) = read.map_err(|e| fault(e.to_string()))?;
                if !left.is_empty() {
                    return Err(fault(format!(
                        "the snapshot is followed by {} extra bytes",
                        left.len()
                    )));
                }
                Ok(state)
            }
            Some((format, _)) => Err(fault(format!("unknown snapshot format {format}"))),
            None => Err(fault("the snapshot is empty".to_owned())),
        }
    }

    /// Returns the version in force; 0 before the first change.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the document in force.
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// Returns the limits in force.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns up to `limit` audit records with numbers above `after`.
    pub fn audit(&self, after: u64, limit: usize) -> Vec<AuditRecord> {
        self.trail.after(after, limit)
    }

    /// Returns the upstreams that operators marked as leaving.
    pub fn marks(&self) -> &BTreeMap<UpstreamName, Mark> {
        &self.marks
    }

    /// Returns the latest fencing number of an upstream, if any.
    pub fn fence(&self, upstream: &UpstreamName) -> Option<Fence> {
        self.fences.get(upstream).copied()
    }

    /// Lists the entry processes that may get claims: at most one of each VM. A process whose
    /// session stays away for long must be declared lost by a `Lost` command.
    pub fn live_incarnations(&self) -> impl Iterator<Item = (&VmName, Incarnation)> {
        self.incarnations.live()
    }

    /// Returns the sizes of the parts of the state.
    pub fn counts(&self) -> Counts {
        let claims = &self.claims;
        let lost = claims.lost();
        let mut counts = Counts {
            running: claims.running(),
            done: claims.ended() - lost,
            lost,
            tombstones: claims.tombstones(),
            keys: claims.keys(),
            answers: claims.answers().count(),
            released: claims.released(),
            incarnations: self.incarnations.count(),
            changes: self.changes.len(),
            audit: self.trail.len(),
            bytes: ByteSize(0),
        };
        counts.bytes = ByteSize(estimate_bytes(&counts) + claims.answers().bytes());
        counts
    }

    fn change(&mut self, request: RequestInfo, base: Version, document: Document) -> ChangeReply {
        let content = ContentHash::of(&("change", base, &request.operator, &document));
        let what = diff::summary(&self.document, &document);
        let (reply, outcome) = self.decide(&request, base, content);
        let Some(outcome) = outcome else {
            return reply;
        };
        if outcome == AuditOutcome::Accepted {
            self.version = Version(self.version.0 + 1);
            self.document = Arc::new(document);
        }
        let new_record = NewRecord {
            at: request.at,
            operator: Some(request.operator),
            kind: AuditKind::Change,
            base: Some(base),
            version: self.version,
            what,
            outcome,
        };
        self.trail.push(new_record, self.limits.max_records);
        reply
    }

    /// Decides a change and stores the decision. The outcome is `None` for a resend.
    fn decide(
        &mut self,
        request: &RequestInfo,
        base: Version,
        content: ContentHash,
    ) -> (ChangeReply, Option<AuditOutcome>) {
        let version = self.version;
        match self.changes.first_reply(request.id, content) {
            Some(ChangeReply::Reused) => {
                return (ChangeReply::Reused, Some(AuditOutcome::Reused));
            }
            Some(reply) => return (reply, None),
            None => {}
        }
        if self.changes.is_forgotten(base) {
            return (ChangeReply::Forgotten { version }, Some(AuditOutcome::Forgotten));
        }
        let (decision, at) = match base.cmp(&version) {
            std::cmp::Ordering::Equal => (Decision::Accepted, Version(version.0 + 1)),
            std::cmp::Ordering::Less => (Decision::Conflict, version),
            std::cmp::Ordering::Greater => (Decision::Ahead, version),
        };
        self.changes.insert(request.id, content, &request.operator, (decision, at));
        self.changes.trim(self.limits.max_changes);
        if decision == Decision::Accepted {
            return (ChangeReply::Accepted(at), Some(AuditOutcome::Accepted));
        }
        (self.changes.conflict(version), Some(AuditOutcome::Conflict))
    }

    fn mark(&mut self, request: RequestInfo, upstream: UpstreamName, leaving: bool) -> ChangeReply {
        let content = ContentHash::of(&("mark", &upstream, leaving, &request.operator));
        let RequestInfo { id, operator, at } = request;
        let word = if leaving { "leaving" } else { "taken back" };
        let what = format!("{upstream} {word}");
        match self.changes.first_reply(id, content) {
            Some(ChangeReply::Reused) => {
                self.record_as(at, Some(operator), (AuditKind::Mark, AuditOutcome::Reused), what);
                return ChangeReply::Reused;
            }
            Some(reply) => return reply,
            None => {}
        }
        self.changes.insert(id, content, &operator, (Decision::Mark, self.version));
        if leaving {
            self.marks.insert(upstream, Mark { operator: operator.clone(), at });
        } else {
            self.marks.remove(&upstream);
        }
        self.record(at, Some(operator), AuditKind::Mark, what);
        ChangeReply::Accepted(self.version)
    }

    fn enter(&mut self, vm: &VmName, owner: Incarnation) -> Reply {
        if let Some(old) = self.incarnations.enter(vm, owner) {
            self.claims.lose_incarnation(old.id);
            self.claims.drop_released(vm, old.owner);
        }
        Reply::Done
    }

    fn lose(&mut self, vm: &VmName, owner: Incarnation) -> Reply {
        if let Some(id) = self.incarnations.mark_lost(vm, owner) {
            self.claims.lose_incarnation(id);
        }
        Reply::Done
    }

    fn expire(&mut self, at: UnixMillis, limits: Limits) -> Reply {
        if limits != self.limits {
            let what = format!(
                "keys {}, answers {} of {}, dated keys {}, bodies {}, changes {}, audit {}",
                limits.claims.keys,
                limits.claims.answers,
                limits.claims.answer,
                limits.key_retention,
                limits.body_memory,
                limits.max_changes,
                limits.max_records
            );
            self.limits = limits;
            self.record(at, None, AuditKind::Limits, what);
        }
        self.claims.expire(at, &self.limits);
        Reply::Done
    }

    fn order(
        &mut self,
        index: LogIndex,
        upstream: UpstreamName,
        target: &str,
        at: UnixMillis,
    ) -> Reply {
        let prior = self.fence(&upstream).unwrap_or_default();
        let fence = Fence(index.0.max(prior.0 + 1));
        let what = format!("{upstream}, fence {fence}: {target}");
        self.fences.insert(upstream, fence);
        self.record(at, None, AuditKind::Order, what);
        Reply::Fence(fence)
    }

    fn record(
        &mut self,
        at: UnixMillis,
        operator: Option<OperatorName>,
        kind: AuditKind,
        what: String,
    ) {
        self.record_as(at, operator, (kind, AuditOutcome::Accepted), what);
    }

    fn record_as(
        &mut self,
        at: UnixMillis,
        operator: Option<OperatorName>,
        (kind, outcome): (AuditKind, AuditOutcome),
        what: String,
    ) {
        let version = self.version;
        let new_record = NewRecord { at, operator, kind, base: None, version, what, outcome };
        self.trail.push(new_record, self.limits.max_records);
    }
}

/// The fields that a change and a mark have in common.
struct RequestInfo {
    id: ChangeId,
    operator: OperatorName,
    at: UnixMillis,
}

/// Estimates the memory in bytes. The example `claim_cost` measures the cost of each kind.
fn estimate_bytes(counts: &Counts) -> u64 {
    const RUNNING_BYTES: u64 = 110;
    const ENDED_BYTES: u64 = 134;
    const TOMBSTONE_BYTES: u64 = 34;
    const RELEASED_BYTES: u64 = 95;
    const INCARNATION_BYTES: u64 = 28;
    const CHANGE_BYTES: u64 = 63;
    const RECORD_BYTES: u64 = 232;
    counts.running * RUNNING_BYTES
        + (counts.done + counts.lost) * ENDED_BYTES
        + counts.tombstones * TOMBSTONE_BYTES
        + counts.released * RELEASED_BYTES
        + counts.incarnations * INCARNATION_BYTES
        + counts.changes * CHANGE_BYTES
        + counts.audit * RECORD_BYTES
}
