//! `mothplank control`: runs a control member.

use std::path::Path;

use eyre::{Result, WrapErr};
use settings::NodeSettings;

use crate::commands::{RELEASE, signals};
use crate::error::Ending;
use crate::exit_codes::ExitCode;

/// Threads for sockets; the replicated state has a thread of its own.
const THREADS: usize = 2;

/// Runs the program until a signal ends it, or until it stops by itself because its disk failed.
///
/// # Errors
/// Where it cannot start, or had to stop.
pub(crate) fn run(settings: &Path) -> Result<ExitCode> {
    let node = NodeSettings::read(settings)?;
    telemetry::init_stderr_log(&node.log);
    // Before anything that may wait: a start that hangs is told from one that never began.
    log::info!(vm:% = node.vm, release = RELEASE; "control starts");
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(THREADS)
        .enable_all()
        .build()
        .wrap_err("cannot start threads")?;
    runtime.block_on(async {
        let mut signals = signals::open()?;
        let control = control::spawn(node).await?;
        tokio::select! {
            () = signals.first() => control.drain().await,
            why = control.stopped() => {
                return Err(Ending::new(ExitCode::General, format!("the member stopped: {why}")).into());
            }
        }
        Ok(ExitCode::Success)
    })
}
