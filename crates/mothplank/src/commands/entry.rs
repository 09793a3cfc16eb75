//! `mothplank entry`: runs an entry.

use std::path::Path;

use eyre::{Result, WrapErr};
use settings::NodeSettings;

use crate::commands::{RELEASE, signals};
use crate::exit_codes::ExitCode;

/// The number of threads if the settings have no `entry` section, in which case the entry reports
/// an error at startup.
const FALLBACK_THREADS: usize = 1;

/// Runs the entry until a signal ends it; requests in flight are completed first.
///
/// # Errors
/// Returns an error if the entry cannot start.
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
        signals.recv().await;
        entry.drain().await;
        Ok(ExitCode::Success)
    })
}
