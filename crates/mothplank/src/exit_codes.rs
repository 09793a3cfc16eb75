//! The exit codes of the process, for scripts.

use std::process::ExitCode as ProcessCode;

/// An exit code, as listed by `mothplank --help`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExitCode {
    /// The command succeeded.
    Success = 0,
    /// Any other error; the message describes it.
    General = 1,
    /// The settings or the service's files have faults.
    Faults = 3,
    /// Another change came first, or the id was already used with a different content.
    Conflict = 4,
    /// The request did not run and may be sent again.
    NotRun = 5,
    /// It is not known whether the request ran.
    Unknown = 6,
    /// The request ran and failed, or was refused permanently.
    Failed = 7,
    /// The change was accepted, but was not in force everywhere before the timeout.
    Pending = 8,
    /// The audit trail does not verify.
    AuditInvalid = 9,
}

/// The table for the help text. clap exits with 2.
pub(crate) const TABLE: &str = "\
Exit codes:
  0  success
  1  any other error; the message describes it
  2  invalid command line
  3  faults in settings or service files
  4  conflict: another change came first, or the id was already used
  5  not run: nothing happened, it may be sent again
  6  unknown: it may have happened; resend with the same id or key
  7  failed: it ran and failed, or was refused permanently
  8  accepted, but not in force everywhere before the timeout
  9  the audit trail does not verify";

impl From<ExitCode> for ProcessCode {
    fn from(code: ExitCode) -> Self {
        ProcessCode::from(code as u8)
    }
}
