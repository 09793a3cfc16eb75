//! `mothplank logs`: what entries of a platform wrote about their requests, as tables, a drawing, or one
//! request's story.

mod draw;
mod line;
mod summary;

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;

use eyre::{Result, WrapErr};

use crate::config::Logs;
use crate::exit_codes::ExitCode;
use crate::output::{Format, note, write_line};

use self::line::Line;
use self::summary::Summary;

/// Runs the command.
///
/// # Errors
/// Where a file cannot be read or written.
pub(crate) fn run(format: Format, ask: &Logs) -> Result<ExitCode> {
    let mut lines = Vec::new();
    for path in &ask.files {
        read(path, ask, &mut lines)?;
    }
    lines.sort_by_key(|it| it.time);
    if let Some(id) = &ask.id {
        return story(id, &lines);
    }
    let summary = Summary::of(&lines);
    if let Some(path) = &ask.svg {
        draw::draw(&summary, path)?;
    }
    format.print(&summary, || summary.text())?;
    Ok(ExitCode::Success)
}

/// Reads the lines of a file that lie in the span; what stands before the JSON of a line is passed over.
fn read(path: &Path, ask: &Logs, lines: &mut Vec<Line>) -> Result<()> {
    let fault = || format!("cannot read {}", path.display());
    let mut unreadable = 0;
    for text in BufReader::new(File::open(path).wrap_err_with(fault)?).lines() {
        let text = text.wrap_err_with(fault)?;
        let Some(line) = text.find('{').and_then(|it| Line::read(&text[it..], &text[..it])) else {
            unreadable += 1;
            continue;
        };
        if ask.from.is_none_or(|it| line.time >= it) && ask.to.is_none_or(|it| line.time < it) {
            lines.push(line);
        }
    }
    if unreadable > 0 {
        note(&format!("{}: {unreadable} lines are no log lines of this product", path.display()));
    }
    Ok(())
}

/// Prints all lines of one request in their order.
fn story(id: &str, lines: &[Line]) -> Result<ExitCode> {
    let mut found = false;
    for line in lines.iter().filter(|it| it.request.as_deref() == Some(id)) {
        found = true;
        write_line(&line.told())?;
    }
    if !found {
        note(&format!(
            "no line of request {id}; a request reaches one entry only: give the logs of all"
        ));
    }
    Ok(if found { ExitCode::Success } else { ExitCode::General })
}
