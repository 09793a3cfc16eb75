//! The commands in the log's entries, and the state's replies.

use crate::limits::Limits;
use serde::{Deserialize, Serialize};
use types::{
    ChangeId, ClaimAnswer, ClaimKey, ClaimRequest, ClaimTicket, Document, Fence, Incarnation,
    NodeId, OperatorName, StoredAnswer, UnixMillis, UpstreamName, Version, VmName,
};

/// A command of the replicated log. Times are on the proposer's wall clock and are used only for
/// the audit trail and for the retention of old answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the service if `base` is the version in force.
    Change {
        /// The id of the change; the same when it is sent again.
        id: ChangeId,
        /// The version that the operator saw.
        base: Version,
        /// The operator.
        operator: OperatorName,
        /// The new document, already validated.
        document: Document,
        /// The time of the request.
        at: UnixMillis,
    },
    /// An entry process started, or is connected again. An earlier incarnation on its VM is lost
    /// for good. An incarnation gets no claim before its `Enter` is committed.
    Enter {
        /// The VM.
        vm: VmName,
        /// The incarnation.
        owner: Incarnation,
    },
    /// The session of an entry process was silent for so long that callers must not wait for it any
    /// more.
    Lost {
        /// The VM.
        vm: VmName,
        /// The incarnation.
        owner: Incarnation,
    },
    /// Requests a claim.
    Claim {
        /// The request.
        request: ClaimRequest,
        /// The time of the request.
        at: UnixMillis,
    },
    /// Stores the answer of a claim.
    Finish {
        /// The key of the claim.
        key: ClaimKey,
        /// The ticket of the claim.
        ticket: ClaimTicket,
        /// The answer.
        answer: StoredAnswer,
        /// The time of the request.
        at: UnixMillis,
    },
    /// Releases a claim whose call was never sent. A `Claim` of the same ticket that commits later
    /// is not granted.
    Release {
        /// The key of the claim.
        key: ClaimKey,
        /// The ticket of the claim.
        ticket: ClaimTicket,
    },
    /// Sets the limits, and drops answers and dated keys that are older than the limits allow. The
    /// leader proposes it every few seconds; one command processes a bounded number of keys.
    Expire {
        /// The current time.
        at: UnixMillis,
        /// The limits, from the service in force.
        limits: Limits,
    },
    /// Takes the next fencing number, for an order to an upstream.
    Order {
        /// The upstream.
        upstream: UpstreamName,
        /// The whole target, as text for the audit trail.
        target: String,
        /// The time of the request.
        at: UnixMillis,
    },
    /// Records a change of the membership in the audit trail.
    Member {
        /// A description of the change.
        what: String,
        /// The VM.
        vm: VmName,
        /// The id of the member's data folder.
        node: NodeId,
        /// The operator; `None` if the system repaired itself.
        operator: Option<OperatorName>,
        /// The time of the request.
        at: UnixMillis,
    },
    /// Sets or clears an operator's mark on an upstream that it is leaving.
    Mark {
        /// The id of the mark; the same when it is sent again.
        id: ChangeId,
        /// The upstream.
        upstream: UpstreamName,
        /// Whether the upstream is leaving.
        leaving: bool,
        /// The operator.
        operator: OperatorName,
        /// The time of the request.
        at: UnixMillis,
    },
}

/// The reply to a change; the same for every resend of its id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeReply {
    /// The change is in force as this version.
    Accepted(Version),
    /// Another change won.
    Conflict {
        /// The version in force when the change was decided.
        version: Version,
        /// The id of the change that won.
        winner: Option<ChangeId>,
        /// The operator of the change that won.
        operator: Option<OperatorName>,
    },
    /// The id was used before with another content.
    Reused,
    /// The id is unknown, and `base` is so old that the replies of its time are dropped. The change
    /// may have been decided before. It has no effect now.
    Forgotten {
        /// The version in force.
        version: Version,
    },
}

/// The state's reply to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The reply to `Change` and `Mark`.
    Change(ChangeReply),
    /// The reply to `Claim`. Also the reply to `Release` if the claim can't be released because
    /// callers were already told `OwnerLost` or `Done`: the entry process must then not answer
    /// `not-run`.
    Claim(ClaimAnswer),
    /// The reply to `Order`.
    Fence(Fence),
    /// The reply to all other commands.
    Done,
}
