//! The errors of a call, with evidence of whether it was sent.

use std::fmt;
use std::time::Duration;

use types::StepError;

/// Evidence that no byte of a call can have reached its upstream. Only this crate creates it, if no
/// connection was opened or its [`crate::WriteCounter`] counted no byte of the call.
#[derive(Debug)]
pub struct Unsent(());

impl Unsent {
    pub(crate) fn new() -> Self {
        Self(())
    }
}

/// Evidence that the upstream did not accept the call: it sent a refusal that repeats the id of the
/// call.
#[derive(Debug)]
pub struct Declined(());

impl Declined {
    pub(crate) fn new() -> Self {
        Self(())
    }
}

/// Whether a failed call may have run.
#[derive(Debug)]
pub enum Sent {
    /// No byte of it left this VM.
    No(Unsent),
    /// It left, and the upstream answered that it did not accept it.
    Declined(Declined),
    /// It may have reached the upstream.
    Maybe,
}

/// The reason why a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No connection could be opened.
    Connect(String),
    /// A connection that an earlier call had used was closed before the response.
    Stale,
    /// The upstream is overloaded, with its `Retry-After` if it sent one.
    Busy(Option<Duration>),
    /// The upstream is draining.
    Draining,
    /// The upstream answered with this status.
    Status(u16, String),
    /// The response does not repeat the id of the call.
    IdMismatch,
    /// The response is truncated.
    Truncated(String),
    /// The response is larger than the limit in bytes.
    TooLarge(u64),
    /// The response violates the protocol.
    Malformed(String),
    /// The stream skipped a position: the expected position and the received one.
    Gap(u64, u64),
    /// The deadline passed.
    Deadline,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Connect(why) => write!(f, "connection refused or timed out: {why}"),
            Fault::Stale => f.write_str("kept connection closed before the response"),
            Fault::Busy(_) => f.write_str("upstream takes no more work for now"),
            Fault::Draining => f.write_str("upstream is leaving"),
            Fault::Status(status, why) => write!(f, "upstream answered {status}: {why}"),
            Fault::IdMismatch => f.write_str("response carries another call's id"),
            Fault::Truncated(why) => write!(f, "response ended early: {why}"),
            Fault::TooLarge(limit) => write!(f, "response exceeds {limit} bytes"),
            Fault::Malformed(why) => write!(f, "malformed response: {why}"),
            Fault::Gap(want, got) => write!(f, "stream skipped from position {want} to {got}"),
            Fault::Deadline => f.write_str("deadline passed"),
        }
    }
}

/// A failed call.
#[derive(Debug)]
pub struct CallError {
    /// The step that failed.
    pub step: &'static str,
    /// The upstream's address.
    pub peer: std::net::SocketAddr,
    /// The reason.
    pub fault: Fault,
    /// Whether the call may have run.
    pub sent: Sent,
    /// Whether an earlier call had used the connection.
    pub reused: bool,
}

impl CallError {
    /// Converts the error to the error type that all crates share.
    pub fn into_step(self) -> StepError {
        StepError::new(self.step, self.fault.to_string()).at(self.peer)
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.step, self.peer, self.fault)
    }
}

impl std::error::Error for CallError {}
