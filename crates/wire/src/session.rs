//! The messages between an entry and the control member that it follows.
//!
//! An entry has one connection at a time, to a member of its site, and sends load reports to the same
//! member over UDP. Each request has a number, which the reply repeats.

use serde::{Deserialize, Serialize};
use types::{
    ClaimAnswer, ClaimKey, ClaimRequest, ClaimTicket, CustomerName, Digest, Document, Incarnation,
    Micros, Millis, PoolName, Rate, SiteName, StageName, StoredAnswer, Tokens, UpstreamLoad,
    UpstreamName, Version, VmName,
};

use crate::edit::DocumentEdit;
use crate::loads::NumberedDigest;

/// The number of a request within its session.
pub type Ticket = u64;

/// A message from an entry to a control member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EntryMessage {
    /// Opens a session.
    Follow {
        /// The entry's VM.
        vm: VmName,
        /// The entry's site.
        site: SiteName,
        /// The incarnation of the entry; it is committed to the state before the session serves
        /// claims.
        owner: Incarnation,
        /// The version that the entry has in force; 0 for none.
        have: Version,
    },
    /// Asks which version is in force, confirmed by a quorum after this message was sent.
    Confirm {
        /// The request's number.
        ticket: Ticket,
        /// The version that the entry has in force.
        have: Version,
    },
    /// Requests a claim.
    Claim {
        /// The request's number.
        ticket: Ticket,
        /// The requested claim.
        request: ClaimRequest,
    },
    /// Stores the answer to a claimed request.
    Finish {
        /// The request's number.
        ticket: Ticket,
        /// The claim.
        key: ClaimKey,
        /// Its proof.
        proof: ClaimTicket,
        /// The answer.
        answer: StoredAnswer,
    },
    /// Releases a claim whose call was never sent.
    Release {
        /// The request's number.
        ticket: Ticket,
        /// The claim.
        key: ClaimKey,
        /// Its proof.
        proof: ClaimTicket,
    },
    /// Reports the usage since the last report.
    Usage(UsageReport),
    /// Announces that the entry drains and its shares may be given to other entries.
    Draining,
    /// Requests the whole document, because an edit did not apply to the entry's document.
    NeedWhole,
    /// Reports that the entry rejects a version because it can't resolve it for its site. An older
    /// version stays in force there.
    VersionRejected {
        /// The rejected version.
        version: Version,
        /// The reason, for operators.
        why: String,
    },
}

/// A message from a control member to an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// A newer version is in force.
    Service {
        /// The version.
        version: Version,
        /// The document.
        document: Document,
    },
    /// A newer version is in force, sent as an edit of the version that this session sent before.
    Edit {
        /// The version.
        version: Version,
        /// The version that the edit applies to.
        base: Version,
        /// The edit.
        edit: DocumentEdit,
    },
    /// The answer to `Confirm`: a quorum confirmed this version after the request was sent.
    Confirmed {
        /// The request's number.
        ticket: Ticket,
        /// The version in force. If it was new to the entry, a `Service` message with it was sent
        /// before.
        version: Version,
    },
    /// The answer to `Claim`, and to `Release` if the claim has already ended and can't be released.
    Claim {
        /// The request's number.
        ticket: Ticket,
        /// The answer.
        answer: ClaimAnswer,
    },
    /// The answer to `Finish` and `Release`: the change is committed.
    Committed {
        /// The request's number.
        ticket: Ticket,
    },
    /// The request had no effect on the state and will never have one.
    Rejected {
        /// The request's number.
        ticket: Ticket,
        /// Why.
        reason: String,
    },
    /// It is unknown whether the request had an effect or will have one.
    Uncertain {
        /// The request's number.
        ticket: Ticket,
        /// Why.
        reason: String,
    },
    /// The loads of the upstreams that changed.
    Digest(Digest),
    /// The same with the numbers of the upstreams in this session instead of their names.
    Loads(NumberedDigest),
    /// This entry's shares of the customers' limits.
    Shares(Vec<CustomerShare>),
    /// This member drains; the entry must follow another one.
    Leave,
}

/// One entry's share of one customer's limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CustomerShare {
    /// The customer.
    pub customer: CustomerName,
    /// The rate of requests per second.
    pub rate: Option<Rate>,
    /// The maximum number of requests in flight.
    pub concurrency: Option<u32>,
    /// The rate of generated tokens per second.
    pub tokens: Option<Rate>,
}

/// The usage of an entry since its last report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The time that the report covers.
    pub period: Millis,
    /// The demand by customer. It includes refused requests, so that shares follow the demand.
    pub customers: Vec<CustomerUse>,
    /// The usage by stage.
    pub stages: Vec<StageUse>,
}

/// One customer's demand on one entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CustomerUse {
    /// The customer.
    pub customer: CustomerName,
    /// The number of requests that arrived.
    pub requests: u32,
    /// The maximum number of requests in flight.
    pub concurrency: u32,
    /// The number of generated tokens.
    pub tokens: Tokens,
}

/// The busy time and the tokens of a customer's calls for one stage in one pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StageUse {
    /// The customer.
    pub customer: CustomerName,
    /// The stage.
    pub stage: StageName,
    /// The pool that ran it.
    pub pool: PoolName,
    /// The number of calls whose result was used.
    pub calls: u32,
    /// The busy time of those calls.
    pub busy: Micros,
    /// The tokens of those calls.
    pub tokens: Tokens,
    /// The busy time of calls whose result was not used: retried, cancelled or late calls, lost
    /// hedges.
    pub wasted: Micros,
}

/// The datagram in which an entry reports its calls in flight. The next one replaces a lost one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The entry's VM.
    pub vm: VmName,
    /// The incarnation of the entry.
    pub owner: Incarnation,
    /// The sequence number of the report within its process, so that outdated reports are dropped.
    pub sequence: u64,
    /// The calls in flight by upstream; if not `full`, only those that changed since the last full
    /// report.
    pub in_flight: Vec<(UpstreamName, u32)>,
    /// Whether `in_flight` contains every upstream with calls in flight.
    pub full: bool,
}

/// The load of an upstream as a control member observed it and reports it to its peers.
pub type UpstreamObservation = UpstreamLoad;
