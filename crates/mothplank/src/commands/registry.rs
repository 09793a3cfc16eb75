//! `mothplank registry`: runs a member of a platform's registry.

use std::sync::Arc;

use eyre::{OptionExt, Result};
use gateway::origin::OriginKeeper;
use platform::{ListClient, PlanCodec, Settings, serve_operators};
use registry::{Member, MemberConfig};

use crate::commands::host;
use crate::exit_codes::ExitCode;

/// What runs in the process.
struct Running {
    member: Arc<Member<PlanCodec>>,
    /// Where streams began, for entries that may all end at the same moment.
    _origins: OriginKeeper,
}

/// Runs the member until a signal ends it; a leader hands leadership over first.
///
/// # Errors
/// Returns an error if the member cannot start.
pub(crate) fn run() -> Result<ExitCode> {
    let path = Settings::path()?;
    let settings = Settings::read(&path)?;
    let operators = settings.operators.ok_or_eyre("the settings lack the address for operators")?;
    let list =
        settings.list.ok_or_eyre("the settings lack the address of the list of upstreams")?;
    let config = MemberConfig {
        vm: settings.vm.clone(),
        data_dir: settings.data_dir.ok_or_eyre("the settings lack the data folder")?,
        address: settings.address,
        seeds: settings.seeds,
        bootstrap: settings.bootstrap,
        max_losses: settings.max_losses,
        domains: settings.domains,
    };
    host::run(
        &settings.vm,
        path,
        async move {
            let secret = registry::deployment_secret();
            let origins = OriginKeeper::open(config.address, &secret).await?;
            let member = Member::spawn(config, PlanCodec, ListClient::new(list), secret).await?;
            let member = Arc::new(member);
            serve_operators(operators, Arc::clone(&member)).await?;
            host::serve_metrics(settings.metrics, telemetry::open_registry()).await;
            Ok(Arc::new(Running { member, _origins: origins }))
        },
        |running, settings| running.member.apply_settings(settings.seeds, settings.domains),
        async |running| {
            running.member.resign().await;
        },
    )
}
