//! `mothplank control`: runs a control member.

use std::path::Path;

use eyre::{Result, WrapErr};
use settings::NodeSettings;

use crate::commands::{RELEASE, signals};
use crate::error::ExitError;
use crate::exit_codes::ExitCode;

/// The number of threads for network I/O; the replicated state has its own thread.
const THREADS: usize = 2;

/// Runs the member until a signal ends it, or until it stops because its disk failed.
///
/// # Errors
/// Returns an error if the member cannot start or has stopped by itself.
pub(crate) fn run(settings: &Path) -> Result<ExitCode> {
    let node = NodeSettings::read(settings)?;
    telemetry::init_stderr_log(&node.log);
    // Logged before anything that can block, to tell a start that hangs from one that never began.
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
            () = signals.recv() => control.drain().await,
            why = control.stopped() => {
                return Err(ExitError::new(
                    ExitCode::General,
                    format!("the control member stopped: {why}"),
                )
                .into());
            }
        }
        Ok(ExitCode::Success)
    })
}
