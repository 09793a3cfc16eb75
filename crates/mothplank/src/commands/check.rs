//! `mothplank check`: reports all faults of settings files, offline.

use eyre::Result;
use serde::Serialize;
use settings::{DocumentFiles, Fault, check_nodes, read_document};

use crate::config::{CheckArgs, DocumentPaths};
use crate::exit_codes::ExitCode;
use crate::output::Format;

/// The output of the command.
#[derive(Debug, Default, Serialize)]
struct Findings {
    /// The faults, which must be fixed.
    faults: Vec<Fault>,
    /// The warnings about what is allowed but unusual.
    warnings: Vec<Fault>,
}

/// Runs the command.
///
/// # Errors
/// Returns an error if the findings cannot be printed.
pub(crate) fn run(format: Format, args: &CheckArgs) -> Result<ExitCode> {
    let mut findings = Findings::default();
    if let Some(files) = &args.files {
        let (_, found) = load_document(files);
        findings = found;
    }
    if let Err(e) = check_nodes(&args.nodes) {
        findings.faults.extend(e.0);
    }
    format.print(&findings, || findings.format())?;
    Ok(if findings.faults.is_empty() { ExitCode::Success } else { ExitCode::Faults })
}

/// Reads and checks a document; returns the document only if it has no fault.
fn load_document(files: &DocumentPaths) -> (Option<types::Document>, Findings) {
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

/// Reads a document and checks that it has no fault.
///
/// # Errors
/// Returns all faults.
pub(crate) fn load_checked(files: &DocumentPaths) -> Result<types::Document, settings::Faults> {
    let (document, findings) = load_document(files);
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
