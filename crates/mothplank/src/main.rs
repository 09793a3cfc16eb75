//! The `mothplank` command: runs the server processes and the commands for operators and callers.

mod args;
mod cli;
mod client;
mod commands;
mod config;
mod error;
mod exit_codes;
mod messages;
mod operator;
mod output;
mod table;

use std::process::ExitCode as ProcessCode;

use crate::config::Config;

fn main() -> ProcessCode {
    let matches = cli::build().get_matches();
    let outcome = Config::from_matches(&matches).and_then(commands::run);
    match outcome {
        Ok(code) => code.into(),
        Err(e) => error::print(&e).into(),
    }
}
