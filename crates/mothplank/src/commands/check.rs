//! `mothplank check`: names every fault of the files, offline.

use eyre::Result;
use serde::Serialize;
use settings::{DocumentFiles, Fault, check_nodes, read_document};

use crate::config::{Check, Files};
use crate::exit_codes::ExitCode;
use crate::output::Format;

/// What was found.
#[derive(Debug, Default, Serialize)]
struct Findings {
    /// What must be mended.
    faults: Vec<Fault>,
    /// What is allowed but unusual.
    warnings: Vec<Fault>,
}

/// Runs the command.
///
/// # Errors
/// Where the findings cannot be printed.
pub(crate) fn run(format: Format, check: &Check) -> Result<ExitCode> {
    let mut findings = Findings::default();
    if let Some(files) = &check.files {
        let (_, found) = load(files);
        findings = found;
    }
    if let Err(e) = check_nodes(&check.nodes) {
        findings.faults.extend(e.0);
    }
    format.print(&findings, || findings.format())?;
    Ok(if findings.faults.is_empty() { ExitCode::Success } else { ExitCode::Faults })
}

/// Reads a document and checks it; the document is there where it has no fault.
fn load(files: &Files) -> (Option<types::Document>, Findings) {
    let faults = |it: settings::Faults| Findings { faults: it.0, warnings: Vec::new() };
    let found = match DocumentFiles::find(&files.base, &files.overlays) {
        Ok(found) => found,
        Err(e) => return (None, faults(e)),
    };
    let document = match read_document(&found) {
        Ok(document) => document,
        Err(e) => return (None, faults(e)),
    };
    let warnings = found.with_paths(settings::warnings(&document));
    match settings::check(&document) {
        Ok(()) => (Some(document), Findings { faults: Vec::new(), warnings }),
        Err(e) => (None, Findings { faults: found.with_paths(e.0), warnings }),
    }
}

/// Reads a document that has no fault.
///
/// # Errors
/// Every fault at once.
pub(crate) fn load_checked(files: &Files) -> Result<types::Document, settings::Faults> {
    let (document, findings) = load(files);
    document.ok_or(settings::Faults(findings.faults))
}

impl Findings {
    fn format(&self) -> String {
        let faults = self.faults.iter().map(ToString::to_string);
        let warnings = self.warnings.iter().map(|it| format!("warning: {it}"));
        let count = match self.faults.len() {
            0 => "no fault".to_owned(),
            1 => "1 fault".to_owned(),
            n => format!("{n} faults"),
        };
        faults.chain(warnings).chain([count]).collect::<Vec<_>>().join("\n")
    }
}
