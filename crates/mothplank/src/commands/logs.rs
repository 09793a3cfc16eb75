//! `mothplank logs`: summarizes the logs of a platform's entries as tables and a chart, or prints
//! the lines of one request.

mod draw;
mod line;
mod summary;

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;

use eyre::{Result, WrapErr};

use crate::config::LogsArgs;
use crate::exit_codes::ExitCode;
use crate::output::{Format, note, write_line};

use self::line::Line;
use self::summary::Summary;

/// Runs the command.
///
/// # Errors
/// Returns an error if a file cannot be read or written.
pub(crate) fn run(format: Format, args: &LogsArgs) -> Result<ExitCode> {
    let mut lines = Vec::new();
    for path in &args.files {
        read(path, args, &mut lines)?;
    }
    lines.sort_by_key(|it| it.time);
    if let Some(id) = &args.id {
        return print_request(id, &lines);
    }
    let summary = Summary::from_lines(&lines);
    if let Some(path) = &args.svg {
        draw::draw(&summary, path)?;
    }
    format.print(&summary, || summary.format())?;
    Ok(ExitCode::Success)
}

/// Reads the lines of a file that are in the time range. Text before the JSON of a line becomes its
/// prefix.
fn read(path: &Path, args: &LogsArgs, lines: &mut Vec<Line>) -> Result<()> {
    let fault = || format!("cannot read {}", path.display());
    let mut skipped = 0;
    for text in BufReader::new(File::open(path).wrap_err_with(fault)?).lines() {
        let text = text.wrap_err_with(fault)?;
        let Some(line) = text.find('{').and_then(|it| Line::read(&text[it..], &text[..it])) else {
            skipped += 1;
            continue;
        };
        if args.from.is_none_or(|it| line.time >= it) && args.to.is_none_or(|it| line.time < it) {
            lines.push(line);
        }
    }
    if skipped > 0 {
        note(&format!("{}: {skipped} lines are no log lines of this product", path.display()));
    }
    Ok(())
}

/// Prints all lines of one request in the order of time.
fn print_request(id: &str, lines: &[Line]) -> Result<ExitCode> {
    let mut found = false;
    for line in lines.iter().filter(|it| it.request.as_deref() == Some(id)) {
        found = true;
        write_line(&line.describe())?;
    }
    if !found {
        note(&format!(
            "found no line of request {id}; a request reaches only one entry: give the logs of all"
        ));
    }
    Ok(if found { ExitCode::Success } else { ExitCode::General })
}
