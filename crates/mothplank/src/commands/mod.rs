//! One module for each command.

mod apply;
mod audit;
mod call;
mod check;
mod control;
mod demo;
mod entry;
mod gateway;
mod host;
mod init;
mod load;
mod logs;
mod mark;
mod member;
mod registry;
mod report;
mod signals;
mod standin;
mod status;

use eyre::{Result, WrapErr};

use crate::config::{Command, Config};
use crate::exit_codes::ExitCode;

/// The version of this binary.
const RELEASE: &str = env!("CARGO_PKG_VERSION");

/// Runs a command.
///
/// # Errors
/// Returns the error to print; an `ExitError` sets the exit code.
pub(crate) fn run(config: Config) -> Result<ExitCode> {
    let format = config.format;
    match config.command {
        Command::Check(it) => check::run(format, &it),
        Command::Control(it) => control::run(&it),
        Command::Entry(it) => entry::run(&it),
        Command::Gateway => gateway::run(),
        Command::Logs(it) => logs::run(format, &it),
        Command::Registry => registry::run(),
        command => {
            let runtime = tokio::runtime::Builder::new_multi_thread()
                .enable_all()
                .build()
                .wrap_err("cannot start threads")?;
            runtime.block_on(run_client(format, command))
        }
    }
}

async fn run_client(format: crate::output::Format, command: Command) -> Result<ExitCode> {
    match command {
        Command::Demo => demo::run(format).await,
        Command::Init(it) => init::run(format, it).await,
        Command::Apply(it) => apply::run(format, it).await,
        Command::Status(target, why) => status::run(format, target, why).await,
        Command::Audit(target, after) => audit::run(format, target, after).await,
        Command::Member(target, action) => member::run(format, target, action).await,
        Command::Mark(it) => mark::run(format, it).await,
        Command::Report(it) => report::run(format, it).await,
        Command::Call(it) => call::run(format, it).await,
        Command::Standin(it) => standin::run(it).await,
        Command::Load(it) => load::run(format, it).await,
        Command::Check(_)
        | Command::Control(_)
        | Command::Entry(_)
        | Command::Gateway
        | Command::Logs(_)
        | Command::Registry => Ok(ExitCode::General),
    }
}
