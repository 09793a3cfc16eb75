//! Types shared by all crates: identifiers, sizes, rates, durations, outcomes, the service
//! description and errors. This crate does no I/O.

mod claim;
mod error;
mod id;
mod load;
mod outcome;
mod quantity;
mod service;

pub use claim::{ClaimAnswer, ClaimKey, ClaimRequest, ClaimTicket, Fingerprint, StoredAnswer};
pub use error::{StepError, StepResult};
pub use id::{
    CallId, ChangeId, CustomerName, Fence, IdempotencyKey, Incarnation, LogIndex, ModelName,
    NameError, NodeId, OperatorName, PipelineName, PoolName, RequestId, SiteName, SoftwareVersion,
    StageName, Term, UpstreamName, Version, VmName,
};
pub use load::{Digest, UpstreamAvailability, UpstreamLoad};
pub use outcome::{Outcome, Refusal, RefusalReason};
pub use quantity::{ByteSize, Cost, Micros, Millis, Priority, Rate, Tokens, UnixMillis};
pub use service::{
    ClaimLimits, Customer, CustomerLimits, Document, DomainName, Fencing, Model, OrderLimits,
    Pipeline, Policy, Pool, PoolKind, RequestLimits, Service, Site, Stage, Stale, Upstream,
};
