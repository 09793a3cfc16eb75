//! `mothplank entry`: runs an entry.

use std::path::Path;

use eyre::{Result, WrapErr};
use settings::NodeSettings;

use crate::commands::{RELEASE, signals};
use crate::exit_codes::ExitCode;

/// Threads that drive the stages where the settings have no entry part; it then cannot start.
const FALLBACK_THREADS: usize = 1;

/// Runs the program until a signal ends it; requests under way end whole.
///
/// # Errors
/// Where it cannot start.
pub(crate) fn run(settings: &Path) -> Result<ExitCode> {
    let node = NodeSettings::read(settings)?;
    telemetry::init_stderr_log(&node.log);
    log::info!(vm:% = node.vm, release = RELEASE; "entry starts");
    let threads = node.entry.as_ref().map_or(FALLBACK_THREADS, |it| it.threads);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
        .wrap_err("cannot start threads")?;
    runtime.block_on(async {
        let mut signals = signals::open()?;
        let entry = entry::spawn(node).await?;
        signals.first().await;
        entry.drain().await;
        Ok(ExitCode::Success)
    })
}
