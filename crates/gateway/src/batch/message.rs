//! What entries tell the owner of a service, and what it answers.

use registry::{Relay, RequestDigest};
use serde::{Deserialize, Serialize};

use crate::backlog::Backlog;
use crate::batch::queue::RANKS;
use crate::dialect::PieceFailure;

#[cfg(test)]
mod tests;

/// What the pieces of a job work on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum JobInput {
    /// The key of the request.
    Key(String),
    /// Results of stages before.
    Results(Vec<String>),
}

/// The pieces of one stage of one request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Job {
    /// The submitting entry's number of the job.
    pub(crate) id: u64,
    pub(crate) service: String,
    pub(crate) attempt: String,
    pub(crate) stage: u32,
    pub(crate) segments: Vec<u32>,
    pub(crate) input: JobInput,
    /// The size of one result in bytes.
    pub(crate) size: u64,
    /// The failure domain in which the inputs are, or the results are used.
    pub(crate) domain: Option<String>,
    /// The bytes that cross domains for a piece that is made in another one.
    pub(crate) weight: u64,
    /// The rank of the request; 0 goes first.
    pub(crate) rank: u8,
    /// When the results should be there, in ms from now; past if negative.
    pub(crate) due_ms: i64,
    /// When they are of no use any more, in ms from now.
    pub(crate) left_ms: u64,
    /// Whether the pieces were handed to another owner before.
    pub(crate) again: bool,
}

/// What an entry tells an owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum ToOwner {
    /// Asks for the pieces of a job.
    Submit(Job),
    /// Gives a job up.
    Cancel(u64),
    /// Gives results up.
    Free(Vec<String>),
    /// Asks for the registry's news for [`FOLLOW`](super::link::FOLLOW): the sender has no member.
    Follow,
    /// Asks for the pieces of a job, to be made in the section of this failure domain.
    SubmitIn(String, Job),
    /// Asks for the pieces of a job of a request that is told apart from others.
    SubmitOf(Submission),
}

/// A job with what it is for.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Submission {
    /// The failure domain of the section in which it is to be made, where the service is split.
    pub(crate) domain: Option<String>,
    /// The request.
    pub(crate) digest: RequestDigest,
    pub(crate) job: Job,
}

/// The level of an owner that knows sections.
pub(crate) const SECTIONS: u8 = 1;

/// The level of an owner that counts the upstreams that end under a request.
pub(crate) const REQUESTS: u8 = 3;

impl ToOwner {
    /// What an owner of this level can read: one that knows no sections makes the pieces anywhere.
    pub(crate) fn at_level(self, level: u8) -> Self {
        match self {
            Self::SubmitOf(it) if level < REQUESTS => match it.domain {
                Some(domain) => Self::SubmitIn(domain, it.job).at_level(level),
                None => Self::Submit(it.job),
            },
            Self::SubmitIn(_, job) if level < SECTIONS => Self::Submit(job),
            message => message,
        }
    }
}

/// The pieces of a job that ended together, mostly in one call.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct PiecesDone {
    /// The submitting entry's number of the job.
    pub(crate) id: u64,
    /// The number and the result of each piece.
    pub(crate) results: Vec<(u32, Result<String, PieceFailure>)>,
    /// How long they waited at the owner before their call, in ms.
    pub(crate) wait_ms: u32,
    /// How long their call took, in ms.
    pub(crate) call_ms: u32,
}

/// What an owner tells an entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum FromOwner {
    /// The owner ends and takes no more jobs.
    Refused(u64),
    /// The job was taken.
    Accepted(u64),
    /// The upstreams have fetched the inputs of all pieces of a job.
    Fetched(u64),
    /// Results of some pieces of a job.
    Results(PiecesDone),
    /// The owner lives and works on jobs of this entry.
    Pulse,
    /// How long pieces of a service wait at this owner, by rank, in ms.
    Backlog(String, [u32; RANKS]),
    /// The registry's news, as the owner knows them.
    News(Box<Relay>),
    /// What the pieces of a section wait and need.
    Section(SectionNews),
}

/// What the pieces of a section wait and need, as its owner sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SectionNews {
    pub(crate) service: String,
    /// The failure domain, where the service is split.
    pub(crate) domain: Option<String>,
    pub(crate) backlog: Backlog,
}

impl FromOwner {
    /// What an entry of this level can read: one that knows no sections knows waits of whole services.
    pub(crate) fn at_level(self, level: u8) -> Option<Self> {
        match self {
            Self::Section(news) if level < SECTIONS => {
                news.domain.is_none().then_some(Self::Backlog(news.service, news.backlog.waits))
            }
            message => Some(message),
        }
    }
}
