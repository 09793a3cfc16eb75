//! The error type shared by all crates: a cause with the step that failed and the peer involved.

use std::fmt;

/// A result whose error names the step that failed and the peer.
pub type StepResult<T> = Result<T, StepError>;

/// An error with the step that failed and the peer involved, if any.
#[derive(Debug)]
pub struct StepError {
    /// The step that failed, as a short phrase: `connect`, `read hello`, `sync log`.
    pub step: &'static str,
    /// The peer or object of the step: an address, an upstream's name or a file.
    pub peer: Option<String>,
    /// The cause.
    pub cause: Box<dyn std::error::Error + Send + Sync>,
}

impl StepError {
    /// Wraps `cause` with the step that failed.
    pub fn new(
        step: &'static str,
        cause: impl Into<Box<dyn std::error::Error + Send + Sync>>,
    ) -> Self {
        Self { step, peer: None, cause: cause.into() }
    }

    /// Adds the peer or object of the step.
    pub fn at(mut self, peer: impl fmt::Display) -> Self {
        self.peer = Some(peer.to_string());
        self
    }
}

impl fmt::Display for StepError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.peer {
            Some(peer) => write!(f, "{} ({}): {}", self.step, peer, self.cause),
            None => write!(f, "{}: {}", self.step, self.cause),
        }
    }
}

impl std::error::Error for StepError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(self.cause.as_ref())
    }
}
