//! Why a call failed, and what that proves: whether the request may have run.

use std::fmt;

use http::StatusCode;

use super::Evidence;
use crate::response_limit::Excess;
use crate::upstream::ConnectError;

/// Why a call brought no answer that can be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// No connection was available.
    Connect(ConnectError),
    /// The upstream states that it did not run the request.
    Refused(StatusCode),
    /// The connection ended before the answer did.
    Lost,
    /// No answer came in time.
    Timeout,
    /// What came is not a valid answer to the request.
    Malformed(&'static str),
    /// More came than an answer may bring.
    Excess(Excess),
    /// The permit to send it again had expired when a connection was there.
    PermitExpired,
    /// The upstream had asked for a pause when a connection was there.
    Paused,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Connect(ConnectError::Refused) => f.write_str("connection refused"),
            Cause::Connect(ConnectError::TimedOut) => f.write_str("no connection in time"),
            Cause::Connect(ConnectError::LimitReached) => f.write_str("no free connection"),
            Cause::Connect(ConnectError::Ended) => f.write_str("connections ended unused"),
            Cause::Refused(status) => write!(f, "refused with {status}"),
            Cause::Lost => f.write_str("connection lost"),
            Cause::Timeout => f.write_str("no answer in time"),
            Cause::Malformed(why) => write!(f, "invalid answer: {why}"),
            Cause::Excess(excess) => write!(f, "cut: {excess}"),
            Cause::PermitExpired => f.write_str("no connection while it might be sent again"),
            Cause::Paused => f.write_str("the upstream asked for a pause"),
        }
    }
}

/// A failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Fault {
    /// Why the call failed.
    pub(crate) cause: Cause,
    /// Whether it is certain that the request did not run: the upstream says so, or no byte of it
    /// was sent.
    pub(crate) not_run: bool,
    /// Whether the upstream can't be reached at all.
    pub(crate) unreachable: bool,
    /// What the answer shows, if a head of one came.
    pub(crate) evidence: Option<Evidence>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let evidence = if self.not_run { "did not run" } else { "may have run" };
        write!(f, "{}; {evidence}", self.cause)
    }
}

impl Fault {
    pub(crate) fn unsent(why: ConnectError) -> Self {
        let unreachable = matches!(why, ConnectError::Refused | ConnectError::TimedOut);
        Self { cause: Cause::Connect(why), not_run: true, unreachable, evidence: None }
    }

    /// A request that was not sent although a connection was there.
    pub(super) fn held(cause: Cause) -> Self {
        Self { cause, not_run: true, unreachable: false, evidence: None }
    }

    /// Returns whether the call speaks against the upstream as all entries see it. One that can't
    /// be connected to is left to each entry: a cut between two failure domains looks the same.
    pub(crate) fn shows_failure(&self) -> bool {
        !self.not_run && matches!(self.cause, Cause::Lost | Cause::Timeout | Cause::Malformed(_))
    }

    /// Returns whether no byte of the request was sent.
    pub(crate) fn is_unsent(&self) -> bool {
        matches!(self.cause, Cause::Connect(_) | Cause::PermitExpired | Cause::Paused)
    }

    pub(crate) fn refused(status: StatusCode) -> Self {
        let cause = Cause::Refused(status);
        Self { cause, not_run: true, unreachable: false, evidence: None }
    }

    pub(crate) fn unknown(cause: Cause) -> Self {
        Self { cause, not_run: false, unreachable: false, evidence: None }
    }

    /// Returns the fault with what the answer shows.
    pub(super) fn with_evidence(self, evidence: Evidence) -> Self {
        Self { evidence: Some(evidence), ..self }
    }
}
