//! Errors that end a command, and how they are printed.

use std::fmt;
use std::io::{self, Write};

use settings::Faults;

use crate::exit_codes::ExitCode;

/// An error with an exit code.
#[derive(Debug)]
pub(crate) struct ExitError {
    /// The exit code.
    pub(crate) code: ExitCode,
    /// The message to print.
    pub(crate) message: String,
}

impl ExitError {
    /// Creates an error.
    pub(crate) fn new(code: ExitCode, message: impl Into<String>) -> Self {
        Self { code, message: message.into() }
    }
}

impl fmt::Display for ExitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for ExitError {}

/// Prints an error on standard error and returns its exit code.
pub(crate) fn print(error: &eyre::Report) -> ExitCode {
    // The reader of the output, such as `head`, has closed the pipe on purpose.
    if is_broken_pipe(error) {
        return ExitCode::General;
    }
    // If standard error is closed, there is no place left to report it.
    let _ = writeln!(io::stderr(), "mothplank: {error:#}");
    if let Some(exit_error) = error.downcast_ref::<ExitError>() {
        return exit_error.code;
    }
    if error.downcast_ref::<Faults>().is_some() {
        return ExitCode::Faults;
    }
    ExitCode::General
}

fn is_broken_pipe(error: &eyre::Report) -> bool {
    let error = error.downcast_ref::<io::Error>();
    error.is_some_and(|it| it.kind() == io::ErrorKind::BrokenPipe)
}
