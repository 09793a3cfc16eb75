//! The messages between entries and the owner of a service.

use registry::{CapacityList, ListStamps, Relay, RequestDigest, VersionList};
use serde::{Deserialize, Serialize};

use crate::backlog::Backlog;
use crate::batch::queue::RANKS;
use crate::budget::Spender;
use crate::dialect::PieceFailure;
use crate::path::relay::{FromRelay, ToRelay};
use crate::upstream::Need;

#[cfg(test)]
mod tests;

/// The input that the pieces of a job work on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum JobInput {
    /// The key of the request.
    Key(String),
    /// The handles of results of earlier stages.
    Results(Vec<String>),
}

/// The pieces of one stage of one request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Job {
    /// The job's number, chosen by the submitting entry.
    pub(crate) id: u64,
    pub(crate) service: String,
    pub(crate) attempt: String,
    pub(crate) stage: u32,
    pub(crate) segments: Vec<u32>,
    pub(crate) input: JobInput,
    /// The size of one result in bytes.
    pub(crate) result_bytes: u64,
    /// The failure domain that stores the inputs or uses the results.
    pub(crate) domain: Option<String>,
    /// The bytes that cross failure domains if a piece is made in another domain.
    pub(crate) transfer_bytes: u64,
    /// The rank of the request; 0 goes first.
    pub(crate) rank: u8,
    /// When the results are due, in ms from now; negative if that has passed.
    pub(crate) due_ms: i64,
    /// When the results become useless, in ms from now.
    pub(crate) remaining_ms: u64,
    /// Whether the pieces were submitted to another owner before.
    pub(crate) resubmitted: bool,
}

/// A message from an entry to an owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum ToOwner {
    /// Submits a job.
    Submit(Job),
    /// Cancels a job.
    Cancel(u64),
    /// Releases results.
    Free(Vec<String>),
    /// Asks for the registry's lists, because the sender is connected to no registry member. The
    /// request is valid for [`RELAY_SUBSCRIPTION_TIME`](super::link::RELAY_SUBSCRIPTION_TIME).
    SubscribeRelays,
    /// Submits a job to the section of this failure domain.
    SubmitToDomain(String, Job),
    /// Submits a job with the digest of its request.
    SubmitWithDigest(Submission),
    /// Asks for a retry out of the budget that the receiver holds for all entries.
    Borrow(Loan),
    /// Asks once for those of the registry's lists that are newer than the sender's.
    AskLists(ListStamps),
    /// Asks for a request out of the receiver's share of what an upstream takes.
    BorrowRoom(RoomLoan),
    /// Tells that the request for which the receiver lent room at the upstream with this id was not turned
    /// away.
    SettleRoom(String),
    /// On a connection of its own: has the receiver pass bytes on to an upstream and back.
    Relayed(ToRelay),
    /// Asks for a connection out of the receiver's share of those to an upstream.
    BorrowConnection(ConnectionLoan),
    /// Returns the connection that was lent on the request with this number.
    ReturnConnection(u64),
    /// Asks for what is missing of retries out of the receiver's budget.
    BorrowRest(RestLoan),
}

/// A request for what is missing of retries of requests or pieces of a service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct RestLoan {
    /// The retries that the sender wants. One that knows no parts lends them whole.
    pub(crate) loan: Loan,
    /// How much of them is missing, in thousandths of a retry.
    pub(crate) missing: u32,
}

/// A request for a connection to an upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ConnectionLoan {
    /// The number of the request, chosen by the sender; the answer repeats it.
    pub(crate) id: u64,
    /// The id of the upstream.
    pub(crate) upstream: String,
    /// After which time the receiver may use the connection again, returned or not, in ms.
    pub(crate) time_ms: u64,
}

/// A request for room at an upstream in need.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct RoomLoan {
    /// The number of the request, chosen by the sender; the answer repeats it.
    pub(crate) id: u64,
    /// The id of the upstream.
    pub(crate) upstream: String,
    /// What the upstream has said to the sender.
    pub(crate) need: Need,
}

/// A request for retries of requests or pieces of a service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Loan {
    /// The number of the request, chosen by the sender; the answer repeats it.
    pub(crate) id: u64,
    pub(crate) service: String,
    pub(crate) spender: Spender,
    /// The number of retries, all or none of which are lent.
    pub(crate) count: u32,
}

/// A job with its section and its request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Submission {
    /// The failure domain of the section that the job is for, if the service is split.
    pub(crate) domain: Option<String>,
    /// The digest of the request.
    pub(crate) digest: RequestDigest,
    pub(crate) job: Job,
}

/// The protocol level from which entries know sections.
pub(crate) const SECTIONS_LEVEL: u8 = 1;

/// The protocol level from which entries lend retries, and forward only lists that are newer.
pub(crate) const LOANS_LEVEL: u8 = 5;

/// The protocol level from which entries lend room at upstreams in need.
pub(crate) const ROOM_LEVEL: u8 = 6;

/// The protocol level from which entries relay connections to upstreams.
pub(crate) const RELAY_LEVEL: u8 = 6;

/// The protocol level from which entries tell each other whether an upstream accepts connections.
pub(crate) const REACH_LEVEL: u8 = 10;

