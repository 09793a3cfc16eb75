//! Requests that only the leading member can serve, and the responses to them.

use std::fmt;

use consensus::Membership;
use serde::{Deserialize, Serialize};
use state::{Command, Reply};
use tokio::sync::oneshot;
use types::{LogIndex, VmName};

/// A request that only the leader can serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaderRequest {
    /// Commits a command and applies it.
    Command(Box<Command>),
    /// Confirms with a quorum which index is committed now.
    Read,
    /// Replaces the membership if it still equals `from`.
    Members {
        /// The membership on which the change is based.
        from: Membership,
        /// The new membership.
        to: Membership,
    },
    /// Transfers leadership to the named VM, or to a voter that the leader selects.
    Transfer(Option<VmName>),
}

impl LeaderRequest {
    /// Returns whether the request has the same effect when it runs twice, so that it may be
    /// retried after its response was lost.
    pub fn is_idempotent(&self) -> bool {
        match self {
            LeaderRequest::Read => true,
            LeaderRequest::Members { .. } | LeaderRequest::Transfer(_) => false,
            LeaderRequest::Command(command) => !matches!(**command, Command::Member { .. }),
        }
    }
}

/// The response to a [`LeaderRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaderResponse {
    /// The command was committed at this index; carries the reply of the state machine.
    Reply(LogIndex, Reply),
    /// Every entry that was committed when the request arrived has this index or a lower one.
    Read(LogIndex),
    /// The request has been carried out.
    Done,
}

/// Reason why a request has no response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestError {
    /// The request had and will have no effect; a retry may succeed.
    NotRun(String),
    /// The request had and will have no effect; a retry would be refused again.
    Refused(String),
    /// The request may have taken effect, or may still do so.
    Uncertain(String),
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RequestError::NotRun(reason) => write!(f, "not run: {reason}"),
            RequestError::Refused(reason) => write!(f, "refused: {reason}"),
            RequestError::Uncertain(reason) => write!(f, "it may have run: {reason}"),
        }
    }
}

impl std::error::Error for RequestError {}

/// The result of a [`LeaderRequest`].
pub type LeaderResult = Result<LeaderResponse, RequestError>;

/// The channel on which the result of a request is returned.
pub(crate) type Responder = oneshot::Sender<LeaderResult>;
