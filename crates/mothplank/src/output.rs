//! Prints the results of commands: text for humans or JSON for programs.

use std::io::Write;

use eyre::Result;
use serde::Serialize;

/// The output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    /// Text for humans.
    Human,
    /// JSON, one value on each line.
    Json,
}

impl Format {
    /// Prints `value` as JSON, or `text` for humans.
    ///
    /// # Errors
    /// Returns an error if standard output cannot be written.
    pub(crate) fn print<T: Serialize>(
        self,
        value: &T,
        text: impl FnOnce() -> String,
    ) -> Result<()> {
        let line = match self {
            Format::Json => serde_json::to_string(value)?,
            Format::Human => text(),
        };
        write_line(&line)
    }
}

/// Writes a line to standard output.
///
/// # Errors
/// Returns an error if standard output cannot be written.
pub(crate) fn write_line(line: &str) -> Result<()> {
    let mut out = std::io::stdout().lock();
    writeln!(out, "{line}")?;
    out.flush()?;
    Ok(())
}

/// Writes a progress message for humans to standard error, so that standard output contains only
/// the result.
pub(crate) fn note(line: &str) {
    // The result of the command does not depend on whether standard error is open.
    let _ = writeln!(std::io::stderr(), "{line}");
}
