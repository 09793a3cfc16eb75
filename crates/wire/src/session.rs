//! The messages between an entry and the control member it follows.
//!
//! An entry holds one connection to one member of its site at a time, and sends load reports by
//! UDP to the same member. Requests carry a number that the reply repeats.

use serde::{Deserialize, Serialize};
use types::{
    ClaimAnswer, ClaimKey, ClaimRequest, ClaimTicket, CustomerName, Digest, Document, Incarnation,
    Micros, Millis, PoolName, Rate, SiteName, StageName, StoredAnswer, Tokens, UpstreamLoad,
    UpstreamName, Version, VmName,
};

use crate::edit::DocumentEdit;
use crate::loads::NumberedDigest;

/// Numbers the requests of one session.
pub type Ticket = u64;

/// What an entry sends to control.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EntryMessage {
    /// Opens a session: who follows, and the version it has.
    Follow {
        /// The entry's VM.
        vm: VmName,
        /// The entry's site.
        site: SiteName,
        /// The life of the entry process; the state learns it before the session serves claims.
        owner: Incarnation,
        /// The version the entry has in force; 0 for none.
        have: Version,
    },
    /// Asks a quorum, after this message was sent, for the version in force.
    Confirm {
        /// The request's number.
        ticket: Ticket,
        /// The version the entry has in force.
        have: Version,
    },
    /// Asks for a claim.
    Claim {
        /// The request's number.
        ticket: Ticket,
        /// What is asked.
        request: ClaimRequest,
    },
    /// Stores the answer of a claim.
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
    /// Gives up a claim whose call was never sent.
    Release {
        /// The request's number.
        ticket: Ticket,
        /// The claim.
        key: ClaimKey,
        /// Its proof.
        proof: ClaimTicket,
    },
    /// What the entry used since its last report.
    Usage(UsageReport),
    /// The entry drains: its shares may be handed to the others.
    Draining,
    /// An edit did not fit the document that the entry has: it needs the whole one.
    NeedWhole,
    /// The entry keeps a version out, because it cannot resolve it for its site; an older one stays
    /// in force there.
    Behind {
        /// The version it keeps out.
        version: Version,
        /// Why, in plain words.
        why: String,
    },
}

/// What control sends to an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// A higher version is in force.
    Service {
        /// The version.
        version: Version,
        /// The document.
        document: Document,
    },
    /// A higher version is in force, as a change of the one that this session sent before.
    Edit {
        /// The version.
        version: Version,
        /// The version that is changed.
        base: Version,
        /// The change.
        edit: DocumentEdit,
    },
    /// The answer to `Confirm`: a quorum held this version after the question.
    Confirmed {
        /// The request's number.
        ticket: Ticket,
        /// The version in force. A `Service` message with it came before, if it was new.
        version: Version,
    },
    /// The answer to `Claim`; to `Release` where the key has ended already, and stays so.
    Claim {
        /// The request's number.
        ticket: Ticket,
        /// The answer.
        answer: ClaimAnswer,
    },
    /// The answer to `Finish` and `Release`: it is committed.
    Committed {
        /// The request's number.
        ticket: Ticket,
    },
    /// The request certainly had and will have no effect on the state.
    Rejected {
        /// The request's number.
        ticket: Ticket,
        /// Why.
        reason: String,
    },
    /// The request may or may not have had, or yet have, its effect.
    Uncertain {
        /// The request's number.
        ticket: Ticket,
        /// Why.
        reason: String,
    },
    /// The load of upstreams that changed.
    Digest(Digest),
    /// The same, with the upstreams' numbers in this session instead of their names.
    Loads(NumberedDigest),
    /// This entry's shares of the customers' limits.
    Shares(Vec<CustomerShare>),
    /// This member drains: follow another.
    Leave,
}

/// One entry's share of one customer's limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CustomerShare {
    /// The customer.
    pub customer: CustomerName,
    /// Requests a second.
    pub rate: Option<Rate>,
    /// Requests under way at once.
    pub concurrency: Option<u32>,
    /// Generated tokens a second.
    pub tokens: Option<Rate>,
}

/// What an entry used since its last report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    /// How long the report covers.
    pub period: Millis,
    /// Demand by customer, refused requests included, so that shares follow demand.
    pub customers: Vec<CustomerUse>,
    /// Use by stage.
    pub stages: Vec<StageUse>,
}

/// One customer's demand on one entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CustomerUse {
    /// The customer.
    pub customer: CustomerName,
    /// Requests that arrived.
    pub requests: u32,
    /// The most under way at once.
    pub concurrency: u32,
    /// Tokens generated.
    pub tokens: Tokens,
}

/// Busy time and tokens of one customer's stage calls in one pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StageUse {
    /// The customer.
    pub customer: CustomerName,
    /// The stage.
    pub stage: StageName,
    /// The pool that ran it.
    pub pool: PoolName,
    /// Calls whose result was used.
    pub calls: u32,
    /// Busy time of those calls.
    pub busy: Micros,
    /// Tokens of those calls.
    pub tokens: Tokens,
    /// Busy time of calls whose result was not used: retries, lost hedges, cancelled, late.
    pub wasted: Micros,
}

/// The datagram by which an entry reports its calls in flight; a lost one is replaced by the next.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The entry's VM.
    pub vm: VmName,
    /// The life of the entry process.
    pub owner: Incarnation,
    /// Numbers the reports of one process, so that an old one is dropped.
    pub sequence: u64,
    /// Calls in flight by upstream; only those that changed since the last full report.
    pub in_flight: Vec<(UpstreamName, u32)>,
    /// Whether `in_flight` names every upstream with calls in flight.
    pub full: bool,
}

/// What a control member says of one upstream after asking it, sent to its peers.
pub type UpstreamSighting = UpstreamLoad;