/// The protocol level from which entries lend connections.
pub(crate) const CONNECTIONS_LEVEL: u8 = 7;

/// The protocol level from which entries lend parts of retries.
pub(crate) const PARTS_LEVEL: u8 = 8;

/// The protocol level from which forwarded lists tell the versions of upstreams.
pub(crate) const VERSIONS_LEVEL: u8 = 7;

/// The protocol level from which forwarded lists of entries come with the capacities of their VMs.
pub(crate) const CAPACITIES_LEVEL: u8 = 9;

/// The protocol level from which jobs carry the digest of their request, by which owners count the
/// upstreams that terminate while they run it.
pub(crate) const DIGESTS_LEVEL: u8 = 3;

impl ToOwner {
    /// Converts the message to one that an owner of this level can read, if there is one. An owner
    /// that knows no sections runs the pieces anywhere.
    pub(crate) fn at_level(self, level: u8) -> Option<Self> {
        match self {
            Self::SubmitWithDigest(it) if level < DIGESTS_LEVEL => match it.domain {
                Some(domain) => Self::SubmitToDomain(domain, it.job).at_level(level),
                None => Some(Self::Submit(it.job)),
            },
            Self::SubmitToDomain(_, job) if level < SECTIONS_LEVEL => Some(Self::Submit(job)),
            Self::BorrowRest(it) if level < PARTS_LEVEL => Self::Borrow(it.loan).at_level(level),
            Self::Borrow(_) if level < LOANS_LEVEL => None,
            Self::BorrowRoom(_) | Self::SettleRoom(_) if level < ROOM_LEVEL => None,
            Self::Relayed(ToRelay::Reach(_)) if level < REACH_LEVEL => None,
            Self::Relayed(_) if level < RELAY_LEVEL => None,
            Self::BorrowConnection(_) | Self::ReturnConnection(_) if level < CONNECTIONS_LEVEL => {
                None
            }
            Self::AskLists(_) if level < LOANS_LEVEL => Some(Self::SubscribeRelays),
            message => Some(message),
        }
    }
}

/// The results of pieces of a job that completed together, usually in one call.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct PiecesDone {
    /// The job's number, chosen by the submitting entry.
    pub(crate) id: u64,
    /// The index and the result of each piece.
    pub(crate) results: Vec<(u32, Result<String, PieceFailure>)>,
    /// How long the pieces waited at the owner before their call, in ms.
    pub(crate) wait_ms: u32,
    /// How long the call took, in ms.
    pub(crate) call_ms: u32,
}

/// A message from an owner to an entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum FromOwner {
    /// The owner is shutting down and did not accept the job.
    Refused(u64),
    /// The owner accepted the job.
    Accepted(u64),
    /// The upstreams have fetched the inputs of all pieces of a job.
    Fetched(u64),
    /// The results of some pieces of a job.
    Results(PiecesDone),
    /// The owner is alive and works on jobs of this entry.
    Heartbeat,
    /// The expected wait of pieces of a service at this owner, by rank, in ms.
    Backlog(String, [u32; RANKS]),
    /// The registry's lists of entries and upstreams, as the owner has them; without those that the
    /// entry holds, if it has told which.
    Relay(Box<Relay>),
    /// The backlog of a section.
    SectionBacklog(SectionBacklog),
    /// Whether the retries of a [`Loan`], the room of a [`RoomLoan`] or the connection of a
    /// [`ConnectionLoan`] are lent.
    Lent(u64, bool),
    /// The answers to [`ToOwner::Relayed`].
    Relayed(FromRelay),
    /// The registry's lists, with the versions of the upstreams.
    VersionedRelay(Box<Relay>, VersionList),
    /// The registry's lists, with the versions of the upstreams and the capacities of the entries.
    CompleteRelay(Box<Relay>, VersionList, CapacityList),
}

/// The backlog of a section as its owner sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SectionBacklog {
    pub(crate) service: String,
    /// The failure domain, if the service is split.
    pub(crate) domain: Option<String>,
    pub(crate) backlog: Backlog,
}

impl FromOwner {
    /// Creates the message that forwards lists.
    pub(crate) fn relay(relay: Relay) -> Self {
        let versions = VersionList::of(&relay.upstreams.upstreams);
        let capacities = CapacityList::of(&relay.entries);
        Self::CompleteRelay(Box::new(relay), versions, capacities)
    }

    /// Converts the message to one that an entry of this level can read, if there is one. An entry
    /// that knows no sections only reads the waits of whole services.
    pub(crate) fn at_level(self, level: u8) -> Option<Self> {
        match self {
            Self::SectionBacklog(it) if level < SECTIONS_LEVEL => {
                it.domain.is_none().then_some(Self::Backlog(it.service, it.backlog.waits))
            }
            Self::CompleteRelay(it, versions, _) if level < CAPACITIES_LEVEL => {
                Self::VersionedRelay(it, versions).at_level(level)
            }
            Self::VersionedRelay(it, _) if level < VERSIONS_LEVEL => Some(Self::Relay(it)),
            message => Some(message),
        }
    }
}
